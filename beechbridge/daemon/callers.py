"""WSGI application of the callers' interface."""

import itertools
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from urllib.parse import parse_qs

import msgspec

from ..events import EntryRequested, Event, QueryReceived, TicketedRequestReceived, TicketRequested
from ..failures import Failure, InputFailure, Reason, not_run, unknown
from ..models import VmIdentity
from .bodies import (
    parse_batch,
    parse_query,
    parse_request,
    parse_ticket_wish,
    status_of,
    to_json,
)

ANSWER_TIMEOUT_S = 620.0
"""Longer than any deadline: the core always answers, so this only bounds a defect."""

SPARE_THREADS = 4
"""Threads kept free to refuse what exceeds the others."""

RETRY_BUSY_MS = 100


class CallersApp:
    """
    Turns callers' requests into events and waits for their answers.

    :param post: hands events to the core
    :param is_leaving: tells whether answers should close their connections
    """

    __slots__ = (
        'active',
        'batch_queries',
        'body_bytes',
        'identity',
        'is_leaving',
        'last_request_s',
        'lock',
        'numbers',
        'pending',
        'post',
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
        self.numbers = itertools.count(1)
        self.pending: dict[str, Future] = {}
        self.active = 0
        self.last_request_s = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        with self.lock:
            self.active += 1
            self.last_request_s = time.monotonic()
            is_busy = self.active > self.thread_count - SPARE_THREADS
        try:
            request_id = self.new_request_id()
            status, body, retry_after_ms = self.serve(environ, request_id, is_busy)
            headers = [('Content-Type', 'application/json'), ('X-Request-Id', request_id)]
            if retry_after_ms is not None:
                headers.append(('Retry-After', str(-(-retry_after_ms // 1000))))
            if not self.is_leaving():
                headers.append(('Content-Length', str(len(body))))
                start_response(status, headers)
                return [body]
            # A body of unknown length makes the server close the connection after it.
            start_response(status, headers)
            return iter((body,))
        finally:
            with self.lock:
                self.active -= 1
                self.last_request_s = time.monotonic()

    def serve(
        self, environ: dict, request_id: str, is_busy: bool
    ) -> tuple[str, bytes, int | None]:
        """Return status line, body and the time to come back after."""
        path = environ.get('PATH_INFO', '')
        if is_busy and path != '/v1/entry':
            detail = 'all threads are busy'
            answer = not_run(Reason.OVERLOADED, detail, RETRY_BUSY_MS)
            return encode_answer(answer, request_id)
        method, route = ROUTES.get(path, (None, None))
        if route is None:
            known = ', '.join(sorted(ROUTES))
            return encode_answer(not_run(Reason.NOT_FOUND, f'known paths: {known}'), request_id)
        if environ['REQUEST_METHOD'] != method:
            detail = f'{path} takes {method}'
            return encode_answer(not_run(Reason.METHOD_NOT_ALLOWED, detail), request_id)
        if int(environ.get('CONTENT_LENGTH') or 0) > self.body_bytes:
            detail = f'a body has at most {self.body_bytes} bytes'
            return encode_answer(not_run(Reason.TOO_LARGE, detail), request_id)
        return route(self, environ, request_id)

    def new_request_id(self) -> str:
        """Return an identifier that no other request has."""
        return f'{self.identity.name}-{self.identity.incarnation:x}-q{next(self.numbers):x}'

    def answer_entry(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Tell a caller which VMs to use."""
        parameters = parse_qs(environ.get('QUERY_STRING', ''))
        place = parameters.get('place', [None])[0]
        caller = parameters.get('caller', [environ.get('REMOTE_ADDR', '')])[0]
        return self.ask(EntryRequested(request_id, place, caller), request_id)

    def answer_query(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Answer one query."""
        query = parse_query(read_body(environ))
        if isinstance(query, Failure):
            return encode_answer(query, request_id)
        return self.ask(QueryReceived(request_id, query), request_id)

    def answer_batch(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Answer each query of a batch on its own."""
        queries = parse_batch(read_body(environ), self.batch_queries)
        if isinstance(queries, Failure):
            return encode_answer(queries, request_id)
        waiting = []
        for number, query in enumerate(queries):
            item_id = f'{request_id}.{number}'
            if isinstance(query, InputFailure):
                waiting.append((item_id, query))
                continue
            waiting.append((item_id, self.start(QueryReceived(item_id, query), item_id)))
        answers = []
        for item_id, answer in waiting:
            if isinstance(answer, Future):
                answer = self.wait(answer, item_id)
            answers.append(to_json(answer, item_id))
        body = msgspec.json.encode({'request_id': request_id, 'answers': answers})
        return '200 OK', body, None

    def answer_ticket(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Give out a ticket."""
        back_end = parse_ticket_wish(read_body(environ))
        if isinstance(back_end, Failure):
            return encode_answer(back_end, request_id)
        return self.ask(TicketRequested(request_id, back_end), request_id)

    def answer_request(self, environ: dict, request_id: str) -> tuple[str, bytes, int | None]:
        """Run a non-idempotent request under its ticket."""
        request = parse_request(read_body(environ))
        if isinstance(request, Failure):
            return encode_answer(request, request_id)
        return self.ask(TicketedRequestReceived(request_id, request), request_id)

    def ask(self, event: Event, request_id: str) -> tuple[str, bytes, int | None]:
        """Hand in an event and wait for its answer."""
        answer = self.wait(self.start(event, request_id), request_id)
        return encode_answer(answer, request_id)

    def start(self, event: Event, request_id: str) -> Future:
        """Hand in an event; return where its answer will be."""
        future = Future()
        self.pending[request_id] = future
        self.post(event)
        return future

    def wait(self, future: Future, request_id: str) -> object:
        """Wait for an answer."""
        try:
            return future.result(ANSWER_TIMEOUT_S)
        except FutureTimeoutError:
            return unknown(Reason.INTERNAL, 'no answer from the core')
        finally:
            self.pending.pop(request_id, None)

    def deliver(self, request_id: str, answer: object) -> None:
        """Give a waiting request its answer."""
        future = self.pending.get(request_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def is_quiet(self, quiet_s: float) -> bool:
        """Tell whether no request is active and none ended lately."""
        with self.lock:
            return not self.active and time.monotonic() - self.last_request_s >= quiet_s


ROUTES = {
    '/v1/entry': ('GET', CallersApp.answer_entry),
    '/v1/query': ('POST', CallersApp.answer_query),
    '/v1/queries': ('POST', CallersApp.answer_batch),
    '/v1/tickets': ('POST', CallersApp.answer_ticket),
    '/v1/requests': ('POST', CallersApp.answer_request),
}


def read_body(environ: dict) -> bytes:
    """Read a request's body; the server has already bounded and buffered it."""
    return environ['wsgi.input'].read()


def encode_answer(answer: object, request_id: str) -> tuple[str, bytes, int | None]:
    """Return status line, body and the time to come back after."""
    retry_after_ms = answer.retry_after_ms if isinstance(answer, Failure) else None
    body = msgspec.json.encode(to_json(answer, request_id))
    return status_of(answer), body, retry_after_ms
