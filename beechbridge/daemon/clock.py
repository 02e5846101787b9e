"""The clock that the drivers hand to their cores."""

import time


def read_clock_ms() -> float:
    """Return milliseconds on a clock that never falls and counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
