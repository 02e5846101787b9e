"""Server of callers, the directory, readiness, peers and operators, on `waitress`."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import waitress
from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer
from waitress.task import WSGITask

from ..failures import Failure, Reason, not_run, unknown
from ..gateway.events import CallerAsked, CallerLeft
from ..gateway.models import Answer, CallerRequest
from ..gateway.settings import Address

THREADS = 96
"""Requests of callers served at once, those in wait for an answer included."""

SPARE_THREADS = 8
"""Threads kept free for refusals, readiness and the directory."""

ANSWER_TIMEOUT_S = 60.0
"""Longer than any time-out of a route: only a defect leaves a request without an answer."""

BUSY_RETRY_MS = 200
CHANNEL_IDLE_S = 120
"""Longer than callers keep idle connections, so that they close them and not the server."""

LARGEST_HEADER_BYTES = 65_536
LARGEST_BODY_BYTES = 8 * 1024 * 1024
CONNECTION_LIMIT = 2_000
BACKLOG = 512
CHANNEL_KEY = 'beechbridge.channel'


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
    """

    task_class = CallerTask
    app: 'FrontApp'

    def service(self) -> None:
        """Serve a request; the last one on this connection if the VM is leaving."""
        if self.app.is_leaving() and self.requests:
            self.requests[0].headers['CONNECTION'] = 'close'
        super().service()

    def handle_close(self) -> None:
        """Tell the application that the caller is gone."""
        super().handle_close()
        self.app.forget_channel(self)


class FrontApp:
    """
    WSGI application that hands each request to what serves its port.

    :param handlers: WSGI application by port
    """

    __slots__ = (
        'active_count',
        'channels',
        'futures',
        'handlers',
        'is_leaving',
        'keys',
        'lock',
        'post',
        'read_request',
        'write_answer',
    )

    def __init__(
        self,
        post: Callable[[object], None],
        is_leaving: Callable[[], bool],
        read_request: Callable[[dict], CallerRequest | Failure],
        write_answer: Callable[[Answer, str], object],
    ):
        self.post = post
        self.is_leaving = is_leaving
        self.read_request = read_request
        self.write_answer = write_answer
        self.handlers: dict[str, Callable] = {}
        self.futures: dict[int, Future] = {}
        self.channels: dict[object, int] = {}
        self.keys = itertools.count(1)
        self.active_count = 0
        self.lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serve one request."""
        return self.handlers[environ['SERVER_PORT']](environ, start_response)

    def serve_caller(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serve a request of a caller."""
        with self.lock:
            self.active_count += 1
            is_busy = self.active_count > THREADS - SPARE_THREADS
        try:
            request = self.read_request(environ)
            if isinstance(request, Failure):
                return self.reply(request, '', start_response)
            if is_busy:
                refusal = not_run(Reason.OVERLOADED, 'all threads are busy', BUSY_RETRY_MS)
                return self.reply(refusal, request.request_id, start_response)
            answer = self.ask(request, environ[CHANNEL_KEY])
            return self.reply(answer, request.request_id, start_response)
        finally:
            with self.lock:
                self.active_count -= 1

    def ask(self, request: CallerRequest, channel: CallerChannel) -> Answer:
        """Hand a request to the gateway and wait for its answer."""
        key = next(self.keys)
        future: Future = Future()
        self.futures[key] = future
        self.channels[channel] = key
        self.post(CallerAsked(key, request))
        if not channel.connected:
            self.forget_channel(channel)
        try:
            return future.result(ANSWER_TIMEOUT_S)
        except FutureTimeoutError:
            return unknown(Reason.INTERNAL, 'no answer from the gateway')
        finally:
            self.futures.pop(key, None)
            self.channels.pop(channel, None)

    def deliver(self, key: int, answer: Answer) -> None:
        """Give a waiting request its answer."""
        future = self.futures.pop(key, None)
        if future is not None:
            future.set_result(answer)

    def forget_channel(self, channel: CallerChannel) -> None:
        """End the request of a caller that closed its connection."""
        key = self.channels.pop(channel, None)
        if key is None:
            return
        self.post(CallerLeft(key))
        self.deliver(key, unknown(Reason.CONNECTION_LOST, 'the caller left'))

    def reply(self, answer: Answer, request_id: str, start_response: Callable) -> list[bytes]:
        """Write an answer."""
        wire = self.write_answer(answer, request_id)
        wire.headers.append(('Content-Length', str(len(wire.body))))
        start_response(wire.status, wire.headers)
        return [wire.body]


def create_front(app: FrontApp, addresses: list[Address]) -> BaseWSGIServer:
    """Listen on all addresses with one server loop and one pool of threads."""
    server = waitress.create_server(
        app,
        listen=' '.join(f'{address.host}:{address.port}' for address in addresses),
        threads=THREADS,
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
