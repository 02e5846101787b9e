"""Controller of the replicas: queues, sending, and what their replies say about them."""

from ..actions import CloseConnection, LogChange, Send
from ..document import Configuration
from ..events import AttemptFailed, ReplyArrived
from ..failures import AttemptFailure, Executed, Reason
from ..messages import CancelOrder, LoadProbe, ReplicaSign, Reply, ReplyStatus, UpstreamMessage
from ..models import Service
from ..record import Record
from .attempts import (
    Attempt,
    build_message,
    on_dropped,
    on_failure,
    on_reply,
    on_sent,
)
from .connections import IDLE_TRUST_MS, SILENT_HOLD_MS
from .replicas import CLOSING_HOLD_MS, DRAIN_HOLD_MS, ReplicaState
from .shares import connection_share

PROBE_INTERVAL_MS = 2_000.0
"""Time between two probes of a replica by the VM that watches it."""

PROBE_ROUND_MS = 330.0
PROBES_PER_ROUND = 2
"""Most probes in a round; bounds what a VM that watches many replicas spends on them."""

PROBE_DEADLINE_MS = 1_000.0
MIN_STALL_MS = 250.0
STALL_FACTOR = 20.0
"""Multiple of a replica's median latency after which an exchange counts as stalled."""

SUSPECT_WINDOW_MS = 2_000.0
SUSPECT_REPLICAS = 3
"""Replicas whose connections fail within the window before all old connections are retired."""

OWN_FAILURES = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.NO_PROGRESS,
        Reason.TRUNCATED,
        Reason.MISMATCHED,
        Reason.UPSTREAM_ERROR,
    )
)
"""Failures that speak against the replica rather than for its load."""


class StallTimer(Record):
    """Fires when an exchange has had no reply for too long."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id


class ProbeTimer(Record):
    """Fires when the replicas are due for a probe."""

    __slots__ = ()


class Probe(Record):
    """Owner of a probe's exchange."""

    __slots__ = ('replica_id',)

    def __init__(self, replica_id: str):
        self.replica_id = replica_id


class Cancellation(Record):
    """Owner of a cancel order's exchange."""

    __slots__ = ('cancelled_attempt_id',)

    def __init__(self, cancelled_attempt_id: str):
        self.cancelled_attempt_id = cancelled_attempt_id


class UpstreamsController:
    """
    All replicas that the configuration names.

    :param attempts: exchanges that wait in a queue or run, by identifier
    """

    __slots__ = (
        'attempts',
        'next_connection_id',
        'next_number',
        'states',
        'suspects',
        'watched',
        'watched_for',
    )

    def __init__(self):
        self.states: dict[str, ReplicaState] = {}
        self.attempts: dict[str, Attempt] = {}
        self.next_number = 0
        self.suspects: list[tuple[float, str]] = []
        self.next_connection_id = 0
        self.watched: frozenset[str] = frozenset()
        self.watched_for: tuple | None = None

    def find_watched(self, core) -> frozenset[str]:
        """Return the replicas that this VM probes for the fleet."""
        names = core.membership.serving_names(core.now_ms)
        key = (names, core.configuration.generation)
        if key == self.watched_for:
            return self.watched
        owned = [name for name in self.states if core.membership.owns(name, names)]
        self.watched = frozenset(owned)
        self.watched_for = key
        return self.watched

    def apply_configuration(self, configuration: Configuration, core) -> None:
        """Add, change and remove replicas as the configuration says."""
        named = set()
        for back_end in configuration.back_ends.values():
            for service_name, service in back_end.services.items():
                for replica in service.replicas:
                    named.add(replica.replica_id)
                    self.put_replica(replica, back_end.name, service_name, core)
        for replica_id, state in list(self.states.items()):
            if replica_id in named:
                continue
            state.removed = True
            self.flush_queue(state, core)
            if not state.in_flight:
                self.close_all(state, core)
                del self.states[replica_id]
        self.apply_shares(core)

    def put_replica(self, replica, back_end: str, service: str, core) -> None:
        """Add a replica, or take over what changed about it."""
        state = self.states.get(replica.replica_id)
        if state is None:
            self.states[replica.replica_id] = ReplicaState(replica, back_end, service)
            return
        if (state.replica.host, state.replica.port) != (replica.host, replica.port):
            self.close_all(state, core)
            state.drain_sign_ms = None
        if state.replica.draining and not replica.draining:
            state.drain_sign_ms = None
        state.replica = replica
        state.back_end = back_end
        state.service = service
        state.removed = False
        if replica.draining:
            self.flush_queue(state, core)

    def apply_shares(self, core) -> None:
        """Set each replica's connection share from the VM list."""
        configuration = core.configuration.current
        names = core.membership.share_names(core.now_ms)
        if configuration is None or names is None:
            return
        spare_vms = configuration.fleet.spare_vms
        for state in self.states.values():
            limit = state.replica.connection_limit
            replica_id = state.replica.replica_id
            state.pool.share = connection_share(
                limit, spare_vms, names, core.identity.name, replica_id
            )
            for connection_id in state.pool.shrink(core.now_ms):
                core.act(CloseConnection(connection_id))
            self.pump(state, core)

    def close_all(self, state: ReplicaState, core) -> None:
        """Close a replica's idle connections."""
        for connection_id in state.pool.retire_idle(float('inf')):
            core.act(CloseConnection(connection_id))

    def suspect_connections(
        self, state: ReplicaState, attempt: Attempt, is_silent: bool, core
    ) -> None:
        """
        Retire the connections that are as old as one that broke or went silent.

        Where several replicas go silent at once, so may the others. An upstream that broke a
        connection does not count it any more; one behind a silent connection may.
        """
        if not is_silent:
            for connection_id in state.pool.retire_idle(attempt.sent_ms):
                core.act(CloseConnection(connection_id))
            return
        recent = [pair for pair in self.suspects if core.now_ms - pair[0] < SUSPECT_WINDOW_MS]
        recent.append((core.now_ms, state.replica.replica_id))
        self.suspects = recent
        states = [state]
        if len({replica_id for _, replica_id in recent}) >= SUSPECT_REPLICAS:
            states = list(self.states.values())
        hold_until_ms = core.now_ms + SILENT_HOLD_MS
        for suspect in states:
            for connection_id in suspect.pool.retire_idle(attempt.sent_ms, hold_until_ms):
                core.counters.add('connections_suspected')
                core.act(CloseConnection(connection_id))

    def distrust_connections(self, core) -> None:
        """Close all idle connections, as after a pause."""
        for state in self.states.values():
            self.close_all(state, core)

    def new_attempt_id(self, core) -> str:
        """Return an identifier that no other process and no earlier attempt used."""
        self.next_number += 1
        return f'{core.identity.name}-{core.identity.incarnation:x}-{self.next_number:x}'

    def choose(
        self, service: Service, snapshot: int, exclude: set[str], urgency: int, core
    ) -> ReplicaState | None:
        """Choose a replica of a service: the cheaper of two, the healthy ones first."""
        usable = []
        preferred = []
        for replica in service.replicas:
            state = self.states.get(replica.replica_id)
            if state is None or state.is_draining or state.pool.share == 0:
                continue
            if replica.replica_id in exclude or not state.pool.can_carry(core.now_ms):
                continue
            usable.append(state)
            if state.is_ejected or state.closing_until_ms > core.now_ms:
                continue
            if 0 < state.newest_snapshot < snapshot:
                continue
            preferred.append(state)
        if not core.policy.balances:
            return core.rng.choice(usable) if usable else None
        pool = preferred or [state for state in usable if not state.is_ejected] or usable
        if len(pool) > 2:
            pool = core.rng.sample(pool, 2)
        if not pool:
            return None
        if len(pool) == 1:
            return pool[0]
        first, second = pool
        difference = first.score(urgency, core.now_ms) - second.score(urgency, core.now_ms)
        if difference == 0:
            return core.rng.choice(pool)
        return first if difference < 0 else second

    def is_held_up(self, service: Service, core) -> bool:
        """Tell whether a replica could serve if it had a free connection."""
        for replica in service.replicas:
            state = self.states.get(replica.replica_id)
            if state is None or state.is_draining or state.pool.share == 0:
                continue
            if not state.pool.can_carry(core.now_ms):
                return True
        return False

    def submit(self, state: ReplicaState, attempt: Attempt, core) -> None:
        """Queue an attempt and send what the window allows."""
        self.attempts[attempt.attempt_id] = attempt
        displaced = state.enqueue(attempt, core.limits.queue_length, core.policy.orders)
        if displaced is not None:
            core.counters.add('queue_displaced')
            self.drop(displaced, Reason.QUEUE_FULL, core)
        self.pump(state, core)

    def drop(self, attempt: Attempt, reason: Reason, core) -> None:
        """Take an unsent attempt out and tell its owner."""
        self.attempts.pop(attempt.attempt_id, None)
        if attempt.abandoned:
            return
        on_dropped(attempt.owner, attempt, reason, core)

    def flush_queue(self, state: ReplicaState, core, reason: Reason = Reason.DRAINING) -> None:
        """Take all unsent attempts off a replica that cannot or must not get them."""
        queue, state.queue = state.queue, []
        for _, _, _, attempt in queue:
            self.drop(attempt, reason, core)

    def pump(self, state: ReplicaState, core) -> None:
        """Send queued attempts as far as window and connections allow."""
        while state.queue:
            attempt = state.queue[0][3]
            if attempt.abandoned:
                state.queue.pop(0)
                self.attempts.pop(attempt.attempt_id, None)
                continue
            if attempt.deadline_ms <= core.now_ms + state.least_ms:
                state.queue.pop(0)
                core.counters.add('queue_expired')
                self.drop(attempt, Reason.DEADLINE, core)
                continue
            if core.policy.adapts and state.in_flight >= int(state.window):
                return
            if not core.membership.is_trusted:
                return
            if not self.send(state, attempt, core):
                if not state.pool.can_carry(core.now_ms):
                    self.flush_queue(state, core, Reason.NO_PROGRESS)
                return
            state.queue.pop(0)

    def pump_all(self, core) -> None:
        """Send what every replica's window allows."""
        for state in list(self.states.values()):
            self.pump(state, core)

    def send(self, state: ReplicaState, attempt: Attempt, core) -> bool:
        """Send an attempt over a connection of the pool; False if none is to be had."""
        for connection_id in state.pool.retire_idle(core.now_ms - IDLE_TRUST_MS):
            core.act(CloseConnection(connection_id))
        next_id = self.next_connection_id + 1
        lease = state.pool.acquire(core.now_ms, next_id, attempt.fresh)
        if lease is None and attempt.fresh and state.pool.can_make_room():
            oldest_id = state.pool.idle.pop(0)[0]
            core.act(CloseConnection(oldest_id))
            lease = state.pool.acquire(core.now_ms, next_id, attempt.fresh)
        if lease is None:
            return False
        self.carry(state, attempt, lease, core)
        return True

    def carry(self, state: ReplicaState, attempt: Attempt, lease, core) -> None:
        """Hand an attempt and its connection to the driver."""
        if lease.is_new:
            self.next_connection_id = lease.connection_id
            core.counters.add('connections_opened')
        attempt.sent_ms = core.now_ms
        attempt.connection_id = lease.connection_id
        attempt.is_new = lease.is_new
        message = build_message(attempt.owner, attempt, core)
        timeout_ms = attempt.deadline_ms - core.now_ms
        core.counters.add('exchanges', type(message).__name__)
        core.act(
            Send(
                attempt.attempt_id,
                state.replica,
                lease.connection_id,
                lease.is_new,
                message,
                timeout_ms,
            )
        )
        on_sent(attempt.owner, attempt, core)

    def arm_stall(self, attempt: Attempt, core) -> None:
        """Give up on an exchange of idempotent work that makes no progress."""
        state = self.states.get(attempt.replica_id)
        if state is None:
            return
        stall_ms = core.policy.stall_ms
        if stall_ms is None:
            stall_ms = max(MIN_STALL_MS, STALL_FACTOR * state.latency.median_ms)
        core.timers.arm(core.now_ms + stall_ms, StallTimer(attempt.attempt_id))

    def cancel(self, attempt: Attempt, core) -> None:
        """
        Stop waiting for an attempt.

        Its connection stays busy until the whole reply has come, since the upstream counts it too;
        without a reply it is closed as silent.
        """
        if attempt.abandoned:
            return
        attempt.abandoned = True
        if attempt.sent_ms is None:
            return
        core.counters.add('cancels')
        self.arm_stall(attempt, core)
        state = self.states.get(attempt.replica_id)
        if state is None:
            return
        lease = state.pool.acquire_oldest(core.now_ms)
        if lease is None:
            return
        owner = Cancellation(attempt.attempt_id)
        self.start_control(state, owner, lease, core)

    def start_control(self, state: ReplicaState, owner: object, lease, core) -> None:
        """Send a probe or a cancel order past the queue over a connection already taken."""
        attempt_id = self.new_attempt_id(core)
        deadline_ms = core.now_ms + PROBE_DEADLINE_MS
        attempt = Attempt(attempt_id, state.replica.replica_id, owner, 0, deadline_ms)
        self.attempts[attempt_id] = attempt
        self.carry(state, attempt, lease, core)
        core.timers.arm(deadline_ms, StallTimer(attempt_id))

    def probe_due(self, core) -> None:
        """Probe the replicas that are due, those that wait longest first."""
        watched = self.find_watched(core)
        due = []
        for replica_id, state in self.states.items():
            if state.probing or state.removed or state.pool.share == 0:
                continue
            ejection_over = state.is_ejected and state.ejected_until_ms <= core.now_ms
            is_due = core.now_ms - state.probed_ms >= PROBE_INTERVAL_MS
            if ejection_over or (replica_id in watched and is_due):
                due.append(state)
        due.sort(key=lambda state: state.probed_ms)
        for state in due[:PROBES_PER_ROUND]:
            self.probe(state, core)

    def probe(self, state: ReplicaState, core, fresh: bool = False) -> None:
        """
        Probe a replica over its longest idle connection, or a new one.

        :param fresh: use a new connection in any case, to tell the replica from its connections
        """
        lease = None if fresh else state.pool.acquire_oldest(core.now_ms)
        if lease is None:
            lease = state.pool.acquire(core.now_ms, self.next_connection_id + 1, True)
        if lease is None:
            return
        state.probing = True
        state.probed_ms = core.now_ms
        self.start_control(state, Probe(state.replica.replica_id), lease, core)

    def mark_draining(self, state: ReplicaState, sign_ms: float, core) -> None:
        """Stop new work on a replica that showed a sign of leaving."""
        is_news = state.drain_sign_ms is None
        state.drain_sign_ms = max(sign_ms, state.drain_sign_ms or 0.0)
        if not is_news:
            return
        core.counters.add('drain_signs')
        core.act(LogChange(state.replica.replica_id, 'serving', 'draining'))
        self.flush_queue(state, core)
        core.membership.gossip_now(core)

    def end_drain(self, state: ReplicaState, core) -> None:
        """Give a replica work again."""
        state.drain_sign_ms = None
        core.act(LogChange(state.replica.replica_id, 'draining', 'serving'))

    def take_sign(self, sign: ReplicaSign, core) -> None:
        """Take what a peer saw of a replica."""
        state = self.states.get(sign.replica_id)
        if state is None:
            return
        seen_ms = core.now_ms - sign.age_ms
        if sign.draining and seen_ms > core.now_ms - DRAIN_HOLD_MS:
            self.mark_draining(state, seen_ms, core)
        held_ms = seen_ms - state.drain_sign_ms if state.drain_sign_ms is not None else 0.0
        if not sign.draining and held_ms >= DRAIN_HOLD_MS:
            self.end_drain(state, core)
        if seen_ms <= state.seen_ms:
            return
        if state.note_snapshots(sign.oldest_snapshot, sign.newest_snapshot, seen_ms):
            core.snapshots.forget_choice(state.back_end)

    def signs(self, core) -> list[ReplicaSign]:
        """Return what peers should hear: drains, and the replicas this VM watches."""
        watched = self.find_watched(core)
        signs = []
        for replica_id, state in self.states.items():
            draining = state.drain_sign_ms is not None
            if not draining and replica_id not in watched:
                continue
            seen_ms = state.drain_sign_ms if draining else state.seen_ms
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

    def log_ejection(self, state: ReplicaState, core) -> None:
        """Report a replica's ejection, and send what waits for it elsewhere."""
        core.counters.add('ejections')
        core.act(LogChange(state.replica.replica_id, 'serving', 'ejected'))
        self.flush_queue(state, core, Reason.NO_PROGRESS)

    def finish(self, attempt: Attempt, reusable: bool, core) -> ReplicaState | None:
        """Account for the end of an exchange's connection."""
        state = self.states.get(attempt.replica_id)
        if state is None:
            core.act(CloseConnection(attempt.connection_id))
            return None
        if reusable and not state.removed:
            if not state.pool.release(attempt.connection_id, core.now_ms, True):
                core.act(CloseConnection(attempt.connection_id))
            return state
        state.pool.forget(attempt.connection_id, core.now_ms, attempt.hold_ms)
        if reusable:
            core.act(CloseConnection(attempt.connection_id))
        return state

    def describe(self, now_ms: float) -> list[dict]:
        """Return all replicas' states for a dump."""
        return [self.states[replica_id].describe(now_ms) for replica_id in sorted(self.states)]


def matches(attempt: Attempt, reply: Reply) -> bool:
    """Tell whether a reply is to this attempt. Refusals that echo nothing speak for themselves."""
    return reply.attempt_id == attempt.attempt_id


def handle_reply(event: ReplyArrived, core) -> None:
    """Free the connection, learn from the reply, and pass it to the attempt's owner."""
    upstreams = core.upstreams
    attempt = upstreams.attempts.pop(event.attempt_id, None)
    if attempt is None:
        core.counters.add('replies_unexpected')
        return
    reply = event.reply
    if not matches(attempt, reply):
        core.counters.add('replies_mismatched')
        failure = AttemptFailure(Reason.MISMATCHED, Executed.UNKNOWN, 'reply to another attempt')
        state = upstreams.finish(attempt, False, core)
        core.act(CloseConnection(attempt.connection_id))
        if not attempt.abandoned:
            pass_failure(attempt, state, failure, core)
        return
    state = upstreams.finish(attempt, event.reusable and not reply.closing, core)
    if state is not None:
        learn_from_reply(state, attempt, reply, core)
    if attempt.abandoned:
        core.counters.add('replies_late')
    else:
        on_reply(attempt.owner, attempt, reply, core)
    if state is not None:
        upstreams.pump(state, core)


def learn_from_reply(state: ReplicaState, attempt: Attempt, reply: Reply, core) -> None:
    """Update what is known of a replica from its reply."""
    if state.note_snapshots(reply.oldest_snapshot, reply.newest_snapshot, core.now_ms):
        core.snapshots.forget_choice(state.back_end)
    if reply.status is ReplyStatus.DRAINING:
        core.upstreams.mark_draining(state, core.now_ms, core)
        return
    if reply.closing:
        state.closing_until_ms = core.now_ms + CLOSING_HOLD_MS
    if reply.status is ReplyStatus.SHED:
        state.shrink_window(core.now_ms)
        return
    if reply.status is ReplyStatus.ERROR:
        if state.count_failure(core.now_ms):
            core.upstreams.log_ejection(state, core)
        return
    if reply.status is not ReplyStatus.DONE or attempt.abandoned:
        return
    if isinstance(attempt.owner, (Probe, Cancellation)):
        return
    state.failures = 0
    if state.is_ejected:
        readmit(state, core)
    state.add_latency(core.now_ms - attempt.sent_ms, core.now_ms)
    state.adapt_window(core.now_ms - attempt.sent_ms)


def readmit(state: ReplicaState, core) -> None:
    """Take an ejected replica back."""
    state.readmit()
    core.act(LogChange(state.replica.replica_id, 'ejected', 'serving'))


def handle_attempt_failed(event: AttemptFailed, core) -> None:
    """Free the connection and pass the failure to the attempt's owner."""
    attempt = core.upstreams.attempts.pop(event.attempt_id, None)
    if attempt is None:
        core.counters.add('replies_unexpected')
        return
    if event.failure.reason is Reason.NO_PROGRESS:
        attempt.hold_ms = SILENT_HOLD_MS
    state = core.upstreams.finish(attempt, False, core)
    if attempt.abandoned:
        core.counters.add('attempts_failed', event.failure.reason.value)
    else:
        pass_failure(attempt, state, event.failure, core)
    if state is not None:
        core.upstreams.pump(state, core)


def pass_failure(
    attempt: Attempt, state: ReplicaState | None, failure: AttemptFailure, core
) -> None:
    """Hold a failure against the replica where it is its own, and tell the owner."""
    core.counters.add('attempts_failed', failure.reason.value)
    is_own = failure.reason in OWN_FAILURES and attempt.is_new
    if state is not None and is_own and state.count_failure(core.now_ms):
        core.upstreams.log_ejection(state, core)
    if state is not None and not attempt.is_new:
        is_silent = failure.reason is Reason.NO_PROGRESS
        core.upstreams.suspect_connections(state, attempt, is_silent, core)
    on_failure(attempt.owner, attempt, failure, core)


def fire_stall(timer: StallTimer, core) -> None:
    """Retire the connection of an exchange that made no progress, and tell the owner."""
    attempt = core.upstreams.attempts.get(timer.attempt_id)
    if attempt is None or attempt.sent_ms is None or attempt.hold_ms > 0:
        return
    was_abandoned = attempt.abandoned
    attempt.abandoned = True
    attempt.hold_ms = SILENT_HOLD_MS
    core.counters.add('connections_silent')
    core.act(CloseConnection(attempt.connection_id))
    if was_abandoned:
        state = core.upstreams.states.get(attempt.replica_id)
        if state is not None and not attempt.is_new and not state.probing:
            core.upstreams.probe(state, core, fresh=True)
        return
    state = core.upstreams.states.get(attempt.replica_id)
    failure = AttemptFailure(Reason.NO_PROGRESS, Executed.UNKNOWN, 'no reply in time')
    pass_failure(attempt, state, failure, core)
    if state is not None and not attempt.is_new and not state.probing:
        core.upstreams.probe(state, core, fresh=True)


def fire_probe(timer: ProbeTimer, core) -> None:
    """Probe what is due and arm the next round with jitter."""
    core.upstreams.probe_due(core)
    jitter_ms = core.rng.uniform(0.8, 1.2) * PROBE_ROUND_MS
    core.timers.arm(core.now_ms + jitter_ms, timer)


@build_message.register
def build_probe(owner: Probe, attempt: Attempt, core) -> UpstreamMessage:
    """Ask for health and load."""
    return LoadProbe()


@build_message.register
def build_cancel(owner: Cancellation, attempt: Attempt, core) -> UpstreamMessage:
    """Tell the upstream which attempt to stop."""
    return CancelOrder(owner.cancelled_attempt_id)


@on_reply.register
def take_probe_reply(owner: Probe, attempt: Attempt, reply: Reply, core) -> None:
    """Readmit an ejected replica; end a drain only long after its last sign."""
    state = core.upstreams.states.get(owner.replica_id)
    if state is None:
        return
    state.probing = False
    if reply.status is not ReplyStatus.DONE:
        return
    if state.is_ejected and state.ejected_until_ms <= core.now_ms:
        readmit(state, core)
    if state.drain_sign_ms is None or core.now_ms - state.drain_sign_ms < DRAIN_HOLD_MS:
        return
    core.upstreams.end_drain(state, core)


@on_failure.register
def take_probe_failure(owner: Probe, attempt: Attempt, failure: AttemptFailure, core) -> None:
    """Let the next probe go out."""
    state = core.upstreams.states.get(owner.replica_id)
    if state is None:
        return
    state.probing = False
    if state.is_ejected and state.ejected_until_ms <= core.now_ms:
        state.eject(core.now_ms)
        return
    if not state.is_ejected and attempt.is_new and failure.reason is Reason.NO_PROGRESS:
        # Not even a new connection gets an answer.
        state.eject(core.now_ms)
        core.upstreams.log_ejection(state, core)
