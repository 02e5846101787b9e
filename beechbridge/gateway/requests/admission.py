"""
Admission control: the filter chain that every request passes before anything is sent.

A filter returns None to accept the request, or the failure to reject it with. No replica has been
contacted at this point, so every rejection can safely be reported as `not_run`.
"""

import math
from functools import singledispatch
from operator import attrgetter

from ...failures import Failure, Reason, not_run
from ..actions import WriteLine
from ..events import RelayReceived, RequestMalformed, RequestReceived
from ..fleet.stopping import reject_late
from ..interface import GatewayInterface
from ..replicas.limits import may_ask
from ..replicas.upstreams import ReplicaState
from ..routes import Route
from .answers import reject_request
from .canaries import begin_trial, needs_trial
from .candidates import has_unrestricted, list_usable
from .gather_timing import set_deadlines
from .homes import check_homes
from .identity import compute_digest
from .orders import may_order_from, order_remote_parts
from .permit_requests import request_permit
from .progress import answer_work, check_gather, close_task
from .relays import relay_work, should_relay
from .retry_times import (
    NO_REPLICA_RETRY_MS,
    RETRY_JITTER,
    defer_retry_ms,
    needed_count,
    retry_once_open_ms,
    service_opens_in_ms,
)
from .sending import dispatch_task, record_requests
from .start_queue import NOT_READY_RETRY_MS, hold_request, retry_without_table_ms
from .suspicion import CONVICTION_MS, Verdict
from .works import (
    CheckTimer,
    DeadlineTimer,
    GatherWork,
    OrderedWork,
    SingleWork,
    Task,
    Work,
)

BUSY_RETRY_MS = 200
MAX_ACTIVE_REQUESTS = 500
"""Limit on concurrent requests: a gather over a hundred shards takes about 0.1 MB of memory."""

STALE_VIEW_MS = 3_000.0
"""
Time without an update from the store or another VM after which the routing table may be outdated,
so that a route missing from it may have been added since.
"""


def check_readiness(event: RequestReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject requests while there is no routing table."""
    if gateway.table is None:
        retry_after_ms = retry_without_table_ms(event, gateway)
        return not_run(Reason.NOT_READY, 'no routing table yet', retry_after_ms)
    return None


def check_timeout(event: RequestReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject requests whose caller has already timed out."""
    timeout_ms = event.request.timeout_ms
    if timeout_ms is not None and timeout_ms <= 0:
        return not_run(Reason.DEADLINE, 'the deadline of the request has passed')
    return None


def check_capacity(event: RequestReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject requests beyond the number that this VM has memory for."""
    if len(gateway.works) < MAX_ACTIVE_REQUESTS:
        return None
    detail = f'{len(gateway.works)} requests are active'
    return not_run(Reason.OVERLOADED, detail, BUSY_RETRY_MS)


def check_body(event: RequestReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject requests whose body exceeds the size limit."""
    limit_bytes = gateway.table.limits.body_bytes
    if len(event.request.body) > limit_bytes:
        return not_run(Reason.TOO_LARGE, f'request body exceeds {limit_bytes} bytes')
    return None


REQUEST_FILTERS = (check_readiness, check_timeout, check_capacity, check_body)


def find_route(event: RequestReceived, gateway: GatewayInterface) -> Route | Failure:
    """Return the route of a request, or the failure to reject it with."""
    request = event.request
    route = gateway.table.find_route(request.host, request.path)
    if route is not None:
        return route
    if gateway.now_ms - gateway.last_update_ms > STALE_VIEW_MS:
        detail = 'no route found, and the routing table may be outdated'
        return not_run(Reason.NOT_READY, detail, NOT_READY_RETRY_MS)
    return not_run(Reason.NOT_FOUND, f'no route for host {request.host!r}, path {request.path!r}')


def check_replicas(work: Work, gateway: GatewayInterface) -> Failure | None:
    """Reject requests for which too few services have a replica that accepts requests now."""
    if should_relay(gateway):
        # What this VM believes of replicas is out of date.
        return None
    restricted = [task for task in work.tasks if not has_unrestricted(task, gateway)]
    needed = needed_count(work)
    if len(work.tasks) - len(restricted) >= needed:
        return None
    usable_count = len(work.tasks) - len(restricted)
    waits_ms = [0.0] * usable_count
    for task in restricted:
        usable_count += bool(list_usable(task, gateway))
        wait_ms = service_opens_in_ms(task, gateway)
        waits_ms.append(0.0 if wait_ms > 0.0 and may_order(task, gateway) else wait_ms)
    wait_ms = sorted(waits_ms)[needed - 1]
    if wait_ms <= 0.0:
        return None
    total = len(work.tasks)
    if usable_count < needed:
        detail = f'{usable_count} of {total} services have a usable replica'
        retry_after_ms = defer_retry_ms(work.request, NO_REPLICA_RETRY_MS)
        return not_run(Reason.NO_REPLICA, detail, retry_after_ms)
    open_count = sum(wait_ms <= 0.0 for wait_ms in waits_ms)
    detail = f'the replicas of {total - open_count} of {total} services want no requests now'
    retry_after_ms = retry_once_open_ms(wait_ms, BUSY_RETRY_MS, work.request)
    return not_run(Reason.REPLICAS_BUSY, detail, retry_after_ms)


def may_order(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether another VM may be asked for a part that no replica gives to this one."""
    states = list_usable(task, gateway)
    return any(may_order_from(state, task, gateway) for state in states)


def check_conviction(work: Work, gateway: GatewayInterface) -> Failure | None:
    """Reject requests that are known to end the replicas that run them."""
    return refuse_convicted(work.digest, gateway)


def refuse_convicted(digest: str, gateway: GatewayInterface) -> Failure | None:
    """Return the failure of a request that is known to end the replicas that run it."""
    book = gateway.suspicions
    if book.judge(digest, gateway.now_ms) is not Verdict.CONVICTED:
        return None
    suspicion = book.by_digest[digest]
    wait_ms = suspicion.latest_ms + CONVICTION_MS - gateway.now_ms
    detail = f'replicas ended while they ran this request; its digest is {digest}'
    retry_after_ms = math.ceil(wait_ms / min(RETRY_JITTER))
    return not_run(Reason.QUARANTINED, detail, retry_after_ms)


def check_stop(work: Work, gateway: GatewayInterface) -> Failure | None:
    """Reject requests that may still be in progress when this VM exits."""
    return reject_late(work.request, work.route.is_idempotent, work.hard_at_ms, gateway)


WORK_FILTERS = (check_stop, check_conviction, check_replicas, check_homes)


def make_work(
    event: RequestReceived | RelayReceived, route: Route, gateway: GatewayInterface
) -> Work:
    """Return the `Work` for a request, with its tasks and deadlines."""
    work_class = GatherWork if route.is_gather else SingleWork
    digest = compute_digest(event.request)
    work = work_class(
        event.key, event.request, digest, route, gateway.table.version, gateway.now_ms
    )
    services = route.services if route.is_gather else (gateway.splits.pick(route),)
    work.tasks = [Task(work, service) for service in services]
    work.open_count = len(work.tasks)
    verdict = gateway.suspicions.judge(digest, gateway.now_ms)
    work.is_trial = not route.is_gather and verdict is Verdict.SUSPECT
    wait_ms = route.timeout_ms
    spent_ms = 0.0
    if event.request.timeout_ms is not None:
        wait_ms = min(wait_ms, event.request.timeout_ms)
        # The caller's timeout shrinks with each attempt; the difference was spent on earlier ones.
        spent_ms = gateway.caller_timeouts.elapsed_ms(route.name, event.request.timeout_ms)
        if spent_ms >= route.objective_ms:
            # Either the latency objective is missed already, or this caller starts with a shorter
            # timeout than others; in both cases the time spent must not be subtracted.
            spent_ms = 0.0
    set_deadlines(work, event, wait_ms, spent_ms, gateway)
    return work


def handle_request_malformed(event: RequestMalformed, gateway: GatewayInterface) -> None:
    """Count and log a request that was rejected because it could not be parsed."""
    gateway.counters.add('callers_malformed', event.cause)
    gateway.act(WriteLine('request_malformed', {'cause': event.cause, 'detail': event.detail}))


def handle_request_received(event: RequestReceived, gateway: GatewayInterface) -> None:
    """Run the filter chain, then start the request or reject it."""
    if hold_request(event, gateway):
        return
    for request_filter in REQUEST_FILTERS:
        failure = request_filter(event, gateway)
        if failure is not None:
            reject_request(event, None, failure, gateway)
            return
    route = find_route(event, gateway)
    if isinstance(route, Failure):
        reject_request(event, None, route, gateway)
        return
    work = make_work(event, route, gateway)
    for work_filter in WORK_FILTERS:
        failure = work_filter(work, gateway)
        if failure is not None:
            record_requests(work.tasks, gateway)
            reject_request(event, work, failure, gateway)
            return
    gateway.counters.add('requests', route.name)
    start_work(work, gateway)


@singledispatch
def order_parts(work: Work, gateway: GatewayInterface) -> set[Task]:
    """Return the tasks that other VMs were asked to run: none, except for a caller's gather."""
    return set()


order_parts.register(GatherWork, order_remote_parts)


@order_parts.register
def order_no_parts(work: OrderedWork, gateway: GatewayInterface) -> set[Task]:
    """Return no tasks: a VM that receives an order does not pass parts of it on."""
    return set()


def start_work(work: Work, gateway: GatewayInterface) -> None:
    """Start a request here, once its permits have been answered, or at a VM with replicas."""
    gateway.works[work.key] = work
    gateway.timers.arm(work.hard_at_ms, DeadlineTimer(work.key))
    if should_relay(gateway):
        relay_work(work, gateway)
        return
    if not hold_for_permits(work, gateway):
        launch_work(work, gateway)


def hold_for_permits(work: Work, gateway: GatewayInterface) -> bool:
    """
    Ask for the permits without which a gather cannot succeed; return whether there are any.

    Until they are answered nothing is sent, so that a gather without them can be rejected.
    """
    if not work.route.is_gather:
        return False
    bound = [task for task in work.tasks if needs_permit(task, gateway)]
    if len(work.tasks) - len(bound) >= needed_count(work):
        return False
    ask_permits(bound, work, gateway)
    return work.held_count > 0


def ask_permits(tasks: list[Task], work: Work, gateway: GatewayInterface) -> None:
    """Ask for a permit for each task, at a replica where none was denied, and hold the gather."""
    for task in tasks:
        state = find_limited(task, gateway)
        if state is not None:
            request_permit(task, state, gateway)
    work.held_count = sum(task.is_waiting for task in tasks)


def needs_permit(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a task can only be sent to a replica that names a limit."""
    if has_unrestricted(task, gateway):
        return False
    return find_limited(task, gateway) is not None


def find_limited(task: Task, gateway: GatewayInterface) -> ReplicaState | None:
    """Return the nearest replica that may be asked for and that no other VM gathers from."""
    for state in sorted(list_usable(task, gateway), key=attrgetter('distance')):
        if id(state) in task.excluded_replicas or not may_ask(state, gateway):
            continue
        if not may_order_from(state, task, gateway):
            return state
    return None


def launch_work(work: Work, gateway: GatewayInterface) -> None:
    """Send the request's tasks to replicas or, as orders, to other VMs."""
    if not work.may_send:
        return
    if needs_trial(work, gateway):
        gateway.timers.arm(gateway.now_ms + 1.0, CheckTimer(work.key))
        begin_trial(work, gateway)
        return
    work.was_launched = True
    ordered = order_parts(work, gateway)
    # The VM that takes an order counts its requests, since it makes the extra attempts.
    record_requests((task for task in work.tasks if task not in ordered), gateway)
    for task in work.tasks:
        if work.is_finished:
            return
        if task not in ordered and task.is_open and not task.exchanges:
            dispatch_task(task, gateway)
    for task in work.tasks:
        if work.is_finished:
            return
        if task not in ordered and not task.exchanges and not task.is_waiting:
            close_task(task, gateway)
    if work.is_finished:
        return
    gateway.timers.arm(gateway.now_ms + 1.0, CheckTimer(work.key))
    if isinstance(work, GatherWork):
        check_gather(work, gateway)
        return
    if not work.tasks[0].is_open:
        answer_work(work, gateway)
