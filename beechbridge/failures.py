"""Typed failures. Functions return them in place of a value; nothing raises them."""

import enum

from .record import Record

UNSENT_RETRY_MS = 500
"""When to come back with a query that was admitted and not sent before its deadline."""


class Executed(enum.Enum):
    """What a failure says of the work that was asked for."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Machine-readable reason of a failure."""

    INVALID_INPUT = 'invalid_input'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    TOO_LARGE = 'too_large'
    UNKNOWN_BACK_END = 'unknown_back_end'
    UNKNOWN_CLASS = 'unknown_class'
    NOT_IDEMPOTENT = 'not_idempotent'
    DUPLICATE_REQUEST = 'duplicate_request'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'
    OVERLOADED = 'overloaded'
    WOULD_BE_LATE = 'would_be_late'
    DEADLINE = 'deadline'
    COVERAGE_TOO_LOW = 'coverage_too_low'
    NO_REPLICA = 'no_replica'
    QUEUE_FULL = 'queue_full'
    SNAPSHOT_GONE = 'snapshot_gone'
    SNAPSHOT_NOT_YET = 'snapshot_not_yet'
    SHARD_MOVED = 'shard_moved'
    DRAINING = 'draining'
    SHED = 'shed'
    CONNECT_FAILED = 'connect_failed'
    CONNECTION_LOST = 'connection_lost'
    NO_PROGRESS = 'no_progress'
    TRUNCATED = 'truncated'
    MISMATCHED = 'mismatched'
    UPSTREAM_ERROR = 'upstream_error'
    TICKET_TABLE_FULL = 'ticket_table_full'
    TICKET_FORGOTTEN = 'ticket_forgotten'
    TICKET_BACK_END = 'ticket_back_end'
    ISSUER_UNREACHABLE = 'issuer_unreachable'
    ISSUER_RESTARTED = 'issuer_restarted'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    STALE_GENERATION = 'stale_generation'
    GENERATION_CONFLICT = 'generation_conflict'
    DIGEST_MISMATCH = 'digest_mismatch'
    INVALID_DOCUMENT = 'invalid_document'
    INTERNAL = 'internal'


class Failure(Record):
    """
    Sentinel for a result that could not be had.

    :param reason: machine-readable reason
    :param executed: whether the work may have run
    :param detail: one sentence for people
    :param retry_after_ms: when asking again makes sense, or None
    """

    __slots__ = ('detail', 'executed', 'reason', 'retry_after_ms')

    def __init__(
        self,
        reason: Reason,
        executed: Executed = Executed.NOT_RUN,
        detail: str = '',
        retry_after_ms: int | None = None,
    ):
        self.reason = reason
        self.executed = executed
        self.detail = detail
        self.retry_after_ms = retry_after_ms


class InputFailure(Failure):
    """
    A value from outside that is not allowed.

    :param source: file or interface that the value came from
    :param field: path of the field
    :param value: the value found
    :param allowed: what is allowed there
    """

    __slots__ = ('allowed', 'field', 'source', 'value')

    def __init__(self, source: str, field: str, value: object, allowed: str):
        detail = f'{source}: {field} is {value!r}; allowed: {allowed}'
        super().__init__(Reason.INVALID_INPUT, Executed.NOT_RUN, detail)
        self.source = source
        self.field = field
        self.value = value
        self.allowed = allowed


class AttemptFailure(Failure):
    """One exchange with an upstream that gave no usable reply."""

    __slots__ = ()


class PlatformFailure(Failure):
    """A platform service that did not answer, or answered with nothing usable."""

    __slots__ = ()


class CoverageFailure(Failure):
    """
    A query that ended with less coverage than its class demands.

    :param coverage: what was answered and what is missing
    """

    __slots__ = ('coverage',)

    def __init__(self, coverage: object, executed: Executed, detail: str):
        retry_after_ms = UNSENT_RETRY_MS if executed is Executed.NOT_RUN else None
        super().__init__(Reason.COVERAGE_TOO_LOW, executed, detail, retry_after_ms)
        self.coverage = coverage


def not_run(reason: Reason, detail: str = '', retry_after_ms: int | None = None) -> Failure:
    """Return a refusal of work that certainly did not run."""
    return Failure(reason, Executed.NOT_RUN, detail, retry_after_ms)


def unknown(reason: Reason, detail: str = '') -> Failure:
    """Return a failure of work that may have run."""
    return Failure(reason, Executed.UNKNOWN, detail)
