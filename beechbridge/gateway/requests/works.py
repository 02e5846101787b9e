"""Requests in progress: one work each, with one task for each service that is asked."""

import math

from ...record import Record
from ..models import CallerRequest, LinkFault, Reply
from ..replicas.upstreams import Exchange, ReplicaState
from ..routes import Route


class Work:
    """
    One request of a caller in progress.

    :param key: names the waiting caller
    :param soft_at_ms: when the answer starts to lose its value
    :param hard_at_ms: when an answer must be given
    :param orders: parts that other VMs were asked for
    """

    __slots__ = (
        'answered_count',
        'arrived_ms',
        'exchanges',
        'extra_count',
        'hard_at_ms',
        'is_finished',
        'key',
        'open_count',
        'orders',
        'request',
        'route',
        'soft_at_ms',
        'table_version',
        'tasks',
    )

    def __init__(
        self, key: int, request: CallerRequest, route: Route, table_version: int, arrived_ms: float
    ):
        self.key = key
        self.request = request
        self.route = route
        self.table_version = table_version
        self.arrived_ms = arrived_ms
        self.soft_at_ms = arrived_ms + route.objective_ms
        self.hard_at_ms = arrived_ms + route.timeout_ms
        self.tasks: list[Task] = []
        self.exchanges: list[Exchange] = []
        self.answered_count = 0
        self.open_count = 0
        self.orders: list[object] = []
        self.extra_count = 0
        self.is_finished = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether a replica may have worked on it, or still may."""
        unsent_count = sum(not exchange.was_sent for exchange in self.in_flight())
        return sum(task.run_count for task in self.tasks) > unsent_count

    def in_flight(self) -> list[Exchange]:
        """Return the exchanges that have not ended."""
        return [exchange for task in self.tasks for exchange in task.exchanges]


class SingleWork(Work):
    """A request for one replica of one service."""

    __slots__ = ()


class GatherWork(Work):
    """A request for all shards."""

    __slots__ = ()

    @property
    def needed_count(self) -> int:
        """Return how many shards must be in for a success."""
        return max(1, math.ceil(self.route.min_share * len(self.tasks) - 1e-9))

    @property
    def replies(self) -> list[Reply]:
        """Return the parts that are in."""
        return [task.reply for task in self.tasks if task.reply is not None]

    def has_enough(self) -> bool:
        """Tell whether the parts that are in make a success."""
        return self.answered_count >= self.needed_count

    def can_have_enough(self) -> bool:
        """Tell whether the open shards could still make a success."""
        return self.answered_count + self.open_count >= self.needed_count


class OrderedWork(GatherWork):
    """Shards of a gather that another VM asks for; it takes whatever is in at its time."""

    __slots__ = ()

    @property
    def needed_count(self) -> int:
        """Return 0: the VM that asks decides what is enough."""
        return 0


class Task:
    """
    What one service is asked for.

    :param excluded_replicas: identities of the replica states that failed it
    :param delivery_count: replicas that it was sent to
    :param run_count: replicas that may have run it
    :param fault: why it has no reply yet, None while nothing failed
    :param failed_reply: a replica's own answer that is no success
    """

    __slots__ = (
        'backoff_count',
        'delivery_count',
        'exchanges',
        'excluded_replicas',
        'failed_reply',
        'fault',
        'is_open',
        'is_waiting',
        'reply',
        'run_count',
        'service',
        'work',
    )

    def __init__(self, work: Work, service: str):
        self.work = work
        self.service = service
        self.exchanges: list[Exchange] = []
        self.excluded_replicas: set[int] = set()
        self.delivery_count = 0
        self.run_count = 0
        self.backoff_count = 0
        self.reply: Reply | None = None
        self.failed_reply: Reply | None = None
        self.fault: LinkFault | None = None
        self.is_open = True
        self.is_waiting = False

    def exclude_replica(self, state: ReplicaState) -> None:
        """Do not ask a replica again for now."""
        self.excluded_replicas.add(id(state))


class CheckTimer(Record):
    """Fires when a work may want hedges, or an answer with what is in."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class DeadlineTimer(Record):
    """Fires when a work must be answered."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class RetryTimer(Record):
    """Fires when a task may ask again."""

    __slots__ = ('task',)

    def __init__(self, task: Task):
        self.task = task
