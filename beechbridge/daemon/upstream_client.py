"""HTTP client for exchanges with upstreams, on a thread pool."""

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
from ..wire.bounded_http import LimitedConnection, OversizedResponseError, read_body

CONNECT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.05
TIMEOUT_MARGIN_S = 1.0
"""Time after an exchange's deadline at which its socket times out."""

MAX_REPLY_BYTES = 16 * 1024 * 1024
REPLY_DECODER = msgspec.json.Decoder(Reply)


class HttpRequest:
    """HTTP request to an upstream."""

    __slots__ = ('body', 'headers', 'method', 'path')

    def __init__(self, method: str, path: str, body: bytes | None, headers: dict[str, str]):
        self.method = method
        self.path = path
        self.body = body
        self.headers = headers


@singledispatch
def to_http_request(message: object) -> HttpRequest:
    """Return the HTTP request that carries a message."""
    raise TypeError(f'no HTTP request for {type(message).__name__}')


@to_http_request.register
def shard_query_to_http(message: ShardQuery) -> HttpRequest:
    """Return the request that carries one shard's part of a query."""
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


@to_http_request.register
def shard_request_to_http(message: ShardRequest) -> HttpRequest:
    """Return the request that carries a non-idempotent request."""
    headers = {
        'X-Request-Id': message.request_id,
        'X-Back-End': message.back_end,
        'X-Shard': message.shard.shard_id,
        'X-Deadline-Ms': str(int(message.deadline_ms)),
    }
    body = msgspec.json.encode({'key': message.key, 'body': msgspec.Raw(message.body)})
    return HttpRequest('POST', '/v1/shard-request', body, headers)


@to_http_request.register
def cancel_to_http(message: CancelOrder) -> HttpRequest:
    """Return the request that cancels an attempt."""
    headers = {'X-Cancelled-Attempt-Id': message.cancelled_attempt_id}
    return HttpRequest('POST', '/v1/cancel', b'', headers)


@to_http_request.register
def probe_to_http(message: LoadProbe) -> HttpRequest:
    """Return the request that reads the health and load of an upstream."""
    return HttpRequest('GET', '/v1/load', None, {})


class Connection:
    """Connection to an upstream; `is_closed` is set if the core closed it."""

    __slots__ = ('http', 'is_closed')

    def __init__(self, replica: Replica):
        self.http = LimitedConnection(
            replica.host, replica.port, CONNECT_TIMEOUT_S, MAX_REPLY_BYTES
        )
        self.is_closed = False


class UpstreamClient:
    """
    Sends messages to upstreams; posts one event at the end of each exchange.

    :param post: passes an event to the core
    """

    __slots__ = ('connections', 'executor', 'post')

    def __init__(self, post: Callable[[Event], None], thread_count: int):
        self.post = post
        self.executor = ThreadPoolExecutor(thread_count, thread_name_prefix='upstream')
        self.connections: dict[int, Connection] = {}

    def send(self, action: Send) -> None:
        """Start an exchange in a thread of the pool."""
        if action.is_new:
            self.connections[action.connection_id] = Connection(action.replica)
        connection = self.connections.get(action.connection_id)
        self.executor.submit(self.run_exchange, action, connection)

    def close_connection(self, action: CloseConnection) -> None:
        """Close a connection; an exchange on it fails immediately."""
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
        """Run one exchange and post its result."""
        if connection is None:
            failure = AttemptFailure(
                Reason.CONNECTION_LOST, Executed.NOT_RUN, 'connection was already closed'
            )
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
        """Close all connections and shut down the thread pool."""
        for connection_id in list(self.connections):
            self.close_connection(CloseConnection(connection_id))
        self.executor.shutdown(wait=False, cancel_futures=True)


def exchange(action: Send, connection: Connection) -> Reply | AttemptFailure:
    """Connect if necessary, send the message and read the whole reply."""
    client = connection.http
    request = to_http_request(action.message)
    timeout_s = max(MIN_TIMEOUT_S, action.timeout_ms / 1000.0)
    if client.sock is None:
        failure = connect(client, min(CONNECT_TIMEOUT_S, timeout_s))
        if failure is not None:
            return failure
        if connection.is_closed:
            return AttemptFailure(
                Reason.CONNECTION_LOST,
                Executed.NOT_RUN,
                'connection was closed before the request was sent',
            )
    request.headers['X-Attempt-Id'] = action.attempt_id
    try:
        client.timeout = timeout_s + TIMEOUT_MARGIN_S
        client.limit_time(client.timeout)
        client.request(request.method, request.path, request.body, request.headers)
        response = client.getresponse()
        if response.length is None and not response.chunked:
            return AttemptFailure(
                Reason.TRUNCATED, Executed.UNKNOWN, 'length of the reply body is unknown'
            )
        body = read_body(response)
    except OversizedResponseError as error:
        return AttemptFailure(Reason.TOO_LARGE, Executed.UNKNOWN, str(error))
    except http.client.IncompleteRead:
        return AttemptFailure(Reason.TRUNCATED, Executed.UNKNOWN, 'reply body ended early')
    except TimeoutError:
        return AttemptFailure(Reason.NO_PROGRESS, Executed.UNKNOWN, 'no reply within the timeout')
    except (OSError, http.client.HTTPException, AttributeError, ValueError) as error:
        # AttributeError: close_connection() closed the socket during a call.
        return AttemptFailure(Reason.CONNECTION_LOST, Executed.UNKNOWN, type(error).__name__)
    return read_reply(body, response.will_close)


def connect(client: http.client.HTTPConnection, timeout_s: float) -> AttemptFailure | None:
    """Open a connection; if this fails, nothing has been sent."""
    client.timeout = timeout_s
    try:
        client.connect()
    except OSError as error:
        return AttemptFailure(Reason.CONNECT_FAILED, Executed.NOT_RUN, type(error).__name__)
    return None


def read_reply(body: bytes, closing: bool) -> Reply | AttemptFailure:
    """Parse the body of a reply."""
    try:
        reply = REPLY_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return AttemptFailure(Reason.UPSTREAM_ERROR, Executed.UNKNOWN, type(error).__name__)
    reply.closing = closing
    return reply
