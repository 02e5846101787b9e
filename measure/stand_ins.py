"""What stands in for replicas and processes in the emulator, and what they exchange."""

from beechbridge.gateway.actions import SendOrder, SendRequest, WriteLine
from beechbridge.gateway.models import ReplicaEntry
from beechbridge.gateway.node import Gateway

NO_PAUSE_MS = float('inf')


class ReplicaSpec:
    """
    How a stand-in replica behaves.

    :param pause_ms: length of its pauses, one in each `pause_every_ms`
    :param slow_factor: multiple of the usual work
    :param reject_share: share of requests that it rejects without running them
    :param is_dark: whether it answers nothing at all
    """

    __slots__ = (
        'is_dark',
        'pause_every_ms',
        'pause_ms',
        'queue_limit',
        'reject_share',
        'slots',
        'slow_factor',
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
    ):
        self.slots = slots
        self.queue_limit = queue_limit
        self.pause_ms = pause_ms
        self.pause_every_ms = pause_every_ms
        self.slow_factor = slow_factor
        self.reject_share = reject_share
        self.is_dark = is_dark


class StandIn:
    """One stand-in replica and what it was asked."""

    __slots__ = ('arrivals', 'entry', 'open_connections', 'phase_ms', 'queue', 'running', 'spec')

    def __init__(self, entry: ReplicaEntry, spec: ReplicaSpec, phase_ms: float):
        self.entry = entry
        self.spec = spec
        self.phase_ms = phase_ms
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.arrivals: list[tuple[float, str]] = []
        self.open_connections: set[tuple[str, int]] = set()

    def pause_left_ms(self, now_ms: float) -> float:
        """Return how long the pause of this moment lasts, 0 outside of one."""
        if self.spec.pause_every_ms == NO_PAUSE_MS:
            return 0.0
        into_ms = (now_ms + self.phase_ms) % self.spec.pause_every_ms
        return max(0.0, self.spec.pause_ms - into_ms)


class Job:
    """One request at a replica."""

    __slots__ = ('action', 'is_cancelled', 'replica', 'vm')

    def __init__(self, action: SendRequest, vm: 'EmulatedVm', replica: StandIn):
        self.action = action
        self.vm = vm
        self.replica = replica
        self.is_cancelled = False


class PlacedOrder:
    """
    One order of parts between two VMs.

    :param key: names it at the VM that was asked
    """

    __slots__ = ('action', 'is_cancelled', 'key', 'target', 'vm')

    def __init__(self, action: SendOrder, vm: 'EmulatedVm', target: 'EmulatedVm', key: int):
        self.action = action
        self.vm = vm
        self.target = target
        self.key = key
        self.is_cancelled = False


class EmulatedVm:
    """
    One gateway, its answers and its log lines.

    :param placed: orders by the connection that carries them
    :param taken: orders of other VMs by their key here
    """

    __slots__ = (
        'answers',
        'gateway',
        'is_following',
        'is_up',
        'jobs',
        'lines',
        'placed',
        'taken',
        'timer_ms',
    )

    def __init__(self, gateway: Gateway):
        self.gateway = gateway
        self.placed: dict[int, PlacedOrder] = {}
        self.taken: dict[int, PlacedOrder] = {}
        self.answers: dict[int, tuple[float, object]] = {}
        self.jobs: dict[int, Job] = {}
        self.lines: list[WriteLine] = []
        self.timer_ms = float('inf')
        self.is_up = True
        self.is_following = False


def region_of(zone: str) -> str:
    """Return the region of a data centre."""
    return zone.partition('-')[0]
