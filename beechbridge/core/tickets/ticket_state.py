"""State of tickets: table entries, runs, relays, and their timers."""

import enum

from ...failures import Reason
from ...models import Outcome, TicketedRequest
from ...record import Record
from ..requests.attempts import Attempt


class TicketState(enum.Enum):
    """Progress of a ticket."""

    ISSUED = 'issued'
    RUNNING = 'running'
    SETTLED = 'settled'


class TicketEntry:
    """
    A ticket issued by this process.

    :param waiters: local callers and relays that wait for the outcome
    :param expires_ms: time after which the entry may be removed, unless it is running
    """

    __slots__ = ('back_end', 'expires_ms', 'number', 'outcome', 'state', 'waiters')

    def __init__(self, number: str, back_end: str, expires_ms: float):
        self.number = number
        self.back_end = back_end
        self.state = TicketState.ISSUED
        self.outcome: Outcome | None = None
        self.waiters: list[LocalWaiter | RelayWaiter] = []
        self.expires_ms = expires_ms


class LocalWaiter(Record):
    """A caller of this VM that waits for an outcome."""

    __slots__ = ('request_id',)

    def __init__(self, request_id: str):
        self.request_id = request_id


class RelayWaiter(Record):
    """A caller of another VM that waits for a relayed outcome."""

    __slots__ = ('relay_id', 'vm_name')

    def __init__(self, vm_name: str, relay_id: str):
        self.vm_name = vm_name
        self.relay_id = relay_id


class Run:
    """
    The single run of a ticket's request; owner of its attempts, one at a time.

    :param attempt: the attempt queued or in flight, or None
    """

    __slots__ = (
        'attempt',
        'deadline_at_ms',
        'entry',
        'reason',
        'request',
        'shard',
        'tried_replicas',
    )

    def __init__(self, entry: TicketEntry, request: TicketedRequest, deadline_at_ms: float):
        self.entry = entry
        self.request = request
        self.shard = None
        self.deadline_at_ms = deadline_at_ms
        self.tried_replicas: set[str] = set()
        self.attempt: Attempt | None = None
        self.reason = Reason.DEADLINE


class Relay:
    """A request relayed to its ticket's issuer."""

    __slots__ = ('deadline_at_ms', 'issuer', 'relay_id', 'request', 'request_id')

    def __init__(
        self, relay_id: str, request_id: str, request: TicketedRequest, deadline_at_ms: float
    ):
        self.relay_id = relay_id
        self.request_id = request_id
        self.request = request
        self.issuer = request.ticket.issuer
        self.deadline_at_ms = deadline_at_ms


class RunDeadlineTimer(Record):
    """Fires when a run must have an outcome."""

    __slots__ = ('number',)

    def __init__(self, number: str):
        self.number = number


class RunRetryTimer(Record):
    """Fires when a run that has not been executed may be retried."""

    __slots__ = ('number',)

    def __init__(self, number: str):
        self.number = number


class RelayTimer(Record):
    """Fires when a relay must be resent or given up."""

    __slots__ = ('relay_id',)

    def __init__(self, relay_id: str):
        self.relay_id = relay_id


class TicketExpiryTimer(Record):
    """Fires when a ticket's entry may be removed."""

    __slots__ = ('number',)

    def __init__(self, number: str):
        self.number = number
