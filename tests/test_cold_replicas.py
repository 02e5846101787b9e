"""Cold replicas in a fleet: all VMs together keep to the rate that a cold replica tolerates."""

import copy
import unittest

from nose2.tools import params

from beechbridge.gateway.models import ForwardedAnswer
from beechbridge.gateway.replicas.cold import ColdRules, bound_per_second, permit_rate
from beechbridge.gateway.requests.budgets import BudgetRules
from measure.emulator import Emulator
from measure.notice_log import ColdLog

from .gateways import REGIONS, START_MS, WORK_MS, ZONES, in_time_count, single_route
from .test_limit_keepers import EVEN, ONE_VM, drive_lookups, keeper_of
from .test_replica_limits import LOOKUP_OBJECTIVE_MS

RULES = ColdRules(1.5, 5.0)
INFORMED_MS = 100.0
"""Time after a replica told a VM that it is cold from which the VM's requests count: those that it
sent before are on their way until then."""

FOREVER_MS = 1e6
MIN_USED_FRACTION = 0.6
"""Fraction of its permits that a cold replica is to use where there is work for all replicas."""


def start_cold_fleet(vm_count, cold_rate_per_s, rules=RULES, seed=1, states_cold=True):
    """Return an emulator with one service without shards, whose replicas say if they are cold."""
    zones = REGIONS if vm_count < 12 else ZONES
    vm_zones = tuple(zones[number % len(zones)] for number in range(vm_count))
    work_ms = {**WORK_MS, 'lookup': 5.0}
    emulator = Emulator(vm_zones, work_ms, BudgetRules(0.2, 56.0), seed, cold_rules=rules)
    for number in range(3):
        replica = emulator.put_replica(f'r-{number}', 'register', zones[number % len(zones)])
        replica.spec.slots = 8
        replica.spec.cold_until_ms = 0.0 if states_cold else None
    emulator.put_table([single_route('lookup')], 2_000, cold_rate_per_s=cold_rate_per_s)
    emulator.run(START_MS)
    return emulator


def turn_cold(emulator, replica_id, cold_rate_per_s, for_ms=FOREVER_MS):
    """Let a replica be cold from now on; return the log of what reaches it."""
    replica = emulator.replicas[replica_id]
    replica.turn_cold(emulator.now_ms, for_ms, bound_per_second(cold_rate_per_s, RULES))
    return replica.notice_log


def restart_cold(emulator, replica, cold_rate_per_s):
    """End a replica; it starts again under its ID, and says that it is cold."""
    emulator.end_replica(replica)
    replica.spec.cold_until_ms = FOREVER_MS
    replica.entry = copy.copy(replica.entry)
    replica.entry.cold_left_ms = FOREVER_MS
    replica.notice_log = ColdLog(emulator.now_ms, bound_per_second(cold_rate_per_s, RULES))


class FleetTest(unittest.TestCase):
    # A replica that turned cold got what all VMs sent until each had a reply of its own: 112
    # requests in a second from 300 VMs, where 12.5 are allowed.
    @params(
        (1, 2.0, 60, EVEN, 1_000.0),
        (1, 10.0, 120, EVEN, 6_000.0),
        (8, 1.0, 60, ONE_VM, 6_000.0),
        (30, 2.0, 60, EVEN, 6_000.0),
        (30, 10.0, 200, EVEN, 6_000.0),
        (30, 40.0, 300, ONE_VM, 6_000.0),
        (300, 5.0, 300, EVEN, 1_500.0),
    )
    def test_replica_that_turns_cold_gets_no_more_than_its_bound(
        self, vm_count, cold_rate_per_s, per_s, pattern, for_ms
    ):
        emulator = start_cold_fleet(vm_count, cold_rate_per_s)
        drive_lookups(emulator, per_s, 1, pattern)
        log = turn_cold(emulator, 'r-0', cold_rate_per_s)
        drive_lookups(emulator, per_s, for_ms / 1_000.0, pattern)
        self.assertLessEqual(log.highest_in_second(emulator.now_ms, INFORMED_MS), log.bound)
        self.assertLessEqual(log.highest_in_second(emulator.now_ms), log.bound)

    # A cold replica warms up by serving requests: permits that nobody uses would keep it cold.
    @params((1, 2.0, 60), (8, 5.0, 60), (30, 10.0, 200))
    def test_cold_replica_is_not_starved(self, vm_count, cold_rate_per_s, per_s):
        emulator = start_cold_fleet(vm_count, cold_rate_per_s)
        log = turn_cold(emulator, 'r-0', cold_rate_per_s)
        emulator.replicas['r-0'].spec.slow_factor = 3.0
        drive_lookups(emulator, per_s, 3)
        since_ms = emulator.now_ms
        drive_lookups(emulator, per_s, 6)
        count = sum(since_ms <= at_ms < since_ms + 6_000.0 for at_ms, _ in log.arrivals)
        self.assertGreaterEqual(count, MIN_USED_FRACTION * 6 * permit_rate(cold_rate_per_s, RULES))

    # A penalty on the latency of a cold replica would give all work to its idle warm neighbour.
    def test_cold_replica_beside_an_idle_warm_one_gets_its_rate(self):
        emulator = start_cold_fleet(1, 2.0)
        spec = copy.copy(emulator.replicas['r-0'].spec)
        emulator.put_replica('r-9', 'register', REGIONS[0], spec)
        restart_cold(emulator, emulator.replicas['r-0'], 2.0)
        emulator.run(6_000.0)
        drive_lookups(emulator, 20, 6)
        count = len(emulator.replicas['r-0'].notice_log.arrivals)
        self.assertGreaterEqual(count, MIN_USED_FRACTION * 6 * permit_rate(2.0, RULES))

    # The new process of an ID must not inherit what the one before it was sent freely.
    @params((1, 2.0, 60), (8, 5.0, 100), (30, 10.0, 200))
    def test_bound_holds_for_a_restart_under_the_same_id(self, vm_count, cold_rate_per_s, per_s):
        emulator = start_cold_fleet(vm_count, cold_rate_per_s)
        replica = emulator.replicas['r-0']
        drive_lookups(emulator, per_s, 2)
        restart_cold(emulator, replica, cold_rate_per_s)
        drive_lookups(emulator, per_s, 8)
        log = replica.notice_log
        self.assertGreater(len(log.arrivals), cold_rate_per_s)
        self.assertLessEqual(log.highest_in_second(emulator.now_ms), log.bound)

    # A new keeper knows nothing of the permits of the one before, and must not add a burst.
    @params((8, 5.0, 100, False), (30, 10.0, 200, False), (8, 5.0, 100, True))
    def test_bound_holds_when_the_keeper_ends(self, vm_count, cold_rate_per_s, per_s, is_back):
        emulator = start_cold_fleet(vm_count, cold_rate_per_s)
        log = turn_cold(emulator, 'r-0', cold_rate_per_s)
        drive_lookups(emulator, per_s, 3)
        keeper = keeper_of(emulator, REGIONS[0])
        if is_back:
            emulator.restart_vm(keeper, 300.0)
        else:
            keeper.is_up = False
        drive_lookups(emulator, per_s, 7)
        self.assertLessEqual(log.highest_in_second(emulator.now_ms), log.bound)
        since_ms = emulator.now_ms - 3_000.0
        self.assertGreater(sum(at_ms >= since_ms for at_ms, _ in log.arrivals), cold_rate_per_s)

    # Permits that go on for a warm replica would halve what the service can take.
    def test_replica_that_is_warm_again_is_used_freely(self):
        emulator = start_cold_fleet(8, 2.0)
        turn_cold(emulator, 'r-0', 2.0, for_ms=2_000.0)
        drive_lookups(emulator, 60, 3)
        wanted = sum(vm.gateway.counters.get('permits_wanted') for vm in emulator.vms)
        asked = drive_lookups(emulator, 60, 4)
        later = sum(vm.gateway.counters.get('permits_wanted') for vm in emulator.vms)
        self.assertEqual(later, wanted)
        in_time = in_time_count(emulator, asked, ForwardedAnswer, LOOKUP_OBJECTIVE_MS)
        self.assertEqual(in_time, len(asked))

    # Work must not wait for a cold replica while others can do it.
    def test_requests_are_served_elsewhere_while_a_replica_is_cold(self):
        emulator = start_cold_fleet(8, 1.0)
        turn_cold(emulator, 'r-0', 1.0)
        asked = drive_lookups(emulator, 60, 4)
        in_time = in_time_count(emulator, asked, ForwardedAnswer, LOOKUP_OBJECTIVE_MS)
        self.assertEqual(in_time, len(asked))

    # Without `coldRateS` nobody is bound, whatever replicas say about being cold.
    @params(1, 8)
    def test_service_without_a_cold_rate_is_served_as_before(self, vm_count):
        arrivals = []
        for states_cold in (False, True):
            emulator = start_cold_fleet(vm_count, 0.0, states_cold=states_cold)
            drive_lookups(emulator, 60, 1)
            if states_cold:
                for replica in emulator.replicas.values():
                    replica.spec.cold_until_ms = FOREVER_MS
            drive_lookups(emulator, 60, 4)
            rows = []
            for replica_id, replica in emulator.replicas.items():
                rows.extend((at_ms, replica_id) for at_ms, _ in replica.arrivals)
            arrivals.append(rows)
        self.assertEqual(*arrivals)
