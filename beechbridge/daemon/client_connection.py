"""One connection to a replica or another VM: parses and limits what it receives."""

import asyncio
import socket
from collections.abc import Callable

import httptools

from ..gateway.events import ConnectionEnded, ExchangeEnded, RequestSent
from ..gateway.models import LinkFailure, LinkFault, PartsReply, Reply
from .memory_account import REPLIES, MemoryAccount

TCP_USER_TIMEOUT_MS = 3_000
"""Time after which the kernel closes a connection whose sent data is not acknowledged."""

FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
LENGTH_HEADER = b'content-length'
FIRST_FINAL_STATUS = 200
"""Lower status codes are interim responses."""

MAX_HEAD_BYTES = 65_536
MAX_HEADER_FIELDS = 128
"""Limits on the head of a response and its trailers together."""

FRAMING_FACTOR = 2
"""Multiple of the body's limit that all bytes of an exchange may take, with chunk sizes, interim
responses and late responses to earlier requests."""

MAX_ABANDONED_BYTES = 65_536
"""Body bytes that are still read if nobody needs the reply: more cost more than a handshake."""

SMALL_CHUNK_BYTES = 1024
"""Smaller chunks of a body are joined as they arrive: an object for each takes some 50 bytes."""

ReplyDecoder = Callable[[int, list[tuple[str, str]], bytes, bool], Reply | PartsReply]


class OversizedError(Exception):
    """A response exceeds a limit."""


class Response:
    """
    A response, possibly not yet received in full.

    :param body: pieces of the body, of which the small ones are joined
    :param head_bytes: size of the headers and trailers received so far
    """

    __slots__ = (
        'body',
        'body_bytes',
        'has_head',
        'head_bytes',
        'headers',
        'is_framed',
        'is_kept_alive',
        'status',
    )

    def __init__(self):
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes | bytearray] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.has_head = False
        self.is_framed = False
        self.is_kept_alive = False

    def add_chunk(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        pieces = self.body
        if not pieces or len(chunk) >= SMALL_CHUNK_BYTES:
            pieces.append(chunk)
        elif isinstance(pieces[-1], bytearray):
            pieces[-1] += chunk
        else:
            pieces.append(bytearray(chunk))


class ReplyMemory:
    """
    Bodies of all replies that are being received.

    :param limit_bytes: size above which the largest of them is given up
    :param relieve: called, later, if the limit is exceeded
    :param account: account of the process's memory in which they are counted, too
    :param relieve_account: called if that account is exceeded
    """

    __slots__ = ('account', 'held_bytes', 'limit_bytes', 'relieve', 'relieve_account')

    def __init__(self, limit_bytes: int, relieve: Callable[[], None]):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.relieve = relieve
        self.account: MemoryAccount | None = None
        self.relieve_account: Callable[[], None] = lambda: None

    def hold(self, byte_count: int) -> None:
        """Count bytes that were received."""
        self.held_bytes += byte_count
        if self.account is not None and self.account.count(REPLIES, byte_count):
            self.relieve_account()
        if self.held_bytes > self.limit_bytes:
            self.relieve()

    def release(self, byte_count: int) -> None:
        """Count bytes that are no longer kept here."""
        self.held_bytes -= byte_count
        if self.account is not None:
            self.account.count(REPLIES, -byte_count)


class ClientConnection(asyncio.Protocol):
    """
    One connection to a replica or another VM; carries one exchange at a time.

    :param post: receives the events
    :param decode_reply: builds the reply to the current request; see `Codec`
    :param memory: counts the bytes that are kept
    :param current: response that is being received
    :param completed: responses received in full and not yet processed
    :param body_limit_bytes: largest body that the current exchange may receive
    :param excess_fault: fault of an exchange whose response exceeds a limit
    :param received_bytes: bytes received since the request was sent
    :param kept_bytes: body bytes received since the request was sent
    :param unparsed_head_bytes: bytes of a head that has not been received in full
    """

    __slots__ = (
        'body_limit_bytes',
        'completed',
        'connection_id',
        'current',
        'decode_reply',
        'excess_fault',
        'exchange_id',
        'is_dropped',
        'kept_bytes',
        'memory',
        'parser',
        'pending',
        'post',
        'received_bytes',
        'request_id',
        'transport',
        'unparsed_head_bytes',
    )

    def __init__(
        self, connection_id: int, post: Callable, decode_reply: ReplyDecoder, memory: ReplyMemory
    ):
        self.connection_id = connection_id
        self.post = post
        self.decode_reply = decode_reply
        self.memory = memory
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.exchange_id: int | None = None
        self.request_id = ''
        self.pending = b''
        self.current: Response | None = None
        self.completed: list[Response] = []
        self.is_dropped = False
        self.body_limit_bytes = 0
        self.excess_fault = LinkFault.OVERSIZED
        self.received_bytes = 0
        self.kept_bytes = 0
        self.unparsed_head_bytes = 0

    def send(self, exchange_id: int, request_id: str, data: bytes, body_limit_bytes: int) -> None:
        """Send a request now, or as soon as the connection is open."""
        self.exchange_id = exchange_id
        self.request_id = request_id
        self.body_limit_bytes = body_limit_bytes
        self.excess_fault = LinkFault.OVERSIZED
        self.received_bytes = 0
        if self.transport is None:
            self.pending = data
            return
        self.transport.write(data)

    def withdraw(self, exchange_id: int) -> bool:
        """Never send the request of an exchange; return False if any byte may have left."""
        if self.exchange_id != exchange_id or self.transport is not None:
            return False
        self.drop()
        return True

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
        fault = None
        try:
            self.parser.feed_data(data)
            self.check_size(len(data))
        except OversizedError:
            fault = self.excess_fault
        except httptools.HttpParserCallbackError as error:
            is_oversized = isinstance(error.__context__, OversizedError)
            fault = self.excess_fault if is_oversized else LinkFault.MALFORMED
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            fault = LinkFault.MALFORMED
        self.report_response(has_trailing_bytes=fault is not None)
        if fault is not None and self.exchange_id is not None:
            self.fail(fault)

    def check_size(self, byte_count: int) -> None:
        """
        Count received bytes.

        :raises OversizedError: if an unfinished head or the whole exchange is too large
        """
        self.received_bytes += byte_count
        if self.received_bytes > MAX_HEAD_BYTES + FRAMING_FACTOR * self.body_limit_bytes:
            raise OversizedError
        current = self.current
        if current is None or current.has_head:
            self.unparsed_head_bytes = 0
            return
        # The parser keeps the header that it is reading, and reports it only at its end.
        self.unparsed_head_bytes += byte_count
        if self.unparsed_head_bytes > MAX_HEAD_BYTES:
            raise OversizedError

    def on_message_begin(self) -> None:
        """Start a response."""
        self.current = Response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """
        Add a header to the response.

        :raises OversizedError: if the head is too large, or the body that it announces
        """
        current = self.current
        lower_name = name.lower()
        if lower_name in FRAMING_HEADERS:
            current.is_framed = True
            if lower_name == LENGTH_HEADER and int(value) > self.body_limit_bytes:
                raise OversizedError
        current.head_bytes += len(name) + len(value)
        current.headers.append((name.decode('latin-1'), value.decode('latin-1')))
        if current.head_bytes > MAX_HEAD_BYTES or len(current.headers) > MAX_HEADER_FIELDS:
            raise OversizedError

    def on_headers_complete(self) -> None:
        """Store the status code."""
        self.current.has_head = True
        self.current.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """
        Add a chunk of the body to the response.

        :raises OversizedError: if the body is too large
        """
        current = self.current
        current.body_bytes += len(body)
        if current.body_bytes > self.body_limit_bytes:
            raise OversizedError
        current.add_chunk(body)
        self.kept_bytes += len(body)
        self.memory.hold(len(body))

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
            self.release_memory()
            self.post(ExchangeEnded(exchange_id, reply))
            return

    def release_memory(self) -> None:
        """Stop counting the bytes received so far: they were passed on or dropped."""
        self.memory.release(self.kept_bytes)
        self.kept_bytes = 0

    def abandon(self) -> None:
        """Go on only if little is left to read: nobody needs the reply any more."""
        received_bytes = self.current.body_bytes if self.current else 0
        limit_bytes = received_bytes + MAX_ABANDONED_BYTES
        if limit_bytes < self.body_limit_bytes:
            self.body_limit_bytes = limit_bytes
            self.excess_fault = LinkFault.ABANDONED

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

    def fail(self, fault: LinkFault, is_refused: bool = False) -> None:
        """
        Close the connection and report that the exchange failed.

        :param is_refused: whether nothing listens at the address
        """
        exchange_id, self.exchange_id = self.exchange_id, None
        was_sent = self.transport is not None
        self.drop()
        self.post(ExchangeEnded(exchange_id, LinkFailure(fault, was_sent, is_refused)))

    def close_idle(self) -> None:
        """Close the idle connection and report its end."""
        self.drop()
        self.post(ConnectionEnded(self.connection_id))

    def drop(self) -> None:
        """Close the connection without posting an event."""
        self.is_dropped = True
        self.exchange_id = None
        self.current = None
        self.completed.clear()
        self.release_memory()
        if self.transport is not None:
            self.transport.abort()
