"""Types shared by the core and its adapters: configuration, queries, answers and tickets."""

import enum
import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta

from .failures import Failure, Reason
from .hosts import HOST_PATTERN
from .record import Record

KEY_SPACE = 65536
"""Number of positions in the key space, which the shards of a back end divide."""

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$')]
Host = Annotated[str, Meta(pattern=HOST_PATTERN)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]
MAX_DURATION_MS = 600_000
DurationMs = Annotated[int, Meta(ge=1, le=MAX_DURATION_MS)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Percent = Annotated[float, Meta(ge=0.0, le=100.0)]
Snapshot = Annotated[int, Meta(ge=0, le=2**53)]
Position = Annotated[int, Meta(ge=0, le=KEY_SPACE)]


def key_position(key: str) -> int:
    """Return the position of a key in the key space."""
    return int.from_bytes(hashlib.sha256(key.encode()).digest()[:2], 'big')


class Replica(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    One upstream process that serves a service's shards.

    :param connection_limit: connections that the upstream accepts from all VMs together
    """

    replica_id: Name
    place: Name
    host: Host
    port: Port
    slots: PositiveCount
    connection_limit: PositiveCount
    connection_cost_ms: Count
    draining: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of replicas that hold the same shards."""

    replicas: Annotated[tuple[Replica, ...], Meta(min_length=1, max_length=1024)]


class Shard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A range of a back end's key space, from low (inclusive) to high (exclusive)."""

    shard_id: Name
    low: Position
    high: Position
    service: Name


class ShardMap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The shards of a back end, starting with a snapshot."""

    shards: Annotated[tuple[Shard, ...], Meta(min_length=1, max_length=65536)]

    def shard_of(self, key: str) -> Shard:
        """Return the shard that holds a key."""
        position = key_position(key)
        for shard in self.shards:
            if shard.low <= position < shard.high:
                return shard
        raise LookupError(f'position {position} is in no shard')


class QueryClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Settings of one class of queries.

    :param minimum_coverage: share of shards, 0 to 1, below which a partial answer is a failure
    :param hedge_percent: extra attempts beyond one per shard, in percent of the primary attempts
    """

    back_end: Name
    urgency: Annotated[int, Meta(ge=1, le=100)]
    soft_deadline_ms: DurationMs
    hard_deadline_ms: DurationMs
    minimum_coverage: Share
    hedge_percent: Percent = 5.0
    retries_per_shard: Annotated[int, Meta(ge=0, le=20)] = 3
    idempotent: bool = True


class Place(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre."""

    region: Name


class FleetRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Settings that apply to all VMs.

    :param spare_vms: VMs that may run but are not yet on a reader's VM list
    :param entry_keep_ms: how long callers may cache an entry answer
    :param readers_per_place: VMs in each data centre that watch the configuration service
    """

    spare_vms: Annotated[int, Meta(ge=0, le=1000)] = 2
    entry_keep_ms: DurationMs = 5000
    readers_per_place: Annotated[int, Meta(ge=1, le=16)] = 1


class VmState(enum.Enum):
    """State of a VM on the platform's VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of the platform's VM list."""

    name: Name
    place: Name
    host: Host
    caller_port: Port
    peer_port: Port
    operations_port: Port
    state: VmState = VmState.LIVE


class VmList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's list of live and leaving VMs."""

    vms: Annotated[tuple[Vm, ...], Meta(max_length=100_000)]


class VmIdentity(Record):
    """A process, identified by its VM's name and an incarnation drawn when the daemon starts."""

    __slots__ = ('incarnation', 'name')

    def __init__(self, name: str, incarnation: int):
        self.name = name
        self.incarnation = incarnation


class Query(Record):
    """
    A caller's query.

    :param body: JSON object for the shards, encoded once
    :param deadline_ms: the caller's deadline, counted from arrival; None uses that of the class
    :param urgency: may lower the urgency of the class but not raise it; None uses the class's
    :param minimum_snapshot: oldest snapshot the caller accepts
    :param limit: maximum number of rows to return
    """

    __slots__ = (
        'back_end',
        'body',
        'deadline_ms',
        'limit',
        'minimum_snapshot',
        'query_class',
        'urgency',
    )

    def __init__(
        self,
        back_end: str,
        query_class: str,
        body: bytes = b'{}',
        deadline_ms: int | None = None,
        urgency: int | None = None,
        minimum_snapshot: int = 0,
        limit: int = 1000,
    ):
        self.back_end = back_end
        self.query_class = query_class
        self.body = body
        self.deadline_ms = deadline_ms
        self.urgency = urgency
        self.minimum_snapshot = minimum_snapshot
        self.limit = limit


class MissingShard(Record):
    """A shard that did not answer, with the reason."""

    __slots__ = ('reason', 'shard_id')

    def __init__(self, shard_id: str, reason: Reason):
        self.shard_id = shard_id
        self.reason = reason


class Coverage(Record):
    """How many shards of the snapshot's shard map contributed to an answer."""

    __slots__ = ('missing', 'shards_answered', 'shards_total')

    def __init__(self, shards_total: int, shards_answered: int, missing: list[MissingShard]):
        self.shards_total = shards_total
        self.shards_answered = shards_answered
        self.missing = missing

    @property
    def complete(self) -> bool:
        """Return whether every shard answered."""
        return self.shards_answered == self.shards_total

    @property
    def share(self) -> float:
        """Return the share of shards that answered, 0 to 1."""
        return self.shards_answered / self.shards_total


class Answer(Record):
    """
    The answer to a query, from one snapshot.

    :param rows: merged rows, each a JSON object, ordered by key
    :param truncated: whether rows were omitted because of the caller's limit
    """

    __slots__ = ('coverage', 'elapsed_ms', 'request_id', 'rows', 'snapshot', 'truncated')

    def __init__(
        self,
        request_id: str,
        snapshot: int,
        rows: list,
        truncated: bool,
        coverage: Coverage,
        elapsed_ms: float,
    ):
        self.request_id = request_id
        self.snapshot = snapshot
        self.rows = rows
        self.truncated = truncated
        self.coverage = coverage
        self.elapsed_ms = elapsed_ms


class Ticket(Record):
    """Permission to run one non-idempotent request, recorded by the process that issued it."""

    __slots__ = ('issuer', 'number')

    def __init__(self, issuer: VmIdentity, number: str):
        self.issuer = issuer
        self.number = number

    def encode(self) -> str:
        """Return the ticket as text for callers."""
        return f'{self.issuer.name}:{self.issuer.incarnation}:{self.number}'

    @classmethod
    def decode(cls, text: str) -> 'Ticket | None':
        """Parse a ticket that a caller sent; return None if it is malformed."""
        name, _, rest = text.partition(':')
        incarnation, _, number = rest.partition(':')
        if not (name and incarnation.isascii() and incarnation.isdigit() and number):
            return None
        if len(incarnation) > 19 or int(incarnation) >= 2**63:
            return None
        return cls(VmIdentity(name, int(incarnation)), number)


class TicketGrant(Record):
    """A ticket and how long it stays valid."""

    __slots__ = ('keep_ms', 'ticket')

    def __init__(self, ticket: Ticket, keep_ms: int):
        self.ticket = ticket
        self.keep_ms = keep_ms


class TicketedRequest(Record):
    """
    A non-idempotent request with a ticket.

    :param key: key that selects the shard
    :param body: JSON object for the shard
    """

    __slots__ = ('back_end', 'body', 'deadline_ms', 'key', 'ticket')

    def __init__(self, ticket: Ticket, back_end: str, key: str, body: bytes, deadline_ms: int):
        self.ticket = ticket
        self.back_end = back_end
        self.key = key
        self.body = body
        self.deadline_ms = deadline_ms


class Done(Record):
    """
    Outcome of a non-idempotent request that ran exactly once.

    :param snapshot: first snapshot in which its effect is visible
    :param result: the upstream's JSON result
    """

    __slots__ = ('result', 'snapshot')

    def __init__(self, snapshot: int, result: object):
        self.snapshot = snapshot
        self.result = result


Outcome = Done | Failure
"""Outcome of a ticketed request: done, not run or unknown."""


class EntryAnswer(Record):
    """The VMs that a caller should use, best first, and how long it may cache them."""

    __slots__ = ('keep_ms', 'vms')

    def __init__(self, vms: list[Vm], keep_ms: int):
        self.vms = vms
        self.keep_ms = keep_ms
