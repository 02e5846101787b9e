"""Budget of extra attempts, shared by hedges and retries."""

MAX_TOKENS = 10.0
"""Upper bound on the tokens that accumulate while few extra attempts are sent."""


class ExtraBudget:
    """
    Token bucket filled by primary attempts.

    :param tokens: number of extra attempts that may be sent now
    """

    __slots__ = ('extras', 'primaries', 'tokens')

    def __init__(self):
        self.tokens = 2.0
        self.primaries = 0
        self.extras = 0

    def add_primary(self, hedge_percent: float) -> None:
        """Count a primary attempt and add its share of a token."""
        self.primaries += 1
        self.tokens = min(MAX_TOKENS, self.tokens + hedge_percent / 100.0)

    def try_acquire(self) -> bool:
        """Consume one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.extras += 1
        return True
