"""Replicas of each service: selection, connection pool, and latency and failure statistics."""

import math
from collections.abc import Callable

from ...core.latency import LatencyEstimate
from ..models import ReplicaEntry
from .connections import Exchange, IdleConnection
from .expected_work import choose_soonest
from .load_reports import ReplicaWork
from .notices import ReplicaNotices
from .work_costs import Demand, WorkBook

OWN_ZONE = 0
"""Distance to a replica in the same data centre; 1 is the same region, 2 another region."""

AGGREGATOR_DISTANCE = 3
"""Distance value that stands for an aggregator in another data centre."""

INITIAL_ROUND_TRIP_MS = (0.5, 3.5, 17.0, 17.0)
"""Assumed round-trip time by distance until latencies have been measured."""

INITIAL_PROCESSING_MS = 15.0
"""Assumed processing time of a request until latencies have been measured."""

UNKNOWN_LATE_FACTOR = 1.5
"""Assumed ratio of late to typical latencies until latencies have been measured."""

SAMPLE_WEIGHT = 0.3
"""Weight of a new sample in a replica's latency ratio and rejection share."""

RATIO_HALF_LIFE_MS = 3_000.0
"""Half-life of a replica's latency ratio and rejection share."""

MAX_RATIO = 30.0
MIN_LATENCY_MS = 0.1
"""Resolution of latencies: shorter ones count as equal."""

QUEUE_FACTOR = 0.5
"""Share of a request's latency added per exchange in flight: replicas process two at a time."""

COLD_FACTOR = 1.6
REJECT_FACTOR = 4.0
MAX_RELIABLE_REJECT_SHARE = 0.1
"""Share of rejected requests up to which a replica is reliable; each needs another attempt."""

SUSPECT_PENALTY_MS = 1_000.0
"""Penalty on a suspect replica's expected latency: chosen last, but not excluded."""

MIN_SUSPICION_MS = 500.0
MAX_SUSPICION_MS = 4_000.0
OVERDUE_FACTOR = 3.0
"""Multiple of the typical latency after which the age of an unanswered exchange is added to the
replica's expected latency."""

STALL_TIMEOUT_FACTOR = 8.0
MIN_STALL_TIMEOUT_MS = 350.0
"""Minimum time, and multiple of the typical latency, without an answer after which a replica is
suspect. Longer than the pauses of replicas."""

IDLE_MARGIN_MS = 1_000.0
"""Time before the replica's keep-alive timeout from which an idle connection is not reused."""

DEFAULT_KEEP_ALIVE_MS = 10_000.0
"""Keep-alive time of connections to a replica that does not announce one."""

NON_IDEMPOTENT_IDLE_MS = 1_500.0
"""Longest idle time of a connection that may carry a request that must not be sent twice."""


class ReplicaState:
    """
    One incarnation of a replica.

    :param distance: 0 in the same data centre, 1 in the same region, 2 in another region
    :param latency_ratio: its latency as a multiple of the typical one for the route and distance
    :param reject_share: share of its requests that it rejected or answered with an error, decaying
        with time
    :param notices: what it has stated about itself
    :param replied_ms: time in milliseconds of its latest reply
    :param failed_ms: time in milliseconds of the latest failure that made it suspect
    :param is_evacuated: whether its data centre is evacuated
    :param missing_since_ms: time in milliseconds when its entry went missing while the store was
        unstable, None if it is present
    :param work: its load and speed, for the choice by expected work
    """

    __slots__ = (
        'busy',
        'cold_until_ms',
        'distance',
        'entry',
        'failed_ms',
        'idle',
        'is_evacuated',
        'is_gone',
        'latency_ratio',
        'missing_since_ms',
        'notices',
        'reject_share',
        'replied_ms',
        'sampled_ms',
        'suspect_until_ms',
        'suspicion_ms',
        'work',
    )

    def __init__(
        self,
        entry: ReplicaEntry,
        distance: int,
        now_ms: float,
        notices: ReplicaNotices | None = None,
    ):
        self.entry = entry
        self.work = ReplicaWork()
        self.distance = distance
        self.notices = notices or ReplicaNotices()
        self.cold_until_ms = now_ms + entry.cold_left_ms
        self.idle: list[IdleConnection] = []
        self.busy: dict[int, Exchange] = {}
        self.latency_ratio = 1.0
        self.reject_share = 0.0
        self.sampled_ms = now_ms
        self.suspect_until_ms = 0.0
        self.suspicion_ms = 0.0
        self.is_gone = False
        self.is_evacuated = False
        self.replied_ms = -math.inf
        self.failed_ms = -math.inf
        self.missing_since_ms: float | None = None

    @property
    def is_usable(self) -> bool:
        """Return whether it may be sent new requests."""
        if self.is_evacuated:
            return False
        return not (self.is_gone or self.entry.is_draining or self.notices.is_leaving)

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether an exchange failed recently or has stalled."""
        if now_ms < self.suspect_until_ms:
            return True
        return bool(self.busy) and now_ms >= next(iter(self.busy.values())).stalled_at_ms

    def is_reliable(self, now_ms: float) -> bool:
        """Return whether it has lately rejected hardly any requests."""
        weight = 0.5 ** ((now_ms - self.sampled_ms) / RATIO_HALF_LIFE_MS)
        return self.reject_share * weight <= MAX_RELIABLE_REJECT_SHARE

    def decay(self, now_ms: float) -> None:
        """Decay the latency ratio and the rejection share by the time since the last sample."""
        weight = 0.5 ** ((now_ms - self.sampled_ms) / RATIO_HALF_LIFE_MS)
        self.latency_ratio = math.exp(math.log(self.latency_ratio) * weight)
        self.reject_share *= weight
        self.sampled_ms = now_ms

    def estimate_latency_ms(self, typical_ms: float, now_ms: float) -> float:
        """Return the expected latency in milliseconds of a request sent now."""
        weight = 0.5 ** ((now_ms - self.sampled_ms) / RATIO_HALF_LIFE_MS)
        expected_ms = typical_ms * math.exp(math.log(self.latency_ratio) * weight)
        expected_ms *= 1.0 + QUEUE_FACTOR * len(self.busy)
        expected_ms *= 1.0 + REJECT_FACTOR * self.reject_share * weight
        if now_ms < self.cold_until_ms:
            expected_ms *= COLD_FACTOR
        if self.busy:
            age_ms = now_ms - next(iter(self.busy.values())).sent_ms
            if age_ms > OVERDUE_FACTOR * typical_ms:
                expected_ms += age_ms
        if self.is_suspect(now_ms):
            expected_ms += SUSPECT_PENALTY_MS
        return expected_ms

    def record_latency(self, latency_ms: float, typical_ms: float, now_ms: float) -> None:
        """Record the latency of an answered exchange and clear the suspicion."""
        self.decay(now_ms)
        sample = max(latency_ms, MIN_LATENCY_MS) / max(typical_ms, MIN_LATENCY_MS)
        sample = min(MAX_RATIO, max(1 / MAX_RATIO, sample))
        self.latency_ratio = math.exp(
            (1 - SAMPLE_WEIGHT) * math.log(self.latency_ratio) + SAMPLE_WEIGHT * math.log(sample)
        )
        self.clear_suspicion()

    def clear_suspicion(self) -> None:
        """Trust it again: it has answered, or what it was suspected of lay with this VM."""
        self.suspect_until_ms = 0.0
        self.suspicion_ms = 0.0
        self.failed_ms = -math.inf

    def record_rejection(self, was_rejected: bool, now_ms: float) -> None:
        """Record whether the replica rejected a request."""
        self.decay(now_ms)
        self.reject_share += SAMPLE_WEIGHT * (float(was_rejected) - self.reject_share)

    def mark_suspect(self, now_ms: float) -> bool:
        """Mark it as suspect, with exponential backoff; return whether it was not before."""
        is_new = not self.is_suspect(now_ms)
        self.failed_ms = now_ms
        if is_new:
            doubled_ms = max(MIN_SUSPICION_MS, 2 * self.suspicion_ms)
            self.suspicion_ms = min(MAX_SUSPICION_MS, doubled_ms)
        self.suspect_until_ms = now_ms + self.suspicion_ms
        return is_new

    def acquire_idle(
        self, now_ms: float, longest_idle_ms: float, request_id: str
    ) -> IdleConnection | None:
        """
        Return the most recently used idle connection if it may still be reused.

        A late second copy of the reply to the same request could not be told from the next one.
        """
        if not self.idle:
            return None
        latest = self.idle[-1]
        if latest.request_id == request_id:
            return None
        if now_ms >= latest.usable_until_ms or now_ms - latest.last_used_ms > longest_idle_ms:
            return None
        return self.idle.pop()

    def remove_all_idle(self) -> list[int]:
        """Remove all idle connections; return their IDs."""
        idle, self.idle = self.idle, []
        return [connection.connection_id for connection in idle]

    def remove_expired(self, now_ms: float) -> list[int]:
        """Remove the idle connections that have expired; return their IDs."""
        expired = [
            connection.connection_id
            for connection in self.idle
            if now_ms >= connection.usable_until_ms
        ]
        if expired:
            self.idle = [
                connection for connection in self.idle if now_ms < connection.usable_until_ms
            ]
        return expired

    def release(
        self, exchange: Exchange, keep_alive_ms: float | None, now_ms: float, is_reusable: bool
    ) -> bool:
        """End an exchange; return whether its connection is kept alive."""
        self.busy.pop(exchange.connection_id, None)
        if not is_reusable or self.is_gone or self.is_evacuated:
            return False
        idle_ms = DEFAULT_KEEP_ALIVE_MS if keep_alive_ms is None else keep_alive_ms
        usable_ms = idle_ms - min(IDLE_MARGIN_MS, idle_ms / 2)
        request_id = exchange.owner.work.request.request_id
        self.idle.append(
            IdleConnection(exchange.connection_id, now_ms, now_ms + usable_ms, request_id)
        )
        return True

    def describe(self, now_ms: float) -> dict:
        """Return its state for the state dump."""
        return {
            'id': self.entry.replica_id,
            'service': self.entry.service,
            'zone': self.entry.zone,
            'draining': self.entry.is_draining,
            'gone': self.is_gone,
            'evacuated': self.is_evacuated,
            'suspect': self.is_suspect(now_ms),
            'busy': len(self.busy),
            'idle': len(self.idle),
            'ratio': round(self.latency_ratio, 2),
            'rejects': round(self.reject_share, 2),
            **self.work.describe(now_ms),
            **self.notices.describe(now_ms),
        }


class Upstreams:
    """
    All registered replicas, by service.

    :param owners: replica or aggregator of each open connection, by the connection's ID
    :param work_book: learned costs, None while replicas are chosen by latency
    """

    __slots__ = (
        'by_id',
        'by_service',
        'exchanges',
        'next_id',
        'owners',
        'route_latencies',
        'work_book',
    )

    def __init__(self):
        self.by_id: dict[str, ReplicaState] = {}
        self.by_service: dict[str, list[ReplicaState]] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.owners: dict[int, ReplicaState] = {}
        self.route_latencies: dict[tuple[str, int], LatencyEstimate] = {}
        self.next_id = 0
        self.work_book: WorkBook | None = None

    def new_id(self) -> int:
        """Return a new ID for an exchange or a connection."""
        self.next_id += 1
        return self.next_id

    def add(self, state: ReplicaState) -> None:
        """Add a replica."""
        self.by_id[state.entry.replica_id] = state
        self.by_service.setdefault(state.entry.service, []).append(state)

    def remove(self, state: ReplicaState) -> list[int]:
        """Remove a replica; return its idle connections' IDs. Exchanges in flight continue."""
        state.is_gone = True
        if self.by_id.get(state.entry.replica_id) is state:
            del self.by_id[state.entry.replica_id]
        states = self.by_service.get(state.entry.service, [])
        if state in states:
            states.remove(state)
        return state.remove_all_idle()

    def describe_work(self, now_ms: float) -> dict | None:
        """Return the learned costs for the state dump, None while they are not used."""
        return self.work_book.describe(now_ms) if self.work_book is not None else None

    def typical_ms(self, route_name: str, distance: int) -> float:
        """Return the median latency in ms of a route at a distance, an estimate if unknown."""
        estimate = self.route_latencies.get((route_name, distance))
        if estimate is not None:
            return estimate.median_ms
        for other in (0, 1, 2):
            estimate = self.route_latencies.get((route_name, other))
            if estimate is not None:
                processing_ms = estimate.median_ms - INITIAL_ROUND_TRIP_MS[other]
                return max(1.0, processing_ms) + INITIAL_ROUND_TRIP_MS[distance]
        return INITIAL_PROCESSING_MS + INITIAL_ROUND_TRIP_MS[distance]

    def late_ms(self, route_name: str, distance: int) -> float:
        """Return the latency in ms of a route at a distance that one request in ten exceeds."""
        estimate = self.route_latencies.get((route_name, distance))
        if estimate is not None:
            return estimate.late_ms
        return UNKNOWN_LATE_FACTOR * self.typical_ms(route_name, distance)

    def record_route_latency(self, route_name: str, distance: int, latency_ms: float) -> None:
        """Record the latency of a route's request at a distance."""
        estimate = self.route_latencies.get((route_name, distance))
        if estimate is None:
            estimate = self.route_latencies[route_name, distance] = LatencyEstimate(latency_ms)
        estimate.add(latency_ms)

    def usable(self, service: str, zones: frozenset[str] | None = None) -> list[ReplicaState]:
        """
        Return a service's replicas that may be sent new requests.

        :param zones: data centres to which the request is bound, None for all
        """
        states = [state for state in self.by_service.get(service, ()) if state.is_usable]
        if zones is None:
            return states
        return [state for state in states if state.entry.zone in zones]

    def has_unrestricted(self, service: str, zones: frozenset[str] | None = None) -> bool:
        """Return whether a replica of a service accepts any number of requests."""
        return any(not state.notices.is_restricted for state in self.usable(service, zones))

    def choose(
        self,
        service: str,
        route_name: str,
        exclude: set[int],
        share: int,
        limit_ms: float,
        now_ms: float,
        rng,
        can_send: Callable[[ReplicaState], bool],
        zones: frozenset[str] | None = None,
        demand: Demand | None = None,
    ) -> ReplicaState | None:
        """
        Return the nearest replica that is fast enough, or else the fastest.

        :param exclude: `id()` of the states not to choose, because they were already tried
        :param share: maximum number of exchanges in flight from this VM to one replica
        :param limit_ms: expected latency in milliseconds up to which a replica is fast enough
        :param can_send: whether a replica accepts a request now
        :param zones: data centres to which the request is bound, None for all
        :param demand: what the request needs, None to choose by latency
        """
        by_distance: dict[int, list[ReplicaState]] = {}
        for state in self.usable(service, zones):
            if id(state) in exclude or len(state.busy) >= share:
                continue
            if not state.notices.is_restricted or can_send(state):
                by_distance.setdefault(state.distance, []).append(state)
        if demand is not None:
            return choose_soonest(by_distance, demand, limit_ms, now_ms, rng)
        fastest = None
        fastest_ms = math.inf
        for distance in sorted(by_distance):
            state, expected_ms = self.find_fastest(by_distance[distance], route_name, now_ms, rng)
            if expected_ms <= limit_ms and state.is_reliable(now_ms):
                return state
            if expected_ms < fastest_ms:
                fastest, fastest_ms = state, expected_ms
        return fastest

    def find_fastest(
        self, states: list[ReplicaState], route_name: str, now_ms: float, rng
    ) -> tuple[ReplicaState | None, float]:
        """
        Return the state with the lowest expected latency, and that latency in milliseconds.

        The latencies have some jitter, which spreads the load.
        """
        best = None
        best_ms = math.inf
        for state in states:
            expected_ms = state.estimate_latency_ms(
                self.typical_ms(route_name, state.distance), now_ms
            )
            expected_ms *= rng.uniform(0.95, 1.05)
            if expected_ms < best_ms:
                best, best_ms = state, expected_ms
        return best, best_ms
