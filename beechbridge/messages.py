"""Messages exchanged with upstreams and between VMs."""

import enum
from typing import Any

import msgspec

from .document import Delta, Document
from .models import Shard, TicketedRequest, VmIdentity
from .record import Record


class ShardQuery(Record):
    """
    One shard's part of a query.

    :param deadline_ms: time the upstream has to answer, counted from arrival
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
    """Cancels an attempt at an upstream; its reply is no longer needed."""

    __slots__ = ('cancelled_attempt_id',)

    def __init__(self, cancelled_attempt_id: str):
        self.cancelled_attempt_id = cancelled_attempt_id


class LoadProbe(Record):
    """Health check that requests an upstream's load and snapshots."""

    __slots__ = ()


UpstreamMessage = ShardQuery | ShardRequest | CancelOrder | LoadProbe


class ReplyStatus(enum.Enum):
    """How an upstream handled a message."""

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

    :param value: the row's JSON text, forwarded unchanged
    """

    key: str
    value: msgspec.Raw = msgspec.Raw(b'null')


class Reply(msgspec.Struct, rename={'shard_id': 'shard'}):
    """
    An upstream's complete reply in its wire format.

    :param request_id: echoed request, '' if none
    :param attempt_id: echoed attempt, '' if none
    :param executed: False only if the upstream states that it did not run the request
    :param oldest_snapshot: oldest snapshot the replica still serves, 0 if not stated
    :param newest_snapshot: newest snapshot the replica serves, 0 if not stated
    :param closing: whether the upstream announced that it will close the connection
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
    """What a VM knows of a member: identity, heartbeat counter and whether it is leaving."""

    __slots__ = ('heartbeat', 'identity', 'leaving')

    def __init__(self, identity: VmIdentity, heartbeat: int, leaving: bool):
        self.identity = identity
        self.heartbeat = heartbeat
        self.leaving = leaving


class ReplicaSign(Record):
    """
    State of a replica as a VM last observed it.

    :param age_ms: time since the observation
    :param draining: whether the replica showed that it is draining
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
    Heartbeats, configuration digest and replica signs; sent in every gossip period.

    :param members: the sender's own entry first, then its views of other members
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
    Requests the configuration newer than a generation from a peer.

    :param generation: generation of the sender's document, 0 if none
    :param digest: digest of the sender's document, '' if none
    """

    __slots__ = ('digest', 'generation')

    def __init__(self, generation: int, digest: str):
        self.generation = generation
        self.digest = digest


class ConfigurationOffered(Record):
    """Sends a peer a newer configuration: a whole document, or a delta to the peer's document."""

    __slots__ = ('content',)

    def __init__(self, content: Document | Delta):
        self.content = content


class RelayedRequest(Record):
    """Forwards a ticketed request to the VM that issued the ticket."""

    __slots__ = ('relay_id', 'request')

    def __init__(self, relay_id: str, request: TicketedRequest):
        self.relay_id = relay_id
        self.request = request


class RelayedOutcome(Record):
    """
    Returns the outcome of a relayed request.

    :param outcome: Done or Failure
    """

    __slots__ = ('outcome', 'relay_id')

    def __init__(self, relay_id: str, outcome: object):
        self.relay_id = relay_id
        self.outcome = outcome


PeerMessage = Gossip | ConfigurationWanted | ConfigurationOffered | RelayedRequest | RelayedOutcome
