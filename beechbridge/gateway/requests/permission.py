"""
Asks the keepers of limits for permits, and answers those who ask this VM.

A task whose replica names a limit waits until the keeper has answered, for as long as a message
takes; if it does not answer, the task goes elsewhere. All tasks of one event and one keeper are
asked for together, so that a gather gets permits for enough of its shards or uses none.
"""

from functools import singledispatch

from ...core.hashing import MAX_RANK_SCORE, rank_score
from ...record import Record
from ..actions import SendPermits
from ..events import PermitsReceived
from ..interface import GatewayInterface
from ..member import Member
from ..permits import PermitsAnswered, PermitsWanted
from ..replicas.cold import LEAST_BURST
from ..replicas.limits import find_keeper, grant_permits, is_open
from ..replicas.notices import MAX_LIMIT_PER_S
from ..replicas.upstreams import INITIAL_ROUND_TRIP_MS
from .admission import ask_permits, launch_work
from .candidates import list_usable
from .permit_requests import PermitRequest
from .progress import close_task, resume_task
from .retry_times import needed_count
from .works import GatherWork, Work

ANSWER_TIMEOUT_MS = 25.0
"""Time on top of the round trip within which a keeper answers."""

MIN_DENIAL_MS = 20.0
MAX_DENIAL_MS = 60_000.0
UNANSWERED_DENIAL_MS = 200.0
"""Time for which a keeper that did not answer is not asked again for the same replica."""

MAX_PERMITS_PER_MESSAGE = 100
"""Permits that one datagram asks for."""

RANK_KEY = 'permits'
MAX_COLD_AGE_MS = 86_400_000.0
"""Longest time for which a VM may know that a replica is cold: one day."""


class PermitTimer(Record):
    """Fires when the answer to a batch is overdue."""

    __slots__ = ('batch_id',)

    def __init__(self, batch_id: int):
        self.batch_id = batch_id


def send_pending(gateway: GatewayInterface) -> None:
    """Ask for the permits that tasks have begun to wait for."""
    requests = gateway.permit_requests
    while requests.pending:
        pending, requests.pending = requests.pending, {}
        send_batches(pending, gateway)


def send_batches(
    pending: dict[tuple[int, str], list[PermitRequest]], gateway: GatewayInterface
) -> None:
    """Ask for the permits of one round, this VM's own or by messages."""
    for (_, zone), batch in pending.items():
        keeper = find_keeper(zone, gateway)
        least_count = count_least(batch[0].task.work, batch, gateway)
        for start in range(0, len(batch), MAX_PERMITS_PER_MESSAGE):
            part = batch[start : start + MAX_PERMITS_PER_MESSAGE]
            send_batch(part, min(least_count, len(part)), keeper, gateway)


@singledispatch
def count_least(work: Work, batch: list[PermitRequest], gateway: GatewayInterface) -> int:
    """Return how many of the permits that a request waits for it needs to be of any use."""
    return 0


@count_least.register
def count_least_of_gather(
    work: GatherWork, batch: list[PermitRequest], gateway: GatewayInterface
) -> int:
    """Return how many shards are needed beside those that can do without these permits."""
    bound_count = 0
    for request in batch:
        states = list_usable(request.task, gateway)
        bound_count += not any(is_open(state, gateway) for state in states)
    free_count = work.answered_count + work.open_count - bound_count
    return min(bound_count, max(0, needed_count(work) - free_count))


def send_batch(
    batch: list[PermitRequest], least_count: int, keeper: Member, gateway: GatewayInterface
) -> None:
    """Send one message to a keeper, or answer it if that is this VM."""
    requests = gateway.permit_requests
    requests.next_id += 1
    limits = []
    cold_terms = {}
    for request in batch:
        replica_id = request.state.entry.replica_id
        notices = request.state.notices
        limits.append((replica_id, notices.limit_at(gateway.now_ms)))
        terms = notices.cold_terms_at(gateway.now_ms)
        if terms is not None:
            cold_terms[replica_id] = terms
    rank = find_rank(batch[0].task.work)
    message = PermitsWanted(requests.next_id, limits, least_count, rank, cold_terms)
    gateway.counters.add('permits_wanted', amount=len(batch))
    if keeper is gateway.fleet.own:
        apply_answer(batch, grant_permits(message, gateway), gateway)
        return
    requests.batches[requests.next_id] = batch
    gateway.act(SendPermits(keeper.host, gateway.fleet.own, message))
    round_trip_ms = INITIAL_ROUND_TRIP_MS[gateway.distance_to(keeper.zone)]
    due_ms = gateway.now_ms + ANSWER_TIMEOUT_MS + round_trip_ms
    gateway.timers.arm(due_ms, PermitTimer(requests.next_id))


@singledispatch
def find_rank(work: Work) -> float:
    """Return the rank of a request: those to a single replica need no agreement of keepers."""
    return 0.0


@find_rank.register
def find_rank_of_gather(work: GatherWork) -> float:
    """Return a rank that all VMs derive alike from the request's ID."""
    return rank_score(RANK_KEY, work.request.request_id) / MAX_RANK_SCORE


def handle_permits_received(event: PermitsReceived, gateway: GatewayInterface) -> None:
    """Handle a message about permits according to its type."""
    handle_message(event.message, event.sender, gateway)


@singledispatch
def handle_message(message: object, sender: Member, gateway: GatewayInterface) -> None:
    """Handle a message about permits."""
    raise TypeError(f'no handler for {type(message).__name__}')


@handle_message.register
def handle_wanted(message: PermitsWanted, sender: Member, gateway: GatewayInterface) -> None:
    """Grant another VM what the limits allow."""
    limits = message.limits[:MAX_PERMITS_PER_MESSAGE]
    has_odd_limit = any(not 0.0 <= limit_per_s <= MAX_LIMIT_PER_S for _, limit_per_s in limits)
    if has_odd_limit or has_odd_terms(message) or not 0.0 <= message.rank <= 1.0:
        gateway.counters.add('permits_unreadable')
        return
    least_count = max(0, min(message.least_count, len(limits)))
    checked = PermitsWanted(
        message.batch_id, limits, least_count, message.rank, message.cold_terms
    )
    waits_ms = grant_permits(checked, gateway)
    gateway.counters.add('permits_granted', amount=waits_ms.count(0))
    gateway.counters.add('permits_denied', amount=len(waits_ms) - waits_ms.count(0))
    answer = PermitsAnswered(message.batch_id, waits_ms)
    gateway.act(SendPermits(sender.host, gateway.fleet.own, answer))


def has_odd_terms(message: PermitsWanted) -> bool:
    """Return whether the terms of a cold replica are out of their bounds."""
    for terms in message.cold_terms.values():
        if (
            not LEAST_BURST <= terms.burst <= MAX_LIMIT_PER_S
            or not 0.0 <= terms.age_ms <= MAX_COLD_AGE_MS
        ):
            return True
    return False


@handle_message.register
def handle_answered(message: PermitsAnswered, sender: Member, gateway: GatewayInterface) -> None:
    """Resume the tasks of a batch, with a permit or elsewhere."""
    batch = gateway.permit_requests.batches.get(message.batch_id)
    if batch is None or len(batch) != len(message.waits_ms):
        gateway.counters.add('permits_late')
        return
    del gateway.permit_requests.batches[message.batch_id]
    apply_answer(batch, message.waits_ms, gateway)


def apply_answer(
    batch: list[PermitRequest], waits_ms: list[int], gateway: GatewayInterface
) -> None:
    """Resume the tasks of a batch, with a permit or elsewhere."""
    for request, wait_ms in zip(batch, waits_ms, strict=True):
        permits = request.state.notices.permits
        request.task.is_denied = wait_ms != 0
        if wait_ms == 0:
            is_cold = request.state.notices.cold_terms_at(gateway.now_ms) is not None
            permits.grant(gateway.now_ms, is_cold)
            continue
        request.task.exclude_replica(request.state)
        if wait_ms > 0:
            denial_ms = min(MAX_DENIAL_MS, max(MIN_DENIAL_MS, float(wait_ms)))
            permits.denied_until_ms = gateway.now_ms + denial_ms
    resume_batch(batch, gateway)


def fire_permit_timeout(timer: PermitTimer, gateway: GatewayInterface) -> None:
    """Resume the tasks of a batch that was not answered."""
    batch = gateway.permit_requests.batches.pop(timer.batch_id, None)
    if batch is None:
        return
    gateway.counters.add('permits_unanswered', amount=len(batch))
    for request in batch:
        permits = request.state.notices.permits
        permits.denied_until_ms = gateway.now_ms + UNANSWERED_DENIAL_MS
        request.task.exclude_replica(request.state)
    resume_batch(batch, gateway)


def resume_batch(batch: list[PermitRequest], gateway: GatewayInterface) -> None:
    """Resume tasks that waited for permits, and requests that were held until all are answered."""
    for request in batch:
        task = request.task
        task.is_waiting = False
        if task.work.held_count:
            task.work.held_count -= 1
            if not task.work.held_count:
                launch_held(task.work, gateway)
            continue
        if not task.exchanges:
            resume_task(task, gateway, may_retry=True)


def launch_held(work: Work, gateway: GatewayInterface) -> None:
    """Start a gather whose permits have been answered; it ends here if too few were granted."""
    if work.is_finished:
        return
    denied = [task for task in work.tasks if task.is_denied]
    if len(work.tasks) - len(denied) >= needed_count(work):
        launch_work(work, gateway)
        return
    ask_permits(denied, work, gateway)
    if work.held_count:
        return
    for task in denied:
        close_task(task, gateway)
