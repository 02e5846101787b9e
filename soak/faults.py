"""Faults of a run, drawn from its seed; they come in series and overlap."""

import asyncio
import signal
import time

from .fleet import GRACE_S, Vm

FAULT_GAP_S = (0.3, 2.0)
KINDS = (
    'kill_vm',
    'pause_vm',
    'stop_vm',
    'reload_vm',
    'reset_links',
    'silence_links',
    'delay_links',
    'cut_links',
    'slow_replica',
    'lossy_replica',
    'drain_replica',
    'remove_replica',
    'store_down',
    'store_refuses',
    'store_slow',
    'compact_store',
    'change_table',
    'reshard',
)
"""Kinds of fault; each is a method of `Faults`."""


class Faults:
    """
    Applies faults to a deployment until told to end.

    :param soak: the deployment, see `run.Soak`
    :param kinds: kinds of fault to draw from
    """

    def __init__(self, soak, rng, kinds: tuple[str, ...] = KINDS):
        self.soak = soak
        self.rng = rng
        self.kinds = kinds
        self.is_ended = False
        self.tasks: set[asyncio.Task] = set()
        self.played: list[str] = []

    async def run(self) -> None:
        """Start one fault after the other; earlier ones go on meanwhile."""
        while not self.is_ended:
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            name = self.rng.choice(self.kinds)
            self.played.append(name)
            task = asyncio.create_task(getattr(self, name)(self.rng.uniform(0.5, 4.0)))
            self.tasks.add(task)
        await asyncio.gather(*self.tasks)

    def disturb(self, name: str, for_s: float) -> None:
        """Write down that a VM, or all of them, are under a fault."""
        now_s = time.monotonic()
        self.soak.ledger.disturbed[name].append((now_s, now_s + for_s))

    def pick_vm(self) -> Vm:
        """Return a VM."""
        return self.rng.choice(self.soak.vms)

    async def kill_vm(self, for_s: float) -> None:
        """Kill a process and start it again."""
        vm = self.pick_vm()
        if vm.is_stopping:
            return
        vm.is_stopping = True
        self.disturb(vm.name, for_s + 2.0)
        vm.kill()
        await asyncio.sleep(for_s)
        vm.start()

    async def pause_vm(self, for_s: float) -> None:
        """Let a process stand still."""
        vm = self.pick_vm()
        if vm.is_stopping:
            return
        self.disturb(vm.name, for_s + 1.0)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        vm.signal(signal.SIGCONT)

    async def stop_vm(self, for_s: float) -> None:
        """Stop a process as planned, and start it again."""
        vm = self.pick_vm()
        if vm.is_stopping:
            return
        vm.is_stopping = True
        vm.signal(signal.SIGTERM)
        asked_s = time.monotonic()
        if not await vm.wait_ended(GRACE_S):
            is_known = self.soak.ledger.is_disturbed(vm.name, asked_s, time.monotonic())
            if self.soak.is_timed and not is_known:
                self.soak.broken.append(f'{vm.name} did not end within its grace')
            vm.kill()
        vm.start()

    async def reload_vm(self, for_s: float) -> None:
        """Tell a process that its settings may have changed."""
        self.pick_vm().signal(signal.SIGHUP)

    async def reset_links(self, for_s: float) -> None:
        """Reset the links to a replica or to the store."""
        proxy = self.rng.choice(self.soak.proxies)
        self.disturb('all', 0.5)
        proxy.reset()

    async def silence_links(self, for_s: float) -> None:
        """Let open links go silent for good."""
        self.disturb('all', 4.0)
        self.rng.choice(self.soak.proxies).silence()

    async def delay_links(self, for_s: float) -> None:
        """Hold up what is said on a link."""
        proxy = self.rng.choice(self.soak.proxies)
        self.disturb('all', for_s)
        proxy.delay_s = self.rng.uniform(0.01, 0.3)
        await asyncio.sleep(for_s)
        proxy.delay_s = 0.0

    async def cut_links(self, for_s: float) -> None:
        """Drop one direction of a link."""
        proxy = self.rng.choice(self.soak.proxies)
        self.disturb('all', for_s)
        attribute = self.rng.choice(('is_deaf', 'is_mute'))
        setattr(proxy, attribute, True)
        await asyncio.sleep(for_s)
        setattr(proxy, attribute, False)
        proxy.reset()

    async def slow_replica(self, for_s: float) -> None:
        """Let a replica take longer."""
        replica = self.rng.choice(self.soak.replicas)
        replica.work_factor = self.rng.uniform(3.0, 20.0)
        await asyncio.sleep(for_s)
        replica.work_factor = 1.0

    async def lossy_replica(self, for_s: float) -> None:
        """Let a replica lose answers, reject requests, or answer twice."""
        replica = self.rng.choice(self.soak.replicas)
        attribute = self.rng.choice(('lose_share', 'reject_share', 'late_share'))
        setattr(replica, attribute, 0.4)
        await asyncio.sleep(for_s)
        setattr(replica, attribute, 0.0)

    async def drain_replica(self, for_s: float) -> None:
        """Let a replica leave with notice; another one takes its place first."""
        await self.soak.replace_replica(self.rng, with_notice=True)

    async def remove_replica(self, for_s: float) -> None:
        """Let a replica's entry go without notice; it serves on."""
        await self.soak.replace_replica(self.rng, with_notice=False)

    async def store_down(self, for_s: float) -> None:
        """Take the store down."""
        self.disturb('all', for_s)
        self.soak.store.stop()
        await asyncio.sleep(for_s)
        if self.soak.store.server is None:
            await self.soak.store.start()

    async def store_refuses(self, for_s: float) -> None:
        """Let the store answer 503."""
        self.disturb('all', for_s)
        self.soak.store.is_refusing = True
        await asyncio.sleep(for_s)
        self.soak.store.is_refusing = False

    async def store_slow(self, for_s: float) -> None:
        """Let the store be slow."""
        self.disturb('all', for_s)
        self.soak.store.delay_s = self.rng.uniform(0.1, 1.0)
        await asyncio.sleep(for_s)
        self.soak.store.delay_s = 0.0

    async def compact_store(self, for_s: float) -> None:
        """Let the store forget its history."""
        self.soak.store.compact()

    async def change_table(self, for_s: float) -> None:
        """Add a route, and ask for it."""
        await self.soak.add_route(self.rng)

    async def reshard(self, for_s: float) -> None:
        """Cut the index into another set of shards."""
        await self.soak.reshard(self.rng)
