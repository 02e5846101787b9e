"""Queries of the product's own interface that end each upstream that runs them."""

import unittest

from beechbridge.messages import ShardQuery

from .utils import LOST, Simulation

STABLE_MS = 4_000.0
"""Time after the third end of an upstream from which hardly anything may arrive."""

MAX_LATE_ARRIVALS = 3


class DeadlyQueryTest(unittest.TestCase):
    # A query under which three upstreams had ended was sent to upstreams whenever it came again.
    def test_query_that_ended_three_upstreams_is_sent_to_no_more(self):
        sim = Simulation(('v1', 'v2'))
        sim.run(500)
        arrived_ms = []

        def end_process(action):
            if not isinstance(action.message, ShardQuery):
                return sim.upstreams
            arrived_ms.append(sim.now_ms)
            return LOST

        sim.upstreams.script = {f'svc{n}-{x}': end_process for n in range(3) for x in 'ab'}
        for number in range(20):
            sim.ask(f'v{1 + number % 2}', f'q{number}', deadline_ms=500)
            sim.run(600)
        from_ms = arrived_ms[2] + STABLE_MS
        late_count = sum(at_ms > from_ms for at_ms in arrived_ms)
        self.assertLessEqual(late_count, MAX_LATE_ARRIVALS)
