"""Conversion of replica requests and replies to and from the platform's HTTP headers."""

import re

from ..gateway.actions import SendRequest
from ..gateway.models import Reply
from ..gateway.statements import LoadReport, Notice
from .names import (
    EXPECTED_REPLICA,
    REJECTED,
    REPLICA_COLD,
    REPLICA_LEAVING,
    REPLICA_LIMIT,
    REPLICA_LOAD,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    TIMEOUT,
)

MISDIRECTED_STATUS = 421
BUSY_STATUSES = (429, 503)
"""Statuses of rejections, with which a replica may say when it wants requests again."""

MS_PER_SECOND = 1000.0
LEAVING_VALUE = '1'
MAX_COLD_MS = 86_400_000.0
"""One day: no replica takes longer to warm up, see `items.MAX_DURATION_MS`."""

DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{0,30})?|\.[0-9]{1,30}')
WHOLE_SECONDS = re.compile(r'[0-9]{1,9}')
LOAD = re.compile(
    r' *([0-9]{1,6}) *, *([0-9]{1,6}) *, *([0-9]{1,6}) *(?:, *([0-9]{1,6}(?:\.[0-9]{1,9})?) *)?'
)
USUAL_PACE_PERCENT = 100.0
MAX_PACE_PERCENT = 10_000.0
"""A pace beyond this or its inverse is no statement: work a hundred times as long or short."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
"""Headers that apply to one connection only or are set for each message."""

OVERWRITTEN_HEADERS = frozenset((TIMEOUT.lower(), EXPECTED_REPLICA.lower()))


def write_request(action: SendRequest) -> bytes:
    """Encode a request to a replica."""
    request = action.request
    lines = [f'{request.method} {request.target} HTTP/1.1\r\n']
    for name, value in request.headers:
        lower_name = name.lower()
        if lower_name in HOP_BY_HOP_HEADERS or lower_name in OVERWRITTEN_HEADERS:
            continue
        lines.append(f'{name}: {value}\r\n')
    lines.append(f'{TIMEOUT}: {max(1, int(action.timeout_ms))}\r\n')
    lines.append(f'{EXPECTED_REPLICA}: {action.instance_id}\r\n')
    if request.body or request.method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(request.body)}\r\n')
    lines.append('\r\n')
    return ''.join(lines).encode('latin-1') + request.body


def read_reply(status: int, headers: list[tuple[str, str]], body: bytes, closes: bool) -> Reply:
    """Convert an HTTP response to a reply."""
    reply = Reply(status, [], body, is_closing=closes)
    for name, value in headers:
        lower_name = name.lower()
        reader = HEADER_READERS.get(lower_name)
        if reader is not None:
            reader(reply, value)
        if lower_name not in HOP_BY_HOP_HEADERS:
            reply.headers.append((name, value))
    if status == MISDIRECTED_STATUS:
        reply.is_rejected = reply.is_other_instance = True
    return reply


def read_signature(reply: Reply, value: str) -> None:
    """Apply the header with the replica's signature."""
    reply.signature = value


def read_request_id(reply: Reply, value: str) -> None:
    """Apply the header with the ID of the answered request."""
    reply.request_id = value


def read_rejection(reply: Reply, value: str) -> None:
    """Apply the header that states that the request has not run."""
    reply.is_rejected = True


def read_connection(reply: Reply, value: str) -> None:
    """Apply the `Connection` header."""
    reply.is_closing = reply.is_closing or 'close' in value.lower()


def read_keep_alive(reply: Reply, value: str) -> None:
    """Apply the `Keep-Alive` header."""
    reply.keep_alive_ms = read_keep_alive_ms(value)


def read_keep_alive_ms(value: str) -> float | None:
    """
    Return the timeout of a Keep-Alive header (seconds) in milliseconds.

    None if it has none, or one that is no number or far too long.
    """
    for part in value.split(','):
        name, _, text = part.strip().partition('=')
        if name.lower() != 'timeout':
            continue
        match = WHOLE_SECONDS.fullmatch(text.strip())
        return int(match[0]) * MS_PER_SECOND if match else None
    return None


def read_encoding(reply: Reply, value: str) -> None:
    """Apply the `Content-Encoding` header."""
    reply.is_encoded = value.lower() != 'identity'


def read_limit(reply: Reply, value: str) -> None:
    """Apply the header with a replica's limit; the lowest counts if it names several."""
    notice = ensure_notice(reply)
    for text in value.split(','):
        limit_per_s = read_decimal(text)
        if limit_per_s is None:
            notice.is_limit_unreadable = True
        elif notice.limit_per_s is None or limit_per_s < notice.limit_per_s:
            notice.limit_per_s = limit_per_s


def read_leaving(reply: Reply, value: str) -> None:
    """Apply the header that states that the replica is about to stop."""
    if value.strip() == LEAVING_VALUE:
        ensure_notice(reply).is_leaving = True


def read_cold(reply: Reply, value: str) -> None:
    """Apply the header with the time for which a replica stays cold; the longest counts."""
    for text in value.split(','):
        cold_ms = read_decimal(text)
        if cold_ms is None or cold_ms > MAX_COLD_MS:
            continue
        notice = ensure_notice(reply)
        notice.cold_ms = max(notice.cold_ms or 0.0, cold_ms)


def read_load(reply: Reply, value: str) -> None:
    """Apply the header with a replica's load; a value that is not readable says nothing."""
    match = LOAD.fullmatch(value)
    if match is None:
        return
    running, waiting, slots, pace = match.groups()
    pace_percent = USUAL_PACE_PERCENT if pace is None else float(pace)
    is_plausible = 1.0 <= pace_percent <= MAX_PACE_PERCENT
    if int(slots) and is_plausible:
        ensure_notice(reply).load = LoadReport(
            int(running), int(waiting), int(slots), pace_percent
        )


def read_retry_after(reply: Reply, value: str) -> None:
    """Apply the `Retry-After` header of a rejection; the longest counts if there are several."""
    if reply.status not in BUSY_STATUSES:
        return
    for text in value.split(','):
        retry_after_s = read_decimal(text)
        if retry_after_s is None:
            # An HTTP date, among others: the clocks of replicas and VMs differ by seconds.
            continue
        notice = ensure_notice(reply)
        retry_after_ms = retry_after_s * MS_PER_SECOND
        notice.retry_after_ms = max(notice.retry_after_ms or 0.0, retry_after_ms)


def ensure_notice(reply: Reply) -> Notice:
    """Return the reply's notice, a new one if it has none."""
    if reply.notice is None:
        reply.notice = Notice()
    return reply.notice


def read_decimal(text: str) -> float | None:
    """Return a plain decimal number, None if the text is anything else or far too long."""
    match = DECIMAL.fullmatch(text.strip())
    return float(match[0]) if match else None


HEADER_READERS = {
    SIGNATURE.lower(): read_signature,
    REQUEST_ID.lower(): read_request_id,
    REJECTED.lower(): read_rejection,
    REPLICA_LIMIT.lower(): read_limit,
    REPLICA_LEAVING.lower(): read_leaving,
    REPLICA_COLD.lower(): read_cold,
    REPLICA_LOAD.lower(): read_load,
    RETRY_AFTER.lower(): read_retry_after,
    'connection': read_connection,
    'keep-alive': read_keep_alive,
    'content-encoding': read_encoding,
}
"""Function that applies a header to a reply, by the header's lower-case name."""
