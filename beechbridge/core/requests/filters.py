"""
Admission filters that every query passes before its first sub-request.

A filter returns None to accept the query, or the failure to reject it with. No sub-request has
been sent at this point, so every rejection can safely be reported as `not_run`.
"""

from collections.abc import Callable

from ...actions import AnswerCaller
from ...events import QueryReceived
from ...failures import Failure, Reason, not_run
from ..interface import CoreInterface
from .endings import shed_less_urgent
from .fanout import start_plan
from .plans import Plan
from .suspects import check_quarantine

RETRY_AFTER_MS = 200
ADMISSION_MARGIN = 0.6
"""Share of a query's time to its deadline within which its shards must be expected to answer.

A query that is admitted but misses its deadline costs its upstreams as much as an answered one.
"""

LOW_URGENCY_SHARE = 0.75
"""Share of the limit of active queries that the least urgent classes may use."""


def check_identity(plan: Plan, core: CoreInterface) -> Failure | None:
    """Reject a query whose request identifier is in use."""
    if plan.request_id in core.plans:
        return not_run(Reason.DUPLICATE_REQUEST, 'a request with this identifier is running')
    return None


def check_readiness(plan: Plan, core: CoreInterface) -> Failure | None:
    """Reject queries before a configuration is loaded, after a pause, and at the end of a stop."""
    return core.reject_if_not_ready()


def check_rules(plan: Plan, core: CoreInterface) -> Failure | None:
    """Apply the deadlines and urgency of the query's class; reject an unsuitable class."""
    query = plan.query
    configuration = core.configuration.current
    rules = configuration.classes.get(query.query_class)
    if rules is None:
        known = ', '.join(sorted(configuration.classes))
        return not_run(Reason.UNKNOWN_CLASS, f'no class {query.query_class!r}; known: {known}')
    if query.back_end != rules.back_end:
        detail = f'class {query.query_class!r} queries back end {rules.back_end!r}'
        return not_run(Reason.UNKNOWN_BACK_END, detail)
    if not rules.idempotent:
        detail = f'class {query.query_class!r} is not idempotent; use a ticket'
        return not_run(Reason.NOT_IDEMPOTENT, detail)
    plan.apply_rules(rules)
    return None


def check_capacity(plan: Plan, core: CoreInterface) -> Failure | None:
    """
    Reject queries that are shed or exceed the limit of active queries.

    The limit is lower for less urgent classes.
    """
    if not core.policy.admits:
        return None
    overload = core.overload_controller(plan.query.back_end)
    if overload.rejects(plan.urgency, core.now_ms):
        return overload.build_rejection(core.now_ms)
    limit = core.limits.active_queries
    highest = highest_urgency(core)
    if plan.urgency < highest:
        spread = (1.0 - LOW_URGENCY_SHARE) * plan.urgency / highest
        limit = int(limit * (LOW_URGENCY_SHARE + spread))
    if len(core.plans) < limit:
        return None
    return not_run(Reason.OVERLOADED, f'{len(core.plans)} queries are active', RETRY_AFTER_MS)


def highest_urgency(core: CoreInterface) -> int:
    """Return the urgency of the most urgent idempotent class."""
    classes = core.configuration.current.classes.values()
    return max(rules.urgency for rules in classes if rules.idempotent)


def check_expected_latency(plan: Plan, core: CoreInterface) -> Failure | None:
    """Reject a query whose shards are not expected to answer in time for its coverage."""
    back_end = core.configuration.current.back_ends[plan.query.back_end]
    choice = core.snapshots.choose(back_end, plan.query.minimum_snapshot, core)
    if choice is None:
        return not_run(Reason.SNAPSHOT_NOT_YET, 'no shard map for this snapshot')
    if not core.policy.admits:
        return None
    # More urgent queries that arrive later are sent first, so a less urgent one needs more time
    # in reserve.
    margin = ADMISSION_MARGIN * plan.urgency / highest_urgency(core)
    hard_ms = margin * (plan.hard_at_ms - plan.arrived_ms)
    late_count = 0
    latest_ms = 0.0
    expected_by_service: dict[str, float] = {}
    for shard in choice.shard_map.shards:
        expected_ms = expected_by_service.get(shard.service)
        if expected_ms is None:
            expected_ms = estimate_latency_ms(plan, back_end.services[shard.service], core)
            expected_by_service[shard.service] = expected_ms
        if expected_ms <= hard_ms:
            continue
        late_count += 1
        latest_ms = max(latest_ms, expected_ms)
    total = len(choice.shard_map.shards)
    if total - late_count >= plan.rules.minimum_coverage * total and late_count < total:
        return None
    shed_less_urgent(plan, core)
    retry_after_ms = max(1, int(latest_ms - hard_ms))
    detail = f'{late_count} of {total} shards are expected to answer too late'
    return not_run(Reason.WOULD_BE_LATE, detail, retry_after_ms)


def estimate_latency_ms(plan: Plan, service, core: CoreInterface) -> float:
    """Return the expected latency of the service's best replica, or 0 if it is unknown."""
    best_ms = None
    for replica in service.replicas:
        state = core.upstreams.states.get(replica.replica_id)
        if state is None or state.is_draining:
            continue
        expected_ms = state.expected_ms(plan.urgency, core.now_ms)
        best_ms = expected_ms if best_ms is None else min(best_ms, expected_ms)
    return best_ms or 0.0


QUERY_FILTERS: tuple[Callable[[Plan, object], Failure | None], ...] = (
    check_identity,
    check_readiness,
    check_rules,
    check_quarantine,
    check_capacity,
    check_expected_latency,
)


def handle_query_received(event: QueryReceived, core: CoreInterface) -> None:
    """Run the admission filters, then start the query or reject it."""
    plan = Plan(event.request_id, event.query, core.now_ms)
    for query_filter in QUERY_FILTERS:
        failure = query_filter(plan, core)
        if failure is None:
            continue
        core.counters.add('refusals', failure.reason.value)
        core.act(AnswerCaller(event.request_id, failure))
        return
    core.counters.add('queries', plan.query.query_class)
    back_end = core.configuration.current.back_ends[plan.query.back_end]
    choice = core.snapshots.choose(back_end, plan.query.minimum_snapshot, core)
    start_plan(plan, choice, core)
