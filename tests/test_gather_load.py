"""Gathers under the loads of the users' days: who waits, where work goes, what is left out."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure
from beechbridge.gateway.events import HeartbeatReceived
from beechbridge.gateway.models import Member, MergedAnswer
from measure.emulated_actions import REGION_DELAY_MS
from measure.stand_ins import ReplicaSpec

from .gateways import GOAL_MS, ZONES, answer_of, arrivals_of, drive, in_time_count, start_sweeps

WANTED_IN_TIME = 0.95
"""Share of gathers within the goal: what the users' calm day asks for."""


def pausing(pause_ms=150.0, every_ms=3_600.0):
    return lambda: ReplicaSpec(pause_ms=pause_ms, pause_every_ms=every_ms)


class PausesTest(unittest.TestCase):
    """Pattern: every replica pauses for a moment, so that most gathers meet a pause."""

    @params((20, 20.0), (60, 8.0))
    def test_gathers_meet_their_goal_across_pauses(self, shard_count, per_s):
        emulator = start_sweeps(shard_count, spec=pausing())
        drive(emulator, '/sweep/x', per_s, 5)
        asked = drive(emulator, '/sweep/x', per_s, 20)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, WANTED_IN_TIME * len(asked))

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
    """Pattern: replicas of many shards turn slow at once."""

    def test_work_goes_to_the_replicas_that_are_not_slow(self):
        emulator = start_sweeps(20, spec=pausing())
        drive(emulator, '/sweep/x', 20, 5)
        for shard in range(0, 20, 4):
            emulator.replicas[f'r-{shard}-0'].spec.slow_factor = 8.0
        drive(emulator, '/sweep/x', 20, 3)
        asked = drive(emulator, '/sweep/x', 20, 10)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, 0.9 * len(asked))


class DarkShardTest(unittest.TestCase):
    """Pattern: all replicas of a shard are dark, or gone."""

    def test_dark_shard_is_left_out_at_the_goal(self):
        emulator = start_sweeps(20)
        drive(emulator, '/sweep/x', 20, 5)
        for copy in range(2):
            emulator.replicas[f'r-3-{copy}'].spec.is_dark = True
        asked = drive(emulator, '/sweep/x', 20, 5)
        for vm, key, asked_ms in asked:
            answered_ms, answer = answer_of(emulator, vm, key)
            self.assertIsInstance(answer, MergedAnswer)
            self.assertEqual(answer.missing_count, 1)
            self.assertLessEqual(answered_ms - asked_ms, GOAL_MS)

    def test_shard_known_to_be_dark_is_not_waited_for(self):
        emulator = start_sweeps(20)
        drive(emulator, '/sweep/x', 20, 5)
        for copy in range(2):
            emulator.replicas[f'r-3-{copy}'].spec.is_dark = True
        drive(emulator, '/sweep/x', 20, 3)
        asked = drive(emulator, '/sweep/x', 20, 5)
        in_half = in_time_count(emulator, asked, MergedAnswer, GOAL_MS * 2 / 3)
        self.assertGreaterEqual(in_half, 0.8 * len(asked))

    def test_too_few_shards_with_a_replica_are_refused_at_once(self):
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
    """Pattern: one replica of each shard rejects most requests while its entry says ready."""

    def test_work_moves_to_the_replica_that_takes_it(self):
        emulator = start_sweeps(20)
        for shard in range(20):
            emulator.replicas[f'r-{shard}-0'].spec.reject_share = 0.6
        drive(emulator, '/sweep/x', 20, 5)
        asked = drive(emulator, '/sweep/x', 20, 10)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, 0.9 * len(asked))


class LeavingCallersTest(unittest.TestCase):
    """Pattern: callers leave before their answer."""

    def test_replicas_stop_working_for_a_caller_that_left(self):
        emulator = start_sweeps(20, spec=lambda: ReplicaSpec(slow_factor=20.0))
        key = emulator.ask(0, '/sweep/x', 1_200.0)
        emulator.run(60.0)
        emulator.leave(0, key)
        self.assertFalse(emulator.vms[0].gateway.upstreams.exchanges)
        # The VMs that parts were ordered from hear of it on the way between regions.
        emulator.run(REGION_DELAY_MS)
        for replica in emulator.replicas.values():
            for job in replica.running:
                self.assertTrue(job.is_cancelled)


class ConnectionsTest(unittest.TestCase):
    """Pattern: a burst over replicas that bound their connections."""

    def test_fleet_stays_under_the_limit_of_every_replica(self):
        emulator = start_sweeps(20, spec=pausing())
        most = 0

        def count(number):
            nonlocal most
            for replica_id in emulator.replicas:
                most = max(most, emulator.connection_count(replica_id))

        drive(emulator, '/sweep/x', 120, 5, after=count)
        self.assertLessEqual(most, 26)

    def test_connections_over_a_share_that_has_shrunk_are_closed(self):
        emulator = start_sweeps(4, zones=ZONES[:2])
        drive(emulator, '/sweep/x', 200, 2)
        gateway = emulator.vms[0].gateway
        replica = emulator.replicas['r-0-0']
        held = [one for one in replica.open_connections if one[0] == 'vm-0']
        self.assertGreater(len(held), 26 // 11)
        for number in range(2, 10):
            member = Member(f'vm-{number}', f'vm-{number}', ZONES[0], incarnation=1, heartbeat=1)
            emulator.tell(emulator.vms[0], HeartbeatReceived([member], 0, 0, False))
        emulator.run(300.0)
        for state in gateway.upstreams.by_id.values():
            self.assertLessEqual(len(state.idle) + len(state.busy), 26 // 11)
        held = [one for one in replica.open_connections if one[0] == 'vm-0']
        self.assertLessEqual(len(held), 26 // 11)
