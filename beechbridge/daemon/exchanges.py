"""
Exchanges with replicas on one event loop, without a thread each.

A gather touches up to hundreds of replicas at once; a thread for each exchange costs a small VM
more processor time than the callers' goals leave; so this is `asyncio` with the parser of
`httptools` instead of `http.client`.
"""

import asyncio
import socket
from collections.abc import Callable

import httptools

from ..gateway.actions import DropConnection, SendRequest
from ..gateway.events import ConnectionEnded, ExchangeEnded
from ..gateway.models import LinkFailure, LinkFault, Reply

CONNECT_TIMEOUT_S = 0.6
"""Time for a connection to open: a lost first packet is only sent again after a second."""

UNACKNOWLEDGED_MS = 3_000
"""Time without an acknowledgement after which the system closes a connection."""

LARGEST_REPLY_BYTES = 16 * 1024 * 1024
NO_BODY_STATUSES = frozenset((204, 304))

ReplyReader = Callable[[int, list[tuple[str, str]], bytes, bool], Reply]


class ReplicaLink(asyncio.Protocol):
    """
    One connection to a replica; carries one exchange at a time.

    :param post: takes the events
    :param read_reply: makes a reply of status, headers, body and whether the connection ends
    """

    __slots__ = (
        'body',
        'body_bytes',
        'connection_id',
        'exchange_id',
        'headers',
        'is_complete',
        'is_dropped',
        'is_framed',
        'is_head_read',
        'is_kept_alive',
        'method',
        'parser',
        'pending',
        'post',
        'read_reply',
        'request_id',
        'transport',
    )

    def __init__(self, connection_id: int, post: Callable, read_reply: ReplyReader):
        self.connection_id = connection_id
        self.post = post
        self.read_reply = read_reply
        self.transport: asyncio.Transport | None = None
        self.exchange_id: int | None = None
        self.request_id = ''
        self.method = 'GET'
        self.pending = b''
        self.is_dropped = False
        self.reset_parser()

    def reset_parser(self) -> None:
        """Expect a new response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_head_read = False
        self.is_framed = False
        self.is_complete = False
        self.is_kept_alive = False

    def begin(self, exchange_id: int, request_id: str, method: str, data: bytes) -> None:
        """Send a request, now or once the connection is open."""
        self.exchange_id = exchange_id
        self.request_id = request_id
        self.method = method
        self.reset_parser()
        if self.transport is None:
            self.pending = data
            return
        self.transport.write(data)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send what waits for the connection."""
        self.transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        if self.is_dropped:
            transport.abort()
            return
        if self.pending:
            transport.write(self.pending)
            self.pending = b''

    def data_received(self, data: bytes) -> None:
        """Read a response; bytes that nobody asked for end the connection."""
        if self.is_dropped:
            return
        if self.exchange_id is None:
            self.end_idle()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_complete:
                self.fail(LinkFault.MALFORMED)
                return
            # Bytes after a whole response belong to no request.
            self.is_framed = False
        if self.is_complete:
            self.finish()

    def on_message_begin(self) -> None:
        """Start a response; a second one in the same bytes is surplus."""
        if self.is_complete:
            self.is_framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        if self.is_complete:
            return
        lower = name.lower()
        if lower in (b'content-length', b'transfer-encoding'):
            self.is_framed = True
        self.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Note that the head was read."""
        self.is_head_read = True

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        if self.is_complete:
            return
        self.body_bytes += len(body)
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Take the response as whole, unless it is a late one to an earlier request."""
        if not self.is_complete:
            # The parser forgets the answer to this once the next message begins.
            self.is_kept_alive = self.parser.should_keep_alive()
        self.is_complete = True

    def finish(self) -> None:
        """Report a whole response."""
        status = self.parser.get_status_code()
        closes = not self.is_kept_alive or not self.is_framed
        if status in NO_BODY_STATUSES:
            closes = True
        reply = self.read_reply(status, self.headers, b''.join(self.body), closes)
        if reply.request_id and reply.request_id != self.request_id:
            # A surplus answer to an earlier request: the one asked for may still come.
            self.reset_parser()
            return
        exchange_id, self.exchange_id = self.exchange_id, None
        self.post(ExchangeEnded(exchange_id, reply))

    def eof_received(self) -> bool:
        """Take a response without a length as whole if the replica ended it in order."""
        if self.exchange_id is not None and self.is_head_read and not self.is_framed:
            self.is_complete = True
            self.finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection is gone."""
        if self.is_dropped:
            return
        if self.exchange_id is not None:
            self.fail(LinkFault.LOST)
            return
        self.end_idle()

    def fail(self, fault: LinkFault) -> None:
        """Report that the exchange has no whole response."""
        exchange_id, self.exchange_id = self.exchange_id, None
        was_sent = self.transport is not None
        self.drop()
        self.post(ExchangeEnded(exchange_id, LinkFailure(fault, was_sent)))

    def end_idle(self) -> None:
        """Report that the idle connection is of no more use."""
        self.drop()
        self.post(ConnectionEnded(self.connection_id))

    def drop(self) -> None:
        """Close the connection without a further event."""
        self.is_dropped = True
        self.exchange_id = None
        if self.transport is not None:
            self.transport.abort()


class ExchangeClient:
    """
    Carries the gateway's requests to replicas.

    :param write_request: makes the bytes of a request
    """

    __slots__ = ('links', 'loop', 'post', 'read_reply', 'tasks', 'write_request')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        post: Callable,
        write_request: Callable[[SendRequest], bytes],
        read_reply: ReplyReader,
    ):
        self.loop = loop
        self.post = post
        self.write_request = write_request
        self.read_reply = read_reply
        self.links: dict[int, ReplicaLink] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, action: SendRequest) -> None:
        """Start an exchange."""
        data = self.write_request(action)
        if action.is_new:
            link = ReplicaLink(action.connection_id, self.post, self.read_reply)
            self.links[action.connection_id] = link
            task = self.loop.create_task(self.connect(link, action.host, action.port))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        link = self.links.get(action.connection_id)
        if link is None or link.is_dropped:
            failure = LinkFailure(LinkFault.LOST, was_sent=False)
            self.loop.call_soon(self.post, ExchangeEnded(action.exchange_id, failure))
            return
        request = action.request
        link.begin(action.exchange_id, request.request_id, request.method, data)

    async def connect(self, link: ReplicaLink, host: str, port: int) -> None:
        """Open a connection; nothing has been sent if that fails."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: link, host, port)
        except (OSError, TimeoutError):
            self.links.pop(link.connection_id, None)
            if not link.is_dropped and link.exchange_id is not None:
                link.fail(LinkFault.CONNECT_FAILED)

    def drop(self, action: DropConnection) -> None:
        """Close a connection."""
        link = self.links.pop(action.connection_id, None)
        if link is not None:
            link.drop()

    def close(self) -> None:
        """Close all connections."""
        for link in self.links.values():
            link.drop()
        self.links.clear()
