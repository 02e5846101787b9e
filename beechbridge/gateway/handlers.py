"""Handlers of the gateway's events and timers, by type."""

from functools import singledispatch

from .events import (
    AnswerWritten,
    CallerDisconnected,
    ChangesReceived,
    ColdReplicasReceived,
    ConnectionEnded,
    DatagramUnreadable,
    ExchangeEnded,
    ExchangeWithdrawn,
    HeartbeatReceived,
    OrderReceived,
    PauseDetected,
    PermitsReceived,
    ProbeEnded,
    PullEnded,
    RelayReceived,
    RequestMalformed,
    RequestReceived,
    RequestSent,
    SettingsReloaded,
    StopRequested,
    StoreFailed,
    SuspectsReceived,
    TimerDue,
)
from .fleet.cold_reports import (
    ColdReportTimer,
    fire_cold_report,
    handle_cold_replicas_received,
)
from .fleet.gossip import (
    HeartbeatTimer,
    fire_heartbeat,
    handle_datagram_unreadable,
    handle_heartbeat_received,
)
from .fleet.pulls import PullTimer, fire_pull
from .fleet.stopping import (
    CloseTimer,
    ExitTimer,
    fire_close,
    fire_exit,
    handle_stop_requested,
)
from .fleet.suspect_reports import handle_suspects_received
from .interface import GatewayInterface
from .maintenance import (
    SweepTimer,
    fire_sweep,
    handle_pause_detected,
    handle_settings_reloaded,
)
from .replicas.reach import ReachTimer
from .replicas.restoration import ConfirmationTimer
from .replicas.store_updates import (
    RemovalTimer,
    fire_confirmation,
    fire_removal,
    handle_changes_received,
    handle_pull_ended,
    handle_store_failed,
)
from .requests.admission import handle_request_malformed, handle_request_received
from .requests.canaries import fire_canary
from .requests.gather_timing import handle_answer_written
from .requests.hedges import fire_check
from .requests.permission import (
    PermitTimer,
    fire_permit_timeout,
    handle_permits_received,
)
from .requests.progress import (
    fire_deadline,
    fire_retry,
    handle_caller_disconnected,
    handle_connection_ended,
    handle_exchange_ended,
    handle_request_sent,
)
from .requests.reach_checks import fire_reach_check, handle_probe_ended
from .requests.start_queue import StartTimer
from .requests.starts import fire_start
from .requests.unsent import resume_withdrawn
from .requests.vm_requests import handle_order_received, handle_relay_received
from .requests.works import CanaryTimer, CheckTimer, DeadlineTimer, RetryTimer


@singledispatch
def handle_event(event: object, gateway: GatewayInterface) -> None:
    """Handle an event according to its type."""
    raise TypeError(f'no handler for {type(event).__name__}')


@singledispatch
def fire_timer(timer: object, gateway: GatewayInterface) -> None:
    """Handle a due timer according to its type."""
    raise TypeError(f'no handler for {type(timer).__name__}')


def handle_timer_due(event: TimerDue, gateway: GatewayInterface) -> None:
    """Do nothing: due timers fire before every event."""


EVENT_HANDLERS = {
    AnswerWritten: handle_answer_written,
    RequestReceived: handle_request_received,
    CallerDisconnected: handle_caller_disconnected,
    RequestMalformed: handle_request_malformed,
    OrderReceived: handle_order_received,
    RelayReceived: handle_relay_received,
    RequestSent: handle_request_sent,
    ExchangeEnded: handle_exchange_ended,
    ExchangeWithdrawn: resume_withdrawn,
    ConnectionEnded: handle_connection_ended,
    ChangesReceived: handle_changes_received,
    PullEnded: handle_pull_ended,
    StoreFailed: handle_store_failed,
    HeartbeatReceived: handle_heartbeat_received,
    DatagramUnreadable: handle_datagram_unreadable,
    StopRequested: handle_stop_requested,
    PauseDetected: handle_pause_detected,
    PermitsReceived: handle_permits_received,
    ProbeEnded: handle_probe_ended,
    SuspectsReceived: handle_suspects_received,
    ColdReplicasReceived: handle_cold_replicas_received,
    SettingsReloaded: handle_settings_reloaded,
    TimerDue: handle_timer_due,
}

TIMER_HANDLERS = {
    HeartbeatTimer: fire_heartbeat,
    PullTimer: fire_pull,
    SweepTimer: fire_sweep,
    ReachTimer: fire_reach_check,
    CanaryTimer: fire_canary,
    CheckTimer: fire_check,
    DeadlineTimer: fire_deadline,
    RetryTimer: fire_retry,
    RemovalTimer: fire_removal,
    ConfirmationTimer: fire_confirmation,
    PermitTimer: fire_permit_timeout,
    ColdReportTimer: fire_cold_report,
    CloseTimer: fire_close,
    ExitTimer: fire_exit,
    StartTimer: fire_start,
}

for event_type, handler in EVENT_HANDLERS.items():
    handle_event.register(event_type, handler)
for timer_type, handler in TIMER_HANDLERS.items():
    fire_timer.register(timer_type, handler)
