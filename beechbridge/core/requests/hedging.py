"""Hedging: extra attempts at a second replica for slow shards of a query."""

from ..interface import CoreInterface
from ..upstreams.replicas import ReplicaState
from .attempts import Attempt, on_queued, on_sent
from .fanout import find_service, queue_attempt
from .plans import HedgeTimer, ReassignTimer, Task

HEDGE_FACTOR = 2.5
"""Minimum multiple of a replica's median latency after which an attempt is hedged."""

HEDGE_AFTER_SHARE = 0.5
"""Share of a query's shards that must have answered before a slow one is hedged."""

HEDGE_RECHECK_FACTOR = 0.25

MIN_HEDGE_MS = 2.0


def fire_hedge(timer: HedgeTimer, core: CoreInterface) -> None:
    """Hedge a slow task, or check again later if that is not possible now."""
    attempt = core.upstreams.attempts.get(timer.attempt_id)
    if attempt is None or attempt.abandoned:
        return
    task = attempt.owner
    if not task.is_open or task.hedged:
        return
    if not try_hedge(task, core):
        due_ms = core.now_ms + HEDGE_RECHECK_FACTOR * hedge_delay_ms(task, core)
        core.timers.arm(due_ms, timer)


@on_queued.register
def handle_task_queued(owner: Task, attempt: Attempt, core: CoreInterface) -> None:
    """Arm the reassignment of a queued attempt, as slow exchanges may block its replica."""
    if not core.policy.hedges:
        return
    due_ms = core.now_ms + hedge_delay_ms(owner, core)
    core.timers.arm(due_ms, ReassignTimer(attempt.attempt_id))


def fire_reassign(timer: ReassignTimer, core: CoreInterface) -> None:
    """Reassign an attempt that is still queued to a replica that can send it at once."""
    attempt = core.upstreams.attempts.get(timer.attempt_id)
    if attempt is None or attempt.abandoned or attempt.sent_ms is not None:
        return
    task = attempt.owner
    if not task.is_open or find_service(task, core) is None:
        return
    state = find_free_replica(task, core)
    if state is None:
        due_ms = core.now_ms + HEDGE_RECHECK_FACTOR * hedge_delay_ms(task, core)
        core.timers.arm(due_ms, timer)
        return
    core.counters.add('attempts_moved')
    core.upstreams.cancel(attempt, core)
    task.attempts.remove(attempt)
    queue_attempt(task, state, core)


def try_hedge(task: Task, core: CoreInterface) -> bool:
    """Hedge a task if that helps its query and the budget allows; return whether it was hedged."""
    plan = task.plan
    if plan.answered_count < HEDGE_AFTER_SHARE * len(plan.tasks) - 1:
        # Most shards are slow, so hedging single ones would not speed up the query.
        return False
    state = find_free_replica(task, core)
    if state is None:
        return False
    if not core.budget(plan.query.back_end).try_acquire():
        core.counters.add('hedges_denied')
        return False
    task.hedged = True
    core.counters.add('hedges')
    queue_attempt(task, state, core, is_extra=True)
    return True


def find_free_replica(task: Task, core: CoreInterface) -> ReplicaState | None:
    """Return a healthy, untried replica that can send at once and has no attempt of the task."""
    service = find_service(task, core)
    if service is None:
        return None
    plan = task.plan
    exclude = task.tried_replicas | {other.replica_id for other in task.attempts}
    state = core.upstreams.choose_replica(service, plan.snapshot, exclude, plan.urgency, core)
    if state is None or state.is_ejected or state.in_flight >= int(state.window):
        return None
    return state


def hedge_delay_ms(task: Task, core: CoreInterface) -> float:
    """Return the delay after which an attempt counts as slow, judged by the fastest replica."""
    service = find_service(task, core)
    delays = []
    for replica in service.replicas if service else ():
        state = core.upstreams.states.get(replica.replica_id)
        if state is None:
            continue
        latency = state.latency
        delays.append(max(latency.slow_ms, HEDGE_FACTOR * latency.median_ms))
    return max(MIN_HEDGE_MS, min(delays, default=MIN_HEDGE_MS))


@on_sent.register
def handle_task_sent(owner: Task, attempt: Attempt, core: CoreInterface) -> None:
    """Arm the stall timeout of a sent attempt, and its hedge where hedging is allowed."""
    owner.plan.was_sent = True
    core.upstreams.arm_stall_timer(attempt, core)
    if attempt.is_extra or owner.hedged or owner.plan.rules.hedge_percent == 0:
        return
    if not core.policy.hedges:
        return
    due_ms = core.now_ms + hedge_delay_ms(owner, core)
    core.timers.arm(due_ms, HedgeTimer(attempt.attempt_id))
