"""Events that the driver reports to the gateway."""

from collections.abc import Sequence

from ..failures import Failure, InputFailure
from ..record import Record
from .actions import PullChanges
from .member import Member
from .models import (
    CallerRequest,
    Item,
    LinkFailure,
    PartsOrder,
    PartsReply,
    RelayReply,
    Reply,
    RequestRelay,
)
from .permits import ColdReplica, PermitMessage
from .settings import GatewaySettings
from .suspects import SuspectsReport


class RequestReceived(Record):
    """
    A caller's request was read in full.

    :param key: identifies the waiting caller within this process
    :param read_ms: time in milliseconds at which its first byte was read, None if unknown
    """

    __slots__ = ('key', 'read_ms', 'request')

    def __init__(self, key: int, request: CallerRequest, read_ms: float | None = None):
        self.key = key
        self.request = request
        self.read_ms = read_ms


class AnswerWritten(Record):
    """
    The bytes of an answer were written to its caller's connection.

    :param delay_ms: milliseconds since the answer was due
    """

    __slots__ = ('delay_ms',)

    def __init__(self, delay_ms: float):
        self.delay_ms = delay_ms


class CallerDisconnected(Record):
    """A caller closed its connection before it was answered."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class RequestMalformed(Record):
    """
    A caller's input was not a valid request and was rejected before the admission filters.

    :param cause: status code or reason of the rejection
    """

    __slots__ = ('cause', 'detail')

    def __init__(self, cause: str, detail: str):
        self.cause = cause
        self.detail = detail


class OrderReceived(Record):
    """
    Another VM ordered shards of a gather.

    :param key: identifies the waiting VM within this process, as in `RequestReceived`
    """

    __slots__ = ('key', 'order')

    def __init__(self, key: int, order: PartsOrder):
        self.key = key
        self.order = order


class RelayReceived(Record):
    """
    Another VM, which reaches no replica, asks this one to serve a request.

    :param key: identifies the waiting VM within this process, as in `RequestReceived`
    """

    __slots__ = ('key', 'relay')

    def __init__(self, key: int, relay: RequestRelay):
        self.key = key
        self.relay = relay

    @property
    def request(self) -> CallerRequest:
        """Return the caller's request."""
        return self.relay.request


class RequestSent(Record):
    """The connection of an exchange is open and its request is being sent."""

    __slots__ = ('exchange_id',)

    def __init__(self, exchange_id: int):
        self.exchange_id = exchange_id


class ExchangeWithdrawn(Record):
    """No byte of an exchange's request has left, and none will: its connection was closed."""

    __slots__ = ('exchange_id',)

    def __init__(self, exchange_id: int):
        self.exchange_id = exchange_id


class ExchangeEnded(Record):
    """An exchange with a replica or another VM ended with a complete reply or a failure."""

    __slots__ = ('exchange_id', 'result')

    def __init__(self, exchange_id: int, result: Reply | PartsReply | RelayReply | LinkFailure):
        self.exchange_id = exchange_id
        self.result = result


class ConnectionEnded(Record):
    """An idle connection to a replica was closed or received unsolicited bytes."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int):
        self.connection_id = connection_id


class ChangesReceived(Record):
    """
    Changes of the store were received, from the store or from another VM.

    :param listed_prefixes: prefixes that are listed in full, empty for an incremental update
    :param is_from_store: False if another VM forwarded them
    :param epoch: epoch of the store that the revision belongs to
    :param unreadable: failures of items whose keys cannot be read
    """

    __slots__ = (
        'changes',
        'epoch',
        'is_from_store',
        'listed_prefixes',
        'revision',
        'unreadable',
    )

    def __init__(
        self,
        changes: list[Item],
        revision: int,
        listed_prefixes: tuple[str, ...] = (),
        is_from_store: bool = True,
        epoch: int = 0,
        unreadable: Sequence[Failure] = (),
    ):
        self.changes = changes
        self.revision = revision
        self.listed_prefixes = listed_prefixes
        self.is_from_store = is_from_store
        self.epoch = epoch
        self.unreadable = unreadable


class PullEnded(Record):
    """
    A pull of changes from another VM ended.

    :param result: the changes, or why there are none
    :param byte_count: bytes of the answer that arrived
    :param elapsed_ms: duration of the pull in milliseconds
    """

    __slots__ = ('byte_count', 'elapsed_ms', 'pull', 'result')

    def __init__(
        self,
        pull: PullChanges,
        result: ChangesReceived | Failure,
        byte_count: int = 0,
        elapsed_ms: float = 0.0,
    ):
        self.pull = pull
        self.result = result
        self.byte_count = byte_count
        self.elapsed_ms = elapsed_ms


class StoreFailed(Record):
    """A call to the store failed."""

    __slots__ = ('detail',)

    def __init__(self, detail: str):
        self.detail = detail


class HeartbeatReceived(Record):
    """
    A heartbeat of another VM was received; the sender is the first of its members.

    :param wants_members: whether the sender asks for the full member list of this VM
    :param unreadable: failures of members that cannot be read
    """

    __slots__ = (
        'epoch',
        'members',
        'revision',
        'table_version',
        'unreadable',
        'wants_members',
    )

    def __init__(
        self,
        members: list[Member],
        table_version: int,
        revision: int,
        wants_members: bool = False,
        epoch: int = 0,
        unreadable: tuple[InputFailure, ...] = (),
    ):
        self.members = members
        self.table_version = table_version
        self.revision = revision
        self.wants_members = wants_members
        self.epoch = epoch
        self.unreadable = unreadable


class DatagramUnreadable(Record):
    """
    A datagram was received that cannot be read.

    :param host: host that it came from
    """

    __slots__ = ('failure', 'host')

    def __init__(self, host: str, failure: Failure):
        self.host = host
        self.failure = failure


class PermitsReceived(Record):
    """Another VM sent a message about permits."""

    __slots__ = ('message', 'sender')

    def __init__(self, sender: Member, message: PermitMessage):
        self.sender = sender
        self.message = message


class SuspectsReceived(Record):
    """Another VM sent evidence against requests."""

    __slots__ = ('report', 'sender')

    def __init__(self, sender: Member, report: SuspectsReport):
        self.sender = sender
        self.report = report


class ColdReplicasReceived(Record):
    """Another VM said that replicas have turned cold."""

    __slots__ = ('replicas', 'sender')

    def __init__(self, sender: Member, replicas: list[ColdReplica]):
        self.sender = sender
        self.replicas = replicas


class ProbeEnded(Record):
    """
    A probe of a replica has ended; neither is set if there was no answer.

    :param is_open: whether the connection was accepted
    :param is_refused: whether nothing listens at the address
    """

    __slots__ = ('is_open', 'is_refused', 'probe_id')

    def __init__(self, probe_id: int, is_open: bool, is_refused: bool):
        self.probe_id = probe_id
        self.is_open = is_open
        self.is_refused = is_refused


class SettingsReloaded(Record):
    """The settings were reloaded."""

    __slots__ = ('settings',)

    def __init__(self, settings: GatewaySettings):
        self.settings = settings


class StopRequested(Record):
    """The process was asked to stop."""

    __slots__ = ()


class PauseDetected(Record):
    """The process was paused for a while."""

    __slots__ = ('pause_ms',)

    def __init__(self, pause_ms: float):
        self.pause_ms = pause_ms


class TimerDue(Record):
    """A timer is due."""

    __slots__ = ()
