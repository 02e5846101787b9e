"""A loopback proxy whose links are delayed, reset, cut one way or silenced."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
RESET_LINGER = struct.pack('ii', 1, 0)


class Proxy:
    """
    Stands before one server.

    :param delay_s: how long each piece is held up
    :param is_deaf: whether what the server says is dropped
    :param is_mute: whether what callers say is dropped
    """

    def __init__(self, host: str, target_host: str, target_port: int):
        self.host = host
        self.port = 0
        self.target_host = target_host
        self.target_port = target_port
        self.delay_s = 0.0
        self.is_deaf = False
        self.is_mute = False
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.carry, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and end all links."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open links."""
        for link in list(self.links):
            link.reset()

    def silence(self) -> None:
        """Let all open links go silent for good, without a word; new ones work."""
        for link in self.links:
            link.is_silent = True

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection."""
        try:
            far = await asyncio.open_connection(self.target_host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        link = Link(self, (reader, writer), far)
        self.links.add(link)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(link.pump_up(), link.pump_down())
        self.links.discard(link)


class Link:
    """One connection through the proxy."""

    def __init__(self, proxy: Proxy, near: tuple, far: tuple):
        self.proxy = proxy
        self.near_reader, self.near_writer = near
        self.far_reader, self.far_writer = far
        self.is_silent = False

    def reset(self) -> None:
        """Reset both sides."""
        for writer in (self.near_writer, self.far_writer):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    async def pump_up(self) -> None:
        """Carry what the caller says."""
        await self.pump(self.near_reader, self.far_writer, lambda: self.proxy.is_mute)

    async def pump_down(self) -> None:
        """Carry what the server says."""
        await self.pump(self.far_reader, self.near_writer, lambda: self.proxy.is_deaf)

    async def pump(self, reader, writer, is_cut) -> None:
        """Carry one direction until it ends."""
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.proxy.delay_s:
                    await asyncio.sleep(self.proxy.delay_s)
                if self.is_silent or is_cut():
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
