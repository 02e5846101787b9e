"""Queries in progress: one plan each, with one task a shard."""

import math

from ...failures import Reason
from ...models import Query, QueryClass, Shard
from ...record import Record
from .attempts import Attempt


class Plan:
    """
    One query in progress.

    :param epoch: counts the plan's snapshots; partial answers of earlier ones are dropped
    :param open_count: tasks that may still be answered
    :param was_sent: whether any byte may have reached an upstream
    """

    __slots__ = (
        'answered_count',
        'arrived_ms',
        'epoch',
        'hard_at_ms',
        'is_finished',
        'open_count',
        'query',
        'replans',
        'request_id',
        'rules',
        'snapshot',
        'soft_at_ms',
        'tasks',
        'urgency',
        'was_sent',
    )

    def __init__(self, request_id: str, query: Query, arrived_ms: float):
        self.request_id = request_id
        self.query = query
        self.rules: QueryClass | None = None
        self.urgency = 0
        self.arrived_ms = arrived_ms
        self.soft_at_ms = arrived_ms
        self.hard_at_ms = arrived_ms
        self.snapshot = 0
        self.epoch = 0
        self.tasks: dict[str, Task] = {}
        self.answered_count = 0
        self.open_count = 0
        self.replans = 0
        self.was_sent = False
        self.is_finished = False

    def apply_rules(self, rules: QueryClass) -> None:
        """Take deadlines and urgency from the query's class; the caller can only tighten them."""
        self.rules = rules
        given_ms = self.query.deadline_ms or rules.hard_deadline_ms
        hard_ms = min(given_ms, rules.hard_deadline_ms)
        self.hard_at_ms = self.arrived_ms + hard_ms
        self.soft_at_ms = self.arrived_ms + min(hard_ms, rules.soft_deadline_ms)
        self.urgency = min(self.query.urgency or rules.urgency, rules.urgency)

    @property
    def needed_count(self) -> int:
        """Return how many shards must answer for the class to be satisfied."""
        return max(1, math.ceil(self.rules.minimum_coverage * len(self.tasks) - 1e-9))

    def has_enough(self) -> bool:
        """Tell whether the shards answered so far satisfy the class."""
        return self.answered_count >= self.needed_count

    def can_have_enough(self) -> bool:
        """Tell whether the open shards could still satisfy the class."""
        reachable = self.answered_count + self.open_count
        return reachable >= self.needed_count


class Task:
    """
    One shard's part of a plan; owner of its attempts.

    :param tried: replicas that are not asked again for now
    :param reason: why there is no answer yet
    """

    __slots__ = (
        'attempts',
        'epoch',
        'hedged',
        'is_open',
        'pauses',
        'plan',
        'reason',
        'retries',
        'rows',
        'shard',
        'tried',
    )

    def __init__(self, plan: Plan, shard: Shard):
        self.plan = plan
        self.shard = shard
        self.epoch = plan.epoch
        self.rows: list | None = None
        self.is_open = True
        self.attempts: list[Attempt] = []
        self.tried: set[str] = set()
        self.pauses = 0
        self.retries = 0
        self.hedged = False
        self.reason = Reason.DEADLINE


class SoftDeadlineTimer(Record):
    """Fires when a query may be answered with what it has."""

    __slots__ = ('request_id',)

    def __init__(self, request_id: str):
        self.request_id = request_id


class HardDeadlineTimer(Record):
    """Fires when a query must be answered."""

    __slots__ = ('request_id',)

    def __init__(self, request_id: str):
        self.request_id = request_id


class HedgeTimer(Record):
    """Fires when a task's first attempt is slow."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id


class MoveTimer(Record):
    """Fires when a task's attempt has waited long in its queue."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id


class RetryTimer(Record):
    """Fires when a task may ask again."""

    __slots__ = ('epoch', 'request_id', 'shard_id')

    def __init__(self, request_id: str, epoch: int, shard_id: str):
        self.request_id = request_id
        self.epoch = epoch
        self.shard_id = shard_id
