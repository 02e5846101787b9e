"""Requests in progress: a `Work` for each request, with a `Task` for each service involved."""

import math
from collections.abc import Callable

from ...record import Record
from ..models import CallerRequest, LinkFault, Reply
from ..replicas.connections import Exchange
from ..replicas.upstreams import ReplicaState
from ..replicas.work_costs import Demand
from ..routes import Route

FORGOTTEN_REPLY = Reply(0, [], b'')
"""In place of a reply that has been passed on."""


class Work:
    """
    One request of a caller in progress.

    :param key: identifies the waiting caller
    :param digest: what the request has in common with other attempts of its caller
    :param soft_at_ms: soft deadline in milliseconds, after which the answer loses value
    :param written_by_ms: time in milliseconds by which the answer's bytes must be written to reach
        the caller within its goal, None if that is not planned
    :param look_at_ms: time in milliseconds of its next check
    :param hard_at_ms: hard deadline in milliseconds, at which an answer must be sent
    :param orders: orders of parts sent to other VMs
    :param held_count: permits that must be answered before anything is sent
    :param held_tasks: tasks that wait until a replica has answered
    :param has_losses: whether a connection was lost over which it had been sent
    :param is_trial: whether it is sent to one replica at a time, since it may end them
    :param trial_task: the task that may be sent during a trial
    :param is_vindicated: whether a replica has answered it, and so has not ended
    :param was_launched: whether it has been sent to all shards
    :param round_number: how often it was sent anew after all that was under way had failed
    :param probe_count: replicas that were probed in this round
    :param is_from_vm: whether another VM, which reaches no replica, sent it
    :param is_counted: whether that VM has counted it for the budgets
    :param is_relayed_on: whether it is served by another VM, and this one sends it to no replica
    :param relay: its latest relay to another VM
    :param relay_targets: names of the VMs that it was relayed to
    :param may_have_run_elsewhere: whether it was relayed and nothing is known of it
    :param allowed_zones: data centres to which the table's version `zones_version` binds it, None
        for all
    :param when_withdrawn: goes on with it once the driver has said what it has not sent, None if
        that is not waited for
    """

    __slots__ = (
        'allowed_zones',
        'answered_count',
        'arrived_ms',
        'digest',
        'exchanges',
        'extra_count',
        'hard_at_ms',
        'has_losses',
        'held_count',
        'held_tasks',
        'is_counted',
        'is_finished',
        'is_from_vm',
        'is_relayed_on',
        'is_trial',
        'is_vindicated',
        'key',
        'look_at_ms',
        'may_have_run_elsewhere',
        'open_count',
        'orders',
        'probe_count',
        'relay',
        'relay_targets',
        'request',
        'round_number',
        'route',
        'soft_at_ms',
        'table_version',
        'tasks',
        'trial_task',
        'was_launched',
        'when_withdrawn',
        'written_by_ms',
        'zones_version',
    )

    def __init__(
        self,
        key: int,
        request: CallerRequest,
        digest: str,
        route: Route,
        table_version: int,
        arrived_ms: float,
    ):
        self.key = key
        self.request = request
        self.digest = digest
        self.route = route
        self.table_version = table_version
        self.arrived_ms = arrived_ms
        self.soft_at_ms = arrived_ms + route.objective_ms
        self.hard_at_ms = arrived_ms + route.timeout_ms
        self.written_by_ms: float | None = None
        self.look_at_ms = math.inf
        self.tasks: list[Task] = []
        self.exchanges: list[Exchange] = []
        self.answered_count = 0
        self.open_count = 0
        self.orders: list[object] = []
        self.extra_count = 0
        self.held_count = 0
        self.held_tasks: list[Task] = []
        self.has_losses = False
        self.is_trial = False
        self.trial_task: Task | None = None
        self.is_vindicated = False
        self.was_launched = False
        self.round_number = 0
        self.probe_count = 0
        self.is_finished = False
        self.is_from_vm = False
        self.is_counted = False
        self.is_relayed_on = False
        self.relay: object | None = None
        self.relay_targets: set[str] = set()
        self.may_have_run_elsewhere = False
        self.allowed_zones: frozenset[str] | None = None
        self.zones_version: int | None = None
        self.when_withdrawn: Callable[[Work, object], None] | None = None

    @property
    def may_send(self) -> bool:
        """Return whether this VM may still send it to a replica."""
        return not (self.is_finished or self.is_relayed_on or self.when_withdrawn is not None)

    @property
    def may_have_run(self) -> bool:
        """
        Return whether a replica may have processed the request, or may still do so.

        False is certain only once no exchange is left that may be sent, see `withdrawal`.
        """
        if self.may_have_run_elsewhere or any(
            exchange.was_sent for exchange in self.relay_exchanges()
        ):
            return True
        unsent_count = sum(not exchange.was_sent for exchange in self.in_flight())
        return sum(task.run_count for task in self.tasks) > unsent_count

    def relay_exchanges(self) -> list[Exchange]:
        """Return the exchange with the VM that it was relayed to, if that has not ended."""
        return self.relay.exchanges if self.relay is not None else []

    def unsent_exchanges(self) -> list[Exchange]:
        """Return the exchanges that the driver has not reported to be sent."""
        exchanges = [*self.in_flight(), *self.relay_exchanges()]
        return [exchange for exchange in exchanges if not exchange.was_sent]

    def finish(self) -> None:
        """
        Drop what arrived of the request and its replies, since nothing is sent any more.

        The work, its tasks and their exchanges refer to each other, so that they are freed only
        when the garbage collector runs, which may take minutes.
        """
        self.is_finished = True
        self.request = self.request.without_payload()
        for task in self.tasks:
            if task.reply is not None:
                task.reply = FORGOTTEN_REPLY
            if task.failed_reply is not None:
                task.failed_reply = FORGOTTEN_REPLY

    def in_flight(self) -> list[Exchange]:
        """Return the exchanges of all tasks that have not ended."""
        return [exchange for task in self.tasks for exchange in task.exchanges]


class SingleWork(Work):
    """A request that is answered by one replica of one service."""

    __slots__ = ()


class GatherWork(Work):
    """A scatter-gather request to all shards."""

    __slots__ = ()

    @property
    def needed_count(self) -> int:
        """Return how many parts must have arrived for the route's minimum coverage."""
        return max(1, math.ceil(self.route.min_share * len(self.tasks) - 1e-9))

    @property
    def replies(self) -> list[Reply]:
        """Return the parts that have arrived."""
        return [task.reply for task in self.tasks if task.reply is not None]

    def meets_minimum_coverage(self) -> bool:
        """Return whether the parts that have arrived make up the minimum coverage."""
        return self.answered_count >= self.needed_count

    def can_meet_minimum_coverage(self) -> bool:
        """Return whether the minimum coverage is reached if all open shards answer."""
        return self.answered_count + self.open_count >= self.needed_count


class OrderedWork(GatherWork):
    """Shards of a gather ordered by another VM, which takes what has arrived by the deadline."""

    __slots__ = ()

    @property
    def needed_count(self) -> int:
        """Return 0: the VM that sent the order decides how many parts are enough."""
        return 0


class Task:
    """
    The sub-request to one service, with all of its attempts.

    :param excluded_replicas: `id()` of the replica states not to try again for now
    :param delivery_count: number of replicas that the task may have reached
    :param run_count: number of replicas that may have run the task
    :param fault: why there is no reply yet, None if nothing has failed
    :param failed_reply: reply of a replica that reports a failure
    :param demand: what it needs and which replica was chosen last, None without an estimate
    :param is_denied: whether a permit for it was denied
    :param is_next: whether it was just taken from the queue, so that there is room for it
    """

    __slots__ = (
        'backoff_count',
        'delivery_count',
        'demand',
        'exchanges',
        'excluded_replicas',
        'failed_reply',
        'fault',
        'is_denied',
        'is_next',
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
        self.demand: Demand | None = None
        self.is_denied = False
        self.is_next = False
        self.is_open = True
        self.is_waiting = False

    def exclude_replica(self, state: ReplicaState) -> None:
        """Exclude a replica from further attempts for now."""
        self.excluded_replicas.add(id(state))


class CheckTimer(Record):
    """Fires when a request may need hedges, or an answer with the parts that have arrived."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class CanaryTimer(Record):
    """Fires when a request that waits for the answer of one replica may go on."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class DeadlineTimer(Record):
    """Fires at the hard deadline of a request."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class RetryTimer(Record):
    """Fires when a task may be retried."""

    __slots__ = ('task',)

    def __init__(self, task: Task):
        self.task = task
