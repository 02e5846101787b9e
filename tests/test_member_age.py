"""Ages of members' records: a VM that ended is soon named by no directory."""

import unittest

from nose2.tools import params

from beechbridge.failures import Failure
from beechbridge.gateway.actions import SendHeartbeat
from beechbridge.gateway.events import HeartbeatReceived, StopRequested
from beechbridge.gateway.fleet.members import (
    RELAYED_ALIVE_TIMEOUT_MS,
    Fleet,
    bound_relayed_timeout,
)
from beechbridge.gateway.member import Member
from beechbridge.platform.settings import parse_settings
from beechbridge.wire.fleet import decode_datagram, encode_heartbeat
from beechbridge.wire.members import MAX_AGE_MS, decode_member, encode_member
from measure.emulator import Emulator
from measure.stand_ins import ReplicaSpec

from .gateways import WORK_MS, ZONES, sweep_route

SPREAD_MS = 12_000.0
EXTRA_MS = 3_000.0
"""Time beyond `stableMs` for which a directory may name a VM that ended."""

STEP_MS = 100.0
LOSS = 2 / 3
"""Fraction of the heartbeats between data centres that are lost."""

SETTINGS = """
nodeName = 'vm-1'
ip = '10.0.0.1'
zone = 'brum-a'
region = 'brum'
peerPortRange = [7000]
seeds = []
[zones]
[listen]
[platform]
addr = '10.0.0.9:80'
[bounds]
"""


class LossyEmulator(Emulator):
    """Loses a fraction of the heartbeats between data centres."""

    loss = 0.0

    def deliver_event(self, vm, event):
        """Deliver an event unless it is a heartbeat that is lost."""
        if isinstance(event, HeartbeatReceived):
            is_far = event.members[0].zone != vm.gateway.fleet.own.zone
            if is_far and self.rng.random() < self.loss:
                return
        super().deliver_event(vm, event)


def start_fleet(per_zone, stable_ms, seed=1):
    emulator = LossyEmulator(ZONES * per_zone, WORK_MS, seed=seed, stable_ms=stable_ms)
    emulator.put_replica('r-0', 'shard-0', 'brum-a', ReplicaSpec())
    emulator.put_table([sweep_route(1)])
    emulator.run(SPREAD_MS)
    return emulator


def kill(emulator, ended):
    """End VMs at once: their processes are killed, or their machine loses power."""
    for vm in ended:
        vm.is_up = False


def remove(emulator, ended):
    """Stop VMs in order; they end after their period of grace."""
    for vm in ended:
        emulator.deliver_event(vm, StopRequested())
    emulator.run(6_000.0)
    kill(emulator, ended)


def list_named(emulator):
    """Return the names of the VMs that any directory names to a caller of any data centre."""
    names = set()
    for vm in emulator.vms:
        if not vm.is_up:
            continue
        for zone in ZONES:
            members = vm.gateway.best_members(zone, zone.partition('-')[0], emulator.now_ms)
            names.update(member.name for member in members)
    return names


def find_last_named_ms(emulator, ended, for_ms):
    """Return how long after their end a directory still names one of the VMs."""
    ended_names = {vm.gateway.fleet.own.name for vm in ended}
    since_ms = emulator.now_ms
    last_ms = 0.0
    while emulator.now_ms - since_ms < for_ms:
        emulator.run(STEP_MS)
        if ended_names & list_named(emulator):
            last_ms = emulator.now_ms - since_ms
    return last_ms


class DirectoryTest(unittest.TestCase):
    # The age that a record had at the VM that relays it was added to the timeout here, so that
    # directories named VMs that had ended 10 s before.
    @params(
        *(
            (per_zone, stable_ms, end, ended, loss, seed)
            for stable_ms in (4_000.0, 6_000.0)
            for per_zone, end, ended, loss, seed in (
                (3, kill, (2,), 0.0, 1),
                (4, kill, (0, 6, 12, 18), 0.0, 2),
                (4, kill, (3, 5, 9, 14), LOSS, 3),
                (3, kill, tuple(range(12)), LOSS, 4),
                (3, remove, (1, 7), 0.0, 5),
                (3, remove, (1, 8), LOSS, 6),
            )
        )
    )
    def test_vm_that_ended_is_soon_named_by_no_directory(
        self, per_zone, stable_ms, end, ended, loss, seed
    ):
        emulator = start_fleet(per_zone, stable_ms, seed)
        emulator.loss = loss
        emulator.run(4_000.0)
        vms = [emulator.vms[number] for number in ended]
        end(emulator, vms)
        last_ms = find_last_named_ms(emulator, vms, 2 * RELAYED_ALIVE_TIMEOUT_MS)
        self.assertLessEqual(last_ms, stable_ms + EXTRA_MS)
        # Ages are counted from the heartbeat, so that the relays add nothing to the timeout.
        self.assertLessEqual(last_ms, bound_relayed_timeout(stable_ms))

    # Shorter timeouts must not take VMs that live out of the directory between two relays.
    @params((3, 4_000.0), (8, 4_000.0), (4, 6_000.0))
    def test_living_vms_stay_known(self, per_zone, stable_ms):
        emulator = start_fleet(per_zone, stable_ms)
        for _ in range(100):
            emulator.run(STEP_MS)
            for vm in emulator.vms:
                alive = vm.gateway.fleet.alive(emulator.now_ms)
                self.assertEqual(len(alive), len(emulator.vms) - 1)


class AgeTest(unittest.TestCase):
    # A record that is passed on must be as old at its receiver as at its sender.
    @params((0.0, 0.0), (0.4, 0.0), (2_650.0, 2_650.0), (1e9, float(MAX_AGE_MS)), (-5.0, 0.0))
    def test_age_is_passed_on(self, age_ms, expected_ms):
        member = Member('vm-2', 'vm-2', 'brum-a', 1, 7)
        member.last_heartbeat_ms = 20_000.0 - age_ms
        event = decode_datagram(
            encode_heartbeat(SendHeartbeat([], [member], 1, 1, sent_ms=20_000))
        )
        fleet = Fleet(Member('vm-1', 'vm-1', 'notts-a', 1), (), {}, 4_000.0)
        fleet.apply_member(event.members[0], 50_000.0)
        self.assertEqual(fleet.members['vm-2'].last_heartbeat_ms, 50_000.0 - expected_ms)

    # Without a bound in the settings nothing is said, and earlier builds say nothing.
    def test_record_without_an_age_is_as_new_as_its_message(self):
        member = Member('vm-2', 'vm-2', 'brum-a', 1, 7)
        self.assertIsNone(encode_member(member).age_ms)
        fleet = Fleet(Member('vm-1', 'vm-1', 'notts-a', 1), (), {})
        fleet.apply_member(decode_member(encode_member(member)), 50_000.0)
        self.assertEqual(fleet.members['vm-2'].last_heartbeat_ms, 50_000.0)
        self.assertFalse(fleet.states_ages)

    # An age out of bounds would make a dead VM live on, or a living one dead.
    @params(-1, MAX_AGE_MS + 1, 2**62)
    def test_odd_age_costs_the_record(self, age_ms):
        record = encode_member(Member('vm-2', 'vm-2', 'brum-a', 1, 7))
        record.age_ms = age_ms
        failure = decode_member(record)
        self.assertIsInstance(failure, Failure)
        self.assertIn('age_ms', failure.detail)

    # A record that a VM knows already is forwarded with the age that it came with.
    def test_known_record_keeps_its_age(self):
        fleet = Fleet(Member('vm-1', 'vm-1', 'notts-a', 1), (), {}, 4_000.0)
        for now_ms in (1_000.0, 3_000.0):
            record = Member('vm-2', 'vm-2', 'brum-a', 1, 7)
            record.age_ms = 500.0
            fleet.apply_member(record, now_ms)
            self.assertEqual(record.age_at(now_ms), 500.0)


class SettingsTest(unittest.TestCase):
    @params(
        ('', None, RELAYED_ALIVE_TIMEOUT_MS),
        ('stableMs = 4000', 4_000.0, 6_000.0),
        ('stableMs = 6000', 6_000.0, RELAYED_ALIVE_TIMEOUT_MS),
        ('stableMs = 60000', 60_000.0, RELAYED_ALIVE_TIMEOUT_MS),
        ('stableMs = 1', 1.0, 2_800.0),
    )
    def test_settings_bound_the_timeout(self, line, stable_ms, timeout_ms):
        settings = parse_settings(SETTINGS + line, 'test')
        self.assertEqual(settings.stable_ms, stable_ms)
        fleet = Fleet(Member('vm-1', 'vm-1', 'notts-a', 1), (), {}, settings.stable_ms)
        self.assertEqual(fleet.relayed_timeout_ms, timeout_ms)

    @params('stableMs = 0', 'stableMs = -1', 'stableMs = "6 s"', 'stableMs = nan')
    def test_invalid_bound_is_refused(self, line):
        failure = parse_settings(SETTINGS + line, 'test')
        self.assertIsInstance(failure, Failure)
        self.assertIn('stableMs', failure.detail)
