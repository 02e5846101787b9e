"""The budget of extra attempts holds in every window, summed over the fleet."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from beechbridge.gateway.requests.budgets import (
    MEMBER_PROPAGATION_MS,
    BudgetRules,
    BudgetShare,
    RetryBudget,
)

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
        vms = [RetryBudget(RULES) for _ in range(4)]
        share = BudgetShare(len(vms), 0.0)
        requests = []
        extra_attempts = []
        now_ms = 0.0
        for gap_ms, request_count, has_extra, number in steps:
            now_ms += gap_ms
            for _ in range(request_count):
                vms[number].record_request(now_ms)
                requests.append(now_ms)
            if has_extra and vms[number].acquire(share, now_ms):
                extra_attempts.append(now_ms)
        for start_ms in extra_attempts:
            end_ms = start_ms + RULES.window_ms
            extra_count = sum(start_ms <= at < end_ms for at in extra_attempts)
            # The budget counts requests of this window or the previous one, whichever has more.
            now_count = sum(start_ms <= at < end_ms for at in requests)
            before_count = sum(start_ms - RULES.window_ms <= at < start_ms for at in requests)
            allowed = RULES.ratio * (now_count + before_count) + RULES.fixed_count
            self.assertLessEqual(extra_count, allowed)

    @given(
        killed_ms=st.integers(20_000, 40_000),
        down_ms=st.integers(0, 5_000),
        spend_ms=st.lists(st.integers(0, 60_000), min_size=1, max_size=40),
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_restarted_vm_does_not_spend_the_fixed_count_again(self, killed_ms, down_ms, spend_ms):
        extra_attempts = []
        budget = RetryBudget(RULES)
        share = BudgetShare(1, 0.0)
        started_ms = 0.0
        for at_ms in sorted(spend_ms):
            if started_ms == 0.0 and at_ms >= killed_ms:
                started_ms = killed_ms + down_ms
                budget = RetryBudget(RULES)
                share = BudgetShare(1, started_ms)
            if at_ms < started_ms:
                continue
            # A burst requests all its extra attempts at once.
            extra_attempts.extend(at_ms for _ in range(100) if budget.acquire(share, at_ms))
        for start_ms in extra_attempts:
            count = sum(start_ms <= at < start_ms + RULES.window_ms for at in extra_attempts)
            self.assertLessEqual(count, RULES.fixed_count)

    def test_most_of_the_fixed_count_is_available_after_the_learning_time(self):
        budget = RetryBudget(RULES)
        share = BudgetShare(1, 1_000.0)
        taken = sum(budget.acquire(share, 11_000.0) for _ in range(100))
        self.assertLessEqual(taken, 10)
        taken += sum(budget.acquire(share, 11_000.0 + MEMBER_PROPAGATION_MS) for _ in range(100))
        self.assertGreater(taken, 40)

    def test_joining_vms_do_not_spend_the_fixed_count_again(self):
        old = RetryBudget(RULES)
        new = RetryBudget(RULES)
        extra_attempts = []
        joined_ms = 50_000
        for at_ms in range(40_000, 80_000, 100):
            is_known = at_ms >= joined_ms + MEMBER_PROPAGATION_MS / 2
            old_share = BudgetShare(2 if is_known else 1, 0.0)
            extra_attempts.extend(at_ms for _ in range(3) if old.acquire(old_share, at_ms))
            if at_ms >= joined_ms:
                new_share = BudgetShare(2, joined_ms)
                extra_attempts.extend(at_ms for _ in range(3) if new.acquire(new_share, at_ms))
        for start_ms in extra_attempts:
            count = sum(start_ms <= at < start_ms + RULES.window_ms for at in extra_attempts)
            self.assertLessEqual(count, RULES.fixed_count)

    def test_vm_without_a_share_may_spend_only_the_ratio(self):
        budget = RetryBudget(RULES)
        share = BudgetShare(9, None)
        self.assertFalse(budget.acquire(share, 20_000.0))
        for _ in range(20):
            budget.record_request(20_000.0)
        self.assertTrue(budget.acquire(share, 20_000.0))
