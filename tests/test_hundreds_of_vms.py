"""Hundreds of VMs at rest: every one is known alive everywhere, and few read the store."""

import functools
import unittest

from beechbridge.core.hashing import rank_names
from beechbridge.core.timers import Timers
from beechbridge.gateway.fleet.gossip import DELEGATE_COUNT, DELEGATE_ROLE
from measure.emulator import Emulator

from .gateways import WORK_MS, ZONES, sweep_route

VMS_PER_ZONE = 20
"""Makes 120 VMs: more than one datagram lists."""

START_SPREAD_MS = 300.0
START_MS = 12_000.0
REST_MS = 10_000.0


def start_fleet():
    emulator = Emulator(ZONES * VMS_PER_ZONE, WORK_MS)
    for number, vm in enumerate(emulator.vms):
        vm.gateway.fleet.own.capacity_millicores = 2000 if number < 18 else 500
    emulator.put_replica('r-0', 'shard-0', 'brum-a')
    emulator.put_table([sweep_route(1)])
    return emulator


def start_in_any_order(emulator):
    """Start all VMs anew, each at a random moment, so that seeds may start after others."""
    for vm in emulator.vms:
        vm.is_up = False
        vm.gateway.timers = Timers()
        delay_ms = emulator.rng.uniform(0.0, START_SPREAD_MS)
        emulator.schedule(delay_ms, functools.partial(start_vm, emulator, vm))


def start_vm(emulator, vm):
    vm.is_up = True
    emulator.perform_all(vm, vm.gateway.start(emulator.now_ms))


def count_lines(emulator, subject, **expected):
    count = 0
    for vm in emulator.vms:
        for line in vm.lines:
            if line.subject == subject and expected.items() <= line.fields.items():
                count += 1
    return count


class StoreReadersTest(unittest.TestCase):
    # Calls to the store are limited for the whole fleet: of the VMs that start together few may
    # read it, and a follower is not replaced because a VM of a higher rank turns up.
    def test_few_vms_read_the_store_when_all_start(self):
        emulator = start_fleet()
        start_in_any_order(emulator)
        emulator.run(START_MS)
        starts = count_lines(emulator, 'store_follower', is_following=True)
        self.assertLessEqual(starts, 3 * len(ZONES))
        self.assertEqual(sum(vm.is_following for vm in emulator.vms), len(ZONES))
        for vm in emulator.vms:
            self.assertIsNotNone(vm.gateway.table)


class LinesTest(unittest.TestCase):
    # Hundreds of VMs that each log hundreds of replicas at a start drown everything else.
    def test_replicas_of_a_listing_take_one_line(self):
        emulator = Emulator(ZONES[:1], WORK_MS)
        for number in range(300):
            emulator.put_replica(f'r-{number}', f'shard-{number}', 'brum-a')
        emulator.put_table([sweep_route(300)])
        emulator.run(START_MS)
        self.assertEqual(count_lines(emulator, 'replica_changed'), 0)
        self.assertEqual(count_lines(emulator, 'replicas_listed', items=301, added=300), 1)
        emulator.put_replica('r-300', 'shard-300', 'brum-a')
        self.assertEqual(count_lines(emulator, 'replica_changed', state='ready'), 1)


class MembershipAtRestTest(unittest.TestCase):
    # With nothing disturbed no VM may count as silent: directory, orders and shares rest on it.
    def test_no_vm_is_called_silent(self):
        emulator = start_fleet()
        emulator.run(START_MS)
        for vm in emulator.vms:
            self.assertEqual(len(vm.gateway.fleet.alive(emulator.now_ms)), len(emulator.vms) - 1)
        emulator.run(REST_MS)
        self.assertEqual(count_lines(emulator, 'member_changed', state='silent'), 0)

    # Delegates that are active send their own record to their region; the others' records must
    # get to its other data centre as well.
    def test_active_delegates_relay_their_data_centre_within_the_region(self):
        emulator = start_fleet()
        for zone in ZONES:
            vms = [vm for vm in emulator.vms if vm.gateway.fleet.own.zone == zone]
            names = rank_names(DELEGATE_ROLE, [vm.gateway.fleet.own.name for vm in vms])
            for vm in vms:
                own = vm.gateway.fleet.own
                own.capacity_millicores = 2000 if own.name in names[:DELEGATE_COUNT] else 500
        emulator.run(START_MS + REST_MS)
        self.assertEqual(count_lines(emulator, 'member_changed', state='silent'), 0)

    # The list of a data centre of which one VM is left has one member; it must spread as well.
    def test_last_vm_of_a_data_centre_is_known_everywhere(self):
        emulator = start_fleet()
        emulator.run(START_MS)
        for vm in emulator.vms[11::6]:
            vm.is_up = False
        emulator.run(REST_MS)
        for vm in emulator.vms:
            if not vm.is_up or vm is emulator.vms[5]:
                continue
            self.assertTrue(
                vm.gateway.fleet.is_alive(vm.gateway.fleet.members['vm-5'], emulator.now_ms)
            )

    # A VM that callers no longer use stops sending to its region; it must not count as silent.
    def test_vm_that_is_no_longer_active_is_not_called_silent(self):
        emulator = start_fleet()
        emulator.run(START_MS)
        emulator.vms[0].gateway.fleet.own.capacity_millicores = 1
        emulator.run(REST_MS)
        self.assertFalse(emulator.vms[0].gateway.fleet.own.is_active)
        self.assertEqual(count_lines(emulator, 'member_changed', state='silent'), 0)
