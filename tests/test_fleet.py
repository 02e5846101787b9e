"""The fleet: membership, store followers, placement of callers, graceful stop."""

import copy
import unittest

from nose2.tools import params

from beechbridge.core.hashing import rank_names
from beechbridge.gateway.actions import CloseIdleCallers, ExitProcess
from beechbridge.gateway.events import HeartbeatReceived, StopRequested, TimerDue
from beechbridge.gateway.fleet.gossip import FAILOVER_DELAY_MS, FOLLOW_ROLE
from beechbridge.gateway.fleet.members import ALIVE_TIMEOUT_MS
from measure.emulated_actions import STORE_LATENCY_MS
from measure.emulator import Emulator
from measure.stand_ins import ReplicaSpec

from .gateways import WORK_MS, ZONES, start_sweeps, sweep_route

SPREAD_MS = 12_000.0
"""Time within which every VM of a large fleet knows all others."""


def start_fleet(per_zone, spread_ms=SPREAD_MS):
    emulator = Emulator(ZONES * per_zone, WORK_MS)
    emulator.put_replica('r-0', 'shard-0', 'brum-a', ReplicaSpec())
    emulator.put_table([sweep_route(1)])
    emulator.run(spread_ms)
    return emulator


def names_for(emulator, vm, zone, region):
    gateway = emulator.vms[vm].gateway
    members = gateway.best_members(zone, region, emulator.now_ms)
    return {member.name for member in members}


class MembershipTest(unittest.TestCase):
    @params((1,), (2,), (8,))
    def test_every_vm_knows_all_others(self, per_zone):
        emulator = start_fleet(per_zone)
        for vm in emulator.vms:
            alive = vm.gateway.fleet.alive(emulator.now_ms)
            self.assertEqual(len(alive), len(emulator.vms) - 1)

    @params((1, 2_500.0), (8, 14_000.0))
    def test_lost_vm_is_no_longer_serving(self, per_zone, wait_ms):
        emulator = start_fleet(per_zone)
        lost = emulator.vms[1]
        lost.is_up = False
        emulator.run(wait_ms)
        for vm in emulator.vms:
            if vm is lost:
                continue
            serving = vm.gateway.fleet.serving(emulator.now_ms)
            self.assertNotIn('vm-1', {member.name for member in serving})

    def test_fleet_forms_while_some_seeds_are_down(self):
        emulator = Emulator(ZONES, WORK_MS)
        emulator.vms[0].is_up = emulator.vms[1].is_up = False
        emulator.put_table([sweep_route(1)])
        emulator.run(SPREAD_MS)
        alive = emulator.vms[5].gateway.fleet.alive(emulator.now_ms)
        self.assertEqual(len(alive), 3)


class ClockTest(unittest.TestCase):
    def test_restarted_vm_with_a_clock_set_back_rejoins(self):
        emulator = start_fleet(1)
        restarted = emulator.vms[4]
        restarted.is_up = False
        emulator.run(3_000.0)
        own = restarted.gateway.fleet.own
        own.incarnation, own.heartbeat = own.incarnation - 1, 0
        restarted.is_up = True
        emulator.deliver_event(restarted, TimerDue())
        emulator.run(3_000.0)
        serving = emulator.vms[0].gateway.fleet.serving(emulator.now_ms)
        self.assertIn('vm-4', {member.name for member in serving})

    def test_outdated_member_record_does_not_revive_a_lost_vm(self):
        emulator = start_fleet(1)
        gateway = emulator.vms[0].gateway
        old = copy.copy(gateway.fleet.members['vm-4'])
        emulator.vms[4].is_up = False
        emulator.run(3_000.0)
        sender = copy.copy(gateway.fleet.members['vm-1'])
        emulator.deliver_event(emulator.vms[0], HeartbeatReceived([sender, old], 1, 1))
        serving = gateway.fleet.serving(emulator.now_ms)
        self.assertNotIn('vm-4', {member.name for member in serving})


class PartitionTest(unittest.TestCase):
    @params((1, 300_000.0), (4, 20_000.0))
    def test_partition_does_not_raise_the_budget_shares(self, per_zone, partition_ms):
        emulator = start_fleet(per_zone)
        before = [vm.gateway.budget_share().count for vm in emulator.vms]
        for vm in emulator.vms[3:]:
            vm.is_up = False
        emulator.run(partition_ms)
        after = [vm.gateway.budget_share().count for vm in emulator.vms[:3]]
        self.assertEqual(after, before[:3])


class FollowersTest(unittest.TestCase):
    @params((1, 6), (4, 6))
    def test_one_vm_of_each_data_centre_follows_the_store(self, per_zone, expected):
        emulator = start_fleet(per_zone)
        self.assertEqual(sum(vm.is_following for vm in emulator.vms), expected)

    def test_new_table_reaches_every_vm_within_a_second(self):
        emulator = start_fleet(4)
        emulator.put_table([sweep_route(1)], version=5)
        emulator.run(1_000.0)
        for vm in emulator.vms:
            self.assertEqual(vm.gateway.table.version, 5)

    def test_store_follower_fails_over(self):
        emulator = start_fleet(3)
        follower = next(vm for vm in emulator.vms if vm.is_following)
        zone = follower.gateway.fleet.own.zone
        follower.is_up = follower.is_following = False
        emulator.run(4_000.0)
        emulator.put_table([sweep_route(1)], version=5)
        emulator.run(1_000.0)
        for vm in emulator.vms:
            if vm.is_up and vm.gateway.fleet.own.zone == zone:
                self.assertEqual(vm.gateway.table.version, 5)

    # VMs that the store turns away must not hold up the others by having begun to follow it.
    def test_follower_fails_over_past_vms_that_the_store_turns_away(self):
        emulator = start_fleet(6)
        zone = 'brum-a'
        vms = {vm.gateway.fleet.own.name: vm for vm in emulator.vms}
        names = [name for name, vm in vms.items() if vm.gateway.fleet.own.zone == zone]
        follower = next(name for name in names if vms[name].is_following)
        turned_away = rank_names(FOLLOW_ROLE, [name for name in names if name != follower])[:2]
        vms[follower].is_up = vms[follower].is_following = False
        while emulator.now_ms < 2 * SPREAD_MS:
            # Shorter than the store takes: they ask and never get an answer.
            emulator.run(STORE_LATENCY_MS / 2)
            for name in turned_away:
                vms[name].is_following = False
            if any(vms[name].is_following for name in names):
                break
        self.assertLess(emulator.now_ms - SPREAD_MS, ALIVE_TIMEOUT_MS + 3 * FAILOVER_DELAY_MS)


class PlacementTest(unittest.TestCase):
    def test_callers_of_a_region_use_its_vms(self):
        emulator = start_sweeps(3, zones=ZONES)
        names = names_for(emulator, 0, 'notts-a', 'notts')
        self.assertEqual(names, {'vm-2', 'vm-3'})

    # Each new connection of a caller takes a round trip more; an order of parts takes none.
    def test_callers_without_replicas_in_their_region_use_its_vms(self):
        emulator = Emulator(ZONES, WORK_MS)
        for shard in range(20):
            emulator.put_replica(f'r-{shard}', f'shard-{shard}', 'brum-a')
        emulator.put_table([sweep_route(20)])
        emulator.run(SPREAD_MS)
        names = names_for(emulator, 0, 'wolves-a', 'wolves')
        self.assertEqual(names, {'vm-4', 'vm-5'})

    def test_callers_of_a_large_fleet_use_its_largest_vms(self):
        emulator = Emulator(ZONES * 5, WORK_MS)
        for number, vm in enumerate(emulator.vms):
            vm.gateway.fleet.own.capacity_millicores = 2000 if number < 12 else 500
        emulator.put_table([sweep_route(1)])
        emulator.run(SPREAD_MS)
        self.assertEqual(names_for(emulator, 7, 'brum-a', 'brum'), {'vm-0', 'vm-6'})
        self.assertEqual(names_for(emulator, 7, 'brum-b', 'brum'), {'vm-1', 'vm-7'})
        share = emulator.vms[0].gateway.connection_share('shard-0')
        self.assertEqual(share, 26 // (12 + 1))
        self.assertEqual(emulator.vms[20].gateway.connection_share('shard-0'), 1)


class StopTest(unittest.TestCase):
    def test_leaving_vm_is_not_listed_but_continues_to_serve(self):
        emulator = start_sweeps(3, zones=ZONES)
        emulator.deliver_event(emulator.vms[2], StopRequested())
        self.assertFalse(emulator.vms[2].gateway.is_ready())
        emulator.run(100.0)
        self.assertEqual(names_for(emulator, 0, 'notts-a', 'notts'), {'vm-3'})
        key = emulator.send_request(2, '/sweep/x', 1_200.0)
        emulator.run(300.0)
        self.assertIn(key, emulator.vms[2].answers)

    def test_stop_ends_within_the_grace_period_after_closing_connections(self):
        emulator = start_sweeps(3, zones=ZONES[:1])
        vm = emulator.vms[0]
        gateway = vm.gateway
        emulator.deliver_event(vm, StopRequested())
        ended_ms = None
        closed_ms = None
        for _ in range(120):
            emulator.now_ms += 50.0
            for action in gateway.handle(TimerDue(), emulator.now_ms):
                if isinstance(action, CloseIdleCallers):
                    closed_ms = emulator.now_ms
                if isinstance(action, ExitProcess) and ended_ms is None:
                    ended_ms = emulator.now_ms
        self.assertIsNotNone(closed_ms)
        self.assertLess(closed_ms, ended_ms)
        self.assertLess(ended_ms - 4_000.0, gateway.stopping.grace_ms)
