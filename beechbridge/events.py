"""Events that a driver passes to the core."""

from .document import Document
from .failures import AttemptFailure, PlatformFailure
from .messages import PeerMessage, Reply
from .models import Query, TicketedRequest, VmIdentity, VmList
from .record import Record


class QueryReceived(Record):
    """A caller sent a query."""

    __slots__ = ('query', 'request_id')

    def __init__(self, request_id: str, query: Query):
        self.request_id = request_id
        self.query = query


class TicketRequested(Record):
    """A caller requested a ticket."""

    __slots__ = ('back_end', 'request_id')

    def __init__(self, request_id: str, back_end: str):
        self.request_id = request_id
        self.back_end = back_end


class TicketedRequestReceived(Record):
    """A caller sent a non-idempotent request under a ticket."""

    __slots__ = ('request', 'request_id')

    def __init__(self, request_id: str, request: TicketedRequest):
        self.request_id = request_id
        self.request = request


class EntryRequested(Record):
    """
    A caller asked which VMs to use.

    :param place: the caller's data centre, or None
    :param caller: any string that identifies the caller, to spread callers over the VMs
    """

    __slots__ = ('caller', 'place', 'request_id')

    def __init__(self, request_id: str, place: str | None, caller: str):
        self.request_id = request_id
        self.place = place
        self.caller = caller


class ReplyReceived(Record):
    """
    An upstream's reply was received in full.

    :param reusable: whether the connection can carry another exchange
    """

    __slots__ = ('attempt_id', 'reply', 'reusable')

    def __init__(self, attempt_id: str, reply: Reply, reusable: bool):
        self.attempt_id = attempt_id
        self.reply = reply
        self.reusable = reusable


class AttemptFailed(Record):
    """An exchange ended without a usable reply; its connection is closed."""

    __slots__ = ('attempt_id', 'failure')

    def __init__(self, attempt_id: str, failure: AttemptFailure):
        self.attempt_id = attempt_id
        self.failure = failure


class ConfigurationReceived(Record):
    """
    The configuration service answered a read or a watch.

    :param result: a document, None if there is no newer one, or a failure
    """

    __slots__ = ('result',)

    def __init__(self, result: Document | PlatformFailure | None):
        self.result = result


class VmListReceived(Record):
    """The platform answered a read of the VM list."""

    __slots__ = ('result',)

    def __init__(self, result: VmList | PlatformFailure):
        self.result = result


class PeerMessageReceived(Record):
    """A message from another VM was received."""

    __slots__ = ('message', 'sender')

    def __init__(self, sender: VmIdentity, message: PeerMessage):
        self.sender = sender
        self.message = message


class Tick(Record):
    """Time passed; no other event occurred."""

    __slots__ = ()


class StopRequested(Record):
    """An operator requested a graceful stop."""

    __slots__ = ()


Event = (
    QueryReceived
    | TicketRequested
    | TicketedRequestReceived
    | EntryRequested
    | ReplyReceived
    | AttemptFailed
    | ConfigurationReceived
    | VmListReceived
    | PeerMessageReceived
    | Tick
    | StopRequested
)
