"""Simulated replicas and VMs of the emulator, and the messages between them."""

import enum

from beechbridge.gateway.actions import SendOrder, SendRelay, SendRequest, WriteLine
from beechbridge.gateway.models import CallerRequest, ReplicaEntry
from beechbridge.gateway.node import Gateway
from beechbridge.gateway.statements import LoadReport, Notice

from .notice_log import ColdLog, NoticeLog

NO_PAUSE_MS = float('inf')
LONG_FACTOR = 5.0
PAUSE_RESOLUTION_MS = 1e-6
"""Shorter rests of a pause count as none: added to the time, they would not change it, and the
pause would never end."""


class ReplicaSpec:
    """
    Behaviour of a simulated replica.

    :param slots: number of requests that it processes concurrently
    :param queue_limit: maximum number of queued requests; further ones are rejected
    :param pause_ms: length of a pause in milliseconds, one in each `pause_every_ms`
    :param slow_factor: factor on the processing time
    :param reject_share: share of requests that it rejects without running them
    :param is_dark: whether it never replies
    :param limit_per_s: limit that it names in its replies, None for none
    :param is_leaving: whether it states that it is about to stop
    :param retry_after_ms: what it adds to its rejections, None for nothing
    :param cold_until_ms: time in milliseconds until which it is cold, None if it does not say
    :param reports_load: whether its replies report its load
    :param reported_load: what they report instead of the truth, None for the truth
    :param spread: standard deviation of the logarithm of the processing time
    :param long_share: share of requests that take `LONG_FACTOR` times as long
    """

    __slots__ = (
        'cold_until_ms',
        'is_dark',
        'is_leaving',
        'limit_per_s',
        'long_share',
        'pause_every_ms',
        'pause_ms',
        'queue_limit',
        'reject_share',
        'reported_load',
        'reports_load',
        'retry_after_ms',
        'slots',
        'slow_factor',
        'spread',
    )

    def __init__(
        self,
        slots: int = 2,
        queue_limit: int = 12,
        pause_ms: float = 0.0,
        pause_every_ms: float = NO_PAUSE_MS,
        slow_factor: float = 1.0,
        reject_share: float = 0.0,
        is_dark: bool = False,
        limit_per_s: float | None = None,
        is_leaving: bool = False,
        retry_after_ms: float | None = None,
        cold_until_ms: float | None = None,
        reports_load: bool = False,
        spread: float = 0.35,
        long_share: float = 0.0,
    ):
        self.cold_until_ms = cold_until_ms
        self.reports_load = reports_load
        self.reported_load: LoadReport | None = None
        self.spread = spread
        self.long_share = long_share
        self.slots = slots
        self.queue_limit = queue_limit
        self.pause_ms = pause_ms
        self.pause_every_ms = pause_every_ms
        self.slow_factor = slow_factor
        self.reject_share = reject_share
        self.is_dark = is_dark
        self.limit_per_s = limit_per_s
        self.is_leaving = is_leaving
        self.retry_after_ms = retry_after_ms

    def make_notice(
        self, is_rejection: bool, now_ms: float = 0.0, running: int = 0, waiting: int = 0
    ) -> Notice | None:
        """Return what the replica states about itself in a reply, with the load that it has."""
        load = None
        if self.reports_load:
            load = self.reported_load or LoadReport(running, waiting, self.slots)
        retry_after_ms = self.retry_after_ms if is_rejection else None
        cold_ms = None
        if self.cold_until_ms is not None:
            cold_ms = max(0.0, self.cold_until_ms - now_ms)
        stated = (self.limit_per_s, retry_after_ms, cold_ms, load)
        if stated == (None,) * 4 and not self.is_leaving:
            return None
        return Notice(self.limit_per_s, False, self.is_leaving, retry_after_ms, cold_ms, load)


class EmulatedReplica:
    """
    One simulated replica with its queue, its running requests and its connections.

    :param notice_log: what reaches it since it stated something about itself, None before
    :param is_down: whether its process has ended and has not started again
    :param ends: time in milliseconds and the request, for each end of its process under a request
    """

    __slots__ = (
        'arrivals',
        'ends',
        'entry',
        'is_down',
        'notice_log',
        'open_connections',
        'phase_ms',
        'queue',
        'running',
        'spec',
    )

    def __init__(self, entry: ReplicaEntry, spec: ReplicaSpec, phase_ms: float):
        self.entry = entry
        self.spec = spec
        self.phase_ms = phase_ms
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.arrivals: list[tuple[float, CallerRequest]] = []
        self.open_connections: set[tuple[str, int]] = set()
        self.notice_log: NoticeLog | None = None
        self.is_down = False
        self.ends: list[tuple[float, CallerRequest]] = []

    def name_limit(self, limit_per_s: float | None, now_ms: float) -> None:
        """Name a limit from now on, or none."""
        self.spec.limit_per_s = limit_per_s
        self.notice_log = None if limit_per_s is None else NoticeLog(now_ms, limit_per_s)

    def turn_cold(self, now_ms: float, for_ms: float, bound: float) -> None:
        """
        Be cold from now on and say so.

        :param bound: requests that it may get in one second
        """
        self.spec.cold_until_ms = now_ms + for_ms
        self.notice_log = ColdLog(now_ms, bound)

    def leave(self, now_ms: float) -> None:
        """Say from now on that it leaves."""
        self.spec.is_leaving = True
        self.notice_log = NoticeLog(now_ms)

    def remaining_pause_ms(self, now_ms: float) -> float:
        """Return the remaining time of the current pause, 0 outside of one."""
        if self.spec.pause_every_ms == NO_PAUSE_MS:
            return 0.0
        elapsed_ms = (now_ms + self.phase_ms) % self.spec.pause_every_ms
        left_ms = self.spec.pause_ms - elapsed_ms
        return left_ms if left_ms > PAUSE_RESOLUTION_MS else 0.0


class Job:
    """
    One request sent to a replica.

    :param is_sent: whether its connection is open
    """

    __slots__ = ('action', 'is_cancelled', 'is_sent', 'replica', 'vm')

    def __init__(self, action: SendRequest, vm: 'EmulatedVm', replica: EmulatedReplica):
        self.action = action
        self.vm = vm
        self.replica = replica
        self.is_cancelled = False
        self.is_sent = not action.is_new


class EmulatedOrder:
    """
    One order or relay between two VMs.

    :param key: identifies it at the VM that receives it
    :param is_sent: whether its connection is open
    """

    __slots__ = ('action', 'is_cancelled', 'is_sent', 'key', 'target', 'vm')

    def __init__(
        self, action: SendOrder | SendRelay, vm: 'EmulatedVm', target: 'EmulatedVm', key: int
    ):
        self.action = action
        self.vm = vm
        self.target = target
        self.key = key
        self.is_cancelled = False
        self.is_sent = not action.is_new


class Cut(enum.Enum):
    """How the links between a VM and all replicas fail."""

    SILENT = 'silent'
    RESET = 'reset'
    """Open connections are reset, new ones do not open."""

    REFUSED = 'refused'
    """Open connections live on, new ones are refused."""


class EmulatedVm:
    """
    One gateway with its orders, answers and log lines.

    :param cut: how it is cut off from all replicas, None if it is not
    :param exited_ms: time in milliseconds at which its process wanted to exit, None before
    :param frozen_until_ms: time in milliseconds until which it stands still
    :param link_bytes_per_ms: speed of its link in each direction, for store changes and heartbeats
    :param link_free_ms: time in milliseconds at which all that it has sent is on its way
    :param sent_orders: orders and relays to other VMs, by connection id
    :param received_orders: orders and relays from other VMs, by key
    """

    __slots__ = (
        'answers',
        'cut',
        'exited_ms',
        'frozen_until_ms',
        'gateway',
        'is_following',
        'is_up',
        'jobs',
        'lines',
        'link_bytes_per_ms',
        'link_free_ms',
        'received_orders',
        'sent_orders',
        'timer_ms',
    )

    def __init__(self, gateway: Gateway):
        self.gateway = gateway
        self.cut: Cut | None = None
        self.exited_ms: float | None = None
        self.frozen_until_ms = 0.0
        self.sent_orders: dict[int, EmulatedOrder] = {}
        self.received_orders: dict[int, EmulatedOrder] = {}
        self.answers: dict[int, tuple[float, object]] = {}
        self.jobs: dict[int, Job] = {}
        self.lines: list[WriteLine] = []
        self.timer_ms = float('inf')
        self.is_up = True
        self.is_following = False
        self.link_bytes_per_ms = float('inf')
        self.link_free_ms = 0.0

    @property
    def is_silenced(self) -> bool:
        """Return whether nothing comes through between it and any replica."""
        return self.cut in (Cut.SILENT, Cut.RESET)


def region_of(zone: str) -> str:
    """Return the region of a data centre."""
    return zone.partition('-')[0]
