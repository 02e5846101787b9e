"""
Room for requests at the replicas of a service, as one VM sees it.

The loads that this answers:

- One class of request becomes 1.5 to 2.5 times as frequent: replicas queue what they cannot run,
  first come, first served, so that urgent requests wait behind all others and miss their goals.
- Long work beside short urgent work, on the same replicas.
- Rejected clients that all return at the same moment.

A VM therefore keeps no more requests at the replicas than they run without queueing, and queues
the rest itself, by priority and then by time left. The limit follows from the ratio of the usual
latency without load to the measured one, and needs no knowledge of slots or of other VMs.
"""

import math
from collections.abc import Callable

WORK_FACTOR = 1.4
"""Ratio of the mean latency without load to the low quantile that is learned of it."""

TOLERANCE = 1.6
"""Ratio of the measured latency to the low quantile without load that is taken for no queueing:
the mean of equal work lies at about 1.4 times that quantile."""

GROWTH = 0.5
"""Growth of the limit in an interval: the same for all VMs, so that their limits become equal."""

MIN_GRADIENT = 0.6
INTERVAL_REPLIES = 16
"""Replies after which the limit is adjusted."""

MAX_RATIO = 4.0
"""Ratio to the latency without load that counts at most: replicas pause, which is no queueing."""

MIN_LIMIT = 1.0
MIN_SLOTS = 2.0
"""Requests that a replica is taken to run at once if it states fewer: however much the work of a
class varies, the limit of a VM does not fall below its share of the slots of all replicas."""

BINDING_SHARE = 0.7
"""Share of the limit that must have been used for the limit to grow."""

URGENT_EXTRA = 0.34
"""Excess over the limit for the most urgent class of a service, as a fraction of it, at least 1:
it need not wait until less urgent work has ended."""

FAIR_TURN = 25
"""One in this many queued requests is taken from a less urgent class, so that none is starved; at
most 5 in 100 may be served ahead of a more urgent class."""

RETURN_SHARE = 0.5
"""Share of the capacity that rejected clients are told to return at: new ones come, too."""

MIN_RETURN_MS = 40.0
MAX_RETURN_FRACTION = 0.5
"""Fraction of a client's time left after which it is told to return at the latest."""


class Room:
    """
    Room at the replicas of one service.

    :param limit: requests that this VM keeps at the replicas, infinite until it was measured
    :param most_urgent: lowest priority number of its requests
    :param sent_count: requests that this VM has at the replicas
    :param peak_count: most of them in the current interval
    :param returns_ms: time in milliseconds up to which rejected clients return, by priority
    """

    __slots__ = (
        'latency_sum_ms',
        'limit',
        'most_urgent',
        'peak_count',
        'rejected_count',
        'reply_count',
        'returns_ms',
        'sent_count',
        'turn',
        'unloaded_sum_ms',
    )

    def __init__(self):
        self.limit = math.inf
        self.most_urgent = math.inf
        self.sent_count = 0
        self.peak_count = 0
        self.reply_count = 0
        self.rejected_count = 0
        self.latency_sum_ms = 0.0
        self.unloaded_sum_ms = 0.0
        self.turn = 0
        self.returns_ms: dict[int, float] = {}

    def begin(self) -> None:
        """Count a request that is sent."""
        self.sent_count += 1
        self.peak_count = max(self.peak_count, self.sent_count)

    def end(self) -> None:
        """Count a request that has ended."""
        # Those that were sent before the rules came into force were not counted.
        self.sent_count = max(0, self.sent_count - 1)

    def record(self, latency_ms: float, unloaded_ms: float) -> None:
        """Record the latency of a reply, and the one that it would have without load."""
        self.reply_count += 1
        self.latency_sum_ms += min(latency_ms, MAX_RATIO * unloaded_ms)
        self.unloaded_sum_ms += min(unloaded_ms, latency_ms)

    def record_rejection(self) -> None:
        """Record that a replica had no room for a request."""
        self.rejected_count += 1

    @property
    def is_due(self) -> bool:
        """Return whether the limit is to be adjusted."""
        return self.reply_count + self.rejected_count >= INTERVAL_REPLIES

    def adjust(self, least_limit: float) -> None:
        """
        Adjust the limit to the latencies of the interval, and begin another one.

        :param least_limit: this VM's share of what the replicas run at once
        """
        gradient = 1.0
        if self.latency_sum_ms > 0.0:
            gradient = min(1.0, TOLERANCE * self.unloaded_sum_ms / self.latency_sum_ms)
        gradient -= self.rejected_count / (self.reply_count + self.rejected_count)
        gradient = max(MIN_GRADIENT, gradient)
        is_binding = self.peak_count >= BINDING_SHARE * self.limit
        if gradient < 1.0 or is_binding:
            base = min(self.limit, float(self.peak_count))
            if gradient >= 1.0:
                base = min(self.limit, base / BINDING_SHARE)
            self.limit = max(MIN_LIMIT, least_limit, gradient * base + GROWTH)
        self.peak_count = self.sent_count
        self.reply_count = self.rejected_count = 0
        self.latency_sum_ms = self.unloaded_sum_ms = 0.0

    def has_room(self, is_most_urgent: bool) -> bool:
        """Return whether a request may be sent now."""
        limit = self.limit
        if is_most_urgent:
            limit += max(1.0, URGENT_EXTRA * limit)
        return self.sent_count + 1 <= limit

    def wait_ms(self, ahead_ms: float) -> float:
        """
        Return how long a queued request waits in milliseconds.

        :param ahead_ms: work of the queued requests before it in milliseconds
        """
        return ahead_ms / max(MIN_LIMIT, self.limit)

    def schedule_return_ms(
        self, priority: int, work_ms: float, left_ms: float, now_ms: float
    ) -> float:
        """
        Return after how many milliseconds a rejected client is to return.

        :param work_ms: work of its request in milliseconds
        :param left_ms: time that it waits
        """
        due_ms = max(now_ms + MIN_RETURN_MS, self.returns_ms.get(priority, 0.0))
        latest_ms = now_ms + max(MIN_RETURN_MS, MAX_RETURN_FRACTION * left_ms)
        if due_ms > latest_ms:
            return latest_ms - now_ms
        gap_ms = work_ms / (RETURN_SHARE * max(MIN_LIMIT, self.limit))
        self.returns_ms[priority] = due_ms + (0.0 if self.limit == math.inf else gap_ms)
        return due_ms - now_ms


def take_next(
    queue: list[tuple], room: Room, is_exempt: Callable[[tuple], bool], now_ms: float
) -> tuple | None:
    """
    Remove and return the next entry of a queue, None if there is no room for any.

    Most turns go to the most urgent class, in it to those whose goal can still be met, and of
    these to the one with the least time. After `FAIR_TURN` - 1 turns in a row that passed over a
    less urgent class, one goes to it. It includes the room: under sustained urgent load there is
    only room beyond the limit, which is for the most urgent class.

    :param queue: entries that begin with their priority and soft deadline, in any order
    :param is_exempt: whether an entry needs no room
    """
    has_room = room.has_room(False)
    has_urgent_room = room.has_room(True)
    ready = []
    for entry in queue:
        if has_room or (has_urgent_room and entry[0] <= room.most_urgent) or is_exempt(entry):
            ready.append(entry)
    if not ready:
        return None
    priority = min(ready)[0]
    of_class = [entry for entry in ready if entry[0] == priority]
    chosen = min([entry for entry in of_class if entry[1] > now_ms] or of_class)
    waiting = ready if is_exempt(chosen) else queue
    others = [entry for entry in waiting if entry[0] > priority]
    # A class that is served anyway needs no turn.
    room.turn = room.turn + 1 if others else 0
    if room.turn >= FAIR_TURN:
        room.turn = 0
        chosen = min(others, key=lambda entry: entry[1:3])
    queue.remove(chosen)
    return chosen
