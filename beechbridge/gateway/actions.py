"""What the gateway asks its driver to do."""

from ..record import Record
from .models import Answer, CallerRequest, Member, PartsOrder
from .routes import CallerLimits


class SendRequest(Record):
    """
    Send a request to a replica; its end is reported with one event.

    :param is_new: whether the connection must be opened first
    :param instance_id: replica that must have the address
    :param timeout_ms: how long the replica may work on it
    """

    __slots__ = (
        'connection_id',
        'exchange_id',
        'host',
        'instance_id',
        'is_new',
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
    ):
        self.exchange_id = exchange_id
        self.connection_id = connection_id
        self.is_new = is_new
        self.host = host
        self.port = port
        self.instance_id = instance_id
        self.request = request
        self.timeout_ms = timeout_ms

    @property
    def request_id(self) -> str:
        """Return the request that it is for."""
        return self.request.request_id


class SendOrder(Record):
    """
    Ask another VM for parts; its end is reported with one event.

    :param is_new: whether the connection must be opened first
    """

    __slots__ = ('connection_id', 'exchange_id', 'host', 'is_new', 'order')

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
        """Return the request that it is for."""
        return self.order.request_id


class DropConnection(Record):
    """Close a connection; an exchange on it ends without an event."""

    __slots__ = ('connection_id',)

    def __init__(self, connection_id: int):
        self.connection_id = connection_id


class AnswerRequest(Record):
    """Give a caller its final answer."""

    __slots__ = ('answer', 'key')

    def __init__(self, key: int, answer: Answer):
        self.key = key
        self.answer = answer


class SetCallerLimits(Record):
    """Hold callers to the limits of a new routing table."""

    __slots__ = ('limits',)

    def __init__(self, limits: CallerLimits):
        self.limits = limits


class WriteLine(Record):
    """
    Write one log line.

    :param subject: what the line is about
    :param fields: what decided, and the outcome
    """

    __slots__ = ('fields', 'subject')

    def __init__(self, subject: str, fields: dict):
        self.subject = subject
        self.fields = fields


class SendHeartbeat(Record):
    """
    Send a heartbeat to other VMs.

    :param hosts: addresses of the VMs
    :param members: what this VM tells of the fleet, itself first
    :param wants_members: whether it asks for all that they know
    """

    __slots__ = ('hosts', 'members', 'revision', 'table_version', 'wants_members')

    def __init__(
        self,
        hosts: list[str],
        members: list[Member],
        table_version: int,
        revision: int,
        wants_members: bool = False,
    ):
        self.hosts = hosts
        self.members = members
        self.table_version = table_version
        self.revision = revision
        self.wants_members = wants_members


class FollowStore(Record):
    """
    Follow the store, or leave that to other VMs.

    :param revision: revision up to which everything is known, None if nothing is
    """

    __slots__ = ('revision', 'should_follow')

    def __init__(self, should_follow: bool, revision: int | None):
        self.should_follow = should_follow
        self.revision = revision


class PullChanges(Record):
    """Ask another VM for what changed in the store after a revision."""

    __slots__ = ('host', 'revision')

    def __init__(self, host: str, revision: int):
        self.host = host
        self.revision = revision


class EndProcess(Record):
    """End the process: nothing is in flight, or the time for that is over."""

    __slots__ = ()


class CloseIdleCallers(Record):
    """Take no more connections of callers and close the idle ones."""

    __slots__ = ()


GatewayAction = (
    SendRequest
    | SendOrder
    | DropConnection
    | AnswerRequest
    | SetCallerLimits
    | WriteLine
    | SendHeartbeat
    | FollowStore
    | PullChanges
    | EndProcess
    | CloseIdleCallers
)
