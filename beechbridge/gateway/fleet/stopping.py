"""
Graceful stop: leave the fleet at once, serve callers that still know this VM, then exit.

Every request that was read is answered before the process exits: with its reply, or, at the end of
the time for that, with what is known of it. Late in the stop no request is taken that may still be
in progress then.
"""

import math

from ...failures import Failure, Reason, not_run
from ...record import Record
from ..actions import CloseIdleCallers, ExitProcess, WriteLine
from ..events import StopRequested
from ..interface import GatewayInterface
from ..models import CallerRequest
from ..requests.retry_times import defer_retry_ms
from ..requests.works import DeadlineTimer
from .gossip import send_heartbeat

LONG_REQUEST_SHARE = 0.5
"""Share of the grace period in which requests are accepted that may outlast the process: few do,
and callers cache addresses."""

ACCEPT_SHARE = 0.62
"""Share of the grace period in which new connections are accepted."""

ANSWER_SHARE = 0.9
"""Share of the grace period after which requests still in flight are answered without a reply."""

EXIT_SHARE = 0.95
"""Share of the grace period after which the process exits even with answers being sent: on a busy
machine its end takes a while."""

EXIT_CHECK_INTERVAL_MS = 50.0
OTHER_VM_RETRY_MS = 0
"""Retry-after time if another VM serves callers."""

NO_VM_RETRY_MS = 300


class CloseTimer(Record):
    """Fires when connections are no longer accepted."""

    __slots__ = ()


class ExitTimer(Record):
    """Fires to check whether requests are still in flight."""

    __slots__ = ()


class Stopping:
    """
    Phase of the graceful stop.

    :param grace_ms: milliseconds between the stop request and the kill
    :param asked_ms: time of the stop request in milliseconds, infinite before
    :param is_closed: whether no request is accepted any more
    """

    __slots__ = ('asked_ms', 'grace_ms', 'is_closed')

    def __init__(self, grace_ms: float):
        self.grace_ms = grace_ms
        self.asked_ms = math.inf
        self.is_closed = False

    @property
    def is_leaving(self) -> bool:
        """Return whether a stop was requested."""
        return self.asked_ms < math.inf

    def at_ms(self, share: float) -> float:
        """Return the time at which a share of the grace period is over, in milliseconds."""
        return self.asked_ms + share * self.grace_ms

    def is_too_late(self, now_ms: float, ends_ms: float) -> bool:
        """Return whether a request is not accepted that may be in progress until `ends_ms`."""
        if self.is_closed:
            return True
        return now_ms >= self.at_ms(LONG_REQUEST_SHARE) and ends_ms > self.at_ms(ANSWER_SHARE)


def reject_late(
    request: CallerRequest, is_idempotent: bool, ends_ms: float, gateway: GatewayInterface
) -> Failure | None:
    """
    Reject a request that may still be in progress when this process exits.

    While no other VM serves, idempotent ones are taken: most are over in time, and the callers of
    the others may repeat them.

    :param ends_ms: time in milliseconds at which the request is over, whatever replicas do
    """
    stopping = gateway.stopping
    if not stopping.is_too_late(gateway.now_ms, ends_ms):
        return None
    has_others = any(member.is_serving for member in gateway.fleet.alive(gateway.now_ms))
    if not has_others and is_idempotent and not stopping.is_closed:
        return None
    retry_after_ms = OTHER_VM_RETRY_MS
    if not has_others:
        retry_after_ms = defer_retry_ms(request, NO_VM_RETRY_MS)
    detail = 'this VM is stopping, and may exit before the deadline of the request'
    return not_run(Reason.STOPPING, detail, retry_after_ms)


def handle_stop_requested(event: StopRequested, gateway: GatewayInterface) -> None:
    """Announce that this VM leaves the fleet, and continue to serve."""
    stopping = gateway.stopping
    if stopping.is_leaving:
        return
    stopping.asked_ms = gateway.now_ms
    gateway.act(WriteLine('stop_asked', {'in_flight': len(gateway.works)}))
    send_heartbeat(gateway)
    gateway.timers.arm(stopping.at_ms(ACCEPT_SHARE), CloseTimer())


def fire_close(timer: CloseTimer, gateway: GatewayInterface) -> None:
    """Stop accepting caller connections, and close idle ones; exit once nothing is in flight."""
    gateway.act(CloseIdleCallers())
    gateway.timers.arm(gateway.now_ms + EXIT_CHECK_INTERVAL_MS, ExitTimer())


def fire_exit(timer: ExitTimer, gateway: GatewayInterface) -> None:
    """Exit if nothing is in flight; once the time is over, answer what is left before."""
    stopping = gateway.stopping
    answer_ms = stopping.at_ms(ANSWER_SHARE)
    if gateway.works and gateway.now_ms < answer_ms:
        due_ms = min(gateway.now_ms + EXIT_CHECK_INTERVAL_MS, answer_ms)
        gateway.timers.arm(due_ms, timer)
        return
    stopping.is_closed = True
    gateway.act(WriteLine('stopped', {'in_flight': len(gateway.works)}))
    gateway.act(ExitProcess(stopping.at_ms(EXIT_SHARE)))
    for key in gateway.works:
        # With its own timer, a defect in the answer to one request costs only that one.
        gateway.timers.arm(gateway.now_ms, DeadlineTimer(key))
