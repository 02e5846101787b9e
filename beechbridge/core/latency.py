"""Running estimates of latency."""

SAMPLES = 128
REFRESH_INTERVAL = 16
EWMA_WEIGHT = 0.2
HEDGE_QUANTILE = 0.97
UNLOADED_QUANTILE = 0.2
LATE_QUANTILE = 0.9
UNLOADED_DRIFT = 1.02
"""Maximum factor by which the unloaded latency may increase per refresh."""


class LatencyEstimate:
    """
    Moving average and quantiles of the most recent samples, in milliseconds.

    :param slow_ms: quantile above which an exchange counts as slow
    :param late_ms: quantile below that, which pauses of a few replicas do not affect
    :param unloaded_ms: low quantile that rises only slowly while the samples are slower
    """

    __slots__ = (
        'average_ms',
        'count',
        'late_ms',
        'median_ms',
        'samples',
        'slow_ms',
        'unloaded_ms',
    )

    def __init__(self, initial_ms: float):
        self.average_ms = initial_ms
        self.median_ms = initial_ms
        self.slow_ms = 2 * initial_ms
        self.late_ms = 1.5 * initial_ms
        self.unloaded_ms = float('inf')
        self.count = 0
        self.samples: list[float] = []

    def add(self, latency_ms: float) -> None:
        """Add a sample; quantiles are updated at intervals."""
        if self.count == 0:
            self.average_ms = latency_ms
        self.average_ms += EWMA_WEIGHT * (latency_ms - self.average_ms)
        if len(self.samples) < SAMPLES:
            self.samples.append(latency_ms)
        else:
            self.samples[self.count % SAMPLES] = latency_ms
        self.count += 1
        if self.count < REFRESH_INTERVAL or self.count % REFRESH_INTERVAL == 0:
            ordered = sorted(self.samples)
            self.median_ms = ordered[len(ordered) // 2]
            self.slow_ms = ordered[int(len(ordered) * HEDGE_QUANTILE)]
            self.late_ms = ordered[int(len(ordered) * LATE_QUANTILE)]
            low_ms = ordered[int(len(ordered) * UNLOADED_QUANTILE)]
            self.unloaded_ms = min(low_ms, self.unloaded_ms * UNLOADED_DRIFT)
