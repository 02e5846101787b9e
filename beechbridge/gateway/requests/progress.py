"""Progress of requests: handles replies and failures, and decides when a request is finished."""

from functools import singledispatch

from ..actions import AnswerRequest, WriteLine
from ..events import CallerDisconnected, ConnectionEnded, ExchangeEnded, RequestSent
from ..interface import GatewayInterface
from ..models import Answer, LinkFailure, LinkFault, PartsReply, RelayReply, Reply
from ..replicas.cold_limits import apply_cold_reply
from ..replicas.connections import Exchange
from ..replicas.limits import is_available, start_bucket
from ..replicas.notices import apply_notice
from ..replicas.upstreams import AGGREGATOR_DISTANCE, ReplicaState
from .answers import build_answer, is_refusal, record_end, trim_part, withhold_unproven
from .candidates import list_usable
from .evidence import REFUSED, acquit, confirm_end, record_loss
from .gather_timing import find_due_ms, is_due
from .room_queue import record_rejection, record_reply
from .sending import abandon_exchange, abort_exchange, dispatch_task, end_exchange
from .withdrawal import settle_withdrawal, withdraw_unsent
from .work_estimates import learn_reply, usual_latency_ms
from .works import CanaryTimer, DeadlineTimer, GatherWork, RetryTimer, SingleWork, Task, Work

SUSPECT_WAIT_FACTOR = 2.0
"""Multiple of the typical latency to wait for a shard whose replicas are all suspect."""

EXCHANGE_SLACK_MS = 300.0
"""Time past its request's hard deadline after which an exchange is ended as timed out."""


def handle_exchange_ended(event: ExchangeEnded, gateway: GatewayInterface) -> None:
    """Handle the end of an exchange with a replica or another VM."""
    exchange = gateway.upstreams.exchanges.get(event.exchange_id)
    if exchange is None:
        return
    if isinstance(event.result, LinkFailure):
        handle_failure(exchange.owner, exchange, event.result, gateway)
    else:
        handle_result(exchange.owner, exchange, event.result, gateway)
    settle_withdrawal(exchange.owner.work, gateway)


def handle_request_sent(event: RequestSent, gateway: GatewayInterface) -> None:
    """Record that a replica may be processing a request from now on."""
    exchange = gateway.upstreams.exchanges.get(event.exchange_id)
    if exchange is None or exchange.was_sent:
        return
    exchange.was_sent = True
    if exchange.replica.distance != AGGREGATOR_DISTANCE:
        gateway.reach.record_connection(gateway.now_ms)
    settle_withdrawal(exchange.owner.work, gateway)


@singledispatch
def handle_failure(
    owner: object, exchange: Exchange, failure: LinkFailure, gateway: GatewayInterface
) -> None:
    """Handle an exchange that ended without a complete reply."""
    raise TypeError(f'no failure handler for {type(owner).__name__}')


@singledispatch
def handle_result(
    owner: object,
    exchange: Exchange,
    result: Reply | PartsReply | RelayReply,
    gateway: GatewayInterface,
) -> None:
    """Handle a complete reply."""
    raise TypeError(f'no result handler for {type(owner).__name__}')


@handle_failure.register
def handle_task_failure(
    owner: Task, exchange: Exchange, failure: LinkFailure, gateway: GatewayInterface
) -> None:
    """Handle a failed exchange with a replica; retry elsewhere if that is allowed."""
    task = owner
    state = exchange.replica
    gateway.counters.add('exchange_failures', failure.fault.value)
    gateway.reach.record_failure(exchange, failure.fault, gateway.now_ms)
    if not failure.was_sent:
        task.delivery_count -= 1
        task.run_count -= 1
    if failure.is_refused:
        confirm_end(state, REFUSED, gateway)
    if failure.was_sent and failure.fault is LinkFault.LOST:
        handle_loss(exchange, gateway)
    elif failure.fault in (LinkFault.MALFORMED, LinkFault.OVERSIZED):
        vindicate(task.work, gateway)
    if is_suspicious(exchange, failure.fault):
        suspect_replica(state, failure.fault.value, gateway)
    task.exclude_replica(state)
    task.fault = failure.fault
    end_exchange(exchange, gateway, is_reusable=False)
    if not exchange.is_abandoned:
        resume_task(task, gateway, may_retry=not failure.was_sent or task.work.route.is_idempotent)
    wake_held(task.work, gateway)


def handle_loss(exchange: Exchange, gateway: GatewayInterface) -> None:
    """Handle a loss after a request had been sent: its replica may have ended because of it."""
    task = exchange.owner
    work = task.work
    record_loss(exchange, gateway)
    work.has_losses = True
    if work.trial_task is task:
        work.trial_task = None
    if not work.route.is_gather:
        work.is_trial = True
        work.round_number += 1
    fields = {
        'request': work.request.request_id,
        'digest': work.digest,
        'replica': exchange.replica.entry.replica_id,
        'service': exchange.replica.entry.service,
        'kind': exchange.kind,
        'age_ms': round(gateway.now_ms - exchange.sent_ms, 1),
    }
    gateway.act(WriteLine('sub_request_lost', fields))


def vindicate(work: Work, gateway: GatewayInterface) -> None:
    """Note that a replica has run a request without ending; what waited for that goes on."""
    if work.is_vindicated:
        return
    work.is_vindicated = True
    acquit(work, gateway)
    wake_held(work, gateway)


def wake_held(work: Work, gateway: GatewayInterface) -> None:
    """Let a gather go on whose tasks wait for an answer, if it can."""
    if work.held_tasks:
        gateway.timers.arm(gateway.now_ms, CanaryTimer(work.key))


def is_suspicious(exchange: Exchange, fault: LinkFault) -> bool:
    """
    Return whether a failure tells something about the replica.

    A kept connection may have been closed while it was idle.
    """
    if fault is LinkFault.ABANDONED:
        return False
    return exchange.is_new or fault in (LinkFault.TIMED_OUT, LinkFault.OVERSIZED)


def suspect_replica(state: ReplicaState, cause: str, gateway: GatewayInterface) -> None:
    """Mark a replica as suspect, so that it is avoided for a while."""
    if not state.mark_suspect(gateway.now_ms):
        return
    fields = {'replica': state.entry.replica_id, 'service': state.entry.service}
    gateway.act(
        WriteLine('replica_suspected', {**fields, 'cause': cause, 'for_ms': state.suspicion_ms})
    )


@handle_result.register
def handle_task_reply(
    owner: Task, exchange: Exchange, reply: Reply, gateway: GatewayInterface
) -> None:
    """Handle a complete reply of a replica."""
    task = owner
    work = task.work
    state = exchange.replica
    now_ms = gateway.now_ms
    latency_ms = now_ms - exchange.sent_ms
    gateway.reach.record_reply(now_ms)
    is_match = reply.request_id == work.request.request_id
    is_reusable = not reply.is_closing and is_match
    if reply.notice is not None or state.notices.is_restricted:
        apply_notice(exchange, reply, gateway)
        start_bucket(state, gateway)
        apply_cold_reply(exchange, reply, gateway)
    learn_reply(exchange, reply, gateway)
    if reply.is_other_instance:
        gateway.forget_replica(state, 'its address now belongs to another replica')
    # One without the request's ID may be a late copy of the answer to an earlier request.
    is_not_run = reply.is_rejected and is_match
    if is_not_run:
        task.run_count -= 1
    if is_match and not reply.is_rejected:
        vindicate(work, gateway)
    if not reply.is_other_instance:
        state.replied_ms = now_ms
    if reply.is_rejected:
        state.record_rejection(True, now_ms)
        record_rejection(exchange, gateway)
        gateway.counters.add('rejections', str(reply.status))
    elif reply.is_success and is_match:
        record_latency(exchange, work.route.name, latency_ms, gateway)
        record_reply(exchange, latency_ms, gateway)
        gateway.latencies.add(latency_ms)
    elif not reply.is_success:
        state.record_rejection(True, now_ms)
        gateway.counters.add('replica_errors', str(reply.status))
    end_exchange(exchange, gateway, is_reusable, reply.keep_alive_ms)
    if exchange.is_abandoned or not task.is_open or work.is_finished:
        return
    if reply.is_success and is_match:
        task.reply = reply
        if work.route.is_gather:
            trim_part(reply, work.route.top_records)
        close_task(task, gateway)
        return
    task.exclude_replica(state)
    if is_not_run:
        resume_task(task, gateway, may_retry=True)
        return
    if not is_match or reply.is_encoded or 200 <= reply.status < 300:
        task.fault = LinkFault.MALFORMED
    else:
        task.failed_reply = reply
    resume_task(task, gateway, may_retry=work.route.is_idempotent)


def record_latency(
    exchange: Exchange, route_name: str, latency_ms: float, gateway: GatewayInterface
) -> None:
    """Record a success; only those without a connection setup count for the typical latency."""
    state = exchange.replica
    typical_ms = gateway.upstreams.typical_ms(route_name, state.distance)
    state.record_latency(latency_ms, typical_ms, gateway.now_ms)
    state.record_rejection(False, gateway.now_ms)
    if not exchange.is_new:
        gateway.upstreams.record_route_latency(route_name, state.distance, latency_ms)


def resume_task(task: Task, gateway: GatewayInterface, may_retry: bool) -> None:
    """Retry a task elsewhere after a failure, or close it if nothing else is pending."""
    if not task.is_open or not task.work.may_send:
        return
    if may_retry:
        dispatch_task(task, gateway)
    if not task.exchanges and not task.is_waiting:
        close_task(task, gateway)


def fire_retry(timer: RetryTimer, gateway: GatewayInterface) -> None:
    """Retry a task that every replica had rejected or failed."""
    task = timer.task
    task.is_waiting = False
    if task.exchanges:
        return
    task.excluded_replicas.clear()
    resume_task(task, gateway, may_retry=True)


def close_task(task: Task, gateway: GatewayInterface) -> None:
    """Close a task, with or without a reply."""
    if not task.is_open:
        return
    task.is_open = False
    work = task.work
    work.open_count -= 1
    if task.reply is not None:
        work.answered_count += 1
    for exchange in task.exchanges:
        abandon_exchange(exchange, gateway)
    on_task_closed(work, gateway)


@singledispatch
def on_task_closed(work: Work, gateway: GatewayInterface) -> None:
    """Handle the end of one of a request's tasks."""
    raise TypeError(f'no task handler for {type(work).__name__}')


@on_task_closed.register
def check_gather(work: GatherWork, gateway: GatewayInterface) -> None:
    """Answer a gather once waiting for more parts no longer helps its caller."""
    if work.is_finished:
        return
    if not work.open_count or not work.can_meet_minimum_coverage():
        answer_work(work, gateway)
        return
    if not work.meets_minimum_coverage():
        return
    if is_due(work, gateway) or not is_worth_waiting(work, gateway):
        answer_work(work, gateway)


def is_worth_waiting(work: GatherWork, gateway: GatewayInterface) -> bool:
    """Return whether an open shard has a replica that may still answer."""
    now_ms = gateway.now_ms
    for task in work.tasks:
        if not task.is_open:
            continue
        for state in list_usable(task, gateway):
            if may_answer(state, task, gateway):
                return True
        for exchange in task.exchanges:
            replica = exchange.replica
            if replica.is_evacuated and not replica.is_suspect(now_ms):
                # It gets nothing new, but answers what it has.
                return True
            typical_ms = usual_latency_ms(exchange, gateway)
            if now_ms - exchange.sent_ms < SUSPECT_WAIT_FACTOR * typical_ms:
                return True
    return False


def may_answer(state: ReplicaState, task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a healthy replica has a task, or may still be sent it."""
    if state.is_suspect(gateway.now_ms):
        return False
    if is_available(state, gateway):
        return True
    return any(exchange.replica is state for exchange in task.exchanges)


@on_task_closed.register
def check_single(work: SingleWork, gateway: GatewayInterface) -> None:
    """Answer a request once its only task has ended."""
    answer_work(work, gateway)


def answer_work(work: Work, gateway: GatewayInterface) -> None:
    """
    Send the answer that follows from what has arrived.

    That nothing has run is said once the driver has said that nothing was sent.
    """
    if work.is_finished:
        return
    answer = build_answer(work, gateway)
    if is_refusal(answer) and withdraw_unsent(work, gateway):
        work.when_withdrawn = answer_work
        return
    end_work(work, answer, gateway)


def end_work(work: Work, answer: Answer, gateway: GatewayInterface) -> None:
    """Send the final answer, and abandon the exchanges still in flight."""
    answer = withhold_unproven(answer, work)
    work.is_finished = True
    gateway.works.pop(work.key, None)
    for exchange in work.exchanges:
        abandon_exchange(exchange, gateway)
    gateway.act(AnswerRequest(work.key, answer, find_due_ms(work, gateway)))
    record_end(work, answer, gateway)
    work.finish()


def fire_deadline(timer: DeadlineTimer, gateway: GatewayInterface) -> None:
    """Answer a request whose hard deadline has passed."""
    work = gateway.works.get(timer.key)
    if work is not None:
        answer_work(work, gateway)


def handle_caller_disconnected(event: CallerDisconnected, gateway: GatewayInterface) -> None:
    """Abandon the request of a caller that has disconnected; abort it if it is idempotent."""
    gateway.start_queue.pop(event.key)
    work = gateway.works.pop(event.key, None)
    if work is None:
        return
    work.is_finished = True
    gateway.counters.add('callers_left')
    stopped_count = 0
    for exchange in work.exchanges:
        if work.route.is_idempotent and exchange.exchange_id in gateway.upstreams.exchanges:
            abort_exchange(exchange, gateway)
            stopped_count += 1
            continue
        abandon_exchange(exchange, gateway)
    fields = {
        'request': work.request.request_id,
        'route': work.route.name,
        'ms': round(gateway.now_ms - work.arrived_ms, 1),
        'stopped': stopped_count,
    }
    gateway.act(WriteLine('caller_left', fields))
    work.finish()


def handle_connection_ended(event: ConnectionEnded, gateway: GatewayInterface) -> None:
    """Remove an idle connection that has been closed."""
    state = gateway.upstreams.owners.get(event.connection_id)
    if state is None:
        return
    for connection in state.idle:
        if connection.connection_id == event.connection_id:
            state.idle.remove(connection)
            gateway.drop_connection(event.connection_id)
            return


def sweep_exchanges(gateway: GatewayInterface) -> None:
    """Time out the exchanges that have no reply `EXCHANGE_SLACK_MS` after their deadline."""
    now_ms = gateway.now_ms
    for exchange in list(gateway.upstreams.exchanges.values()):
        if now_ms < exchange.owner.work.hard_at_ms + EXCHANGE_SLACK_MS:
            continue
        failure = LinkFailure(LinkFault.TIMED_OUT, was_sent=True)
        handle_failure(exchange.owner, exchange, failure, gateway)
        settle_withdrawal(exchange.owner.work, gateway)
