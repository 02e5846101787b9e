"""WSGI application of the caller API."""

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from urllib.parse import parse_qs

import msgspec
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from ..events import EntryRequested, Event, QueryReceived, TicketedRequestReceived, TicketRequested
from ..failures import Failure, InputFailure, Reason, not_run, unknown
from ..models import VmIdentity
from .bodies import (
    parse_batch,
    parse_query,
    parse_request,
    parse_ticket_request,
    status_of,
    to_json,
)
from .request_parser import RequestParser

ANSWER_TIMEOUT_S = 620.0
"""Longer than any deadline; reached only if the core fails to answer because of a bug."""

RESERVED_THREADS = 4
"""Threads reserved for rejecting requests while all the others are busy."""

BUSY_RETRY_AFTER_MS = 100
IS_LAST_KEY = 'beechbridge.is_last'


class CallerTask(WSGITask):
    """Tells the application whether no other request of the connection was read."""

    def get_environment(self) -> dict:
        """Return the WSGI environment; nothing more is read while a request is served."""
        environ = super().get_environment()
        environ[IS_LAST_KEY] = len(self.channel.requests) == 1
        return environ


class CallerChannel(HTTPChannel):
    """A caller's connection."""

    parser_class = RequestParser
    task_class = CallerTask


class CallersApp:
    """
    Converts callers' HTTP requests to events and waits for the core's answers.

    :param post: passes an event to the core
    :param is_leaving: returns whether answers should close their connections
    :param thread_count: number of threads of the WSGI server
    :param batch_queries: maximum number of queries in a batch
    :param body_bytes: maximum size of a request body in bytes
    """

    __slots__ = (
        'active_count',
        'batch_queries',
        'body_bytes',
        'identity',
        'is_leaving',
        'last_activity_s',
        'lock',
        'pending',
        'post',
        'request_numbers',
        'thread_count',
    )

    def __init__(
        self,
        identity: VmIdentity,
        post: Callable[[Event], None],
        is_leaving: Callable[[], bool],
        thread_count: int,
        batch_queries: int,
        body_bytes: int,
    ):
        self.identity = identity
        self.post = post
        self.is_leaving = is_leaving
        self.thread_count = thread_count
        self.batch_queries = batch_queries
        self.body_bytes = body_bytes
        self.request_numbers = itertools.count(1)
        self.pending: dict[str, Future] = {}
        self.active_count = 0
        self.last_activity_s = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one HTTP request."""
        with self.lock:
            self.active_count += 1
            self.last_activity_s = time.monotonic()
            is_busy = self.active_count > self.thread_count - RESERVED_THREADS
        try:
            request_id = self.new_request_id()
            status, body, retry_after_ms = self.serve(environ, request_id, is_busy)
            headers = [('Content-Type', 'application/json'), ('X-Request-Id', request_id)]
            if retry_after_ms is not None:
                headers.append(('Retry-After', str(-(-retry_after_ms // 1000))))
            if not (self.is_leaving() and environ[IS_LAST_KEY]):
                headers.append(('Content-Length', str(len(body))))
                start_response(status, headers)
                return [body]
            # Without a Content-Length the server closes the connection after the body.
            start_response(status, headers)
            return iter((body,))
        finally:
            with self.lock:
                self.active_count -= 1
                self.last_activity_s = time.monotonic()

    def serve(
        self, environ: dict, request_id: str, is_busy: bool
    ) -> tuple[str, bytes, int | None]:
        """Return the status line, the body and the time until a retry in milliseconds, if any."""
        path = environ.get('PATH_INFO', '')
        if is_busy and path != '/v1/entry':
            detail = (
                f'all request threads of this VM are busy; retry after {BUSY_RETRY_AFTER_MS} ms'
            )
            answer = not_run(Reason.OVERLOADED, detail, BUSY_RETRY_AFTER_MS)
            return encode_answer(answer, request_id)
        method, handler = HANDLERS.get(path, (None, None))
        if handler is None:
            known = ', '.join(sorted(HANDLERS))
            return encode_answer(
                not_run(Reason.NOT_FOUND, f'unknown path; use one of {known}'), request_id
            )
        if environ['REQUEST_METHOD'] != method:
            detail = f'method not allowed; use {method} {path}'
            return encode_answer(not_run(Reason.METHOD_NOT_ALLOWED, detail), request_id)
        if int(environ.get('CONTENT_LENGTH') or 0) > self.body_bytes:
            detail = f'request body is too large; send at most {self.body_bytes} bytes'
            return encode_answer(not_run(Reason.TOO_LARGE, detail), request_id)
        return handler(self, environ, request_id)

    def new_request_id(self) -> str:
        """Return a request ID that is unique in the fleet."""
        return (
            f'{self.identity.name}-{self.identity.incarnation:x}-q{next(self.request_numbers):x}'
        )

    def answer_entry(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Answer which VMs the caller should use."""
        parameters = parse_qs(environ.get('QUERY_STRING', ''))
        place = parameters.get('place', [None])[0]
        caller = parameters.get('caller', [environ.get('REMOTE_ADDR', '')])[0]
        return self.submit_and_wait(EntryRequested(request_id, place, caller), request_id)

    def answer_query(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Run one query."""
        query = parse_query(read_body(environ))
        if isinstance(query, Failure):
            return encode_answer(query, request_id)
        return self.submit_and_wait(QueryReceived(request_id, query), request_id)

    def answer_batch(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Run the queries of a batch; each one gets its own answer."""
        queries = parse_batch(read_body(environ), self.batch_queries)
        if isinstance(queries, Failure):
            return encode_answer(queries, request_id)
        waiting = []
        for number, query in enumerate(queries):
            item_id = f'{request_id}.{number}'
            if isinstance(query, InputFailure):
                waiting.append((item_id, query))
                continue
            waiting.append((item_id, self.submit(QueryReceived(item_id, query), item_id)))
        answers = []
        for item_id, answer in waiting:
            if isinstance(answer, Future):
                answer = self.wait_for_answer(answer, item_id)
            answers.append(to_json(answer, item_id))
        body = msgspec.json.encode({'request_id': request_id, 'answers': answers})
        return '200 OK', body, None

    def answer_ticket(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Grant a ticket."""
        back_end = parse_ticket_request(read_body(environ))
        if isinstance(back_end, Failure):
            return encode_answer(back_end, request_id)
        return self.submit_and_wait(TicketRequested(request_id, back_end), request_id)

    def answer_request(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Run a non-idempotent request under its ticket."""
        request = parse_request(read_body(environ))
        if isinstance(request, Failure):
            return encode_answer(request, request_id)
        return self.submit_and_wait(TicketedRequestReceived(request_id, request), request_id)

    def submit_and_wait(self, event: Event, request_id: str) -> tuple[str, bytes, int | None]:
        """Post an event and wait for its answer."""
        answer = self.wait_for_answer(self.submit(event, request_id), request_id)
        return encode_answer(answer, request_id)

    def submit(self, event: Event, request_id: str) -> Future:
        """Post an event; return the future of its answer."""
        future = Future()
        self.pending[request_id] = future
        self.post(event)
        return future

    def wait_for_answer(self, future: Future, request_id: str) -> object:
        """Wait for an answer; return a failure if the core gives none in time."""
        try:
            return future.result(ANSWER_TIMEOUT_S)
        except FutureTimeoutError:
            return unknown(
                Reason.INTERNAL, f'no answer from the core within {ANSWER_TIMEOUT_S:.0f} s'
            )
        finally:
            self.pending.pop(request_id, None)

    def deliver(self, request_id: str, answer: object) -> None:
        """Complete a waiting request with its answer."""
        future = self.pending.get(request_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def is_idle(self, idle_s: float) -> bool:
        """Return whether no request was active in the last `idle_s` seconds."""
        with self.lock:
            return not self.active_count and time.monotonic() - self.last_activity_s >= idle_s


HANDLERS = {
    '/v1/entry': ('GET', CallersApp.answer_entry),
    '/v1/query': ('POST', CallersApp.answer_query),
    '/v1/queries': ('POST', CallersApp.answer_batch),
    '/v1/tickets': ('POST', CallersApp.answer_ticket),
    '/v1/requests': ('POST', CallersApp.answer_request),
}


def read_body(environ: dict) -> bytes:
    """Read a request body; the server has already limited its size and buffered it."""
    return environ['wsgi.input'].read()


def encode_answer(answer: object, request_id: str) -> tuple[str, bytes, int | None]:
    """Return the status line, the body and the time until a retry in milliseconds, if any."""
    retry_after_ms = answer.retry_after_ms if isinstance(answer, Failure) else None
    body = msgspec.json.encode(to_json(answer, request_id))
    return status_of(answer), body, retry_after_ms
