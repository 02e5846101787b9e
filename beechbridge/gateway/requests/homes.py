"""
Rejects requests whose home regions cannot be reached.

The VM to which the caller connected rejects: it knows the route, and no other VM may get the body.
"""

import math

from ...failures import Failure, Reason, not_run
from ..interface import GatewayInterface
from .candidates import allowed_zones, list_usable
from .retry_times import NO_REPLICA_RETRY_MS, needed_count, retry_once_open_ms
from .works import Work


def check_homes(work: Work, gateway: GatewayInterface) -> Failure | None:
    """
    Reject a request with home regions if too few of its services have a replica there that works.

    Elsewhere a suspect replica is tried last, after others; here there are no others, so that each
    request would wait for its deadline while the home regions are cut off. One request may try
    each time a suspicion ends.
    """
    zones = allowed_zones(work, gateway)
    if zones is None:
        return None
    healthy_count = 0
    waits_ms = []
    for task in work.tasks:
        states = list_usable(task, gateway)
        if any(not state.is_suspect(gateway.now_ms) for state in states):
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
