"""Replicas that name the requests per second which they accept from all VMs together."""

import unittest

from nose2.tools import params

from beechbridge.gateway.models import ForwardedAnswer, MergedAnswer
from beechbridge.gateway.requests.budgets import BudgetRules
from measure.emulator import Emulator

from .gateways import (
    REGIONS,
    START_MS,
    WORK_MS,
    ZONES,
    drive,
    in_time_count,
    single_route,
    start_sweeps,
)

STABLE_MS = 4_000.0
"""Time after a replica first named its limit from which the limit must be kept."""

LOOKUP_OBJECTIVE_MS = 400.0


def start_lookups(vm_count, replica_count, zones=REGIONS):
    """Return an emulator with one service without shards, whose replicas are in all zones."""
    vm_zones = tuple(zones[number % len(zones)] for number in range(vm_count))
    emulator = Emulator(vm_zones, WORK_MS, BudgetRules(0.2, 56.0))
    for number in range(replica_count):
        emulator.put_replica(f'r-{number}', 'register', zones[number % len(zones)])
    emulator.put_table([single_route('lookup')], connection_limit=110)
    emulator.run(START_MS)
    return emulator


def name_limits(emulator, limits):
    """Make replicas name limits, by ID."""
    for replica_id, limit_per_s in limits.items():
        emulator.replicas[replica_id].name_limit(limit_per_s, emulator.now_ms)


def assert_kept(test, emulator, replica_ids):
    """Check that the VMs that knew of the limits of replicas kept them in any window."""
    for replica_id in replica_ids:
        log = emulator.replicas[replica_id].notice_log
        test.assertLessEqual(log.highest_count(STABLE_MS), log.allowed_count, replica_id)


class LimitTest(unittest.TestCase):
    # A replica that named a limit got as many requests as before: nobody read its replies.
    @params((8, 10.0), (8, 3.0), (3, 5.0))
    def test_limit_of_one_copy_of_a_shard_is_kept(self, vm_count, limit_per_s):
        zones = tuple(REGIONS[number % 3] for number in range(vm_count))
        emulator = start_sweeps(20, zones=zones)
        drive(emulator, '/sweep/x', 45, 3)
        name_limits(emulator, {'r-0-0': limit_per_s})
        asked = drive(emulator, '/sweep/x', 45, 15)
        assert_kept(self, emulator, ['r-0-0'])
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, 0.95 * len(asked))

    # The same without shards: limits of one or two requests a second, for all VMs together.
    @params((8, (1.1, 1.9, 1.5)), (30, (1.1, 0.5, 2.0)))
    def test_limits_of_a_service_without_shards_are_kept(self, vm_count, limits):
        emulator = start_lookups(vm_count, 4, REGIONS if vm_count < 12 else ZONES)
        drive(emulator, '/lookup/x', 11, 3, 4_000.0)
        limited = {f'r-{number}': limit_per_s for number, limit_per_s in enumerate(limits)}
        name_limits(emulator, limited)
        asked = drive(emulator, '/lookup/x', 11, 20, 4_000.0)
        assert_kept(self, emulator, limited)
        in_time = in_time_count(emulator, asked, ForwardedAnswer, LOOKUP_OBJECTIVE_MS)
        self.assertGreaterEqual(in_time, 0.85 * len(asked))
