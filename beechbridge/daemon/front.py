"""
HTTP server for callers, the directory, readiness checks, peers and operators, based on `waitress`.

No thread is blocked while a request waits for its answer: the dispatcher first hands the request
to the gateway, and hands the connection to a worker thread once the answer can be written.
"""

import copy
import itertools
import logging
from collections.abc import Callable

import waitress
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.server import BaseWSGIServer
from waitress.task import ThreadedTaskDispatcher

from ..failures import Failure
from ..gateway.events import CallerDisconnected, RequestMalformed
from ..gateway.models import Answer
from ..gateway.routes import CallerLimits
from ..gateway.settings import (
    DEFAULT_HELD_MEMORY_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEADER_FIELDS,
    DEFAULT_MAX_PIPELINED,
    Address,
)
from ..record import Record
from ..wire.http import HttpResponse
from .caller_channel import CHANNEL_KEY, CallerChannel, CallerTask
from .client_memory import ClientMemory, measure_answer
from .closing import list_listeners
from .connections import ConnectionLimit
from .early_listener import BACKLOG, EarlyListener, list_sockets
from .held_memory import HeldMemory
from .memory_account import ANSWERS, LEAST_URGENT, MOST_URGENT, MemoryAccount
from .refusals import RefusalLog

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

WRITER_WAIT_BYTES = 1024 * 1024 * 1024
"""Unsent bytes of a connection for which a worker thread waits: more than there ever are."""


class DeferredDispatcher(ThreadedTaskDispatcher):
    """Passes a caller's connection to a worker thread only once its answer is available."""

    def __init__(self, app: 'FrontApp'):
        super().__init__()
        self.app = app
        app.dispatch = super().add_task

    def add_task(self, task: CallerChannel) -> None:
        """Start processing the first request of a connection."""
        if not task.park() and not self.app.submit(task):
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
    :param memory: what the connections hold of the process's memory
    :param connections: open connections of callers, on all ports
    :param pull_trigger: runs a call in the server's thread
    :param max_header_fields: header fields of one request
    :param max_pipelined: requests of one connection that are parsed before they are answered
    """

    __slots__ = (
        'answers',
        'body_timeout_s',
        'callers_adjustments',
        'callers_port',
        'connections',
        'dispatch',
        'endpoints',
        'handlers',
        'header_timeout_s',
        'is_leaving',
        'is_relief_due',
        'keys',
        'keys_by_channel',
        'max_header_fields',
        'max_pipelined',
        'memory',
        'post',
        'pull_trigger',
        'refusals',
        'waiting',
    )

    def __init__(
        self,
        post: Callable[[object], None],
        is_leaving: Callable[[], bool],
        answer_memory_bytes: int | None = None,
        request_memory_bytes: int | None = None,
        held_memory_bytes: int = DEFAULT_HELD_MEMORY_BYTES,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        max_header_fields: int = DEFAULT_MAX_HEADER_FIELDS,
        max_pipelined: int = DEFAULT_MAX_PIPELINED,
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
        self.refusals = RefusalLog()
        self.memory = ClientMemory(
            MemoryAccount(held_memory_bytes),
            self.refusals,
            answer_memory_bytes,
            request_memory_bytes,
        )
        self.connections = ConnectionLimit(max_connections)
        self.max_header_fields = max_header_fields
        self.max_pipelined = max_pipelined
        self.is_relief_due = False
        self.pull_trigger: Callable[[Callable[[], None]], None] | None = None

    @property
    def received(self) -> HeldMemory:
        """Return what requests that are too large for a single read hold."""
        return self.memory.received

    @property
    def unsent(self) -> HeldMemory:
        """Return what answers hold that callers do not take as fast as they are written."""
        return self.memory.unsent

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Write the available answer, or call the port's handler."""
        channel = environ[CHANNEL_KEY]
        stored = self.answers.pop(channel, None)
        if stored is None:
            return self.handlers[int(environ['SERVER_PORT'])](environ, start_response)
        endpoint, answer, channel.answered_id = stored
        self.count_answer(answer, -1)
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
        channel.is_from_vm = channel.adj is not self.callers_adjustments
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
        self.count_answer(answer, 1)
        self.answers[caller.channel] = (caller.endpoint, answer, caller.request_id)
        self.dispatch(caller.channel)

    def count_answer(self, answer: Answer, sign: int) -> None:
        """Count a large answer that begins (1) or ends (-1) to wait for a worker thread."""
        byte_count = measure_answer(answer)
        if byte_count:
            self.memory.account.count(ANSWERS, sign * byte_count)

    def drop_answer(self, channel: CallerChannel) -> None:
        """Drop the answer that a closed connection did not take."""
        stored = self.answers.pop(channel, None)
        if stored is not None:
            self.count_answer(stored[1], -1)

    def schedule_relief(self) -> None:
        """Turn connections away in the server's thread: replies need the memory."""
        if not self.is_relief_due and self.pull_trigger is not None:
            self.is_relief_due = True
            self.pull_trigger(self.relieve)

    def relieve(self) -> None:
        """Turn connections away until the account is not exceeded; in the server's thread."""
        self.is_relief_due = False
        self.memory.relieve()

    def hold_unsent(self, channel: CallerChannel) -> None:
        """Count an answer that its caller did not take at once; make room for it if necessary."""
        if self.memory.hold_unsent(channel):
            self.schedule_relief()

    def find_urgency(self, channel: CallerChannel, request: HTTPRequestParser) -> int:
        """
        Return the priority of a request's route.

        Requests on other ports are the least urgent, but messages of other VMs are as urgent as
        the requests of clients that depend on them may be.
        """
        if channel.is_from_vm:
            return MOST_URGENT
        if not request.headers_finished or channel.adj is not self.callers_adjustments:
            return LEAST_URGENT
        host = request.headers.get('HOST', '').rsplit(':', 1)[0].lower()
        return self.memory.find_urgency(host, request.path)

    def admit_connection(self, channel: CallerChannel) -> None:
        """Count a new connection; close those that idle longest if there are too many."""
        for other in self.connections.add(channel):
            fields = {'caller': other.addr[0], 'limit': self.connections.limit}
            self.refusals.add('connection_closed', 'descriptors', fields)
            other.will_close = True

    def handle_disconnect(self, channel: CallerChannel) -> None:
        """End the request of a caller that closed its connection."""
        self.connections.remove(channel)
        self.memory.release(channel)
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
        connection_limit=app.connections.accept_limit(False) + 2 * len(addresses),
        max_request_header_size=MAX_HEADER_BYTES,
        max_request_body_size=MAX_BODY_BYTES,
        inbuf_overflow=MAX_BODY_BYTES + 1,
        outbuf_overflow=64 * 1024 * 1024,
        outbuf_high_watermark=WRITER_WAIT_BYTES,
        ident=None,
    )
    channel_class = type('FrontChannel', (CallerChannel,), {'app': app})
    listeners = list_listeners(server)
    app.pull_trigger = listeners[0].trigger.pull_trigger
    for listener in listeners:
        listener.channel_class = channel_class
        if int(listener.effective_port) == app.callers_port:
            listener.adj = app.callers_adjustments = copy.copy(listener.adj)
            accept_limit = app.connections.accept_limit(True)
            app.callers_adjustments.connection_limit = accept_limit + 2 * len(addresses)
    return server
