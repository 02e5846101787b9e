"""Health checks of replicas: probes, drain detection, ejection and silent connections."""

from ...actions import CloseConnection, LogChange
from ...failures import AttemptFailure, Reason
from ...messages import LoadProbe, ReplicaSign, Reply, ReplyStatus, UpstreamMessage
from ...record import Record
from ..interface import CoreInterface
from ..requests.attempts import Attempt, build_message, on_failure, on_reply
from .connections import SILENT_HOLD_MS
from .replicas import DRAIN_HOLD_MS, ReplicaState

PROBE_INTERVAL_MS = 2_000.0
"""Time between two probes of a replica by the VM that monitors it."""

PROBE_ROUND_INTERVAL_MS = 330.0

PROBES_PER_ROUND = 2
"""Maximum probes per round; bounds the work of a VM that monitors many replicas."""

SUSPECT_WINDOW_MS = 2_000.0

SUSPECT_REPLICAS = 3
"""Number of replicas that go silent within the window at which all replicas are suspected."""


class ProbeTimer(Record):
    """Fires when the next round of probes is due."""

    __slots__ = ()


class Probe(Record):
    """Owner of a probe's exchange."""

    __slots__ = ('replica_id',)

    def __init__(self, replica_id: str):
        self.replica_id = replica_id


class HealthController:
    """
    Replicas that this VM monitors, and the drains and silent connections it has seen.

    :param monitored: replicas that this VM probes on behalf of the fleet
    :param suspects: times (in milliseconds) and replicas of connections that recently went silent
    """

    __slots__ = ('monitored', 'monitored_key', 'suspects')

    def __init__(self):
        self.suspects: list[tuple[float, str]] = []
        self.monitored: frozenset[str] = frozenset()
        self.monitored_key: tuple | None = None

    def find_monitored(self, core: CoreInterface) -> frozenset[str]:
        """Return the replicas that this VM probes on behalf of the fleet."""
        names = core.membership.serving_names(core.now_ms)
        key = (names, core.configuration.generation)
        if key == self.monitored_key:
            return self.monitored
        owned = [
            name for name in core.upstreams.states if core.membership.ranks_first(name, names)
        ]
        self.monitored = frozenset(owned)
        self.monitored_key = key
        return self.monitored

    def close_suspect_connections(
        self, state: ReplicaState, attempt: Attempt, is_silent: bool, core: CoreInterface
    ) -> None:
        """
        Close the idle connections last used before the exchange that broke or went silent.

        If several replicas go silent at once, so may the others, and such connections to them are
        closed too. An upstream that broke a connection no longer counts it; one whose
        connection went silent may still count it.
        """
        if not is_silent:
            for connection_id in state.pool.evict_idle(attempt.sent_ms):
                core.act(CloseConnection(connection_id))
            return
        recent = [pair for pair in self.suspects if core.now_ms - pair[0] < SUSPECT_WINDOW_MS]
        recent.append((core.now_ms, state.replica.replica_id))
        self.suspects = recent
        states = [state]
        if len({replica_id for _, replica_id in recent}) >= SUSPECT_REPLICAS:
            states = list(core.upstreams.states.values())
        hold_until_ms = core.now_ms + SILENT_HOLD_MS
        for suspect in states:
            for connection_id in suspect.pool.evict_idle(attempt.sent_ms, hold_until_ms):
                core.counters.add('connections_suspected')
                core.act(CloseConnection(connection_id))

    def probe_due(self, core: CoreInterface) -> None:
        """Probe the replicas that are due, longest overdue first."""
        monitored = self.find_monitored(core)
        due = []
        for replica_id, state in core.upstreams.states.items():
            if state.probing or state.removed or state.pool.share == 0:
                continue
            ejection_over = state.is_ejected and state.ejected_until_ms <= core.now_ms
            is_due = core.now_ms - state.probed_ms >= PROBE_INTERVAL_MS
            if ejection_over or (replica_id in monitored and is_due):
                due.append(state)
        due.sort(key=lambda state: state.probed_ms)
        for state in due[:PROBES_PER_ROUND]:
            self.probe(state, core)

    def probe(self, state: ReplicaState, core: CoreInterface, requires_new: bool = False) -> None:
        """
        Probe a replica over its longest-idle connection, or a new one.

        :param requires_new: always use a new connection, so that a failure is the replica's and
            not that of an old connection
        """
        lease = None if requires_new else state.pool.acquire_oldest(core.now_ms)
        if lease is None:
            lease = state.pool.acquire(core.now_ms, core.upstreams.next_connection_id + 1, True)
        if lease is None:
            return
        state.probing = True
        state.probed_ms = core.now_ms
        core.upstreams.send_control(state, Probe(state.replica.replica_id), lease, core)

    def mark_draining(self, state: ReplicaState, sign_ms: float, core: CoreInterface) -> None:
        """Stop sending new work to a replica that is reported to be draining."""
        is_first_sign = state.drain_seen_ms is None
        state.drain_seen_ms = max(sign_ms, state.drain_seen_ms or 0.0)
        if not is_first_sign:
            return
        core.counters.add('drain_signs')
        core.act(LogChange(state.replica.replica_id, 'serving', 'draining'))
        core.upstreams.flush_queue(state, core)
        core.membership.send_gossip(core)

    def end_drain(self, state: ReplicaState, core: CoreInterface) -> None:
        """Send work to a replica again."""
        state.drain_seen_ms = None
        core.act(LogChange(state.replica.replica_id, 'draining', 'serving'))

    def handle_sign(self, sign: ReplicaSign, core: CoreInterface) -> None:
        """Apply the state of a replica as reported by a peer."""
        state = core.upstreams.states.get(sign.replica_id)
        if state is None:
            return
        seen_ms = core.now_ms - max(0, sign.age_ms)
        if sign.draining and seen_ms > core.now_ms - DRAIN_HOLD_MS:
            self.mark_draining(state, seen_ms, core)
        held_ms = seen_ms - state.drain_seen_ms if state.drain_seen_ms is not None else 0.0
        if not sign.draining and held_ms >= DRAIN_HOLD_MS:
            self.end_drain(state, core)
        if seen_ms <= state.seen_ms:
            return
        if state.record_snapshots(sign.oldest_snapshot, sign.newest_snapshot, seen_ms):
            core.snapshots.invalidate(state.back_end)

    def build_signs(self, core: CoreInterface) -> list[ReplicaSign]:
        """Return the replica states to gossip: draining ones, and those that this VM probes."""
        monitored = self.find_monitored(core)
        signs = []
        for replica_id, state in core.upstreams.states.items():
            draining = state.drain_seen_ms is not None
            if not draining and replica_id not in monitored:
                continue
            seen_ms = state.drain_seen_ms if draining else state.seen_ms
            if seen_ms <= 0:
                continue
            signs.append(
                ReplicaSign(
                    replica_id,
                    int(core.now_ms - seen_ms),
                    draining,
                    state.oldest_snapshot,
                    state.newest_snapshot,
                )
            )
        return signs

    def handle_ejection(self, state: ReplicaState, core: CoreInterface) -> None:
        """Log a replica's ejection and flush its queue, so that other replicas get the work."""
        core.counters.add('ejections')
        core.act(LogChange(state.replica.replica_id, 'serving', 'ejected'))
        core.upstreams.flush_queue(state, core, Reason.NO_PROGRESS)


def readmit(state: ReplicaState, core: CoreInterface) -> None:
    """Readmit an ejected replica and log it."""
    state.readmit()
    core.act(LogChange(state.replica.replica_id, 'ejected', 'serving'))


def fire_probe(timer: ProbeTimer, core: CoreInterface) -> None:
    """Run a round of probes and arm the next one with jitter."""
    core.health.probe_due(core)
    jitter_ms = core.rng.uniform(0.8, 1.2) * PROBE_ROUND_INTERVAL_MS
    core.timers.arm(core.now_ms + jitter_ms, timer)


@build_message.register
def build_probe(owner: Probe, attempt: Attempt, core: CoreInterface) -> UpstreamMessage:
    """Return a request for health and load."""
    return LoadProbe()


@on_reply.register
def handle_probe_reply(owner: Probe, attempt: Attempt, reply: Reply, core: CoreInterface) -> None:
    """Readmit an ejected replica; end a drain only once its last sign is old enough."""
    state = core.upstreams.states.get(owner.replica_id)
    if state is None:
        return
    state.probing = False
    if reply.status is not ReplyStatus.DONE:
        return
    if state.is_ejected and state.ejected_until_ms <= core.now_ms:
        readmit(state, core)
    if state.drain_seen_ms is None or core.now_ms - state.drain_seen_ms < DRAIN_HOLD_MS:
        return
    core.health.end_drain(state, core)


@on_failure.register
def handle_probe_failure(
    owner: Probe, attempt: Attempt, failure: AttemptFailure, core: CoreInterface
) -> None:
    """Allow the next probe, and eject the replica if it does not respond."""
    state = core.upstreams.states.get(owner.replica_id)
    if state is None:
        return
    state.probing = False
    if state.is_ejected and state.ejected_until_ms <= core.now_ms:
        state.eject(core.now_ms)
        return
    if not state.is_ejected and attempt.is_new and failure.reason is Reason.NO_PROGRESS:
        # The replica does not respond on a new connection either.
        state.eject(core.now_ms)
        core.health.handle_ejection(state, core)
