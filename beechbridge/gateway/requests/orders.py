"""
Orders: another VM gathers the parts of shards that only have replicas in its data centre.

That VM queries the shards' replicas, merges the parts and returns only the largest records, so
that the parts themselves do not cross between data centres. It may use all attempts at a shard. If
a shard has more replicas than attempts, the VM that sent the order therefore keeps none for
itself, unless the order never arrived or its answer reports how many were used. If a shard has no
more replicas than attempts, the limit cannot be exceeded, and a late order is hedged like a late
replica.
"""

from collections import Counter

from ...failures import Reason
from ..actions import SendOrder, WriteLine
from ..interface import GatewayInterface
from ..models import LinkFailure, LinkFault, PartsOrder, PartsReply, Reply
from ..replicas.connections import Exchange, IdleConnection
from ..replicas.limits import is_available
from ..replicas.upstreams import OWN_ZONE, ReplicaState
from .answers import RECORD_BYTES
from .candidates import current_homes, list_usable
from .progress import (
    close_task,
    handle_failure,
    handle_result,
    is_suspicious,
    record_latency,
    resume_task,
    suspect_replica,
    vindicate,
    wake_held,
)
from .sending import begin_exchange, drop_idle, end_exchange
from .works import GatherWork, Task

MIN_ORDERED_SHARDS = 2
"""Minimum number of shards for which an order is cheaper than separate sub-requests."""

MIN_SOFT_MS = 15.0
"""Minimum time left for an order to be worth sending: about the processing time of one shard."""

ANSWER_MARGIN_MS = 4.0
"""Time reserved for processing an order and its answer, on top of the network round trip."""

STALL_SLACK_MS = 60.0
"""How long an order's answer may be overdue before its VM becomes suspect."""

SUCCESS_STATUS = 200


class Order:
    """
    Shards that one other VM was asked to gather; the owner of the exchange.

    :param tasks: tasks that the VM was asked to run; the attribute maps them by service
    :param reserved_counts: attempts reserved for that VM, by service
    """

    __slots__ = ('exchanges', 'is_hedged', 'reserved_counts', 'tasks', 'work', 'zone')

    def __init__(self, work: GatherWork, tasks: list[Task], zone: str):
        self.work = work
        self.tasks = {task.service: task for task in tasks}
        self.zone = zone
        self.reserved_counts: dict[str, int] = {}
        self.exchanges: list[Exchange] = []
        self.is_hedged = False

    @property
    def open_tasks(self) -> list[Task]:
        """Return the tasks that are still open."""
        return [task for task in self.tasks.values() if task.is_open]


def order_remote_parts(work: GatherWork, gateway: GatewayInterface) -> set[Task]:
    """Order the parts of shards without a replica in this VM's data centre; return their tasks."""
    ordered: set[Task] = set()
    gateway.aggregators.refresh(gateway)
    if not gateway.aggregators.states:
        return ordered
    zones_by_task: dict[Task, set[str]] = {}
    for task in work.tasks:
        if not task.is_open or task.exchanges or task.run_count:
            continue
        zones = remote_zones(task, gateway)
        if zones:
            zones_by_task[task] = zones
    tried: set[str] = set()
    while True:
        counts = Counter()
        for zones in zones_by_task.values():
            counts.update(zones - tried)
        if not counts:
            return ordered
        largest_count = max(counts.values())
        if largest_count < MIN_ORDERED_SHARDS:
            return ordered
        zone = gateway.rng.choice(sorted(name for name in counts if counts[name] == largest_count))
        tried.add(zone)
        tasks = [task for task, zones in zones_by_task.items() if zone in zones]
        if place_order(Order(work, tasks, zone), gateway):
            ordered.update(tasks)
            for task in tasks:
                del zones_by_task[task]


def remote_zones(task: Task, gateway: GatewayInterface) -> set[str]:
    """
    Return the nearest other data centres with a healthy replica for a task.

    The set is empty if there is a usable replica in this VM's own data centre.
    """
    zones_by_distance: dict[int, set[str]] = {}
    for state in list_usable(task, gateway):
        is_near = state.distance == OWN_ZONE
        if is_near and is_available(state, gateway):
            # Even if this replica is suspect: direct requests tell this VM when it recovers, and
            # which other replicas it can hedge with.
            return set()
        if not is_near and not state.is_suspect(gateway.now_ms):
            zones_by_distance.setdefault(state.distance, set()).add(state.entry.zone)
    return zones_by_distance[min(zones_by_distance)] if zones_by_distance else set()


def may_order_from(state: ReplicaState, task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a VM of a replica's data centre may gather from it what this VM may not."""
    if not task.work.route.is_gather or state.distance == OWN_ZONE:
        return False
    gateway.aggregators.refresh(gateway)
    return gateway.aggregators.has_zone(state.entry.zone)


def place_order(order: Order, gateway: GatewayInterface) -> bool:
    """Send an order to a VM in its zone; return False if there is none or too little time."""
    now_ms = gateway.now_ms
    work = order.work
    route = work.route
    state = gateway.aggregators.choose(order.zone, route.name, gateway)
    if state is None:
        return False
    idle = state.acquire_idle(now_ms, float('inf'), work.request.request_id)
    round_trip_ms = gateway.aggregators.round_trip_ms(order.zone, gateway.distance_to(order.zone))
    overhead_ms = round_trip_ms + ANSWER_MARGIN_MS
    if idle is None:
        overhead_ms += round_trip_ms
    soft_ms = work.soft_at_ms - now_ms - overhead_ms
    if soft_ms < MIN_SOFT_MS:
        if idle is not None:
            state.idle.append(idle)
        return False
    parts_order = PartsOrder(
        work.request,
        route.name,
        route.priority,
        tuple(order.tasks),
        route.attempts,
        route.top_records,
        soft_ms,
        work.hard_at_ms - now_ms - overhead_ms,
        work.digest,
        current_homes(work, gateway),
    )
    send_order(order, parts_order, state, idle, gateway)
    return True


def send_order(
    order: Order,
    parts_order: PartsOrder,
    state: ReplicaState,
    idle: IdleConnection | None,
    gateway: GatewayInterface,
) -> None:
    """Send an order over an idle connection or a new one."""
    work = order.work
    stalled_at_ms = work.soft_at_ms + STALL_SLACK_MS
    exchange = begin_exchange(order, state, idle, stalled_at_ms, gateway)
    work.orders.append(order)
    for service, task in order.tasks.items():
        reserved_count = count_reserved(task, gateway)
        order.reserved_counts[service] = reserved_count
        task.delivery_count += 1
        task.run_count += reserved_count
    gateway.counters.add('orders_sent')
    gateway.act(
        SendOrder(
            exchange.exchange_id,
            exchange.connection_id,
            exchange.is_new,
            state.entry.host,
            parts_order,
        )
    )


def count_reserved(task: Task, gateway: GatewayInterface) -> int:
    """Return how many of a shard's attempts must be reserved for an order."""
    attempts = task.work.route.attempts
    return attempts if len(gateway.upstreams.by_service[task.service]) > attempts else 1


@handle_failure.register
def handle_order_failure(
    owner: Order, exchange: Exchange, failure: LinkFailure, gateway: GatewayInterface
) -> None:
    """Handle an order that ended without a reply; retry the shards that have attempts left."""
    gateway.counters.add('orders_failed', failure.fault.value)
    state = exchange.replica
    if is_suspicious(exchange, failure.fault):
        suspect_replica(state, failure.fault.value, gateway)
    if failure.fault is LinkFault.TIMED_OUT:
        # Whatever silenced this connection may also have silenced the idle ones.
        drop_idle(state, gateway)
    end_exchange(exchange, gateway, is_reusable=False)
    return_tasks(owner, exchange, failure.fault, not failure.was_sent, gateway)


@handle_result.register
def handle_order_reply(
    owner: Order, exchange: Exchange, reply: PartsReply, gateway: GatewayInterface
) -> None:
    """Handle the parts that another VM gathered; retry missing shards that have attempts left."""
    now_ms = gateway.now_ms
    work = owner.work
    latency_ms = now_ms - exchange.sent_ms
    end_exchange(exchange, gateway, not reply.is_closing)
    # A refusal that names no request may be the answer to something else on the connection.
    is_refused = reply.answer is None and reply.request_id == work.request.request_id
    if reply.answer is None or not is_answer_to(owner, reply):
        gateway.counters.add('orders_failed', 'refused' if is_refused else 'malformed')
        exchange.replica.record_rejection(True, now_ms)
        if reply.refusal == Reason.UNREACHABLE.value:
            suspect_replica(exchange.replica, reply.refusal, gateway)
        return_tasks(owner, exchange, LinkFault.MALFORMED, is_refused, gateway)
        return
    if reply.answer.signatures:
        record_latency(exchange, work.route.name, latency_ms, gateway)
    else:
        # However quickly it came: a VM that brings nothing must not look fast.
        exchange.replica.record_rejection(True, now_ms)
        log_unmet(owner, exchange, gateway)
    if not exchange.is_new:
        round_trip_ms = max(0.0, latency_ms - reply.answer.work_ms)
        gateway.aggregators.record_round_trip(owner.zone, round_trip_ms)
    if reply.answer.signatures:
        vindicate(work, gateway)
    if exchange.is_abandoned or work.is_finished:
        return
    answer = reply.answer
    work.has_losses = work.has_losses or bool(answer.lost)
    # The body holds the merged records of all parts, so only one task gets it. It replaces a part
    # that has meanwhile come from a replica directly, which would otherwise be counted twice.
    body = answer.body
    for service, signature in answer.signatures.items():
        owner.tasks[service].reply = Reply(SUCCESS_STATUS, [], body, signature, reply.request_id)
        body = b''
    for service, run_count in answer.run_counts.items():
        task = owner.tasks[service]
        task.run_count += min(run_count, work.route.attempts) - owner.reserved_counts[service]
        task.delivery_count -= service not in answer.tried
        task.fault = LinkFault.TIMED_OUT
    for task in owner.open_tasks:
        if task.reply is not None:
            close_task(task, gateway)
            continue
        # If the task may have run there without a reply, that VM has tried what it could, unless
        # it stopped because replicas may end under the request.
        is_left = not answer.run_counts[task.service] or task.service in answer.lost
        resume_task(task, gateway, may_retry=is_left)
    wake_held(work, gateway)


def log_unmet(order: Order, exchange: Exchange, gateway: GatewayInterface) -> None:
    """Log that another VM has answered an order without a single part."""
    fields = {
        'request': order.work.request.request_id,
        'member': exchange.replica.entry.replica_id,
        'zone': order.zone,
        'shards': len(order.tasks),
        'ms': round(gateway.now_ms - exchange.sent_ms, 1),
    }
    gateway.act(WriteLine('order_unmet', fields))


def is_answer_to(order: Order, reply: PartsReply) -> bool:
    """Return whether a reply matches this order's request and covers exactly its shards."""
    answer = reply.answer
    if reply.request_id != order.work.request.request_id:
        return False
    if len(answer.body) % RECORD_BYTES or answer.signatures.keys() & answer.run_counts.keys():
        return False
    return answer.signatures.keys() | answer.run_counts.keys() == order.tasks.keys()


def return_tasks(
    order: Order, exchange: Exchange, fault: LinkFault, is_unsent: bool, gateway: GatewayInterface
) -> None:
    """
    Resume an order's tasks one by one, except those that may have used all attempts.

    :param is_unsent: whether nothing has run, so that the reserved attempts are available again
    """
    for service, task in order.tasks.items():
        if is_unsent:
            task.delivery_count -= 1
            task.run_count -= order.reserved_counts[service]
        task.fault = task.fault or fault
    if exchange.is_abandoned:
        return
    for task in order.open_tasks:
        resume_task(task, gateway, may_retry=True)
    wake_held(order.work, gateway)
