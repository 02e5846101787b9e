"""
HTTP server for callers, the directory, readiness checks, peers and operators, based on `waitress`.

No thread is blocked while a request waits for its answer: the dispatcher first hands the request
to the gateway, and hands the connection to a worker thread once the answer can be written.
"""

import contextlib
import copy
import itertools
import logging
import math
import socket
import sys
import time
from collections.abc import Callable

import waitress
from waitress.adjustments import Adjustments
from waitress.buffers import OverflowableBuffer
from waitress.parser import HTTPRequestParser
from waitress.server import BaseWSGIServer
from waitress.task import ThreadedTaskDispatcher, WSGITask
from waitress.utilities import Error

from ..failures import Failure
from ..gateway.events import CallerDisconnected, RequestMalformed
from ..gateway.models import Answer
from ..gateway.routes import CallerLimits
from ..gateway.settings import (
    DEFAULT_ANSWER_MEMORY_BYTES,
    DEFAULT_REQUEST_MEMORY_BYTES,
    Address,
)
from ..platform.early_listener import EarlyListener, list_sockets
from ..record import Record
from ..wire.http import HttpResponse
from .answer_clock import TimedChannel
from .clock import read_clock_ms
from .closing import BACKLOG, list_listeners
from .held_memory import HeldMemory
from .log_lines import write_line
from .request_parser import RequestParser

WORKER_THREADS = 4
"""Worker threads, which write answers and serve requests that need no waiting."""

IDLE_TIMEOUT_S = 120
"""Longer than the keep-alive timeout of callers, so that they close idle connections first."""

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Limits for peers and operators, and for callers until a routing table is available."""

BODY_READ_FACTOR = 2
"""Multiple of the body limit up to which a body is read, so that its sender sees the error."""

HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
"""Time within which the whole body of a request must arrive, however steadily it does."""

SINGLE_READ_BYTES = 8_192
"""Bodies up to this size are not counted: what waitress reads at once."""

REQUEST_COPIES = 3
"""A body is held as it was received, as part of the request, and to be sent to a replica."""

MEMORY_RETRY_S = '1'

BUFFER_BYTES = 256 * 1024
"""Size of the buffers of a large answer, which are freed one by one as they are sent."""

WRITER_WAIT_BYTES = 1024 * 1024 * 1024
"""Unsent bytes of a connection for which a worker thread waits: more than there ever are."""

CONNECTION_LIMIT = 2_000
CHANNEL_KEY = 'beechbridge.channel'


class LateRequestError(Error):
    """A request was not received in time; it has not been executed."""

    code = 408
    reason = 'Request Timeout'


class RequestMemoryError(Error):
    """There is no memory for the rest of a request; it has not been executed."""

    code = 503
    reason = 'Service Unavailable'

    def to_response(self, ident: str | None = None) -> tuple[str, list, bytes]:
        """Return status, headers and body, with the time at which to try again."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, ('Retry-After', MEMORY_RETRY_S)], body


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
    """

    parser_class = RequestParser
    task_class = CallerTask
    timed_part: tuple[HTTPRequestParser, bool] | None = None
    deadline_s = math.inf
    answered_id = ''

    def received(self, data: bytes) -> bool:
        """Process received data; set a deadline for incomplete headers or an incomplete body."""
        is_open = super().received(data)
        request = self.request
        if request is None:
            self.deadline_s = math.inf
            return is_open
        part = (request, request.headers_finished)
        if part != self.timed_part:
            self.timed_part = part
            self.deadline_s = time.monotonic() + self.part_timeout_s(request)
        if request.body_bytes_received > SINGLE_READ_BYTES:
            self.app.hold_request(self)
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
        if time.monotonic() > self.deadline_s:
            self.reject_late_request()
        if self.will_close and self.total_outbufs_len:
            # waitress closes a connection once it can be written to, which may be never.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
        return super().readable()

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
            if not request.headers_finished:
                request.parse_header(b'GET / HTTP/1.0\r\n')
            request.close()
            request.error = error
            request.completed = True
            self.requests.append(request)
            is_first = len(self.requests) == 1
        if is_first:
            self.server.add_task(self)

    def service(self) -> None:
        """Serve a request; close the connection after the last one if the VM is leaving."""
        if self.app.is_leaving() and len(self.requests) == 1:
            self.requests[0].headers['CONNECTION'] = 'close'
        super().service()
        if not self.connected:
            self.app.drop_answer(self)
        if self in self.app.received.by_channel:
            self.app.recount_request(self)
        self.drop_sent()
        if self.total_outbufs_len:
            self.app.hold_unsent(self)

    def handle_write(self) -> None:
        """Send more of an answer that its caller did not take at once."""
        super().handle_write()
        if self.total_outbufs_len:
            self.app.unsent.shrink(self, self.held_bytes())
            return
        self.drop_sent()
        self.app.unsent.release(self)

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
        self.app.handle_disconnect(self)


class DeferredDispatcher(ThreadedTaskDispatcher):
    """Passes a caller's connection to a worker thread only once its answer is available."""

    def __init__(self, app: 'FrontApp'):
        super().__init__()
        self.app = app
        app.dispatch = super().add_task

    def add_task(self, task: CallerChannel) -> None:
        """Start processing the first request of a connection."""
        if not self.app.submit(task):
            super().add_task(task)


class Endpoint(Record):
    """
    Converts one kind of request on a port, and its answers, which come from the gateway.

    :param make_event: builds the gateway's event from a key and a request
    :param decode: returns the request in a WSGI environment, a failure if it is malformed, or None
        if another endpoint or a handler serves it
    :param encode: returns the wire form of an answer, given the answer and the request ID
    """

    __slots__ = ('decode', 'encode', 'make_event')

    def __init__(
        self,
        make_event: Callable[[int, object], object],
        decode: Callable[[dict], object],
        encode: Callable[[Answer, str], HttpResponse],
    ):
        self.make_event = make_event
        self.decode = decode
        self.encode = encode


class WaitingCaller(Record):
    """A connection whose request is waiting for an answer."""

    __slots__ = ('channel', 'endpoint', 'request_id')

    def __init__(self, channel: CallerChannel, endpoint: Endpoint, request_id: str):
        self.channel = channel
        self.endpoint = endpoint
        self.request_id = request_id


class FrontApp:
    """
    WSGI application that dispatches requests by port.

    :param post: posts an event to the gateway
    :param endpoints: endpoints by port, for requests that the gateway answers
    :param handlers: WSGI application by port, for requests that need no waiting
    :param callers_port: port for callers
    :param callers_adjustments: server limits on that port
    :param header_timeout_s: timeout in seconds for receiving the headers of a request
    :param body_timeout_s: timeout in seconds for receiving the body of a request
    :param dispatch: passes a connection to a worker thread
    :param received: requests that are too large for a single read
    :param unsent: answers that their callers do not take as fast as they are written
    """

    __slots__ = (
        'answers',
        'body_timeout_s',
        'callers_adjustments',
        'callers_port',
        'dispatch',
        'endpoints',
        'handlers',
        'header_timeout_s',
        'is_leaving',
        'keys',
        'keys_by_channel',
        'post',
        'received',
        'unsent',
        'waiting',
    )

    def __init__(
        self,
        post: Callable[[object], None],
        is_leaving: Callable[[], bool],
        answer_memory_bytes: int = DEFAULT_ANSWER_MEMORY_BYTES,
        request_memory_bytes: int = DEFAULT_REQUEST_MEMORY_BYTES,
    ):
        self.post = post
        self.is_leaving = is_leaving
        self.endpoints: dict[int, tuple[Endpoint, ...]] = {}
        self.handlers: dict[int, Callable] = {}
        self.callers_port: int | None = None
        self.callers_adjustments: Adjustments | None = None
        self.header_timeout_s = HEADER_TIMEOUT_S
        self.body_timeout_s = BODY_TIMEOUT_S
        self.dispatch: Callable[[CallerChannel], None] | None = None
        self.keys = itertools.count(1)
        self.waiting: dict[int, WaitingCaller] = {}
        self.keys_by_channel: dict[CallerChannel, int] = {}
        self.answers: dict[CallerChannel, tuple[Endpoint, Answer, str]] = {}
        self.unsent = HeldMemory(answer_memory_bytes)
        # What was received in full may be running: it is counted, but not given up.
        self.received = HeldMemory(request_memory_bytes, lambda one: one.request is not None)

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Write the available answer, or call the port's handler."""
        channel = environ[CHANNEL_KEY]
        stored = self.answers.pop(channel, None)
        if stored is None:
            return self.handlers[int(environ['SERVER_PORT'])](environ, start_response)
        endpoint, answer, channel.answered_id = stored
        wire = endpoint.encode(answer, channel.answered_id)
        wire.headers.append(('Content-Length', str(len(wire.body))))
        start_response(wire.status, wire.headers)
        return [wire.body]

    def submit(self, channel: CallerChannel) -> bool:
        """Hand a request to the gateway; return False if a worker thread can serve it now."""
        parsed = channel.requests[0]
        endpoints = self.endpoints.get(int(channel.server.effective_port))
        if endpoints is None:
            return False
        if parsed.error:
            self.post(RequestMalformed(str(parsed.error.code), parsed.error.body))
            return False
        environ = CallerTask(channel, parsed).get_environment()
        for endpoint in endpoints:
            request = endpoint.decode(environ)
            if request is not None:
                return self.submit_request(request, endpoint, channel)
        return False

    def submit_request(self, request: object, endpoint: Endpoint, channel: CallerChannel) -> bool:
        """Hand a request to the gateway; return False if it is malformed."""
        if isinstance(request, Failure):
            self.post(RequestMalformed(request.reason.value, request.detail))
            self.answers[channel] = (endpoint, request, '')
            return False
        key = next(self.keys)
        self.waiting[key] = WaitingCaller(channel, endpoint, request.request_id)
        self.keys_by_channel[channel] = key
        self.post(channel.stamp(endpoint.make_event(key, request)))
        if not channel.connected:
            self.handle_disconnect(channel)
        return True

    def apply_caller_limits(self, limits: CallerLimits) -> None:
        """Apply the routing table's limits to callers."""
        self.header_timeout_s = limits.header_ms / 1000.0
        if self.callers_adjustments is None:
            return
        # waitress also rejects requests that are exactly at its limits.
        self.callers_adjustments.max_request_header_size = limits.header_bytes + 1
        self.callers_adjustments.max_request_body_size = BODY_READ_FACTOR * limits.body_bytes + 1

    def deliver(self, key: int, answer: Answer) -> None:
        """Deliver the answer to a waiting request."""
        caller = self.waiting.pop(key, None)
        if caller is None:
            return
        self.keys_by_channel.pop(caller.channel, None)
        self.answers[caller.channel] = (caller.endpoint, answer, caller.request_id)
        self.dispatch(caller.channel)

    def drop_answer(self, channel: CallerChannel) -> None:
        """Drop the answer that a closed connection did not take."""
        self.answers.pop(channel, None)

    def hold_request(self, channel: CallerChannel) -> None:
        """Count a request that comes in; reject others that do if there is too little memory."""
        now_ms = read_clock_ms()
        for other, holding in self.received.hold(channel, channel.received_bytes(), now_ms):
            fields = {
                'caller': other.addr[0],
                'bytes': holding.byte_count,
                'ms': round(now_ms - holding.since_ms),
                'limit_bytes': self.received.limit_bytes,
            }
            write_line('request_unread', fields)
            other.reject_request(RequestMemoryError('no memory for the rest of the request'))

    def recount_request(self, channel: CallerChannel) -> None:
        """Count what is left once a request was served."""
        byte_count = channel.received_bytes()
        if byte_count and channel.connected:
            self.received.shrink(channel, byte_count)
            return
        self.received.release(channel)

    def hold_unsent(self, channel: CallerChannel) -> None:
        """Count an answer that its caller did not take at once; break off others if necessary."""
        now_ms = read_clock_ms()
        for other, unsent in self.unsent.hold(channel, channel.held_bytes(), now_ms):
            fields = {
                'request': other.answered_id,
                'bytes': unsent.byte_count,
                'unsent': other.total_outbufs_len,
                'ms': round(now_ms - unsent.since_ms),
                'limit_bytes': self.unsent.limit_bytes,
            }
            write_line('answer_given_up', fields)
            other.break_off()
        if not channel.total_outbufs_len:
            # It was sent, or its connection closed, before it was counted.
            self.unsent.release(channel)

    def handle_disconnect(self, channel: CallerChannel) -> None:
        """End the request of a caller that closed its connection."""
        self.unsent.release(channel)
        self.received.release(channel)
        self.drop_answer(channel)
        key = self.keys_by_channel.pop(channel, None)
        if key is None:
            return
        self.post(CallerDisconnected(key))
        # waitress still has to finish the request that it started.
        if self.waiting.pop(key, None) is not None:
            self.dispatch(channel)


def create_front(
    app: FrontApp, addresses: list[Address], early: EarlyListener | None = None
) -> BaseWSGIServer:
    """Listen on all addresses with one server loop and one thread pool."""
    # waitress logs a warning whenever an answer waits for a worker thread, which is normal here.
    logging.getLogger('waitress.queue').setLevel(logging.ERROR)
    dispatcher = DeferredDispatcher(app)
    dispatcher.set_thread_count(WORKER_THREADS)
    server = waitress.create_server(
        app,
        **list_sockets([f'{address.host}:{address.port}' for address in addresses], early),
        _dispatcher=dispatcher,
        asyncore_use_poll=True,
        backlog=BACKLOG,
        channel_request_lookahead=1,
        channel_timeout=IDLE_TIMEOUT_S,
        connection_limit=CONNECTION_LIMIT,
        max_request_header_size=MAX_HEADER_BYTES,
        max_request_body_size=MAX_BODY_BYTES,
        inbuf_overflow=MAX_BODY_BYTES + 1,
        outbuf_overflow=64 * 1024 * 1024,
        outbuf_high_watermark=WRITER_WAIT_BYTES,
        ident=None,
    )
    channel_class = type('FrontChannel', (CallerChannel,), {'app': app})
    for listener in list_listeners(server):
        listener.channel_class = channel_class
        if int(listener.effective_port) == app.callers_port:
            listener.adj = app.callers_adjustments = copy.copy(listener.adj)
    return server
