"""Tasks that wait for permits of the keepers of limits."""

from ...record import Record
from ..interface import GatewayInterface
from ..replicas.upstreams import ReplicaState
from .works import Task


class PermitRequest(Record):
    """A task that waits for a permit for a replica."""

    __slots__ = ('state', 'task')

    def __init__(self, task: Task, state: ReplicaState):
        self.task = task
        self.state = state


class PermitRequests:
    """
    Permits that this VM asks for.

    :param pending: requests of the current event, by work and data centre
    :param batches: requests that were sent, by batch ID
    :param next_id: ID of the latest batch; an answer may be to an earlier process
    """

    __slots__ = ('batches', 'next_id', 'pending')

    def __init__(self, incarnation: int):
        self.pending: dict[tuple[int, str], list[PermitRequest]] = {}
        self.batches: dict[int, list[PermitRequest]] = {}
        self.next_id = incarnation


def request_permit(task: Task, state: ReplicaState, gateway: GatewayInterface) -> None:
    """Let a task wait for a permit for a replica; it is asked for at the end of the event."""
    task.is_waiting = True
    key = (task.work.key, state.entry.zone)
    gateway.permit_requests.pending.setdefault(key, []).append(PermitRequest(task, state))
