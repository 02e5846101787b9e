"""Loopback proxy that delays, resets, or drops data in one or both directions."""

import asyncio
import contextlib
import socket
import struct

from .listener import Listener

CHUNK_BYTES = 65_536
RESET_LINGER = struct.pack('ii', 1, 0)


class Proxy(Listener):
    """
    Proxy in front of one server.

    :param delay_s: delay of each chunk in seconds
    :param is_deaf: whether data from the server is dropped
    :param is_mute: whether data from clients is dropped
    """

    def __init__(self, host: str, target_host: str, target_port: int):
        super().__init__(host)
        self.target_host = target_host
        self.target_port = target_port
        self.delay_s = 0.0
        self.is_deaf = False
        self.is_mute = False
        self.links: set[Link] = set()

    async def start(self) -> None:
        """Start listening."""
        await self.listen(self.handle_connection)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for link in list(self.links):
            link.reset()

    def silence(self) -> None:
        """Drop all further data on the open connections without closing them; new ones work."""
        for link in self.links:
            link.is_silent = True

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both directions end."""
        try:
            server = await asyncio.open_connection(self.target_host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        link = Link(self, (reader, writer), server)
        self.links.add(link)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(link.forward_requests(), link.forward_responses())
        self.links.discard(link)


class Link:
    """One connection through the proxy."""

    def __init__(self, proxy: Proxy, client: tuple, server: tuple):
        self.proxy = proxy
        self.client_reader, self.client_writer = client
        self.server_reader, self.server_writer = server
        self.is_silent = False

    def reset(self) -> None:
        """Reset the connections to the client and to the server."""
        for writer in (self.client_writer, self.server_writer):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    async def forward_requests(self) -> None:
        """Forward data from the client to the server."""
        await self.forward(self.client_reader, self.server_writer, lambda: self.proxy.is_mute)

    async def forward_responses(self) -> None:
        """Forward data from the server to the client."""
        await self.forward(self.server_reader, self.client_writer, lambda: self.proxy.is_deaf)

    async def forward(self, reader, writer, is_dropping) -> None:
        """Forward one direction until it ends."""
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.proxy.delay_s:
                    await asyncio.sleep(self.proxy.delay_s)
                if self.is_silent or is_dropping():
                    if not data:
                        return
                    continue
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            self.reset()
