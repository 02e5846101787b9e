"""What one VM knows and does about one replica."""

import bisect

from ...models import Replica
from ..latency import LatencyEstimate
from ..requests.attempts import Attempt
from .connections import ConnectionPool

DEFAULT_LATENCY_MS = 5.0
CLOSING_HOLD_MS = 3_000.0
"""How long a replica that closes connections is avoided while another one can serve."""

DRAIN_HOLD_MS = 60_000.0
"""How long a drain sign holds against a health endpoint that says healthy."""

EJECT_AFTER_FAILURES = 3
MIN_EJECTION_MS = 500.0
MAX_EJECTION_MS = 30_000.0
SHRINK_INTERVAL_MS = 50.0
TAIL_WEIGHT = 0.5
"""Weight of a replica's slow exchanges beside its average in the choice between two."""

UPSTREAM_QUEUE_FACTOR = 5.0
"""Multiple of the unloaded latency from which too much waits at the upstream.

At 3 the slots of a replica shared by three VMs stood empty 2% of an overload; at 5 they did not.
"""

WINDOW_DECREASE = 0.2
"""Exchanges by which the window narrows for each that waited too long.

The step does not shrink as the window grows, as the widening does: of two VMs that see the same
latencies, the one with the wider window narrows faster, so that both end with the same share.
"""
MIN_SAMPLES = 32
"""Samples from which on the latency estimates decide what is not worth sending."""

MIN_LATENCY_FACTOR = 0.8


class ReplicaState:
    """
    Queue, window, connections and health of one replica.

    :param window: exchanges that may run at once, moved by successes and by shed answers
    :param drain_seen_ms: when the last sign of draining was seen, or None
    :param ejected_until_ms: no work before a probe after this time succeeds; 0 if not ejected
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
        """Return the number of exchanges that hold a connection."""
        return len(self.pool.busy)

    @property
    def is_draining(self) -> bool:
        """Tell whether the replica must get no new work."""
        return self.removed or self.replica.draining or self.drain_seen_ms is not None

    @property
    def is_ejected(self) -> bool:
        """Tell whether the replica failed too often and has not passed a probe since."""
        return self.ejected_until_ms > 0

    @property
    def min_latency_ms(self) -> float:
        """Return the time below which an exchange has no prospect of a reply."""
        if self.latency.count < MIN_SAMPLES:
            return 0.0
        return MIN_LATENCY_FACTOR * self.latency.unloaded_ms

    def enqueue(self, attempt: Attempt, length: int, is_ordered: bool = True) -> Attempt | None:
        """
        Put an attempt in its place in the queue; return the one that no longer fits.

        :param is_ordered: whether urgency and deadline decide the place
        """
        self.sequence += 1
        if not is_ordered:
            self.queue.append((0, 0.0, self.sequence, attempt))
            return self.queue.pop()[3] if len(self.queue) > length else None
        entry = (-attempt.urgency, attempt.deadline_ms, self.sequence, attempt)
        bisect.insort(self.queue, entry)
        if len(self.queue) <= length:
            return None
        return self.queue.pop()[3]

    def queued_ahead(self, urgency: int) -> int:
        """Return how many queued attempts go before a new one of this urgency."""
        return bisect.bisect_right(self.queue, (-urgency, float('inf')))

    def expected_ms(self, urgency: int, now_ms: float) -> float:
        """Predict how long a new attempt of this urgency takes, its queueing included."""
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
        Move the window after a success.

        An exchange that took much longer than an unloaded one waited at the upstream, where
        nothing is ordered by urgency; the window narrows, so that the wait is in the queue here.
        Otherwise it widens if it was the limit.
        """
        if latency_ms > UPSTREAM_QUEUE_FACTOR * self.latency.unloaded_ms:
            self.window = max(1.0, self.window - WINDOW_DECREASE)
            return
        if self.in_flight + 1 < int(self.window):
            return
        self.window = min(max(1.0, float(self.pool.share)), self.window + 1.0 / self.window)

    def shrink_window(self, now_ms: float) -> None:
        """Halve the window after the replica shed work, once per round of exchanges."""
        if now_ms - self.shrunk_ms < SHRINK_INTERVAL_MS:
            return
        self.shrunk_ms = now_ms
        self.window = max(1.0, self.window / 2)

    def add_latency(self, latency_ms: float, now_ms: float) -> None:
        """Take a measured latency in."""
        self.latency.add(latency_ms)
        self.sampled_ms = now_ms

    def record_snapshots(self, oldest: int, newest: int, now_ms: float) -> bool:
        """Note the snapshots a replica said it serves; True if they changed."""
        if newest == 0:
            return False
        self.seen_ms = now_ms
        if (oldest, newest) == (self.oldest_snapshot, self.newest_snapshot):
            return False
        self.oldest_snapshot = oldest
        self.newest_snapshot = newest
        return True

    def count_failure(self, now_ms: float) -> bool:
        """Count a failure that is the replica's own; True if it is ejected now."""
        self.failures += 1
        if self.failures < EJECT_AFTER_FAILURES or self.is_ejected:
            return False
        self.eject(now_ms)
        return True

    def eject(self, now_ms: float) -> None:
        """Send no work until a probe succeeds; wait longer each time."""
        hold_ms = min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until_ms = now_ms + hold_ms

    def readmit(self) -> None:
        """Take an ejected replica back with the smallest window, so that it warms up."""
        self.ejected_until_ms = 0.0
        self.failures = 0
        self.window = 1.0

    def describe(self, now_ms: float) -> dict:
        """Return the state for a dump."""
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
