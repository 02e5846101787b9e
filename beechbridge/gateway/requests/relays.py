"""
Relays: requests of this VM's callers that another VM serves, while this one reaches no replica.

A relayed request keeps its identity, is never relayed again, and gets what is left of its time and
attempts. The VM that serves it applies its own admission, limits, permits and budgets. If it has
not run there, which that VM must say, another VM is asked; if nothing can be known, the caller is
told so. Without a VM that reaches replicas the request is rejected at once.
"""

from ...failures import Reason
from ..actions import SendRelay
from ..interface import GatewayInterface
from ..models import Answer, LinkFailure, RelayReply, RequestRelay
from ..replicas.connections import Exchange
from ..replicas.upstreams import NON_IDEMPOTENT_IDLE_MS, ReplicaState
from .answers import is_refusal
from .candidates import allowed_zones
from .progress import (
    answer_work,
    end_work,
    handle_failure,
    handle_result,
    is_suspicious,
    resume_task,
    suspect_replica,
)
from .sending import FOREVER_MS, abort_exchange, begin_exchange, drop_idle, end_exchange
from .withdrawal import withdraw_unsent
from .works import GatherWork, OrderedWork, Work

MAX_RELAYS = 3
"""VMs that one request is sent to: those that do not take it say so at once."""

ANSWER_MARGIN_MS = 4.0
"""Time reserved for the relay and its answer, on top of the network round trip."""

MIN_RELAY_MS = 10.0
"""Minimum time left for a relay to be worth sending."""

STALL_MS = 1_000.0
"""Time beyond the objective without an answer after which the other VM is suspect."""

REPLY_MARGIN_BYTES = 65_536
"""Size of a relayed reply beside its body: its headers are limited to this."""

TEMPORARY_REASONS = frozenset(
    (
        Reason.NOT_READY,
        Reason.STOPPING,
        Reason.OVERLOADED,
        Reason.UNREACHABLE,
        # Its routing table is older than the one in which this VM found the route.
        Reason.NOT_FOUND,
    )
)
"""Reasons for which a VM does not take a request that another one may serve."""


class Relay:
    """A request that another VM was asked to serve; the owner of the exchange."""

    __slots__ = ('exchanges', 'work')

    def __init__(self, work: Work):
        self.work = work
        self.exchanges: list[Exchange] = []


def relay_work(work: Work, gateway: GatewayInterface) -> None:
    """Send a request to another VM that reaches replicas; end it if there is none."""
    now_ms = gateway.now_ms
    work.is_relayed_on = True
    state = None
    may_relay = len(work.relay_targets) < MAX_RELAYS and work.when_withdrawn is None
    if may_relay and work.hard_at_ms - now_ms >= MIN_RELAY_MS:
        zones = allowed_zones(work, gateway)
        state = gateway.aggregators.choose_relay(work.relay_targets, gateway, zones)
    if state is None:
        gateway.counters.add('relays_unplaced')
        answer_work(work, gateway)
        return
    work.relay_targets.add(state.entry.replica_id)
    longest_idle_ms = FOREVER_MS if work.route.is_idempotent else NON_IDEMPOTENT_IDLE_MS
    idle = state.acquire_idle(now_ms, longest_idle_ms, work.request.request_id)
    distance = gateway.distance_to(state.entry.zone)
    overhead_ms = gateway.aggregators.round_trip_ms(state.entry.zone, distance)
    if idle is None:
        overhead_ms *= 2
    overhead_ms += ANSWER_MARGIN_MS
    run_counts = {task.service: task.run_count for task in work.tasks if task.run_count > 0}
    relay = RequestRelay(
        work.request,
        max(1.0, work.soft_at_ms - now_ms - overhead_ms),
        max(1.0, work.hard_at_ms - now_ms - overhead_ms),
        run_counts,
        work.was_launched,
    )
    stalled_at_ms = now_ms + work.route.objective_ms + STALL_MS
    work.relay = Relay(work)
    exchange = begin_exchange(work.relay, state, idle, stalled_at_ms, gateway)
    gateway.counters.add('relays_sent')
    max_reply_bytes = gateway.max_reply_bytes + REPLY_MARGIN_BYTES
    gateway.act(
        SendRelay(
            exchange.exchange_id,
            exchange.connection_id,
            exchange.is_new,
            state.entry.host,
            relay,
            max_reply_bytes,
        )
    )


def can_relay(gateway: GatewayInterface) -> bool:
    """Return whether another VM may serve requests of this one's callers."""
    return gateway.aggregators.choose_relay(set(), gateway) is not None


def has_relay(work: Work, gateway: GatewayInterface) -> bool:
    """Return whether a VM may serve a request, or the VM that sent it can find another one."""
    if isinstance(work, OrderedWork) or work.is_from_vm:
        return True
    zones = allowed_zones(work, gateway)
    return zones is None or gateway.aggregators.choose_relay(set(), gateway, zones) is not None


def should_relay(gateway: GatewayInterface) -> bool:
    """
    Return whether this VM should not send requests to replicas itself.

    If no VM reaches any, and replicas refuse connections, trying them is still worth it: it costs
    no time, and they may have ended a moment ago.
    """
    reach = gateway.reach
    return reach.is_lost and (reach.is_silent or can_relay(gateway))


def relay_all(gateway: GatewayInterface) -> None:
    """Let other VMs, if there is one, serve what is in progress; end what they must not run."""
    if not can_relay(gateway):
        # Replies may still come; nothing is better than to wait for them.
        return
    relayed = []
    for work in list(gateway.works.values()):
        if not work.may_send or is_bound(work) or is_going_on(work, gateway):
            continue
        if not has_relay(work, gateway):
            continue
        work.is_relayed_on = True
        relayed.append(work)
    for work in relayed:
        abort_sent_exchanges(work, gateway)
    for work in relayed:
        if withdraw_unsent(work, gateway):
            work.when_withdrawn = move_work
            continue
        move_work(work, gateway)


def move_work(work: Work, gateway: GatewayInterface) -> None:
    """
    Let another VM serve a request of which nothing is under way here, or end it.

    The driver may have said that what must not be sent again was sent: then it stays here.
    """
    if is_bound(work):
        work.is_relayed_on = False
        for task in work.tasks:
            resume_task(task, gateway, may_retry=False)
        return
    abort_sent_exchanges(work, gateway)
    if isinstance(work, OrderedWork) or work.is_from_vm or not may_run_again(work):
        answer_work(work, gateway)
        return
    relay_work(work, gateway)


def is_bound(work: Work) -> bool:
    """Return whether a request must not be sent again, so that its reply is waited for."""
    return not work.route.is_idempotent and work.may_have_run


def is_going_on(work: Work, gateway: GatewayInterface) -> bool:
    """Return whether a request is under way everywhere over connections that live on."""
    if not gateway.reach.wants_connection:
        return False
    ordered = set()
    for order in work.orders:
        if order.exchanges:
            ordered.update(order.open_tasks)
    return all(task.exchanges or not task.is_open or task in ordered for task in work.tasks)


def abort_sent_exchanges(work: Work, gateway: GatewayInterface) -> None:
    """Abort the exchanges of a request that may be sent again, except those not sent yet."""
    for exchange in work.in_flight():
        if exchange.was_sent:
            abort_exchange(exchange, gateway)
    for order in work.orders:
        for exchange in list(order.exchanges):
            abort_exchange(exchange, gateway)


def may_run_again(work: Work) -> bool:
    """Return whether enough services have attempts left, and the parts here do not suffice."""
    attempts = work.route.attempts
    free_count = sum(task.run_count < attempts for task in work.tasks)
    if isinstance(work, GatherWork):
        return not work.meets_minimum_coverage() and free_count >= work.needed_count
    return free_count > 0


@handle_failure.register
def handle_relay_failure(
    owner: Relay, exchange: Exchange, failure: LinkFailure, gateway: GatewayInterface
) -> None:
    """Handle a relay that ended without a reply; ask another VM only if it was never sent."""
    work = owner.work
    gateway.counters.add('relays_failed', failure.fault.value)
    if is_suspicious(exchange, failure.fault):
        suspect_replica(exchange.replica, failure.fault.value, gateway)
        drop_idle(exchange.replica, gateway)
    end_exchange(exchange, gateway, is_reusable=False)
    if exchange.is_abandoned or work.is_finished:
        return
    if failure.was_sent:
        work.may_have_run_elsewhere = True
        work.tasks[0].fault = work.tasks[0].fault or failure.fault
        answer_work(work, gateway)
        return
    relay_work(work, gateway)


@handle_result.register
def handle_relay_reply(
    owner: Relay, exchange: Exchange, reply: RelayReply, gateway: GatewayInterface
) -> None:
    """Handle the answer of the other VM; ask another one if nothing has run there."""
    work = owner.work
    state = exchange.replica
    is_match = reply.request_id == work.request.request_id and reply.answer is not None
    end_exchange(exchange, gateway, is_match and not reply.is_closing)
    if is_match:
        state.clear_suspicion()
    if exchange.is_abandoned or work.is_finished:
        return
    if not is_match:
        gateway.counters.add('relays_failed', 'malformed')
        work.may_have_run_elsewhere = True
        answer_work(work, gateway)
        return
    settle_relay(work, state, reply.answer, gateway)


def settle_relay(
    work: Work, state: ReplicaState, answer: Answer, gateway: GatewayInterface
) -> None:
    """End a request with the answer of another VM, unless that has not taken it."""
    if not is_refusal(answer):
        end_work(work, answer, gateway)
        return
    gateway.counters.add('relays_refused', answer.reason.value)
    if answer.reason in TEMPORARY_REASONS:
        suspect_replica(state, answer.reason.value, gateway)
        relay_work(work, gateway)
        return
    if work.may_have_run:
        answer_work(work, gateway)
        return
    end_work(work, answer, gateway)
