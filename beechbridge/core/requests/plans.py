"""Queries in progress: one plan per query, with one task per shard."""

import math

from ...failures import Reason
from ...models import Query, QueryClass, Shard
from ...record import Record
from .attempts import Attempt


class Plan:
    """
    One query in progress.

    :param epoch: number of fan-outs so far; partial answers of earlier ones are dropped
    :param open_count: number of tasks that may still be answered
    :param rules: the query's class in the configuration; None until the query passed its check
    :param was_sent: whether any sub-request may have reached an upstream
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
        """Set deadlines and urgency from the query's class; the caller can only lower them."""
        self.rules = rules
        requested_ms = self.query.deadline_ms or rules.hard_deadline_ms
        hard_ms = min(requested_ms, rules.hard_deadline_ms)
        self.hard_at_ms = self.arrived_ms + hard_ms
        self.soft_at_ms = self.arrived_ms + min(hard_ms, rules.soft_deadline_ms)
        self.urgency = min(self.query.urgency or rules.urgency, rules.urgency)

    @property
    def needed_count(self) -> int:
        """Return the number of shards that must answer for the class's minimum coverage."""
        return max(1, math.ceil(self.rules.minimum_coverage * len(self.tasks) - 1e-9))

    def meets_minimum_coverage(self) -> bool:
        """Return whether the shards answered so far meet the class's minimum coverage."""
        return self.answered_count >= self.needed_count

    def can_meet_minimum_coverage(self) -> bool:
        """Return whether the minimum coverage can still be met with the open shards."""
        reachable = self.answered_count + self.open_count
        return reachable >= self.needed_count


class Task:
    """
    The sub-query of a plan to one shard; owner of its attempts.

    :param tried_replicas: replicas that are excluded until the next backoff
    :param reason: why the shard has no answer so far
    """

    __slots__ = (
        'attempts',
        'backoff_count',
        'epoch',
        'hedged',
        'is_open',
        'plan',
        'reason',
        'retries',
        'rows',
        'shard',
        'tried_replicas',
    )

    def __init__(self, plan: Plan, shard: Shard):
        self.plan = plan
        self.shard = shard
        self.epoch = plan.epoch
        self.rows: list | None = None
        self.is_open = True
        self.attempts: list[Attempt] = []
        self.tried_replicas: set[str] = set()
        self.backoff_count = 0
        self.retries = 0
        self.hedged = False
        self.reason = Reason.DEADLINE


class SoftDeadlineTimer(Record):
    """Fires when a query may be answered with partial results."""

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


class ReassignTimer(Record):
    """Fires when a task's attempt has been queued for too long."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str):
        self.attempt_id = attempt_id


class RetryTimer(Record):
    """Fires when a task may be dispatched again after a backoff."""

    __slots__ = ('epoch', 'request_id', 'shard_id')

    def __init__(self, request_id: str, epoch: int, shard_id: str):
        self.request_id = request_id
        self.epoch = epoch
        self.shard_id = shard_id
