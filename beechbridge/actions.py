"""Actions that the core returns for its driver to perform."""

from .messages import PeerMessage, UpstreamMessage
from .models import Replica, Vm
from .record import Record


class Send(Record):
    """
    Send a message to a replica; exactly one event reports the end of the exchange.

    :param connection_id: connection to use
    :param is_new: whether the connection must be opened first
    :param timeout_ms: time limit of the exchange
    """

    __slots__ = ('attempt_id', 'connection_id', 'is_new', 'message', 'replica', 'timeout_ms')

    def __init__(
        self,
        attempt_id: str,
        replica: Replica,
        connection_id: int,
        is_new: bool,
        message: UpstreamMessage,
        timeout_ms: float,
    ):
        self.attempt_id = attempt_id
        self.replica = replica
        self.connection_id = connection_id
        self.is_new = is_new
        self.message = message
        self.timeout_ms = timeout_ms


class CloseConnection(Record):
    """Close a connection; an exchange in flight on it fails."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int):
        self.connection_id = connection_id


class AnswerCaller(Record):
    """
    Send a caller the final answer.

    :param answer: Answer, TicketGrant, EntryAnswer, Done or Failure
    """

    __slots__ = ('answer', 'request_id')

    def __init__(self, request_id: str, answer: object):
        self.request_id = request_id
        self.answer = answer


class SendPeer(Record):
    """Send a message to another VM; delivery is not guaranteed."""

    __slots__ = ('message', 'vm')

    def __init__(self, vm: Vm, message: PeerMessage):
        self.vm = vm
        self.message = message


class ReadConfiguration(Record):
    """
    Read the configuration service, or watch it for a newer generation.

    :param after_generation: generation that the VM already has; 0 for none
    :param wait_ms: how long the service may hold a watch open; 0 for a plain read
    """

    __slots__ = ('after_generation', 'wait_ms')

    def __init__(self, after_generation: int, wait_ms: int):
        self.after_generation = after_generation
        self.wait_ms = wait_ms


class ReadVmList(Record):
    """Read the platform's VM list."""

    __slots__ = ()


class LogChange(Record):
    """
    Log a state change.

    :param subject: what changed, for example a replica's identifier
    :param before: its previous state
    :param after: its new state
    """

    __slots__ = ('after', 'before', 'subject')

    def __init__(self, subject: str, before: str, after: str):
        self.subject = subject
        self.before = before
        self.after = after


class Exit(Record):
    """Exit the process: nothing is in flight, or the time limit of the stop has passed."""

    __slots__ = ()


Action = (
    Send
    | CloseConnection
    | AnswerCaller
    | SendPeer
    | ReadConfiguration
    | ReadVmList
    | LogChange
    | Exit
)
