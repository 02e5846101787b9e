"""Handles replies, failures and stalls of exchanges, and updates the replicas' state."""

from ...actions import CloseConnection
from ...events import AttemptFailed, ReplyReceived
from ...failures import AttemptFailure, Executed, Reason
from ...messages import Reply, ReplyStatus
from ..interface import CoreInterface
from ..requests.attempts import Attempt, on_failure, on_reply
from .connections import SILENT_HOLD_MS
from .controller import Cancellation, StallTimer
from .health import Probe, readmit
from .replicas import CLOSING_HOLD_MS, ReplicaState

REPLICA_FAULTS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.NO_PROGRESS,
        Reason.TRUNCATED,
        Reason.MISMATCHED,
        Reason.UPSTREAM_ERROR,
    )
)
"""Failures that count against the replica's health; the others only indicate load."""


def matches(attempt: Attempt, reply: Reply) -> bool:
    """Return whether a reply echoes this attempt's id; a reply without one does not match."""
    return reply.attempt_id == attempt.attempt_id


def handle_reply_received(event: ReplyReceived, core: CoreInterface) -> None:
    """Release the connection, update the replica, and pass the reply to the attempt's owner."""
    upstreams = core.upstreams
    attempt = upstreams.attempts.pop(event.attempt_id, None)
    if attempt is None:
        core.counters.add('replies_unexpected')
        return
    reply = event.reply
    if not matches(attempt, reply):
        core.counters.add('replies_mismatched')
        failure = AttemptFailure(
            Reason.MISMATCHED, Executed.UNKNOWN, 'reply belongs to another attempt'
        )
        state = upstreams.release_connection(attempt, False, core)
        core.act(CloseConnection(attempt.connection_id))
        if not attempt.abandoned:
            report_failure(attempt, state, failure, core)
        return
    state = upstreams.release_connection(attempt, event.reusable and not reply.closing, core)
    if state is not None:
        update_from_reply(state, attempt, reply, core)
    if attempt.abandoned:
        core.counters.add('replies_late')
    else:
        on_reply(attempt.owner, attempt, reply, core)
    if state is not None:
        upstreams.dispatch_queue(state, core)


def update_from_reply(
    state: ReplicaState, attempt: Attempt, reply: Reply, core: CoreInterface
) -> None:
    """Update a replica's state from its reply."""
    if state.record_snapshots(reply.oldest_snapshot, reply.newest_snapshot, core.now_ms):
        core.snapshots.invalidate(state.back_end)
    if reply.status is ReplyStatus.DRAINING:
        core.health.mark_draining(state, core.now_ms, core)
        return
    if reply.closing:
        state.closing_until_ms = core.now_ms + CLOSING_HOLD_MS
    if reply.status is ReplyStatus.SHED:
        state.shrink_window(core.now_ms)
        return
    if reply.status is ReplyStatus.ERROR:
        if state.count_failure(core.now_ms):
            core.health.handle_ejection(state, core)
        return
    if isinstance(attempt.owner, (Probe, Cancellation)):
        return
    if attempt.abandoned:
        # Attempts that lose to a hedge are the slow ones; without their latency the replica would
        # look faster than it is.
        state.add_latency(core.now_ms - attempt.sent_ms, core.now_ms)
        return
    if reply.status is not ReplyStatus.DONE:
        return
    state.failures = 0
    if state.is_ejected:
        readmit(state, core)
    state.add_latency(core.now_ms - attempt.sent_ms, core.now_ms)
    state.adapt_window(core.now_ms - attempt.sent_ms)


def handle_attempt_failed(event: AttemptFailed, core: CoreInterface) -> None:
    """Release the connection and pass the failure to the attempt's owner."""
    attempt = core.upstreams.attempts.pop(event.attempt_id, None)
    if attempt is None:
        core.counters.add('replies_unexpected')
        return
    if event.failure.reason is Reason.NO_PROGRESS:
        attempt.hold_ms = SILENT_HOLD_MS
    state = core.upstreams.release_connection(attempt, False, core)
    if attempt.abandoned:
        core.counters.add('attempts_failed', event.failure.reason.value)
    else:
        report_failure(attempt, state, event.failure, core)
    if state is not None:
        core.upstreams.dispatch_queue(state, core)


def report_failure(
    attempt: Attempt, state: ReplicaState | None, failure: AttemptFailure, core: CoreInterface
) -> None:
    """Count a failure that is the replica's fault, and notify the attempt's owner."""
    core.counters.add('attempts_failed', failure.reason.value)
    is_replica_fault = failure.reason in REPLICA_FAULTS and attempt.is_new
    if state is not None and is_replica_fault and state.count_failure(core.now_ms):
        core.health.handle_ejection(state, core)
    if state is not None and not attempt.is_new:
        is_silent = failure.reason is Reason.NO_PROGRESS
        core.health.close_suspect_connections(state, attempt, is_silent, core)
    on_failure(attempt.owner, attempt, failure, core)


def fire_stall(timer: StallTimer, core: CoreInterface) -> None:
    """Close the connection of an exchange that made no progress, and notify its owner."""
    attempt = core.upstreams.attempts.get(timer.attempt_id)
    if attempt is None or attempt.sent_ms is None or attempt.hold_ms > 0:
        return
    was_abandoned = attempt.abandoned
    attempt.abandoned = True
    attempt.hold_ms = SILENT_HOLD_MS
    core.counters.add('connections_silent')
    core.act(CloseConnection(attempt.connection_id))
    state = core.upstreams.states.get(attempt.replica_id)
    if not was_abandoned:
        failure = AttemptFailure(
            Reason.NO_PROGRESS, Executed.UNKNOWN, 'no reply before the timeout'
        )
        report_failure(attempt, state, failure, core)
    if state is not None and not attempt.is_new and not state.probing:
        core.health.probe(state, core, requires_new=True)
