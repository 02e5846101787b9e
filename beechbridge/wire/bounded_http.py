"""
HTTP connection whose responses end by a deadline and at a size.

The timeouts of `http.client` start anew with each byte, so that a response of which one byte
arrives now and then has no end, nor has one of interim responses.
"""

import http.client
import io
import socket
import time
from collections.abc import Iterator

READ_BYTES = 65_536


class OversizedResponseError(http.client.HTTPException):
    """A response is larger than its limit."""


class BrokenResponseError(http.client.HTTPException):
    """A response ended inside its head, a chunk size or a trailer."""


class LimitedReader(io.RawIOBase):
    """
    Reads a response from a socket.

    :param deadline_s: time of the monotonic clock by which it must end, in seconds
    :param progress_timeout_s: longest time in seconds in which nothing of it arrives
    :param max_bytes: largest size with its head
    """

    def __init__(
        self,
        sock: socket.socket,
        deadline_s: float,
        progress_timeout_s: float,
        max_bytes: int,
    ):
        self.sock = sock
        self.raw = sock.makefile('rb', buffering=0)
        self.deadline_s = deadline_s
        self.progress_timeout_s = progress_timeout_s
        self.max_bytes = max_bytes
        self.received_bytes = 0

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """
        Read what has arrived.

        :raises TimeoutError: if nothing arrives in time
        :raises OversizedResponseError: if the response is too large
        """
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('the response has not ended by its deadline')
        self.sock.settimeout(min(left_s, self.progress_timeout_s))
        count = self.raw.readinto(buffer) or 0
        self.received_bytes += count
        if self.received_bytes > self.max_bytes:
            raise OversizedResponseError(f'the response is larger than {self.max_bytes} bytes')
        return count

    def close(self) -> None:
        """Close the reader; the socket stays open for its other users."""
        self.raw.close()
        super().close()


def read_chunks(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """
    Return the body of a response as it arrives: its announced length is not to be trusted.

    :raises http.client.IncompleteRead: if it ends early
    """
    while chunk := response.read1(READ_BYTES):
        yield chunk
    if response.length:
        raise http.client.IncompleteRead(b'', response.length)
    response.close()


def read_body(response: http.client.HTTPResponse) -> bytes:
    """
    Return the body of a response.

    :raises http.client.IncompleteRead: if it ends early
    """
    return b''.join(read_chunks(response))


class LineReader(io.BufferedReader):
    """
    Reads a response by lines, none of which may be cut.

    `http.client` takes the end of a connection for the end of the line and of the head, so that
    an answer that breaks off there looks like one with a short body.
    """

    def readline(self, size: int = -1) -> bytes:
        """
        Read a line, or as much of it as fits into a size.

        :raises BrokenResponseError: if the response ends before the line does
        """
        line = super().readline(size)
        if not line.endswith(b'\n') and len(line) != size and self.raw.received_bytes:
            raise BrokenResponseError(f'the response ended after {self.raw.received_bytes} bytes')
        return line


class LimitedSource:
    """The side of a socket that `http.client` reads a response from."""

    def __init__(self, reader: LimitedReader):
        self.reader = reader

    def makefile(self, mode: str) -> LineReader:
        """Return the reader with a buffer."""
        return LineReader(self.reader)


class LimitedConnection(http.client.HTTPConnection):
    """
    Connection whose responses are limited.

    :param timeout_s: longest time in seconds in which nothing of a response arrives
    :param max_bytes: largest response with its head
    """

    def __init__(self, host: str, port: int, timeout_s: float, max_bytes: int):
        super().__init__(host, port, timeout=timeout_s)
        self.max_bytes = max_bytes
        self.deadline_s = float('inf')
        self.response_class = self.open_response

    def limit_time(self, duration_s: float) -> None:
        """Set how long the next request and its response may take, in seconds."""
        self.deadline_s = time.monotonic() + duration_s
        if self.sock is not None:
            self.sock.settimeout(self.timeout)

    def open_response(self, sock: socket.socket, *args, **options) -> http.client.HTTPResponse:
        """Return a response that reads from a socket up to the limits."""
        reader = LimitedReader(sock, self.deadline_s, self.timeout, self.max_bytes)
        return http.client.HTTPResponse(LimitedSource(reader), *args, **options)
