"""Events that a driver hands to the core."""

from .document import Document
from .failures import AttemptFailure, PlatformFailure
from .messages import PeerMessage, Reply
from .models import Query, TicketedRequest, VmIdentity, VmList
from .record import Record


class QueryArrived(Record):
    """A caller asked a query."""

    __slots__ = ('query', 'request_id')

    def __init__(self, request_id: str, query: Query):
        self.request_id = request_id
        self.query = query


class TicketWanted(Record):
    """A caller asked for a ticket."""

    __slots__ = ('back_end', 'request_id')

    def __init__(self, request_id: str, back_end: str):
        self.request_id = request_id
        self.back_end = back_end


class RequestArrived(Record):
    """A caller sent a non-idempotent request under a ticket."""

    __slots__ = ('request', 'request_id')

    def __init__(self, request_id: str, request: TicketedRequest):
        self.request_id = request_id
        self.request = request


class EntryWanted(Record):
    """
    A caller asked which VMs to use.

    :param place: the caller's data centre, or None
    :param caller: anything that tells callers apart, to spread them over the VMs
    """

    __slots__ = ('caller', 'place', 'request_id')

    def __init__(self, request_id: str, place: str | None, caller: str):
        self.request_id = request_id
        self.place = place
        self.caller = caller


class ReplyArrived(Record):
    """
    The whole body of an upstream's reply arrived.

    :param reusable: whether the connection can carry another exchange
    """

    __slots__ = ('attempt_id', 'reply', 'reusable')

    def __init__(self, attempt_id: str, reply: Reply, reusable: bool):
        self.attempt_id = attempt_id
        self.reply = reply
        self.reusable = reusable


class AttemptFailed(Record):
    """An exchange ended without a usable reply, and its connection is closed."""

    __slots__ = ('attempt_id', 'failure')

    def __init__(self, attempt_id: str, failure: AttemptFailure):
        self.attempt_id = attempt_id
        self.failure = failure


class ConfigurationRead(Record):
    """
    The configuration service answered a read or a watch.

    :param result: a document, None where nothing newer is there, or a failure
    """

    __slots__ = ('result',)

    def __init__(self, result: Document | PlatformFailure | None):
        self.result = result


class VmListRead(Record):
    """The platform answered with the VM list."""

    __slots__ = ('result',)

    def __init__(self, result: VmList | PlatformFailure):
        self.result = result


class PeerMessageArrived(Record):
    """A message from another VM arrived."""

    __slots__ = ('message', 'sender')

    def __init__(self, sender: VmIdentity, message: PeerMessage):
        self.sender = sender
        self.message = message


class Tick(Record):
    """Time passed; nothing else happened."""

    __slots__ = ()


class StopWanted(Record):
    """An operator asked for a graceful stop."""

    __slots__ = ()


Event = (
    QueryArrived
    | TicketWanted
    | RequestArrived
    | EntryWanted
    | ReplyArrived
    | AttemptFailed
    | ConfigurationRead
    | VmListRead
    | PeerMessageArrived
    | Tick
    | StopWanted
)
