"""Connections are counted as the upstream counts them, and a reserve is kept."""

import unittest

from nose2.tools import params

from beechbridge.actions import CloseConnection, Send
from beechbridge.core.upstreams.connections import SILENT_HOLD_MS, ConnectionPool
from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived
from beechbridge.messages import CancelOrder, LoadProbe, ShardQuery

from .utils import LOST, REFUSED, World, make_document, make_entries


def make_pool(share):
    pool = ConnectionPool()
    pool.share = share
    return pool


class PoolTest(unittest.TestCase):
    @params((0, 0), (1, 1), (2, 1), (3, 2), (11, 8))
    def test_reserve_is_kept_for_new_connections(self, share, usable):
        pool = make_pool(share)
        taken = 0
        while pool.acquire(0.0, taken, False) is not None:
            taken += 1
        self.assertEqual(taken, usable)
        fresh = 0
        while pool.acquire(0.0, 100 + fresh, True) is not None:
            fresh += 1
        self.assertEqual(taken + fresh, share)

    def test_reserve_is_closed_after_use(self):
        pool = make_pool(3)
        for number in range(3):
            pool.acquire(0.0, number, True)
        kept = [pool.release(number, 1.0, True) for number in range(3)]
        self.assertEqual(kept, [False, True, True])

    def test_silent_connections_count_until_the_hold_ends(self):
        pool = make_pool(3)
        for number in range(3):
            pool.acquire(0.0, number, True)
        pool.discard(0, 0.0, SILENT_HOLD_MS)
        pool.release(1, 0.0, True)
        pool.evict_idle(1.0, SILENT_HOLD_MS)
        pool.discard(2, 0.0)
        self.assertEqual(pool.open_count(SILENT_HOLD_MS - 1), 2)
        self.assertIsNotNone(pool.acquire(0.0, 5, True))
        self.assertIsNone(pool.acquire(0.0, 6, True))
        self.assertEqual(pool.open_count(SILENT_HOLD_MS + 1), 1)


class ReplicaLossTest(unittest.TestCase):
    def test_abandoned_exchange_keeps_its_connection_until_the_reply(self):
        world = World(('v1',), make_document(hedge_percent=100.0))
        world.run(500)
        for number in range(40):
            world.ask('v1', f'warm-{number}')
            world.run(20 if number % 4 == 3 else 0)
        world.upstreams.latency_ms = {f'svc{n}-a': 100.0 for n in range(3)}
        mark = len(world.log)
        for number in range(5):
            world.ask('v1', f'q{number}')
            world.run(150)
            self.assertTrue(world.answer(f'q{number}').coverage.complete)
        core = world.cores['v1']
        self.assertGreater(core.counters.get('hedges'), 0)
        self.assertEqual(core.counters.get('replies_late'), core.counters.get('cancels'))
        closed = [a for _, a in world.log[mark:] if isinstance(a, CloseConnection)]
        self.assertEqual(closed, [])
        orders = [a for a in world.upstreams.sends if isinstance(a.message, CancelOrder)]
        self.assertGreater(len(orders), 0)

    @params('hang', 'refuse new')
    def test_lost_replica_is_ejected_and_readmitted(self, kind):
        world = World(('v1',), make_document(hedge_percent=0.0))
        world.run(500)
        for number in range(4):
            world.ask('v1', f'warm-{number}')
            world.run(20)
        result = None if kind == 'hang' else REFUSED
        world.upstreams.script = {'svc1-a': lambda action: result}
        for number in range(20):
            world.ask('v1', f'q{number}', deadline_ms=1000)
            world.run(1000)
            self.assertTrue(world.answer(f'q{number}').coverage.complete)
        state = world.cores['v1'].upstreams.states['svc1-a']
        self.assertTrue(state.is_ejected)
        world.upstreams.sends.clear()
        for number in range(10):
            world.ask('v1', f'later-{number}')
            world.run(100)
        asked = {a.replica.replica_id for a in world.upstreams.queries()}
        self.assertNotIn('svc1-a', asked)
        world.upstreams.script = {}
        world.run(70_000)
        self.assertFalse(state.is_ejected)

    def test_replica_without_free_connections_is_passed_over(self):
        world = World(('v1',))
        world.run(500)
        pool = world.cores['v1'].upstreams.states['svc1-a'].pool
        pool.evict_idle(float('inf'))
        pool.held_until_ms = [world.now_ms + SILENT_HOLD_MS] * pool.share
        for number in range(10):
            world.ask('v1', f'q{number}')
            world.run(50)
            self.assertTrue(world.answer(f'q{number}').coverage.complete)

    def test_several_silent_replicas_speak_against_all_old_connections(self):
        world = World(('v1',), make_document(services=6, hedge_percent=0.0))
        world.run(500)
        for number in range(8):
            world.ask('v1', f'warm-{number}')
            world.run(20)
        old = set()
        for state in world.cores['v1'].upstreams.states.values():
            old |= {connection_id for connection_id, _ in state.pool.idle}
        upstreams = world.upstreams

        def answer(action):
            return None if action.connection_id in old else upstreams

        for replica_id in world.cores['v1'].upstreams.states:
            upstreams.script[replica_id] = answer
        world.ask('v1', 'q')
        world.run(1000)
        self.assertTrue(world.answer('q').coverage.complete)
        upstreams.sends.clear()
        world.ask('v1', 'next')
        world.run(100)
        self.assertTrue(world.answer('next').coverage.complete)
        used = [a for a in upstreams.sends if isinstance(a.message, (ShardQuery, LoadProbe))]
        self.assertFalse({a.connection_id for a in used} & old)

    def test_queue_of_a_hung_replica_moves_elsewhere(self):
        world = World(('v1',), make_document(hedge_percent=0.0, hard_deadline_ms=4000))
        world.run(500)
        for number in range(4):
            world.ask('v1', f'warm-{number}')
            world.run(20)
        world.upstreams.script = {'svc1-a': lambda action: None}
        for number in range(40):
            world.ask('v1', f'q{number}')
        world.run(4500)
        for number in range(40):
            self.assertTrue(world.answer(f'q{number}').coverage.complete)

    def test_broken_connections_cost_nothing_of_the_share(self):
        world = World(('v1',), make_document(services=6, hedge_percent=0.0))
        world.run(500)
        for number in range(8):
            world.ask('v1', f'warm-{number}')
            world.run(20)
        states = world.cores['v1'].upstreams.states
        old = {pair[0] for state in states.values() for pair in state.pool.idle}
        upstreams = world.upstreams

        def reset(action):
            return LOST if action.connection_id in old else upstreams

        upstreams.script = dict.fromkeys(states, reset)
        world.ask('v1', 'q')
        world.run(100)
        self.assertTrue(world.answer('q').coverage.complete)
        for state in states.values():
            self.assertEqual(state.pool.held_until_ms, [])

    def test_replica_that_moved_is_never_reached_at_its_old_address(self):
        world = World(('v1',))
        world.run(500)
        for number in range(4):
            world.ask('v1', f'warm-{number}')
            world.run(20)
        world.ask('v1', 'under-way')
        world.run(1)
        entries = make_entries()
        for listed in entries['service/b/svc1']['replicas']:
            listed['port'] = 4321
        world.hand('v1', ConfigurationReceived(Document(2, entries)))
        world.run(100)
        self.assertTrue(world.answer('under-way').coverage.complete)
        old = {a.connection_id for a in world.actions(Send) if a.is_new}
        mark = len(world.log)
        for number in range(10):
            world.ask('v1', f'q{number}')
            world.run(20)
            self.assertTrue(world.answer(f'q{number}').coverage.complete)
        sends = [a for _, a in world.log[mark:] if isinstance(a, Send)]
        moved = [a for a in sends if a.replica.replica_id.startswith('svc1')]
        self.assertEqual({a.replica.port for a in moved}, {4321})
        self.assertFalse({a.connection_id for a in moved} & old)
