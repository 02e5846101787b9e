"""State of one replica as seen by this VM: queue, window, connections and health."""

import bisect

from ...models import Replica
from ..latency import LatencyEstimate
from ..requests.attempts import Attempt
from .connections import ConnectionPool

DEFAULT_LATENCY_MS = 5.0
CLOSING_HOLD_MS = 3_000.0
"""How long a replica that closes connections is avoided if another one can serve."""

DRAIN_HOLD_MS = 60_000.0
"""How long a drain sign overrides a health endpoint that reports healthy."""

EJECT_AFTER_FAILURES = 3
MIN_EJECTION_MS = 500.0
MAX_EJECTION_MS = 30_000.0
SHRINK_INTERVAL_MS = 50.0
TAIL_WEIGHT = 0.5
"""Weight of the tail latency, relative to the average, in the choice between two replicas."""

UPSTREAM_QUEUE_FACTOR = 5.0
"""Multiple of the unloaded latency above which an exchange counts as queued at the upstream.

At 3, the slots of a replica shared by three VMs were idle 2% of the time under overload; at 5
they were never idle.
"""

WINDOW_DECREASE = 0.2
"""Decrease of the window, in exchanges, for each exchange that was queued at the upstream.

Unlike the increase, the step does not get smaller as the window grows: of two VMs that see the
same latencies, the one with the larger window shrinks it faster, so that both converge to the
same share.
"""

MIN_SAMPLES = 32
"""Latency samples required before attempts are dropped as unlikely to finish in time."""

MIN_LATENCY_FACTOR = 0.8


class ReplicaState:
    """
    Queue, concurrency window, connections and health of one replica.

    :param window: concurrency limit, adapted on successes and on shed replies
    :param drain_seen_ms: when the replica was last seen draining, or None
    :param ejected_until_ms: earliest time of a probe that can readmit it; 0 if not ejected
    """

    __slots__ = (
        'back_end',
        'closing_until_ms',
        'drain_seen_ms',
        'ejected_until_ms',
        'ejections',
        'failures',
        'latency',
        'newest_snapshot',
        'oldest_snapshot',
        'pool',
        'probed_ms',
        'probing',
        'queue',
        'removed',
        'replica',
        'sampled_ms',
        'seen_ms',
        'sequence',
        'service',
        'shrunk_ms',
        'window',
    )

    def __init__(self, replica: Replica, back_end: str, service: str):
        self.replica = replica
        self.back_end = back_end
        self.service = service
        self.pool = ConnectionPool()
        self.queue: list[tuple[int, float, int, Attempt]] = []
        self.sequence = 0
        self.window = float(replica.slots)
        self.latency = LatencyEstimate(DEFAULT_LATENCY_MS)
        self.sampled_ms = 0.0
        self.drain_seen_ms = None
        self.closing_until_ms = 0.0
        self.ejected_until_ms = 0.0
        self.ejections = 0
        self.failures = 0
        self.shrunk_ms = 0.0
        self.oldest_snapshot = 0
        self.newest_snapshot = 0
        self.seen_ms = 0.0
        self.removed = False
        self.probing = False
        self.probed_ms = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of exchanges that occupy a connection."""
        return len(self.pool.busy)

    @property
    def is_draining(self) -> bool:
        """Return whether the replica must not receive new work."""
        return self.removed or self.replica.draining or self.drain_seen_ms is not None

    @property
    def is_ejected(self) -> bool:
        """Return whether the replica is ejected after repeated failures."""
        return self.ejected_until_ms > 0

    @property
    def min_latency_ms(self) -> float:
        """Return the remaining time below which no reply can be expected; 0 if unknown."""
        if self.latency.count < MIN_SAMPLES:
            return 0.0
        return MIN_LATENCY_FACTOR * self.latency.unloaded_ms

    def enqueue(self, attempt: Attempt, length: int, is_ordered: bool = True) -> Attempt | None:
        """
        Queue an attempt; return the one displaced if the queue is full, else None.

        :param length: maximum length of the queue
        :param is_ordered: order by urgency and deadline rather than by arrival
        """
        self.sequence += 1
        if not is_ordered:
            self.queue.append((0, 0.0, self.sequence, attempt))
            return self.queue.pop()[3] if len(self.queue) > length else None
        entry = (-attempt.urgency, attempt.deadline_at_ms, self.sequence, attempt)
        bisect.insort(self.queue, entry)
        if len(self.queue) <= length:
            return None
        return self.queue.pop()[3]

    def queued_ahead(self, urgency: int) -> int:
        """Return how many queued attempts are ahead of a new one of this urgency."""
        return bisect.bisect_right(self.queue, (-urgency, float('inf')))

    def expected_ms(self, urgency: int, now_ms: float) -> float:
        """Estimate the latency of a new attempt of this urgency, including its queueing time."""
        idle_s = max(0.0, now_ms - self.sampled_ms) / 1000.0
        latency_ms = self.latency.average_ms / (1.0 + idle_s / 10.0)
        ahead = self.in_flight + self.queued_ahead(urgency)
        rounds = max(0.0, (ahead + 1 - self.window) / self.window)
        return latency_ms * (1.0 + rounds)

    def score(self, urgency: int, now_ms: float) -> float:
        """Return the cost of choosing this replica; lower is better."""
        ahead = self.in_flight + self.queued_ahead(urgency)
        idle_s = max(0.0, now_ms - self.sampled_ms) / 1000.0
        tail_ms = TAIL_WEIGHT * self.latency.slow_ms
        latency_ms = (self.latency.average_ms + tail_ms) / (1.0 + idle_s)
        cost_ms = 0.0 if self.pool.idle else self.replica.connection_cost_ms
        return latency_ms * (ahead + 1) / self.window + cost_ms

    def adapt_window(self, latency_ms: float) -> None:
        """
        Adapt the concurrency window after a success.

        An exchange that took much longer than the unloaded latency was queued at the upstream,
        which does not order by urgency; the window is reduced, so that attempts wait in the local
        queue instead. Otherwise the window grows if it was the limiting factor.
        """
        if latency_ms > UPSTREAM_QUEUE_FACTOR * self.latency.unloaded_ms:
            self.window = max(1.0, self.window - WINDOW_DECREASE)
            return
        if self.in_flight + 1 < int(self.window):
            return
        self.window = min(max(1.0, float(self.pool.share)), self.window + 1.0 / self.window)

    def shrink_window(self, now_ms: float) -> None:
        """Halve the window after the replica shed load, once per round of exchanges."""
        if now_ms - self.shrunk_ms < SHRINK_INTERVAL_MS:
            return
        self.shrunk_ms = now_ms
        self.window = max(1.0, self.window / 2)

    def add_latency(self, latency_ms: float, now_ms: float) -> None:
        """Add a latency sample."""
        self.latency.add(latency_ms)
        self.sampled_ms = now_ms

    def record_snapshots(self, oldest: int, newest: int, now_ms: float) -> bool:
        """Record the range of snapshots that the replica serves; return whether it changed."""
        if newest == 0:
            return False
        self.seen_ms = now_ms
        if (oldest, newest) == (self.oldest_snapshot, self.newest_snapshot):
            return False
        self.oldest_snapshot = oldest
        self.newest_snapshot = newest
        return True

    def count_failure(self, now_ms: float) -> bool:
        """Count a failure that is the replica's fault; return whether it causes an ejection."""
        self.failures += 1
        if self.failures < EJECT_AFTER_FAILURES or self.is_ejected:
            return False
        self.eject(now_ms)
        return True

    def eject(self, now_ms: float) -> None:
        """Eject the replica until a probe succeeds, with exponential backoff."""
        hold_ms = min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until_ms = now_ms + hold_ms

    def readmit(self) -> None:
        """Readmit an ejected replica with a window of 1, so that it can warm up."""
        self.ejected_until_ms = 0.0
        self.failures = 0
        self.window = 1.0

    def describe(self, now_ms: float) -> dict:
        """Return the state for a state dump."""
        return {
            'replica': self.replica.replica_id,
            'back_end': self.back_end,
            'service': self.service,
            'place': self.replica.place,
            'share': self.pool.share,
            'connections_open': self.pool.open_count(now_ms),
            'connections_idle': len(self.pool.idle),
            'in_flight': self.in_flight,
            'queued': len(self.queue),
            'window': round(self.window, 2),
            'latency_average_ms': round(self.latency.average_ms, 2),
            'latency_median_ms': round(self.latency.median_ms, 2),
            'draining': self.is_draining,
            'ejected': self.is_ejected,
            'failures': self.failures,
            'oldest_snapshot': self.oldest_snapshot,
            'newest_snapshot': self.newest_snapshot,
            'seen_age_ms': round(now_ms - self.seen_ms) if self.seen_ms else None,
        }
