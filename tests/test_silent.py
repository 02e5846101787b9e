"""Connections that stop answering are closed; their replica stays in use."""

import unittest

from nose2.tools import params

from beechbridge.actions import Send
from beechbridge.messages import ShardQuery

from .utils import Simulation, make_document


class SilentTest(unittest.TestCase):
    def start(self, hedge_percent=0.0):
        sim = Simulation(('v1',), make_document(hedge_percent=hedge_percent))
        sim.run(500)
        for number in range(6):
            sim.ask('v1', f'warm-{number}')
            sim.run(20)
        return sim

    def silence_open_connections(self, sim):
        """Drop all replies on the connections that are open now."""
        silent_ids = {a.connection_id for a in sim.actions(Send) if a.is_new}
        upstreams = sim.upstreams

        def answer(action):
            return None if action.connection_id in silent_ids else upstreams

        upstreams.script = {f'svc{n}-{x}': answer for n in range(3) for x in 'ab'}

    @params(0.0, 5.0)
    def test_queries_continue_over_new_connections(self, hedge_percent):
        sim = self.start(hedge_percent)
        self.silence_open_connections(sim)
        for number in range(5):
            sim.ask('v1', f'q{number}', deadline_ms=1000)
            sim.run(1000)
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)
        core = sim.cores['v1']
        self.assertFalse(any(state.is_ejected for state in core.upstreams.states.values()))
        closed = core.counters.get('connections_silent') + core.counters.get('cancels')
        self.assertGreater(closed, 0)

    def test_closed_silent_connections_count_against_the_share(self):
        sim = self.start()
        self.silence_open_connections(sim)
        sim.ask('v1', 'q')
        sim.run(1000)
        states = sim.cores['v1'].upstreams.states.values()
        held_count = sum(len(state.pool.held_until_ms) for state in states)
        self.assertGreater(held_count, 0)
        for state in states:
            self.assertLessEqual(state.pool.open_count(sim.now_ms), state.pool.share)

    def test_non_idempotent_request_is_not_retried_over_a_new_connection(self):
        sim = self.start()
        ticket = sim.ticket('v1')
        sim.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        sim.submit('v1', ticket, deadline_ms=900)
        sim.run(1000)
        self.assertEqual(len(sim.upstreams.requests()), 1)
        self.assertEqual(sim.answer('r1').executed.value, 'unknown')

    def test_long_idle_connection_is_not_reused(self):
        sim = self.start()
        sim.upstreams.sends.clear()
        sim.run(60_000)
        sim.ask('v1', 'q')
        sim.run(50)
        queries = [a for a in sim.upstreams.sends if isinstance(a.message, ShardQuery)]
        self.assertEqual(len(queries), 3)
        self.assertTrue(sim.answer('q').coverage.complete)
