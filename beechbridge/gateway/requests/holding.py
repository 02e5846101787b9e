"""Which sends have to wait until a replica has answered the request, and so has not ended."""

from ..interface import GatewayInterface
from .suspicion import Verdict
from .works import GatherWork, Task


def is_convicted(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a request is known to end the replicas that run it."""
    verdict = gateway.suspicions.judge(task.work.digest, gateway.now_ms)
    return verdict is Verdict.CONVICTED


def is_held_back(task: Task) -> bool:
    """
    Return whether a task has to wait for the answer of another shard.

    Until a gather has got its first answer, no shard is sent it twice, and nothing is sent after a
    loss: a request that ends replicas then ends one copy of each shard, not all.
    """
    work = task.work
    if not isinstance(work, GatherWork) or work.is_vindicated:
        return False
    if work.is_trial:
        return task is not work.trial_task or bool(task.exchanges)
    return work.has_losses or bool(task.exchanges)


def hold_task(task: Task) -> None:
    """Let a task wait, unless it is under way."""
    if not task.exchanges and task not in task.work.held_tasks:
        task.is_waiting = True
        task.work.held_tasks.append(task)
