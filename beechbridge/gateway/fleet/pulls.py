"""Pulls of store changes from other VMs: when to pull, from whom, and what came of it."""

from ...failures import Failure
from ...record import Record
from ..actions import PullChanges, WriteLine
from ..events import HeartbeatReceived, PullEnded
from ..interface import GatewayInterface
from ..member import Member

PULL_DELAY_MS = 500.0
"""Time for which a newer revision of another VM is left to arrive from the store or the follower
before it is pulled."""

PULL_INTERVAL_MS = 250.0
"""Minimum time between the starts of two pulls."""

PENDING_TIMEOUT_MS = 5_000.0
"""Time after which a pull whose end was not reported no longer holds up the next one."""

FAILED_PEER_DELAY_MS = 1_000.0
"""Time for which a VM whose changes did not arrive is not asked again."""


class PullTimer(Record):
    """
    Fires when changes that were left to arrive in another way are due to be pulled.

    :param position: epoch and revision that another VM has
    """

    __slots__ = ('host', 'position')

    def __init__(self, host: str, position: tuple[int, int]):
        self.host = host
        self.position = position


class Pulls:
    """
    Pulls of one VM, one at a time: a second one would only compete with the first for the link.

    :param behind_since_ms: time in milliseconds since which another VM has a newer revision, None
        if none has
    :param pending: pull that has not ended, None if there is none
    :param is_scheduled: whether a timer for a pull is armed
    :param failed_ms: time in milliseconds of the last failed pull, by host
    """

    __slots__ = ('behind_since_ms', 'failed_ms', 'is_scheduled', 'last_pull_ms', 'pending')

    def __init__(self):
        self.behind_since_ms: float | None = None
        self.last_pull_ms = -PULL_INTERVAL_MS
        self.pending: PullChanges | None = None
        self.is_scheduled = False
        self.failed_ms: dict[str, float] = {}

    def can_ask(self, host: str, now_ms: float) -> bool:
        """Return whether to pull from a VM now."""
        interval_ms = PULL_INTERVAL_MS if self.pending is None else PENDING_TIMEOUT_MS
        if now_ms - self.last_pull_ms < interval_ms:
            return False
        failed_ms = self.failed_ms.get(host)
        return failed_ms is None or now_ms - failed_ms >= FAILED_PEER_DELAY_MS


def pull_if_behind(event: HeartbeatReceived, sender: Member, gateway: GatewayInterface) -> None:
    """Pull changes from a VM that has had a newer revision for long enough."""
    pulls = gateway.pulls
    now_ms = gateway.now_ms
    version = gateway.table.version if gateway.table else 0
    is_newer = (event.epoch, event.revision) > gateway.view.position
    if not is_newer and event.table_version <= version:
        if sender.reaches_store:
            gateway.last_update_ms = now_ms
        return
    if pulls.behind_since_ms is None:
        pulls.behind_since_ms = now_ms
    is_following = gateway.gossip.is_following
    is_follower_update = not is_following and gateway.fleet.is_in_zone(sender)
    is_cut_off = is_following and not gateway.store.is_reached
    is_urgent = gateway.table is None or is_cut_off or is_follower_update
    if not is_urgent and now_ms - pulls.behind_since_ms < PULL_DELAY_MS:
        schedule_pull(event, sender, gateway)
        return
    start_pull(sender.host, gateway)


def schedule_pull(event: HeartbeatReceived, sender: Member, gateway: GatewayInterface) -> None:
    """
    In a large fleet, pull from a VM once the delay is over, if that is still necessary.

    Messages of other data centres come every 2 s there, each to one of the VMs: to wait for a
    second one at the same VM took an item up to 6.5 s to a region that had lost the store.
    """
    pulls = gateway.pulls
    if gateway.fleet.is_mesh or pulls.is_scheduled:
        return
    pulls.is_scheduled = True
    timer = PullTimer(sender.host, (event.epoch, event.revision))
    gateway.timers.arm(pulls.behind_since_ms + PULL_DELAY_MS, timer)


def fire_pull(timer: PullTimer, gateway: GatewayInterface) -> None:
    """Pull from a VM unless this one has caught up."""
    gateway.pulls.is_scheduled = False
    if timer.position > gateway.view.position:
        start_pull(timer.host, gateway)


def start_pull(host: str, gateway: GatewayInterface) -> None:
    """Pull from a VM, unless another pull is under way or its last one has just failed."""
    pulls = gateway.pulls
    if not pulls.can_ask(host, gateway.now_ms):
        return
    pulls.last_pull_ms = gateway.now_ms
    view = gateway.view
    pulls.pending = PullChanges(host, view.revision, view.epoch, view.dictionaries.latest)
    gateway.act(pulls.pending)


def mark_caught_up(gateway: GatewayInterface) -> None:
    """Record that this VM is no longer behind: changes have just been applied."""
    gateway.pulls.behind_since_ms = None


def record_pull(event: PullEnded, gateway: GatewayInterface) -> None:
    """Count a pull that ended, and log what it brought."""
    pulls = gateway.pulls
    pull = event.pull
    if pull is pulls.pending:
        pulls.pending = None
    fields = {'peer': pull.host, 'after': pull.revision, 'epoch': pull.epoch}
    figures = {'bytes': event.byte_count, 'ms': round(event.elapsed_ms, 1)}
    gateway.counters.add('pulled_bytes', amount=event.byte_count)
    gateway.pull_latencies.add(event.elapsed_ms)
    result = event.result
    if isinstance(result, Failure):
        pulls.failed_ms[pull.host] = gateway.now_ms
        gateway.counters.add('pulls', 'failed')
        gateway.act(WriteLine('pull_failed', {**fields, **figures, 'cause': result.detail}))
        return
    pulls.failed_ms.pop(pull.host, None)
    gateway.counters.add('pulls', 'ok')
    received = {'revision': result.revision, 'changes': len(result.changes)}
    gateway.act(WriteLine('changes_pulled', {**fields, **received, **figures}))
