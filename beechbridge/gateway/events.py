"""What the driver tells the gateway."""

from ..record import Record
from .models import CallerRequest, Item, LinkFailure, Member, PartsOrder, PartsReply, Reply
from .settings import GatewaySettings


class RequestReceived(Record):
    """
    A caller's request was read in full.

    :param key: names the waiting caller in this process
    """

    __slots__ = ('key', 'request')

    def __init__(self, key: int, request: CallerRequest):
        self.key = key
        self.request = request


class CallerDisconnected(Record):
    """A caller closed its connection before its answer."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class RequestMalformed(Record):
    """
    What a caller sent was no request, and was refused before it reached the filters.

    :param cause: status or reason of the refusal
    """

    __slots__ = ('cause', 'detail')

    def __init__(self, cause: str, detail: str):
        self.cause = cause
        self.detail = detail


class OrderReceived(Record):
    """
    Another VM asks for shards of a gather.

    :param key: names the waiting VM in this process, as `RequestReceived` does a caller
    """

    __slots__ = ('key', 'order')

    def __init__(self, key: int, order: PartsOrder):
        self.key = key
        self.order = order


class RequestSent(Record):
    """The connection of an exchange is open, and its request is on the way."""

    __slots__ = ('exchange_id',)

    def __init__(self, exchange_id: int):
        self.exchange_id = exchange_id


class ExchangeEnded(Record):
    """An exchange with a replica or another VM ended, with a whole reply or without."""

    __slots__ = ('exchange_id', 'result')

    def __init__(self, exchange_id: int, result: Reply | PartsReply | LinkFailure):
        self.exchange_id = exchange_id
        self.result = result


class ConnectionEnded(Record):
    """An idle connection to a replica was closed or got bytes that nobody asked for."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int):
        self.connection_id = connection_id


class ChangesReceived(Record):
    """
    Changes of the store, from it or from another VM.

    :param listed_prefixes: prefixes whose items are all named, empty for a mere difference
    :param is_from_store: False where another VM told of them
    """

    __slots__ = ('changes', 'is_from_store', 'listed_prefixes', 'revision')

    def __init__(
        self,
        changes: list[Item],
        revision: int,
        listed_prefixes: tuple[str, ...] = (),
        is_from_store: bool = True,
    ):
        self.changes = changes
        self.revision = revision
        self.listed_prefixes = listed_prefixes
        self.is_from_store = is_from_store


class StoreFailed(Record):
    """A call to the store failed."""

    __slots__ = ('detail',)

    def __init__(self, detail: str):
        self.detail = detail


class HeartbeatReceived(Record):
    """
    A heartbeat of another VM, the sender first among its members.

    :param wants_members: whether the sender asks for all that this VM knows
    """

    __slots__ = ('members', 'revision', 'table_version', 'wants_members')

    def __init__(
        self,
        members: list[Member],
        table_version: int,
        revision: int,
        wants_members: bool = False,
    ):
        self.members = members
        self.table_version = table_version
        self.revision = revision
        self.wants_members = wants_members


class SettingsReloaded(Record):
    """The settings were read anew."""

    __slots__ = ('settings',)

    def __init__(self, settings: GatewaySettings):
        self.settings = settings


class StopRequested(Record):
    """The process was told to stop."""

    __slots__ = ()


class PauseDetected(Record):
    """The process did not run for a while."""

    __slots__ = ('pause_ms',)

    def __init__(self, pause_ms: float):
        self.pause_ms = pause_ms


class TimerDue(Record):
    """A timer is due."""

    __slots__ = ()
