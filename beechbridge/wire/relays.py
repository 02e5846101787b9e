"""Codec of the requests that a VM without replicas asks another VM to serve, and their answers."""

from functools import singledispatch

from ..failures import Executed, Failure, Reason, not_run
from ..gateway.actions import SendRelay
from ..gateway.models import ForwardedAnswer, MergedAnswer, RelayReply, Reply, RequestRelay
from .fleet import (
    CONTENT_TYPE_HEADER,
    MAX_COUNT,
    MAX_TIME_MS,
    OK_STATUS,
    ORDER_ID_HEADER,
    check_times,
    decode,
    read_caller_request,
    write_post,
)
from .frames import encode_struct
from .http import HttpResponse
from .peer import ttypes

RELAYS_PATH = '/v1/relays'
STATUSES = range(200, 600)
"""Statuses of final replies."""


def write_relay(action: SendRelay) -> bytes:
    """Return the HTTP request that asks another VM to serve a request."""
    relay = action.relay
    request = relay.request
    frame = ttypes.RequestRelay(
        request.request_id,
        request.method,
        request.target,
        request.host,
        [ttypes.Header(name, value) for name, value in request.headers],
        request.body,
        relay.soft_ms,
        relay.hard_ms,
        [ttypes.TriedService(name, count) for name, count in relay.run_counts.items()],
        relay.is_counted,
    )
    return write_post(RELAYS_PATH, action.host, frame)


def read_relay(environ: dict) -> RequestRelay | Failure | None:
    """Return the relay in a WSGI environment, or None if the path is not that of relays."""
    if environ['PATH_INFO'] != RELAYS_PATH:
        return None
    frame = decode(environ['wsgi.input'].read(), ttypes.RequestRelay)
    if isinstance(frame, Failure):
        return not_run(Reason.INVALID_INPUT, frame.detail)
    failure = check_times(frame)
    if failure is not None:
        return failure
    run_counts = {entry.service_name: entry.run_count for entry in frame.tried}
    request = read_caller_request(frame, frame.host)
    request.timeout_ms = frame.hard_ms
    return RequestRelay(request, frame.soft_ms, frame.hard_ms, run_counts, frame.is_counted)


def write_relay_answer(
    answer: ForwardedAnswer | MergedAnswer | Failure, request_id: str
) -> HttpResponse:
    """Return the HTTP response to a relay."""
    headers = [CONTENT_TYPE_HEADER, (ORDER_ID_HEADER, request_id)]
    return HttpResponse('200 OK', headers, to_relay_answer(answer))


@singledispatch
def to_relay_answer(answer: ForwardedAnswer | MergedAnswer | Failure) -> bytes:
    """Encode the answer to a relay."""
    raise TypeError(f'no relay answer for {type(answer).__name__}')


@to_relay_answer.register
def encode_reply(answer: ForwardedAnswer) -> bytes:
    """Encode a replica's reply."""
    reply = answer.reply
    headers = [ttypes.Header(name, value) for name, value in reply.headers]
    frame = ttypes.RelayedReply(reply.status, headers, reply.body, reply.signature)
    return encode_struct(ttypes.RelayAnswer(reply=frame))


@to_relay_answer.register
def encode_parts(answer: MergedAnswer) -> bytes:
    """Encode the merged parts of a gather."""
    frame = ttypes.RelayedParts(answer.signatures, answer.missing_count, answer.body)
    return encode_struct(ttypes.RelayAnswer(parts=frame))


@to_relay_answer.register
def encode_failure(answer: Failure) -> bytes:
    """Encode a failure."""
    frame = ttypes.Failure(
        answer.reason.value, answer.executed.value, answer.detail, answer.retry_after_ms
    )
    return encode_struct(ttypes.RelayAnswer(failure=frame))


def read_relay_reply(
    status: int, headers: list[tuple[str, str]], body: bytes, closes: bool
) -> RelayReply:
    """Return the reply to a relay from another VM's HTTP response."""
    request_id = ''
    for name, value in headers:
        if name.lower() == ORDER_ID_HEADER.lower():
            request_id = value
    frame = decode(body, ttypes.RelayAnswer)
    if status != OK_STATUS or isinstance(frame, Failure):
        return RelayReply(None, request_id, closes)
    return RelayReply(read_relay_answer(frame, request_id), request_id, closes)


def read_relay_answer(
    frame: ttypes.RelayAnswer, request_id: str
) -> ForwardedAnswer | MergedAnswer | Failure | None:
    """Return the answer of a struct, None if it holds none that this VM knows."""
    if frame.reply is not None:
        reply = frame.reply
        if reply.status not in STATUSES:
            return None
        headers = [(header.name, header.value) for header in reply.headers]
        return ForwardedAnswer(
            Reply(reply.status, headers, reply.body, reply.signature, request_id)
        )
    if frame.parts is not None:
        parts = frame.parts
        if not 0 <= parts.missing_count <= MAX_COUNT:
            return None
        return MergedAnswer(parts.body, list(parts.signatures), parts.missing_count)
    if frame.failure is None:
        return None
    failure = frame.failure
    try:
        reason, executed = Reason(failure.reason), Executed(failure.executed)
    except ValueError:
        return None
    retry_after_ms = failure.retry_after_ms
    if retry_after_ms is not None and not 0 <= retry_after_ms <= MAX_TIME_MS:
        retry_after_ms = None
    return Failure(reason, executed, failure.detail, retry_after_ms)
