"""Keeps requests away from replicas that seem to be in a pause, if there is another one."""

from ..interface import GatewayInterface
from ..replicas.limits import is_available
from ..replicas.pauses import is_pausing
from .candidates import list_usable
from .works import Task


def avoided_replicas(task: Task, gateway: GatewayInterface) -> set[int]:
    """Return the `id()` of the states not to choose for a task: those tried, those in a pause."""
    excluded = task.excluded_replicas
    if not gateway.answer_time.is_in_force:
        return excluded
    now_ms = gateway.now_ms
    upstreams = gateway.upstreams
    pausing = {
        id(state)
        for state in upstreams.by_service.get(task.service, ())
        if state.busy and is_pausing(state, upstreams, now_ms)
    }
    if not pausing:
        return excluded
    share = gateway.connection_share(task.service)
    for state in list_usable(task, gateway):
        if id(state) in excluded or id(state) in pausing:
            continue
        if not is_available(state, gateway):
            continue
        if len(state.busy) < share and not state.is_suspect(now_ms):
            gateway.counters.add('pauses_avoided')
            return excluded | pausing
    return excluded
