"""Progress of requests: replies, failures, hedges, and the final answers."""

import heapq
from functools import singledispatch

from ...failures import Executed, Failure, Reason, not_run, unknown
from ..actions import AnswerRequest, DropConnection, WriteLine
from ..events import CallerAsked, CallerLeft, ConnectionEnded, ExchangeEnded, RequestSent
from ..models import Answer, LinkFailure, LinkFault, MergedAnswer, PassedAnswer, Reply
from ..replicas.upstreams import Exchange, ReplicaState
from ..surface import GatewaySurface
from .sending import ask, drop_exchange, end_exchange
from .works import CheckTimer, DeadlineTimer, GatherWork, SingleWork, Task, Work

RECORD_BYTES = 16
HEDGE_FACTOR = 2.0
"""Multiple of the usual latency after which a second replica is asked."""

HEDGE_BASE_MS = 6.0
HEDGE_SCARCITY = 4.0
"""How much later hedges go out while less than half of the budget is left."""

SINGLE_HEDGE_FACTOR = 2.5
HEDGE_RETRY_MS = 15.0
"""Time after which a hedge that could not be sent is tried again."""

SUSPECT_WAIT_FACTOR = 2.0
"""Multiple of the usual latency for which a shard is waited for whose replicas are all suspect."""

LEAST_CHECK_MS = 2.0
REJECTED_RETRY_MS = 300
RETRY_SPREAD = (0.7, 1.3)
"""Factors between which times to come back are spread."""

EXCHANGE_SLACK_MS = 300.0
"""Time past an exchange's deadline after which its connection counts as silent."""

LOST_FAULTS = {
    LinkFault.CONNECT_FAILED: Reason.CONNECT_FAILED,
    LinkFault.LOST: Reason.CONNECTION_LOST,
    LinkFault.MALFORMED: Reason.MISMATCHED,
    LinkFault.TIMED_OUT: Reason.NO_PROGRESS,
}


def handle_exchange_ended(event: ExchangeEnded, gateway: GatewaySurface) -> None:
    """Take the end of an exchange with a replica."""
    exchange = gateway.upstreams.exchanges.get(event.exchange_id)
    if exchange is None:
        return
    if isinstance(event.result, LinkFailure):
        take_link_failure(exchange, event.result, gateway)
        return
    take_reply(exchange, event.result, gateway)


def handle_request_sent(event: RequestSent, gateway: GatewaySurface) -> None:
    """Note that a replica may work on a request from now on."""
    exchange = gateway.upstreams.exchanges.get(event.exchange_id)
    if exchange is not None:
        exchange.was_sent = True


def take_link_failure(exchange: Exchange, failure: LinkFailure, gateway: GatewaySurface) -> None:
    """Learn from a failed exchange; ask elsewhere where that is allowed."""
    task = exchange.task
    state = exchange.replica
    gateway.counters.add('exchange_failures', failure.fault.value)
    if not failure.was_sent:
        task.arrival_count -= 1
        task.run_count -= 1
    if exchange.is_new or failure.fault is LinkFault.TIMED_OUT:
        suspect_replica(state, failure.fault.value, gateway)
    task.add_to_avoid(state)
    task.fault = failure.fault
    end_exchange(exchange, gateway, is_reusable=False)
    if not exchange.is_abandoned:
        go_on(task, gateway, may_repeat=not failure.was_sent or task.work.route.is_idempotent)


def suspect_replica(state: ReplicaState, cause: str, gateway: GatewaySurface) -> None:
    """Avoid a replica for a while."""
    if not state.suspect(gateway.now_ms):
        return
    fields = {'replica': state.entry.replica_id, 'service': state.entry.service}
    gateway.act(
        WriteLine('replica_suspected', {**fields, 'cause': cause, 'for_ms': state.suspicion_ms})
    )


def take_reply(exchange: Exchange, reply: Reply, gateway: GatewaySurface) -> None:
    """Take a whole reply of a replica."""
    task = exchange.task
    work = task.work
    state = exchange.replica
    now_ms = gateway.now_ms
    latency_ms = now_ms - exchange.sent_ms
    is_match = reply.request_id == work.request.request_id
    is_reusable = not reply.is_closing and is_match
    if reply.is_other_instance:
        gateway.forget_replica(state, 'another replica has its address')
    if reply.is_rejected:
        task.run_count -= 1
        state.note_rejection(True, now_ms)
        gateway.counters.add('rejections', str(reply.status))
    elif reply.is_success and is_match:
        usual_ms = gateway.upstreams.usual_ms(work.route.name, state.distance)
        state.note_latency(latency_ms, usual_ms, now_ms)
        state.note_rejection(False, now_ms)
        gateway.upstreams.note_usual(work.route.name, state.distance, latency_ms)
        gateway.latencies.add(latency_ms)
    elif not reply.is_success:
        state.note_rejection(True, now_ms)
        gateway.counters.add('replica_errors', str(reply.status))
    end_exchange(exchange, gateway, is_reusable, reply.keep_alive_ms)
    if exchange.is_abandoned or not task.is_open or work.is_finished:
        return
    if reply.is_success and is_match:
        task.reply = reply
        close_task(task, gateway)
        return
    task.add_to_avoid(state)
    if reply.is_rejected:
        go_on(task, gateway, may_repeat=True)
        return
    if not is_match or reply.is_encoded or 200 <= reply.status < 300:
        task.fault = LinkFault.MALFORMED
    else:
        task.failed_reply = reply
    go_on(task, gateway, may_repeat=work.route.is_idempotent)


def go_on(task: Task, gateway: GatewaySurface, may_repeat: bool) -> None:
    """Ask elsewhere after a failure, or end the task if nothing else is under way."""
    if not task.is_open or task.work.is_finished:
        return
    if may_repeat:
        ask(task, gateway)
    if not task.exchanges and not task.is_waiting:
        close_task(task, gateway)


def close_task(task: Task, gateway: GatewaySurface) -> None:
    """End a task with its reply or without."""
    if not task.is_open:
        return
    task.is_open = False
    work = task.work
    work.open_count -= 1
    if task.reply is not None:
        work.answered_count += 1
    for exchange in task.exchanges:
        exchange.is_abandoned = True
    on_task_closed(work, gateway)


@singledispatch
def on_task_closed(work: Work, gateway: GatewaySurface) -> None:
    """Act on the end of one of a work's tasks."""
    raise TypeError(f'no rule for {type(work).__name__}')


@on_task_closed.register
def check_gather(work: GatherWork, gateway: GatewaySurface) -> None:
    """Answer a gather once waiting for more no longer helps its caller."""
    if work.is_finished:
        return
    if not work.open_count or not work.can_have_enough():
        answer_work(work, gateway)
        return
    if not work.has_enough():
        return
    if gateway.now_ms >= work.soft_at_ms or not is_worth_waiting(work, gateway):
        answer_work(work, gateway)


def has_sound_replica(task: Task, gateway: GatewaySurface) -> bool:
    """Tell whether a replica that was not asked yet is free of suspicion."""
    for state in gateway.upstreams.usable(task.service):
        if id(state) not in task.avoid and not state.is_suspect(gateway.now_ms):
            return True
    return False


def is_worth_waiting(work: GatherWork, gateway: GatewaySurface) -> bool:
    """Tell whether an open shard has a replica that may still answer."""
    now_ms = gateway.now_ms
    for task in work.tasks:
        if not task.is_open:
            continue
        for state in gateway.upstreams.usable(task.service):
            if not state.is_suspect(now_ms):
                return True
        for exchange in task.exchanges:
            usual_ms = gateway.upstreams.usual_ms(work.route.name, exchange.replica.distance)
            if now_ms - exchange.sent_ms < SUSPECT_WAIT_FACTOR * usual_ms:
                return True
    return False


@on_task_closed.register
def check_single(work: SingleWork, gateway: GatewaySurface) -> None:
    """Answer a request with the end of its only task."""
    answer_work(work, gateway)


def answer_work(work: Work, gateway: GatewaySurface) -> None:
    """Give the final answer and stop waiting for anything else."""
    if work.is_finished:
        return
    work.is_finished = True
    gateway.works.pop(work.key, None)
    answer = build_answer(work, gateway)
    for exchange in work.exchanges:
        exchange.is_abandoned = True
    gateway.act(AnswerRequest(work.key, answer))
    gateway.request_latencies.add(gateway.now_ms - work.arrived_ms)
    log_answer(work, answer, gateway)


@singledispatch
def build_answer(work: Work, gateway: GatewaySurface) -> Answer:
    """Return the answer that a work has come to."""
    raise TypeError(f'no answer for {type(work).__name__}')


@build_answer.register
def merge_parts(work: GatherWork, gateway: GatewaySurface) -> Answer:
    """Merge the parts that are in, if they are enough."""
    if not work.has_enough():
        return explain_failure(work, gateway)
    records = []
    signatures = []
    for task in work.tasks:
        if task.reply is None:
            continue
        signatures.append(task.reply.signature)
        body = task.reply.body
        whole_bytes = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole_bytes, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    greatest = heapq.nlargest(work.route.top_records, records)
    return MergedAnswer(b''.join(greatest), signatures, len(work.tasks) - len(signatures))


@build_answer.register
def pass_reply(work: SingleWork, gateway: GatewaySurface) -> Answer:
    """Pass a replica's own answer on, a failure of its own too."""
    task = work.tasks[0]
    reply = task.reply or task.failed_reply
    if reply is not None:
        return PassedAnswer(reply)
    return explain_failure(work, gateway)


def explain_failure(work: Work, gateway: GatewaySurface) -> Failure:
    """Return why there is no answer, and whether the request may have run."""
    total = len(work.tasks)
    detail = f'{work.answered_count} of {total} services answered'
    if not work.may_have_run:
        # Nothing has left this VM yet, and by this nothing will.
        for exchange in work.under_way():
            drop_exchange(exchange, gateway)
        retry_after_ms = spread_ms(REJECTED_RETRY_MS, gateway)
        return not_run(Reason.OVERLOADED, f'{detail}, no replica took it', retry_after_ms)
    if gateway.now_ms >= work.hard_at_ms - LEAST_CHECK_MS:
        return unknown(Reason.DEADLINE, detail)
    reason = Reason.COVERAGE_TOO_LOW
    for task in work.tasks:
        if task.fault is not None:
            reason = LOST_FAULTS[task.fault]
    return unknown(reason, detail)


def log_answer(work: Work, answer: Answer, gateway: GatewaySurface) -> None:
    """Write the line of a request's end."""
    fields = {
        'request': work.request.request_id,
        'route': work.route.name,
        'table': work.table_version,
        'ms': round(gateway.now_ms - work.arrived_ms, 1),
        'goal_ms': work.route.goal_ms,
        'patience_ms': work.request.patience_ms,
        'parts': work.answered_count,
        'shards': len(work.tasks),
        'repeats': work.repeat_count,
    }
    missing = []
    for task in work.tasks:
        if task.reply is None:
            cause = task.fault.value if task.fault else 'no_reply'
            missing.append(f'{task.service}:{cause}:{task.run_count}')
    if missing:
        fields['missing'] = missing[:8]
    outcome = describe_outcome(answer, fields)
    gateway.counters.add('answers', outcome)
    gateway.act(WriteLine('request_ended', {'outcome': outcome, **fields}))


@singledispatch
def describe_outcome(answer: Answer, fields: dict) -> str:
    """Return a word for an answer; add what explains it to a line's fields."""
    raise TypeError(f'no word for {type(answer).__name__}')


@describe_outcome.register
def describe_merged(answer: MergedAnswer, fields: dict) -> str:
    """Tell a whole answer from a partial one."""
    return 'partial' if answer.missing_count else 'whole'


@describe_outcome.register
def describe_passed(answer: PassedAnswer, fields: dict) -> str:
    """Tell a replica's success from its failure."""
    fields['status'] = answer.reply.status
    return 'passed' if answer.reply.is_success else 'replica_failed'


@describe_outcome.register
def describe_failure(answer: Failure, fields: dict) -> str:
    """Tell a refusal from a failure."""
    fields['reason'] = answer.reason.value
    fields['detail'] = answer.detail
    return 'refused' if answer.executed is Executed.NOT_RUN else 'failed'


def spread_ms(retry_after_ms: int, gateway: GatewaySurface) -> int:
    """Return a time to come back at which not all callers come at once."""
    return round(retry_after_ms * gateway.rng.uniform(*RETRY_SPREAD))


def refuse_request(
    event: CallerAsked, work: Work | None, failure: Failure, gateway: GatewaySurface
) -> None:
    """Answer a request that nothing was sent for."""
    if failure.retry_after_ms is not None:
        failure.retry_after_ms = spread_ms(failure.retry_after_ms, gateway)
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


def hedge_delay_ms(work: Work, exchange: Exchange, gateway: GatewaySurface) -> float:
    """Return the age from which an exchange's task is also asked elsewhere."""
    usual_ms = gateway.upstreams.usual_ms(work.route.name, exchange.replica.distance)
    factor = HEDGE_FACTOR if work.route.is_gather else SINGLE_HEDGE_FACTOR
    delay_ms = factor * usual_ms + HEDGE_BASE_MS
    left_share = gateway.budget(exchange.task.service).left_share(
        gateway.budget_share(), gateway.now_ms
    )
    if left_share < 0.5:
        delay_ms *= 1.0 + HEDGE_SCARCITY * (0.5 - left_share)
    return delay_ms


def fire_check(timer: CheckTimer, gateway: GatewaySurface) -> None:
    """Hedge what is late; answer with what is in once the answer would lose its value."""
    work = gateway.works.get(timer.key)
    if work is None:
        return
    now_ms = gateway.now_ms
    next_ms = work.hard_at_ms
    if now_ms < work.soft_at_ms:
        next_ms = work.soft_at_ms
    if isinstance(work, GatherWork):
        check_gather(work, gateway)
        if work.is_finished:
            return
    if work.route.is_idempotent:
        for task in work.tasks:
            if not task.is_open or len(task.exchanges) != 1:
                continue
            exchange = task.exchanges[0]
            due_ms = exchange.sent_ms + hedge_delay_ms(work, exchange, gateway)
            if due_ms > now_ms:
                next_ms = min(next_ms, due_ms)
                continue
            task.avoid.add(id(exchange.replica))
            if not has_sound_replica(task, gateway):
                continue
            if ask(task, gateway, is_extra=True):
                work.hedge_count += 1
                gateway.counters.add('hedges')
                continue
            next_ms = min(next_ms, now_ms + HEDGE_RETRY_MS)
    if isinstance(work, GatherWork) and work.has_enough():
        next_ms = min(next_ms, now_ms + HEDGE_RETRY_MS)
    next_ms = max(next_ms, now_ms + LEAST_CHECK_MS)
    if next_ms < work.hard_at_ms:
        gateway.timers.arm(next_ms, CheckTimer(work.key))


def fire_deadline(timer: DeadlineTimer, gateway: GatewaySurface) -> None:
    """Answer a work whose time is over."""
    work = gateway.works.get(timer.key)
    if work is not None:
        answer_work(work, gateway)


def handle_caller_left(event: CallerLeft, gateway: GatewaySurface) -> None:
    """Stop the work of a caller that is gone, where it may be stopped."""
    work = gateway.works.pop(event.key, None)
    if work is None:
        return
    work.is_finished = True
    gateway.counters.add('callers_left')
    stopped_count = 0
    for exchange in work.exchanges:
        exchange.is_abandoned = True
        if work.route.is_idempotent and exchange.exchange_id in gateway.upstreams.exchanges:
            drop_exchange(exchange, gateway)
            stopped_count += 1
    fields = {
        'request': work.request.request_id,
        'route': work.route.name,
        'ms': round(gateway.now_ms - work.arrived_ms, 1),
        'stopped': stopped_count,
    }
    gateway.act(WriteLine('caller_left', fields))


def handle_connection_ended(event: ConnectionEnded, gateway: GatewaySurface) -> None:
    """Forget an idle connection that is no longer open."""
    for state in gateway.upstreams.by_id.values():
        for connection in state.idle:
            if connection.connection_id == event.connection_id:
                state.idle.remove(connection)
                gateway.act(DropConnection(event.connection_id))
                return


def sweep_exchanges(gateway: GatewaySurface) -> None:
    """End the exchanges whose replica stayed silent past their deadline."""
    now_ms = gateway.now_ms
    for exchange in list(gateway.upstreams.exchanges.values()):
        if now_ms < exchange.task.work.hard_at_ms + EXCHANGE_SLACK_MS:
            continue
        failure = LinkFailure(LinkFault.TIMED_OUT, was_sent=True)
        take_link_failure(exchange, failure, gateway)
