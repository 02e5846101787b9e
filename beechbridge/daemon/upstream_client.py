"""Exchanges with upstreams over `http.client`, each in a thread of a pool."""

import http.client
import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch

import msgspec

from ..actions import CloseConnection, Send
from ..events import AttemptFailed, Event, ReplyReceived
from ..failures import AttemptFailure, Executed, Reason
from ..messages import CancelOrder, LoadProbe, Reply, ShardQuery, ShardRequest
from ..models import Replica

CONNECT_TIMEOUT_S = 1.0
LEAST_TIMEOUT_S = 0.05
TIMEOUT_MARGIN_S = 1.0
"""Time past an exchange's deadline after which its socket gives up by itself."""

MAX_REPLY_BYTES = 16 * 1024 * 1024
REPLY_DECODER = msgspec.json.Decoder(Reply)


class HttpRequest:
    """One HTTP request to an upstream."""

    __slots__ = ('body', 'headers', 'method', 'path')

    def __init__(self, method: str, path: str, body: bytes | None, headers: dict[str, str]):
        self.method = method
        self.path = path
        self.body = body
        self.headers = headers


@singledispatch
def to_request(message: object) -> HttpRequest:
    """Return the HTTP request that carries a message."""
    raise TypeError(f'no request for {type(message).__name__}')


@to_request.register
def query_to_request(message: ShardQuery) -> HttpRequest:
    """Carry one shard's part of a query."""
    shard = message.shard
    headers = {
        'X-Request-Id': message.request_id,
        'X-Back-End': message.back_end,
        'X-Shard': shard.shard_id,
        'X-Range': f'{shard.low}-{shard.high}',
        'X-Snapshot': str(message.snapshot),
        'X-Deadline-Ms': str(int(message.deadline_ms)),
    }
    return HttpRequest('POST', '/v1/shard-query', message.body, headers)


@to_request.register
def request_to_request(message: ShardRequest) -> HttpRequest:
    """Carry a non-idempotent request."""
    headers = {
        'X-Request-Id': message.request_id,
        'X-Back-End': message.back_end,
        'X-Shard': message.shard.shard_id,
        'X-Deadline-Ms': str(int(message.deadline_ms)),
    }
    body = msgspec.json.encode({'key': message.key, 'body': msgspec.Raw(message.body)})
    return HttpRequest('POST', '/v1/shard-request', body, headers)


@to_request.register
def cancel_to_request(message: CancelOrder) -> HttpRequest:
    """Carry a cancel order."""
    headers = {'X-Cancelled-Attempt-Id': message.cancelled_attempt_id}
    return HttpRequest('POST', '/v1/cancel', b'', headers)


@to_request.register
def probe_to_request(message: LoadProbe) -> HttpRequest:
    """Carry a probe."""
    return HttpRequest('GET', '/v1/load', None, {})


class Connection:
    """One connection and whether it was closed from outside its exchange."""

    __slots__ = ('http', 'is_closed')

    def __init__(self, replica: Replica):
        self.http = http.client.HTTPConnection(replica.host, replica.port)
        self.is_closed = False


class UpstreamClient:
    """
    Carries the core's sends; reports the end of each with one event.

    :param post: takes the events
    """

    __slots__ = ('connections', 'executor', 'post')

    def __init__(self, post: Callable[[Event], None], thread_count: int):
        self.post = post
        self.executor = ThreadPoolExecutor(thread_count, thread_name_prefix='upstream')
        self.connections: dict[int, Connection] = {}

    def send(self, action: Send) -> None:
        """Start an exchange."""
        if action.is_new:
            self.connections[action.connection_id] = Connection(action.replica)
        connection = self.connections.get(action.connection_id)
        self.executor.submit(self.run_exchange, action, connection)

    def close_connection(self, action: CloseConnection) -> None:
        """Close a connection; an exchange on it fails at once."""
        connection = self.connections.pop(action.connection_id, None)
        if connection is None:
            return
        connection.is_closed = True
        sock = connection.http.sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def run_exchange(self, action: Send, connection: Connection | None) -> None:
        """Run one exchange and post its end."""
        if connection is None:
            failure = AttemptFailure(Reason.CONNECTION_LOST, Executed.NOT_RUN, 'already closed')
            self.post(AttemptFailed(action.attempt_id, failure))
            return
        result = exchange(action, connection)
        if isinstance(result, AttemptFailure):
            self.connections.pop(action.connection_id, None)
            connection.http.close()
            self.post(AttemptFailed(action.attempt_id, result))
            return
        self.post(ReplyReceived(action.attempt_id, result, not result.closing))

    def close(self) -> None:
        """Close all connections and let the threads end."""
        for connection_id in list(self.connections):
            self.close_connection(CloseConnection(connection_id))
        self.executor.shutdown(wait=False, cancel_futures=True)


def exchange(action: Send, connection: Connection) -> Reply | AttemptFailure:
    """Connect if need be, send the message and read the whole reply."""
    client = connection.http
    request = to_request(action.message)
    timeout_s = max(LEAST_TIMEOUT_S, action.timeout_ms / 1000.0)
    if client.sock is None:
        failure = connect(client, min(CONNECT_TIMEOUT_S, timeout_s))
        if failure is not None:
            return failure
        if connection.is_closed:
            return AttemptFailure(Reason.CONNECTION_LOST, Executed.NOT_RUN, 'closed before use')
    request.headers['X-Attempt-Id'] = action.attempt_id
    try:
        client.sock.settimeout(timeout_s + TIMEOUT_MARGIN_S)
        client.request(request.method, request.path, request.body, request.headers)
        response = client.getresponse()
        if response.length is None and not response.chunked:
            return AttemptFailure(Reason.TRUNCATED, Executed.UNKNOWN, 'body of unknown length')
        body = response.read(MAX_REPLY_BYTES)
        if not response.isclosed():
            return AttemptFailure(Reason.TOO_LARGE, Executed.UNKNOWN, 'reply too large')
    except http.client.IncompleteRead:
        return AttemptFailure(Reason.TRUNCATED, Executed.UNKNOWN, 'body ended early')
    except TimeoutError:
        return AttemptFailure(Reason.NO_PROGRESS, Executed.UNKNOWN, 'no reply in time')
    except (OSError, http.client.HTTPException, AttributeError, ValueError) as error:
        # AttributeError: the socket was closed from outside in the middle of a call.
        return AttemptFailure(Reason.CONNECTION_LOST, Executed.UNKNOWN, type(error).__name__)
    return read_reply(body, response.will_close)


def connect(client: http.client.HTTPConnection, timeout_s: float) -> AttemptFailure | None:
    """Open a connection; nothing has been sent if that fails."""
    client.timeout = timeout_s
    try:
        client.connect()
    except OSError as error:
        return AttemptFailure(Reason.CONNECT_FAILED, Executed.NOT_RUN, type(error).__name__)
    return None


def read_reply(body: bytes, closing: bool) -> Reply | AttemptFailure:
    """Read a reply's body."""
    try:
        reply = REPLY_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return AttemptFailure(Reason.UPSTREAM_ERROR, Executed.UNKNOWN, type(error).__name__)
    reply.closing = closing
    return reply
