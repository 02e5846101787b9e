"""Fan-out of a query: one task a shard, its attempts, and what their replies mean."""

from ...failures import AttemptFailure, Executed, Reason
from ...messages import Reply, ReplyStatus, ShardQuery, UpstreamMessage
from ...models import Service
from ..surface import CoreSurface
from .attempts import Attempt, build_message, on_dropped, on_failure, on_reply
from .endings import cancel_attempts, check_plan, fail_task, finish_plan
from .plans import HardDeadlineTimer, Plan, RetryTimer, SoftDeadlineTimer, Task
from .snapshots import SnapshotChoice

FIRST_BACKOFF_MS = 5.0

LONGEST_BACKOFF_MS = 200.0

MAX_REPLANS = 4

REPLY_MARGIN_MS = 5.0
"""How long before a query's deadline its upstreams are told to be done."""


def start_plan(plan: Plan, choice: SnapshotChoice, core: CoreSurface) -> None:
    """Fan a query out over the shards of its snapshot."""
    core.plans[plan.request_id] = plan
    core.timers.arm(plan.hard_at_ms, HardDeadlineTimer(plan.request_id))
    if plan.soft_at_ms < plan.hard_at_ms:
        core.timers.arm(plan.soft_at_ms, SoftDeadlineTimer(plan.request_id))
    fan_out(plan, choice, core)


def fan_out(plan: Plan, choice: SnapshotChoice, core: CoreSurface) -> None:
    """Open one task a shard and ask a replica for each."""
    plan.epoch += 1
    plan.snapshot = choice.snapshot
    plan.tasks = {shard.shard_id: Task(plan, shard) for shard in choice.shard_map.shards}
    plan.answered_count = 0
    plan.open_count = len(plan.tasks)
    budget = core.budget(plan.query.back_end)
    for task in list(plan.tasks.values()):
        if plan.is_finished or task.epoch != plan.epoch:
            return
        budget.earn(plan.rules.hedge_percent)
        core.counters.add('primaries', plan.query.back_end)
        ask_replica(task, core)


def replan(plan: Plan, oldest_snapshot: int, core: CoreSurface) -> None:
    """Start a query over at a newer snapshot; what was collected is thrown away."""
    if plan.replans >= MAX_REPLANS:
        for task in list(plan.tasks.values()):
            if task.is_open:
                fail_task(task, Reason.SNAPSHOT_GONE, core)
        return
    plan.replans += 1
    core.counters.add('replans')
    cancel_attempts(plan, core)
    back_end = core.configuration.current.back_ends.get(plan.query.back_end)
    if back_end is None:
        finish_plan(plan, core)
        return
    minimum = max(oldest_snapshot, plan.snapshot + 1, plan.query.minimum_snapshot)
    choice = core.snapshots.choose(back_end, minimum, core)
    fan_out(plan, choice, core)


def find_service(task: Task, core: CoreSurface) -> Service | None:
    """Return the service of a task's shard, if the configuration still has it."""
    back_end = core.configuration.current.back_ends.get(task.plan.query.back_end)
    return back_end.services.get(task.shard.service) if back_end else None


def ask_replica(task: Task, core: CoreSurface, is_extra: bool = False) -> None:
    """Send a task to a replica, or pause or fail it where none can be asked."""
    plan = task.plan
    service = find_service(task, core)
    if service is None:
        fail_task(task, Reason.SHARD_MOVED, core)
        return
    state = core.upstreams.choose(service, plan.snapshot, task.tried, plan.urgency, core)
    if state is not None:
        send_to(task, state, core, is_extra=is_extra)
        return
    if task.attempts:
        return
    if not task.tried and not core.upstreams.is_held_up(service, core):
        fail_task(task, Reason.NO_REPLICA, core)
        return
    pause_task(task, core)


def send_to(
    task: Task, state, core: CoreSurface, is_extra: bool = False, fresh: bool = False
) -> None:
    """Queue an attempt of a task at a replica."""
    plan = task.plan
    attempt = Attempt(
        core.upstreams.new_attempt_id(core),
        state.replica.replica_id,
        task,
        plan.urgency,
        plan.hard_at_ms,
        fresh,
        is_extra,
    )
    task.attempts.append(attempt)
    core.upstreams.submit(state, attempt, core)


def pause_task(task: Task, core: CoreSurface) -> None:
    """Ask all replicas again after a while that doubles each time."""
    task.tried.clear()
    delay_ms = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2**task.pauses)
    task.pauses += 1
    due_ms = core.now_ms + delay_ms * core.rng.uniform(0.5, 1.0)
    timer = RetryTimer(task.plan.request_id, task.epoch, task.shard.shard_id)
    core.timers.arm(due_ms, timer)


def fire_retry(timer: RetryTimer, core: CoreSurface) -> None:
    """Ask again for a task that had no replica to ask."""
    plan = core.plans.get(timer.request_id)
    if plan is None or plan.epoch != timer.epoch:
        return
    task = plan.tasks[timer.shard_id]
    if task.is_open and not task.attempts:
        ask_replica(task, core)


@build_message.register
def build_shard_query(owner: Task, attempt: Attempt, core: CoreSurface) -> UpstreamMessage:
    """Ask for one shard at the plan's snapshot."""
    plan = owner.plan
    deadline_ms = max(1.0, plan.hard_at_ms - core.now_ms - REPLY_MARGIN_MS)
    return ShardQuery(
        plan.request_id,
        plan.query.back_end,
        owner.shard,
        plan.snapshot,
        plan.query.body,
        deadline_ms,
    )


@on_dropped.register
def note_task_dropped(owner: Task, attempt: Attempt, reason: Reason, core: CoreSurface) -> None:
    """Ask elsewhere for a task whose attempt left its queue unsent."""
    if not take_out(owner, attempt):
        return
    owner.reason = reason
    if reason is Reason.DEADLINE:
        if not owner.attempts:
            fail_task(owner, reason, core)
        return
    owner.tried.add(attempt.replica_id)
    ask_replica(owner, core)


@on_reply.register
def take_task_reply(owner: Task, attempt: Attempt, reply: Reply, core: CoreSurface) -> None:
    """Take a partial answer, or the reason for its absence."""
    if not take_out(owner, attempt):
        core.counters.add('replies_late')
        return
    if reply.status is ReplyStatus.DONE:
        take_partial(owner, attempt, reply, core)
        return
    if reply.status is ReplyStatus.GONE:
        owner.reason = Reason.SNAPSHOT_GONE
        replan(owner.plan, reply.oldest_snapshot, core)
        return
    owner.reason = REPLY_REASONS[reply.status]
    owner.tried.add(attempt.replica_id)
    if reply.status is ReplyStatus.ERROR:
        retry_task(owner, core)
        return
    if reply.status is ReplyStatus.MOVED:
        core.configuration.refresh(core)
    ask_replica(owner, core)


REPLY_REASONS = {
    ReplyStatus.NOT_YET: Reason.SNAPSHOT_NOT_YET,
    ReplyStatus.MOVED: Reason.SHARD_MOVED,
    ReplyStatus.DRAINING: Reason.DRAINING,
    ReplyStatus.SHED: Reason.SHED,
    ReplyStatus.EXPIRED: Reason.DEADLINE,
    ReplyStatus.ERROR: Reason.UPSTREAM_ERROR,
}


def take_partial(task: Task, attempt: Attempt, reply: Reply, core: CoreSurface) -> None:
    """Count a partial answer once its shard, range and snapshot match the plan's."""
    shard = task.shard
    expected = (task.plan.request_id, shard.shard_id, shard.low, shard.high, task.plan.snapshot)
    found = (reply.request_id, reply.shard_id, reply.low, reply.high, reply.snapshot)
    if found != expected:
        core.counters.add('partials_mismatched')
        task.reason = Reason.MISMATCHED
        task.tried.add(attempt.replica_id)
        retry_task(task, core)
        return
    task.rows = reply.rows
    task.is_open = False
    task.plan.answered_count += 1
    task.plan.open_count -= 1
    if attempt.is_extra:
        core.counters.add('extras_won')
    losers, task.attempts = task.attempts, []
    for loser in losers:
        core.upstreams.cancel(loser, core)
    check_plan(task.plan, core)


@on_failure.register
def take_task_failure(
    owner: Task, attempt: Attempt, failure: AttemptFailure, core: CoreSurface
) -> None:
    """Try again after a failed exchange: idempotent work may."""
    if not take_out(owner, attempt):
        return
    owner.reason = failure.reason
    if failure.executed is Executed.NOT_RUN:
        owner.tried.add(attempt.replica_id)
        ask_replica(owner, core)
        return
    owner.tried.add(attempt.replica_id)
    if attempt.is_new or owner.attempts:
        retry_task(owner, core)
        return
    # An old connection failed: a new one to another replica avoids both suspects.
    service = find_service(owner, core)
    state = None
    if service is not None:
        plan = owner.plan
        state = core.upstreams.choose(service, plan.snapshot, owner.tried, plan.urgency, core)
    if state is None:
        state = core.upstreams.states.get(attempt.replica_id)
    if state is None or state.is_draining:
        retry_task(owner, core)
        return
    core.counters.add('retries', 'fresh_connection')
    send_to(owner, state, core, is_extra=True, fresh=True)


def take_out(task: Task, attempt: Attempt) -> bool:
    """Remove an attempt from its task; False if the task no longer waits for it."""
    if attempt not in task.attempts:
        return False
    task.attempts.remove(attempt)
    return task.is_open and not task.plan.is_finished


def retry_task(task: Task, core: CoreSurface) -> None:
    """Ask another replica within the class's retries and the budget for extra load."""
    if task.attempts:
        return
    if task.retries >= task.plan.rules.retries_per_shard:
        fail_task(task, task.reason, core)
        return
    task.retries += 1
    core.counters.add('retries', 'replica')
    if core.budget(task.plan.query.back_end).take():
        ask_replica(task, core, is_extra=True)
        return
    pause_task(task, core)
