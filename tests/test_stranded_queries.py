"""Queries of the product's own interface at a VM that has lost its links to all upstreams."""

import unittest

from beechbridge.failures import Failure

from .known_red import known_red
from .utils import Simulation

STABLE_MS = 4_000.0
"""Time after the start of a cut from which the callers of the VM that is cut count."""

LEAST_RATIO = 2 / 3
"""Least share of queries served at the VM that is cut, of the share at the other."""


class CutSimulation(Simulation):
    """A fleet in which what one VM sends to upstreams does not arrive."""

    cut_name = None

    def perform_send(self, name, action):
        if name != self.cut_name:
            super().perform_send(name, action)
            return
        self.in_flight = getattr(self, 'in_flight', {})
        self.in_flight[(name, action.connection_id)] = action


class StrandedQueryTest(unittest.TestCase):
    # Callers of a VM without a link to any upstream were not served, while the other one was fine.
    @known_red
    def test_callers_of_a_vm_without_upstreams_are_served(self):
        sim = CutSimulation(('v1', 'v2'))
        sim.run(500)
        sim.cut_name = 'v1'
        cut_ms = sim.now_ms
        asked = {'v1': [], 'v2': []}
        for number in range(80):
            name = f'v{1 + number % 2}'
            if sim.now_ms >= cut_ms + STABLE_MS:
                asked[name].append(f'q{number}')
            sim.ask(name, f'q{number}', deadline_ms=500)
            sim.run(100)
        sim.run(1_000)
        served = {}
        for name, request_ids in asked.items():
            answers = [sim.answer(request_id) for request_id in request_ids]
            count = sum(not isinstance(answer, Failure) for answer in answers)
            served[name] = count / len(answers)
        self.assertGreater(served['v2'], 0.9)
        self.assertGreaterEqual(served['v1'], LEAST_RATIO * served['v2'])
