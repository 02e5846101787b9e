"""Data classes for replicas, requests, answers, members and store items."""

import enum

from ..failures import Failure
from ..record import Record
from .statements import Notice

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which a caller concludes that its request has not run and never will."""


class ReplicaEntry(Record):
    """
    Registration entry that a replica publishes in the store.

    :param started_ms: start time in Unix milliseconds; distinguishes incarnations with the same
        ID; 0 if the entry does not say
    :param cold_left_ms: remaining warm-up time in milliseconds when the entry was written
    """

    __slots__ = (
        'cold_left_ms',
        'host',
        'is_draining',
        'port',
        'replica_id',
        'service',
        'slots',
        'started_ms',
        'zone',
    )

    def __init__(
        self,
        replica_id: str,
        service: str,
        host: str,
        port: int,
        zone: str,
        slots: int = 1,
        is_draining: bool = False,
        cold_left_ms: float = 0.0,
        started_ms: int = 0,
    ):
        self.replica_id = replica_id
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.cold_left_ms = cold_left_ms
        self.started_ms = started_ms


class CallerRequest(Record):
    """
    One attempt of a caller.

    :param target: path and query string as sent
    :param timeout_ms: how long the caller will wait in milliseconds, None if it did not say
    """

    __slots__ = (
        'body',
        'headers',
        'host',
        'method',
        'path',
        'request_id',
        'target',
        'timeout_ms',
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        target: str,
        host: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes = b'',
        timeout_ms: float | None = None,
    ):
        self.request_id = request_id
        self.method = method
        self.target = target
        self.host = host
        self.path = path
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms

    def without_payload(self) -> 'CallerRequest':
        """Return a copy that only serves to recognize the request and log its end."""
        return CallerRequest(
            self.request_id, self.method, '', self.host, '', [], timeout_ms=self.timeout_ms
        )


class Reply(Record):
    """
    A complete reply of a replica.

    :param signature: the replica's signature of the reply, empty if unsigned
    :param request_id: ID of the answered request as echoed by the replica
    :param is_rejected: the replica states that it has not run the request and never will
    :param is_other_instance: a different replica answered at the address
    :param is_encoded: the body has a content encoding and is not the replica's original bytes
    :param keep_alive_ms: keep-alive timeout of the connection in milliseconds, None if unknown
    :param is_closing: the connection closes after this reply
    :param notice: what the replica states about itself, None if nothing
    """

    __slots__ = (
        'body',
        'headers',
        'is_closing',
        'is_encoded',
        'is_other_instance',
        'is_rejected',
        'keep_alive_ms',
        'notice',
        'request_id',
        'signature',
        'status',
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        signature: str = '',
        request_id: str = '',
        is_rejected: bool = False,
        is_other_instance: bool = False,
        is_encoded: bool = False,
        keep_alive_ms: float | None = None,
        is_closing: bool = False,
        notice: Notice | None = None,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.signature = signature
        self.request_id = request_id
        self.is_rejected = is_rejected
        self.is_other_instance = is_other_instance
        self.is_encoded = is_encoded
        self.keep_alive_ms = keep_alive_ms
        self.is_closing = is_closing
        self.notice = notice

    @property
    def is_success(self) -> bool:
        """Return whether this is a successful reply that is signed and not encoded."""
        return 200 <= self.status < 300 and bool(self.signature) and not self.is_encoded

    @property
    def is_unproven_refusal(self) -> bool:
        """Return whether its status says that nothing has run, and the replica does not."""
        return self.status in NOT_RUN_STATUSES and not self.is_rejected


class LinkFault(enum.Enum):
    """Why an exchange with a replica ended without a complete reply."""

    CONNECT_FAILED = 'connect_failed'
    LOST = 'connection_lost'
    MALFORMED = 'malformed'
    TIMED_OUT = 'timed_out'
    OVERSIZED = 'oversized'
    """The reply exceeded a limit on its head, its body or the memory of all replies."""

    ABANDONED = 'abandoned'
    """Nobody needed the reply any more, and more of it came than is cheaper to read."""


class LinkFailure(Record):
    """
    An exchange that ended without a complete reply.

    :param was_sent: whether any byte of the request may have reached the replica
    :param is_refused: whether nothing listens at the replica's address
    """

    __slots__ = ('fault', 'is_refused', 'was_sent')

    def __init__(self, fault: LinkFault, was_sent: bool, is_refused: bool = False):
        self.is_refused = is_refused
        self.fault = fault
        self.was_sent = was_sent


class ForwardedAnswer(Record):
    """A replica's reply that is forwarded to the caller unchanged."""

    __slots__ = ('reply',)

    def __init__(self, reply: Reply):
        self.reply = reply


class MergedAnswer(Record):
    """
    The merged answer of a gather.

    :param signatures: signatures of the parts that have arrived
    :param missing_count: number of shards whose parts are missing from the answer
    """

    __slots__ = ('body', 'missing_count', 'signatures')

    def __init__(self, body: bytes, signatures: list[str], missing_count: int):
        self.body = body
        self.signatures = signatures
        self.missing_count = missing_count


class PartsOrder(Record):
    """
    Shards of a gather that one VM asks another VM to gather.

    :param attempts: maximum number of replicas of one service that may run the request
    :param soft_ms: milliseconds after its arrival within which the answer must be sent
    :param hard_ms: milliseconds after its arrival within which replicas may work on it
    :param digest: what the request has in common with other attempts of its caller
    :param home_regions: regions in which the request may be served, None for all
    """

    __slots__ = (
        'attempts',
        'digest',
        'hard_ms',
        'home_regions',
        'priority',
        'request',
        'route_name',
        'services',
        'soft_ms',
        'top_records',
    )

    def __init__(
        self,
        request: CallerRequest,
        route_name: str,
        priority: int,
        services: tuple[str, ...],
        attempts: int,
        top_records: int,
        soft_ms: float,
        hard_ms: float,
        digest: str,
        home_regions: frozenset[str] | None = None,
    ):
        self.digest = digest
        self.home_regions = home_regions
        self.request = request
        self.route_name = route_name
        self.priority = priority
        self.services = services
        self.attempts = attempts
        self.top_records = top_records
        self.soft_ms = soft_ms
        self.hard_ms = hard_ms

    @property
    def request_id(self) -> str:
        """Return the ID of the request that this order belongs to."""
        return self.request.request_id


class PartsAnswer(Record):
    """
    Answer of another VM to an order.

    :param signatures: signatures by service, for the parts that have arrived
    :param run_counts: number of replicas that may have run the request, by service, for the
        parts that have not arrived
    :param body: the largest records of all parts, merged
    :param work_ms: milliseconds from the order to the answer, measured at that VM
    :param tried: services of missing parts whose replicas the request may have reached, also if
        they rejected it
    :param lost: services of missing parts that were lost with their connection and not retried
    """

    __slots__ = ('body', 'lost', 'run_counts', 'signatures', 'tried', 'work_ms')

    def __init__(
        self,
        signatures: dict[str, str],
        run_counts: dict[str, int],
        body: bytes,
        work_ms: float,
        tried: frozenset[str] = frozenset(),
        lost: frozenset[str] = frozenset(),
    ):
        self.lost = lost
        self.signatures = signatures
        self.tried = tried
        self.run_counts = run_counts
        self.body = body
        self.work_ms = work_ms


class PartsReply(Record):
    """
    The end of an exchange with another VM.

    :param answer: its answer, None if it rejected the order and nothing has run
    :param is_closing: the connection closes after this reply
    :param refusal: reason for which it rejected the order, empty if it gave none
    """

    __slots__ = ('answer', 'is_closing', 'refusal', 'request_id')

    def __init__(
        self, answer: PartsAnswer | None, request_id: str, is_closing: bool, refusal: str = ''
    ):
        self.answer = answer
        self.request_id = request_id
        self.is_closing = is_closing
        self.refusal = refusal


class RequestRelay(Record):
    """
    A request that one VM asks another VM to serve.

    :param soft_ms: milliseconds after its arrival until the answer loses value
    :param hard_ms: milliseconds after its arrival within which it must be answered
    :param run_counts: number of replicas that may have run it already, by service
    :param is_counted: whether the VM that sent it has counted it for the budgets
    """

    __slots__ = ('hard_ms', 'is_counted', 'request', 'run_counts', 'soft_ms')

    def __init__(
        self,
        request: CallerRequest,
        soft_ms: float,
        hard_ms: float,
        run_counts: dict[str, int],
        is_counted: bool,
    ):
        self.request = request
        self.soft_ms = soft_ms
        self.hard_ms = hard_ms
        self.run_counts = run_counts
        self.is_counted = is_counted

    @property
    def request_id(self) -> str:
        """Return the ID of the request."""
        return self.request.request_id


Answer = ForwardedAnswer | MergedAnswer | PartsAnswer | Failure


class RelayReply(Record):
    """
    The end of an exchange with another VM that was asked to serve a request.

    :param answer: its answer, None if that is unreadable
    :param is_closing: the connection closes after this reply
    """

    __slots__ = ('answer', 'is_closing', 'request_id')

    def __init__(
        self,
        answer: ForwardedAnswer | MergedAnswer | Failure | None,
        request_id: str,
        is_closing: bool,
    ):
        self.answer = answer
        self.request_id = request_id
        self.is_closing = is_closing


class Item(Record):
    """One item of the store: its value, None if deleted, and the revision of its last change."""

    __slots__ = ('key', 'revision', 'value')

    def __init__(self, key: str, value: bytes | None, revision: int):
        self.key = key
        self.value = value
        self.revision = revision
