"""The core of one VM: takes timestamped events and returns actions."""

import random
from functools import singledispatch

from ..actions import Action, LogChange
from ..events import (
    AttemptFailed,
    ConfigurationReceived,
    EntryRequested,
    Event,
    PeerMessageReceived,
    QueryReceived,
    ReplyReceived,
    StopRequested,
    Tick,
    TicketedRequestReceived,
    TicketRequested,
    VmListReceived,
)
from ..failures import Failure, Reason, not_run
from ..models import VmIdentity
from ..record import Record
from .counters import Counters
from .fleet.configuration import (
    ConfigurationController,
    ReadTimer,
    fire_read,
    handle_configuration_received,
)
from .fleet.inbox import handle_peer_message_received
from .fleet.membership import (
    GossipTimer,
    ListTimer,
    MembershipController,
    ViewTimeoutTimer,
    fire_gossip,
    fire_list,
    fire_view_timeout,
    handle_entry_requested,
    handle_vm_list_received,
)
from .fleet.stopping import (
    LeaveTimer,
    StoppingController,
    StopTimeoutTimer,
    fire_leave,
    fire_stop_timeout,
    handle_stop_requested,
)
from .limits import Limits
from .policy import CURRENT, Policy
from .requests.budgets import ExtraBudget
from .requests.endings import fire_hard_deadline, fire_soft_deadline
from .requests.fanout import fire_retry
from .requests.filters import handle_query_received
from .requests.hedging import fire_hedge, fire_reassign
from .requests.overload import OverloadController
from .requests.plans import (
    HardDeadlineTimer,
    HedgeTimer,
    Plan,
    ReassignTimer,
    RetryTimer,
    SoftDeadlineTimer,
)
from .requests.snapshots import SnapshotsController
from .requests.suspects import SuspectQueries
from .tickets.controller import (
    RelayTimer,
    RunDeadlineTimer,
    RunRetryTimer,
    TicketExpiryTimer,
    TicketsController,
    fire_relay,
    fire_run_deadline,
    fire_run_retry,
    fire_ticket_expiry,
    handle_ticket_requested,
    handle_ticketed_request_received,
)
from .timers import Timers
from .upstreams.controller import StallTimer, UpstreamsController
from .upstreams.exchanges import fire_stall, handle_attempt_failed, handle_reply_received
from .upstreams.health import HealthController, ProbeTimer, fire_probe

PAUSE_MS = 2_000.0
"""Delay of a timer above which the process counts as having been paused."""

NOT_READY_RETRY_MS = 500


class Core:
    """
    Decision logic of one VM. Not thread-safe: the driver serialises the events.

    :param identity: identity of this process
    :param place: this VM's data centre
    :param rng: the only source of randomness
    :param policy: behaviour under load and faults
    """

    __slots__ = (
        'actions',
        'budgets',
        'configuration',
        'counters',
        'health',
        'identity',
        'limits',
        'membership',
        'now_ms',
        'overload',
        'place',
        'plans',
        'policy',
        'rng',
        'snapshots',
        'stopping',
        'suspects',
        'tickets',
        'timers',
        'upstreams',
    )

    def __init__(
        self,
        identity: VmIdentity,
        place: str,
        limits: Limits,
        rng: random.Random,
        policy: Policy = CURRENT,
    ):
        self.identity = identity
        self.place = place
        self.limits = limits
        self.rng = rng
        self.policy = policy
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.timers = Timers()
        self.counters = Counters()
        self.configuration = ConfigurationController()
        self.membership = MembershipController(identity)
        self.upstreams = UpstreamsController()
        self.health = HealthController()
        self.snapshots = SnapshotsController()
        self.budgets: dict[str, ExtraBudget] = {}
        self.suspects = SuspectQueries()
        self.tickets = TicketsController()
        self.stopping = StoppingController()
        self.overload: dict[str, OverloadController] = {}
        self.plans: dict[str, Plan] = {}

    def start(self, now_ms: float) -> list[Action]:
        """Arm the periodic timers and request a first view of the fleet."""
        self.now_ms = now_ms
        for timer in (GossipTimer(), ProbeTimer()):
            self.timers.arm(now_ms + self.rng.uniform(0, 500), timer)
        self.membership.invalidate_view(self)
        return self.pop_actions()

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Handle an event and return the resulting actions; time never runs backwards."""
        due_ms = self.timers.next_due_ms()
        self.now_ms = max(self.now_ms, now_ms)
        if due_ms is not None and self.now_ms - due_ms > PAUSE_MS:
            self.handle_pause_detected(self.now_ms - due_ms)
        self.fire_timers()
        handle_event(event, self)
        return self.pop_actions()

    def next_wake_ms(self) -> float | None:
        """Return when the driver should deliver the next tick, or None."""
        return self.timers.next_due_ms()

    def act(self, action: Action) -> None:
        """Queue an action for the driver."""
        self.actions.append(action)

    def pop_actions(self) -> list[Action]:
        """Return and clear the actions queued since the last call."""
        actions, self.actions = self.actions, []
        return actions

    def fire_timers(self) -> None:
        """Fire every timer that is due."""
        while True:
            timer = self.timers.pop_due(self.now_ms)
            if timer is None:
                return
            fire_timer(timer, self)

    def handle_pause_detected(self, late_ms: float) -> None:
        """Close idle connections and refresh the view of the fleet after a pause."""
        self.counters.add('pauses')
        self.act(LogChange('process', 'paused', f'awake {late_ms:.0f} ms late'))
        self.upstreams.close_idle_connections(self)
        self.membership.invalidate_view(self)

    def reject_if_no_view(self) -> Failure | None:
        """Return a rejection if the VM list or the configuration is not loaded yet, else None."""
        if self.configuration.current is None:
            detail = 'configuration not loaded yet'
            return not_run(Reason.NOT_READY, detail, NOT_READY_RETRY_MS)
        if self.membership.listed is None:
            return not_run(Reason.NOT_READY, 'VM list not loaded yet', NOT_READY_RETRY_MS)
        return None

    def reject_if_not_ready(self) -> Failure | None:
        """Return a rejection of new work if this process is not ready for it, else None."""
        failure = self.reject_if_no_view()
        if failure is not None:
            return failure
        if not self.membership.is_view_current:
            detail = 'waiting for a current view of the fleet'
            return not_run(Reason.NOT_READY, detail, NOT_READY_RETRY_MS)
        return self.stopping.reject_if_finishing()

    def budget(self, back_end: str) -> ExtraBudget:
        """Return a back end's budget of extra attempts."""
        budget = self.budgets.get(back_end)
        if budget is None:
            budget = self.budgets[back_end] = ExtraBudget()
        return budget

    def overload_controller(self, back_end: str) -> OverloadController:
        """Return a back end's overload controller."""
        controller = self.overload.get(back_end)
        if controller is None:
            controller = self.overload[back_end] = OverloadController()
        return controller

    def is_ready(self) -> bool:
        """Return whether new work is accepted."""
        return self.reject_if_not_ready() is None

    def describe(self) -> dict:
        """Return the complete state for a state dump."""
        budgets = {}
        for name, budget in sorted(self.budgets.items()):
            budgets[name] = {
                'tokens': round(budget.tokens, 2),
                'primaries': budget.primaries,
                'extras': budget.extras,
            }
        return {
            'vm': self.identity.name,
            'incarnation': self.identity.incarnation,
            'place': self.place,
            'ready': self.is_ready(),
            'policy': self.policy.name,
            'phase': self.stopping.phase.value,
            'active_queries': len(self.plans),
            'configuration': self.configuration.describe(self),
            'membership': self.membership.describe(self.now_ms),
            'replicas': self.upstreams.describe(self.now_ms),
            'budgets': budgets,
            'tickets': self.tickets.describe(),
            'counters': {
                f'{name}.{label}' if label else name: value
                for (name, label), value in sorted(self.counters.values.items())
            },
        }


@singledispatch
def handle_event(event: object, core: Core) -> None:
    """Handle an event according to its type."""
    raise TypeError(f'no handler for {type(event).__name__}')


@singledispatch
def fire_timer(timer: Record, core: Core) -> None:
    """Handle a due timer according to its type."""
    raise TypeError(f'no handler for {type(timer).__name__}')


def handle_tick(event: Tick, core: Core) -> None:
    """Do nothing: due timers fire before every event."""


EVENT_HANDLERS = {
    QueryReceived: handle_query_received,
    TicketRequested: handle_ticket_requested,
    TicketedRequestReceived: handle_ticketed_request_received,
    EntryRequested: handle_entry_requested,
    ReplyReceived: handle_reply_received,
    AttemptFailed: handle_attempt_failed,
    ConfigurationReceived: handle_configuration_received,
    VmListReceived: handle_vm_list_received,
    PeerMessageReceived: handle_peer_message_received,
    Tick: handle_tick,
    StopRequested: handle_stop_requested,
}

TIMER_HANDLERS = {
    GossipTimer: fire_gossip,
    ListTimer: fire_list,
    ViewTimeoutTimer: fire_view_timeout,
    ProbeTimer: fire_probe,
    StallTimer: fire_stall,
    ReadTimer: fire_read,
    SoftDeadlineTimer: fire_soft_deadline,
    HardDeadlineTimer: fire_hard_deadline,
    HedgeTimer: fire_hedge,
    ReassignTimer: fire_reassign,
    RetryTimer: fire_retry,
    RunDeadlineTimer: fire_run_deadline,
    RunRetryTimer: fire_run_retry,
    RelayTimer: fire_relay,
    TicketExpiryTimer: fire_ticket_expiry,
    LeaveTimer: fire_leave,
    StopTimeoutTimer: fire_stop_timeout,
}

for event_type, handler in EVENT_HANDLERS.items():
    handle_event.register(event_type, handler)
for timer_type, handler in TIMER_HANDLERS.items():
    fire_timer.register(timer_type, handler)
