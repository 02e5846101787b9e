"""Budget of repeated sub-requests to one service, safe when added up over the fleet."""

from ...record import Record

BUCKET_MS = 500.0
"""Resolution of the sliding window."""

USABLE_FRACTION = 0.85
"""Share of the allowed repeats that is spent: requests are counted where they arrive at the VM,
a few milliseconds after the callers sent them, and views of the fleet differ for a moment."""


MEMBER_PROPAGATION_MS = 2_000.0
"""Time within which all VMs know of a new one: five heartbeats, or a relay."""


class BudgetRules(Record):
    """
    What the users allow.

    :param ratio: repeats for each request
    :param fixed_count: repeats besides, for the whole fleet
    :param window_ms: span in which both are counted
    """

    __slots__ = ('fixed_count', 'ratio', 'window_ms')

    def __init__(self, ratio: float = 0.2, fixed_count: float = 50.0, window_ms: float = 10_000.0):
        self.ratio = ratio
        self.fixed_count = fixed_count
        self.window_ms = window_ms


class BudgetShare:
    """
    A VM's share of the fixed part.

    :param count: VMs that share it
    :param since_ms: since when this VM is one of them, None if it is not
    """

    __slots__ = ('count', 'since_ms')

    def __init__(self, count: int, since_ms: float | None):
        self.count = count
        self.since_ms = since_ms


class RetryBudget:
    """
    Counts one service's requests and repeats of this VM over a sliding window.

    In the first window in which the VM shares the fixed part, another VM or an earlier incarnation
    may have spent that in a burst just before; until then the VM has what the margin leaves.
    """

    __slots__ = ('buckets', 'extra_count', 'request_count', 'rules')

    def __init__(self, rules: BudgetRules):
        self.rules = rules
        self.buckets: list[list[float]] = []
        self.request_count = 0
        self.extra_count = 0

    def roll(self, now_ms: float) -> list[float]:
        """Drop what has left the window; return the bucket of this moment."""
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
        """Count a request for the service."""
        self.roll(now_ms)[1] += 1
        self.request_count += 1

    def allowed(self, share: BudgetShare, now_ms: float) -> float:
        """Return how many repeats the window may hold."""
        allowed = USABLE_FRACTION * self.rules.ratio * self.request_count
        if share.since_ms is None:
            return allowed
        is_new_member = now_ms - share.since_ms < self.rules.window_ms + MEMBER_PROPAGATION_MS
        fixed_share = 1.0 - USABLE_FRACTION if is_new_member else USABLE_FRACTION
        return allowed + fixed_share * self.rules.fixed_count / max(1, share.count)

    def remaining_fraction(self, share: BudgetShare, now_ms: float) -> float:
        """Return the unspent part of the budget, 0 to 1."""
        self.roll(now_ms)
        allowed = self.allowed(share, now_ms)
        return max(0.0, 1.0 - self.extra_count / allowed) if allowed > 0 else 0.0

    def acquire(self, share: BudgetShare, now_ms: float) -> bool:
        """Spend one repeat if the window allows it."""
        bucket = self.roll(now_ms)
        if self.extra_count + 1 > self.allowed(share, now_ms):
            return False
        bucket[2] += 1
        self.extra_count += 1
        return True
