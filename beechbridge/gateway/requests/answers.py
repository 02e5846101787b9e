"""Final answers to callers: merged parts, a replica's reply or a failure, and their log lines."""

import heapq
from functools import singledispatch

from ...failures import Executed, Failure, Reason, not_run, unknown
from ..actions import AnswerRequest, WriteLine
from ..events import RequestReceived
from ..interface import GatewayInterface
from ..models import Answer, ForwardedAnswer, LinkFault, MergedAnswer, PartsAnswer, Reply
from .gather_timing import describe_timing
from .retry_times import (
    NO_REPLICA_RETRY_MS,
    defer_retry_ms,
    jitter_ms,
    retry_once_open_ms,
    service_opens_in_ms,
)
from .room_queue import describe_room, find_return_ms
from .suspicion import Verdict
from .work_estimates import describe_estimate
from .works import GatherWork, OrderedWork, SingleWork, Work

RECORD_BYTES = 16
DEADLINE_SLACK_MS = 2.0
"""A request that fails this close to its deadline is reported as having exceeded it."""

REJECTED_RETRY_MS = 300
STOPPED_RETRY_MS = 0
"""Retry-after time of a request whose VM exits: it has waited long enough."""

MAX_MISSING_LOGGED = 8
"""Limit on the missing shards named in a log line."""

REASON_BY_FAULT = {
    LinkFault.CONNECT_FAILED: Reason.CONNECT_FAILED,
    LinkFault.LOST: Reason.CONNECTION_LOST,
    LinkFault.MALFORMED: Reason.MISMATCHED,
    LinkFault.TIMED_OUT: Reason.NO_PROGRESS,
    LinkFault.OVERSIZED: Reason.TOO_LARGE,
    LinkFault.ABANDONED: Reason.CONNECTION_LOST,
}


@singledispatch
def build_answer(work: Work, gateway: GatewayInterface) -> Answer:
    """Return the final answer to a request."""
    raise TypeError(f'no answer builder for {type(work).__name__}')


@build_answer.register
def merge_parts(work: GatherWork, gateway: GatewayInterface) -> Answer:
    """Merge the parts that have arrived, or fail if there are too few."""
    if not work.meets_minimum_coverage():
        return explain_failure(work, gateway)
    replies = work.replies
    signatures = [reply.signature for reply in replies]
    body = merge_largest_records(replies, work.route.top_records)
    return MergedAnswer(body, signatures, len(work.tasks) - len(signatures))


@build_answer.register
def collect_parts(work: OrderedWork, gateway: GatewayInterface) -> Answer:
    """Return the merged parts, and run counts that show what may be retried at missing shards."""
    signatures = {}
    run_counts = {}
    tried = set()
    lost = set()
    for task in work.tasks:
        if task.reply is not None:
            signatures[task.service] = task.reply.signature
            continue
        run_counts[task.service] = task.run_count
        if task.delivery_count:
            tried.add(task.service)
        if task.fault is LinkFault.LOST and not work.is_vindicated:
            lost.add(task.service)
    body = merge_largest_records(work.replies, work.route.top_records)
    work_ms = gateway.now_ms - work.arrived_ms
    return PartsAnswer(signatures, run_counts, body, work_ms, frozenset(tried), frozenset(lost))


def merge_largest_records(replies: list[Reply], count: int) -> bytes:
    """
    Return the largest records of all replies in descending order.

    Trailing bytes that do not make up a record are ignored.
    """
    records = []
    for reply in replies:
        body = reply.body
        complete_bytes = len(body) - len(body) % RECORD_BYTES
        for start in range(0, complete_bytes, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    return b''.join(heapq.nlargest(count, records))


def trim_part(reply: Reply, count: int) -> None:
    """Keep only the records of a part that can be in the answer, which frees its memory."""
    if len(reply.body) > count * RECORD_BYTES:
        reply.body = merge_largest_records([reply], count)


@build_answer.register
def forward_reply(work: SingleWork, gateway: GatewayInterface) -> Answer:
    """Forward the replica's reply to the caller, even if it reports a failure."""
    task = work.tasks[0]
    reply = task.reply or task.failed_reply
    if reply is not None:
        return ForwardedAnswer(reply)
    return explain_failure(work, gateway)


def explain_failure(work: Work, gateway: GatewayInterface) -> Failure:
    """Return why there is no answer, and whether the request may have run."""
    total = len(work.tasks)
    detail = f'{work.answered_count} of {total} services answered'
    is_stopping = gateway.stopping.is_closed
    if not work.may_have_run:
        if is_stopping:
            detail = 'this VM exits before a replica has accepted the request'
            return not_run(Reason.STOPPING, detail, STOPPED_RETRY_MS)
        if gateway.reach.is_lost:
            detail = 'this VM reaches no replica, and no other VM has served the request'
            retry_after_ms = defer_retry_ms(work.request, NO_REPLICA_RETRY_MS)
            return not_run(Reason.UNREACHABLE, detail, jitter_ms(retry_after_ms, gateway))
        open_tasks = [task for task in work.tasks if task.reply is None]
        wait_ms = min(service_opens_in_ms(task, gateway) for task in open_tasks)
        retry_after_ms = retry_once_open_ms(wait_ms, REJECTED_RETRY_MS, work.request)
        retry_after_ms = jitter_ms(retry_after_ms, gateway)
        if wait_ms <= 0.0:
            retry_after_ms = find_return_ms(work, gateway) or retry_after_ms
        is_denied = any(task.is_denied for task in work.tasks)
        reason = Reason.REPLICAS_BUSY if is_denied else Reason.OVERLOADED
        return not_run(reason, f'{detail}, no replica accepted the request', retry_after_ms)
    if gateway.now_ms >= work.hard_at_ms - DEADLINE_SLACK_MS:
        return unknown(Reason.DEADLINE, detail)
    if is_stopping:
        return unknown(Reason.STOPPING, f'{detail}; this VM exits before the others have')
    if gateway.suspicions.judge(work.digest, gateway.now_ms) is Verdict.CONVICTED:
        return unknown(Reason.QUARANTINED, f'{detail}; replicas ended while they ran the request')
    reason = Reason.COVERAGE_TOO_LOW
    for task in work.tasks:
        if task.fault is not None:
            reason = REASON_BY_FAULT[task.fault]
    return unknown(reason, detail)


@singledispatch
def withhold_unproven(answer: Answer, work: Work) -> Answer:
    """Return an answer, or another one if it says without proof that nothing has run."""
    return answer


@withhold_unproven.register
def withhold_unproven_refusal(answer: ForwardedAnswer, work: Work) -> Answer:
    """
    Pass on a replica's refusal of a request that must not run twice only if it has not run.

    A replica says so apart from the status, which its own work may also end with. The caller sees
    only the status, and would send the request again.
    """
    reply = answer.reply
    if work.route.is_idempotent or not reply.is_unproven_refusal:
        return answer
    detail = f'the replica answered {reply.status}, but not that the request has not run'
    return unknown(Reason.UPSTREAM_ERROR, detail)


def is_refusal(answer: Answer) -> bool:
    """Return whether an answer says that nothing has run."""
    return isinstance(answer, Failure) and answer.executed is Executed.NOT_RUN


@singledispatch
def record_end(work: Work, answer: Answer, gateway: GatewayInterface) -> None:
    """Record the latency and outcome of a request, and log its end."""
    gateway.request_latencies.add(gateway.now_ms - work.arrived_ms)
    fields = describe_work(work, gateway)
    outcome = describe_outcome(answer, fields)
    gateway.counters.add('answers', outcome)
    gateway.act(WriteLine('request_ended', {'outcome': outcome, **fields}))


@record_end.register
def log_order_end(work: OrderedWork, answer: Answer, gateway: GatewayInterface) -> None:
    """Log the end of an order."""
    gateway.act(WriteLine('order_ended', describe_work(work, gateway)))


def describe_work(work: Work, gateway: GatewayInterface) -> dict:
    """Return the log fields that describe a finished request."""
    fields = {
        'request': work.request.request_id,
        'digest': work.digest,
        'route': work.route.name,
        'table': work.table_version,
        'ms': round(gateway.now_ms - work.arrived_ms, 1),
        'goal_ms': work.route.objective_ms,
        'patience_ms': work.request.timeout_ms,
        'parts': work.answered_count,
        'shards': len(work.tasks),
        'repeats': work.extra_count,
        'orders': len(work.orders),
    }
    fields |= describe_timing(work, gateway) | describe_room(work, gateway)
    if work.relay_targets:
        fields['relayed_to'] = sorted(work.relay_targets)
    if work.is_from_vm:
        fields['is_relayed'] = True
    missing = []
    for task in work.tasks:
        if task.reply is None and not work.relay_targets:
            cause = task.fault.value if task.fault else 'no_reply'
            missing.append(f'{task.service}:{cause}:{task.run_count}')
    if missing:
        fields['missing'] = missing[:MAX_MISSING_LOGGED]
    fields.update(describe_estimate(work))
    return fields


@singledispatch
def describe_outcome(answer: Answer, fields: dict) -> str:
    """Return the outcome label of an answer, and add details to the log fields."""
    raise TypeError(f'no outcome label for {type(answer).__name__}')


@describe_outcome.register
def describe_merged(answer: MergedAnswer, fields: dict) -> str:
    """Distinguish complete from partial answers."""
    return 'partial' if answer.missing_count else 'whole'


@describe_outcome.register
def describe_forwarded(answer: ForwardedAnswer, fields: dict) -> str:
    """Distinguish successful replies from those that report a failure of the replica."""
    fields['status'] = answer.reply.status
    return 'passed' if answer.reply.is_success else 'replica_failed'


@describe_outcome.register
def describe_failure(answer: Failure, fields: dict) -> str:
    """Distinguish rejections, where nothing ran, from failures."""
    fields['reason'] = answer.reason.value
    fields['detail'] = answer.detail
    return 'refused' if answer.executed is Executed.NOT_RUN else 'failed'


def reject_request(
    event: RequestReceived, work: Work | None, failure: Failure, gateway: GatewayInterface
) -> None:
    """Reject a request for which nothing was sent to a replica."""
    if failure.retry_after_ms is not None:
        failure.retry_after_ms = jitter_ms(failure.retry_after_ms, gateway)
    gateway.act(AnswerRequest(event.key, failure))
    gateway.counters.add('answers', 'refused')
    gateway.counters.add('refusals', failure.reason.value)
    fields = {
        'outcome': 'refused',
        'request': event.request.request_id,
        'digest': work.digest if work else None,
        'route': work.route.name if work else None,
        'table': gateway.table.version if gateway.table else None,
        'reason': failure.reason.value,
        'detail': failure.detail,
        'retry_after_ms': failure.retry_after_ms,
    }
    gateway.act(WriteLine('request_ended', fields))
