"""Parsing and rendering of the JSON bodies of the caller API."""

from functools import singledispatch
from typing import Annotated

import msgspec
from msgspec import Meta

from ..failures import CoverageFailure, Executed, Failure, InputFailure, Reason
from ..fields import convert, decode_json
from ..models import (
    Answer,
    Coverage,
    Done,
    DurationMs,
    EntryAnswer,
    Name,
    Query,
    Snapshot,
    Ticket,
    TicketedRequest,
    TicketGrant,
)

SOURCE = 'request body'
DEFAULT_REQUEST_DEADLINE_MS = 5_000


class QueryBody(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={'query_class': 'class'}
):
    """Request body of a query."""

    back_end: Name
    query_class: Name
    match: dict = {}
    deadline_ms: DurationMs | None = None
    urgency: Annotated[int, Meta(ge=1, le=100)] | None = None
    minimum_snapshot: Snapshot = 0
    limit: Annotated[int, Meta(ge=1, le=100_000)] = 1000


class BatchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body of a batch; each query is validated separately."""

    queries: list


class TicketBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body that asks for a ticket."""

    back_end: Name


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request body of a non-idempotent request."""

    ticket: Annotated[str, Meta(min_length=1, max_length=256)]
    back_end: Name
    key: Annotated[str, Meta(min_length=1, max_length=1024)]
    body: dict = {}
    deadline_ms: DurationMs = DEFAULT_REQUEST_DEADLINE_MS


NOT_RUN_STATUS = '503 Service Unavailable'
"""Status from which callers conclude that nothing has run, whatever the body says."""

STATUS_BY_REASON = {
    Reason.INVALID_INPUT: '400 Bad Request',
    Reason.TICKET_BACK_END: '400 Bad Request',
    Reason.NOT_IDEMPOTENT: '400 Bad Request',
    Reason.NOT_FOUND: '404 Not Found',
    Reason.UNKNOWN_BACK_END: '404 Not Found',
    Reason.UNKNOWN_CLASS: '404 Not Found',
    Reason.METHOD_NOT_ALLOWED: '405 Method Not Allowed',
    Reason.DUPLICATE_REQUEST: '409 Conflict',
    Reason.TOO_LARGE: '413 Content Too Large',
    Reason.INTERNAL: '500 Internal Server Error',
    Reason.NOT_READY: NOT_RUN_STATUS,
    Reason.STOPPING: NOT_RUN_STATUS,
    Reason.OVERLOADED: NOT_RUN_STATUS,
    Reason.WOULD_BE_LATE: NOT_RUN_STATUS,
    Reason.TICKET_TABLE_FULL: NOT_RUN_STATUS,
    Reason.NO_REPLICA: NOT_RUN_STATUS,
    Reason.SHED: NOT_RUN_STATUS,
    Reason.DRAINING: NOT_RUN_STATUS,
    Reason.QUEUE_FULL: NOT_RUN_STATUS,
    Reason.SNAPSHOT_NOT_YET: NOT_RUN_STATUS,
    Reason.CONNECT_FAILED: NOT_RUN_STATUS,
    Reason.QUARANTINED: NOT_RUN_STATUS,
}
DEFAULT_STATUS = '504 Gateway Timeout'


def parse_query(text: bytes) -> Query | InputFailure:
    """Parse the body of a query."""
    body = decode_json(text, QueryBody, SOURCE)
    return body if isinstance(body, Failure) else to_query(body)


def to_query(body: QueryBody) -> Query:
    """Convert a validated body to a query."""
    return Query(
        body.back_end,
        body.query_class,
        msgspec.json.encode(body.match),
        body.deadline_ms,
        body.urgency,
        body.minimum_snapshot,
        body.limit,
    )


def parse_batch(text: bytes, max_queries: int) -> list[Query | InputFailure] | InputFailure:
    """Parse the body of a batch; an invalid query fails without affecting the others."""
    body = decode_json(text, BatchBody, SOURCE)
    if isinstance(body, Failure):
        return body
    if not 1 <= len(body.queries) <= max_queries:
        return InputFailure(SOURCE, 'queries', len(body.queries), f'1 to {max_queries} queries')
    queries = []
    for number, value in enumerate(body.queries):
        item = convert(value, QueryBody, SOURCE, f'queries[{number}]')
        queries.append(item if isinstance(item, Failure) else to_query(item))
    return queries


def parse_ticket_request(text: bytes) -> str | InputFailure:
    """Parse the body of a ticket request; return the name of its back end."""
    body = decode_json(text, TicketBody, SOURCE)
    return body if isinstance(body, Failure) else body.back_end


def parse_request(text: bytes) -> TicketedRequest | InputFailure:
    """Parse the body of a non-idempotent request."""
    body = decode_json(text, RequestBody, SOURCE)
    if isinstance(body, Failure):
        return body
    ticket = Ticket.decode(body.ticket)
    if ticket is None:
        return InputFailure(
            SOURCE, 'ticket', body.ticket, 'a ticket that POST /v1/tickets returned'
        )
    content = msgspec.json.encode(body.body)
    return TicketedRequest(ticket, body.back_end, body.key, content, body.deadline_ms)


@singledispatch
def to_json(answer: object, request_id: str) -> dict:
    """Return the JSON object of an answer."""
    raise TypeError(f'no JSON form for {type(answer).__name__}')


@to_json.register
def answer_to_json(answer: Answer, request_id: str) -> dict:
    """Return the JSON object of a query's answer."""
    return {
        'request_id': request_id,
        'snapshot': answer.snapshot,
        'coverage': coverage_to_json(answer.coverage),
        'elapsed_ms': round(answer.elapsed_ms, 2),
        'truncated': answer.truncated,
        'rows': answer.rows,
    }


def coverage_to_json(coverage: Coverage) -> dict:
    """Return how many shards answered and which are missing."""
    missing = [{'shard': item.shard_id, 'reason': item.reason.value} for item in coverage.missing]
    return {
        'complete': coverage.complete,
        'shards_total': coverage.shards_total,
        'shards_answered': coverage.shards_answered,
        'missing': missing,
    }


@to_json.register
def entry_to_json(answer: EntryAnswer, request_id: str) -> dict:
    """Return the addresses of the VMs to use."""
    addresses = []
    for vm in answer.vms:
        addresses.append(
            {'vm': vm.name, 'place': vm.place, 'address': f'{vm.host}:{vm.caller_port}'}
        )
    return {'request_id': request_id, 'addresses': addresses, 'keep_ms': answer.keep_ms}


@to_json.register
def grant_to_json(answer: TicketGrant, request_id: str) -> dict:
    """Return the JSON object of a granted ticket."""
    return {
        'request_id': request_id,
        'ticket': answer.ticket.encode(),
        'keep_ms': answer.keep_ms,
    }


@to_json.register
def done_to_json(answer: Done, request_id: str) -> dict:
    """Return the JSON object of a non-idempotent request that ran."""
    return {
        'request_id': request_id,
        'outcome': 'done',
        'snapshot': answer.snapshot,
        'result': answer.result,
    }


@to_json.register
def failure_to_json(answer: Failure, request_id: str) -> dict:
    """Return the JSON object of a failure."""
    fields = {
        'reason': answer.reason.value,
        'executed': answer.executed.value,
        'detail': answer.detail,
    }
    if answer.retry_after_ms is not None:
        fields['retry_after_ms'] = answer.retry_after_ms
    if isinstance(answer, InputFailure):
        fields['field'] = answer.field
        fields['value'] = answer.value
        fields['allowed'] = answer.allowed
    if isinstance(answer, CoverageFailure):
        fields['coverage'] = coverage_to_json(answer.coverage)
    return {'request_id': request_id, 'outcome': answer.executed.value, 'failure': fields}


def status_of(answer: object) -> str:
    """Return the HTTP status line of an answer."""
    if not isinstance(answer, Failure):
        return '200 OK'
    status = STATUS_BY_REASON.get(answer.reason, DEFAULT_STATUS)
    if status == NOT_RUN_STATUS and answer.executed is not Executed.NOT_RUN:
        return DEFAULT_STATUS
    return status
