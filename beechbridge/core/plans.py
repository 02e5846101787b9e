"""Queries in progress: one plan each, with one task a shard."""

import math

from ..actions import AnswerCaller
from ..failures import AttemptFailure, CoverageFailure, Executed, Failure, Reason
from ..messages import Reply, ReplyStatus, ShardQuery, UpstreamMessage
from ..models import Answer, Coverage, MissingShard, Query, QueryClass, Service, Shard
from ..record import Record
from .attempts import (
    Attempt,
    build_message,
    on_dropped,
    on_failure,
    on_reply,
    on_sent,
)
from .snapshots import SnapshotChoice

FIRST_BACKOFF_MS = 5.0
LONGEST_BACKOFF_MS = 200.0
MAX_REPLANS = 4
HEDGE_FACTOR = 1.5
"""Least multiple of the service's median latency after which a second replica is asked."""

HEDGE_AFTER_SHARE = 0.5
"""Share of a query's shards that must have answered before a slow one is worth a hedge."""

HEDGE_RECHECK_FACTOR = 0.25
MIN_HEDGE_MS = 2.0
REPLY_MARGIN_MS = 5.0
"""How long before a query's deadline its upstreams are told to be done."""


class Plan:
    """
    One query in progress.

    :param epoch: counts the plan's snapshots; partial answers of earlier ones are dropped
    :param open_count: tasks that may still be answered
    :param was_sent: whether any byte may have reached an upstream
    """

    __slots__ = (
        'answered_count',
        'arrived_ms',
        'epoch',
        'hard_at_ms',
        'is_finished',
        'open_count',
        'query',
        'replans',
        'request_id',
        'rules',
        'snapshot',
        'soft_at_ms',
        'tasks',
        'urgency',
        'was_sent',
    )

    def __init__(self, request_id: str, query: Query, arrived_ms: float):
        self.request_id = request_id
        self.query = query
        self.rules: QueryClass | None = None
        self.urgency = 0
        self.arrived_ms = arrived_ms
        self.soft_at_ms = arrived_ms
        self.hard_at_ms = arrived_ms
        self.snapshot = 0
        self.epoch = 0
        self.tasks: dict[str, Task] = {}
        self.answered_count = 0
        self.open_count = 0
        self.replans = 0
        self.was_sent = False
        self.is_finished = False

    def apply_rules(self, rules: QueryClass) -> None:
        """Take deadlines and urgency from the query's class; the caller can only tighten them."""
        self.rules = rules
        given_ms = self.query.deadline_ms or rules.hard_deadline_ms
        hard_ms = min(given_ms, rules.hard_deadline_ms)
        self.hard_at_ms = self.arrived_ms + hard_ms
        self.soft_at_ms = self.arrived_ms + min(hard_ms, rules.soft_deadline_ms)
        self.urgency = min(self.query.urgency or rules.urgency, rules.urgency)

    @property
    def needed_count(self) -> int:
        """Return how many shards must answer for the class to be satisfied."""
        return max(1, math.ceil(self.rules.minimum_coverage * len(self.tasks) - 1e-9))

    def has_enough(self) -> bool:
        """Tell whether the shards answered so far satisfy the class."""
        return self.answered_count >= self.needed_count

    def can_have_enough(self) -> bool:
        """Tell whether the open shards could still satisfy the class."""
        reachable = self.answered_count + self.open_count
        return reachable >= self.needed_count


class Task:
    """
    One shard's part of a plan; owner of its attempts.

    :param tried: replicas that are not asked again for now
    :param reason: why there is no answer yet
    """

    __slots__ = (
        'attempts',
        'epoch',
        'hedged',
        'is_open',
        'pauses',
        'plan',
        'reason',
        'retries',
        'rows',
        'shard',
        'tried',
    )

    def __init__(self, plan: Plan, shard: Shard):
        self.plan = plan
        self.shard = shard
        self.epoch = plan.epoch
        self.rows: list | None = None
        self.is_open = True
        self.attempts: list[Attempt] = []
        self.tried: set[str] = set()
        self.pauses = 0
        self.retries = 0
        self.hedged = False
        self.reason = Reason.DEADLINE


class SoftDeadlineTimer(Record):
    """Fires when a query may be answered with what it has."""

    __slots__ = ('request_id',)

    def __init__(self, request_id: str):
        self.request_id = request_id


class HardDeadlineTimer(Record):
    """Fires when a query must be answered."""

    __slots__ = ('request_id',)

    def __init__(self, request_id: str):
        self.request_id = request_id


class HedgeTimer(Record):
    """Fires when a task's first attempt is slow."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id


class RetryTimer(Record):
    """Fires when a task may ask again."""

    __slots__ = ('epoch', 'request_id', 'shard_id')

    def __init__(self, request_id: str, epoch: int, shard_id: str):
        self.request_id = request_id
        self.epoch = epoch
        self.shard_id = shard_id


def start_plan(plan: Plan, choice: SnapshotChoice, core) -> None:
    """Fan a query out over the shards of its snapshot."""
    core.plans[plan.request_id] = plan
    core.timers.arm(plan.hard_at_ms, HardDeadlineTimer(plan.request_id))
    if plan.soft_at_ms < plan.hard_at_ms:
        core.timers.arm(plan.soft_at_ms, SoftDeadlineTimer(plan.request_id))
    fan_out(plan, choice, core)


def fan_out(plan: Plan, choice: SnapshotChoice, core) -> None:
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


def replan(plan: Plan, oldest_snapshot: int, core) -> None:
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


def find_service(task: Task, core) -> Service | None:
    """Return the service of a task's shard, if the configuration still has it."""
    back_end = core.configuration.current.back_ends.get(task.plan.query.back_end)
    return back_end.services.get(task.shard.service) if back_end else None


def ask_replica(task: Task, core, is_extra: bool = False) -> None:
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


def send_to(task: Task, state, core, is_extra: bool = False, fresh: bool = False) -> None:
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


def pause_task(task: Task, core) -> None:
    """Ask all replicas again after a while that doubles each time."""
    task.tried.clear()
    delay_ms = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2**task.pauses)
    task.pauses += 1
    due_ms = core.now_ms + delay_ms * core.rng.uniform(0.5, 1.0)
    timer = RetryTimer(task.plan.request_id, task.epoch, task.shard.shard_id)
    core.timers.arm(due_ms, timer)


def fail_task(task: Task, reason: Reason, core) -> None:
    """Give a shard up; answer at once where that decides the query."""
    if not task.is_open:
        return
    task.is_open = False
    task.reason = reason
    task.plan.open_count -= 1
    check_plan(task.plan, core)


def check_plan(plan: Plan, core) -> None:
    """Answer a query as soon as nothing can change the answer any more."""
    if plan.is_finished:
        return
    if plan.open_count == 0 or not plan.can_have_enough():
        finish_plan(plan, core)
        return
    if core.now_ms >= plan.soft_at_ms and plan.has_enough():
        finish_plan(plan, core)


def cancel_attempts(plan: Plan, core) -> None:
    """Cancel what a plan still waits for."""
    for task in plan.tasks.values():
        attempts, task.attempts = task.attempts, []
        for attempt in attempts:
            core.upstreams.cancel(attempt, core)


def finish_plan(plan: Plan, core) -> None:
    """Give the caller the answer and end all that still runs for it."""
    if not plan.is_finished:
        end_plan(plan, build_answer(plan, core), core)


def end_plan(plan: Plan, answer: Answer | Failure, core) -> None:
    """Take a plan out and answer its caller."""
    if isinstance(answer, Failure):
        core.counters.add('refusals', answer.reason.value)
    plan.is_finished = True
    del core.plans[plan.request_id]
    cancel_attempts(plan, core)
    core.act(AnswerCaller(plan.request_id, answer))
    core.stopping.check(core)


def note_shortage(plan: Plan, core) -> None:
    """Raise the floor of a back end's urgencies, and refuse what waits below it unsent."""
    back_end = plan.query.back_end
    overload = core.overload_of(back_end)
    overload.note_shortage(plan.urgency, core.now_ms)
    for other in list(core.plans.values()):
        if other.query.back_end != back_end or other.was_sent:
            continue
        if not overload.refuses(other.urgency, core.now_ms):
            continue
        end_plan(other, overload.refusal(core.now_ms), core)


def build_answer(plan: Plan, core) -> Answer | Failure:
    """Run the answer filters."""
    coverage = state_coverage(plan)
    kind = 'complete' if coverage.complete else 'partial'
    if not plan.has_enough():
        core.counters.add('answers', 'failed')
        detail = f'{coverage.shards_answered} of {coverage.shards_total} shards answered'
        executed = Executed.UNKNOWN if plan.was_sent else Executed.NOT_RUN
        if core.now_ms >= plan.hard_at_ms:
            note_shortage(plan, core)
        return CoverageFailure(coverage, executed, detail)
    core.counters.add('answers', kind)
    rows, truncated = merge_rows(plan)
    elapsed_ms = core.now_ms - plan.arrived_ms
    return Answer(plan.request_id, plan.snapshot, rows, truncated, coverage, elapsed_ms)


def state_coverage(plan: Plan) -> Coverage:
    """Count the answered shards against the snapshot's whole map and name the others."""
    missing = []
    for task in plan.tasks.values():
        if task.rows is not None:
            continue
        missing.append(MissingShard(task.shard.shard_id, task.reason))
    return Coverage(len(plan.tasks), plan.answered_count, missing)


def merge_rows(plan: Plan) -> tuple[list, bool]:
    """Merge the shards' rows by key, up to the caller's limit."""
    rows = []
    for task in plan.tasks.values():
        rows.extend(task.rows or ())
    rows.sort(key=lambda row: row.key)
    limit = plan.query.limit
    return rows[:limit], len(rows) > limit


def fire_soft_deadline(timer: SoftDeadlineTimer, core) -> None:
    """Answer with what is there if that is enough."""
    plan = core.plans.get(timer.request_id)
    if plan is not None:
        check_plan(plan, core)


def fire_hard_deadline(timer: HardDeadlineTimer, core) -> None:
    """Answer in any case."""
    plan = core.plans.get(timer.request_id)
    if plan is not None:
        finish_plan(plan, core)


def fire_retry(timer: RetryTimer, core) -> None:
    """Ask again for a task that had no replica to ask."""
    plan = core.plans.get(timer.request_id)
    if plan is None or plan.epoch != timer.epoch:
        return
    task = plan.tasks[timer.shard_id]
    if task.is_open and not task.attempts:
        ask_replica(task, core)


def fire_hedge(timer: HedgeTimer, core) -> None:
    """Ask a second replica for a slow task if the budget allows."""
    attempt = core.upstreams.attempts.get(timer.attempt_id)
    if attempt is None or attempt.abandoned:
        return
    task = attempt.owner
    if not task.is_open or task.hedged:
        return
    if not try_hedge(task, core):
        due_ms = core.now_ms + HEDGE_RECHECK_FACTOR * hedge_delay_ms(task, core)
        core.timers.arm(due_ms, timer)


def try_hedge(task: Task, core) -> bool:
    """Hedge a task if that helps its query and the budget allows; True if it was done."""
    plan = task.plan
    if plan.answered_count < HEDGE_AFTER_SHARE * len(plan.tasks) - 1:
        # The whole query is slow, which another replica cannot mend.
        return False
    service = find_service(task, core)
    if service is None:
        return False
    exclude = task.tried | {other.replica_id for other in task.attempts}
    state = core.upstreams.choose(service, plan.snapshot, exclude, plan.urgency, core)
    if state is None or state.is_ejected or state.in_flight >= int(state.window):
        return False
    if not core.budget(plan.query.back_end).take():
        core.counters.add('hedges_denied')
        return False
    task.hedged = True
    core.counters.add('hedges')
    send_to(task, state, core, is_extra=True)
    return True


def hedge_delay_ms(task: Task, core) -> float:
    """Return how long all but the slowest exchanges of a task's service take."""
    service = find_service(task, core)
    delays = []
    for replica in service.replicas if service else ():
        state = core.upstreams.states.get(replica.replica_id)
        if state is None:
            continue
        latency = state.latency
        delays.append(max(latency.slow_ms, HEDGE_FACTOR * latency.median_ms))
    return max(MIN_HEDGE_MS, min(delays, default=MIN_HEDGE_MS))


@build_message.register
def build_shard_query(owner: Task, attempt: Attempt, core) -> UpstreamMessage:
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


@on_sent.register
def note_task_sent(owner: Task, attempt: Attempt, core) -> None:
    """Watch a sent attempt for slowness and for silence."""
    owner.plan.was_sent = True
    core.upstreams.arm_stall(attempt, core)
    if attempt.is_extra or owner.hedged or owner.plan.rules.hedge_percent == 0:
        return
    if not core.policy.hedges:
        return
    due_ms = core.now_ms + hedge_delay_ms(owner, core)
    core.timers.arm(due_ms, HedgeTimer(attempt.attempt_id))


@on_dropped.register
def note_task_dropped(owner: Task, attempt: Attempt, reason: Reason, core) -> None:
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
def take_task_reply(owner: Task, attempt: Attempt, reply: Reply, core) -> None:
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


def take_partial(task: Task, attempt: Attempt, reply: Reply, core) -> None:
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
def take_task_failure(owner: Task, attempt: Attempt, failure: AttemptFailure, core) -> None:
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


def retry_task(task: Task, core) -> None:
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
