"""How a query ends: coverage, merge, and the answer to its caller."""

from ...actions import AnswerCaller
from ...failures import CoverageFailure, Executed, Failure, Reason
from ...models import Answer, Coverage, MissingShard
from ..surface import CoreSurface
from .plans import HardDeadlineTimer, Plan, SoftDeadlineTimer, Task


def fail_task(task: Task, reason: Reason, core: CoreSurface) -> None:
    """Give a shard up; answer at once where that decides the query."""
    if not task.is_open:
        return
    task.is_open = False
    task.reason = reason
    task.plan.open_count -= 1
    check_plan(task.plan, core)


def check_plan(plan: Plan, core: CoreSurface) -> None:
    """Answer a query as soon as nothing can change the answer any more."""
    if plan.is_finished:
        return
    if plan.open_count == 0 or not plan.can_have_enough():
        finish_plan(plan, core)
        return
    if core.now_ms >= plan.soft_at_ms and plan.has_enough():
        finish_plan(plan, core)


def cancel_attempts(plan: Plan, core: CoreSurface) -> None:
    """Cancel what a plan still waits for."""
    for task in plan.tasks.values():
        attempts, task.attempts = task.attempts, []
        for attempt in attempts:
            core.upstreams.cancel(attempt, core)


def finish_plan(plan: Plan, core: CoreSurface) -> None:
    """Give the caller the answer and end all that still runs for it."""
    if plan.is_finished:
        return
    answer = build_answer(plan, core)
    end_plan(plan, answer, core)
    if isinstance(answer, Failure) and core.now_ms >= plan.hard_at_ms:
        note_shortage(plan, core)


def end_plan(plan: Plan, answer: Answer | Failure, core: CoreSurface) -> None:
    """Take a plan out and answer its caller."""
    plan.is_finished = True
    del core.plans[plan.request_id]
    cancel_attempts(plan, core)
    core.act(AnswerCaller(plan.request_id, answer))
    core.stopping.check(core)


def note_shortage(plan: Plan, core: CoreSurface) -> None:
    """Raise the floor of a back end's urgencies, and refuse what waits below it unsent."""
    back_end = plan.query.back_end
    overload = core.overload_of(back_end)
    overload.note_shortage(plan.urgency, core.now_ms)
    for other in list(core.plans.values()):
        if other.query.back_end != back_end or other.was_sent:
            continue
        if not overload.refuses(other.urgency, core.now_ms):
            continue
        refusal = overload.refusal(core.now_ms)
        core.counters.add('refusals', refusal.reason.value)
        end_plan(other, refusal, core)


def build_answer(plan: Plan, core: CoreSurface) -> Answer | Failure:
    """Run the answer filters."""
    coverage = state_coverage(plan)
    kind = 'complete' if coverage.complete else 'partial'
    if not plan.has_enough():
        core.counters.add('answers', 'failed')
        detail = f'{coverage.shards_answered} of {coverage.shards_total} shards answered'
        executed = Executed.UNKNOWN if plan.was_sent else Executed.NOT_RUN
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


def fire_soft_deadline(timer: SoftDeadlineTimer, core: CoreSurface) -> None:
    """Answer with what is there if that is enough."""
    plan = core.plans.get(timer.request_id)
    if plan is not None:
        check_plan(plan, core)


def fire_hard_deadline(timer: HardDeadlineTimer, core: CoreSurface) -> None:
    """Answer in any case."""
    plan = core.plans.get(timer.request_id)
    if plan is not None:
        finish_plan(plan, core)
