"""
Canary requests: a gather that may end replicas goes to one shard alone until that has answered.

A gather whose first sends are all lost, and one under suspicion, is on trial: one sub-request at a
time, at the shard with the most healthy replicas. The rest follows its answer. As long as no
replica has answered, no shard is sent a gather twice (`holding`).
"""

import math

from ..actions import WriteLine
from ..interface import GatewayInterface
from .candidates import list_usable
from .evidence import had_restarts
from .holding import hold_task
from .orders import order_remote_parts
from .progress import close_task, resume_task
from .sending import dispatch_task, record_requests
from .suspicion import Verdict
from .works import CanaryTimer, GatherWork, OrderedWork, SingleWork, Task, Work

MAX_TRIALS = 3
"""Sub-requests that are tried one after the other before a gather is given up."""

LATE_FACTOR = 2.0
LATE_BASE_MS = 6.0
"""Multiple of the typical latency, and time on top of it, after which another shard is tried."""

ENOUGH_HEALTHY = 2
"""Healthy replicas of a shard beyond which more make no difference to the choice of a canary."""


def needs_trial(work: Work, gateway: GatewayInterface) -> bool:
    """Return whether a request must not be sent to all of its shards at once."""
    book = gateway.suspicions
    if not isinstance(work, GatherWork) or isinstance(work, OrderedWork):
        return False
    if book.judge(work.digest, gateway.now_ms) is Verdict.SUSPECT:
        return True
    if book.is_troubled(work.route.name, gateway.now_ms):
        return True
    return book.is_cautious(gateway.now_ms) and had_restarts(work.route.services, gateway)


def begin_trial(work: GatherWork, gateway: GatewayInterface) -> None:
    """Start a gather with one shard; the others wait for its answer."""
    gateway.counters.add('trials')
    work.is_trial = True
    for task in work.tasks:
        hold_task(task)
    try_next(work, gateway)


def try_next(work: GatherWork, gateway: GatewayInterface) -> None:
    """Send the next canary, or give the gather up."""
    while work.round_number < MAX_TRIALS:
        task = choose_canary(work, gateway)
        if task is None:
            break
        work.held_tasks.remove(task)
        task.is_waiting = False
        work.is_trial = True
        work.trial_task = task
        work.round_number += 1
        work.probe_count = 0
        if not task.delivery_count and not work.was_launched:
            record_requests([task], gateway)
        dispatch_task(task, gateway)
        if task.exchanges or task.is_waiting:
            gateway.counters.add('canaries')
            return
        close_task(task, gateway)
        if work.is_finished:
            return
    give_up(work, gateway)


def hedge_canary(work: GatherWork, gateway: GatewayInterface) -> float:
    """Try another shard if a canary is late; return the time of the next check in ms."""
    canary = work.trial_task
    if work.is_vindicated or canary is None or not canary.exchanges:
        return math.inf
    exchange = canary.exchanges[0]
    typical_ms = gateway.upstreams.typical_ms(work.route.name, exchange.replica.distance)
    due_ms = exchange.sent_ms + LATE_FACTOR * typical_ms + LATE_BASE_MS
    if gateway.now_ms >= due_ms and work.round_number < MAX_TRIALS and work.held_tasks:
        try_next(work, gateway)
        return math.inf
    return due_ms


def choose_canary(work: GatherWork, gateway: GatewayInterface) -> Task | None:
    """Return the held task whose shard can best spare a replica."""
    best = []
    best_score = (0, 0)
    for task in work.held_tasks:
        if not task.is_open or task.run_count >= work.route.attempts:
            continue
        distances = []
        for state in list_usable(task, gateway):
            if id(state) not in task.excluded_replicas and not state.is_suspect(gateway.now_ms):
                distances.append(state.distance)
        if not distances:
            continue
        score = (min(len(distances), ENOUGH_HEALTHY), -min(distances))
        if not best or score > best_score:
            best, best_score = [], score
        if score == best_score:
            best.append(task)
    return gateway.rng.choice(best) if best else None


def give_up(work: Work, gateway: GatewayInterface) -> None:
    """Close all tasks of a request that is to get nothing more; that ends the request."""
    fields = {
        'request': work.request.request_id,
        'digest': work.digest,
        'rounds': work.round_number,
        'verdict': gateway.suspicions.judge(work.digest, gateway.now_ms).value,
    }
    gateway.act(WriteLine('request_given_up', fields))
    for task in work.tasks:
        if not work.is_finished:
            close_task(task, gateway)


def fire_canary(timer: CanaryTimer, gateway: GatewayInterface) -> None:
    """Go on with a gather whose first answer has arrived, or all of whose sends were lost."""
    work = gateway.works.get(timer.key)
    if work is None or not work.may_send or isinstance(work, SingleWork):
        return
    if work.is_vindicated:
        release_tasks(work, gateway)
        return
    if not work.held_tasks or is_under_way(work, gateway):
        return
    verdict = gateway.suspicions.judge(work.digest, gateway.now_ms)
    if isinstance(work, OrderedWork) or verdict is Verdict.CONVICTED:
        give_up(work, gateway)
        return
    try_next(work, gateway)


def is_under_way(work: GatherWork, gateway: GatewayInterface) -> bool:
    """Return whether an answer may still come, or a probe say more about the last loss."""
    if any(task.exchanges for task in work.tasks):
        return True
    if any(order.exchanges for order in work.orders):
        return True
    canary = work.trial_task
    if canary is not None and canary.is_open and canary.is_waiting:
        return True
    return gateway.evidence.is_probing(work)


def release_tasks(work: GatherWork, gateway: GatewayInterface) -> None:
    """Send the tasks that waited for the first answer to replicas or, as orders, to other VMs."""
    held, work.held_tasks = work.held_tasks, []
    for task in held:
        task.is_waiting = False
    ordered = set()
    if work.is_trial and not work.was_launched:
        ordered = order_remote_parts(work, gateway)
        record_requests((task for task in held if task not in ordered), gateway)
    work.was_launched = True
    for task in held:
        if task not in ordered and not task.exchanges:
            resume_task(task, gateway, may_retry=True)
