"""Sub-requests that are queued for a connection to a replica of their service."""

import heapq

from ..interface import GatewayInterface
from .candidates import allowed_zones
from .progress import resume_task
from .room_queue import has_time, pop_waiting


def dispatch_waiting(service: str, gateway: GatewayInterface) -> None:
    """
    Dispatch the tasks queued for a connection to a service; close those that cannot be sent.

    A task that still has to wait holds up those behind it, unless home regions bind it to replicas
    that are busy or out of reach and the others may be sent elsewhere.
    """
    blocked: list[frozenset[str]] = []
    passed_over = []
    try:
        while (queued := pop_waiting(service, gateway)) is not None:
            task = queued[3]
            if not task.is_open or task.work.is_finished or task.exchanges:
                task.is_waiting = False
                continue
            zones = allowed_zones(task.work, gateway)
            if zones is not None and any(zones <= other for other in blocked):
                passed_over.append(queued)
                continue
            task.is_waiting = False
            task.is_next = True
            resume_task(task, gateway, may_retry=has_time(task, gateway))
            task.is_next = False
            if not task.is_waiting:
                continue
            if zones is None:
                return
            blocked.append(zones)
    finally:
        for queued in passed_over:
            heapq.heappush(gateway.waiting[service], queued)


def dispatch_stranded(gateway: GatewayInterface) -> None:
    """
    Dispatch the queues of all services, where requests are queued for room.

    The end of an exchange does so, too. But the task that is then taken may have to wait for a
    permit or a retry and fail, after which nothing that is in flight would wake those behind it.
    """
    if not gateway.answer_time.is_in_force:
        return
    for service in list(gateway.waiting):
        dispatch_waiting(service, gateway)
