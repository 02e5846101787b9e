"""Final answers: merged parts, a replica's own answer, or why there is none; and their lines."""

import heapq
from functools import singledispatch

from ...failures import Executed, Failure, Reason, not_run, unknown
from ..actions import AnswerRequest, WriteLine
from ..events import RequestReceived
from ..models import Answer, ForwardedAnswer, LinkFault, MergedAnswer, PartsAnswer, Reply
from ..surface import GatewaySurface
from .sending import abort_exchange
from .works import GatherWork, OrderedWork, SingleWork, Work

RECORD_BYTES = 16
DEADLINE_SLACK_MS = 2.0
"""Time before a deadline from which it counts as the cause of a failure."""

REJECTED_RETRY_MS = 300
RETRY_JITTER = (0.7, 1.3)
"""Factors between which times to come back are spread."""

MAX_MISSING_LOGGED = 8
"""Missing shards that a log line names."""

REASON_BY_FAULT = {
    LinkFault.CONNECT_FAILED: Reason.CONNECT_FAILED,
    LinkFault.LOST: Reason.CONNECTION_LOST,
    LinkFault.MALFORMED: Reason.MISMATCHED,
    LinkFault.TIMED_OUT: Reason.NO_PROGRESS,
}


@singledispatch
def build_answer(work: Work, gateway: GatewaySurface) -> Answer:
    """Return the answer that a work has come to."""
    raise TypeError(f'no answer for {type(work).__name__}')


@build_answer.register
def merge_parts(work: GatherWork, gateway: GatewaySurface) -> Answer:
    """Merge the parts that are in, if they are enough."""
    if not work.has_enough():
        return explain_failure(work, gateway)
    replies = work.replies
    signatures = [reply.signature for reply in replies]
    body = merge_largest_records(replies, work.route.top_records)
    return MergedAnswer(body, signatures, len(work.tasks) - len(signatures))


@build_answer.register
def collect_parts(work: OrderedWork, gateway: GatewaySurface) -> Answer:
    """Return what is in for the VM that asked, and what it may still try."""
    signatures = {}
    run_counts = {}
    for task in work.tasks:
        if task.reply is not None:
            signatures[task.service] = task.reply.signature
            continue
        run_counts[task.service] = task.run_count
    body = merge_largest_records(work.replies, work.route.top_records)
    return PartsAnswer(signatures, run_counts, body, gateway.now_ms - work.arrived_ms)


def merge_largest_records(replies: list[Reply], count: int) -> bytes:
    """Return the greatest records of some replies, falling; a shorter rest is no record."""
    records = []
    for reply in replies:
        body = reply.body
        whole_bytes = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole_bytes, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    return b''.join(heapq.nlargest(count, records))


@build_answer.register
def forward_reply(work: SingleWork, gateway: GatewaySurface) -> Answer:
    """Pass a replica's own answer on, a failure of its own too."""
    task = work.tasks[0]
    reply = task.reply or task.failed_reply
    if reply is not None:
        return ForwardedAnswer(reply)
    return explain_failure(work, gateway)


def explain_failure(work: Work, gateway: GatewaySurface) -> Failure:
    """Return why there is no answer, and whether the request may have run."""
    total = len(work.tasks)
    detail = f'{work.answered_count} of {total} services answered'
    if not work.may_have_run:
        # Nothing has left this VM yet, and by this nothing will.
        for exchange in work.in_flight():
            abort_exchange(exchange, gateway)
        retry_after_ms = jitter_ms(REJECTED_RETRY_MS, gateway)
        return not_run(Reason.OVERLOADED, f'{detail}, no replica took it', retry_after_ms)
    if gateway.now_ms >= work.hard_at_ms - DEADLINE_SLACK_MS:
        return unknown(Reason.DEADLINE, detail)
    reason = Reason.COVERAGE_TOO_LOW
    for task in work.tasks:
        if task.fault is not None:
            reason = REASON_BY_FAULT[task.fault]
    return unknown(reason, detail)


@singledispatch
def record_end(work: Work, answer: Answer, gateway: GatewaySurface) -> None:
    """Measure a request and write the line of its end."""
    gateway.request_latencies.add(gateway.now_ms - work.arrived_ms)
    fields = describe_work(work, gateway)
    outcome = describe_outcome(answer, fields)
    gateway.counters.add('answers', outcome)
    gateway.act(WriteLine('request_ended', {'outcome': outcome, **fields}))


@record_end.register
def log_order_end(work: OrderedWork, answer: Answer, gateway: GatewaySurface) -> None:
    """Write the line of an order's end."""
    gateway.act(WriteLine('order_ended', describe_work(work, gateway)))


def describe_work(work: Work, gateway: GatewaySurface) -> dict:
    """Return what explains the end of a work."""
    fields = {
        'request': work.request.request_id,
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
    missing = []
    for task in work.tasks:
        if task.reply is None:
            cause = task.fault.value if task.fault else 'no_reply'
            missing.append(f'{task.service}:{cause}:{task.run_count}')
    if missing:
        fields['missing'] = missing[:MAX_MISSING_LOGGED]
    return fields


@singledispatch
def describe_outcome(answer: Answer, fields: dict) -> str:
    """Return a word for an answer; add what explains it to a line's fields."""
    raise TypeError(f'no word for {type(answer).__name__}')


@describe_outcome.register
def describe_merged(answer: MergedAnswer, fields: dict) -> str:
    """Tell a whole answer from a partial one."""
    return 'partial' if answer.missing_count else 'whole'


@describe_outcome.register
def describe_forwarded(answer: ForwardedAnswer, fields: dict) -> str:
    """Tell a replica's success from its failure."""
    fields['status'] = answer.reply.status
    return 'passed' if answer.reply.is_success else 'replica_failed'


@describe_outcome.register
def describe_failure(answer: Failure, fields: dict) -> str:
    """Tell a refusal from a failure."""
    fields['reason'] = answer.reason.value
    fields['detail'] = answer.detail
    return 'refused' if answer.executed is Executed.NOT_RUN else 'failed'


def jitter_ms(retry_after_ms: int, gateway: GatewaySurface) -> int:
    """Return a time to come back at which not all callers come at once."""
    return round(retry_after_ms * gateway.rng.uniform(*RETRY_JITTER))


def refuse_request(
    event: RequestReceived, work: Work | None, failure: Failure, gateway: GatewaySurface
) -> None:
    """Answer a request that nothing was sent for."""
    if failure.retry_after_ms is not None:
        failure.retry_after_ms = jitter_ms(failure.retry_after_ms, gateway)
    gateway.act(AnswerRequest(event.key, failure))
    gateway.counters.add('answers', 'refused')
    gateway.counters.add('refusals', failure.reason.value)
    fields = {
        'outcome': 'refused',
        'request': event.request.request_id,
        'route': work.route.name if work else None,
        'table': gateway.table.version if gateway.table else None,
        'reason': failure.reason.value,
        'detail': failure.detail,
        'retry_after_ms': failure.retry_after_ms,
    }
    gateway.act(WriteLine('request_ended', fields))
