"""Hedging: sends a task to a second replica if the first is late and the budget allows it."""

from ..interface import GatewayInterface
from ..replicas.connections import Exchange
from ..replicas.limits import is_open
from .budgets import BudgetShare
from .canaries import hedge_canary
from .candidates import list_usable
from .gather_timing import is_hopeless, next_look_ms, timely_delay_ms
from .progress import check_gather
from .sending import FOREVER_MS, dispatch_task
from .work_estimates import usual_latency_ms
from .works import CheckTimer, GatherWork, Task, Work

HEDGE_FACTOR = 2.0
"""Multiple of the typical latency after which a task is hedged."""

HEDGE_BASE_MS = 6.0
HEDGE_SCARCITY_FACTOR = 4.0
"""Growth of the hedge delay as the remaining budget falls below one half."""

SINGLE_HEDGE_FACTOR = 2.5
HEDGE_RETRY_MS = 15.0
"""Delay before a hedge that could not be sent is attempted again."""

MIN_CHECK_INTERVAL_MS = 2.0
"""Minimum time between two checks of the same request."""


def has_healthy_replica(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a replica that is not excluded for the task is healthy."""
    for state in list_usable(task, gateway):
        if id(state) in task.excluded_replicas or state.is_suspect(gateway.now_ms):
            continue
        if is_open(state, gateway):
            return True
    return False


def hedge_delay_ms(exchange: Exchange, share: BudgetShare, gateway: GatewayInterface) -> float:
    """Return the age of an exchange in milliseconds at which its task is hedged."""
    task = exchange.owner
    route = task.work.route
    factor = HEDGE_FACTOR if route.is_gather else SINGLE_HEDGE_FACTOR
    # The correction of waits stands for pauses among others, which hedges are to cut short.
    wait_ms = exchange.wait_ms / exchange.wait_factor
    delay_ms = wait_ms + factor * usual_latency_ms(exchange, gateway) + HEDGE_BASE_MS
    remaining_fraction = gateway.budget(task.service).remaining_fraction(share, gateway.now_ms)
    if remaining_fraction < 0.5:
        delay_ms *= 1.0 + HEDGE_SCARCITY_FACTOR * (0.5 - remaining_fraction)
    return delay_ms


def hedge_late_tasks(work: Work, gateway: GatewayInterface) -> float:
    """Hedge the tasks that are late; return the time of the next check in ms."""
    now_ms = gateway.now_ms
    share = gateway.budget_share()
    next_ms = FOREVER_MS
    for task in work.tasks:
        if not task.is_open or len(task.exchanges) != 1:
            continue
        exchange = task.exchanges[0]
        delay_ms = hedge_delay_ms(exchange, share, gateway)
        due_ms = exchange.sent_ms + timely_delay_ms(exchange, delay_ms, gateway)
        if due_ms > now_ms:
            next_ms = min(next_ms, due_ms)
            continue
        task.exclude_replica(exchange.replica)
        if not has_healthy_replica(task, gateway) or is_hopeless(task, gateway):
            continue
        if dispatch_task(task, gateway, is_hedge=True):
            gateway.counters.add('hedges')
            continue
        next_ms = min(next_ms, now_ms + HEDGE_RETRY_MS)
    return next_ms


def hedge_orders(work: Work, gateway: GatewayInterface) -> float:
    """
    Send the shards of overdue orders to replicas; return the time of the next check in ms.

    Until the answer of an order is due, the VM that received it does the hedging.
    """
    next_ms = FOREVER_MS
    for order in work.orders:
        if order.is_hedged or not order.exchanges:
            continue
        due_ms = order.exchanges[0].stalled_at_ms
        if due_ms > gateway.now_ms:
            next_ms = min(next_ms, due_ms)
            continue
        order.is_hedged = True
        for task in order.open_tasks:
            if not task.exchanges and not task.is_waiting:
                dispatch_task(task, gateway, is_hedge=True)
    return next_ms


def fire_check(timer: CheckTimer, gateway: GatewayInterface) -> None:
    """
    Hedge tasks and orders that are late.

    A gather is answered with the parts that have arrived once waiting no longer helps its caller.
    """
    work = gateway.works.get(timer.key)
    if work is None or not work.may_send:
        return
    now_ms = gateway.now_ms
    next_ms = next_look_ms(work, gateway)
    if isinstance(work, GatherWork):
        check_gather(work, gateway)
        if work.is_finished:
            return
    if work.is_trial and isinstance(work, GatherWork):
        next_ms = min(next_ms, hedge_canary(work, gateway))
    if work.route.is_idempotent:
        next_ms = min(next_ms, hedge_orders(work, gateway), hedge_late_tasks(work, gateway))
    if isinstance(work, GatherWork) and work.meets_minimum_coverage():
        next_ms = min(next_ms, now_ms + HEDGE_RETRY_MS)
    next_ms = max(next_ms, now_ms + MIN_CHECK_INTERVAL_MS)
    work.look_at_ms = next_ms
    if next_ms < work.hard_at_ms:
        gateway.timers.arm(next_ms, CheckTimer(work.key))
