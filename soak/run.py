"""Entry point of the soak test: `python -m soak.run --seeds=3 --seconds=20 --vms=4`."""

import asyncio
import random
import shutil
import signal
import sys
import time

from absl import app, flags

from beechbridge.status import ExitStatus

from .callers import HOST, TIMEOUT_MS, Caller, Habits
from .faults import DRILLS, KINDS, PLANNED, Faults
from .fleet import GRACE_S, MEMORY_MB, Vm, check_addresses, make_folder
from .ledger import SLACK_S, Ledger
from .proxy import Proxy
from .rules import EvacuationSpan, HomeSpan
from .special_faults import EVACUATIONS, SPECIAL
from .standins import Replica, Store

FLAGS = flags.FLAGS
STAND_IN_HOST = '127.9.0.1'
MIN_SHARE = 0.5
TOP_RECORDS = 5
START_TIMEOUT_S = 20.0
COLD_RATE_PER_S = 2.0
DELAY_CHECK_S = 0.05
LONG_SHARES = (0.0, 0.02, 0.1, 0.2)
REPLICA_RESTART_S = 3.0
SETTLE_S = 5.0
MIN_SERVED_SHARE = 0.5
"""Share of requests that must succeed; a run with fewer successes tests too little."""


class Soak:
    """
    A deployment of processes, stand-ins, proxies and callers.

    :param include_timing: whether promises with a time limit are checked as well
    """

    def __init__(self, seed: int, vm_count: int, shard_count: int, include_timing: bool):
        self.rng = random.Random(seed)
        self.habits_rng = random.Random(f'habits of {seed}')
        self.include_timing = include_timing
        self.ledger = Ledger()
        self.ledger.min_share = MIN_SHARE
        self.ledger.top_records = TOP_RECORDS
        self.ledger.vm_count = vm_count
        self.vm_count = vm_count
        self.shard_count = shard_count
        self.store = Store(STAND_IN_HOST)
        self.replicas: list[Replica] = []
        self.proxies: list[Proxy] = []
        self.vms: list[Vm] = []
        self.callers: list[Caller] = []
        self.folder = make_folder()
        self.violations: list[str] = []
        self.version = 0
        self.generation = 0
        self.added_routes: list[str] = []
        self.homes: dict[str, list[str]] = {}
        self.cold_rate_per_s = COLD_RATE_PER_S
        self.next_replica = 0
        self.wait_count = 0
        self.max_delay_s = 0.0
        self.restarts: set[asyncio.Task] = set()

    def shards(self) -> list[str]:
        """Return the names of the current set of shards."""
        return [f'shard-{self.generation}-{number}' for number in range(self.shard_count)]

    async def start(self) -> None:
        """Start the deployment and wait until a gather succeeds."""
        await self.store.start()
        for service in (*self.shards(), 'register'):
            for zone in ('brum-a', 'notts-a'):
                await self.start_replica(service, zone)
        self.publish()
        proxy = await self.start_proxy(self.store.port)
        hosts = [f'127.9.{FLAGS.network}.{number + 1}' for number in range(self.vm_count)]
        check_addresses(hosts)
        for number in range(self.vm_count):
            vm = Vm(number, hosts, f'{STAND_IN_HOST}:{proxy.port}', self.folder)
            self.vms.append(vm)
            vm.start()
        for number in range(2 * self.vm_count):
            rng = random.Random(self.rng.getrandbits(64))
            mix = ('gather', 'gather', 'lookup', 'filing')
            self.callers.append(Caller(number, self.vms, self.ledger, rng, mix))
        for number in range(2 * self.vm_count if FLAGS.habits else 0):
            rng = random.Random(self.habits_rng.getrandbits(64))
            habits = Habits(rng)
            self.callers.append(Caller(4000 + number, self.vms, self.ledger, rng, mix, habits))
        await self.wait_served()

    async def wait_served(self) -> None:
        """Wait until a gather succeeds."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        self.wait_count += 1
        caller = Caller(2000 + self.wait_count, self.vms, self.ledger, self.rng, ())
        while time.monotonic() < deadline_s:
            await caller.refresh_hosts()
            if len(caller.hosts) > 0 and (await caller.send('gather')).status == 200:
                caller.close()
                return
            await asyncio.sleep(0.1)
        self.violations.append(f'no gather succeeded within {START_TIMEOUT_S:.0f} s')

    async def start_proxy(self, port: int) -> Proxy:
        """Start a proxy in front of a server."""
        proxy = Proxy(STAND_IN_HOST, STAND_IN_HOST, port)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def start_replica(self, service: str, zone: str) -> Replica:
        """Start a replica behind a proxy and publish its entry."""
        self.next_replica += 1
        rng = random.Random(self.rng.getrandbits(64))
        replica = Replica(STAND_IN_HOST, f'i-{self.next_replica}', service, self.ledger, rng)
        longest_s = TIMEOUT_MS['lookup' if service == 'register' else 'gather'] / 1000.0
        replica.long_s = (min(GRACE_S, longest_s) / 3.0, longest_s)
        if FLAGS.habits and service == 'register':
            replica.long_share = self.habits_rng.choice(LONG_SHARES)
        await replica.start()
        proxy = await self.start_proxy(replica.port)
        replica.end = lambda: self.end_replica(replica, proxy)
        replica.entry = {
            'service': service,
            'addr': f'{STAND_IN_HOST}:{proxy.port}',
            'zone': zone,
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': self.next_replica,
        }
        self.ledger.rules.zones[replica.replica_id] = zone
        self.store.put(f'servers/{replica.replica_id}', replica.entry)
        self.replicas.append(replica)
        return replica

    def end_replica(self, replica: Replica, proxy: Proxy) -> None:
        """End a replica's process, and start it again after a while as another incarnation."""
        replica.stop()
        proxy.stop()
        task = asyncio.create_task(self.restart_replica(replica, proxy))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart_replica(self, replica: Replica, proxy: Proxy) -> None:
        """Start a replica that has ended, unless it was withdrawn meanwhile."""
        await asyncio.sleep(REPLICA_RESTART_S)
        if replica not in self.replicas or replica.server is not None:
            return
        await replica.start()
        await proxy.start()
        self.next_replica += 1
        replica.entry = {**replica.entry, 'born': self.next_replica}
        self.store.put(f'servers/{replica.replica_id}', replica.entry)

    def publish(self) -> float:
        """Publish the configuration; return the time of the acknowledgement."""
        self.version += 3
        shards = self.shards()
        self.ledger.shard_sets.append(frozenset(shards))
        common = {'host': HOST, 'attempts': 2, 'priority': 1}
        read = {**common, 'kind': 'idempotent'}
        routes = [
            {
                **read,
                'name': 'gather',
                'prefix': '/gather/',
                'timeoutMs': 1200,
                'goalMs': 150,
                'gather': shards,
                'topK': TOP_RECORDS,
                'minShare': MIN_SHARE,
            },
            {**read, 'name': 'lookup', 'prefix': '/lookup/', 'timeoutMs': 4000, 'goalMs': 400},
            {
                **common,
                'name': 'filing',
                'prefix': '/filing/',
                'kind': 'non_idempotent',
                'timeoutMs': 4000,
                'goalMs': 400,
            },
        ]
        for name in self.added_routes:
            times = {'timeoutMs': 1200, 'goalMs': 1200}
            routes.append({**read, 'name': name, 'prefix': f'/{name}/', **times})
        for route in routes[1:]:
            route['service'] = 'register'
        for route in routes:
            if self.homes.get(route['name']):
                route['homeRegions'] = self.homes[route['name']]
        cold = {'coldRateS': self.cold_rate_per_s, 'warmupS': 10}
        services = [{'name': name, 'maxConns': 40, **cold} for name in (*shards, 'register')]
        limits = {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 3000, 'idleMs': 15000}
        table = {'version': self.version, 'routes': routes, 'services': services, 'limits': limits}
        return self.store.put('op/config', table)

    def set_homes(self, route: str, regions: list[str]) -> None:
        """Publish the home regions of a route, or none."""
        spans = self.ledger.rules.home_spans
        for span in spans:
            if span.route == route:
                span.until_s = min(span.until_s, time.monotonic())
        self.homes[route] = regions
        acknowledged_s = self.publish()
        if not regions:
            del self.homes[route]
            return
        spans.append(HomeSpan(route, regions, acknowledged_s))

    def start_evacuation(self, zone: str) -> None:
        """Evacuate a data centre."""
        span = EvacuationSpan(zone, self.store.start_evacuation(zone))
        self.ledger.rules.evacuations.append(span)

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a data centre."""
        self.ledger.rules.evacuations[-1].until_s = time.monotonic()
        self.store.end_evacuation(zone)

    async def add_route(self, rng) -> None:
        """Add a route and request it from every VM after the time limit for applying it."""
        name = f'new{self.version}'
        self.added_routes.append(name)
        self.ledger.table_acknowledged_s[name] = self.publish()
        await asyncio.sleep(4.5)
        for number, vm in enumerate(self.vms):
            caller = Caller(1000 + number, self.vms, self.ledger, rng, ())
            caller.hosts = [vm.host]
            await caller.send('new', f'/{name}/x', id_prefix=name)
            caller.close()

    async def reshard(self, rng) -> None:
        """Start a new set of shards, publish it after a second, then drain the old set."""
        old = [replica for replica in self.replicas if replica.service.startswith('shard-')]
        self.generation += 1
        shards = self.shards()
        for service in shards:
            for zone in ('brum-a', 'notts-a'):
                await self.start_replica(service, zone)
        await asyncio.sleep(1.0)
        if self.shards() == shards:
            self.publish()
        await asyncio.sleep(5.0)
        for replica in old:
            self.withdraw_replica(replica, with_drain=True)

    def withdraw_replica(self, replica: Replica, with_drain: bool) -> None:
        """Mark a replica's entry as draining or remove it; the replica keeps serving."""
        if replica not in self.replicas:
            return
        self.replicas.remove(replica)
        key = f'servers/{replica.replica_id}'
        if with_drain:
            acknowledged_s = self.store.put(key, {**replica.entry, 'state': 'draining', 'seq': 2})
        else:
            acknowledged_s = self.store.remove(key)
        self.ledger.withdrawn_s[replica.replica_id] = acknowledged_s

    async def replace_replica(self, rng, with_drain: bool) -> None:
        """Start a replacement of a replica, then withdraw the replica."""
        old = rng.choice(self.replicas)
        await self.start_replica(old.service, old.entry['zone'])
        await asyncio.sleep(1.0)
        self.withdraw_replica(old, with_drain)

    async def watch_delay(self) -> None:
        """Keep how late the soak was: while it is frozen, callers give up what was answered."""
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(DELAY_CHECK_S)
            late_s = time.monotonic() - started_s - DELAY_CHECK_S
            self.max_delay_s = max(self.max_delay_s, late_s)
            if late_s > SLACK_S:
                self.ledger.frozen_spans.append((started_s, time.monotonic()))

    async def run_with_faults(self, seconds: float, kinds: tuple[str, ...]) -> None:
        """Run callers under faults, let the deployment recover, then check all promises."""
        tasks = [asyncio.create_task(caller.run()) for caller in self.callers]
        faults = Faults(self, random.Random(self.rng.getrandbits(64)), kinds)
        fault_task = asyncio.create_task(faults.run())
        delay_task = asyncio.create_task(self.watch_delay())
        await asyncio.sleep(seconds)
        faults.is_stopped = True
        await fault_task
        delay_task.cancel()
        await asyncio.sleep(SETTLE_S)
        await self.wait_served()
        for caller in self.callers:
            caller.is_stopped = True
        await asyncio.gather(*tasks)
        self.violations.extend(self.ledger.check(self.include_timing))
        # A burst is more than the replicas take.
        usual = [one for one in self.ledger.requests if not self.ledger.rules.is_in_burst(one)]
        served_count = sum(request.status == 200 for request in usual)
        if self.include_timing and served_count < MIN_SERVED_SHARE * len(usual):
            self.violations.append(f'only {served_count} of {len(usual)} requests succeeded')
        for vm in self.vms:
            if vm.process.poll() not in (None, 0):
                self.violations.append(f'{vm.name} exited with status {vm.process.poll()}')
            peak_mb = vm.peak_memory_bytes() / 1024**2
            if peak_mb > MEMORY_MB:
                self.violations.append(f'{vm.name} took {peak_mb:.0f} MB of {MEMORY_MB} MB')
        self.applied_faults = faults.applied

    def stop(self) -> None:
        """Stop the processes, proxies and stand-ins of this run."""
        for vm in self.vms:
            vm.kill()
        for server in (*self.proxies, *self.replicas, self.store):
            server.stop()


def run_seed(seed: int) -> list[str]:
    """Run one seed; return the broken promises. Logs are kept if there are any."""
    soak = Soak(seed, FLAGS.vms, FLAGS.shards, FLAGS.timed)

    async def run() -> None:
        try:
            await soak.start()
            await soak.run_with_faults(
                FLAGS.seconds, PLANNED if FLAGS.planned else tuple(FLAGS.faults)
            )
        finally:
            soak.stop()

    asyncio.run(run())
    print(f'seed {seed}: {soak.ledger.summary()}; late by {soak.max_delay_s:.2f} s at most')
    if soak.violations:
        print(f'seed {seed}: {len(soak.violations)} violations, logs in {soak.folder}')
        print(f'seed {seed}: faults {" ".join(soak.applied_faults)}')
        for violation in soak.violations[:20]:
            print(f'seed {seed}: {violation}')
        return soak.violations
    shutil.rmtree(soak.folder)
    return []


def main(arguments: list[str]) -> ExitStatus:
    """Run the seeds in sequence; fail if a promise was broken."""
    # Like Ctrl-C, so that no process of the soak is left behind.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = []
    first = FLAGS.first_seed or int(time.time())
    for seed in range(first, first + FLAGS.seeds):
        if run_seed(seed):
            failed.append(seed)
    print(f'{FLAGS.seeds - len(failed)} passed, {len(failed)} failed')
    return ExitStatus.ERROR if failed else ExitStatus.OK


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 3, 'number of runs, each with its own seed')
    flags.DEFINE_integer('first_seed', 0, 'first seed; 0 derives it from the current time')
    flags.DEFINE_float('seconds', 20.0, 'duration of fault injection in each run')
    flags.DEFINE_integer('vms', 4, 'number of VM processes')
    flags.DEFINE_integer('shards', 6, 'number of shards')
    flags.DEFINE_multi_enum(
        'faults',
        KINDS,
        (*KINDS, *DRILLS, *SPECIAL, *EVACUATIONS),
        'kind of fault to draw from; may be repeated',
    )
    flags.DEFINE_boolean('planned', False, 'draw only kinds that excuse no lost request')
    flags.DEFINE_boolean('habits', True, 'add callers that stay, leave, hurry or read slowly')
    flags.DEFINE_integer('network', 1, "third byte of the VMs' addresses; runs at once need two")
    flags.DEFINE_boolean('timed', True, 'also check promises with a time limit')
    sys.exit(app.run(main))
