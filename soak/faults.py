"""Fault injection: faults are drawn from the seed of a run and may overlap."""

import asyncio
import base64
import json
import signal
import time

from .callers import Caller
from .fleet import GRACE_S, Vm
from .ledger import LIMIT_STABLE_S, NamedLimit, Stop
from .special_faults import SpecialFaults
from .standins import DEADLY, ENDLESS_REPLIES

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
"""Kinds of fault; each names a method of `Faults`."""

DRILLS = (
    'restore_store',
    'endless_replica',
    'limited_replica',
    'leaving_replica',
    'babbling_replica',
    'deadly_request',
    'long_work',
    'tiny_chunks',
    'stop_series',
    'stop_again',
    'stop_amid_changes',
    'odd_entry',
    'refusing_replica',
)
"""Further kinds, drawn only if named, so that the faults of earlier seeds stay the same."""

PLANNED = (
    'stop_vm',
    'reload_vm',
    'slow_replica',
    'drain_replica',
    'change_table',
    'reshard',
    'long_work',
    'tiny_chunks',
    'stop_series',
    'stop_again',
    'stop_amid_changes',
)
"""Kinds that excuse nothing: planned work, and what replicas do by right. Seeds depend on them."""

SERIES_GAP_S = 1.0
UNTIMED_GRACE_S = 60.0
"""Time for a stop whose time limit is not checked."""

ODD_PORTS = (0, -1, 65_536, '9' * 5_000, 'x', '')
NESTING_DEPTH = 2_000

COPY_AGE_S = 2.0
DEADLY_S = 8.0
"""Least time for which a request that ends replicas comes again."""

REWRITE_DELAY_S = 1.0
LEASE_S = 3.6
"""Time after which the entry of a replica expires that does not run."""


class Faults(SpecialFaults):
    """
    Injects faults into a deployment until stopped.

    :param soak: the deployment, a `run.Soak`
    :param kinds: kinds of fault to draw from
    """

    def __init__(self, soak, rng, kinds: tuple[str, ...] = KINDS):
        self.soak = soak
        self.rng = rng
        self.kinds = kinds
        self.is_stopped = False
        self.tasks: set[asyncio.Task] = set()
        self.applied: list[str] = []

    async def run(self) -> None:
        """Start one fault after another without waiting for earlier ones to end."""
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            name = self.rng.choice(self.kinds)
            self.applied.append(name)
            task = asyncio.create_task(getattr(self, name)(self.rng.uniform(0.5, 4.0)))
            self.tasks.add(task)
        await asyncio.gather(*self.tasks)

    def record_fault(self, name: str, duration_s: float) -> None:
        """Record that a fault affects a VM, or `all` of them, for a time from now on."""
        now_s = time.monotonic()
        self.soak.ledger.fault_spans[name].append((now_s, now_s + duration_s))

    def pick_vm(self) -> Vm:
        """Return a random VM."""
        return self.rng.choice(self.soak.vms)

    async def kill_vm(self, duration_s: float) -> None:
        """Kill a process and restart it after the duration."""
        vm = self.pick_vm()
        if vm.is_stopping:
            return
        vm.is_stopping = True
        self.record_fault(vm.name, duration_s + 2.0)
        vm.kill()
        await asyncio.sleep(duration_s)
        vm.start()

    async def pause_vm(self, duration_s: float) -> None:
        """Suspend a process for the duration."""
        vm = self.pick_vm()
        if vm.is_stopping:
            return
        self.record_fault(vm.name, duration_s + 1.0)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        vm.signal(signal.SIGCONT)

    async def stop_vm(self, duration_s: float) -> None:
        """Stop a process gracefully and restart it."""
        await self.stop(self.pick_vm())

    async def stop(self, vm: Vm) -> None:
        """Stop a process gracefully and restart it, unless it is being stopped."""
        if vm.is_stopping:
            return
        vm.is_stopping = True
        vm.signal(signal.SIGTERM)
        stop = Stop(time.monotonic())
        self.soak.ledger.stops[vm.name].append(stop)
        include_timing = self.soak.include_timing
        if not await vm.wait_exited(GRACE_S if include_timing else UNTIMED_GRACE_S):
            is_excused = self.soak.ledger.had_fault(vm.name, stop.signalled_s, time.monotonic())
            if not is_excused:
                self.soak.violations.append(f'{vm.name} did not exit within its grace period')
            vm.kill()
        stop.exited_s = time.monotonic()
        vm.start()

    async def stop_series(self, duration_s: float) -> None:
        """Stop each process in turn, without waiting for the one before."""
        tasks = []
        for vm in list(self.soak.vms):
            tasks.append(asyncio.create_task(self.stop(vm)))
            await asyncio.sleep(SERIES_GAP_S)
        await asyncio.gather(*tasks)

    async def stop_again(self, duration_s: float) -> None:
        """Stop a process by several requests."""
        vm = self.pick_vm()
        if vm.is_stopping:
            return
        task = asyncio.create_task(self.stop(vm))
        while not task.done():
            await asyncio.sleep(self.rng.uniform(0.0, duration_s / 2.0))
            if not task.done():
                vm.signal(signal.SIGTERM)
        await task

    async def stop_amid_changes(self, duration_s: float) -> None:
        """Stop a process while settings are reloaded and the configuration changes."""
        vm = self.pick_vm()
        for change in (None, self.soak.publish, None):
            if change is not None:
                task = asyncio.create_task(self.stop(vm))
                change()
            await asyncio.sleep(self.rng.uniform(0.0, duration_s / 2.0))
            for other in self.soak.vms:
                self.reload(other)
        await task

    async def reload_vm(self, duration_s: float) -> None:
        """Make a process reload its settings."""
        self.reload(self.pick_vm())

    def reload(self, vm: Vm) -> None:
        """Make a process reload its settings, unless its interpreter still starts."""
        if not vm.is_booting(self.soak.include_timing):
            vm.signal(signal.SIGHUP)

    async def reset_links(self, duration_s: float) -> None:
        """Reset the connections to a replica or to the store."""
        proxy = self.rng.choice(self.soak.proxies)
        self.record_fault('all', 0.5)
        proxy.reset()

    async def silence_links(self, duration_s: float) -> None:
        """Drop all further data on the open connections to a replica or to the store."""
        self.record_fault('all', 4.0)
        self.rng.choice(self.soak.proxies).silence()

    async def delay_links(self, duration_s: float) -> None:
        """Delay the data on connections in both directions."""
        proxy = self.rng.choice(self.soak.proxies)
        self.record_fault('all', duration_s)
        proxy.delay_s = self.rng.uniform(0.01, 0.3)
        await asyncio.sleep(duration_s)
        proxy.delay_s = 0.0

    async def cut_links(self, duration_s: float) -> None:
        """Drop the data of one direction, then reset the connections."""
        proxy = self.rng.choice(self.soak.proxies)
        self.record_fault('all', duration_s)
        attribute = self.rng.choice(('is_deaf', 'is_mute'))
        setattr(proxy, attribute, True)
        await asyncio.sleep(duration_s)
        setattr(proxy, attribute, False)
        proxy.reset()

    async def slow_replica(self, duration_s: float) -> None:
        """Make a replica slower."""
        replica = self.rng.choice(self.soak.replicas)
        replica.slowdown = self.rng.uniform(3.0, 20.0)
        await asyncio.sleep(duration_s)
        replica.slowdown = 1.0

    async def long_work(self, duration_s: float) -> None:
        """Make a replica work long on some requests, up to the time limit of their callers."""
        service = self.rng.choice(('register', self.soak.shards()[0]))
        replica = self.rng.choice([one for one in self.soak.replicas if one.service == service])
        usual_share = replica.long_share
        replica.long_share = self.rng.uniform(0.05, 0.4)
        await asyncio.sleep(2.0 * duration_s)
        replica.long_share = usual_share

    async def tiny_chunks(self, duration_s: float) -> None:
        """Make a replica send its replies in tiny chunks."""
        replica = self.rng.choice(self.soak.replicas)
        replica.chunk_bytes = self.rng.randint(1, 3)
        await asyncio.sleep(duration_s)
        replica.chunk_bytes = 0

    async def odd_entry(self, duration_s: float) -> None:
        """Put an entry into the store that is not one of a replica."""
        store = self.soak.store
        entry = dict(self.rng.choice(self.soak.replicas).entry)
        kind = self.rng.choice(('field', 'port', 'nested', 'bytes'))
        if kind == 'field':
            del entry[self.rng.choice(('service', 'addr', 'state', 'zone'))]
        if kind == 'port':
            entry['addr'] = f'127.9.0.1:{self.rng.choice(ODD_PORTS)}'
        value = json.dumps(entry).encode()
        if kind == 'nested':
            value = b'[' * NESTING_DEPTH + b']' * NESTING_DEPTH
        if kind == 'bytes':
            value = self.rng.randbytes(64)
        key = f'servers/odd-{len(self.applied)}'
        store.put_bytes(key, value)
        await asyncio.sleep(duration_s)
        store.remove(key)

    async def lossy_replica(self, duration_s: float) -> None:
        """Make a replica lose responses, reject requests, or respond twice."""
        replica = self.rng.choice(self.soak.replicas)
        attribute = self.rng.choice(('lose_share', 'reject_share', 'late_share'))
        setattr(replica, attribute, 0.4)
        await asyncio.sleep(duration_s)
        setattr(replica, attribute, 0.0)

    async def refusing_replica(self, duration_s: float) -> None:
        """Make a replica refuse requests that it has run, without saying that it has not."""
        replica = self.rng.choice([one for one in self.soak.replicas if one.service == 'register'])
        replica.refuse_share = 0.4
        await asyncio.sleep(duration_s)
        replica.refuse_share = 0.0

    async def endless_replica(self, duration_s: float) -> None:
        """Make a replica send replies without an end."""
        replica = self.rng.choice(self.soak.replicas)
        replica.endless_kind = self.rng.choice(sorted(ENDLESS_REPLIES))
        await asyncio.sleep(duration_s)
        replica.endless_kind = ''

    async def limited_replica(self, duration_s: float) -> None:
        """Make a replica name a limit, long enough for the limit to be in force."""
        replica = self.rng.choice(self.soak.replicas)
        if replica.notice:
            return
        limit_per_s = round(self.rng.uniform(1.0, 20.0), 1)
        replica.notice = {'Server-Limit': str(limit_per_s)}
        since_s = time.monotonic()
        await asyncio.sleep(LIMIT_STABLE_S + 2.0 * duration_s)
        replica.notice = {}
        limit = NamedLimit(replica.replica_id, limit_per_s, since_s, time.monotonic())
        self.soak.ledger.named_limits.append(limit)

    async def leaving_replica(self, duration_s: float) -> None:
        """Make a replica say that it leaves, of which the store learns later or never."""
        old = self.rng.choice(self.soak.replicas)
        if old.notice:
            return
        await self.soak.start_replica(old.service, old.entry['zone'])
        await asyncio.sleep(1.0)
        old.notice = {'Server-Leaving': '1'}
        self.soak.ledger.left_s[old.replica_id] = time.monotonic()
        await asyncio.sleep(4.0 * duration_s)
        self.soak.withdraw_replica(old, with_drain=True)

    async def babbling_replica(self, duration_s: float) -> None:
        """Make a replica state what cannot be read, or what changes with every reply."""
        replica = self.rng.choice(self.soak.replicas)
        if replica.notice:
            return
        values = (
            '-1',
            'nan',
            '1e400',
            '9' * 300,
            '',
            '5, x',
            '0',
            'Fri, 04 Dec 2026 12:00:00 GMT',
        )
        for _ in range(8):
            name = self.rng.choice(('Server-Limit', 'Server-Leaving', 'Retry-After'))
            value = self.rng.choice(values)
            replica.notice = {name: value}
            replica.reject_share = 0.4 if name == 'Retry-After' else 0.0
            await asyncio.sleep(duration_s / 8)
        replica.notice = {}
        replica.reject_share = 0.0

    async def deadly_request(self, duration_s: float) -> None:
        """Send a request that ends the replicas that run it again and again, at any VM."""
        kind = self.rng.choice(('gather', 'lookup', 'filing'))
        target = f'/{kind}/{DEADLY}-{len(self.applied)}'
        caller = Caller(3000 + len(self.applied), self.soak.vms, self.soak.ledger, self.rng, ())
        until_s = time.monotonic() + DEADLY_S + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            await caller.refresh_hosts()
            if caller.hosts:
                await caller.send('deadly', target)
        caller.close()

    async def drain_replica(self, duration_s: float) -> None:
        """Mark a replica as draining after its replacement has started."""
        await self.soak.replace_replica(self.rng, with_drain=True)

    async def remove_replica(self, duration_s: float) -> None:
        """Remove a replica's entry without draining; the replica itself keeps serving."""
        await self.soak.replace_replica(self.rng, with_drain=False)

    async def store_down(self, duration_s: float) -> None:
        """Stop the store and restart it after the duration."""
        self.record_fault('all', duration_s)
        self.soak.store.stop()
        await asyncio.sleep(duration_s)
        if self.soak.store.server is None:
            await self.soak.store.start()

    async def store_refuses(self, duration_s: float) -> None:
        """Make the store respond with 503."""
        self.record_fault('all', duration_s)
        self.soak.store.is_unavailable = True
        await asyncio.sleep(duration_s)
        self.soak.store.is_unavailable = False

    async def store_slow(self, duration_s: float) -> None:
        """Make the store slower."""
        self.record_fault('all', duration_s)
        self.soak.store.delay_s = self.rng.uniform(0.1, 1.0)
        await asyncio.sleep(duration_s)
        self.soak.store.delay_s = 0.0

    async def compact_store(self, duration_s: float) -> None:
        """Compact the store, which discards its history."""
        self.soak.store.compact()

    async def restore_store(self, duration_s: float) -> None:
        """Restore the store from a copy; what that loses is written again, or expires again."""
        store = self.soak.store
        copied = store.copy_state()
        await asyncio.sleep(COPY_AGE_S)
        self.record_fault('all', LEASE_S + 2.0)
        lost = {event['key']: event for event in store.restore(copied)}
        await asyncio.sleep(REWRITE_DELAY_S)
        for key, event in lost.items():
            if not event.get('tombstone'):
                store.put(key, json.loads(base64.b64decode(event['value'])))
        await asyncio.sleep(LEASE_S - REWRITE_DELAY_S)
        for key, event in lost.items():
            if event.get('tombstone') and key in store.items:
                store.remove(key)

    async def change_table(self, duration_s: float) -> None:
        """Add a route and send requests to it."""
        await self.soak.add_route(self.rng)

    async def reshard(self, duration_s: float) -> None:
        """Replace the shards of the index by a new set."""
        await self.soak.reshard(self.rng)
