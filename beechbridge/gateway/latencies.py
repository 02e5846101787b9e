"""Statistics over many requests: a latency histogram and the timeouts of callers."""

BUCKETS_MS = (5, 10, 20, 40, 60, 80, 120, 160, 240, 400, 800, 1600, 4000)


class Histogram:
    """Latency counts by upper bucket bound, for the metrics."""

    __slots__ = ('counts', 'sum_ms')

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, latency_ms: float) -> None:
        """Count a latency."""
        self.sum_ms += latency_ms
        for index, bound_ms in enumerate(BUCKETS_MS):
            if latency_ms <= bound_ms:
                self.counts[index] += 1
                return
        self.counts[-1] += 1


MAX_CALLER_TIMEOUT_MS = 60_000.0
"""Longer timeouts tell nothing of those of other callers, who do not wait a minute."""


class CallerTimeouts:
    """Longest timeout seen on each route, taken as the timeout of a caller's first attempt."""

    __slots__ = ('max_timeout_ms',)

    def __init__(self):
        self.max_timeout_ms: dict[str, float] = {}

    def elapsed_ms(self, route_name: str, timeout_ms: float) -> float:
        """Return how long a caller has already waited, estimated from its remaining timeout."""
        if timeout_ms > MAX_CALLER_TIMEOUT_MS:
            return 0.0
        max_timeout_ms = max(self.max_timeout_ms.get(route_name, 0.0), timeout_ms)
        self.max_timeout_ms[route_name] = max_timeout_ms
        return max_timeout_ms - timeout_ms
