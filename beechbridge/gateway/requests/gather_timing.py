"""
When a gather is checked, hedged and answered where latency goals are short.

Applies the rules of `answer_time` to the requests in progress. Elsewhere the fixed margin of
`admission` applies, and hedges depend on the latency and the budget alone.
"""

from ..events import AnswerWritten, RelayReceived, RequestReceived
from ..interface import GatewayInterface
from ..replicas.connections import Exchange
from .answer_time import (
    CLIENT_LINK_MS,
    SOFT_SHARE,
    STEP_MS,
    WINDOW_SHARE,
    Attempt,
    choose_wait_ms,
)
from .candidates import list_usable
from .works import GatherWork, OrderedWork, Task, Work

ANSWER_MARGIN_MS = 12.0
"""Time reserved for sending the answer back to the caller where it is not measured."""

MAX_DELAY_MS = 1_000.0
"""Longer delays are not learned: the process was paused, or its client does not read."""

MEDIAN_SHARE = 0.5
FARTHEST = 2
"""Distance of replicas in another region."""

MIN_HEDGE_FACTOR = 1.2
"""Multiple of the typical latency before which a task is not hedged, however short its goal."""

ORDER_LEAD_MS = 20.0
ORDER_MEDIAN_MS = 17.0
ORDER_LATE_MS = 24.0
"""An order's answer is expected around its request's soft deadline: as an attempt that was sent
`ORDER_LEAD_MS` before that deadline, with these latencies."""


def handle_answer_written(event: AnswerWritten, gateway: GatewayInterface) -> None:
    """Learn from the time that an answer took to be written."""
    gateway.answer_time.add(max(0.0, min(event.delay_ms, MAX_DELAY_MS)))


def set_deadlines(
    work: Work,
    event: RequestReceived | RelayReceived,
    wait_ms: float,
    spent_ms: float,
    gateway: GatewayInterface,
) -> None:
    """
    Set the deadlines of a request; those of a client's gather follow from measured delays.

    :param wait_ms: time that the client waits
    :param spent_ms: time that earlier attempts of the client took
    """
    objective_ms = work.route.objective_ms
    times = gateway.answer_time
    is_timed = times.is_in_force and isinstance(event, RequestReceived)
    waited_ms = 0.0
    if is_timed and event.read_ms is not None:
        waited_ms = max(0.0, work.arrived_ms - event.read_ms)
    hard_ms = max(1.0, wait_ms - ANSWER_MARGIN_MS - waited_ms)
    soft_ms = objective_ms - ANSWER_MARGIN_MS - spent_ms - waited_ms
    if is_timed and work.route.is_gather:
        left_ms = objective_ms - CLIENT_LINK_MS - spent_ms - waited_ms
        work.written_by_ms = work.arrived_ms + left_ms
        soft_ms = left_ms - times.quantile_ms(SOFT_SHARE)
    work.hard_at_ms = work.arrived_ms + hard_ms
    work.soft_at_ms = min(work.hard_at_ms, work.arrived_ms + max(1.0, soft_ms))


def next_look_ms(work: Work, gateway: GatewayInterface) -> float:
    """Return the time in milliseconds at which a request may have to be answered."""
    now_ms = gateway.now_ms
    if work.written_by_ms is None:
        return work.soft_at_ms if now_ms < work.soft_at_ms else work.hard_at_ms
    opens_ms = work.written_by_ms - gateway.answer_time.quantile_ms(WINDOW_SHARE)
    if now_ms < opens_ms:
        return opens_ms
    return now_ms + STEP_MS if now_ms < work.written_by_ms else work.hard_at_ms


def is_due(work: GatherWork, gateway: GatewayInterface) -> bool:
    """Return whether a gather with enough parts is to be answered now rather than later."""
    now_ms = gateway.now_ms
    if work.written_by_ms is None:
        return now_ms >= work.soft_at_ms
    left_ms = work.written_by_ms - now_ms
    times = gateway.answer_time
    if left_ms > times.quantile_ms(WINDOW_SHARE):
        return False
    open_parts = list_open_parts(work, gateway)
    return choose_wait_ms(work.answered_count, open_parts, len(work.tasks), left_ms, times) <= 0.0


def list_open_parts(work: GatherWork, gateway: GatewayInterface) -> list[list[Attempt]]:
    """Return the attempts at each part that may still arrive."""
    now_ms = gateway.now_ms
    open_parts = []
    ordered = {}
    for order in work.orders:
        if order.exchanges:
            age_ms = now_ms - work.soft_at_ms + ORDER_LEAD_MS
            attempt = Attempt(age_ms, ORDER_MEDIAN_MS, ORDER_LATE_MS)
            ordered.update(dict.fromkeys(order.tasks, attempt))
    for task in work.tasks:
        if not task.is_open:
            continue
        attempts = [attempt_of(exchange, work, gateway) for exchange in task.exchanges]
        if task.service in ordered:
            attempts.append(ordered[task.service])
        if attempts:
            open_parts.append(attempts)
    return open_parts


def attempt_of(exchange: Exchange, work: Work, gateway: GatewayInterface) -> Attempt:
    """Return an exchange as an attempt with the latencies of its route and distance."""
    name, distance = work.route.name, exchange.replica.distance
    upstreams = gateway.upstreams
    median_ms = upstreams.typical_ms(name, distance)
    late_ms = upstreams.late_ms(name, distance)
    return Attempt(gateway.now_ms - exchange.sent_ms, median_ms, late_ms)


def find_due_ms(work: Work, gateway: GatewayInterface) -> float | None:
    """Return the time at which an answer that is sent now was due, None if nobody measures it."""
    if work.written_by_ms is None:
        return None
    return min(gateway.now_ms, work.look_at_ms)


def describe_timing(work: Work, gateway: GatewayInterface) -> dict:
    """Return the log fields that explain when a gather was answered, empty if it was not timed."""
    if work.written_by_ms is None:
        return {}
    times = gateway.answer_time
    return {
        'left_ms': round(work.written_by_ms - gateway.now_ms, 1),
        'delay_p50_ms': round(times.quantile_ms(MEDIAN_SHARE), 1),
        'delay_p95_ms': round(times.quantile_ms(SOFT_SHARE), 1),
        'delays': len(times.delays_ms),
    }


def fastest_other_ms(task: Task, exchange: Exchange | None, gateway: GatewayInterface) -> float:
    """Return the typical latency in ms of the nearest replica that a task was not sent to."""
    distances = [
        state.distance
        for state in list_usable(task, gateway)
        if id(state) not in task.excluded_replicas
        and not (exchange is not None and state is exchange.replica)
    ]
    if not distances:
        return 0.0
    return gateway.upstreams.typical_ms(task.work.route.name, min(distances))


def timely_delay_ms(exchange: Exchange, delay_ms: float, gateway: GatewayInterface) -> float:
    """
    Return the age in milliseconds at which a task is hedged, so that the hedge arrives in time.

    :param delay_ms: age at which it is hedged without regard to the goal
    """
    task = exchange.owner
    work = task.work
    if not (gateway.answer_time.is_in_force and work.route.is_gather):
        return delay_ms
    name, distance = work.route.name, exchange.replica.distance
    upstreams = gateway.upstreams
    late_ms = upstreams.late_ms(name, distance)
    left_ms = work.soft_at_ms - exchange.sent_ms
    if left_ms - upstreams.typical_ms(name, FARTHEST) < late_ms:
        earliest_ms = MIN_HEDGE_FACTOR * upstreams.typical_ms(name, distance)
        latest_ms = left_ms - fastest_other_ms(task, exchange, gateway)
        late_ms = max(earliest_ms, min(late_ms, latest_ms))
    return min(delay_ms, late_ms)


def is_hopeless(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a hedge of a task would come too late to be of use."""
    work = task.work
    times = gateway.answer_time
    if not (times.is_in_force and isinstance(work, GatherWork)):
        return False
    if not work.meets_minimum_coverage():
        return False
    until_ms = work.soft_at_ms
    if work.written_by_ms is not None and not isinstance(work, OrderedWork):
        until_ms = work.written_by_ms - times.quantile_ms(MEDIAN_SHARE)
    return gateway.now_ms + fastest_other_ms(task, None, gateway) > until_ms
