"""The gateway of one VM: takes timestamped events and returns actions."""

import random
from collections.abc import Callable

from ..core.counters import Counters
from ..core.hashing import rank_names
from ..core.timers import Timers
from ..failures import Failure, Reason, unknown
from .actions import MAX_REPLY_BYTES, AnswerRequest, DropConnection, GatewayAction, WriteLine
from .events import OrderReceived, RelayReceived, RequestReceived
from .fleet.aggregators import Aggregators
from .fleet.cold_reports import send_cold_reports
from .fleet.gossip import Gossip, HeartbeatTimer
from .fleet.members import MAX_MESH_SIZE, Fleet
from .fleet.placement import Activity, Placement
from .fleet.pulls import Pulls
from .fleet.stopping import Stopping
from .fleet.suspect_reports import report_suspects
from .handlers import fire_timer, handle_event
from .homes import keep_near_homes
from .latencies import CallerTimeouts, Histogram
from .maintenance import SWEEP_INTERVAL_MS, SweepTimer
from .member import Member
from .models import ReplicaEntry
from .replicas.cold import ColdRules
from .replicas.decoding import UnreadableItems
from .replicas.evacuations import Evacuation, Evacuations, describe_evacuations
from .replicas.limits import Limits
from .replicas.notices import NoticeBook
from .replicas.reach import Reach
from .replicas.restoration import RemovedReplicas
from .replicas.store_updates import StoreStatus, drop_replica
from .replicas.store_view import StoreView
from .replicas.upstreams import ReplicaState, Upstreams
from .requests.answer_time import AnswerTime
from .requests.budgets import MEMBER_PROPAGATION_MS, BudgetRules, BudgetShare, RetryBudget
from .requests.evidence import Evidence
from .requests.permission import send_pending
from .requests.permit_requests import PermitRequests
from .requests.room import Room
from .requests.splits import Splits
from .requests.start_queue import StartQueue
from .requests.suspicion import SuspicionBook
from .requests.waiting import dispatch_waiting
from .requests.works import Work
from .routes import RoutingTable

MAX_ADDRESSES = 64
"""Maximum number of VMs in one directory answer."""

CONNECTION_MARGIN = 1
"""VMs that may join before they and the known VMs have learned of each other."""


class Gateway:
    """
    Makes all decisions of one VM about routed requests. Not thread-safe.

    :param own: this process as a member of the fleet
    :param seeds: hosts to contact to join the fleet
    :param regions: region by data centre
    :param decode_item: decodes a store item; returns None for one that is not used
    :param budget_rules: limits on extra attempts of sub-requests
    :param grace_ms: milliseconds between a stop request and the kill
    :param rng: source of all randomness
    :param max_reply_bytes: largest reply of a replica that is forwarded to a caller
    :param is_first_start: whether the whole system starts for the first time, so that there is
        nothing that it may have forgotten
    :param stable_ms: time in milliseconds within which the fleet has to notice that a VM ended
    :param cold_rules: how many requests a cold replica may get
    :param last_sharing_count: number of VMs sharing the connections at the last sweep
    """

    __slots__ = (
        'actions',
        'activity',
        'aggregators',
        'answer_time',
        'budget_rules',
        'budgets',
        'caller_timeouts',
        'cold_rules',
        'counters',
        'decode_item',
        'evacuations',
        'evidence',
        'fleet',
        'gossip',
        'is_first_start',
        'last_sharing_count',
        'last_update_ms',
        'latencies',
        'limits',
        'max_reply_bytes',
        'notices',
        'now_ms',
        'permit_requests',
        'placement',
        'pull_latencies',
        'pulls',
        'reach',
        'removed_replicas',
        'replica_by_key',
        'request_latencies',
        'rng',
        'rooms',
        'splits',
        'start_queue',
        'started_ms',
        'stopping',
        'store',
        'suspicions',
        'table',
        'timers',
        'unreadable',
        'upstreams',
        'view',
        'waiting',
        'works',
    )

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        regions: dict[str, str],
        decode_item: Callable[
            [str, bytes], RoutingTable | ReplicaEntry | Evacuation | Failure | None
        ],
        budget_rules: BudgetRules,
        grace_ms: float,
        rng: random.Random,
        max_reply_bytes: int = MAX_REPLY_BYTES,
        is_first_start: bool = True,
        stable_ms: float | None = None,
        cold_rules: ColdRules | None = None,
    ):
        self.max_reply_bytes = max_reply_bytes
        self.cold_rules = cold_rules or ColdRules()
        self.fleet = Fleet(own, seeds, regions, stable_ms)
        self.gossip = Gossip()
        self.pulls = Pulls()
        self.decode_item = decode_item
        self.budget_rules = budget_rules
        self.rng = rng
        self.now_ms = 0.0
        self.started_ms = 0.0
        self.last_update_ms = 0.0
        self.actions: list[GatewayAction] = []
        self.timers = Timers()
        self.counters = Counters()
        self.latencies = Histogram()
        self.request_latencies = Histogram()
        self.pull_latencies = Histogram()
        self.caller_timeouts = CallerTimeouts()
        self.placement = Placement(regions)
        self.activity = Activity()
        self.aggregators = Aggregators()
        self.table: RoutingTable | None = None
        self.view = StoreView()
        self.store = StoreStatus()
        self.unreadable = UnreadableItems()
        self.upstreams = Upstreams()
        self.reach = Reach()
        self.replica_by_key: dict[str, ReplicaState] = {}
        self.removed_replicas = RemovedReplicas()
        self.evacuations = Evacuations()
        self.notices = NoticeBook()
        self.limits = Limits()
        self.permit_requests = PermitRequests(own.incarnation)
        self.budgets: dict[str, RetryBudget] = {}
        self.splits = Splits(rng)
        self.waiting: dict[str, list] = {}
        self.rooms: dict[str, Room] = {}
        self.works: dict[int, Work] = {}
        self.stopping = Stopping(grace_ms)
        self.last_sharing_count = 0
        self.evidence = Evidence()
        self.answer_time = AnswerTime()
        self.start_queue = StartQueue()
        self.suspicions = SuspicionBook()
        self.is_first_start = is_first_start

    def start(self, now_ms: float) -> list[GatewayAction]:
        """Arm the periodic timers."""
        self.now_ms = self.started_ms = self.last_update_ms = now_ms
        if not self.is_first_start:
            self.suspicions.memory_since_ms = now_ms
        self.timers.arm(now_ms, HeartbeatTimer())
        self.timers.arm(now_ms + SWEEP_INTERVAL_MS, SweepTimer())
        return self.pop_actions()

    def handle(self, event: object, now_ms: float) -> list[GatewayAction]:
        """Handle an event and return the resulting actions; time never runs backwards."""
        self.now_ms = max(self.now_ms, now_ms)
        while True:
            timer = self.timers.pop_due(self.now_ms)
            if timer is None:
                break
            fire_timer(timer, self)
        handle_event(event, self)
        send_pending(self)
        report_suspects(self)
        send_cold_reports(self)
        return self.pop_actions()

    def recover(self, event: object, defect: dict) -> list[GatewayAction]:
        """
        Return the actions after the handler of an event has raised an exception.

        A request is answered: it may have run.

        :param defect: log fields that describe the exception
        """
        self.counters.add('defects', defect['error'])
        self.act(WriteLine('event_failed', {'event': type(event).__name__, **defect}))
        if isinstance(event, RequestReceived | OrderReceived | RelayReceived):
            work = self.works.pop(event.key, None)
            if work is not None:
                work.is_finished = True
            detail = 'an internal error; the log line event_failed describes it'
            self.act(AnswerRequest(event.key, unknown(Reason.INTERNAL, detail)))
        return self.pop_actions()

    def act(self, action: GatewayAction) -> None:
        """Queue an action for the driver."""
        self.actions.append(action)

    def pop_actions(self) -> list[GatewayAction]:
        """Return and clear the actions queued since the last call."""
        actions, self.actions = self.actions, []
        return actions

    def is_ready(self) -> bool:
        """Return whether callers should be directed to this VM."""
        return self.table is not None and not self.stopping.is_leaving

    @property
    def sharing_count(self) -> int:
        """Return how many VMs share budgets and connections: those that callers should use."""
        self.activity.choose(self.fleet, self.now_ms)
        if self.fleet.is_mesh:
            return self.fleet.size
        return self.activity.sharing_count

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service for extra attempts."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(self.budget_rules)
        return budget

    def budget_share(self) -> BudgetShare:
        """Return this VM's share of the fixed part of a budget."""
        if self.fleet.is_mesh:
            return BudgetShare(self.fleet.size, self.started_ms)
        count = self.sharing_count
        return BudgetShare(count, self.activity.active_since_ms)

    def connection_share(self, service: str) -> int:
        """Return how many connections this VM may have open to one replica of a service."""
        rules = self.table.services.get(service) if self.table else None
        if rules is None:
            return 1
        count = self.sharing_count
        if not self.fleet.is_mesh and self.activity.active_since_ms is None:
            return 1
        if self.now_ms - self.started_ms < MEMBER_PROPAGATION_MS:
            # Other VMs may be starting too, as after a power failure, and not be known yet.
            count = max(count, MAX_MESH_SIZE)
        return max(1, rules.connection_limit // (count + CONNECTION_MARGIN))

    def distance_to(self, zone: str) -> int:
        """Return 0 for this VM's data centre, 1 for its region and 2 for any other region."""
        own_zone = self.fleet.own.zone
        if zone == own_zone:
            return 0
        regions = self.fleet.regions
        return 1 if zone in regions and regions[zone] == regions.get(own_zone) else 2

    def best_members(self, zone: str, region: str, now_ms: float, host: str = '') -> list[Member]:
        """Return the VMs that a caller of a host, in a data centre and region, should use."""
        self.placement.refresh(self.table, self.upstreams, now_ms)
        self.activity.choose(self.fleet, now_ms)
        reaching = self.fleet.reaching(now_ms)
        active = [member for member in reaching if member.name in self.activity.active_names]
        region = region or self.fleet.regions.get(zone, '')
        members = keep_near_homes(active or reaching, host, region, self.table, self.fleet.regions)
        chosen = self.placement.choose(members, zone, region)
        if len(chosen) <= MAX_ADDRESSES:
            return chosen
        by_name = {member.name: member for member in chosen}
        return [by_name[name] for name in rank_names(zone, by_name)[:MAX_ADDRESSES]]

    def all_upstreams(self) -> list[ReplicaState]:
        """Return all connection targets: replicas, and the aggregators that get orders."""
        return [*self.upstreams.by_id.values(), *self.aggregators.states.values()]

    def drop_connection(self, connection_id: int) -> None:
        """Close a connection to a replica or another VM."""
        self.upstreams.owners.pop(connection_id, None)
        self.act(DropConnection(connection_id))

    def dispatch_waiting(self, service: str) -> None:
        """Dispatch the tasks that are queued for a connection to a service."""
        dispatch_waiting(service, self)

    def forget_replica(self, state: ReplicaState, cause: str) -> None:
        """Remove a replica that is known to be gone, until its entry changes."""
        for key, known in list(self.replica_by_key.items()):
            if known is state:
                drop_replica(key, state, cause, self)

    def describe(self) -> dict:
        """Return the state for a dump."""
        replicas = [state.describe(self.now_ms) for state in self.upstreams.by_id.values()]
        return {
            'vm': self.fleet.own.name,
            'ready': self.is_ready(),
            'table': self.table.version if self.table else None,
            'epoch': self.view.epoch,
            'revision': self.view.revision,
            'store_reached': self.store.is_reached,
            'reach': self.reach.describe(self.now_ms),
            'active_requests': len(self.works),
            'exchanges': len(self.upstreams.exchanges),
            'members': self.fleet.describe(self.now_ms),
            'limits': self.limits.describe(),
            'unreadable': self.unreadable.describe(),
            'evacuations': describe_evacuations(self),
            'suspects': self.suspicions.describe(self.now_ms),
            'replicas': replicas,
            'work': self.upstreams.describe_work(self.now_ms),
            'counters': {
                f'{name}.{label}' if label else name: value
                for (name, label), value in sorted(self.counters.values.items())
            },
        }
