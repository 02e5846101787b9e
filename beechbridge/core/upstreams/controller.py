"""Selects replicas, queues and sends attempts, and manages the connections."""

from ...actions import CloseConnection, Send
from ...document import Configuration
from ...failures import Reason
from ...messages import CancelOrder, UpstreamMessage
from ...models import Service
from ...record import Record
from ..interface import CoreInterface
from ..requests.attempts import Attempt, build_message, on_dropped, on_queued, on_sent
from .connections import MAX_IDLE_MS
from .replicas import ReplicaState
from .shares import connection_share

CONTROL_DEADLINE_MS = 1_000.0

MIN_STALL_TIMEOUT_MS = 250.0

STALL_FACTOR = 20.0
"""Multiple of a replica's median latency after which an exchange counts as stalled."""


class StallTimer(Record):
    """Fires when an exchange has had no reply within its stall timeout."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id


class Cancellation(Record):
    """Owner of the exchange that cancels an attempt."""

    __slots__ = ('cancelled_attempt_id',)

    def __init__(self, cancelled_attempt_id: str):
        self.cancelled_attempt_id = cancelled_attempt_id


class UpstreamsController:
    """
    All replicas in the configuration.

    :param attempts: exchanges that are queued or in flight, by identifier
    """

    __slots__ = ('attempts', 'next_connection_id', 'next_number', 'states')

    def __init__(self):
        self.states: dict[str, ReplicaState] = {}
        self.attempts: dict[str, Attempt] = {}
        self.next_number = 0
        self.next_connection_id = 0

    def apply_configuration(self, configuration: Configuration, core: CoreInterface) -> None:
        """Add, update and remove replicas to match the configuration."""
        named = set()
        for back_end in configuration.back_ends.values():
            for service_name, service in back_end.services.items():
                for replica in service.replicas:
                    named.add(replica.replica_id)
                    self.update_replica(replica, back_end.name, service_name, core)
        for replica_id, state in list(self.states.items()):
            if replica_id in named:
                continue
            state.removed = True
            self.flush_queue(state, core)
            if not state.in_flight:
                self.close_all(state, core)
                del self.states[replica_id]
        self.apply_shares(core)

    def update_replica(self, replica, back_end: str, service: str, core: CoreInterface) -> None:
        """Add a replica, or update it if it is known."""
        state = self.states.get(replica.replica_id)
        if state is None:
            self.states[replica.replica_id] = ReplicaState(replica, back_end, service)
            return
        if (state.replica.host, state.replica.port) != (replica.host, replica.port):
            # Busy connections to the old address are closed when released: the new pool does not
            # know them.
            self.close_all(state, core)
            self.states[replica.replica_id] = ReplicaState(replica, back_end, service)
            self.flush_queue(state, core)
            return
        if state.replica.draining and not replica.draining:
            state.drain_seen_ms = None
        state.replica = replica
        state.back_end = back_end
        state.service = service
        state.removed = False
        if replica.draining:
            self.flush_queue(state, core)

    def apply_shares(self, core: CoreInterface) -> None:
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
            self.dispatch_queue(state, core)

    def close_all(self, state: ReplicaState, core: CoreInterface) -> None:
        """Close all idle connections of a replica."""
        for connection_id in state.pool.evict_idle(float('inf')):
            core.act(CloseConnection(connection_id))

    def close_idle_connections(self, core: CoreInterface) -> None:
        """Close all idle connections; they may have been dropped during a pause."""
        for state in self.states.values():
            self.close_all(state, core)

    def new_attempt_id(self, core: CoreInterface) -> str:
        """Return an identifier that no other process and no earlier attempt used."""
        self.next_number += 1
        return f'{core.identity.name}-{core.identity.incarnation:x}-{self.next_number:x}'

    def choose_replica(
        self, service: Service, snapshot: int, exclude: set[str], urgency: int, core: CoreInterface
    ) -> ReplicaState | None:
        """Choose the cheaper of two random replicas of a service, preferring healthy ones."""
        usable = []
        preferred = []
        for replica in service.replicas:
            state = self.states.get(replica.replica_id)
            if state is None or state.is_draining or state.pool.share == 0:
                continue
            if replica.replica_id in exclude or not state.pool.can_send(core.now_ms):
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

    def is_connection_limited(self, service: Service, core: CoreInterface) -> bool:
        """Return whether a replica could serve if it had a free connection."""
        for replica in service.replicas:
            state = self.states.get(replica.replica_id)
            if state is None or state.is_draining or state.pool.share == 0:
                continue
            if not state.pool.can_send(core.now_ms):
                return True
        return False

    def submit(self, state: ReplicaState, attempt: Attempt, core: CoreInterface) -> None:
        """Queue an attempt and send as many as the concurrency window allows."""
        self.attempts[attempt.attempt_id] = attempt
        displaced = state.enqueue(attempt, core.limits.queue_length, core.policy.orders)
        if displaced is not None:
            core.counters.add('queue_displaced')
            self.drop(displaced, Reason.QUEUE_FULL, core)
        self.dispatch_queue(state, core)
        if attempt.sent_ms is None and not attempt.abandoned:
            on_queued(attempt.owner, attempt, core)

    def drop(self, attempt: Attempt, reason: Reason, core: CoreInterface) -> None:
        """Discard an unsent attempt and notify its owner."""
        self.attempts.pop(attempt.attempt_id, None)
        if attempt.abandoned:
            return
        on_dropped(attempt.owner, attempt, reason, core)

    def flush_queue(
        self, state: ReplicaState, core: CoreInterface, reason: Reason = Reason.DRAINING
    ) -> None:
        """Drop all unsent attempts of a replica that cannot or must not receive them."""
        queue, state.queue = state.queue, []
        for _, _, _, attempt in queue:
            self.drop(attempt, reason, core)

    def dispatch_queue(self, state: ReplicaState, core: CoreInterface) -> None:
        """Send as many queued attempts as the window and the connections allow."""
        while state.queue:
            attempt = state.queue[0][3]
            if attempt.abandoned:
                state.queue.pop(0)
                self.attempts.pop(attempt.attempt_id, None)
                continue
            if attempt.deadline_at_ms <= core.now_ms + state.min_latency_ms:
                state.queue.pop(0)
                core.counters.add('queue_expired')
                self.drop(attempt, Reason.DEADLINE, core)
                continue
            if core.policy.adapts and state.in_flight >= int(state.window):
                return
            if not core.membership.is_view_current:
                return
            if not self.send(state, attempt, core):
                if not state.pool.can_send(core.now_ms):
                    self.flush_queue(state, core, Reason.NO_PROGRESS)
                return
            state.queue.pop(0)

    def dispatch_all_queues(self, core: CoreInterface) -> None:
        """Dispatch the queues of all replicas."""
        for state in list(self.states.values()):
            self.dispatch_queue(state, core)

    def send(self, state: ReplicaState, attempt: Attempt, core: CoreInterface) -> bool:
        """Send an attempt over a pooled connection; return whether one was available."""
        for connection_id in state.pool.evict_idle(core.now_ms - MAX_IDLE_MS):
            core.act(CloseConnection(connection_id))
        next_id = self.next_connection_id + 1
        lease = state.pool.acquire(core.now_ms, next_id, attempt.requires_new)
        if lease is None and attempt.requires_new and state.pool.can_evict():
            oldest_id = state.pool.idle.pop(0)[0]
            core.act(CloseConnection(oldest_id))
            lease = state.pool.acquire(core.now_ms, next_id, attempt.requires_new)
        if lease is None:
            return False
        self.start_exchange(state, attempt, lease, core)
        return True

    def start_exchange(
        self, state: ReplicaState, attempt: Attempt, lease, core: CoreInterface
    ) -> None:
        """Hand an attempt and its connection to the driver."""
        if lease.is_new:
            self.next_connection_id = lease.connection_id
            core.counters.add('connections_opened')
        attempt.sent_ms = core.now_ms
        attempt.connection_id = lease.connection_id
        attempt.is_new = lease.is_new
        message = build_message(attempt.owner, attempt, core)
        timeout_ms = attempt.deadline_at_ms - core.now_ms
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

    def arm_stall_timer(self, attempt: Attempt, core: CoreInterface) -> None:
        """Arm the stall timeout of an exchange whose work is idempotent."""
        state = self.states.get(attempt.replica_id)
        if state is None:
            return
        stall_timeout_ms = core.policy.stall_timeout_ms
        if stall_timeout_ms is None:
            stall_timeout_ms = max(MIN_STALL_TIMEOUT_MS, STALL_FACTOR * state.latency.median_ms)
        core.timers.arm(core.now_ms + stall_timeout_ms, StallTimer(attempt.attempt_id))

    def cancel(self, attempt: Attempt, core: CoreInterface) -> None:
        """
        Stop waiting for an attempt.

        Its connection stays busy until the complete reply has arrived, since the upstream counts
        it until then; without a reply it is closed as silent.
        """
        if attempt.abandoned:
            return
        attempt.abandoned = True
        if attempt.sent_ms is None:
            return
        core.counters.add('cancels')
        self.arm_stall_timer(attempt, core)
        state = self.states.get(attempt.replica_id)
        if state is None:
            return
        lease = state.pool.acquire_oldest(core.now_ms)
        if lease is None:
            return
        owner = Cancellation(attempt.attempt_id)
        self.send_control(state, owner, lease, core)

    def send_control(self, state: ReplicaState, owner: object, lease, core: CoreInterface) -> None:
        """Send a probe or a cancellation, bypassing the queue, over an acquired connection."""
        attempt_id = self.new_attempt_id(core)
        deadline_at_ms = core.now_ms + CONTROL_DEADLINE_MS
        attempt = Attempt(attempt_id, state.replica.replica_id, owner, 0, deadline_at_ms)
        self.attempts[attempt_id] = attempt
        self.start_exchange(state, attempt, lease, core)
        core.timers.arm(deadline_at_ms, StallTimer(attempt_id))

    def release_connection(
        self, attempt: Attempt, reusable: bool, core: CoreInterface
    ) -> ReplicaState | None:
        """Return an exchange's connection to the pool, or drop it if it is not reusable."""
        state = self.states.get(attempt.replica_id)
        if state is None:
            core.act(CloseConnection(attempt.connection_id))
            return None
        if reusable and not state.removed:
            if not state.pool.release(attempt.connection_id, core.now_ms, True):
                core.act(CloseConnection(attempt.connection_id))
            return state
        state.pool.discard(attempt.connection_id, core.now_ms, attempt.hold_ms)
        if reusable:
            core.act(CloseConnection(attempt.connection_id))
        return state

    def describe(self, now_ms: float) -> list[dict]:
        """Return the state of all replicas for a state dump."""
        return [self.states[replica_id].describe(now_ms) for replica_id in sorted(self.states)]


@build_message.register
def build_cancel(owner: Cancellation, attempt: Attempt, core: CoreInterface) -> UpstreamMessage:
    """Return a request to cancel an attempt."""
    return CancelOrder(owner.cancelled_attempt_id)
