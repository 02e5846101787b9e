"""Graceful stop: leave the fleet at once, serve on while callers may still come, then end."""

from ...record import Record
from ..actions import CloseIdleCallers, EndProcess, WriteLine
from ..events import StopRequested
from ..surface import GatewaySurface
from .gossip import send_heartbeat

SERVE_SHARE = 0.62
"""Share of the time to the kill in which requests are still taken: callers keep addresses."""

END_SHARE = 0.88
"""Share of the time to the kill after which the process ends whatever is in flight."""

CHECK_MS = 50.0


class CloseTimer(Record):
    """Fires when no more requests are taken."""

    __slots__ = ()


class EndTimer(Record):
    """Fires to see whether anything is still in flight."""

    __slots__ = ('latest_ms',)

    def __init__(self, latest_ms: float):
        self.latest_ms = latest_ms


class Stopping:
    """
    Phase of the stop.

    :param grace_ms: time between the request to stop and the kill
    """

    __slots__ = ('grace_ms', 'is_closed', 'is_leaving')

    def __init__(self, grace_ms: float):
        self.grace_ms = grace_ms
        self.is_leaving = False
        self.is_closed = False


def handle_stop(event: StopRequested, gateway: GatewaySurface) -> None:
    """Leave the fleet and go on serving."""
    stopping = gateway.stopping
    if stopping.is_leaving:
        return
    stopping.is_leaving = True
    gateway.act(WriteLine('stop_asked', {'in_flight': len(gateway.works)}))
    send_heartbeat(gateway)
    gateway.timers.arm(gateway.now_ms + SERVE_SHARE * stopping.grace_ms, CloseTimer())
    latest_ms = gateway.now_ms + END_SHARE * stopping.grace_ms
    gateway.timers.arm(latest_ms, EndTimer(latest_ms))


def fire_close(timer: CloseTimer, gateway: GatewaySurface) -> None:
    """Take no more connections; end once nothing is in flight."""
    gateway.act(CloseIdleCallers())
    latest_ms = gateway.now_ms + (END_SHARE - SERVE_SHARE) * gateway.stopping.grace_ms
    gateway.timers.arm(gateway.now_ms + CHECK_MS, EndTimer(latest_ms))


def fire_end(timer: EndTimer, gateway: GatewaySurface) -> None:
    """End the process if nothing is in flight or the time is over."""
    if gateway.works and gateway.now_ms < timer.latest_ms:
        gateway.timers.arm(gateway.now_ms + CHECK_MS, timer)
        return
    gateway.stopping.is_closed = True
    gateway.act(WriteLine('stopped', {'in_flight': len(gateway.works)}))
    gateway.act(EndProcess())
