"""
Replicas that seem to be in a pause: asked, but silent for longer than is usual for them.

The load that this answers: replicas stop for 150 to 250 ms every few seconds. A replica becomes
suspect only after 350 ms without an answer, when its pause is over; until then other requests are
sent to other replicas from the time at which it is late. The first reply ends the pause.
"""

from .upstreams import MIN_STALL_TIMEOUT_MS, ReplicaState, Upstreams

SLACK_MS = 2.0
"""Time past the latency that one request in ten exceeds: replies of a gather come in a burst."""


def is_pausing(state: ReplicaState, upstreams: Upstreams, now_ms: float) -> bool:
    """Return whether a replica has been silent for longer than it usually is."""
    if not state.busy:
        return False
    exchange = next(iter(state.busy.values()))
    if not exchange.was_sent:
        return False
    silent_ms = now_ms - max(exchange.sent_ms, state.replied_ms)
    if silent_ms >= MIN_STALL_TIMEOUT_MS:
        return False
    late_ms = upstreams.late_ms(exchange.owner.work.route.name, state.distance)
    return silent_ms > late_ms + SLACK_MS
