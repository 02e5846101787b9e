"""Messages to and from upstreams, and between VMs."""

import enum
from typing import Any

import msgspec

from .document import Delta, Document
from .models import Shard, TicketedRequest, VmIdentity
from .record import Record


class ShardQuery(Record):
    """
    One shard's part of a query.

    :param deadline_ms: time the upstream has, from arrival
    """

    __slots__ = ('back_end', 'body', 'deadline_ms', 'request_id', 'shard', 'snapshot')

    def __init__(
        self,
        request_id: str,
        back_end: str,
        shard: Shard,
        snapshot: int,
        body: bytes,
        deadline_ms: float,
    ):
        self.request_id = request_id
        self.back_end = back_end
        self.shard = shard
        self.snapshot = snapshot
        self.body = body
        self.deadline_ms = deadline_ms


class ShardRequest(Record):
    """A non-idempotent request to the shard that owns its key."""

    __slots__ = ('back_end', 'body', 'deadline_ms', 'key', 'request_id', 'shard')

    def __init__(
        self,
        request_id: str,
        back_end: str,
        shard: Shard,
        key: str,
        body: bytes,
        deadline_ms: float,
    ):
        self.request_id = request_id
        self.back_end = back_end
        self.shard = shard
        self.key = key
        self.body = body
        self.deadline_ms = deadline_ms


class CancelOrder(Record):
    """Tells an upstream that nobody waits for an attempt any more."""

    __slots__ = ('cancelled_attempt_id',)

    def __init__(self, cancelled_attempt_id: str):
        self.cancelled_attempt_id = cancelled_attempt_id


class LoadProbe(Record):
    """Asks an upstream for its health, load and snapshots."""

    __slots__ = ()


UpstreamMessage = ShardQuery | ShardRequest | CancelOrder | LoadProbe


class ReplyStatus(enum.Enum):
    """What an upstream did with a message."""

    DONE = 'done'
    GONE = 'gone'
    NOT_YET = 'not_yet'
    MOVED = 'moved'
    DRAINING = 'draining'
    SHED = 'shed'
    EXPIRED = 'expired'
    ERROR = 'error'


class Row(msgspec.Struct):
    """
    One row of a partial answer.

    :param value: the row's JSON text, passed on as it came
    """

    key: str
    value: msgspec.Raw = msgspec.Raw(b'null')


class Reply(msgspec.Struct, rename={'shard_id': 'shard'}):
    """
    An upstream's whole reply, in the form that it has on the wire.

    :param request_id: echoed request, '' if none
    :param attempt_id: echoed attempt, '' if none
    :param executed: False only where the upstream says that it did not run the message
    :param oldest_snapshot: oldest snapshot the replica still serves, 0 if not said
    :param newest_snapshot: newest snapshot the replica serves, 0 if not said
    :param closing: the upstream said it will close the connection
    """

    status: ReplyStatus
    request_id: str = ''
    attempt_id: str = ''
    shard_id: str = ''
    low: int = 0
    high: int = 0
    snapshot: int = 0
    rows: list[Row] = []
    result: Any = None
    executed: bool = True
    oldest_snapshot: int = 0
    newest_snapshot: int = 0
    closing: bool = False


class MemberView(Record):
    """What a VM knows of another: its process, how far its heartbeat has counted, its state."""

    __slots__ = ('heartbeat', 'identity', 'leaving')

    def __init__(self, identity: VmIdentity, heartbeat: int, leaving: bool):
        self.identity = identity
        self.heartbeat = heartbeat
        self.leaving = leaving


class ReplicaSign(Record):
    """
    What a VM last saw of a replica.

    :param age_ms: how long ago
    :param draining: whether the replica showed any sign of leaving
    """

    __slots__ = ('age_ms', 'draining', 'newest_snapshot', 'oldest_snapshot', 'replica_id')

    def __init__(
        self,
        replica_id: str,
        age_ms: int,
        draining: bool,
        oldest_snapshot: int,
        newest_snapshot: int,
    ):
        self.replica_id = replica_id
        self.age_ms = age_ms
        self.draining = draining
        self.oldest_snapshot = oldest_snapshot
        self.newest_snapshot = newest_snapshot


class Gossip(Record):
    """
    Heartbeats, configuration digest and replica signs; sent every gossip period.

    :param members: the sender's own entry first, then the views it shares
    """

    __slots__ = ('digest', 'generation', 'members', 'signs')

    def __init__(
        self,
        members: list[MemberView],
        generation: int,
        digest: str,
        signs: list[ReplicaSign],
    ):
        self.members = members
        self.generation = generation
        self.digest = digest
        self.signs = signs


class ConfigurationWanted(Record):
    """
    Asks a peer for everything after a generation.

    :param digest: digest of the document held, '' if none
    """

    __slots__ = ('digest', 'generation')

    def __init__(self, generation: int, digest: str):
        self.generation = generation
        self.digest = digest


class ConfigurationOffered(Record):
    """Brings a peer up to date with a whole document or the difference to what it holds."""

    __slots__ = ('content',)

    def __init__(self, content: Document | Delta):
        self.content = content


class RelayedRequest(Record):
    """Passes a ticketed request to its issuer."""

    __slots__ = ('relay_id', 'request')

    def __init__(self, relay_id: str, request: TicketedRequest):
        self.relay_id = relay_id
        self.request = request


class RelayedOutcome(Record):
    """
    Brings the outcome of a relayed request back.

    :param outcome: Done or Failure
    """

    __slots__ = ('outcome', 'relay_id')

    def __init__(self, relay_id: str, outcome: object):
        self.relay_id = relay_id
        self.outcome = outcome


PeerMessage = Gossip | ConfigurationWanted | ConfigurationOffered | RelayedRequest | RelayedOutcome
