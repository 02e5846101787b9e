"""Connections that stop answering are closed; their replica stays in use."""

import unittest

from nose2.tools import params

from beechbridge.actions import Send
from beechbridge.messages import ShardQuery

from .utils import World, make_document


class SilentTest(unittest.TestCase):
    def start(self, hedge_percent=0.0):
        world = World(('v1',), make_document(hedge_percent=hedge_percent))
        world.run(500)
        for number in range(6):
            world.ask('v1', f'warm-{number}')
            world.run(20)
        return world

    def silence(self, world):
        """Drop all replies on the connections that are open now."""
        old = {a.connection_id for a in world.actions(Send) if a.is_new}
        upstreams = world.upstreams

        def answer(action):
            return None if action.connection_id in old else upstreams

        upstreams.script = {f'svc{n}-{x}': answer for n in range(3) for x in 'ab'}

    @params(0.0, 5.0)
    def test_queries_continue_over_new_connections(self, hedge_percent):
        world = self.start(hedge_percent)
        self.silence(world)
        for number in range(5):
            world.ask('v1', f'q{number}', deadline_ms=1000)
            world.run(1000)
            self.assertTrue(world.answer(f'q{number}').coverage.complete)
        core = world.cores['v1']
        self.assertFalse(any(state.is_ejected for state in core.upstreams.states.values()))
        retired = core.counters.get('connections_silent') + core.counters.get('cancels')
        self.assertGreater(retired, 0)

    def test_silent_connections_stay_counted_for_a_while(self):
        world = self.start()
        self.silence(world)
        world.ask('v1', 'q')
        world.run(1000)
        states = world.cores['v1'].upstreams.states.values()
        held = sum(len(state.pool.held_until_ms) for state in states)
        self.assertGreater(held, 0)
        for state in states:
            self.assertLessEqual(state.pool.open_count(world.now_ms), state.pool.share)

    def test_non_idempotent_request_is_not_retried_over_a_new_connection(self):
        world = self.start()
        ticket = world.ticket('v1')
        world.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        world.submit('v1', ticket, deadline_ms=900)
        world.run(1000)
        self.assertEqual(len(world.upstreams.requests()), 1)
        self.assertEqual(world.answer('r1').executed.value, 'unknown')

    def test_connection_that_was_idle_for_long_is_not_reused(self):
        world = self.start()
        world.upstreams.sends.clear()
        world.run(60_000)
        world.ask('v1', 'q')
        world.run(50)
        recent = [a for a in world.upstreams.sends if isinstance(a.message, ShardQuery)]
        self.assertEqual(len(recent), 3)
        self.assertTrue(world.answer('q').coverage.complete)
