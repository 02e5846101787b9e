"""Typed failures, which functions return instead of a value; they are not raised."""

import enum

from .record import Record

UNSENT_RETRY_MS = 500
"""Retry-after time for a query that was admitted but not sent before its deadline."""


class Executed(enum.Enum):
    """Whether the requested work may have run despite the failure."""

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
    REPLICAS_BUSY = 'replicas_busy'
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
    UNREACHABLE = 'unreachable'
    """This VM reaches no replica."""

    QUARANTINED = 'quarantined'
    """Replicas ended while they ran the request."""


class Failure(Record):
    """
    Returned in place of a result that is not available.

    :param reason: machine-readable reason
    :param executed: whether the work may have run
    :param detail: human-readable explanation
    :param retry_after_ms: time after which a retry may succeed, or None
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
    An invalid input value.

    :param source: file or interface from which the value was read
    :param field: path of the field
    :param value: value that was found
    :param allowed: description of the allowed values
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
    """An exchange with an upstream that ended without a usable reply."""

    __slots__ = ()


class PlatformFailure(Failure):
    """A platform service that gave no answer or an unusable one."""

    __slots__ = ()


class CoverageFailure(Failure):
    """
    A query that ended with less coverage than its class requires.

    :param coverage: number of shards that answered, and the missing shards
    """

    __slots__ = ('coverage',)

    def __init__(self, coverage: object, executed: Executed, detail: str):
        retry_after_ms = UNSENT_RETRY_MS if executed is Executed.NOT_RUN else None
        super().__init__(Reason.COVERAGE_TOO_LOW, executed, detail, retry_after_ms)
        self.coverage = coverage


def not_run(reason: Reason, detail: str = '', retry_after_ms: int | None = None) -> Failure:
    """Return a failure of work that did not run."""
    return Failure(reason, Executed.NOT_RUN, detail, retry_after_ms)


def unknown(reason: Reason, detail: str = '') -> Failure:
    """Return a failure of work that may have run."""
    return Failure(reason, Executed.UNKNOWN, detail)
