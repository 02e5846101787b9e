"""
Asynchronous HTTP client for exchanges with replicas and other VMs.

A gather sends requests to up to hundreds of replicas at once. On a small VM, one thread per
exchange uses more CPU time than the latency objectives allow, hence `asyncio` with the parser of
`httptools` instead of `http.client`.
"""

import asyncio
import socket
from collections.abc import Callable

import httptools

from ..gateway.actions import DropConnection, SendOrder, SendRequest
from ..gateway.events import ConnectionEnded, ExchangeEnded, RequestSent
from ..gateway.models import LinkFailure, LinkFault, PartsReply, Reply
from ..record import Record

CONNECT_TIMEOUT_S = 0.6
"""Shorter than the one second after which TCP retransmits a lost SYN packet."""

TCP_USER_TIMEOUT_MS = 3_000
"""Time after which the kernel closes a connection whose sent data is not acknowledged."""

FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
FIRST_FINAL_STATUS = 200
"""Lower status codes are interim responses."""

ReplyDecoder = Callable[[int, list[tuple[str, str]], bytes, bool], Reply | PartsReply]


class Codec(Record):
    """
    Encoder of one kind of request and decoder of its responses.

    :param encode: returns the bytes of a request
    :param decode: builds a reply from status, headers, body and whether the connection closes
    """

    __slots__ = ('decode', 'encode')

    def __init__(self, encode: Callable[[SendRequest | SendOrder], bytes], decode: ReplyDecoder):
        self.encode = encode
        self.decode = decode


class Response:
    """A response, possibly not yet received in full."""

    __slots__ = ('body', 'headers', 'is_framed', 'is_kept_alive', 'status')

    def __init__(self):
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.is_framed = False
        self.is_kept_alive = False


class ClientConnection(asyncio.Protocol):
    """
    One connection to a replica or another VM; carries one exchange at a time.

    :param post: receives the events
    :param decode_reply: builds a reply; see `Codec`
    :param current: response that is being received
    :param completed: responses received in full and not yet processed
    """

    __slots__ = (
        'completed',
        'connection_id',
        'current',
        'decode_reply',
        'exchange_id',
        'is_dropped',
        'parser',
        'pending',
        'post',
        'request_id',
        'transport',
    )

    def __init__(self, connection_id: int, post: Callable, decode_reply: ReplyDecoder):
        self.connection_id = connection_id
        self.post = post
        self.decode_reply = decode_reply
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.exchange_id: int | None = None
        self.request_id = ''
        self.pending = b''
        self.current: Response | None = None
        self.completed: list[Response] = []
        self.is_dropped = False

    def send(self, exchange_id: int, request_id: str, data: bytes) -> None:
        """Send a request now, or as soon as the connection is open."""
        self.exchange_id = exchange_id
        self.request_id = request_id
        if self.transport is None:
            self.pending = data
            return
        self.transport.write(data)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the pending request."""
        self.transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        if self.is_dropped:
            transport.abort()
            return
        if self.pending:
            transport.write(self.pending)
            self.pending = b''
            self.post(RequestSent(self.exchange_id))

    def data_received(self, data: bytes) -> None:
        """Parse responses; close the connection on data without a request in flight."""
        if self.is_dropped:
            return
        if self.exchange_id is None:
            self.close_idle()
            return
        is_malformed = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_malformed = True
        self.report_response(is_malformed)
        if is_malformed and self.exchange_id is not None:
            self.fail(LinkFault.MALFORMED)

    def on_message_begin(self) -> None:
        """Start a response."""
        self.current = Response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the response."""
        if name.lower() in FRAMING_HEADERS:
            self.current.is_framed = True
        self.current.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Store the status code."""
        self.current.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Add a chunk of the body to the response."""
        self.current.body.append(body)

    def on_message_complete(self) -> None:
        """Store a complete response until all received data is parsed."""
        # The parser resets this when the next response begins.
        self.current.is_kept_alive = self.parser.should_keep_alive()
        self.completed.append(self.current)
        self.current = None

    def report_response(self, has_trailing_bytes: bool) -> None:
        """
        Report the response to the request in flight.

        Late responses to earlier requests, recognized by their request ID, are ignored.

        :param has_trailing_bytes: whether malformed data follows the complete responses
        """
        responses, self.completed = self.completed, []
        for number, response in enumerate(responses, 1):
            if response.status < FIRST_FINAL_STATUS:
                continue
            is_last = number == len(responses) and self.current is None and not has_trailing_bytes
            is_closing = not (response.is_framed and response.is_kept_alive and is_last)
            body = b''.join(response.body)
            reply = self.decode_reply(response.status, response.headers, body, is_closing)
            if reply.request_id and reply.request_id != self.request_id:
                continue
            exchange_id, self.exchange_id = self.exchange_id, None
            self.post(ExchangeEnded(exchange_id, reply))
            return

    def eof_received(self) -> bool:
        """Complete a response without a length if the peer closed the connection cleanly."""
        current = self.current
        if self.exchange_id is None or current is None:
            return False
        if current.status >= FIRST_FINAL_STATUS and not current.is_framed:
            self.current = None
            self.completed.append(current)
            self.report_response(has_trailing_bytes=False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss of the connection."""
        if self.is_dropped:
            return
        if self.exchange_id is not None:
            self.fail(LinkFault.LOST)
            return
        self.close_idle()

    def fail(self, fault: LinkFault) -> None:
        """Close the connection and report that the exchange failed."""
        exchange_id, self.exchange_id = self.exchange_id, None
        was_sent = self.transport is not None
        self.drop()
        self.post(ExchangeEnded(exchange_id, LinkFailure(fault, was_sent)))

    def close_idle(self) -> None:
        """Close the idle connection and report its end."""
        self.drop()
        self.post(ConnectionEnded(self.connection_id))

    def drop(self) -> None:
        """Close the connection without posting an event."""
        self.is_dropped = True
        self.exchange_id = None
        if self.transport is not None:
            self.transport.abort()


class ExchangeClient:
    """
    Sends the gateway's requests to replicas and its orders to other VMs.

    :param codecs: codec by action class
    """

    __slots__ = ('codecs', 'connections', 'loop', 'post', 'tasks')

    def __init__(self, loop: asyncio.AbstractEventLoop, post: Callable, codecs: dict[type, Codec]):
        self.loop = loop
        self.post = post
        self.codecs = codecs
        self.connections: dict[int, ClientConnection] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, action: SendRequest | SendOrder, port: int) -> None:
        """Start an exchange with a port of the action's host."""
        codec = self.codecs[type(action)]
        data = codec.encode(action)
        if action.is_new:
            connection = ClientConnection(action.connection_id, self.post, codec.decode)
            self.connections[action.connection_id] = connection
            task = self.loop.create_task(self.connect(connection, action.host, port))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        connection = self.connections.get(action.connection_id)
        if connection is None or connection.is_dropped:
            failure = LinkFailure(LinkFault.LOST, was_sent=False)
            self.loop.call_soon(self.post, ExchangeEnded(action.exchange_id, failure))
            return
        connection.send(action.exchange_id, action.request_id, data)

    async def connect(self, connection: ClientConnection, host: str, port: int) -> None:
        """Open a connection; if that fails, the request counts as not sent."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError):
            self.connections.pop(connection.connection_id, None)
            if not connection.is_dropped and connection.exchange_id is not None:
                connection.fail(LinkFault.CONNECT_FAILED)

    def drop(self, action: DropConnection) -> None:
        """Close a connection."""
        connection = self.connections.pop(action.connection_id, None)
        if connection is not None:
            connection.drop()

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.drop()
        self.connections.clear()
