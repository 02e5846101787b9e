"""Messages between gateways as Thrift frames: heartbeats, changes of the store, orders."""

from functools import singledispatch

from ..failures import Failure, InputFailure, Reason, not_run
from ..gateway.actions import SendHeartbeat, SendOrder
from ..gateway.events import ChangesReceived, HeartbeatReceived
from ..gateway.models import (
    CallerRequest,
    Item,
    Member,
    PartsAnswer,
    PartsOrder,
    PartsReply,
)
from .frames import DECODE_ERRORS, decode_struct, encode_struct
from .http import WireAnswer
from .peer import ttypes

PARTS_PATH = '/v1/parts'
FRAME_TYPE = ('Content-Type', 'application/x-thrift')
ORDER_ID = 'Order-Request-Id'
"""Header of an answer to an order: the request that it is about."""

TAKEN_STATUS = 200


def decode(data: bytes, kind: type) -> object | Failure:
    """Read a Thrift struct, or return why it cannot be read."""
    try:
        return decode_struct(data, kind)
    except DECODE_ERRORS as error:
        return InputFailure('peer frame', kind.__name__, type(error).__name__, 'a whole struct')


def encode_heartbeat(action: SendHeartbeat) -> bytes:
    """Return the bytes of a heartbeat."""
    members = []
    for member in action.members:
        members.append(
            ttypes.FleetMember(
                member.name,
                member.host,
                member.zone,
                member.incarnation,
                member.heartbeat,
                member.is_serving,
                member.capacity_millicores,
                member.reaches_store,
                round(member.rate_per_s),
            )
        )
    frame = ttypes.Heartbeat(members, action.table_version, action.revision, action.wants_members)
    return encode_struct(frame)


def decode_heartbeat(data: bytes) -> HeartbeatReceived | Failure:
    """Read a heartbeat."""
    frame = decode(data, ttypes.Heartbeat)
    if isinstance(frame, Failure):
        return frame
    members = []
    for view in frame.members:
        member = Member(view.name, view.host, view.zone, view.incarnation, view.heartbeat)
        member.is_serving = view.serving
        member.capacity_millicores = view.capacity_millicores
        member.reaches_store = view.reaches_store
        member.rate_per_s = float(view.requests_per_s)
        members.append(member)
    return HeartbeatReceived(members, frame.table_version, frame.revision, frame.wants_members)


def encode_changes(changes: list[Item], revision: int) -> bytes:
    """Return the bytes of changes of the store."""
    items = [ttypes.StoreItem(item.key, item.value, item.revision) for item in changes]
    return encode_struct(ttypes.StoreChanges(revision, items))


def decode_changes(data: bytes) -> ChangesReceived | Failure:
    """Read changes of the store that another VM tells of."""
    frame = decode(data, ttypes.StoreChanges)
    if isinstance(frame, Failure):
        return frame
    changes = [Item(item.key, item.value, item.revision) for item in frame.items]
    return ChangesReceived(changes, frame.revision, is_from_store=False)


def write_order(action: SendOrder) -> bytes:
    """Return the bytes of an order of parts to another VM."""
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
    )
    body = encode_struct(frame)
    head = (
        f'POST {PARTS_PATH} HTTP/1.1\r\nHost: {action.host}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('latin-1') + body


def read_order(environ: dict) -> PartsOrder | Failure | None:
    """Return the order that a WSGI environment holds, None where it is about something else."""
    if environ['PATH_INFO'] != PARTS_PATH:
        return None
    frame = decode(environ['wsgi.input'].read(), ttypes.PartsOrder)
    if isinstance(frame, Failure):
        return not_run(Reason.INVALID_INPUT, frame.detail)
    headers = [(header.name, header.value) for header in frame.headers]
    path = frame.target.partition('?')[0]
    request = CallerRequest(
        frame.request_id, frame.method, frame.target, '', path, headers, frame.body
    )
    return PartsOrder(
        request,
        frame.route,
        frame.priority,
        tuple(frame.services),
        frame.attempts,
        frame.top_records,
        frame.soft_ms,
        frame.hard_ms,
    )


@singledispatch
def write_parts(answer: PartsAnswer | Failure, request_id: str) -> WireAnswer:
    """Return the wire form of an answer to an order."""
    raise TypeError(f'no wire form for {type(answer).__name__}')


@write_parts.register
def write_parts_answer(answer: PartsAnswer, request_id: str) -> WireAnswer:
    """Return the parts that are in, and what is known of the others."""
    parts = [ttypes.Part(name, signature) for name, signature in answer.signatures.items()]
    missing = [ttypes.MissingPart(name, count) for name, count in answer.run_counts.items()]
    body = encode_struct(ttypes.PartsAnswer(parts, missing, answer.body, answer.work_ms))
    return WireAnswer('200 OK', [FRAME_TYPE, (ORDER_ID, request_id)], body)


@write_parts.register
def write_refusal(answer: Failure, request_id: str) -> WireAnswer:
    """Tell that nothing of an order has run."""
    return WireAnswer('503 Service Unavailable', [(ORDER_ID, request_id)], b'')


def read_parts(
    status: int, headers: list[tuple[str, str]], body: bytes, closes: bool
) -> PartsReply:
    """Return the answer to an order that a response holds."""
    request_id = ''
    for name, value in headers:
        if name.lower() == ORDER_ID.lower():
            request_id = value
    if status != TAKEN_STATUS:
        return PartsReply(None, request_id, closes)
    frame = decode(body, ttypes.PartsAnswer)
    if isinstance(frame, Failure):
        # An answer without parts fits no order, and is refused as malformed.
        return PartsReply(PartsAnswer({}, {}, b'', 0.0), request_id, closes)
    signatures = {part.service_name: part.signature for part in frame.parts}
    run_counts = {part.service_name: part.run_count for part in frame.missing}
    return PartsReply(
        PartsAnswer(signatures, run_counts, frame.body, frame.work_ms), request_id, closes
    )
