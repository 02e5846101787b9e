"""Listening on a port that nobody else gets meanwhile, if it is stopped for a while."""

import asyncio
import socket
from collections.abc import Callable


class Listener:
    """
    Listens on a free port, and on the same one again after it was stopped.

    :param port: port, 0 until it listens for the first time
    :param reserved: socket that keeps the port while nothing listens there
    """

    def __init__(self, host: str):
        self.host = host
        self.port = 0
        self.server: asyncio.Server | None = None
        self.reserved: socket.socket | None = None

    async def listen(self, serve: Callable) -> None:
        """Start listening; `serve` handles each connection."""
        if self.reserved is not None:
            self.reserved.close()
            self.reserved = None
        self.server = await asyncio.start_server(serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Stop listening: connections are refused."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind((self.host, self.port))
