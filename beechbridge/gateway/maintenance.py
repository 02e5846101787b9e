"""Periodic checks of a gateway, and what it does after a pause and when its settings change."""

from .actions import WriteLine
from .events import PauseDetected, SettingsReloaded
from .fleet.suspect_reports import repeat_reports
from .interface import GatewayInterface
from .replicas.cold_limits import refresh_limits
from .replicas.notices import log_notices
from .requests.evidence import sweep_evidence
from .requests.progress import sweep_exchanges
from .requests.sending import enforce_connection_shares
from .requests.waiting import dispatch_stranded
from .requests.work_estimates import switch_balancing

SWEEP_INTERVAL_MS = 250.0


class SweepTimer:
    """Fires when exchanges and connection shares are due for a check."""

    __slots__ = ()


def handle_pause_detected(event: PauseDetected, gateway: GatewayInterface) -> None:
    """Stop reusing idle connections from before a pause."""
    gateway.act(WriteLine('paused', {'ms': round(event.pause_ms)}))
    for state in gateway.all_upstreams():
        for connection in state.idle:
            connection.usable_until_ms = 0.0


def handle_settings_reloaded(event: SettingsReloaded, gateway: GatewayInterface) -> None:
    """Apply reloaded settings; names and addresses cannot change in a running process."""
    settings = event.settings
    gateway.budget_rules = settings.budget
    gateway.max_reply_bytes = settings.max_reply_bytes
    gateway.answer_time.is_in_force = settings.has_short_goals
    switch_balancing(settings.balances_by_work, gateway)
    for budget in gateway.budgets.values():
        budget.rules = settings.budget
    if not gateway.stopping.is_leaving:
        # Whoever has asked for a stop counts from then, by the period that held then.
        gateway.stopping.grace_ms = settings.grace_ms
    gateway.fleet.seeds = settings.seeds
    gateway.fleet.regions.update(settings.regions)
    gateway.fleet.bound(settings.stable_ms)
    gateway.cold_rules = settings.cold_rules
    refresh_limits(gateway)
    gateway.fleet.own.capacity_millicores = settings.capacity_millicores
    gateway.act(WriteLine('reloaded', {'seeds': list(settings.seeds)}))


def fire_sweep(timer: SweepTimer, gateway: GatewayInterface) -> None:
    """
    End overdue exchanges; dispatch queues that nothing else would.

    Surplus connections are closed if more VMs share the limits.
    """
    gateway.timers.arm(gateway.now_ms + SWEEP_INTERVAL_MS, timer)
    sweep_exchanges(gateway)
    dispatch_stranded(gateway)
    log_notices(gateway)
    sweep_evidence(gateway)
    repeat_reports(gateway)
    if gateway.sharing_count > gateway.last_sharing_count:
        enforce_connection_shares(gateway)
    gateway.last_sharing_count = gateway.sharing_count
