"""Budget of extra sub-requests: hedges and retries share it."""

MAX_TOKENS = 10.0
"""Extra sub-requests that a quiet time saves up at most."""


class ExtraBudget:
    """
    Token bucket filled by primary sub-requests.

    :param tokens: extra sub-requests that may be sent now
    """

    __slots__ = ('extras', 'primaries', 'tokens')

    def __init__(self):
        self.tokens = 2.0
        self.primaries = 0
        self.extras = 0

    def earn(self, hedge_percent: float) -> None:
        """Add what one primary sub-request earns."""
        self.primaries += 1
        self.tokens = min(MAX_TOKENS, self.tokens + hedge_percent / 100.0)

    def take(self) -> bool:
        """Spend one extra sub-request if the budget allows."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.extras += 1
        return True
