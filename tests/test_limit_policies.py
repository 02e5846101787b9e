"""The comparison of ways to divide a limit among VMs, in virtual time."""

import unittest

from nose2.tools import params

from measure.limit_policies import Pattern, keep_alone, play_keeper, play_parts, share_equally

MIN_USED_FRACTION = 0.85
"""Fraction of a limit that is to be used where there is work for it."""


class PoliciesTest(unittest.TestCase):
    @params(0.5, 1.1, 10.0, 40.0)
    def test_keeper_keeps_and_uses_a_limit_whoever_has_the_requests(self, limit_per_s):
        outcome = play_keeper(limit_per_s, Pattern('all VMs', 1_000), seed=2)
        self.assertLessEqual(outcome.highest_fraction, 1.0)
        self.assertGreaterEqual(outcome.used_fraction, MIN_USED_FRACTION)

    def test_each_vm_by_itself_breaks_a_limit(self):
        outcome = play_parts(keep_alone, 10.0, 8, Pattern('all VMs', 8), seed=2)
        self.assertGreater(outcome.highest_fraction, 1.0)

    def test_equal_parts_leave_a_small_limit_unused(self):
        outcome = play_parts(share_equally, 1.1, 100, Pattern('all VMs', 100), seed=2)
        self.assertLess(outcome.used_fraction, 0.5)
