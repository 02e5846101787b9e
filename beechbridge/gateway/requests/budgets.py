"""
Budget for extra attempts (retries and hedges) at the sub-requests to a service.

Each VM counts only its own; the budgets of all VMs together stay within the fleet-wide limit.
"""

from ...record import Record

BUCKET_MS = 500.0
"""Resolution of the sliding window."""

USABLE_FRACTION = 0.85
"""
Fraction of the permitted extra attempts that is actually used. The margin is needed because a VM
counts requests on arrival, a few milliseconds after their callers sent them, and because the VMs'
views of the fleet can differ briefly.
"""

MEMBER_PROPAGATION_MS = 2_000.0
"""Time within which all VMs learn of a new VM: five heartbeats, or a relayed heartbeat."""


class BudgetRules(Record):
    """
    Limits on extra attempts, as set in the configuration.

    :param ratio: extra attempts allowed per request
    :param fixed_count: extra attempts allowed on top of that, for the whole fleet
    :param window_ms: length of the sliding window in which both are counted, in milliseconds
    """

    __slots__ = ('fixed_count', 'ratio', 'window_ms')

    def __init__(self, ratio: float = 0.2, fixed_count: float = 50.0, window_ms: float = 10_000.0):
        self.ratio = ratio
        self.fixed_count = fixed_count
        self.window_ms = window_ms


class BudgetShare:
    """
    A VM's share of the fixed part of the budget.

    :param count: number of VMs that share it
    :param since_ms: time since which this VM is one of them, in milliseconds; None if it is not
    """

    __slots__ = ('count', 'since_ms')

    def __init__(self, count: int, since_ms: float | None):
        self.count = count
        self.since_ms = since_ms


class RetryBudget:
    """
    Counts this VM's requests and extra attempts to one service over a sliding window.

    When a VM starts to share the fixed part, another VM or its own earlier incarnation may have
    spent that part in a burst just before. For its first window the VM therefore uses only the
    margin that the others leave unused.
    """

    __slots__ = ('buckets', 'extra_count', 'request_count', 'rules')

    def __init__(self, rules: BudgetRules):
        self.rules = rules
        self.buckets: list[list[float]] = []
        self.request_count = 0
        self.extra_count = 0

    def roll(self, now_ms: float) -> list[float]:
        """Drop the buckets that have left the window, and return the current one."""
        oldest_ms = now_ms - self.rules.window_ms - BUCKET_MS
        while self.buckets and self.buckets[0][0] <= oldest_ms:
            _, requests, extras = self.buckets.pop(0)
            self.request_count -= requests
            self.extra_count -= extras
        start_ms = now_ms - now_ms % BUCKET_MS
        if not self.buckets or self.buckets[-1][0] != start_ms:
            self.buckets.append([start_ms, 0, 0])
        return self.buckets[-1]

    def record_request(self, now_ms: float) -> None:
        """Count a request to the service."""
        self.roll(now_ms)[1] += 1
        self.request_count += 1

    def allowed(self, share: BudgetShare, now_ms: float) -> float:
        """Return how many extra attempts are allowed within the window."""
        allowed = USABLE_FRACTION * self.rules.ratio * self.request_count
        if share.since_ms is None:
            return allowed
        is_new_member = now_ms - share.since_ms < self.rules.window_ms + MEMBER_PROPAGATION_MS
        fixed_share = 1.0 - USABLE_FRACTION if is_new_member else USABLE_FRACTION
        return allowed + fixed_share * self.rules.fixed_count / max(1, share.count)

    def remaining_fraction(self, share: BudgetShare, now_ms: float) -> float:
        """Return the unspent fraction of the budget, from 0 to 1."""
        self.roll(now_ms)
        allowed = self.allowed(share, now_ms)
        return max(0.0, 1.0 - self.extra_count / allowed) if allowed > 0 else 0.0

    def acquire(self, share: BudgetShare, now_ms: float) -> bool:
        """Consume one extra attempt if the budget allows it; return whether it did."""
        bucket = self.roll(now_ms)
        if self.extra_count + 1 > self.allowed(share, now_ms):
            return False
        bucket[2] += 1
        self.extra_count += 1
        return True
