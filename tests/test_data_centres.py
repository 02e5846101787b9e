"""Expensive links between the data centres of a region: parts are ordered where replicas are."""

import unittest

from nose2.tools import params

from beechbridge.gateway.fleet.placement import Placement
from beechbridge.gateway.models import MergedAnswer
from measure.stand_ins import region_of

from .gateways import ZONES, drive, in_time_count, start_sweeps, sweep_route

SHARD_COUNT = 24
MIN_IN_TIME_SHARE = 0.95
MAX_CROSSING_SHARE = 0.1
"""Largest share of sub-requests that may leave their VM's data centre: hedges."""


def start_split_region():
    """Return an emulator in which each region has one replica of each shard, in turn by zone."""
    emulator = start_sweeps(0, zones=ZONES * 2)
    for shard in range(SHARD_COUNT):
        for zone in ZONES[shard % 2 :: 2]:
            emulator.put_replica(f'r-{shard}-{zone}', f'shard-{shard}', zone)
    emulator.put_table([sweep_route(SHARD_COUNT)], version=2)
    emulator.run(500.0)
    drive(emulator, '/sweep/x', 20, 4)
    return emulator


class SplitRegionTest(unittest.TestCase):
    """Half of the shards have their nearest replica in the other data centre of the region."""

    def test_sub_requests_stay_within_their_data_centre(self):
        emulator = start_split_region()
        before = [dict(vm.gateway.counters.values) for vm in emulator.vms]
        asked = drive(emulator, '/sweep/x', 20, 5)
        sent = dict.fromkeys(('own_zone', 'own_region', 'other_region'), 0)
        for vm, old in zip(emulator.vms, before, strict=True):
            for name in sent:
                key = ('sub_requests', name)
                sent[name] += vm.gateway.counters.values.get(key, 0) - old.get(key, 0)
        crossing_count = sent['own_region'] + sent['other_region']
        self.assertLessEqual(crossing_count, MAX_CROSSING_SHARE * sum(sent.values()))
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, MIN_IN_TIME_SHARE * len(asked))
        for vm, key, _ in asked:
            answer = emulator.vms[vm].answers[key][1]
            self.assertEqual(len(set(answer.signatures)), SHARD_COUNT - answer.missing_count)

    def test_orders_go_to_the_other_data_centre_of_the_region(self):
        emulator = start_split_region()
        targets = set()
        for vm in emulator.vms:
            for state in vm.gateway.aggregators.states.values():
                if state.idle or state.busy:
                    targets.add((vm.gateway.fleet.own.zone, state.entry.zone))
        self.assertTrue(targets)
        for zone, target in targets:
            self.assertNotEqual(zone, target)
            self.assertEqual(region_of(zone), region_of(target))

    def test_each_request_is_counted_once_for_the_budget_of_its_shard(self):
        emulator = start_split_region()
        emulator.run(20_000.0)
        asked = drive(emulator, '/sweep/x', 20, 2)
        for shard in range(SHARD_COUNT):
            counts = [vm.gateway.budget(f'shard-{shard}').request_count for vm in emulator.vms]
            self.assertEqual(sum(counts), len(asked))


class CallerPlacementTest(unittest.TestCase):
    """Choice of VMs by the cost of the links that a request crosses."""

    @params(
        ('brum-a', {'vm-0', 'vm-6'}),
        ('brum-b', {'vm-1', 'vm-7'}),
        ('notts-a', {'vm-2', 'vm-8'}),
    )
    def test_callers_use_the_vms_of_their_data_centre(self, zone, expected):
        emulator = start_split_region()
        chosen = emulator.vms[9].gateway.best_members(zone, region_of(zone), emulator.now_ms)
        self.assertEqual({member.name for member in chosen}, expected)

    def test_single_vm_of_a_data_centre_gets_a_spare_of_its_region(self):
        emulator = start_split_region()
        emulator.vms[6].is_up = False
        emulator.run(2_000.0)
        chosen = emulator.vms[9].gateway.best_members('brum-a', 'brum', emulator.now_ms)
        names = {member.name for member in chosen}
        self.assertEqual(len(names), 2)
        self.assertIn('vm-0', names)
        self.assertTrue(names <= {'vm-0', 'vm-1', 'vm-7'})

    def test_number_of_shards_in_another_region_does_not_move_callers(self):
        placement = Placement({'brum-a': 'brum', 'notts-a': 'notts'})
        zones_by_service = {'a': {'brum-a'}, 'b': {'brum-a'}, 'c': {'notts-a'}}
        costs = [
            placement.mean_cost(zone, [('a', 'b', 'c')], zones_by_service)
            for zone in ('brum-a', 'notts-a')
        ]
        self.assertEqual(costs[0], costs[1])
