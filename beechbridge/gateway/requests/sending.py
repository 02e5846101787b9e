"""Dispatch of tasks to replicas: replica choice, connections, queueing, backoff and budget."""

import heapq
from collections.abc import Iterable

from ..actions import MAX_PART_BYTES, AbandonExchange, SendRequest
from ..interface import GatewayInterface
from ..replicas.connections import Exchange, IdleConnection
from ..replicas.limits import is_available, is_open, record_send
from ..replicas.notices import SendKind
from ..replicas.reach import watch_reach
from ..replicas.upstreams import (
    MIN_STALL_TIMEOUT_MS,
    NON_IDEMPOTENT_IDLE_MS,
    STALL_TIMEOUT_FACTOR,
    ReplicaState,
)
from .candidates import allowed_zones, has_unrestricted, list_usable
from .holding import hold_task, is_convicted, is_held_back
from .pauses import avoided_replicas
from .permit_requests import request_permit
from .room_queue import has_room, may_finish, record_begin, record_end
from .work_estimates import expect_wait_ms, expect_work, note_estimate
from .works import OrderedWork, RetryTimer, Task

FIRST_BACKOFF_MS = 10.0
MAX_BACKOFF_MS = 160.0
NEAR_FRACTION = 0.5
"""
Fraction of the time left until the soft deadline within which a nearer replica is expected to
answer, to be preferred to a faster one farther away: links between data centres are expensive.
"""

MIN_TIME_LEFT_MS = 4.0
"""Minimum time before the deadline for a task to be worth sending."""

FOREVER_MS = float('inf')
DISTANCE_NAMES = ('own_zone', 'own_region', 'other_region')


def dispatch_task(task: Task, gateway: GatewayInterface, is_hedge: bool = False) -> bool:
    """
    Send a task to the best replica; return whether it was sent.

    A task that cannot be sent now is queued for a connection or a later retry, if that may help.
    """
    if not is_worth_sending(task, gateway):
        return False
    if is_held_back(task):
        hold_task(task)
        return False
    if not has_room(task, gateway):
        if not task.exchanges:
            enqueue_task(task, gateway)
        return False
    state = choose_replica(task, is_hedge, gateway)
    if state is None:
        if not task.exchanges:
            wait_for_replica(task, gateway)
        return False
    if state.notices.is_restricted and not is_open(state, gateway):
        request_permit(task, state, gateway)
        return False
    if task.delivery_count and not gateway.budget(task.service).acquire(
        gateway.budget_share(), gateway.now_ms
    ):
        gateway.counters.add('repeats_denied')
        return False
    send_task(task, state, gateway, is_hedge)
    return True


def is_worth_sending(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a task is open, can be sent by this VM in time, and ends no replica."""
    work = task.work
    if not task.is_open or not work.may_send or is_convicted(task, gateway):
        return False
    if gateway.reach.is_silent:
        return False
    if work.hard_at_ms - gateway.now_ms < MIN_TIME_LEFT_MS:
        return False
    return task.run_count < work.route.attempts


def choose_replica(task: Task, is_hedge: bool, gateway: GatewayInterface) -> ReplicaState | None:
    """Return the replica to send a task to, if there is one; hedges do not ask for permits."""
    can_send = is_open if is_hedge else is_available
    task.demand = expect_work(task, gateway)
    return gateway.upstreams.choose(
        task.service,
        task.work.route.name,
        avoided_replicas(task, gateway),
        gateway.connection_share(task.service),
        NEAR_FRACTION * (task.work.soft_at_ms - gateway.now_ms),
        gateway.now_ms,
        gateway.rng,
        lambda state: can_send(state, gateway),
        allowed_zones(task.work, gateway),
        task.demand,
    )


def wait_for_replica(task: Task, gateway: GatewayInterface) -> None:
    """Queue a task for a connection or a later retry, if that may help."""
    usable = list_usable(task, gateway)
    if not usable:
        return
    available = [state for state in usable if is_available(state, gateway)]
    if not available:
        gateway.counters.add('tasks_held_back')
        return
    if any(id(state) not in task.excluded_replicas for state in available):
        enqueue_task(task, gateway)
        return
    # Without a permit now, only a replica that needs none is worth another attempt.
    may_retry = not task.is_denied or has_unrestricted(task, gateway)
    if may_retry and not task.is_waiting:
        schedule_retry(task, gateway)


def enqueue_task(task: Task, gateway: GatewayInterface) -> None:
    """Queue a task until a connection to its service is free, ordered by urgency."""
    if task.is_waiting or not may_finish(task, gateway):
        return
    task.is_waiting = True
    work = task.work
    queue = gateway.waiting.setdefault(task.service, [])
    order = (work.route.priority, work.soft_at_ms, gateway.upstreams.new_id())
    heapq.heappush(queue, (*order, task))
    gateway.counters.add('tasks_queued')


def schedule_retry(task: Task, gateway: GatewayInterface) -> None:
    """Schedule a retry at any replica, with exponential backoff and jitter."""
    delay_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**task.backoff_count)
    task.backoff_count += 1
    task.is_waiting = True
    due_ms = gateway.now_ms + delay_ms * gateway.rng.uniform(0.5, 1.0)
    gateway.timers.arm(due_ms, RetryTimer(task))


def send_task(
    task: Task, state: ReplicaState, gateway: GatewayInterface, is_hedge: bool = False
) -> None:
    """Send a task to a replica over an idle connection or a new one."""
    now_ms = gateway.now_ms
    work = task.work
    for connection_id in state.remove_expired(now_ms):
        gateway.drop_connection(connection_id)
    longest_idle_ms = FOREVER_MS if work.route.is_idempotent else NON_IDEMPOTENT_IDLE_MS
    idle = state.acquire_idle(now_ms, longest_idle_ms, work.request.request_id)
    if idle is None:
        evict_idle(state, task.service, gateway)
        gateway.counters.add('connections_opened')
    typical_ms = gateway.upstreams.typical_ms(work.route.name, state.distance)
    stalled_at_ms = now_ms + max(MIN_STALL_TIMEOUT_MS, STALL_TIMEOUT_FACTOR * typical_ms)
    kind = find_kind(task, is_hedge)
    wait_ms = expect_wait_ms(task, state, gateway)
    exchange = begin_exchange(task, state, idle, stalled_at_ms, gateway, kind)
    note_estimate(exchange, task, wait_ms, gateway)
    record_begin(task, gateway)
    watch_reach(gateway)
    exchange.is_alone = work.is_trial
    exchange.round_number = work.round_number
    if state.notices.is_restricted:
        record_send(state, kind, now_ms)
    if task.delivery_count:
        work.extra_count += 1
        gateway.counters.add('repeats', kind)
    task.delivery_count += 1
    task.run_count += 1
    gateway.activity.sent_count += 1
    gateway.counters.add('sub_requests', DISTANCE_NAMES[state.distance])
    entry = state.entry
    gateway.act(
        SendRequest(
            exchange.exchange_id,
            exchange.connection_id,
            exchange.is_new,
            entry.host,
            entry.port,
            entry.replica_id,
            work.request,
            work.hard_at_ms - now_ms,
            MAX_PART_BYTES if work.route.is_gather else gateway.max_reply_bytes,
        )
    )


def record_requests(tasks: Iterable[Task], gateway: GatewayInterface) -> None:
    """Count the requests to the services of tasks, which permit extra attempts at them."""
    for task in tasks:
        if not task.work.is_counted:
            gateway.budget(task.service).record_request(gateway.now_ms)


def find_kind(task: Task, is_hedge: bool) -> str:
    """Return why a task is about to be sent."""
    if task.delivery_count:
        return SendKind.HEDGE if is_hedge else SendKind.RETRY
    return SendKind.ORDERED if isinstance(task.work, OrderedWork) else SendKind.FIRST


def begin_exchange(
    owner: object,
    state: ReplicaState,
    idle: IdleConnection | None,
    stalled_at_ms: float,
    gateway: GatewayInterface,
    kind: str = '',
) -> Exchange:
    """
    Register an exchange that is about to be sent.

    :param owner: task or order that it belongs to
    :param idle: connection to reuse, None to open a new one
    :param stalled_at_ms: time in milliseconds at which the replica becomes suspect if it has not
        answered
    :param kind: why it is sent, see `SendKind`
    """
    connection_id = gateway.upstreams.new_id() if idle is None else idle.connection_id
    gateway.upstreams.owners[connection_id] = state
    exchange = Exchange(
        gateway.upstreams.new_id(),
        state,
        owner,
        connection_id,
        idle is None,
        gateway.now_ms,
        stalled_at_ms,
        kind,
    )
    state.busy[connection_id] = exchange
    gateway.upstreams.exchanges[exchange.exchange_id] = exchange
    owner.exchanges.append(exchange)
    owner.work.exchanges.append(exchange)
    return exchange


def evict_idle(state: ReplicaState, service: str, gateway: GatewayInterface) -> None:
    """Close idle connections until a new one fits into this VM's share."""
    close_excess_idle(state, gateway.connection_share(service) - 1, gateway)


def close_excess_idle(state: ReplicaState, limit: int, gateway: GatewayInterface) -> None:
    """Close idle connections until a replica has at most `limit`, or none idle."""
    while state.idle and len(state.idle) + len(state.busy) > limit:
        gateway.drop_connection(state.idle.pop(0).connection_id)


def enforce_connection_shares(gateway: GatewayInterface) -> None:
    """Close idle connections beyond this VM's shares, which shrink when other VMs join."""
    for service, states in gateway.upstreams.by_service.items():
        share = gateway.connection_share(service)
        for state in states:
            close_excess_idle(state, share, gateway)


def drop_idle(state: ReplicaState, gateway: GatewayInterface) -> None:
    """Close all idle connections to a replica."""
    for connection_id in state.remove_all_idle():
        gateway.drop_connection(connection_id)


def end_exchange(
    exchange: Exchange,
    gateway: GatewayInterface,
    is_reusable: bool,
    keep_alive_ms: float | None = None,
) -> None:
    """Unregister an exchange, and reuse its connection or close it."""
    state = exchange.replica
    if gateway.upstreams.exchanges.pop(exchange.exchange_id, None) is not None:
        record_end(exchange, gateway)
    if not state.release(exchange, keep_alive_ms, gateway.now_ms, is_reusable):
        gateway.drop_connection(exchange.connection_id)
    if exchange in exchange.owner.exchanges:
        exchange.owner.exchanges.remove(exchange)
    gateway.dispatch_waiting(state.entry.service)


def abandon_exchange(exchange: Exchange, gateway: GatewayInterface) -> None:
    """Ignore the reply to come; its replica works on, and its connection may be used again."""
    if exchange.is_abandoned:
        return
    exchange.is_abandoned = True
    if exchange.exchange_id in gateway.upstreams.exchanges:
        gateway.act(AbandonExchange(exchange.connection_id))


def abort_exchange(exchange: Exchange, gateway: GatewayInterface) -> None:
    """Abort an exchange by closing its connection, so that the replica stops working on it."""
    end_exchange(exchange, gateway, is_reusable=False)
