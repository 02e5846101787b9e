"""Clock of the drivers and their cores."""

import time


def read_clock_ms() -> float:
    """Return milliseconds on a monotonic clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
