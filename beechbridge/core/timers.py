"""Timers of the core, driven by the timestamps of events."""

import heapq

from ..record import Record


class Timers:
    """Typed timers ordered by due time. A stale timer is not cancelled but has no effect."""

    __slots__ = ('heap', 'sequence')

    def __init__(self):
        self.heap: list[tuple[float, int, Record]] = []
        self.sequence = 0

    def arm(self, due_ms: float, timer: Record) -> None:
        """Schedule a timer."""
        self.sequence += 1
        heapq.heappush(self.heap, (due_ms, self.sequence, timer))

    def next_due_ms(self) -> float | None:
        """Return when the next timer is due, or None."""
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now_ms: float) -> Record | None:
        """Remove and return the first timer that is due, or None."""
        if not self.heap or self.heap[0][0] > now_ms:
            return None
        return heapq.heappop(self.heap)[2]
