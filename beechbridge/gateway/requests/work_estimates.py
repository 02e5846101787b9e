"""Use of expected work by requests: what they need, what their replies teach, what is logged."""

from ..interface import GatewayInterface
from ..models import Reply
from ..replicas.connections import Exchange
from ..replicas.expected_work import ROUND_TRIP_MS, estimate_wait_ms
from ..replicas.load_reports import ReplicaLoad
from ..replicas.upstreams import ReplicaState
from ..replicas.work_costs import MIN_SAMPLE_RATIO, SHORT_WAIT_SHARE, Demand, WorkBook
from ..statements import LoadReport
from .works import Task, Work


def switch_balancing(is_by_work: bool, gateway: GatewayInterface) -> None:
    """Choose replicas by expected work from now on, or by latency; keep what was learned."""
    upstreams = gateway.upstreams
    if is_by_work and upstreams.work_book is None:
        upstreams.work_book = WorkBook()
    elif not is_by_work:
        upstreams.work_book = None


def expect_work(task: Task, gateway: GatewayInterface) -> Demand | None:
    """Return what a task needs, None where replicas are not chosen by expected work."""
    book = gateway.upstreams.work_book
    if book is None:
        return None
    work = task.work
    route = work.route
    attempts_left = route.attempts - task.run_count
    byte_count = len(work.request.body)
    return book.expect(
        route.name, task.service, byte_count, route.priority, attempts_left, gateway.now_ms
    )


def expect_wait_ms(task: Task, state: ReplicaState, gateway: GatewayInterface) -> float:
    """Return how long a task that is about to be sent is expected to wait at its replica."""
    if task.demand is None:
        return 0.0
    factor = state.work.time_factor(gateway.now_ms)
    return estimate_wait_ms(state, task.demand, factor, gateway.now_ms)


def note_estimate(
    exchange: Exchange, task: Task, wait_ms: float, gateway: GatewayInterface
) -> None:
    """Note at an exchange that is about to be sent what is expected of it."""
    demand = task.demand
    if demand is None:
        return
    state = exchange.replica
    exchange.cost_ms = demand.cost_ms
    exchange.wait_ms = wait_ms
    exchange.wait_factor = demand.wait_factor
    work_ms = demand.cost_ms * state.work.time_factor(gateway.now_ms)
    exchange.alone_ms = ROUND_TRIP_MS[state.distance] + work_ms
    exchange.expected_ms = wait_ms + exchange.alone_ms


def usual_latency_ms(exchange: Exchange, gateway: GatewayInterface) -> float:
    """Return the expected time of a task's exchange without a wait, its typical one if unknown."""
    if exchange.cost_ms:
        return exchange.alone_ms
    route_name = exchange.owner.work.route.name
    return gateway.upstreams.typical_ms(route_name, exchange.replica.distance)


def learn_reply(exchange: Exchange, reply: Reply, gateway: GatewayInterface) -> None:
    """Learn the load of a replica and the cost of a request from a complete reply."""
    book = gateway.upstreams.work_book
    work = exchange.owner.work
    if book is None or reply.is_other_instance or reply.request_id != work.request.request_id:
        return
    now_ms = gateway.now_ms
    state = exchange.replica
    service = state.entry.service
    report = reply.notice.load if reply.notice is not None else None
    if report is not None:
        # The replica is done with the request that it answers.
        own_count = len(state.busy) - 1
        state.work.load = ReplicaLoad(report, own_count, now_ms)
        book.learn_others(service, state.work.load.others, now_ms)
    if not reply.is_success or reply.is_rejected or not exchange.cost_ms:
        return
    latency_ms = now_ms - exchange.sent_ms
    compare_estimate(exchange, service, latency_ms, gateway)
    if exchange.is_new:
        return
    route = work.route
    body_bytes = 0 if work.is_finished else len(work.request.body)
    wait_factor = exchange.wait_factor
    book.learn_wait(service, exchange.wait_ms / wait_factor, latency_ms - exchange.alone_ms)
    if report is not None and is_queue_full(report):
        return
    is_long_wait = exchange.wait_ms > SHORT_WAIT_SHARE * exchange.cost_ms
    if is_long_wait and not book.is_stale(route.name, body_bytes, now_ms):
        return
    pace = state.work.load.pace if report is not None else 1.0
    work_ms = latency_ms - ROUND_TRIP_MS[state.distance] - exchange.wait_ms
    # The wait that was expected may be longer than the whole latency.
    work_ms = max(MIN_SAMPLE_RATIO * exchange.cost_ms, work_ms / pace)
    state.work.learn(work_ms, exchange.cost_ms, now_ms)
    if not work.is_finished:
        book.learn(route.name, service, body_bytes, route.priority, work_ms, now_ms)


def is_queue_full(report: LoadReport) -> bool:
    """Return whether requests wait there so long that the work of one cannot be told."""
    return report.waiting >= report.slots


def compare_estimate(
    exchange: Exchange, service: str, latency_ms: float, gateway: GatewayInterface
) -> None:
    """Add the expected and the actual time of an exchange to the metrics of its service."""
    counters = gateway.counters
    counters.add('estimated_exchanges', service)
    counters.add('expected_exchange_ms', service, round(exchange.expected_ms))
    counters.add('actual_exchange_ms', service, round(latency_ms))
    error_ms = abs(latency_ms - exchange.expected_ms)
    counters.add('exchange_error_ms', service, round(error_ms))


def describe_estimate(work: Work) -> dict:
    """Return the log fields on the choice for a request; of a gather, for its longest part."""
    longest: Demand | None = None
    for task in work.tasks:
        demand = task.demand
        if demand is None or demand.chosen is None:
            continue
        if longest is None or demand.chosen[0] > longest.chosen[0]:
            longest = demand
    if longest is None:
        return {}
    fields = {'expected_ms': round(longest.chosen[0], 1), 'cost_ms': round(longest.cost_ms, 1)}
    age_ms = longest.cost_age_ms
    fields['cost_age_ms'] = None if age_ms is None else round(age_ms)
    choices = []
    for candidate in (longest.chosen, longest.runner_up):
        if candidate is not None:
            choices.append(f'{candidate[1].entry.replica_id}:{candidate[0]:.1f}')
    fields['choices'] = choices
    return {'estimate': fields}
