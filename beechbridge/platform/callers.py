"""Conversion of callers' requests and answers from and to the platform's HTTP headers."""

from functools import singledispatch

import msgspec

from ..failures import Executed, Failure, Reason, not_run
from ..gateway.models import Answer, CallerRequest, ForwardedAnswer, MergedAnswer
from ..wire.http import HttpResponse
from .names import MISSING_PARTS, PART_SIGNATURES, REQUEST_ID, TIMEOUT

FORWARDED_PREFIX = 'HTTP_'
SKIPPED_VARIABLES = frozenset(('HTTP_CONNECTION', 'HTTP_KEEP_ALIVE', 'HTTP_EXPECT'))
TIMEOUT_VARIABLE = FORWARDED_PREFIX + TIMEOUT.upper().replace('-', '_')
REQUEST_ID_VARIABLE = FORWARDED_PREFIX + REQUEST_ID.upper().replace('-', '_')

MAX_TIMEOUT_MS = 86_400_000.0
"""One day: a caller that names a longer timeout waits as long as it takes."""

NOT_RUN_STATUSES = {
    Reason.NOT_FOUND: '404 Not Found',
    Reason.TOO_LARGE: '413 Content Too Large',
    Reason.INVALID_INPUT: '400 Bad Request',
}
NOT_RUN_STATUS = '503 Service Unavailable'
DEADLINE_STATUS = '504 Gateway Timeout'
UNKNOWN_STATUS = '502 Bad Gateway'

REASON_PHRASES = {200: 'OK', 201: 'Created', 202: 'Accepted', 204: 'No Content'}


def read_request(environ: dict) -> CallerRequest | Failure:
    """Parse a request from a WSGI environment."""
    request_id = environ.get(REQUEST_ID_VARIABLE, '')
    if not request_id:
        return not_run(Reason.INVALID_INPUT, f'missing required header {REQUEST_ID}')
    timeout_ms = None
    timeout = environ.get(TIMEOUT_VARIABLE)
    if timeout is not None:
        if not timeout.strip().isdecimal():
            detail = f'invalid {TIMEOUT} header {timeout!r}: expected integer milliseconds'
            return not_run(Reason.INVALID_INPUT, detail)
        timeout_ms = min(float(timeout), MAX_TIMEOUT_MS)
    headers = []
    for name, value in environ.items():
        if name.startswith(FORWARDED_PREFIX) and name not in SKIPPED_VARIABLES:
            headers.append((to_header_name(name), value))
    if environ.get('CONTENT_TYPE'):
        headers.append(('Content-Type', environ['CONTENT_TYPE']))
    target = environ['REQUEST_URI']
    host = environ.get('HTTP_HOST', '').rsplit(':', 1)[0].lower()
    path = target.partition('?')[0]
    body = environ['wsgi.input'].read()
    method = environ['REQUEST_METHOD']
    return CallerRequest(request_id, method, target, host, path, headers, body, timeout_ms)


def to_header_name(variable: str) -> str:
    """Return the header name for a WSGI variable."""
    return variable[len(FORWARDED_PREFIX) :].replace('_', '-').title()


@singledispatch
def write_answer(answer: Answer, request_id: str) -> HttpResponse:
    """Encode an answer as an HTTP response."""
    raise TypeError(f'unsupported answer type {type(answer).__name__}')


@write_answer.register
def write_forwarded(answer: ForwardedAnswer, request_id: str) -> HttpResponse:
    """Forward a replica's status, headers and body."""
    reply = answer.reply
    phrase = REASON_PHRASES.get(reply.status, 'Replica Answer')
    return HttpResponse(f'{reply.status} {phrase}', list(reply.headers), reply.body)


@write_answer.register
def write_merged(answer: MergedAnswer, request_id: str) -> HttpResponse:
    """Encode the body with the signatures of the parts and the number of missing parts."""
    headers = [
        (REQUEST_ID, request_id),
        (PART_SIGNATURES, ', '.join(answer.signatures)),
        (MISSING_PARTS, str(answer.missing_count)),
    ]
    return HttpResponse('200 OK', headers, answer.body)


@write_answer.register
def write_failure(answer: Failure, request_id: str) -> HttpResponse:
    """Encode a failure; the status shows whether the request may have run."""
    if answer.executed is Executed.NOT_RUN:
        status = NOT_RUN_STATUSES.get(answer.reason, NOT_RUN_STATUS)
    else:
        status = DEADLINE_STATUS if answer.reason is Reason.DEADLINE else UNKNOWN_STATUS
    headers = [(REQUEST_ID, request_id), ('Content-Type', 'application/json')]
    if answer.retry_after_ms is not None:
        headers.append(('Retry-After', f'{answer.retry_after_ms / 1000.0:.3f}'))
    body = msgspec.json.encode({'error': answer.reason.value, 'detail': answer.detail})
    return HttpResponse(status, headers, body)
