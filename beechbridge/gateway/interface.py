"""Interface of the gateway that its packages use: its state and a few methods."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..core.counters import Counters
    from ..core.timers import Timers
    from ..failures import Failure
    from .actions import GatewayAction
    from .fleet.aggregators import Aggregators
    from .fleet.gossip import Gossip
    from .fleet.members import Fleet
    from .fleet.placement import Activity
    from .fleet.pulls import Pulls
    from .fleet.stopping import Stopping
    from .latencies import CallerTimeouts, Histogram
    from .models import ReplicaEntry
    from .replicas.cold import ColdRules
    from .replicas.decoding import UnreadableItems
    from .replicas.evacuations import Evacuation, Evacuations
    from .replicas.limits import Limits
    from .replicas.notices import NoticeBook
    from .replicas.reach import Reach
    from .replicas.restoration import RemovedReplicas
    from .replicas.store_updates import StoreStatus
    from .replicas.store_view import StoreView
    from .replicas.upstreams import ReplicaState, Upstreams
    from .requests.answer_time import AnswerTime
    from .requests.budgets import BudgetRules, BudgetShare, RetryBudget
    from .requests.evidence import Evidence
    from .requests.permit_requests import PermitRequests
    from .requests.room import Room
    from .requests.splits import Splits
    from .requests.start_queue import StartQueue
    from .requests.suspicion import SuspicionBook
    from .requests.works import Work
    from .routes import RoutingTable

    DecodedItem = RoutingTable | ReplicaEntry | Evacuation


class GatewayInterface(Protocol):
    """The gateway as seen by its packages; implemented by `node.Gateway`."""

    now_ms: float
    started_ms: float
    last_update_ms: float
    rng: random.Random
    max_reply_bytes: int
    cold_rules: 'ColdRules'
    budget_rules: 'BudgetRules'
    budgets: 'dict[str, RetryBudget]'
    last_sharing_count: int
    sharing_count: int
    timers: 'Timers'
    counters: 'Counters'
    latencies: 'Histogram'
    request_latencies: 'Histogram'
    pull_latencies: 'Histogram'
    caller_timeouts: 'CallerTimeouts'
    answer_time: 'AnswerTime'
    start_queue: 'StartQueue'
    table: 'RoutingTable | None'
    view: 'StoreView'
    store: 'StoreStatus'
    unreadable: 'UnreadableItems'
    upstreams: 'Upstreams'
    reach: 'Reach'
    replica_by_key: 'dict[str, ReplicaState]'
    removed_replicas: 'RemovedReplicas'
    evacuations: 'Evacuations'
    notices: 'NoticeBook'
    limits: 'Limits'
    permit_requests: 'PermitRequests'
    evidence: 'Evidence'
    suspicions: 'SuspicionBook'
    decode_item: 'Callable[[str, bytes], DecodedItem | Failure | None]'
    fleet: 'Fleet'
    gossip: 'Gossip'
    pulls: 'Pulls'
    activity: 'Activity'
    aggregators: 'Aggregators'
    splits: 'Splits'
    waiting: dict[str, list]
    rooms: 'dict[str, Room]'
    works: 'dict[int, Work]'
    stopping: 'Stopping'

    def act(self, action: 'GatewayAction') -> None:
        """Queue an action for the driver."""

    def budget(self, service: str) -> 'RetryBudget':
        """Return the budget of a service for extra attempts."""

    def budget_share(self) -> 'BudgetShare':
        """Return this VM's share of the fixed part of a budget."""

    def connection_share(self, service: str) -> int:
        """Return how many connections this VM may have open to one replica of a service."""

    def distance_to(self, zone: str) -> int:
        """Return 0 for this VM's data centre, 1 for its region and 2 for any other region."""

    def all_upstreams(self) -> 'list[ReplicaState]':
        """Return all connection targets: replicas, and the aggregators that get orders."""

    def drop_connection(self, connection_id: int) -> None:
        """Close a connection to a replica or another VM."""

    def dispatch_waiting(self, service: str) -> None:
        """Dispatch the tasks that are queued for a connection to a service."""

    def forget_replica(self, state: 'ReplicaState', cause: str) -> None:
        """Remove a replica that is known to be gone, until its entry changes."""

    def is_ready(self) -> bool:
        """Return whether callers should be directed to this VM."""
