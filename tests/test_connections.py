"""Connections count as the upstream counts them, and some are reserved for new connections."""

import unittest

from nose2.tools import params

from beechbridge.actions import CloseConnection, Send
from beechbridge.core.upstreams.connections import SILENT_HOLD_MS, ConnectionPool
from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived
from beechbridge.messages import CancelOrder, LoadProbe, ShardQuery

from .utils import LOST, REFUSED, Simulation, make_document, make_entries


def make_pool(share):
    pool = ConnectionPool()
    pool.share = share
    return pool


class PoolTest(unittest.TestCase):
    @params((0, 0), (1, 1), (2, 1), (3, 2), (11, 8))
    def test_reserve_is_kept_for_new_connections(self, share, usable):
        pool = make_pool(share)
        opened = 0
        while pool.acquire(0.0, opened, False) is not None:
            opened += 1
        self.assertEqual(opened, usable)
        opened_from_reserve = 0
        while pool.acquire(0.0, 100 + opened_from_reserve, True) is not None:
            opened_from_reserve += 1
        self.assertEqual(opened + opened_from_reserve, share)

    def test_reserve_is_closed_after_use(self):
        pool = make_pool(3)
        for number in range(3):
            pool.acquire(0.0, number, True)
        kept = [pool.release(number, 1.0, True) for number in range(3)]
        self.assertEqual(kept, [False, True, True])

    def test_silent_connections_count_until_the_hold_time_ends(self):
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
        sim = Simulation(('v1',), make_document(hedge_percent=100.0))
        sim.run(500)
        for number in range(40):
            sim.ask('v1', f'warm-{number}')
            sim.run(20 if number % 4 == 3 else 0)
        sim.upstreams.latency_ms = {f'svc{n}-a': 100.0 for n in range(3)}
        log_start = len(sim.log)
        for number in range(5):
            sim.ask('v1', f'q{number}')
            sim.run(150)
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)
        core = sim.cores['v1']
        self.assertGreater(core.counters.get('hedges'), 0)
        self.assertEqual(core.counters.get('replies_late'), core.counters.get('cancels'))
        closed = [a for _, a in sim.log[log_start:] if isinstance(a, CloseConnection)]
        self.assertEqual(closed, [])
        cancel_orders = [a for a in sim.upstreams.sends if isinstance(a.message, CancelOrder)]
        self.assertGreater(len(cancel_orders), 0)

    @params('hang', 'refuse new')
    def test_lost_replica_is_ejected_and_readmitted(self, kind):
        sim = Simulation(('v1',), make_document(hedge_percent=0.0))
        sim.run(500)
        for number in range(4):
            sim.ask('v1', f'warm-{number}')
            sim.run(20)
        result = None if kind == 'hang' else REFUSED
        sim.upstreams.script = {'svc1-a': lambda action: result}
        for number in range(20):
            sim.ask('v1', f'q{number}', deadline_ms=1000)
            sim.run(1000)
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)
        state = sim.cores['v1'].upstreams.states['svc1-a']
        self.assertTrue(state.is_ejected)
        sim.upstreams.sends.clear()
        for number in range(10):
            sim.ask('v1', f'later-{number}')
            sim.run(100)
        asked = {a.replica.replica_id for a in sim.upstreams.queries()}
        self.assertNotIn('svc1-a', asked)
        sim.upstreams.script = {}
        sim.run(70_000)
        self.assertFalse(state.is_ejected)

    def test_replica_without_free_connections_is_skipped(self):
        sim = Simulation(('v1',))
        sim.run(500)
        pool = sim.cores['v1'].upstreams.states['svc1-a'].pool
        pool.evict_idle(float('inf'))
        pool.held_until_ms = [sim.now_ms + SILENT_HOLD_MS] * pool.share
        for number in range(10):
            sim.ask('v1', f'q{number}')
            sim.run(50)
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)

    def test_all_old_connections_are_retired_after_several_silent_replicas(self):
        sim = Simulation(('v1',), make_document(services=6, hedge_percent=0.0))
        sim.run(500)
        for number in range(8):
            sim.ask('v1', f'warm-{number}')
            sim.run(20)
        old_ids = set()
        for state in sim.cores['v1'].upstreams.states.values():
            old_ids |= {connection_id for connection_id, _ in state.pool.idle}
        upstreams = sim.upstreams

        def answer(action):
            return None if action.connection_id in old_ids else upstreams

        for replica_id in sim.cores['v1'].upstreams.states:
            upstreams.script[replica_id] = answer
        sim.ask('v1', 'q')
        sim.run(1000)
        self.assertTrue(sim.answer('q').coverage.complete)
        upstreams.sends.clear()
        sim.ask('v1', 'next')
        sim.run(100)
        self.assertTrue(sim.answer('next').coverage.complete)
        used = [a for a in upstreams.sends if isinstance(a.message, (ShardQuery, LoadProbe))]
        self.assertFalse({a.connection_id for a in used} & old_ids)

    def test_queue_of_a_hung_replica_moves_to_other_replicas(self):
        sim = Simulation(('v1',), make_document(hedge_percent=0.0, hard_deadline_ms=4000))
        sim.run(500)
        for number in range(4):
            sim.ask('v1', f'warm-{number}')
            sim.run(20)
        sim.upstreams.script = {'svc1-a': lambda action: None}
        for number in range(40):
            sim.ask('v1', f'q{number}')
        sim.run(4500)
        for number in range(40):
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)

    def test_broken_connections_do_not_count_against_the_share(self):
        sim = Simulation(('v1',), make_document(services=6, hedge_percent=0.0))
        sim.run(500)
        for number in range(8):
            sim.ask('v1', f'warm-{number}')
            sim.run(20)
        states = sim.cores['v1'].upstreams.states
        old_ids = {pair[0] for state in states.values() for pair in state.pool.idle}
        upstreams = sim.upstreams

        def reset(action):
            return LOST if action.connection_id in old_ids else upstreams

        upstreams.script = dict.fromkeys(states, reset)
        sim.ask('v1', 'q')
        sim.run(100)
        self.assertTrue(sim.answer('q').coverage.complete)
        for state in states.values():
            self.assertEqual(state.pool.held_until_ms, [])

    def test_replica_that_moved_is_never_reached_at_its_old_address(self):
        sim = Simulation(('v1',))
        sim.run(500)
        for number in range(4):
            sim.ask('v1', f'warm-{number}')
            sim.run(20)
        sim.ask('v1', 'under-way')
        sim.run(1)
        entries = make_entries()
        for replica_entry in entries['service/b/svc1']['replicas']:
            replica_entry['port'] = 4321
        sim.handle('v1', ConfigurationReceived(Document(2, entries)))
        sim.run(100)
        self.assertTrue(sim.answer('under-way').coverage.complete)
        old_ids = {a.connection_id for a in sim.actions(Send) if a.is_new}
        log_start = len(sim.log)
        for number in range(10):
            sim.ask('v1', f'q{number}')
            sim.run(20)
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)
        sends = [a for _, a in sim.log[log_start:] if isinstance(a, Send)]
        moved = [a for a in sends if a.replica.replica_id.startswith('svc1')]
        self.assertEqual({a.replica.port for a in moved}, {4321})
        self.assertFalse({a.connection_id for a in moved} & old_ids)
