"""Test that the specifications are proved and that each of their mutants has a counterexample."""

import unittest

from nose2.tools import params

from model import configuration, drain, permits, relays, shares, stopping, tickets, withdrawal
from model.spec import find_trace, format_trace, prove

QUICK_MUTANTS = (tickets, stopping, drain, shares, permits)


class ModelTest(unittest.TestCase):
    @params(tickets, configuration, stopping, drain, shares, permits, relays, withdrawal)
    def test_specification_is_proved(self, module):
        self.assertTrue(prove(module.build_spec()))

    def test_division_is_proved_for_any_sizes(self):
        self.assertTrue(shares.prove_division())

    def test_limits_stay_within_what_is_allowed_for_any_limit(self):
        self.assertTrue(permits.prove_bound())

    @params(*(mutant for module in QUICK_MUTANTS for mutant in module.build_spec().mutants()))
    def test_mutant_has_a_readable_counterexample(self, mutant):
        trace = find_trace(mutant)
        self.assertIsNotNone(trace, mutant.name)
        lines = format_trace(mutant, trace).splitlines()
        self.assertEqual(len(lines), len(trace))
        self.assertIn('start', lines[0])
