"""
Server of callers, the directory, readiness, peers and operators, on `waitress`.

A caller's request waits for its answer without a thread: the dispatcher hands it to the gateway
first, and only gives the connection to a thread once the answer is there to be written.
"""

import copy
import itertools
import logging
import math
import time
from collections.abc import Callable

import waitress
from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import BaseWSGIServer
from waitress.task import ThreadedTaskDispatcher, WSGITask
from waitress.utilities import Error

from ..failures import Failure, Reason, unknown
from ..gateway.events import CallerDisconnected, RequestMalformed
from ..gateway.models import Answer
from ..gateway.routes import CallerLimits
from ..gateway.settings import Address
from ..record import Record
from ..wire.http import WireAnswer

THREADS = 4
"""Threads that write answers and serve what is answered at once."""

CHANNEL_IDLE_S = 120
"""Longer than callers keep idle connections, so that they close them and not the server."""

LARGEST_HEADER_BYTES = 65_536
LARGEST_BODY_BYTES = 8 * 1024 * 1024
"""Bounds on what other VMs and operators send, and on callers until there is a routing table."""

BODY_READ_FACTOR = 2
"""Multiple of the largest body up to which a body is read, so that its sender sees the refusal."""

LONGEST_HEADER_S = 10.0
CONNECTION_LIMIT = 2_000
BACKLOG = 512
CHANNEL_KEY = 'beechbridge.channel'


class LateHeadersError(Error):
    """A request whose headers were not whole in time; nothing of it can have run."""

    code = 408
    reason = 'Request Timeout'


class CallerTask(WSGITask):
    """Lets the application see the connection that it answers on."""

    def get_environment(self) -> dict:
        """Return the environment with the channel."""
        environ = super().get_environment()
        environ[CHANNEL_KEY] = self.channel
        return environ


class CallerChannel(HTTPChannel):
    """
    A connection of a caller; tells when it is closed while a request is in service.

    :cvar app: application that serves it
    :param timed_request: the latest request whose headers did not come at once
    :param headers_due_s: when the headers that are being read must be whole
    """

    task_class = CallerTask
    app: 'FrontApp'
    timed_request: HTTPRequestParser | None = None
    headers_due_s = math.inf

    def received(self, data: bytes) -> bool:
        """Take bytes in, and time headers that are not whole yet."""
        is_open = super().received(data)
        request = self.request
        if request is None or request.headers_finished:
            self.headers_due_s = math.inf
        elif request is not self.timed_request:
            self.timed_request = request
            self.headers_due_s = time.monotonic() + self.app.longest_header_s
        return is_open

    def readable(self) -> bool:
        """Tell whether to read on; the server asks in each round of its loop."""
        if time.monotonic() > self.headers_due_s:
            self.refuse_headers()
        return super().readable()

    def refuse_headers(self) -> None:
        """Answer a request whose headers are late, and read no more of it."""
        self.headers_due_s = math.inf
        with self.requests_lock:
            request, self.request = self.request, None
            request.parse_header(b'GET / HTTP/1.0\r\n')
            request.error = LateHeadersError(f'no whole headers in {self.app.longest_header_s} s')
            request.completed = True
            self.requests.append(request)
            is_first = len(self.requests) == 1
        if is_first:
            self.server.add_task(self)

    def service(self) -> None:
        """Serve a request; the last one on this connection if the VM is leaving."""
        if self.app.is_leaving() and self.requests:
            self.requests[0].headers['CONNECTION'] = 'close'
        super().service()

    def handle_close(self) -> None:
        """Tell the application that the caller is gone."""
        super().handle_close()
        self.app.forget_channel(self)


class AnswerFirstDispatcher(ThreadedTaskDispatcher):
    """Gives a caller's connection to a thread only when there is an answer for it."""

    def __init__(self, app: 'FrontApp'):
        super().__init__()
        self.app = app
        app.dispatch = super().add_task

    def add_task(self, task: CallerChannel) -> None:
        """Start the service of a connection's first request."""
        if not self.app.start(task):
            super().add_task(task)


class Door(Record):
    """
    What waits for its answer on one port.

    :param ask: makes the gateway's event of a key and a request
    :param read: makes a request of a WSGI environment, or says why it is none; None for what is
        served at once
    :param write: makes the wire form of an answer to a request
    """

    __slots__ = ('ask', 'read', 'write')

    def __init__(
        self,
        ask: Callable[[int, object], object],
        read: Callable[[dict], object],
        write: Callable[[Answer, str], WireAnswer],
    ):
        self.ask = ask
        self.read = read
        self.write = write


class WaitingCaller(Record):
    """A connection whose request waits for its answer."""

    __slots__ = ('channel', 'request_id')

    def __init__(self, channel: CallerChannel, request_id: str):
        self.channel = channel
        self.request_id = request_id


class FrontApp:
    """
    WSGI application that hands each request to what serves its port.

    :param post: hands events to the gateway
    :param doors: what waits for its answers, by port
    :param handlers: WSGI application by port, for what is answered at once
    :param callers_port: port of the callers' requests
    :param callers_adjustments: limits of the server on that port
    :param longest_header_s: time for the headers of a request
    :param dispatch: gives a connection to a thread
    """

    __slots__ = (
        'answers',
        'callers_adjustments',
        'callers_port',
        'dispatch',
        'doors',
        'handlers',
        'is_leaving',
        'keys',
        'keys_by_channel',
        'longest_header_s',
        'post',
        'waiting',
    )

    def __init__(self, post: Callable[[object], None], is_leaving: Callable[[], bool]):
        self.post = post
        self.is_leaving = is_leaving
        self.doors: dict[int, Door] = {}
        self.handlers: dict[int, Callable] = {}
        self.callers_port: int | None = None
        self.callers_adjustments: Adjustments | None = None
        self.longest_header_s = LONGEST_HEADER_S
        self.dispatch: Callable[[CallerChannel], None] | None = None
        self.keys = itertools.count(1)
        self.waiting: dict[int, WaitingCaller] = {}
        self.keys_by_channel: dict[CallerChannel, int] = {}
        self.answers: dict[CallerChannel, tuple[Answer, str]] = {}

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Write the answer that is there, or serve what needs no waiting."""
        port = int(environ['SERVER_PORT'])
        answer = self.answers.pop(environ[CHANNEL_KEY], None)
        if answer is None:
            return self.handlers[port](environ, start_response)
        wire = self.doors[port].write(*answer)
        wire.headers.append(('Content-Length', str(len(wire.body))))
        start_response(wire.status, wire.headers)
        return [wire.body]

    def start(self, channel: CallerChannel) -> bool:
        """Hand a request to the gateway; return False for what a thread serves now."""
        parsed = channel.requests[0]
        door = self.doors.get(int(channel.server.effective_port))
        if door is None:
            return False
        if parsed.error:
            self.post(RequestMalformed(str(parsed.error.code), parsed.error.body))
            return False
        request = door.read(CallerTask(channel, parsed).get_environment())
        if request is None:
            return False
        if isinstance(request, Failure):
            self.post(RequestMalformed(request.reason.value, request.detail))
            self.answers[channel] = (request, '')
            return False
        key = next(self.keys)
        self.waiting[key] = WaitingCaller(channel, request.request_id)
        self.keys_by_channel[channel] = key
        self.post(door.ask(key, request))
        if not channel.connected:
            self.forget_channel(channel)
        return True

    def limit_callers(self, limits: CallerLimits) -> None:
        """Hold callers to the limits of the routing table."""
        self.longest_header_s = limits.header_ms / 1000.0
        if self.callers_adjustments is None:
            return
        # The server refuses what reaches its bounds.
        self.callers_adjustments.max_request_header_size = limits.header_bytes + 1
        self.callers_adjustments.max_request_body_size = BODY_READ_FACTOR * limits.body_bytes + 1

    def deliver(self, key: int, answer: Answer) -> None:
        """Give a waiting request its answer."""
        caller = self.waiting.pop(key, None)
        if caller is None:
            return
        self.keys_by_channel.pop(caller.channel, None)
        self.answers[caller.channel] = (answer, caller.request_id)
        self.dispatch(caller.channel)

    def forget_channel(self, channel: CallerChannel) -> None:
        """End the request of a caller that closed its connection."""
        self.answers.pop(channel, None)
        key = self.keys_by_channel.pop(channel, None)
        if key is None:
            return
        self.post(CallerDisconnected(key))
        # The server still has to end the service of a request that it has begun.
        self.deliver(key, unknown(Reason.CONNECTION_LOST, 'the caller left'))


def create_front(app: FrontApp, addresses: list[Address]) -> BaseWSGIServer:
    """Listen on all addresses with one server loop and one pool of threads."""
    # Answers that wait for a thread for a moment are no news.
    logging.getLogger('waitress.queue').setLevel(logging.ERROR)
    dispatcher = AnswerFirstDispatcher(app)
    dispatcher.set_thread_count(THREADS)
    server = waitress.create_server(
        app,
        listen=' '.join(f'{address.host}:{address.port}' for address in addresses),
        _dispatcher=dispatcher,
        asyncore_use_poll=True,
        backlog=BACKLOG,
        channel_request_lookahead=1,
        channel_timeout=CHANNEL_IDLE_S,
        connection_limit=CONNECTION_LIMIT,
        max_request_header_size=LARGEST_HEADER_BYTES,
        max_request_body_size=LARGEST_BODY_BYTES,
        inbuf_overflow=LARGEST_BODY_BYTES + 1,
        outbuf_overflow=64 * 1024 * 1024,
        ident=None,
    )
    channel_class = type('FrontChannel', (CallerChannel,), {'app': app})
    for listener in list_listeners(server):
        listener.channel_class = channel_class
        if int(listener.effective_port) == app.callers_port:
            listener.adj = app.callers_adjustments = copy.copy(listener.adj)
    return server


def list_listeners(server: object) -> list[BaseWSGIServer]:
    """Return the listening sockets of a server."""
    if isinstance(server, BaseWSGIServer):
        return [server]
    return [one for one in server.map.values() if isinstance(one, BaseWSGIServer)]


def close_idle_channels(listeners: list[BaseWSGIServer]) -> None:
    """Take no more connections and close those that carry no request; in the server's loop."""
    for listener in listeners:
        for channel in list(listener.active_channels.values()):
            if not channel.requests and channel.request is None:
                channel.will_close = True
        listener.accepting = False
        listener.socket.close()
        listener.del_channel()
