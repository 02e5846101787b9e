"""Services and their replicas: choice, connections, and what exchanges tell of them."""

import math

from ...core.latency import LatencyEstimate
from ..models import ReplicaEntry

ELSEWHERE = 2
"""Distance of what is in another region; 0 is the own data centre, 1 the own region."""

AGGREGATED = 3
"""What stands for the distance of a VM that gathers parts for this one."""

DISTANCE_MS = (0.5, 3.5, 17.0, 17.0)
"""Round trip over each distance before one was measured."""

FIRST_WORK_MS = 15.0
"""Work of a request before any was measured."""

RATIO_WEIGHT = 0.3
"""Weight of a new sample in a replica's slowness."""

RATIO_HALF_LIFE_MS = 3_000.0
"""Time in which what a replica's slowness says of it loses half of its weight."""

LARGEST_RATIO = 30.0
LEAST_LATENCY_MS = 0.1
"""Resolution below which latencies are not told apart."""

QUEUE_FACTOR = 0.5
"""Part of an exchange's time that each exchange under way adds: replicas work on two at once."""

COLD_FACTOR = 1.6
REJECT_FACTOR = 4.0
SUSPECT_MS = 1_000.0
"""What a suspected replica seems slower by, so that it is the last choice but still one."""

FIRST_SUSPICION_MS = 500.0
LONGEST_SUSPICION_MS = 4_000.0
STALL_FACTOR = 3.0
"""Multiple of the expected latency after which an unanswered exchange counts as held up."""

STALLED_FACTOR = 8.0
LEAST_STALL_MS = 350.0
"""Time without an answer, and multiple of the usual one, from which a replica is suspect: longer
than the pauses that replicas make."""

IDLE_MARGIN_MS = 1_000.0
"""How long before the replica would close an idle connection it is no longer used."""

DEFAULT_KEEP_MS = 10_000.0
"""Idle time of a connection to a replica that does not say how long it keeps them."""

UNREPEATABLE_IDLE_MS = 1_500.0
"""Idle time up to which a connection carries a request that must not be sent twice."""


class Exchange:
    """
    One request to one replica or, where it is an order of parts, to another VM.

    :param owner: what it is for; its reply is no longer waited for once `is_abandoned`
    :param was_sent: whether its request may have reached the replica
    :param stalled_at_ms: when its replica counts as suspect for not having answered
    """

    __slots__ = (
        'connection_id',
        'exchange_id',
        'is_abandoned',
        'is_new',
        'owner',
        'replica',
        'sent_ms',
        'stalled_at_ms',
        'was_sent',
    )

    def __init__(
        self,
        exchange_id: int,
        replica: 'ReplicaState',
        owner: object,
        connection_id: int,
        is_new: bool,
        sent_ms: float,
        stalled_at_ms: float,
    ):
        self.exchange_id = exchange_id
        self.replica = replica
        self.owner = owner
        self.connection_id = connection_id
        self.is_new = is_new
        self.sent_ms = sent_ms
        self.stalled_at_ms = stalled_at_ms
        self.is_abandoned = False
        self.was_sent = not is_new


class IdleConnection:
    """A connection that waits for its next request."""

    __slots__ = ('connection_id', 'last_used_ms', 'usable_until_ms')

    def __init__(self, connection_id: int, last_used_ms: float, usable_until_ms: float):
        self.connection_id = connection_id
        self.last_used_ms = last_used_ms
        self.usable_until_ms = usable_until_ms


class ReplicaState:
    """
    One incarnation of a replica.

    :param distance: 0 in the own data centre, 1 in the own region, 2 elsewhere
    :param ratio: its latency as a multiple of what is usual for the route and distance
    :param reject_share: share of the latest requests that it rejected
    :param vanished_ms: when its entry was missed while the store could not be trusted
    """

    __slots__ = (
        'busy',
        'cold_until_ms',
        'distance',
        'entry',
        'idle',
        'is_gone',
        'ratio',
        'reject_share',
        'sampled_ms',
        'suspect_until_ms',
        'suspicion_ms',
        'vanished_ms',
    )

    def __init__(self, entry: ReplicaEntry, distance: int, now_ms: float):
        self.entry = entry
        self.distance = distance
        self.cold_until_ms = now_ms + entry.cold_left_ms
        self.idle: list[IdleConnection] = []
        self.busy: dict[int, Exchange] = {}
        self.ratio = 1.0
        self.reject_share = 0.0
        self.sampled_ms = now_ms
        self.suspect_until_ms = 0.0
        self.suspicion_ms = 0.0
        self.is_gone = False
        self.vanished_ms: float | None = None

    @property
    def is_usable(self) -> bool:
        """Tell whether it may be given new requests."""
        return not self.is_gone and not self.entry.is_draining

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether its latest exchange failed a short while ago, or one has stalled."""
        if now_ms < self.suspect_until_ms:
            return True
        return bool(self.busy) and now_ms >= next(iter(self.busy.values())).stalled_at_ms

    def fade(self, now_ms: float) -> None:
        """Let what is known of its slowness and rejections lose weight with time."""
        weight = 0.5 ** ((now_ms - self.sampled_ms) / RATIO_HALF_LIFE_MS)
        self.ratio = math.exp(math.log(self.ratio) * weight)
        self.reject_share *= weight
        self.sampled_ms = now_ms

    def expect_ms(self, usual_ms: float, now_ms: float) -> float:
        """Return how long a request sent now is expected to take."""
        weight = 0.5 ** ((now_ms - self.sampled_ms) / RATIO_HALF_LIFE_MS)
        expected_ms = usual_ms * math.exp(math.log(self.ratio) * weight)
        expected_ms *= 1.0 + QUEUE_FACTOR * len(self.busy)
        expected_ms *= 1.0 + REJECT_FACTOR * self.reject_share * weight
        if now_ms < self.cold_until_ms:
            expected_ms *= COLD_FACTOR
        if self.busy:
            age_ms = now_ms - next(iter(self.busy.values())).sent_ms
            if age_ms > STALL_FACTOR * usual_ms:
                expected_ms += age_ms
        if self.is_suspect(now_ms):
            expected_ms += SUSPECT_MS
        return expected_ms

    def note_latency(self, latency_ms: float, usual_ms: float, now_ms: float) -> None:
        """Learn from an exchange that was answered."""
        self.fade(now_ms)
        sample = max(latency_ms, LEAST_LATENCY_MS) / max(usual_ms, LEAST_LATENCY_MS)
        sample = min(LARGEST_RATIO, max(1 / LARGEST_RATIO, sample))
        self.ratio = math.exp(
            (1 - RATIO_WEIGHT) * math.log(self.ratio) + RATIO_WEIGHT * math.log(sample)
        )
        self.suspect_until_ms = 0.0
        self.suspicion_ms = 0.0

    def note_rejection(self, was_rejected: bool, now_ms: float) -> None:
        """Learn from an exchange that was rejected, or was not."""
        self.fade(now_ms)
        self.reject_share += RATIO_WEIGHT * (float(was_rejected) - self.reject_share)

    def suspect(self, now_ms: float) -> bool:
        """Avoid it for a time that doubles; return whether that is news."""
        is_news = not self.is_suspect(now_ms)
        if is_news:
            doubled_ms = max(FIRST_SUSPICION_MS, 2 * self.suspicion_ms)
            self.suspicion_ms = min(LONGEST_SUSPICION_MS, doubled_ms)
        self.suspect_until_ms = now_ms + self.suspicion_ms
        return is_news

    def take_idle(self, now_ms: float, longest_idle_ms: float) -> IdleConnection | None:
        """Take the idle connection that was used last, if it is still good."""
        if not self.idle:
            return None
        latest = self.idle[-1]
        if now_ms >= latest.usable_until_ms or now_ms - latest.last_used_ms > longest_idle_ms:
            return None
        return self.idle.pop()

    def take_all_idle(self) -> list[int]:
        """Take out all idle connections."""
        idle, self.idle = self.idle, []
        return [connection.connection_id for connection in idle]

    def take_expired(self, now_ms: float) -> list[int]:
        """Take out the idle connections that are no longer good."""
        expired = [
            connection.connection_id
            for connection in self.idle
            if now_ms >= connection.usable_until_ms
        ]
        if expired:
            self.idle = [one for one in self.idle if now_ms < one.usable_until_ms]
        return expired

    def release(
        self, exchange: Exchange, keep_alive_ms: float | None, now_ms: float, is_reusable: bool
    ) -> bool:
        """End an exchange; return whether its connection is kept."""
        self.busy.pop(exchange.connection_id, None)
        if not is_reusable or self.is_gone:
            return False
        keep_ms = DEFAULT_KEEP_MS if keep_alive_ms is None else keep_alive_ms
        usable_ms = keep_ms - min(IDLE_MARGIN_MS, keep_ms / 2)
        self.idle.append(IdleConnection(exchange.connection_id, now_ms, now_ms + usable_ms))
        return True

    def describe(self, now_ms: float) -> dict:
        """Return its state for a dump."""
        return {
            'id': self.entry.replica_id,
            'service': self.entry.service,
            'zone': self.entry.zone,
            'draining': self.entry.is_draining,
            'gone': self.is_gone,
            'suspect': self.is_suspect(now_ms),
            'busy': len(self.busy),
            'idle': len(self.idle),
            'ratio': round(self.ratio, 2),
            'rejects': round(self.reject_share, 2),
        }


class Upstreams:
    """All replicas that the platform lists, by service."""

    __slots__ = ('by_id', 'by_service', 'exchanges', 'next_id', 'usual')

    def __init__(self):
        self.by_id: dict[str, ReplicaState] = {}
        self.by_service: dict[str, list[ReplicaState]] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.usual: dict[tuple[str, int], LatencyEstimate] = {}
        self.next_id = 0

    def new_id(self) -> int:
        """Return a number for an exchange or a connection."""
        self.next_id += 1
        return self.next_id

    def put(self, state: ReplicaState) -> None:
        """Add a replica."""
        self.by_id[state.entry.replica_id] = state
        self.by_service.setdefault(state.entry.service, []).append(state)

    def remove(self, state: ReplicaState) -> list[int]:
        """Drop a replica; return its idle connections. Exchanges under way go on."""
        state.is_gone = True
        if self.by_id.get(state.entry.replica_id) is state:
            del self.by_id[state.entry.replica_id]
        states = self.by_service.get(state.entry.service, [])
        if state in states:
            states.remove(state)
        return state.take_all_idle()

    def usual_ms(self, route_name: str, distance: int) -> float:
        """Return the usual latency of a route's requests at a distance."""
        estimate = self.usual.get((route_name, distance))
        if estimate is not None:
            return estimate.median_ms
        for other in (0, 1, 2):
            estimate = self.usual.get((route_name, other))
            if estimate is not None:
                known_ms = estimate.median_ms - DISTANCE_MS[other]
                return max(1.0, known_ms) + DISTANCE_MS[distance]
        return FIRST_WORK_MS + DISTANCE_MS[distance]

    def note_usual(self, route_name: str, distance: int, latency_ms: float) -> None:
        """Take a route's latency at a distance in."""
        estimate = self.usual.get((route_name, distance))
        if estimate is None:
            estimate = self.usual[route_name, distance] = LatencyEstimate(latency_ms)
        estimate.add(latency_ms)

    def usable(self, service: str) -> list[ReplicaState]:
        """Return a service's replicas that may be given requests."""
        return [state for state in self.by_service.get(service, ()) if state.is_usable]

    def choose(
        self, service: str, route_name: str, avoid: set[int], share: int, now_ms: float, rng
    ) -> ReplicaState | None:
        """
        Return the replica that is expected to answer first.

        :param avoid: identities of the states that were tried
        :param share: exchanges that this VM may have under way at one replica
        """
        able = []
        for state in self.by_service.get(service, ()):
            if state.is_usable and id(state) not in avoid and len(state.busy) < share:
                able.append(state)
        return self.find_fastest(able, route_name, now_ms, rng)

    def find_fastest(
        self, states: list[ReplicaState], route_name: str, now_ms: float, rng
    ) -> ReplicaState | None:
        """Return the one that is expected to answer first; equals share the work by chance."""
        best = None
        best_ms = math.inf
        for state in states:
            expected_ms = state.expect_ms(self.usual_ms(route_name, state.distance), now_ms)
            expected_ms *= rng.uniform(0.95, 1.05)
            if expected_ms < best_ms:
                best, best_ms = state, expected_ms
        return best
