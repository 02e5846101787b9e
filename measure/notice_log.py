"""Checks what reaches a replica that has named a limit or said that it leaves."""

from bisect import bisect_left

WINDOW_MS = 4_000.0
"""Length of the sliding window in which the requests are counted."""

LEARNING_MS = 500.0
"""Time after a VM was told of a limit from which its requests count."""

SECOND_MS = 1_000.0
RATE_FACTOR = 1.5
FIXED_COUNT = 5
"""Requests that a window may have beyond `RATE_FACTOR` times what the limit allows."""


class NoticeLog:
    """
    The requests that reach a replica from when it first stated something about itself.

    :param since_ms: time in milliseconds when it did
    :param limit_per_s: limit that it names, 0 if none
    :param told_ms: time in milliseconds of the first reply that said so, by VM
    :param arrivals: time in milliseconds and VM of each request
    """

    __slots__ = ('arrivals', 'limit_per_s', 'since_ms', 'told_ms')

    def __init__(self, since_ms: float, limit_per_s: float = 0.0):
        self.since_ms = since_ms
        self.limit_per_s = limit_per_s
        self.told_ms: dict[str, float] = {}
        self.arrivals: list[tuple[float, str]] = []

    @property
    def allowed_count(self) -> float:
        """Return how many requests may arrive in a window."""
        return RATE_FACTOR * self.limit_per_s * WINDOW_MS / 1000.0 + FIXED_COUNT

    def list_informed(self, delay_ms: float) -> list[float]:
        """Return the arrival times of requests of VMs that were told `delay_ms` before."""
        times = []
        for arrived_ms, vm in self.arrivals:
            if arrived_ms >= self.told_ms.get(vm, float('inf')) + delay_ms:
                times.append(arrived_ms)
        return sorted(times)

    def highest_count(self, stable_ms: float) -> int:
        """Return the most requests in a window that starts `stable_ms` or more after the limit."""
        times = self.list_informed(LEARNING_MS)
        highest = 0
        for number in range(bisect_left(times, self.since_ms + stable_ms), len(times)):
            end = bisect_left(times, times[number] + WINDOW_MS)
            highest = max(highest, end - number)
        return highest


class ColdLog(NoticeLog):
    """
    The requests that reach a replica from when it turned cold.

    :param bound: requests that it may get in one second
    """

    __slots__ = ('bound',)

    def __init__(self, since_ms: float, bound: float):
        super().__init__(since_ms)
        self.bound = bound

    def highest_in_second(self, until_ms: float, delay_ms: float | None = None) -> int:
        """
        Return the most requests in any second until a time.

        :param delay_ms: count only requests of VMs that were told this long before, None for all
        """
        times = sorted(arrived_ms for arrived_ms, _ in self.arrivals)
        if delay_ms is not None:
            times = self.list_informed(delay_ms)
        times = times[: bisect_left(times, until_ms)]
        highest = 0
        for number, time_ms in enumerate(times):
            highest = max(highest, bisect_left(times, time_ms + SECOND_MS) - number)
        return highest
