"""Conversion of replica requests and replies to and from the platform's HTTP headers."""

from ..gateway.actions import SendRequest
from ..gateway.models import Reply
from .names import EXPECTED_REPLICA, REJECTED, REQUEST_ID, SIGNATURE, TIMEOUT

MISDIRECTED_STATUS = 421
MS_PER_SECOND = 1000.0

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
        read_header(reply, lower_name, value)
        if lower_name not in HOP_BY_HOP_HEADERS:
            reply.headers.append((name, value))
    if status == MISDIRECTED_STATUS:
        reply.is_rejected = reply.is_other_instance = True
    return reply


def read_header(reply: Reply, lower_name: str, value: str) -> None:
    """Apply one response header to a reply."""
    if lower_name == SIGNATURE.lower():
        reply.signature = value
    elif lower_name == REQUEST_ID.lower():
        reply.request_id = value
    elif lower_name == REJECTED.lower():
        reply.is_rejected = True
    elif lower_name == 'connection':
        reply.is_closing = reply.is_closing or 'close' in value.lower()
    elif lower_name == 'keep-alive':
        reply.keep_alive_ms = read_keep_alive_ms(value)
    elif lower_name == 'content-encoding':
        reply.is_encoded = value.lower() != 'identity'


def read_keep_alive_ms(value: str) -> float | None:
    """Return the timeout of a Keep-Alive header (seconds) in milliseconds, None if it has none."""
    for part in value.split(','):
        name, _, text = part.strip().partition('=')
        if name.lower() == 'timeout' and text.strip().isdecimal():
            return int(text) * MS_PER_SECOND
    return None
