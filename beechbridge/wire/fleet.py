"""Codec of the Thrift messages between gateways: heartbeats, permits, store changes, orders."""

from functools import singledispatch

from ..failures import Executed, Failure, InputFailure, Reason, not_run
from ..gateway.actions import (
    SendColdReplicas,
    SendHeartbeat,
    SendOrder,
    SendPermits,
    SendSuspects,
)
from ..gateway.events import (
    ChangesReceived,
    ColdReplicasReceived,
    HeartbeatReceived,
    PermitsReceived,
    SuspectsReceived,
)
from ..gateway.models import (
    CallerRequest,
    Item,
    PartsAnswer,
    PartsOrder,
    PartsReply,
)
from ..gateway.permits import ColdReplica, ColdTerms, PermitMessage, PermitsAnswered, PermitsWanted
from ..gateway.replicas.store_view import ALL_PREFIXES, MAX_KEY_LENGTH, MAX_REVISION
from ..gateway.suspects import EndReport, SuspectReport, SuspectsReport
from .frames import DECODE_ERRORS, decode_struct, encode_struct
from .http import HttpResponse
from .members import decode_member, encode_member
from .peer import ttypes

PARTS_PATH = '/v1/parts'
CONTENT_TYPE_HEADER = ('Content-Type', 'application/x-thrift')
ORDER_ID_HEADER = 'Order-Request-Id'
"""Header in the answer to an order or a relay: ID of the request that it belongs to."""

REFUSAL_HEADER = 'Order-Refusal'
"""Header in the answer to an order: reason for which it was rejected."""

MAX_TIME_MS = 3_600_000.0
MAX_COUNT = 1_000_000
"""Limits on what orders and relays name: one that names more is not readable."""

OK_STATUS = 200
NOT_RUN_STATUS = 503
"""Status with which another VM states that no part of an order has run; any other is no proof."""


def decode(data: bytes, struct_type: type) -> object | Failure:
    """Decode a Thrift struct; return a failure if it is malformed."""
    try:
        return decode_struct(data, struct_type)
    except DECODE_ERRORS as error:
        return InputFailure(
            'peer frame',
            struct_type.__name__,
            f'malformed ({type(error).__name__})',
            'a complete struct',
        )


def encode_heartbeat(action: SendHeartbeat) -> bytes:
    """Encode a heartbeat."""
    members = [encode_member(member, action.sent_ms) for member in action.members]
    frame = ttypes.Heartbeat(
        members, action.table_version, action.revision, action.wants_members, action.epoch
    )
    return encode_struct(frame)


def encode_permits(action: SendPermits) -> bytes:
    """Encode a message about permits, as a heartbeat without news of its own."""
    frame = ttypes.Heartbeat([encode_member(action.sender)], 0, 0, False, 0)
    set_permits(action.message, frame)
    return encode_struct(frame)


@singledispatch
def set_permits(message: PermitMessage, frame: ttypes.Heartbeat) -> None:
    """Set the field of a frame for a kind of message about permits."""
    raise TypeError(f'no field for {type(message).__name__}')


@set_permits.register
def set_permits_wanted(message: PermitsWanted, frame: ttypes.Heartbeat) -> None:
    """Set the field with the permits that a VM asks for."""
    permits = []
    for replica_id, limit_per_s in message.limits:
        permit = ttypes.WantedPermit(replica_id, limit_per_s)
        terms = message.cold_terms.get(replica_id)
        if terms is not None:
            permit.burst = terms.burst
            permit.cold_age_ms = round(terms.age_ms)
        permits.append(permit)
    frame.permits_wanted = ttypes.PermitsWanted(
        message.batch_id, permits, message.least_count, message.rank
    )


@set_permits.register
def set_permits_answered(message: PermitsAnswered, frame: ttypes.Heartbeat) -> None:
    """Set the field with the permits that a VM was granted."""
    frame.permits_answered = ttypes.PermitsAnswered(message.batch_id, message.waits_ms)


def encode_suspects(action: SendSuspects) -> bytes:
    """Encode evidence against requests, as a heartbeat without news of its own."""
    frame = ttypes.Heartbeat([encode_member(action.sender)], 0, 0, False, 0)
    suspects = []
    for suspect in action.report.suspects:
        ends = []
        for end in suspect.ends:
            ends.append(
                ttypes.EndReport(
                    end.replica_id, end.started_ms, end.round_id, end.age_ms, end.is_alone
                )
            )
        suspects.append(
            ttypes.SuspectReport(suspect.digest, suspect.route_name, ends, suspect.cleared_age_ms)
        )
    frame.suspects = ttypes.SuspectsReport(suspects, action.report.memory_age_ms)
    return encode_struct(frame)


def encode_cold_replicas(action: SendColdReplicas) -> bytes:
    """Encode which replicas have turned cold, as a heartbeat without news of its own."""
    frame = ttypes.Heartbeat([encode_member(action.sender)], 0, 0, False, 0)
    frame.cold_replicas = [
        ttypes.ColdReplica(one.replica_id, one.started_ms, round(one.left_ms))
        for one in action.replicas
    ]
    return encode_struct(frame)


def read_cold_replicas(frame: ttypes.Heartbeat) -> list[ColdReplica] | None:
    """Return the cold replicas that a frame names, None if it is not about them."""
    if frame.cold_replicas is None:
        return None
    return [
        ColdReplica(one.replica_id, one.started_ms, float(one.left_ms))
        for one in frame.cold_replicas
    ]


def read_suspects(frame: ttypes.Heartbeat) -> SuspectsReport | None:
    """Return the evidence that a frame carries, None if there is none."""
    if frame.suspects is None:
        return None
    suspects = []
    for suspect in frame.suspects.suspects:
        ends = []
        for end in suspect.ends:
            ends.append(
                EndReport(end.replica_id, end.started_ms, end.round_id, end.age_ms, end.is_alone)
            )
        suspects.append(SuspectReport(suspect.digest, suspect.route, ends, suspect.cleared_age_ms))
    return SuspectsReport(suspects, frame.suspects.memory_age_ms)


def decode_datagram(
    data: bytes,
) -> HeartbeatReceived | PermitsReceived | SuspectsReceived | ColdReplicasReceived | Failure:
    """Decode a heartbeat, a message about permits, or evidence against requests."""
    frame = decode(data, ttypes.Heartbeat)
    if isinstance(frame, Failure):
        return frame
    for field in ('table_version', 'revision', 'epoch'):
        number = getattr(frame, field)
        if not 0 <= number <= MAX_REVISION:
            return InputFailure('heartbeat', field, number, f'0 to {MAX_REVISION}')
    members = []
    unreadable = []
    for record in frame.members:
        member = decode_member(record)
        if not isinstance(member, Failure):
            members.append(member)
            continue
        if record is frame.members[0]:
            # The rest is worth nothing without its sender.
            return member
        unreadable.append(member)
    permits = read_permits(frame)
    if permits is not None and members:
        return PermitsReceived(members[0], permits)
    suspects = read_suspects(frame)
    if suspects is not None and members:
        return SuspectsReceived(members[0], suspects)
    cold_replicas = read_cold_replicas(frame)
    if cold_replicas is not None and members:
        return ColdReplicasReceived(members[0], cold_replicas)
    return HeartbeatReceived(
        members,
        frame.table_version,
        frame.revision,
        frame.wants_members,
        frame.epoch,
        tuple(unreadable),
    )


def read_permits(frame: ttypes.Heartbeat) -> PermitMessage | None:
    """Return the message about permits that a frame carries, None if it is a heartbeat."""
    wanted = frame.permits_wanted
    if wanted is not None:
        limits = [(permit.replica_id, permit.limit_per_s) for permit in wanted.permits]
        cold_terms = {}
        for permit in wanted.permits:
            if permit.burst is not None:
                terms = ColdTerms(permit.burst, float(permit.cold_age_ms or 0))
                cold_terms[permit.replica_id] = terms
        return PermitsWanted(wanted.batch_id, limits, wanted.least_count, wanted.rank, cold_terms)
    answered = frame.permits_answered
    if answered is not None:
        return PermitsAnswered(answered.batch_id, answered.waits_ms)
    return None


def encode_changes(event: ChangesReceived) -> bytes:
    """Encode store changes."""
    items = [ttypes.StoreItem(item.key, item.value, item.revision) for item in event.changes]
    is_complete = bool(event.listed_prefixes)
    return encode_struct(ttypes.StoreChanges(event.revision, items, event.epoch, is_complete))


def decode_changes(data: bytes) -> ChangesReceived | Failure:
    """Decode store changes that another VM sent."""
    frame = decode(data, ttypes.StoreChanges)
    if isinstance(frame, Failure):
        return frame
    for field, number in (('revision', frame.revision), ('epoch', frame.epoch)):
        if not 0 <= number <= MAX_REVISION:
            return InputFailure('peer changes', field, number, f'0 to {MAX_REVISION}')
    changes = []
    unreadable = []
    for item in frame.items:
        if 0 < len(item.key) <= MAX_KEY_LENGTH and 0 <= item.revision <= MAX_REVISION:
            changes.append(Item(item.key, item.value, item.revision))
            continue
        name = f'{item.key[:MAX_KEY_LENGTH]!r} at {item.revision}'
        unreadable.append(InputFailure('peer item', 'key or revision', name, 'within bounds'))
    return ChangesReceived(
        changes,
        frame.revision,
        ALL_PREFIXES if frame.is_complete else (),
        is_from_store=False,
        epoch=frame.epoch,
        unreadable=tuple(unreadable),
    )


def write_order(action: SendOrder) -> bytes:
    """Return the HTTP request that sends an order to another VM."""
    order = action.order
    request = order.request
    frame = ttypes.PartsOrder(
        request.request_id,
        request.method,
        request.target,
        [ttypes.Header(name, value) for name, value in request.headers],
        request.body,
        order.route_name,
        order.priority,
        list(order.services),
        order.attempts,
        order.top_records,
        order.soft_ms,
        order.hard_ms,
        order.digest,
        None if order.home_regions is None else sorted(order.home_regions),
    )
    return write_post(PARTS_PATH, action.host, frame)


def write_post(path: str, host: str, frame: object) -> bytes:
    """Return the HTTP request that sends a struct to another VM."""
    body = encode_struct(frame)
    head = f'POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode('latin-1') + body


def read_order(environ: dict) -> PartsOrder | Failure | None:
    """Return the order in a WSGI environment, or None if the path is not that of orders."""
    if environ['PATH_INFO'] != PARTS_PATH:
        return None
    frame = decode(environ['wsgi.input'].read(), ttypes.PartsOrder)
    if isinstance(frame, Failure):
        return not_run(Reason.INVALID_INPUT, frame.detail)
    failure = check_times(frame) or check_counts(frame)
    if failure is not None:
        return failure
    request = read_caller_request(frame, host='')
    return PartsOrder(
        request,
        frame.route,
        frame.priority,
        tuple(frame.services),
        frame.attempts,
        frame.top_records,
        frame.soft_ms,
        frame.hard_ms,
        frame.digest or '',
        None if frame.home_regions is None else frozenset(frame.home_regions),
    )


def check_times(frame: ttypes.PartsOrder | ttypes.RequestRelay) -> Failure | None:
    """Reject an order or a relay whose times are no times: timers would never be due."""
    for field in ('soft_ms', 'hard_ms'):
        time_ms = getattr(frame, field)
        if not 0.0 <= time_ms <= MAX_TIME_MS:
            return InputFailure(type(frame).__name__, field, time_ms, f'0 to {MAX_TIME_MS:.0f}')
    return None


def check_counts(frame: ttypes.PartsOrder) -> Failure | None:
    """Reject an order whose counts are out of bounds."""
    for field in ('attempts', 'top_records'):
        count = getattr(frame, field)
        if not 0 <= count <= MAX_COUNT:
            return InputFailure(type(frame).__name__, field, count, f'0 to {MAX_COUNT}')
    return None


def read_caller_request(
    frame: ttypes.PartsOrder | ttypes.RequestRelay, host: str
) -> CallerRequest:
    """Return the caller's request that a struct of another VM carries."""
    headers = [(header.name, header.value) for header in frame.headers]
    path = frame.target.partition('?')[0]
    return CallerRequest(
        frame.request_id, frame.method, frame.target, host, path, headers, frame.body
    )


@singledispatch
def write_parts(answer: PartsAnswer | Failure, request_id: str) -> HttpResponse:
    """Return the HTTP response to an order."""
    raise TypeError(f'no HTTP response for {type(answer).__name__}')


@write_parts.register
def write_parts_answer(answer: PartsAnswer, request_id: str) -> HttpResponse:
    """Return the parts that have arrived and, for the others, how many replicas may have run."""
    parts = [ttypes.Part(name, signature) for name, signature in answer.signatures.items()]
    missing = []
    for name, count in answer.run_counts.items():
        is_lost = name in answer.lost
        missing.append(ttypes.MissingPart(name, count, name in answer.tried, is_lost))
    body = encode_struct(ttypes.PartsAnswer(parts, missing, answer.body, answer.work_ms))
    return HttpResponse('200 OK', [CONTENT_TYPE_HEADER, (ORDER_ID_HEADER, request_id)], body)


@write_parts.register
def write_rejection(answer: Failure, request_id: str) -> HttpResponse:
    """Return a response without parts, which states that none has run only if that is so."""
    is_not_run = answer.executed is Executed.NOT_RUN
    status = '503 Service Unavailable' if is_not_run else '502 Bad Gateway'
    headers = [(ORDER_ID_HEADER, request_id), (REFUSAL_HEADER, answer.reason.value)]
    return HttpResponse(status, headers, b'')


def read_parts(
    status: int, headers: list[tuple[str, str]], body: bytes, closes: bool
) -> PartsReply:
    """Return the reply to an order from another VM's HTTP response."""
    values = {name.lower(): value for name, value in headers}
    request_id = values.get(ORDER_ID_HEADER.lower(), '')
    if status == NOT_RUN_STATUS:
        return PartsReply(None, request_id, closes, values.get(REFUSAL_HEADER.lower(), ''))
    frame = decode(body, ttypes.PartsAnswer)
    if status != OK_STATUS or isinstance(frame, Failure) or not is_within_bounds(frame):
        # An answer without parts matches no order, so the gateway rejects it as malformed.
        return PartsReply(PartsAnswer({}, {}, b'', 0.0), request_id, closes)
    signatures = {part.service_name: part.signature for part in frame.parts}
    run_counts = {part.service_name: part.run_count for part in frame.missing}
    tried = frozenset(part.service_name for part in frame.missing if part.was_tried)
    lost = frozenset(part.service_name for part in frame.missing if part.was_lost)
    return PartsReply(
        PartsAnswer(signatures, run_counts, frame.body, frame.work_ms, tried, lost),
        request_id,
        closes,
    )


def is_within_bounds(frame: ttypes.PartsAnswer) -> bool:
    """Return whether the numbers of an answer are such that a VM can have measured them."""
    if not 0.0 <= frame.work_ms <= MAX_TIME_MS:
        return False
    return all(0 <= part.run_count <= MAX_COUNT for part in frame.missing)
