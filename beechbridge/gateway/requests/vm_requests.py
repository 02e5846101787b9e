"""
Admission of what other VMs ask for: orders of parts, and requests that they relay.

As in `admission`, nothing has been sent to a replica when one of these is rejected.
"""

from ...failures import Failure, Reason, not_run
from ..actions import AnswerRequest, WriteLine
from ..events import OrderReceived, RelayReceived
from ..fleet.stopping import reject_late
from ..interface import GatewayInterface
from ..routes import Route
from .admission import (
    BUSY_RETRY_MS,
    WORK_FILTERS,
    check_body,
    check_capacity,
    check_readiness,
    check_timeout,
    find_route,
    make_work,
    refuse_convicted,
    start_work,
)
from .candidates import allowed_zones, list_usable
from .sending import record_requests
from .works import OrderedWork, Task, Work


def check_order_conviction(event: OrderReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject orders of requests that are known to end the replicas that run them."""
    return refuse_convicted(event.order.digest, gateway)


def check_reach(event: OrderReceived | RelayReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject what other VMs ask for while this one reaches no replica."""
    if gateway.reach.is_lost:
        return not_run(Reason.UNREACHABLE, 'this VM reaches no replica', BUSY_RETRY_MS)
    return None


def check_order_stop(event: OrderReceived, gateway: GatewayInterface) -> Failure | None:
    """Reject orders whose answer may not be ready when this VM exits."""
    ends_ms = gateway.now_ms + event.order.soft_ms
    return reject_late(event.order.request, True, ends_ms, gateway)


ORDER_FILTERS = (
    check_readiness,
    check_order_stop,
    check_reach,
    check_capacity,
    check_order_conviction,
)


def handle_order_received(event: OrderReceived, gateway: GatewayInterface) -> None:
    """Run the filter chain for orders, then gather the parts or reject the order."""
    for order_filter in ORDER_FILTERS:
        failure = order_filter(event, gateway)
        if failure is None:
            continue
        refuse_order(event, failure, gateway)
        return
    work = make_ordered_work(event, gateway)
    failure = check_order_homes(work, gateway)
    if failure is not None:
        refuse_order(event, failure, gateway)
        return
    gateway.counters.add('orders_taken')
    start_work(work, gateway)


def refuse_order(event: OrderReceived, failure: Failure, gateway: GatewayInterface) -> None:
    """Tell another VM that no part of its order has run here."""
    gateway.counters.add('orders_refused', failure.reason.value)
    fields = {'request': event.order.request.request_id, 'reason': failure.reason.value}
    gateway.act(WriteLine('order_refused', fields))
    gateway.act(AnswerRequest(event.key, failure))


def check_order_homes(work: OrderedWork, gateway: GatewayInterface) -> Failure | None:
    """Reject an order of which this VM may send no part, by its own table or the order's."""
    if allowed_zones(work, gateway) is None:
        return None
    if any(list_usable(task, gateway) for task in work.tasks):
        return None
    return not_run(Reason.NO_REPLICA, 'no service has a replica in a home region', BUSY_RETRY_MS)


RELAY_FILTERS = (check_readiness, check_reach, check_timeout, check_capacity, check_body)


def handle_relay_received(event: RelayReceived, gateway: GatewayInterface) -> None:
    """Run the filter chains for a request of another VM's caller, then start or reject it."""
    for relay_filter in RELAY_FILTERS:
        failure = relay_filter(event, gateway)
        if failure is not None:
            reject_relay(event, failure, gateway)
            return
    route = find_route(event, gateway)
    if isinstance(route, Failure):
        reject_relay(event, route, gateway)
        return
    work = make_relayed_work(event, route, gateway)
    for work_filter in WORK_FILTERS:
        failure = work_filter(work, gateway)
        if failure is not None:
            record_requests(work.tasks, gateway)
            reject_relay(event, failure, gateway)
            return
    gateway.counters.add('relays_taken')
    start_work(work, gateway)


def reject_relay(event: RelayReceived, failure: Failure, gateway: GatewayInterface) -> None:
    """Tell another VM that its caller's request has not run here."""
    gateway.counters.add('relays_rejected', failure.reason.value)
    fields = {'request': event.relay.request_id, 'reason': failure.reason.value}
    gateway.act(WriteLine('relay_rejected', fields))
    gateway.act(AnswerRequest(event.key, failure))


def make_relayed_work(event: RelayReceived, route: Route, gateway: GatewayInterface) -> Work:
    """Return the `Work` for a request of another VM's caller, with the attempts that are left."""
    relay = event.relay
    work = make_work(event, route, gateway)
    work.is_from_vm = True
    work.is_counted = relay.is_counted
    work.hard_at_ms = work.arrived_ms + min(relay.hard_ms, route.timeout_ms)
    work.soft_at_ms = min(work.hard_at_ms, work.arrived_ms + relay.soft_ms)
    # The other VM may have picked another service of a split route.
    total_count = sum(relay.run_counts.values())
    for task in work.tasks:
        run_count = relay.run_counts.get(task.service, 0) if route.is_gather else total_count
        task.run_count = max(0, min(run_count, route.attempts))
        task.delivery_count = int(task.run_count > 0)
    return work


def make_ordered_work(event: OrderReceived, gateway: GatewayInterface) -> OrderedWork:
    """Return the `Work` for an order of another VM."""
    order = event.order
    route = Route(
        order.route_name,
        order.request.host,
        '',
        order.services,
        is_gather=True,
        attempts=order.attempts,
        timeout_ms=order.hard_ms,
        objective_ms=order.soft_ms,
        priority=order.priority,
        top_records=order.top_records,
        home_regions=order.home_regions,
    )
    work = OrderedWork(
        event.key, order.request, order.digest, route, gateway.table.version, gateway.now_ms
    )
    work.tasks = [Task(work, service) for service in order.services]
    work.open_count = len(work.tasks)
    return work
