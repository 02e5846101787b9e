"""Graceful stop: leave the fleet at once, serve callers that still know this VM, then exit."""

from ...record import Record
from ..actions import CloseIdleCallers, ExitProcess, WriteLine
from ..events import StopRequested
from ..interface import GatewayInterface
from ..requests.works import Work
from .gossip import send_heartbeat

ACCEPT_SHARE = 0.62
"""Share of the grace period in which requests are still accepted: callers cache addresses."""

EXIT_SHARE = 0.88
"""Share of the grace period after which the process exits even with requests in flight."""

EXIT_CHECK_INTERVAL_MS = 50.0
MAX_LEFT_LOGGED = 40
"""Limit on the requests that are named when the process exits without having answered them."""


class CloseTimer(Record):
    """Fires when requests are no longer accepted."""

    __slots__ = ()


class ExitTimer(Record):
    """Fires to check whether requests are still in flight."""

    __slots__ = ('deadline_ms',)

    def __init__(self, deadline_ms: float):
        self.deadline_ms = deadline_ms


class Stopping:
    """
    Phase of the graceful stop.

    :param grace_ms: milliseconds between the stop request and the kill
    """

    __slots__ = ('grace_ms', 'is_closed', 'is_leaving')

    def __init__(self, grace_ms: float):
        self.grace_ms = grace_ms
        self.is_leaving = False
        self.is_closed = False


def handle_stop_requested(event: StopRequested, gateway: GatewayInterface) -> None:
    """Announce that this VM leaves the fleet, and continue to serve."""
    stopping = gateway.stopping
    if stopping.is_leaving:
        return
    stopping.is_leaving = True
    gateway.act(WriteLine('stop_asked', {'in_flight': len(gateway.works)}))
    send_heartbeat(gateway)
    gateway.timers.arm(gateway.now_ms + ACCEPT_SHARE * stopping.grace_ms, CloseTimer())
    deadline_ms = gateway.now_ms + EXIT_SHARE * stopping.grace_ms
    gateway.timers.arm(deadline_ms, ExitTimer(deadline_ms))


def fire_close(timer: CloseTimer, gateway: GatewayInterface) -> None:
    """Stop accepting caller connections, and close idle ones; exit once nothing is in flight."""
    gateway.act(CloseIdleCallers())
    deadline_ms = gateway.now_ms + (EXIT_SHARE - ACCEPT_SHARE) * gateway.stopping.grace_ms
    gateway.timers.arm(gateway.now_ms + EXIT_CHECK_INTERVAL_MS, ExitTimer(deadline_ms))


def fire_exit(timer: ExitTimer, gateway: GatewayInterface) -> None:
    """Exit if nothing is in flight or the deadline has passed."""
    if gateway.works and gateway.now_ms < timer.deadline_ms:
        gateway.timers.arm(gateway.now_ms + EXIT_CHECK_INTERVAL_MS, timer)
        return
    gateway.stopping.is_closed = True
    works = list(gateway.works.values())
    for work in works[:MAX_LEFT_LOGGED]:
        gateway.act(WriteLine('request_left', describe_left(work, gateway)))
    gateway.act(WriteLine('stopped', {'in_flight': len(works)}))
    gateway.act(ExitProcess())


def describe_left(work: Work, gateway: GatewayInterface) -> dict:
    """Return the log fields of a request that is in flight when the process exits."""
    return {
        'request': work.request.request_id,
        'digest': work.digest,
        'route': work.route.name,
        'age_ms': round(gateway.now_ms - work.arrived_ms, 1),
        'left_ms': round(work.hard_at_ms - gateway.now_ms, 1),
        'may_have_run': work.may_have_run,
        'exchanges': len(work.in_flight()),
    }
