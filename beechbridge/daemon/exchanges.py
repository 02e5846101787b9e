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

from ..gateway.actions import DropConnection, SendOrder, SendRequest
from ..gateway.events import ConnectionEnded, ExchangeEnded, RequestSent
from ..gateway.models import LinkFailure, LinkFault, PartsReply, Reply
from ..record import Record

CONNECT_TIMEOUT_S = 0.6
"""Time for a connection to open: a lost first packet is only sent again after a second."""

UNACKNOWLEDGED_MS = 3_000
"""Time without an acknowledgement after which the system closes a connection."""

FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
FINAL_STATUS = 200
"""Lower statuses announce a response and are none."""

ReplyReader = Callable[[int, list[tuple[str, str]], bytes, bool], Reply | PartsReply]


class Codec(Record):
    """
    How what is sent is written, and what comes back is read.

    :param write: makes the bytes of a request
    :param read: makes a reply of status, headers, body and whether the connection ends
    """

    __slots__ = ('read', 'write')

    def __init__(self, write: Callable[[SendRequest | SendOrder], bytes], read: ReplyReader):
        self.write = write
        self.read = read


class Response:
    """A response while it is read."""

    __slots__ = ('body', 'headers', 'is_framed', 'is_kept_alive', 'status')

    def __init__(self):
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.is_framed = False
        self.is_kept_alive = False


class ReplicaLink(asyncio.Protocol):
    """
    One connection to a replica; carries one exchange at a time.

    :param post: takes the events
    :param read_reply: makes a reply of status, headers, body and whether the connection ends
    :param reading: the response that has begun and is not whole yet
    :param whole: responses read in full and not yet looked at
    """

    __slots__ = (
        'connection_id',
        'exchange_id',
        'is_dropped',
        'parser',
        'pending',
        'post',
        'read_reply',
        'reading',
        'request_id',
        'transport',
        'whole',
    )

    def __init__(self, connection_id: int, post: Callable, read_reply: ReplyReader):
        self.connection_id = connection_id
        self.post = post
        self.read_reply = read_reply
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.exchange_id: int | None = None
        self.request_id = ''
        self.pending = b''
        self.reading: Response | None = None
        self.whole: list[Response] = []
        self.is_dropped = False

    def begin(self, exchange_id: int, request_id: str, data: bytes) -> None:
        """Send a request, now or once the connection is open."""
        self.exchange_id = exchange_id
        self.request_id = request_id
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
            self.post(RequestSent(self.exchange_id))

    def data_received(self, data: bytes) -> None:
        """Read responses; bytes that nobody asked for end the connection."""
        if self.is_dropped:
            return
        if self.exchange_id is None:
            self.end_idle()
            return
        is_malformed = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_malformed = True
        self.take_whole(is_malformed)
        if is_malformed and self.exchange_id is not None:
            self.fail(LinkFault.MALFORMED)

    def on_message_begin(self) -> None:
        """Start a response."""
        self.reading = Response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        if name.lower() in FRAMING_HEADERS:
            self.reading.is_framed = True
        self.reading.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Note the status."""
        self.reading.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.reading.body.append(body)

    def on_message_complete(self) -> None:
        """Keep a whole response for the end of the parsing."""
        # The parser forgets the answer to this once the next response begins.
        self.reading.is_kept_alive = self.parser.should_keep_alive()
        self.whole.append(self.reading)
        self.reading = None

    def take_whole(self, is_surplus: bool) -> None:
        """
        Report the response that was asked for.

        Late ones to earlier requests, which their identifier tells, are passed over.

        :param is_surplus: whether bytes that are no response came after the whole ones
        """
        responses, self.whole = self.whole, []
        for number, response in enumerate(responses, 1):
            if response.status < FINAL_STATUS:
                continue
            is_last = number == len(responses) and self.reading is None and not is_surplus
            closes = not (response.is_framed and response.is_kept_alive and is_last)
            body = b''.join(response.body)
            reply = self.read_reply(response.status, response.headers, body, closes)
            if reply.request_id and reply.request_id != self.request_id:
                continue
            exchange_id, self.exchange_id = self.exchange_id, None
            self.post(ExchangeEnded(exchange_id, reply))
            return

    def eof_received(self) -> bool:
        """Take a response without a length as whole if the replica ended it in order."""
        reading = self.reading
        if self.exchange_id is None or reading is None:
            return False
        if reading.status >= FINAL_STATUS and not reading.is_framed:
            self.reading = None
            self.whole.append(reading)
            self.take_whole(is_surplus=False)
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
    Carries the gateway's requests to replicas, and its orders to other VMs.

    :param codecs: by kind of action
    """

    __slots__ = ('codecs', 'links', 'loop', 'post', 'tasks')

    def __init__(self, loop: asyncio.AbstractEventLoop, post: Callable, codecs: dict[type, Codec]):
        self.loop = loop
        self.post = post
        self.codecs = codecs
        self.links: dict[int, ReplicaLink] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, action: SendRequest | SendOrder, port: int) -> None:
        """Start an exchange with what listens on a port of the action's host."""
        codec = self.codecs[type(action)]
        data = codec.write(action)
        if action.is_new:
            link = ReplicaLink(action.connection_id, self.post, codec.read)
            self.links[action.connection_id] = link
            task = self.loop.create_task(self.connect(link, action.host, port))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        link = self.links.get(action.connection_id)
        if link is None or link.is_dropped:
            failure = LinkFailure(LinkFault.LOST, was_sent=False)
            self.loop.call_soon(self.post, ExchangeEnded(action.exchange_id, failure))
            return
        link.begin(action.exchange_id, action.request_id, data)

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
