"""Fan-out of a query: one task per shard, its attempts, and the handling of their replies."""

from ...failures import AttemptFailure, Executed, Reason
from ...messages import Reply, ReplyStatus, ShardQuery, UpstreamMessage
from ...models import Service
from ..interface import CoreInterface
from .attempts import Attempt, build_message, on_dropped, on_failure, on_reply
from .endings import cancel_attempts, fail_task, finish_if_decided, finish_plan
from .plans import HardDeadlineTimer, Plan, RetryTimer, SoftDeadlineTimer, Task
from .snapshots import SnapshotChoice
from .suspects import digest_of

INITIAL_BACKOFF_MS = 5.0

MAX_BACKOFF_MS = 200.0

MAX_REPLANS = 4

REPLY_MARGIN_MS = 5.0
"""Margin by which the deadline sent to upstreams precedes the query's own."""


def start_plan(plan: Plan, choice: SnapshotChoice, core: CoreInterface) -> None:
    """Register a query, arm its deadlines and fan it out over the shards of its snapshot."""
    core.plans[plan.request_id] = plan
    core.timers.arm(plan.hard_at_ms, HardDeadlineTimer(plan.request_id))
    if plan.soft_at_ms < plan.hard_at_ms:
        core.timers.arm(plan.soft_at_ms, SoftDeadlineTimer(plan.request_id))
    fan_out(plan, choice, core)


def fan_out(plan: Plan, choice: SnapshotChoice, core: CoreInterface) -> None:
    """Create one task per shard and dispatch each."""
    plan.epoch += 1
    plan.snapshot = choice.snapshot
    plan.tasks = {shard.shard_id: Task(plan, shard) for shard in choice.shard_map.shards}
    plan.answered_count = 0
    plan.open_count = len(plan.tasks)
    budget = core.budget(plan.query.back_end)
    for task in list(plan.tasks.values()):
        if plan.is_finished or task.epoch != plan.epoch:
            return
        budget.add_primary(plan.rules.hedge_percent)
        core.counters.add('primaries', plan.query.back_end)
        dispatch_task(task, core)


def replan(plan: Plan, oldest_snapshot: int, core: CoreInterface) -> None:
    """Restart a query at a newer snapshot and discard the partial answers collected so far."""
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


def find_service(task: Task, core: CoreInterface) -> Service | None:
    """Return the service of a task's shard, or None if the configuration no longer has it."""
    back_end = core.configuration.current.back_ends.get(task.plan.query.back_end)
    return back_end.services.get(task.shard.service) if back_end else None


def dispatch_task(task: Task, core: CoreInterface, is_extra: bool = False) -> None:
    """Send a task to a replica; without an available one, back off or fail the task."""
    plan = task.plan
    service = find_service(task, core)
    if service is None:
        fail_task(task, Reason.SHARD_MOVED, core)
        return
    state = core.upstreams.choose_replica(
        service, plan.snapshot, task.tried_replicas, plan.urgency, core
    )
    if state is not None:
        queue_attempt(task, state, core, is_extra=is_extra)
        return
    if task.attempts:
        return
    if not task.tried_replicas and not core.upstreams.is_connection_limited(service, core):
        fail_task(task, Reason.NO_REPLICA, core)
        return
    back_off_task(task, core)


def queue_attempt(
    task: Task, state, core: CoreInterface, is_extra: bool = False, requires_new: bool = False
) -> None:
    """Create an attempt of a task and submit it to a replica."""
    plan = task.plan
    attempt = Attempt(
        core.upstreams.new_attempt_id(core),
        state.replica.replica_id,
        task,
        plan.urgency,
        plan.hard_at_ms,
        requires_new,
        is_extra,
    )
    task.attempts.append(attempt)
    core.upstreams.submit(state, attempt, core)


def back_off_task(task: Task, core: CoreInterface) -> None:
    """Schedule another try with all replicas, after a jittered delay that doubles each time."""
    task.tried_replicas.clear()
    delay_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**task.backoff_count)
    task.backoff_count += 1
    due_ms = core.now_ms + delay_ms * core.rng.uniform(0.5, 1.0)
    timer = RetryTimer(task.plan.request_id, task.epoch, task.shard.shard_id)
    core.timers.arm(due_ms, timer)


def fire_retry(timer: RetryTimer, core: CoreInterface) -> None:
    """Dispatch a task again after its backoff."""
    plan = core.plans.get(timer.request_id)
    if plan is None or plan.epoch != timer.epoch:
        return
    task = plan.tasks[timer.shard_id]
    if task.is_open and not task.attempts:
        dispatch_task(task, core)


@build_message.register
def build_shard_query(owner: Task, attempt: Attempt, core: CoreInterface) -> UpstreamMessage:
    """Build the query of one shard at the plan's snapshot."""
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
def handle_task_dropped(
    owner: Task, attempt: Attempt, reason: Reason, core: CoreInterface
) -> None:
    """Dispatch a task to another replica after its attempt was dropped unsent."""
    if not detach_attempt(owner, attempt):
        return
    owner.reason = reason
    if reason is Reason.DEADLINE:
        if not owner.attempts:
            fail_task(owner, reason, core)
        return
    owner.tried_replicas.add(attempt.replica_id)
    dispatch_task(owner, core)


@on_reply.register
def handle_task_reply(owner: Task, attempt: Attempt, reply: Reply, core: CoreInterface) -> None:
    """Apply a partial answer, or retry according to the status of the reply."""
    if not detach_attempt(owner, attempt):
        core.counters.add('replies_late')
        return
    if reply.status is ReplyStatus.DONE:
        apply_partial_answer(owner, attempt, reply, core)
        return
    if reply.status is ReplyStatus.GONE:
        owner.reason = Reason.SNAPSHOT_GONE
        replan(owner.plan, reply.oldest_snapshot, core)
        return
    owner.reason = REPLY_REASONS[reply.status]
    owner.tried_replicas.add(attempt.replica_id)
    if reply.status is ReplyStatus.ERROR:
        retry_task(owner, core)
        return
    if reply.status is ReplyStatus.MOVED:
        core.configuration.refresh(core)
    dispatch_task(owner, core)


REPLY_REASONS = {
    ReplyStatus.NOT_YET: Reason.SNAPSHOT_NOT_YET,
    ReplyStatus.MOVED: Reason.SHARD_MOVED,
    ReplyStatus.DRAINING: Reason.DRAINING,
    ReplyStatus.SHED: Reason.SHED,
    ReplyStatus.EXPIRED: Reason.DEADLINE,
    ReplyStatus.ERROR: Reason.UPSTREAM_ERROR,
}


def apply_partial_answer(task: Task, attempt: Attempt, reply: Reply, core: CoreInterface) -> None:
    """Store a partial answer if its request, shard, range and snapshot match the plan."""
    shard = task.shard
    expected = (task.plan.request_id, shard.shard_id, shard.low, shard.high, task.plan.snapshot)
    found = (reply.request_id, reply.shard_id, reply.low, reply.high, reply.snapshot)
    if found != expected:
        core.counters.add('partials_mismatched')
        task.reason = Reason.MISMATCHED
        task.tried_replicas.add(attempt.replica_id)
        retry_task(task, core)
        return
    core.suspects.acquit(task.plan, core)
    task.rows = reply.rows
    task.is_open = False
    task.plan.answered_count += 1
    task.plan.open_count -= 1
    if attempt.is_extra:
        core.counters.add('extras_won')
    losers, task.attempts = task.attempts, []
    for loser in losers:
        core.upstreams.cancel(loser, core)
    finish_if_decided(task.plan, core)


@on_failure.register
def handle_task_failure(
    owner: Task, attempt: Attempt, failure: AttemptFailure, core: CoreInterface
) -> None:
    """Retry after a failed exchange; queries are idempotent, so this is safe."""
    if not detach_attempt(owner, attempt):
        return
    owner.reason = failure.reason
    if failure.executed is Executed.NOT_RUN:
        owner.tried_replicas.add(attempt.replica_id)
        dispatch_task(owner, core)
        return
    # A kept connection may have been closed while it was idle.
    is_loss = attempt.is_new and failure.reason is Reason.CONNECTION_LOST
    if is_loss and core.suspects.record_loss(owner.plan, attempt, core):
        stop_convicted(digest_of(owner.plan), core)
    if core.suspects.is_convicted(owner.plan, core):
        if not owner.attempts:
            fail_task(owner, Reason.QUARANTINED, core)
        return
    owner.tried_replicas.add(attempt.replica_id)
    if attempt.is_new or owner.attempts:
        retry_task(owner, core)
        return
    # A reused connection failed. Either it or the replica may be at fault, so prefer a new
    # connection to another replica.
    service = find_service(owner, core)
    state = None
    if service is not None:
        plan = owner.plan
        state = core.upstreams.choose_replica(
            service, plan.snapshot, owner.tried_replicas, plan.urgency, core
        )
    if state is None:
        state = core.upstreams.states.get(attempt.replica_id)
    if state is None or state.is_draining:
        retry_task(owner, core)
        return
    core.counters.add('retries', 'fresh_connection')
    queue_attempt(owner, state, core, is_extra=True, requires_new=True)


def stop_convicted(digest: str, core: CoreInterface) -> None:
    """Cancel what waits to be sent of all queries in progress that are the convicted one."""
    for plan in list(core.plans.values()):
        if digest_of(plan) != digest:
            continue
        for task in plan.tasks.values():
            unsent = [attempt for attempt in task.attempts if attempt.sent_ms is None]
            for attempt in unsent:
                task.attempts.remove(attempt)
                core.upstreams.cancel(attempt, core)
            if not task.attempts:
                fail_task(task, Reason.QUARANTINED, core)


def detach_attempt(task: Task, attempt: Attempt) -> bool:
    """Remove an attempt from its task; return whether the task still waits for a reply."""
    if attempt not in task.attempts:
        return False
    task.attempts.remove(attempt)
    return task.is_open and not task.plan.is_finished


def retry_task(task: Task, core: CoreInterface) -> None:
    """Retry a task within the class's retry limit and the budget of extra attempts."""
    if task.attempts:
        return
    if task.retries >= task.plan.rules.retries_per_shard:
        fail_task(task, task.reason, core)
        return
    task.retries += 1
    core.counters.add('retries', 'replica')
    if core.budget(task.plan.query.back_end).try_acquire():
        dispatch_task(task, core, is_extra=True)
        return
    back_off_task(task, core)
