"""Checks that a fleet keeps to the limits that replicas name, by what reached each replica."""

from bisect import bisect_left

WINDOW_MS = 4_000.0
"""Length of the sliding window in which the requests are counted."""

LEARNING_MS = 500.0
"""Time after a VM was told of a limit from which its requests count."""

RATE_FACTOR = 1.5
FIXED_COUNT = 5
"""Requests that a window may have beyond `RATE_FACTOR` times what the limit allows."""


class LimitLog:
    """
    The requests that reach a replica while it names a limit.

    :param limit_per_s: requests per second that it accepts from all VMs together
    :param since_ms: time in milliseconds when it first named the limit
    :param told_ms: time in milliseconds of the first reply with the limit, by VM
    :param arrivals: time in milliseconds and VM of each request
    """

    __slots__ = ('arrivals', 'limit_per_s', 'since_ms', 'told_ms')

    def __init__(self, limit_per_s: float, since_ms: float):
        self.limit_per_s = limit_per_s
        self.since_ms = since_ms
        self.told_ms: dict[str, float] = {}
        self.arrivals: list[tuple[float, str]] = []

    @property
    def allowed_count(self) -> float:
        """Return how many requests may arrive in a window."""
        return RATE_FACTOR * self.limit_per_s * WINDOW_MS / 1000.0 + FIXED_COUNT

    def counted_times(self) -> list[float]:
        """Return the arrival times of the requests of VMs that knew of the limit."""
        times = []
        for arrived_ms, vm in self.arrivals:
            if arrived_ms >= self.told_ms.get(vm, float('inf')) + LEARNING_MS:
                times.append(arrived_ms)
        return sorted(times)

    def highest_count(self, stable_ms: float) -> int:
        """Return the most requests in a window that starts `stable_ms` or more after the limit."""
        times = self.counted_times()
        highest = 0
        for number in range(bisect_left(times, self.since_ms + stable_ms), len(times)):
            end = bisect_left(times, times[number] + WINDOW_MS)
            highest = max(highest, end - number)
        return highest
