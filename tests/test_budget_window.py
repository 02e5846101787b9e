"""The budget of repeats holds in every window and when added up over the fleet."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from beechbridge.gateway.requests.budgets import BudgetRules, BudgetShare, RepeatBudget

RULES = BudgetRules(ratio=0.2, fixed_count=56.0, window_ms=10_000.0)

STEPS = st.lists(
    st.tuples(st.integers(0, 400), st.integers(0, 5), st.booleans(), st.integers(0, 3)),
    min_size=1,
    max_size=300,
)


class WindowTest(unittest.TestCase):
    @given(steps=STEPS)
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_no_window_holds_more_than_the_fleet_may_send(self, steps):
        vms = [RepeatBudget(RULES) for _ in range(4)]
        share = BudgetShare(len(vms), 0.0)
        requests = []
        repeats = []
        now_ms = 0.0
        for gap_ms, request_count, has_repeat, number in steps:
            now_ms += gap_ms
            for _ in range(request_count):
                vms[number].note_request(now_ms)
                requests.append(now_ms)
            if has_repeat and vms[number].take(share, now_ms):
                repeats.append(now_ms)
        for start_ms in repeats:
            end_ms = start_ms + RULES.window_ms
            repeat_count = sum(start_ms <= at < end_ms for at in repeats)
            # Requests count in this window or the one before, whichever has more.
            now_count = sum(start_ms <= at < end_ms for at in requests)
            before_count = sum(start_ms - RULES.window_ms <= at < start_ms for at in requests)
            allowed = RULES.ratio * (now_count + before_count) + RULES.fixed_count
            self.assertLessEqual(repeat_count, allowed)

    def test_restarted_vm_does_not_spend_the_fixed_part_again_at_once(self):
        budget = RepeatBudget(RULES)
        share = BudgetShare(1, 1_000.0)
        taken = sum(budget.take(share, 1_100.0) for _ in range(100))
        self.assertEqual(taken, 0)
        taken = sum(budget.take(share, 11_000.0) for _ in range(100))
        self.assertGreater(taken, 40)

    def test_vm_without_a_share_lives_on_the_ratio(self):
        budget = RepeatBudget(RULES)
        share = BudgetShare(9, None)
        self.assertFalse(budget.take(share, 20_000.0))
        for _ in range(20):
            budget.note_request(20_000.0)
        self.assertTrue(budget.take(share, 20_000.0))
