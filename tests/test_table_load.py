"""Large tables for many VMs behind narrow links: a change must be in force everywhere in time."""

import random
import string
import unittest

import msgspec
from nose2.tools import params

from measure.emulator import Emulator

from .gateways import WORK_MS, ZONES, sweep_route

LINK_BYTES_PER_MS = 875.0
"""A link of 7 Mbit/s."""

IN_FORCE_MS = 5_000.0
"""Time within which a table is in force everywhere, as the users specify."""

SPREAD_MS = 12_000.0


def make_document(route_count, seed=1):
    """Return the document of a table with routes of random names, as an operator writes it."""
    rng = random.Random(seed)
    letters = string.ascii_lowercase + string.digits

    def make_name(length):
        return ''.join(rng.choices(letters, k=length))

    routes = []
    for _ in range(route_count):
        route = {'name': f'r-{make_name(7)}', 'host': f'{make_name(5)}.example'}
        route |= {'prefix': f'/{make_name(8)}/', 'kind': 'idempotent', 'service': make_name(6)}
        routes.append({**route, 'timeoutMs': 4000, 'goalMs': 1000, 'attempts': 2, 'priority': 2})
    return msgspec.json.encode({'routes': routes})


def start_fleet(zones):
    """Return a fleet with narrow links that knows its members and has a small table."""
    emulator = Emulator(zones, WORK_MS)
    emulator.put_replica('r-0', 'shard-0', zones[0])
    emulator.put_table([sweep_route(1)], version=1)
    emulator.run(SPREAD_MS)
    for vm in emulator.vms:
        vm.link_bytes_per_ms = LINK_BYTES_PER_MS
    return emulator


def late_vms(emulator, version):
    """Return the VMs on which a table is not in force."""
    vms = [vm for vm in emulator.vms if vm.gateway.table.version != version]
    return [vm.gateway.fleet.own.name for vm in vms]


class LargeTableTest(unittest.TestCase):
    # Guards against VMs that answer by an older table long after a newer one was acknowledged,
    # because all of them fetch a large table at once, and again and again, over one narrow link.
    @params((ZONES[:1] * 14, 1_400), (ZONES[:1] * 14, 4_200), (ZONES * 14, 4_200))
    def test_large_table_and_its_successor_are_in_force_in_time(self, zones, route_count):
        emulator = start_fleet(zones)
        document = make_document(route_count)
        emulator.put_table([sweep_route(1)], version=10, document=document)
        emulator.run(2_000.0)
        emulator.put_table([sweep_route(1)], version=14, document=document + b'{}')
        emulator.run(IN_FORCE_MS)
        self.assertEqual(late_vms(emulator, 14), [])
