"""Completion of queries: coverage, merging of rows, and the answer to the caller."""

from ...actions import AnswerCaller
from ...failures import CoverageFailure, Executed, Failure, Reason
from ...models import Answer, Coverage, MissingShard
from ..interface import CoreInterface
from .plans import HardDeadlineTimer, Plan, SoftDeadlineTimer, Task


def fail_task(task: Task, reason: Reason, core: CoreInterface) -> None:
    """Give up on a shard and answer the query if that decides it."""
    if not task.is_open:
        return
    task.is_open = False
    task.reason = reason
    task.plan.open_count -= 1
    finish_if_decided(task.plan, core)


def finish_if_decided(plan: Plan, core: CoreInterface) -> None:
    """Answer a query whose outcome is decided, or which has enough shards at its soft deadline."""
    if plan.is_finished:
        return
    if plan.open_count == 0 or not plan.can_meet_minimum_coverage():
        finish_plan(plan, core)
        return
    if core.now_ms >= plan.soft_at_ms and plan.meets_minimum_coverage():
        finish_plan(plan, core)


def cancel_attempts(plan: Plan, core: CoreInterface) -> None:
    """Cancel all attempts of a plan that are still queued or in flight."""
    for task in plan.tasks.values():
        attempts, task.attempts = task.attempts, []
        for attempt in attempts:
            core.upstreams.cancel(attempt, core)


def finish_plan(plan: Plan, core: CoreInterface) -> None:
    """Answer the caller with the current results and cancel the remaining attempts."""
    if plan.is_finished:
        return
    answer = build_answer(plan, core)
    finish_with_answer(plan, answer, core)
    if isinstance(answer, Failure) and core.now_ms >= plan.hard_at_ms:
        shed_less_urgent(plan, core)


def finish_with_answer(plan: Plan, answer: Answer | Failure, core: CoreInterface) -> None:
    """Remove a plan, cancel its attempts and send the given answer to its caller."""
    plan.is_finished = True
    del core.plans[plan.request_id]
    cancel_attempts(plan, core)
    core.act(AnswerCaller(plan.request_id, answer))
    core.stopping.exit_if_idle(core)


def shed_less_urgent(plan: Plan, core: CoreInterface) -> None:
    """Raise a back end's minimum urgency and reject its unsent queries below that."""
    back_end = plan.query.back_end
    overload = core.overload_controller(back_end)
    overload.raise_min_urgency(plan.urgency, core.now_ms)
    for other in list(core.plans.values()):
        if other.query.back_end != back_end or other.was_sent:
            continue
        if not overload.rejects(other.urgency, core.now_ms):
            continue
        rejection = overload.build_rejection(core.now_ms)
        core.counters.add('refusals', rejection.reason.value)
        finish_with_answer(other, rejection, core)


def build_answer(plan: Plan, core: CoreInterface) -> Answer | Failure:
    """Build the answer from the coverage and the merged rows, or a failure."""
    coverage = build_coverage(plan)
    kind = 'complete' if coverage.complete else 'partial'
    if not plan.meets_minimum_coverage():
        core.counters.add('answers', 'failed')
        detail = f'{coverage.shards_answered} of {coverage.shards_total} shards answered'
        executed = Executed.UNKNOWN if plan.was_sent else Executed.NOT_RUN
        return CoverageFailure(coverage, executed, detail)
    core.counters.add('answers', kind)
    rows, truncated = merge_rows(plan)
    elapsed_ms = core.now_ms - plan.arrived_ms
    return Answer(plan.request_id, plan.snapshot, rows, truncated, coverage, elapsed_ms)


def build_coverage(plan: Plan) -> Coverage:
    """Return the coverage over all shards of the snapshot's map, with the missing shards."""
    missing = []
    for task in plan.tasks.values():
        if task.rows is not None:
            continue
        missing.append(MissingShard(task.shard.shard_id, task.reason))
    return Coverage(len(plan.tasks), plan.answered_count, missing)


def merge_rows(plan: Plan) -> tuple[list, bool]:
    """Return the shards' rows in key order up to the caller's limit, and whether any were cut."""
    rows = []
    for task in plan.tasks.values():
        rows.extend(task.rows or ())
    rows.sort(key=lambda row: row.key)
    limit = plan.query.limit
    return rows[:limit], len(rows) > limit


def fire_soft_deadline(timer: SoftDeadlineTimer, core: CoreInterface) -> None:
    """Answer a query at its soft deadline if it meets its minimum coverage."""
    plan = core.plans.get(timer.request_id)
    if plan is not None:
        finish_if_decided(plan, core)


def fire_hard_deadline(timer: HardDeadlineTimer, core: CoreInterface) -> None:
    """Answer a query at its hard deadline with the results it has."""
    plan = core.plans.get(timer.request_id)
    if plan is not None:
        finish_plan(plan, core)
