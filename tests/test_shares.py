"""The fleet stays within each replica's connection limit, whatever each VM knows of it."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from beechbridge.core.upstreams.shares import connection_share

from .utils import Simulation

NAMES = tuple(f'v{number}' for number in range(1, 9))


def open_connections(sim, replica_id):
    total = 0
    for core in sim.cores.values():
        total += core.upstreams.states[replica_id].pool.open_count(sim.now_ms)
    return total


class ShareTest(unittest.TestCase):
    @given(
        limit=st.integers(1, 120),
        spare=st.integers(0, 4),
        running=st.integers(1, 60),
        data=st.data(),
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_sum_stays_under_the_limit_in_any_views(self, limit, spare, running, data):
        names = [f'v{number}' for number in range(running)]
        total = 0
        for own in names:
            hidden = data.draw(st.sets(st.sampled_from(names), max_size=spare))
            listed = [name for name in names if name not in hidden]
            total += connection_share(limit, spare, listed, own, 'r')
        self.assertLessEqual(total, limit)

    @params((25, 8, 2, 2), (110, 8, 2, 11), (40, 8, 2, 4), (25, 30, 2, 1), (1, 3, 2, 0))
    def test_share_of_a_listed_vm(self, limit, vm_count, spare, expected):
        names = [f'v{number}' for number in range(vm_count)]
        shares = [connection_share(limit, spare, names, own, 'r') for own in names]
        self.assertEqual(max(shares), expected)

    def test_sum_stays_under_the_limit_during_a_partition(self):
        sim = Simulation(NAMES)
        sim.run(3000)
        sim.partition(set(NAMES[:4]), set(NAMES[4:]))
        sim.upstreams.latency_ms = {f'svc{n}-{x}': 300.0 for n in range(3) for x in 'ab'}
        for tick in range(40):
            for name in NAMES:
                sim.ask(name, f'{name}-{tick}')
            sim.run(50)
            for replica_id in sim.cores['v1'].upstreams.states:
                self.assertLessEqual(open_connections(sim, replica_id), 25)
        sim.run(3000)
        shares = {c.upstreams.states['svc0-a'].pool.share for c in sim.cores.values()}
        self.assertEqual(shares, {2})

    def test_shares_shrink_at_once_and_grow_late(self):
        sim = Simulation(NAMES[:3])
        sim.run(2000)
        pool = sim.cores['v1'].upstreams.states['svc0-a'].pool
        self.assertEqual(pool.share, 5)
        sim.list_vm('v4')
        sim.list_vm('v5')
        sim.run(1500)
        self.assertEqual(pool.share, 3)
        del sim.vms['v4'], sim.vms['v5']
        sim.run(5000)
        self.assertEqual(pool.share, 3)
        sim.run(10_000)
        self.assertEqual(pool.share, 5)
