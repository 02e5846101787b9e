"""
When a gather is answered, given how long its answer takes to reach the client.

The loads that this answers:

- 90 shards, a goal of 113 ms, and about four replicas that pause for 250 ms at any time: the parts
  of paused replicas do not arrive in time, and waiting for them risks the parts that have.
- A VM whose processor is busy: an answer leaves later than on an idle one, by an amount that
  changes within seconds.

The benefit of an answer is the square of the share of parts in it, and a small fraction of that
once the goal has passed. Known to the process: when a request was read, when an answer was due,
and when its bytes were written. Unknown: the delay of the client's link, which neither settings
nor headers tell; `CLIENT_LINK_MS` is reserved for it.
"""

import bisect
from collections import deque

from ...record import Record

CLIENT_LINK_MS = 7.0
"""Time reserved for the request and the answer on the client's link: 3 ms each way, and 1 ms until
the server's thread has read the request."""

SAMPLE_COUNT = 64
"""Answers from which the delay is learned: a few seconds of them, so that it follows the load."""

INITIAL_DELAYS_MS = (0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0)
"""Assumed delays until answers have been measured."""

SOFT_SHARE = 0.95
"""Share of answers that reach their clients in time if sent at the soft deadline."""

WINDOW_SHARE = 0.98
"""Share of answers that reach their clients in time while waiting is taken to be free of risk."""

LATE_WORTH = 0.1
"""Benefit of an answer after the goal, as a fraction of its benefit before."""

STEP_MS = 2.0
"""Resolution of the times that are compared."""

MAX_STEPS = 10
PAUSE_MS = 250.0
"""Length of the pauses of replicas: an attempt that is late is expected within this time."""

LATE_SHARE = 0.9
"""Share of attempts that are answered within `late_ms`."""

QUICKEST_FRACTION = 0.5
"""Latency of the quickest attempts as a fraction of the median."""


class AnswerTime:
    """
    Delay between the time at which an answer is due and the time at which its bytes are written.

    :param is_in_force: whether answers are timed by these rules
    :param delays_ms: the most recent delays in milliseconds, oldest first
    """

    __slots__ = ('delays_ms', 'is_in_force', 'ordered_ms')

    def __init__(self, is_in_force: bool = False):
        self.is_in_force = is_in_force
        self.delays_ms = deque(INITIAL_DELAYS_MS, SAMPLE_COUNT)
        self.ordered_ms = sorted(INITIAL_DELAYS_MS)

    def add(self, delay_ms: float) -> None:
        """Add a measured delay."""
        self.delays_ms.append(delay_ms)
        self.ordered_ms = sorted(self.delays_ms)

    def quantile_ms(self, share: float) -> float:
        """Return the delay in milliseconds that a share of answers does not exceed."""
        ordered = self.ordered_ms
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def share_within(self, left_ms: float) -> float:
        """Return the share of answers that are written within a time in milliseconds."""
        return bisect.bisect_right(self.ordered_ms, left_ms) / len(self.ordered_ms)


class Attempt(Record):
    """
    An attempt at an open part.

    :param age_ms: milliseconds since it was sent
    :param median_ms: median latency of such attempts
    :param late_ms: latency that one in ten of such attempts exceeds
    """

    __slots__ = ('age_ms', 'late_ms', 'median_ms')

    def __init__(self, age_ms: float, median_ms: float, late_ms: float):
        self.age_ms = age_ms
        self.median_ms = median_ms
        self.late_ms = max(late_ms, median_ms)

    def share_answered(self, age_ms: float) -> float:
        """Return the share of such attempts that are answered by an age in milliseconds."""
        quickest_ms = QUICKEST_FRACTION * self.median_ms
        if age_ms <= quickest_ms:
            return 0.0
        if age_ms < self.median_ms:
            return 0.5 * (age_ms - quickest_ms) / (self.median_ms - quickest_ms)
        if age_ms < self.late_ms:
            spread_ms = self.late_ms - self.median_ms
            return 0.5 + (LATE_SHARE - 0.5) * (age_ms - self.median_ms) / spread_ms
        late_share = (age_ms - self.late_ms) / PAUSE_MS
        return LATE_SHARE + (1.0 - LATE_SHARE) * min(1.0, late_share)

    def chance_within(self, wait_ms: float) -> float:
        """Return the probability of an answer within a time from now in milliseconds."""
        unanswered = 1.0 - self.share_answered(self.age_ms)
        if unanswered <= 0.0:
            # Silent for longer than a pause: nothing is known of when it answers.
            return min(1.0, wait_ms / PAUSE_MS)
        return (self.share_answered(self.age_ms + wait_ms) - 1.0 + unanswered) / unanswered


def part_chance(attempts: list[Attempt], wait_ms: float) -> float:
    """Return the probability that a part arrives within a time from now in milliseconds."""
    missing = 1.0
    for attempt in attempts:
        missing *= 1.0 - attempt.chance_within(wait_ms)
    return 1.0 - missing


def expected_worth(
    part_count: int, open_parts: list[list[Attempt]], total: int, wait_ms: float
) -> float:
    """Return the expected square of the share of parts after a time in milliseconds."""
    mean = float(part_count)
    variance = 0.0
    for attempts in open_parts:
        chance = part_chance(attempts, wait_ms)
        mean += chance
        variance += chance * (1.0 - chance)
    return (mean * mean + variance) / (total * total)


def choose_wait_ms(
    part_count: int,
    open_parts: list[list[Attempt]],
    total: int,
    left_ms: float,
    times: AnswerTime,
) -> float:
    """
    Return how long to wait before answering in milliseconds, 0 to answer now.

    :param open_parts: attempts at each part that may still arrive
    :param total: number of parts of a whole answer
    :param left_ms: milliseconds until the answer's bytes must be written to arrive in time
    """
    if not open_parts:
        return 0.0
    best_wait_ms = 0.0
    chance = times.share_within(left_ms)
    best_worth = (part_count / total) ** 2 * (chance + LATE_WORTH * (1.0 - chance))
    for step in range(1, MAX_STEPS + 1):
        wait_ms = step * STEP_MS
        chance = times.share_within(left_ms - wait_ms)
        if chance <= 0.0:
            break
        worth = expected_worth(part_count, open_parts, total, wait_ms)
        worth *= chance + LATE_WORTH * (1.0 - chance)
        if worth > best_worth:
            best_worth, best_wait_ms = worth, wait_ms
    return best_wait_ms
