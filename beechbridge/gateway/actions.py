"""Actions that the gateway returns for its driver to perform."""

from ..record import Record
from .member import Member
from .models import Answer, CallerRequest, PartsOrder, RequestRelay
from .permits import ColdReplica, PermitMessage
from .replicas.dictionaries import Dictionary
from .routes import CallerLimits
from .suspects import SuspectsReport

MAX_PART_BYTES = 1024 * 1024
"""Largest part of a gather: 65,536 records; also the largest answer to an order of parts."""

MAX_REPLY_BYTES = 8 * 1024 * 1024
"""Largest reply that is forwarded to a caller, unless the settings say otherwise."""


class SendRequest(Record):
    """
    Send a request to a replica; the driver reports the result with one event.

    :param is_new: whether the connection must be opened first
    :param instance_id: ID of the replica that is expected at the address
    :param timeout_ms: time in milliseconds that the replica has to answer
    :param max_reply_bytes: largest body that the reply may have
    """

    __slots__ = (
        'connection_id',
        'exchange_id',
        'host',
        'instance_id',
        'is_new',
        'max_reply_bytes',
        'port',
        'request',
        'timeout_ms',
    )

    def __init__(
        self,
        exchange_id: int,
        connection_id: int,
        is_new: bool,
        host: str,
        port: int,
        instance_id: str,
        request: CallerRequest,
        timeout_ms: float,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ):
        self.exchange_id = exchange_id
        self.connection_id = connection_id
        self.is_new = is_new
        self.host = host
        self.port = port
        self.instance_id = instance_id
        self.request = request
        self.timeout_ms = timeout_ms
        self.max_reply_bytes = max_reply_bytes

    @property
    def request_id(self) -> str:
        """Return the ID of the request that this action belongs to."""
        return self.request.request_id


class SendOrder(Record):
    """
    Send an order to another VM; the driver reports the result with one event.

    :param is_new: whether the connection must be opened first
    :cvar max_reply_bytes: largest body that the reply may have
    """

    __slots__ = ('connection_id', 'exchange_id', 'host', 'is_new', 'order')

    max_reply_bytes = MAX_PART_BYTES

    def __init__(
        self, exchange_id: int, connection_id: int, is_new: bool, host: str, order: PartsOrder
    ):
        self.exchange_id = exchange_id
        self.connection_id = connection_id
        self.is_new = is_new
        self.host = host
        self.order = order

    @property
    def request_id(self) -> str:
        """Return the ID of the request that this action belongs to."""
        return self.order.request_id


class SendRelay(Record):
    """
    Ask another VM to serve a request; the driver reports the result with one event.

    :param is_new: whether the connection must be opened first
    :param max_reply_bytes: largest body that the reply may have
    """

    __slots__ = ('connection_id', 'exchange_id', 'host', 'is_new', 'max_reply_bytes', 'relay')

    def __init__(
        self,
        exchange_id: int,
        connection_id: int,
        is_new: bool,
        host: str,
        relay: RequestRelay,
        max_reply_bytes: int,
    ):
        self.exchange_id = exchange_id
        self.connection_id = connection_id
        self.is_new = is_new
        self.host = host
        self.relay = relay
        self.max_reply_bytes = max_reply_bytes

    @property
    def request_id(self) -> str:
        """Return the ID of the request that this action belongs to."""
        return self.relay.request_id


class ProbeReplica(Record):
    """Open a connection to a replica's address and close it; report whether it was accepted."""

    __slots__ = ('host', 'port', 'probe_id')

    def __init__(self, probe_id: int, host: str, port: int):
        self.probe_id = probe_id
        self.host = host
        self.port = port


class DropConnection(Record):
    """Close a connection; no event is reported for an exchange on it."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int):
        self.connection_id = connection_id


class AbandonExchange(Record):
    """Close the connection of an exchange, unless little of its reply is left to read."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int):
        self.connection_id = connection_id


class WithdrawExchange(Record):
    """
    Never send the request of an exchange, unless any byte of it has left.

    The driver reports which: with `ExchangeWithdrawn` that none has and none will, or with
    `RequestSent`, once more if need be.
    """

    __slots__ = ('connection_id', 'exchange_id')

    def __init__(self, exchange_id: int, connection_id: int):
        self.exchange_id = exchange_id
        self.connection_id = connection_id


class AnswerRequest(Record):
    """
    Send a caller its final answer.

    :param due_ms: time in milliseconds at which it was due, for `AnswerWritten`; None if the time
        until it is written is not wanted
    """

    __slots__ = ('answer', 'due_ms', 'key')

    def __init__(self, key: int, answer: Answer, due_ms: float | None = None):
        self.key = key
        self.answer = answer
        self.due_ms = due_ms


class SetCallerLimits(Record):
    """Enforce the caller limits of a new routing table."""

    __slots__ = ('limits',)

    def __init__(self, limits: CallerLimits):
        self.limits = limits


class WriteLine(Record):
    """
    Write one log line.

    :param subject: name of the logged event
    :param fields: outcome and the values that led to it
    """

    __slots__ = ('fields', 'subject')

    def __init__(self, subject: str, fields: dict):
        self.subject = subject
        self.fields = fields


class SendHeartbeat(Record):
    """
    Send a heartbeat to other VMs.

    :param hosts: addresses of the VMs
    :param members: members to advertise, this VM first
    :param wants_members: whether to ask the receivers for their full member lists
    :param sent_ms: time in milliseconds for which the records' ages are stated, None to state none
    """

    __slots__ = (
        'epoch',
        'hosts',
        'members',
        'revision',
        'sent_ms',
        'table_version',
        'wants_members',
    )

    def __init__(
        self,
        hosts: list[str],
        members: list[Member],
        table_version: int,
        revision: int,
        wants_members: bool = False,
        epoch: int = 0,
        sent_ms: float | None = None,
    ):
        self.sent_ms = sent_ms
        self.hosts = hosts
        self.members = members
        self.table_version = table_version
        self.revision = revision
        self.wants_members = wants_members
        self.epoch = epoch


class SendPermits(Record):
    """
    Send a message about permits to another VM.

    :param sender: this VM
    """

    __slots__ = ('host', 'message', 'sender')

    def __init__(self, host: str, sender: Member, message: PermitMessage):
        self.host = host
        self.sender = sender
        self.message = message


class SendSuspects(Record):
    """
    Send evidence against requests to other VMs.

    :param sender: this VM
    """

    __slots__ = ('hosts', 'report', 'sender')

    def __init__(self, hosts: list[str], sender: Member, report: SuspectsReport):
        self.hosts = hosts
        self.sender = sender
        self.report = report


class SendColdReplicas(Record):
    """
    Tell other VMs which replicas have turned cold.

    :param sender: this VM
    """

    __slots__ = ('hosts', 'replicas', 'sender')

    def __init__(self, hosts: list[str], sender: Member, replicas: list[ColdReplica]):
        self.hosts = hosts
        self.sender = sender
        self.replicas = replicas


class FollowStore(Record):
    """
    Start following the store, or stop and leave that to other VMs.

    :param revision: revision up to which all changes are known, None if none are
    :param epoch: epoch of the store that the revision belongs to
    """

    __slots__ = ('epoch', 'revision', 'should_follow')

    def __init__(self, should_follow: bool, revision: int | None, epoch: int = 0):
        self.should_follow = should_follow
        self.revision = revision
        self.epoch = epoch


class PullChanges(Record):
    """
    Pull the store changes after a revision of an epoch from another VM.

    :param dictionary: value that the other VM may use to compress the changes, None if there is
        none
    """

    __slots__ = ('dictionary', 'epoch', 'host', 'revision')

    def __init__(
        self, host: str, revision: int, epoch: int = 0, dictionary: Dictionary | None = None
    ):
        self.host = host
        self.revision = revision
        self.epoch = epoch
        self.dictionary = dictionary


class ExitProcess(Record):
    """
    Exit the process once all answers have been sent: no request is in flight any more.

    :param deadline_ms: time in milliseconds at which it exits in any case
    """

    __slots__ = ('deadline_ms',)

    def __init__(self, deadline_ms: float):
        self.deadline_ms = deadline_ms


class CloseIdleCallers(Record):
    """Stop accepting caller connections and close the idle ones."""

    __slots__ = ()


GatewayAction = (
    SendRequest
    | SendOrder
    | SendRelay
    | DropConnection
    | AbandonExchange
    | WithdrawExchange
    | AnswerRequest
    | SetCallerLimits
    | WriteLine
    | SendHeartbeat
    | SendPermits
    | SendSuspects
    | SendColdReplicas
    | ProbeReplica
    | FollowStore
    | PullChanges
    | ExitProcess
    | CloseIdleCallers
)
