"""
Rejects requests whose home regions cannot be reached.

The VM to which the caller connected rejects: it knows the route, and no other VM may get the body.
"""

import math

from ...failures import Failure, Reason, not_run
from ..interface import GatewayInterface
from ..replicas.upstreams import ReplicaState
from .candidates import allowed_zones, list_usable
from .relays import should_relay
from .retry_times import NO_REPLICA_RETRY_MS, needed_count, retry_once_open_ms
from .works import Work

RECENT_REPLY_MS = 1_000.0
"""Age of its latest reply up to which a suspect replica is tried: a single lost connection to the
only replica of a service must not have all of its requests rejected."""

TRIAL_INTERVAL_MS = 1_000.0
"""Time after which the next request tries replicas none of which answers. Those that try them wait
for their deadlines, but without them nobody would notice that the replicas are reached again."""


def may_be_served(states: list[ReplicaState], now_ms: float) -> bool:
    """Return whether one of several replicas seems to answer, or may be tried again."""
    if any(is_answering(state, now_ms) for state in states):
        return True
    if not any(now_ms >= state.suspect_until_ms for state in states):
        return False
    sent_ms = [exchange.sent_ms for state in states for exchange in state.busy.values()]
    return now_ms - max(sent_ms, default=-math.inf) >= TRIAL_INTERVAL_MS


def is_answering(state: ReplicaState, now_ms: float) -> bool:
    """Return whether a replica replied a moment ago, or has not failed since its last reply."""
    if now_ms - state.replied_ms < RECENT_REPLY_MS:
        return True
    return state.failed_ms <= state.replied_ms and not state.is_suspect(now_ms)


def check_homes(work: Work, gateway: GatewayInterface) -> Failure | None:
    """
    Reject a request with home regions if too few of its services have a replica there that works.

    Elsewhere a suspect replica is tried last, after others; here there are no others, so that each
    request would wait for its deadline while the home regions are cut off.
    """
    zones = allowed_zones(work, gateway)
    if zones is None or should_relay(gateway):
        # A VM in a home region may serve it, whatever this VM believes of replicas.
        return None
    healthy_count = 0
    waits_ms = []
    for task in work.tasks:
        states = list_usable(task, gateway)
        if may_be_served(states, gateway.now_ms):
            healthy_count += 1
            continue
        ends_ms = [state.suspect_until_ms - gateway.now_ms for state in states]
        waits_ms.append(max(0.0, min(ends_ms, default=math.inf)))
    needed = needed_count(work)
    if healthy_count >= needed:
        return None
    wait_ms = sorted(waits_ms)[needed - healthy_count - 1]
    detail = f'{healthy_count} of {len(work.tasks)} services have a replica in a home region'
    retry_after_ms = retry_once_open_ms(wait_ms, NO_REPLICA_RETRY_MS, work.request)
    return not_run(Reason.NO_REPLICA, detail, retry_after_ms)
