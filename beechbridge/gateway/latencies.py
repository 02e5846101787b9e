"""What is measured over many requests: a histogram, and the patience of callers."""

BUCKETS_MS = (5, 10, 20, 40, 60, 80, 120, 160, 240, 400, 800, 1600, 4000)


class Histogram:
    """Counts of latencies by upper bound, for the metrics."""

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


class Patience:
    """Longest patience seen on each route: what a caller starts with."""

    __slots__ = ('longest_ms',)

    def __init__(self):
        self.longest_ms: dict[str, float] = {}

    def spent_ms(self, route_name: str, patience_ms: float) -> float:
        """Return how long a caller has waited already, by the patience that it has left."""
        longest_ms = max(self.longest_ms.get(route_name, 0.0), patience_ms)
        self.longest_ms[route_name] = longest_ms
        return longest_ms - patience_ms
