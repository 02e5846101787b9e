"""
Asynchronous HTTP client for exchanges with replicas and other VMs.

A gather sends requests to up to hundreds of replicas at once. On a small VM, one thread per
exchange uses more CPU time than the latency objectives allow, hence `asyncio` with the parser of
`httptools` instead of `http.client`.
"""

import asyncio
from collections.abc import Callable

from ..gateway.actions import (
    AbandonExchange,
    DropConnection,
    ProbeReplica,
    SendOrder,
    SendRelay,
    SendRequest,
    WithdrawExchange,
)
from ..gateway.events import ExchangeEnded, ExchangeWithdrawn, ProbeEnded, RequestSent
from ..gateway.models import LinkFailure, LinkFault
from ..gateway.settings import DEFAULT_REPLY_MEMORY_BYTES
from ..record import Record
from .client_connection import ClientConnection, ReplyDecoder, ReplyMemory

CONNECT_TIMEOUT_S = 0.6
"""Shorter than the one second after which TCP retransmits a lost SYN packet."""


class Codec(Record):
    """
    Encoder of one kind of request and decoder of its responses.

    :param encode: returns the bytes of a request
    :param decode: builds a reply from status, headers, body and whether the connection closes
    """

    __slots__ = ('decode', 'encode')

    def __init__(
        self, encode: Callable[[SendRequest | SendOrder | SendRelay], bytes], decode: ReplyDecoder
    ):
        self.encode = encode
        self.decode = decode


class ExchangeClient:
    """
    Sends the gateway's requests to replicas and its orders to other VMs.

    :param codecs: codec by action class
    :param memory_bytes: limit on the bodies of all replies that are being received
    """

    __slots__ = ('codecs', 'connections', 'loop', 'memory', 'post', 'relief', 'tasks')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        post: Callable,
        codecs: dict[type, Codec],
        memory_bytes: int = DEFAULT_REPLY_MEMORY_BYTES,
    ):
        self.loop = loop
        self.post = post
        self.codecs = codecs
        self.memory = ReplyMemory(memory_bytes, self.schedule_relief)
        self.relief: asyncio.Handle | None = None
        self.connections: dict[int, ClientConnection] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(self, action: SendRequest | SendOrder | SendRelay, port: int) -> None:
        """Start an exchange with a port of the action's host."""
        codec = self.codecs[type(action)]
        data = codec.encode(action)
        if action.is_new:
            connection = ClientConnection(
                action.connection_id, self.post, codec.decode, self.memory
            )
            self.connections[action.connection_id] = connection
            task = self.loop.create_task(self.connect(connection, action.host, port))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        connection = self.connections.get(action.connection_id)
        if connection is None or connection.is_dropped:
            failure = LinkFailure(LinkFault.LOST, was_sent=False)
            self.loop.call_soon(self.post, ExchangeEnded(action.exchange_id, failure))
            return
        # Orders and relays to one VM share its connections.
        connection.decode_reply = codec.decode
        connection.send(action.exchange_id, action.request_id, data, action.max_reply_bytes)

    async def connect(self, connection: ClientConnection, host: str, port: int) -> None:
        """Open a connection; if that fails, the request counts as not sent."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: connection, host, port)
        except (OSError, ValueError) as error:
            # A host that cannot be looked up at all is a ValueError.
            self.connections.pop(connection.connection_id, None)
            if not connection.is_dropped and connection.exchange_id is not None:
                is_refused = isinstance(error, ConnectionRefusedError)
                connection.fail(LinkFault.CONNECT_FAILED, is_refused)

    def probe(self, action: ProbeReplica) -> None:
        """Open a connection that carries nothing, and report whether it was accepted."""
        task = self.loop.create_task(self.run_probe(action))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_probe(self, action: ProbeReplica) -> None:
        """Report whether an address accepts connections, refuses them or does not answer."""
        is_open = is_refused = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await self.loop.create_connection(
                    asyncio.Protocol, action.host, action.port
                )
            is_open = True
            transport.abort()
        except (OSError, ValueError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
        self.post(ProbeEnded(action.probe_id, is_open, is_refused))

    def drop(self, action: DropConnection) -> None:
        """Close a connection."""
        connection = self.connections.pop(action.connection_id, None)
        if connection is not None:
            connection.drop()

    def abandon(self, action: AbandonExchange) -> None:
        """Read the reply to the end only if that is cheaper than a new connection."""
        connection = self.connections.get(action.connection_id)
        if connection is not None:
            connection.abandon()

    def withdraw(self, action: WithdrawExchange) -> None:
        """Never send a request, unless that has begun; report which."""
        connection = self.connections.get(action.connection_id)
        event = RequestSent(action.exchange_id)
        if connection is not None and connection.withdraw(action.exchange_id):
            del self.connections[action.connection_id]
            event = ExchangeWithdrawn(action.exchange_id)
        self.loop.call_soon(self.post, event)

    def schedule_relief(self) -> None:
        """Free memory once the parser that is running has returned."""
        if self.relief is None:
            self.relief = self.loop.call_soon(self.relieve_memory)

    def relieve_memory(self) -> None:
        """Give up the largest replies until the others fit into the limit."""
        self.relief = None
        while self.memory.held_bytes > self.memory.limit_bytes:
            largest = max(self.connections.values(), key=lambda one: one.kept_bytes)
            if largest.exchange_id is None:
                largest.close_idle()
                continue
            largest.fail(LinkFault.OVERSIZED)

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.drop()
        self.connections.clear()
