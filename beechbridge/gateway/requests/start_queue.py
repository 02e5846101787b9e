"""
Requests that arrive after a start, before this VM has a routing table.

The load that this answers: all VMs lost power and start together, and clients come back at their
old addresses at once. The table arrives within some 300 ms, from the store or another VM; until
then every request was rejected, which cost its client an attempt and at least as long a wait. A
bounded number of them is held instead, each for a part of the time that its client waits.
"""

import math

from ...record import Record
from ..events import RequestReceived
from ..interface import GatewayInterface
from .retry_times import OUTAGE_TIME_FRACTION, RETRY_JITTER, defer_retry_ms

NOT_READY_RETRY_MS = 300
TABLE_DELAY_MS = 500.0
"""Time after a start within which a routing table arrives if there is anyone to get it from."""

MAX_HELD_REQUESTS = 100
"""Limit on the requests that wait for the table: all of them are sent when it arrives."""

MIN_HOLD_MS = 10.0
MIN_RETRY_MS = 50.0


class StartTimer(Record):
    """
    Fires when requests that wait for the routing table are to be served or rejected.

    :param key: the one whose time is over, None for all, once the table has arrived
    """

    __slots__ = ('key',)

    def __init__(self, key: int | None):
        self.key = key


class StartQueue:
    """
    Requests that wait for the routing table.

    :param held: requests by key, in the order of their arrival
    """

    __slots__ = ('held',)

    def __init__(self):
        self.held: dict[int, RequestReceived] = {}

    def pop(self, key: int | None) -> list[RequestReceived]:
        """Remove and return one request, or all of them, those with the least time first."""
        if key is not None:
            event = self.held.pop(key, None)
            return [] if event is None else [event]
        held, self.held = list(self.held.values()), {}
        return sorted(held, key=until_ms)


def until_ms(event: RequestReceived) -> float:
    """Return the time in milliseconds until which a request's client waits."""
    timeout_ms = event.request.timeout_ms
    return event.read_ms + (math.inf if timeout_ms is None else timeout_ms)


def is_table_near(gateway: GatewayInterface) -> bool:
    """Return whether the routing table is expected shortly."""
    age_ms = gateway.now_ms - gateway.started_ms
    return age_ms < TABLE_DELAY_MS and not gateway.store.is_failing


def hold_request(event: RequestReceived, gateway: GatewayInterface) -> bool:
    """Hold a request until the routing table arrives, if that helps; return whether it is held."""
    queue = gateway.start_queue
    if gateway.table is not None or not gateway.answer_time.is_in_force:
        return False
    if not is_table_near(gateway):
        return False
    if gateway.stopping.is_leaving or len(queue.held) >= MAX_HELD_REQUESTS:
        return False
    now_ms = gateway.now_ms
    if event.read_ms is None:
        event.read_ms = now_ms
    due_ms = gateway.started_ms + TABLE_DELAY_MS
    if event.request.timeout_ms is not None:
        due_ms = min(due_ms, event.read_ms + OUTAGE_TIME_FRACTION * event.request.timeout_ms)
    if due_ms - now_ms < MIN_HOLD_MS:
        return False
    queue.held[event.key] = event
    gateway.counters.add('requests_held')
    gateway.timers.arm(due_ms, StartTimer(event.key))
    return True


def release_requests(gateway: GatewayInterface) -> None:
    """Let the requests go on that waited for the routing table, after this event."""
    if gateway.start_queue.held:
        gateway.timers.arm(gateway.now_ms, StartTimer(None))


def retry_without_table_ms(event: RequestReceived, gateway: GatewayInterface) -> int:
    """Return when to retry a request that no routing table is there for, before jitter."""
    if not is_table_near(gateway):
        return defer_retry_ms(event.request, NOT_READY_RETRY_MS)
    if not gateway.answer_time.is_in_force:
        return NOT_READY_RETRY_MS
    wait_ms = max(MIN_RETRY_MS, gateway.started_ms + TABLE_DELAY_MS - gateway.now_ms)
    return math.ceil(wait_ms / min(RETRY_JITTER))
