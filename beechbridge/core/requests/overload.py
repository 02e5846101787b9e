"""Load shedding: the minimum urgency that is admitted during overload."""

from ...failures import Failure, Reason, not_run

MIN_URGENCY_HOLD_MS = 1_000.0
"""How long lower urgencies are rejected after a query of a higher one could not be served."""


class OverloadController:
    """
    Lowest urgency that a back end admits.

    A query that was rejected because it would be late, or that missed its coverage at its
    deadline, shows that capacity is short at its urgency. Less urgent queries are then rejected at
    once for a while, rather than started and left unfinished.

    :param min_urgency: urgency below which queries are rejected
    :param until_ms: time at which the minimum ceases to apply
    """

    __slots__ = ('min_urgency', 'until_ms')

    def __init__(self):
        self.min_urgency = 0
        self.until_ms = 0.0

    def raise_min_urgency(self, urgency: int, now_ms: float) -> None:
        """Reject queries below an urgency whose queries could not be answered in time."""
        if now_ms >= self.until_ms or urgency >= self.min_urgency:
            self.min_urgency = urgency
            self.until_ms = now_ms + MIN_URGENCY_HOLD_MS

    def rejects(self, urgency: int, now_ms: float) -> bool:
        """Return whether a query of this urgency is rejected."""
        return now_ms < self.until_ms and urgency < self.min_urgency

    def build_rejection(self, now_ms: float) -> Failure:
        """Return the rejection of queries below the minimum urgency, with a retry time."""
        detail = f'only queries of urgency {self.min_urgency} and above are admitted now'
        return not_run(Reason.OVERLOADED, detail, max(1, int(self.until_ms - now_ms)))
