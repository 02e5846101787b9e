"""
Applies the rules of `room` to the requests of this VM, except to gathers.

The parts of a gather are sent at once: its latency goal is served by `gather_timing`, and a part
that waits here for a replica in its pause would miss it. They are not counted either: as they do
not keep to the limit, they could otherwise use it up for good.
"""

import heapq
import math

from ..interface import GatewayInterface
from ..replicas.connections import Exchange
from ..replicas.expected_work import known_slots
from .room import MIN_SLOTS, WORK_FACTOR, Room, take_next
from .works import Task, Work

TIME_FACTOR = 1.5
"""Multiple of its work that a request needs: one that is sent too late ends in a 504, which leaves
its client in doubt, where a rejection would not."""

UNKNOWN_WORK_MS = 15.0
"""Assumed work of a request until a reply to one of its route was measured."""


def room_of(service: str, gateway: GatewayInterface) -> Room:
    """Return the room of a service."""
    room = gateway.rooms.get(service)
    if room is None:
        room = gateway.rooms[service] = Room()
    return room


def revise_rooms(gateway: GatewayInterface) -> None:
    """
    Adapt the rooms to a new routing table.

    Those of services that it no longer has are dropped, once nothing is at their replicas. Which
    class is the most urgent is learned anew: another one may be, if its routes were removed.
    """
    for service, room in list(gateway.rooms.items()):
        room.most_urgent = math.inf
        if service not in gateway.table.services and not room.sent_count:
            del gateway.rooms[service]


def work_ms(route_name: str, gateway: GatewayInterface) -> float:
    """Return the latency in ms of a route's requests at the nearest replica without load."""
    for distance in (0, 1, 2):
        estimate = gateway.upstreams.route_latencies.get((route_name, distance))
        if estimate is not None and estimate.unloaded_ms < math.inf:
            return WORK_FACTOR * estimate.unloaded_ms
    return UNKNOWN_WORK_MS


def has_room(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a task may be sent now as far as the load of its service goes."""
    route = task.work.route
    if task.is_next or route.is_gather or not gateway.answer_time.is_in_force:
        return True
    room = room_of(task.service, gateway)
    room.most_urgent = min(room.most_urgent, route.priority)
    return room.has_room(route.priority <= room.most_urgent)


def find_wait_ms(task: Task, gateway: GatewayInterface) -> float:
    """Return how long a task that is queued now waits in milliseconds."""
    work = task.work
    own = (work.route.priority, work.soft_at_ms)
    ahead_ms = 0.0
    for entry in gateway.waiting.get(task.service, ()):
        if entry[:2] <= own and is_live(entry):
            ahead_ms += work_ms(entry[3].work.route.name, gateway)
    return room_of(task.service, gateway).wait_ms(ahead_ms)


def may_finish(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a task that is queued now is expected to be answered in its time."""
    work = task.work
    if work.route.is_gather or not gateway.answer_time.is_in_force:
        return True
    needed_ms = find_wait_ms(task, gateway) + TIME_FACTOR * work_ms(work.route.name, gateway)
    if gateway.now_ms + needed_ms <= work.hard_at_ms:
        return True
    gateway.counters.add('requests_without_room', work.route.name)
    return False


def has_time(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a queued task can still be answered in its time if it is sent now."""
    work = task.work
    if work.route.is_gather or not gateway.answer_time.is_in_force:
        return True
    needed_ms = TIME_FACTOR * work_ms(work.route.name, gateway)
    if gateway.now_ms + needed_ms <= work.hard_at_ms:
        return True
    gateway.counters.add('requests_without_time', work.route.name)
    return False


def is_live(entry: tuple) -> bool:
    """Return whether the client of a queued task still waits for it."""
    task = entry[3]
    return task.is_open and not task.work.is_finished and not task.exchanges


def is_exempt(entry: tuple) -> bool:
    """Return whether a queued task needs no room: parts of gathers wait for a connection only."""
    return entry[3].work.route.is_gather


def drop_ended(queue: list[tuple]) -> None:
    """Remove the tasks that are no longer wanted, or that were sent on another occasion."""
    live = []
    for entry in queue:
        if is_live(entry):
            live.append(entry)
            continue
        entry[3].is_waiting = False
    queue[:] = live


def pop_waiting(service: str, gateway: GatewayInterface) -> tuple | None:
    """Remove and return the queue's entry that is sent next, None if there is none."""
    queue = gateway.waiting.get(service)
    if not queue:
        return None
    if not gateway.answer_time.is_in_force:
        return heapq.heappop(queue)
    drop_ended(queue)
    return take_next(queue, room_of(service, gateway), is_exempt, gateway.now_ms)


def record_begin(task: Task, gateway: GatewayInterface) -> None:
    """Count a request that is sent to a replica."""
    if gateway.answer_time.is_in_force and not task.work.route.is_gather:
        room_of(task.service, gateway).begin()


def record_end(exchange: Exchange, gateway: GatewayInterface) -> None:
    """Count a request at a replica that has ended."""
    room = gateway.rooms.get(exchange.replica.entry.service)
    if room is not None and not exchange.owner.work.route.is_gather:
        room.end()


def record_reply(exchange: Exchange, latency_ms: float, gateway: GatewayInterface) -> None:
    """Learn from the latency of a successful reply."""
    work = exchange.owner.work
    if exchange.is_new or work.route.is_gather or not gateway.answer_time.is_in_force:
        return
    key = (work.route.name, exchange.replica.distance)
    estimate = gateway.upstreams.route_latencies.get(key)
    if estimate is not None and estimate.unloaded_ms < math.inf:
        service = exchange.replica.entry.service
        room_of(service, gateway).record(latency_ms, estimate.unloaded_ms)
        adjust_room(service, gateway)


def record_rejection(exchange: Exchange, gateway: GatewayInterface) -> None:
    """Learn from a replica that had no room for a request."""
    if gateway.answer_time.is_in_force and not exchange.owner.work.route.is_gather:
        service = exchange.replica.entry.service
        room_of(service, gateway).record_rejection()
        adjust_room(service, gateway)


def adjust_room(service: str, gateway: GatewayInterface) -> None:
    """Adjust the limit of a service if it is due."""
    room = gateway.rooms[service]
    if room.is_due:
        slot_count = 0.0
        for state in gateway.upstreams.usable(service):
            slot_count += max(MIN_SLOTS, known_slots(state, gateway.now_ms))
        room.adjust(slot_count / max(1, gateway.sharing_count))


def describe_room(work: Work, gateway: GatewayInterface) -> dict:
    """Return the log fields that explain a decision about room, empty where none was made."""
    room = gateway.rooms.get(work.tasks[0].service)
    if room is None or work.route.is_gather or room.limit == math.inf:
        return {}
    waiting_count = len(gateway.waiting.get(work.tasks[0].service, ()))
    return {
        'room_limit': round(room.limit, 1),
        'room_sent': room.sent_count,
        'room_waiting': waiting_count,
    }


def find_return_ms(work: Work, gateway: GatewayInterface) -> int | None:
    """Return when a client is to return for which there is no room, None by the usual rules."""
    if work.route.is_gather or not gateway.answer_time.is_in_force:
        return None
    left_ms = max(0.0, work.hard_at_ms - gateway.now_ms)
    room = room_of(work.tasks[0].service, gateway)
    cost_ms = work_ms(work.route.name, gateway)
    return round(room.schedule_return_ms(work.route.priority, cost_ms, left_ms, gateway.now_ms))
