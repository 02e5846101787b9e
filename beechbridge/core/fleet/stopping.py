"""
Graceful stop.

A leaving VM is removed from entry answers at once and continues to serve for as long as callers
may still hold its address and its tickets; then it finishes what is in flight and exits. The
stop takes at most the serving time plus the longest deadline of a class plus a margin.
"""

import enum

from ...actions import Exit, LogChange
from ...events import StopRequested
from ...failures import Failure, Reason, not_run
from ...record import Record
from ..interface import CoreInterface
from ..requests.endings import finish_plan

PROPAGATION_MS = 1_500.0
"""Time for the announcement to reach all VMs, and for answers they are writing to be sent."""

FINISH_MARGIN_MS = 2_000.0


class Phase(enum.Enum):
    """Phase of a graceful stop."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    FINISHING = 'finishing'
    STOPPED = 'stopped'


class LeaveTimer(Record):
    """Fires when no caller holds this VM's address any longer."""

    __slots__ = ()


class StopTimeoutTimer(Record):
    """Fires when the stop has taken its maximum time."""

    __slots__ = ()


class StoppingController:
    """
    Progress of a graceful stop.

    :param serve_until_ms: when a leaving VM stops accepting new work
    """

    __slots__ = ('phase', 'serve_until_ms')

    def __init__(self):
        self.phase = Phase.SERVING
        self.serve_until_ms = float('inf')

    @property
    def is_leaving(self) -> bool:
        """Return whether a stop is in progress."""
        return self.phase is not Phase.SERVING

    def remaining_ms(self, core: CoreInterface) -> float:
        """Return how long this VM still accepts new work."""
        return self.serve_until_ms - core.now_ms

    def reject_if_finishing(self) -> Failure | None:
        """Return a rejection of new work once the serving time is over, else None."""
        if self.phase in (Phase.SERVING, Phase.LEAVING):
            return None
        return not_run(Reason.STOPPING, 'this VM is stopping; use another address', 1)

    def start(self, core: CoreInterface) -> None:
        """Announce the stop and continue to serve for a bounded time."""
        if self.is_leaving:
            return
        self.enter(Phase.LEAVING, core)
        keep_ms = core.limits.ticket_keep_ms
        if core.configuration.current is not None:
            keep_ms = max(keep_ms, core.configuration.current.fleet.entry_keep_ms)
        self.serve_until_ms = core.now_ms + keep_ms + PROPAGATION_MS
        core.timers.arm(self.serve_until_ms, LeaveTimer())
        core.membership.send_gossip(core)

    def enter(self, phase: Phase, core: CoreInterface) -> None:
        """Enter a phase and log the transition."""
        core.act(LogChange('stop', self.phase.value, phase.value))
        self.phase = phase

    def exit_if_idle(self, core: CoreInterface) -> None:
        """Exit if the VM is finishing and nothing is in flight."""
        if self.phase is Phase.FINISHING and not core.plans and core.tickets.is_idle():
            self.enter(Phase.STOPPED, core)
            core.act(Exit())


def handle_stop_requested(event: StopRequested, core: CoreInterface) -> None:
    """Start a graceful stop."""
    core.stopping.start(core)


def fire_leave(timer: LeaveTimer, core: CoreInterface) -> None:
    """Stop accepting new work and wait for what is in flight."""
    stopping = core.stopping
    stopping.enter(Phase.FINISHING, core)
    longest_ms = 0
    if core.configuration.current is not None:
        for rules in core.configuration.current.classes.values():
            longest_ms = max(longest_ms, rules.hard_deadline_ms)
    due_ms = core.now_ms + longest_ms + FINISH_MARGIN_MS
    core.timers.arm(due_ms, StopTimeoutTimer())
    stopping.exit_if_idle(core)


def fire_stop_timeout(timer: StopTimeoutTimer, core: CoreInterface) -> None:
    """Answer what is still in flight, and exit."""
    if core.stopping.phase is not Phase.FINISHING:
        return
    for plan in list(core.plans.values()):
        finish_plan(plan, core)
    core.tickets.end_all(core)
