"""Gathers under realistic load: latency, replica selection, missing shards, connection limits."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure
from beechbridge.gateway.events import HeartbeatReceived
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import MergedAnswer
from measure.emulated_actions import REGION_DELAY_MS
from measure.stand_ins import ReplicaSpec

from .gateways import (
    OBJECTIVE_MS,
    ZONES,
    answer_of,
    arrivals_of,
    drive,
    in_time_count,
    start_sweeps,
)

MIN_IN_TIME_SHARE = 0.95
"""Share of gathers within the latency objective that the users require without faults."""


def pausing(pause_ms=150.0, every_ms=3_600.0):
    return lambda: ReplicaSpec(pause_ms=pause_ms, pause_every_ms=every_ms)


class PausesTest(unittest.TestCase):
    """Every replica pauses briefly at intervals, so that most gathers meet a pause."""

    @params((20, 20.0), (60, 8.0))
    def test_gathers_meet_their_latency_objective_across_pauses(self, shard_count, per_s):
        emulator = start_sweeps(shard_count, spec=pausing())
        drive(emulator, '/sweep/x', per_s, 5)
        asked = drive(emulator, '/sweep/x', per_s, 20)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, MIN_IN_TIME_SHARE * len(asked))

    def test_repeats_stay_within_the_budget_in_any_window(self):
        emulator = start_sweeps(20, spec=pausing())
        drive(emulator, '/sweep/x', 30, 30)
        for shard in range(20):
            arrivals = arrivals_of(emulator, f'shard-{shard}')
            self.assert_budget(arrivals, ratio=0.2, fixed_count=56, window_ms=10_000.0)

    def assert_budget(self, arrivals, ratio, fixed_count, window_ms):
        for start_ms, _ in arrivals[::20]:
            inside = [name for at, name in arrivals if start_ms <= at < start_ms + window_ms]
            requests = len(set(inside))
            self.assertLessEqual(len(inside) - requests, ratio * requests + fixed_count)


class SlowReplicasTest(unittest.TestCase):
    """Replicas of many shards become slow at once."""

    def test_slow_replicas_are_avoided(self):
        emulator = start_sweeps(20, spec=pausing())
        drive(emulator, '/sweep/x', 20, 5)
        for shard in range(0, 20, 4):
            emulator.replicas[f'r-{shard}-0'].spec.slow_factor = 8.0
        drive(emulator, '/sweep/x', 20, 3)
        asked = drive(emulator, '/sweep/x', 20, 10)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, 0.9 * len(asked))


class DarkShardTest(unittest.TestCase):
    """All replicas of a shard are unresponsive or removed."""

    def test_dark_shard_is_left_out_at_the_latency_objective(self):
        emulator = start_sweeps(20)
        drive(emulator, '/sweep/x', 20, 5)
        for copy in range(2):
            emulator.replicas[f'r-3-{copy}'].spec.is_dark = True
        asked = drive(emulator, '/sweep/x', 20, 5)
        for vm, key, asked_ms in asked:
            answered_ms, answer = answer_of(emulator, vm, key)
            self.assertIsInstance(answer, MergedAnswer)
            self.assertEqual(answer.missing_count, 1)
            self.assertLessEqual(answered_ms - asked_ms, OBJECTIVE_MS)

    def test_shard_known_to_be_dark_is_not_waited_for(self):
        emulator = start_sweeps(20)
        drive(emulator, '/sweep/x', 20, 5)
        for copy in range(2):
            emulator.replicas[f'r-3-{copy}'].spec.is_dark = True
        drive(emulator, '/sweep/x', 20, 3)
        asked = drive(emulator, '/sweep/x', 20, 5)
        in_half = in_time_count(emulator, asked, MergedAnswer, OBJECTIVE_MS * 2 / 3)
        self.assertGreaterEqual(in_half, 0.8 * len(asked))

    def test_gather_with_too_few_available_shards_is_rejected_at_once(self):
        emulator = start_sweeps(10)
        for shard in range(2):
            for copy in range(2):
                emulator.remove_entry(f'r-{shard}-{copy}')
        emulator.run(100)
        vm, key, asked_ms = drive(emulator, '/sweep/x', 1, 1)[0]
        answered_ms, answer = answer_of(emulator, vm, key)
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertIsNotNone(answer.retry_after_ms)
        self.assertEqual(answered_ms, asked_ms)


class RejectionsTest(unittest.TestCase):
    """One replica of each shard rejects most requests although its entry is ready."""

    def test_requests_move_to_the_replica_that_accepts_them(self):
        emulator = start_sweeps(20)
        for shard in range(20):
            emulator.replicas[f'r-{shard}-0'].spec.reject_share = 0.6
        drive(emulator, '/sweep/x', 20, 5)
        asked = drive(emulator, '/sweep/x', 20, 10)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, 0.9 * len(asked))


class DisconnectTest(unittest.TestCase):
    """Callers disconnect before their answer."""

    def test_requests_of_a_disconnected_caller_are_cancelled_at_replicas(self):
        emulator = start_sweeps(20, spec=lambda: ReplicaSpec(slow_factor=20.0))
        key = emulator.send_request(0, '/sweep/x', 1_200.0)
        emulator.run(60.0)
        emulator.disconnect_caller(0, key)
        self.assertFalse(emulator.vms[0].gateway.upstreams.exchanges)
        # The VMs that parts were ordered from learn of it after the delay between regions.
        emulator.run(REGION_DELAY_MS)
        for replica in emulator.replicas.values():
            for job in replica.running:
                self.assertTrue(job.is_cancelled)


class ConnectionsTest(unittest.TestCase):
    """A burst of requests to replicas that limit their connections."""

    def test_fleet_stays_under_the_limit_of_every_replica(self):
        emulator = start_sweeps(20, spec=pausing())
        most = 0

        def count(number):
            nonlocal most
            for replica_id in emulator.replicas:
                most = max(most, emulator.connection_count(replica_id))

        drive(emulator, '/sweep/x', 120, 5, after=count)
        self.assertLessEqual(most, 26)

    def test_connections_above_a_reduced_share_are_closed(self):
        emulator = start_sweeps(4, zones=ZONES[:2])
        drive(emulator, '/sweep/x', 200, 2)
        gateway = emulator.vms[0].gateway
        replica = emulator.replicas['r-0-0']
        held = [one for one in replica.open_connections if one[0] == 'vm-0']
        self.assertGreater(len(held), 26 // 11)
        for number in range(2, 10):
            member = Member(f'vm-{number}', f'vm-{number}', ZONES[0], incarnation=1, heartbeat=1)
            emulator.deliver_event(emulator.vms[0], HeartbeatReceived([member], 0, 0, False))
        emulator.run(300.0)
        for state in gateway.upstreams.by_id.values():
            self.assertLessEqual(len(state.idle) + len(state.busy), 26 // 11)
        held = [one for one in replica.open_connections if one[0] == 'vm-0']
        self.assertLessEqual(len(held), 26 // 11)
