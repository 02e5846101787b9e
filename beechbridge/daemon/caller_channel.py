"""A connection of a client: what it may send, and what is kept of its requests and answers."""

import contextlib
import math
import socket
import sys
import time
from typing import TYPE_CHECKING

from waitress.adjustments import Adjustments
from waitress.buffers import OverflowableBuffer
from waitress.parser import HTTPRequestParser
from waitress.server import BaseWSGIServer
from waitress.task import WSGITask
from waitress.utilities import Error, RequestHeaderFieldsTooLarge

from ..defects import describe_defect
from .answer_clock import TimedChannel
from .log_lines import write_line
from .memory_account import LEAST_URGENT
from .refusals import LateRequestError, RequestMemoryError
from .request_parser import RequestParser

if TYPE_CHECKING:
    pass

SINGLE_READ_BYTES = 8_192
"""Bodies up to this size are not counted: what waitress reads at once."""

REQUEST_COPIES = 3
"""A body is held as it was received, as part of the request, and to be sent to a replica."""

BUFFER_BYTES = 256 * 1024
"""Size of the buffers of a large answer, which are freed one by one as they are sent."""

CHANNEL_KEY = 'beechbridge.channel'


class CallerTask(WSGITask):
    """Makes the channel available to the application."""

    def get_environment(self) -> dict:
        """Return the WSGI environment, including the channel."""
        environ = super().get_environment()
        environ[CHANNEL_KEY] = self.channel
        return environ


class CallerChannel(TimedChannel):
    """
    A caller's connection; notifies the application when it is closed.

    :param timed_part: request, and whether its headers are complete, whose rest has a deadline
    :param deadline_s: deadline for the current headers or body, in seconds of the monotonic clock
    :param answered_id: ID of the request whose answer was written last
    :param unparsed: data that waits until fewer requests of the connection are in hand
    :param is_parked: whether the next request waits until the earlier answers are taken
    :param urgency: priority of the route of the current request, as far as it is known
    :param is_from_vm: whether a message of another VM has arrived on it
    """

    task_class = CallerTask
    timed_part: tuple[HTTPRequestParser, bool] | None = None
    deadline_s = math.inf
    answered_id = ''
    unparsed = b''
    is_parked = False
    urgency = LEAST_URGENT
    is_from_vm = False

    def __init__(
        self,
        server: BaseWSGIServer,
        sock: socket.socket,
        addr: tuple,
        adj: Adjustments,
        map: dict | None = None,
    ):
        super().__init__(server, sock, addr, adj, map=map)
        self.app.admit_connection(self)

    def parser_class(self, adj: Adjustments) -> RequestParser:
        """Return the parser of the connection's next request."""
        return RequestParser(adj, self)

    def is_full(self) -> bool:
        """Return whether no further request is parsed for now."""
        requests = self.requests
        # The connection is closed after an error.
        return len(requests) >= self.app.max_pipelined or bool(requests and requests[-1].error)

    def is_closable(self) -> bool:
        """Return whether no replica may be running a request of this connection."""
        return not self.requests or self.is_parked

    def check_head(self, field_count: int) -> Error | None:
        """Return the error to reject a complete head with, None if there is room for it."""
        limit = self.app.max_header_fields
        if field_count > limit:
            self.app.refusals.add('request_unread', 'header_fields', {'caller': self.addr[0]})
            return RequestHeaderFieldsTooLarge(f'more than {limit} header fields')
        if not self.app.memory.hold_head(self):
            return RequestMemoryError('no memory for the head of the request')
        return None

    def head_bytes(self) -> int:
        """Return the memory that the heads of the requests in hand take."""
        byte_count = len(self.unparsed)
        for request in list(self.requests):
            byte_count += request.head_bytes()
        if self.request is not None:
            byte_count += self.request.head_bytes()
        return byte_count

    def received(self, data: bytes) -> bool:
        """Process received data; set a deadline for incomplete headers or an incomplete body."""
        is_open = super().received(data)
        if not self.connected:
            # It was closed while 100 Continue was sent: nothing would stop counting it.
            self.app.memory.release(self)
            return is_open
        request = self.request
        if request is None or self.unparsed:
            self.deadline_s = math.inf
            # The request must not be kept for as long as its connection stays open.
            self.timed_part = None
            return is_open
        part = (request, request.headers_finished)
        if part != self.timed_part:
            self.timed_part = part
            self.deadline_s = time.monotonic() + self.part_timeout_s(request)
            self.urgency = self.app.find_urgency(self, request)
            self.app.memory.heads.set_urgency(self, self.urgency)
        if not request.headers_finished:
            self.app.memory.hold_partial_head(self)
        elif request.body_bytes_received > SINGLE_READ_BYTES:
            self.app.memory.hold_request(self)
        return is_open

    def received_bytes(self) -> int:
        """Return the memory that the bodies of the requests in hand need until they are sent."""
        byte_count = sum(request.body_bytes_received for request in list(self.requests))
        if self.request is not None:
            byte_count += self.request.body_bytes_received
        return REQUEST_COPIES * byte_count

    def part_timeout_s(self, request: HTTPRequestParser) -> float:
        """Return how long the headers or the body of a request may take."""
        return self.app.body_timeout_s if request.headers_finished else self.app.header_timeout_s

    def readable(self) -> bool:
        """Return whether to read more data; called in each iteration of the server's loop."""
        try:
            return self.advance()
        except Exception as error:
            # waitress handles errors of reads and writes only: this one would end its loop.
            write_line('connection_failed', {'caller': self.addr[0], **describe_defect(error)})
            self.handle_close()
            return False

    def advance(self) -> bool:
        """Go on with what waits for time or for answers; return whether to read more data."""
        if time.monotonic() > self.deadline_s:
            self.reject_late_request()
        if self.is_parked:
            self.resume_parked()
        if self.unparsed and not self.is_full():
            data, self.unparsed = self.unparsed, b''
            self.received(data)
        if self.will_close and self.total_outbufs_len:
            # waitress closes a connection once it can be written to, which may be never.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
        # Data that is read now would come before the data that waits, or replace it.
        return self.connected and not self.unparsed and super().readable()

    def park(self) -> bool:
        """Let the next request wait if the client has not taken the earlier answers."""
        if not self.total_outbufs_len:
            return False
        with self.outbuf_lock:
            self.is_parked = bool(self.total_outbufs_len)
        return self.is_parked

    def resume_parked(self) -> None:
        """Go on with the next request; close the connection if its client stays idle."""
        if not self.total_outbufs_len:
            self.is_parked = False
            self.server.add_task(self)
        elif time.time() - self.last_activity > self.adj.channel_timeout:
            self.will_close = True

    def reject_late_request(self) -> None:
        """Answer a request that is late with an error; do not read the rest of it."""
        part = 'body' if self.request.headers_finished else 'headers'
        timeout_s = self.part_timeout_s(self.request)
        self.reject_request(LateRequestError(f'{part} incomplete after {timeout_s} s'))

    def reject_request(self, error: Error) -> None:
        """Answer an incomplete request with an error; call in the server's thread."""
        self.deadline_s = math.inf
        with self.requests_lock:
            request, self.request = self.request, None
            self.unparsed = b''
            request.abandon(error)
            self.requests.append(request)
            is_first = len(self.requests) == 1
        if is_first:
            self.server.add_task(self)

    def service(self) -> None:
        """Serve a request; close the connection after the last one if the VM is leaving."""
        request = self.requests[0]
        if self.app.is_leaving() and len(self.requests) == 1 and not self.unparsed:
            request.headers['CONNECTION'] = 'close'
        super().service()
        if not self.connected:
            self.app.drop_answer(self)
        with self.requests_lock:
            self.app.memory.recount_requests(self)
        self.drop_sent()
        if self.total_outbufs_len:
            self.urgency = self.app.find_urgency(self, request)
            self.app.hold_unsent(self)

    def handle_write(self) -> None:
        """Send more of an answer that its caller did not take at once."""
        super().handle_write()
        if self.total_outbufs_len:
            self.app.memory.unsent.shrink(self, self.held_bytes())
            return
        self.drop_sent()
        self.app.memory.unsent.release(self)

    def write_soon(self, data: bytes) -> int:
        """Send data, or keep it until it can be sent; a lot of it in several buffers."""
        if len(data) <= BUFFER_BYTES:
            return super().write_soon(data)
        view = memoryview(data)
        for start in range(0, len(data), BUFFER_BYTES):
            # waitress begins another buffer.
            self.current_outbuf_count = self.adj.outbuf_high_watermark
            super().write_soon(view[start : start + BUFFER_BYTES])
        return len(data)

    def held_bytes(self) -> int:
        """Return the memory of the buffers, each of which is kept until all of it is sent."""
        with self.outbuf_lock:
            held = 0
            for buffer in self.outbufs:
                # Not by its position: the server's thread may be sending from it.
                held += sys.getsizeof(buffer.strbuf if buffer.buf is None else buffer.buf.file)
            return max(held, self.total_outbufs_len)

    def break_off(self) -> None:
        """Close the connection, whether or not its caller takes more of its answer."""
        self.will_close = True
        self.server.pull_trigger()

    def drop_sent(self) -> None:
        """Drop an answer that was sent in full: waitress keeps it until it sends another one."""
        with self.outbuf_lock:
            if not self.total_outbufs_len and len(self.outbufs) == 1:
                self.outbufs[0] = OverflowableBuffer(self.adj.outbuf_overflow)
                self.current_outbuf_count = 0

    def handle_close(self) -> None:
        """Notify the application of the disconnection."""
        super().handle_close()
        if self.request is not None:
            # The parser refers to the connection: neither would be freed at once. waitress still
            # uses the parser if sending 100 Continue has closed the connection.
            self.request.channel = None
        self.deadline_s = math.inf
        self.unparsed = b''
        if self.is_parked:
            self.requests = []
        self.app.handle_disconnect(self)
