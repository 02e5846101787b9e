"""Expensive links between data centres: heartbeats that cross them are few and small."""

import unittest

from nose2.tools import params

from beechbridge.gateway.actions import SendHeartbeat
from beechbridge.gateway.events import TimerDue
from beechbridge.gateway.fleet.gossip import BOOTSTRAP_BEATS, HEARTBEAT_MS, INITIAL_HEARTBEAT_MS
from beechbridge.gateway.member import Member
from beechbridge.wire.fleet import decode_datagram, encode_heartbeat
from measure.emulator import Emulator

from .gateways import WORK_MS, ZONES, drive, sweep_route

SPREAD_MS = 12_000.0
DATAGRAM_BYTES = 1_200
"""Size of a datagram that no link has to split."""


def collect_heartbeats(vm, now_ms, duration_ms):
    """Return a VM's heartbeats with their numbers within a time in which it hears nothing."""
    found = []
    until_ms = now_ms + duration_ms
    while True:
        due_ms = vm.gateway.timers.next_due_ms()
        if due_ms is None or due_ms > until_ms:
            return found
        now_ms = max(now_ms, due_ms)
        for action in vm.gateway.handle(TimerDue(), now_ms):
            if isinstance(action, SendHeartbeat):
                found.append((vm.gateway.gossip.beat_count, action))


class LargeFleetTest(unittest.TestCase):
    """Callers use a few VMs of each data centre; the others get occasional test requests."""

    def start(self):
        emulator = Emulator(ZONES * 6, WORK_MS)
        for number, vm in enumerate(emulator.vms):
            vm.gateway.fleet.own.capacity_millicores = 2000 if number < 12 else 500
        emulator.put_replica('r-0', 'shard-0', 'brum-a')
        emulator.put_table([sweep_route(1)])
        emulator.run(SPREAD_MS)
        drive(emulator, '/sweep/x', 72, 3)
        return emulator

    @params((0, True), (35, False))
    def test_only_vms_with_callers_send_to_the_whole_region(self, number, is_active):
        emulator = self.start()
        vm = emulator.vms[number]
        zones = {each.gateway.fleet.own.host: each.gateway.fleet.own.zone for each in emulator.vms}
        own_zone = vm.gateway.fleet.own.zone
        beats = collect_heartbeats(vm, emulator.now_ms, 1.5 * HEARTBEAT_MS)
        crossing = {host for _, beat in beats for host in beat.hosts if zones[host] != own_zone}
        self.assertEqual(len(crossing) >= 6, is_active)

    def test_active_vms_are_known_alive_within_their_region_without_relays(self):
        emulator = self.start()
        emulator.run(SPREAD_MS)
        observer = emulator.vms[35].gateway.fleet
        for number in (4, 5, 10, 11):
            if number != 35:
                name = f'vm-{number}'
                self.assertTrue(observer.is_direct(observer.members[name]))
                self.assertTrue(observer.is_alive(observer.members[name], emulator.now_ms))


class BootstrapTest(unittest.TestCase):
    SEEDS = {'vm-0', 'vm-1', 'vm-2'}

    def collect_requests(self, vm):
        """Return, by number, the heartbeats of a start that ask for a list."""
        duration_ms = 1.5 * BOOTSTRAP_BEATS[-1] * INITIAL_HEARTBEAT_MS
        beats = collect_heartbeats(vm, 0.0, duration_ms)
        return {
            number: beat.hosts
            for number, beat in beats
            if beat.wants_members and number <= BOOTSTRAP_BEATS[-1]
        }

    def test_full_lists_are_asked_of_one_seed_once_a_vm_is_known(self):
        vm = Emulator(ZONES, WORK_MS).vms[5]
        vm.gateway.fleet.apply_member(Member('vm-4', 'vm-4', ZONES[4], 1, 1), 0.0)
        requests = self.collect_requests(vm)
        asked = [requests[number] for number in BOOTSTRAP_BEATS]
        self.assertEqual([len(hosts) for hosts in asked], [1] * len(BOOTSTRAP_BEATS))
        self.assertEqual({host for hosts in asked for host in hosts}, self.SEEDS)

    # The seeds may start after the other VMs: until one answers, each heartbeat asks them all.
    def test_all_seeds_are_asked_until_a_vm_is_known(self):
        requests = self.collect_requests(Emulator(ZONES, WORK_MS).vms[5])
        self.assertEqual(set(requests), set(range(1, BOOTSTRAP_BEATS[-1] + 1)))
        for hosts in requests.values():
            self.assertEqual(set(hosts), self.SEEDS)


class SizeTest(unittest.TestCase):
    def test_list_of_a_data_centre_fits_into_a_datagram(self):
        members = []
        for number in range(14):
            name = f'front-malopolska-a-{number}'
            member = Member(name, f'10.2.0.{number}', 'malopolska-a', 1 << 60, 10_000, 2_151)
            member.rate_per_s = 1_000.0
            members.append(member)
        data = encode_heartbeat(SendHeartbeat([], members, 40, 5_000))
        self.assertLessEqual(len(data), DATAGRAM_BYTES)
        self.assertEqual(len(decode_datagram(data).members), 14)
