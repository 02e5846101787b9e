"""When callers whose requests cannot be served now should retry."""

import math

from ..interface import GatewayInterface
from ..models import CallerRequest
from ..replicas.limits import opens_in_ms
from .candidates import list_usable
from .works import GatherWork, Task, Work

RETRY_JITTER = (0.7, 1.3)
"""Range of the random factor applied to retry-after times."""

OUTAGE_TIME_FRACTION = 1 / 3
"""Fraction of a caller's remaining time after which it should retry during an outage: what is left
is enough for the retry, and an earlier one would probably be rejected too."""

NO_REPLICA_RETRY_MS = 250


def service_opens_in_ms(task: Task, gateway: GatewayInterface) -> float:
    """Return the time in milliseconds until a replica accepts a task, infinite if unknown."""
    waits_ms = [opens_in_ms(state, gateway) for state in list_usable(task, gateway)]
    return min(waits_ms, default=math.inf)


def needed_count(work: Work) -> int:
    """Return how many services a request needs to succeed."""
    return work.needed_count if isinstance(work, GatherWork) else 1


def jitter_ms(retry_after_ms: int, gateway: GatewayInterface) -> int:
    """Add jitter to a retry-after time, so that callers do not all retry at once."""
    return round(retry_after_ms * gateway.rng.uniform(*RETRY_JITTER))


def defer_retry_ms(request: CallerRequest, min_ms: int) -> int:
    """Return when a caller should retry in an outage of unknown length, in milliseconds."""
    if request.timeout_ms is None:
        return min_ms
    return max(min_ms, round(OUTAGE_TIME_FRACTION * request.timeout_ms))


def retry_once_open_ms(wait_ms: float, min_ms: int, request: CallerRequest) -> int:
    """
    Return when to retry a request that can be served after a time, before jitter is applied.

    :param wait_ms: milliseconds until then, infinite if unknown; the jitter makes nobody early
    """
    if wait_ms == math.inf:
        return defer_retry_ms(request, NO_REPLICA_RETRY_MS)
    return max(min_ms, math.ceil(wait_ms / min(RETRY_JITTER)))
