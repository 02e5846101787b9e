"""Controller of overload: which urgencies are admitted while there is too much work."""

from ...failures import Failure, Reason, not_run

FLOOR_HOLD_MS = 1_000.0
"""How long a refusal at one urgency keeps the lower ones out."""


class OverloadController:
    """
    Lowest urgency that is admitted.

    A query that was refused as late, or that missed its coverage at its deadline, shows that there
    is not enough for its urgency. What is less urgent is refused at once for a while, rather than
    started and left unfinished.

    :param floor: urgency below which queries are refused
    :param until_ms: when the floor falls
    """

    __slots__ = ('floor', 'until_ms')

    def __init__(self):
        self.floor = 0
        self.until_ms = 0.0

    def note_shortage(self, urgency: int, now_ms: float) -> None:
        """Note that a query of this urgency could not be answered in its time."""
        if now_ms >= self.until_ms or urgency >= self.floor:
            self.floor = urgency
            self.until_ms = now_ms + FLOOR_HOLD_MS

    def refuses(self, urgency: int, now_ms: float) -> bool:
        """Tell whether a query of this urgency is refused."""
        return now_ms < self.until_ms and urgency < self.floor

    def refusal(self, now_ms: float) -> Failure:
        """Return the refusal of a query below the floor, with the time when that may end."""
        detail = f'only urgency {self.floor} and above is served now'
        return not_run(Reason.OVERLOADED, detail, max(1, int(self.until_ms - now_ms)))
