"""Runs the soak: `python -m soak.run --seeds=3 --seconds=20 --vms=4`."""

import asyncio
import random
import shutil
import sys
import time

from absl import app, flags

from beechbridge.status import ExitStatus

from .callers import HOST, Caller
from .faults import KINDS, Faults
from .fleet import Vm, make_folder
from .ledger import Ledger
from .proxy import Proxy
from .standins import Replica, Store

FLAGS = flags.FLAGS
STAND_INS = '127.9.0.1'
LEAST_SHARE = 0.5
TOP_RECORDS = 5
START_LIMIT_S = 20.0
QUIET_S = 5.0
SERVED_SHARE = 0.5
"""Share of requests that a run serves at least: with less it has tested little."""


class Soak:
    """
    One deployment: processes, stand-ins, proxies and callers.

    :param is_timed: whether promises with a time bound are checked, too
    """

    def __init__(self, seed: int, vm_count: int, shard_count: int, is_timed: bool):
        self.rng = random.Random(seed)
        self.is_timed = is_timed
        self.ledger = Ledger()
        self.ledger.least_share = LEAST_SHARE
        self.ledger.top_records = TOP_RECORDS
        self.vm_count = vm_count
        self.shard_count = shard_count
        self.store = Store(STAND_INS)
        self.replicas: list[Replica] = []
        self.proxies: list[Proxy] = []
        self.vms: list[Vm] = []
        self.callers: list[Caller] = []
        self.folder = make_folder()
        self.broken: list[str] = []
        self.version = 0
        self.generation = 0
        self.added: list[str] = []
        self.next_replica = 0

    def shards(self) -> list[str]:
        """Return the names of the present set of shards."""
        return [f'shard-{self.generation}-{number}' for number in range(self.shard_count)]

    async def start(self) -> None:
        """Start everything and wait until a caller is served."""
        await self.store.start()
        for service in (*self.shards(), 'register'):
            for zone in ('brum-a', 'notts-a'):
                await self.start_replica(service, zone)
        self.publish()
        proxy = await self.start_proxy(self.store.port)
        hosts = [f'127.9.1.{number + 1}' for number in range(self.vm_count)]
        for number in range(self.vm_count):
            vm = Vm(number, hosts, f'{STAND_INS}:{proxy.port}', self.folder)
            self.vms.append(vm)
            vm.start()
        for number in range(2 * self.vm_count):
            rng = random.Random(self.rng.getrandbits(64))
            mix = ('gather', 'gather', 'lookup', 'filing')
            self.callers.append(Caller(number, self.vms, self.ledger, rng, mix))
        await self.wait_served()

    async def wait_served(self) -> None:
        """Wait until every kind of request is served."""
        limit_s = time.monotonic() + START_LIMIT_S
        caller = Caller(2000 + self.version, self.vms, self.ledger, self.rng, ())
        while time.monotonic() < limit_s:
            await caller.look_up()
            if len(caller.hosts) > 0 and (await caller.ask('gather')).status == 200:
                caller.close()
                return
            await asyncio.sleep(0.1)
        self.broken.append(f'no gather was served within {START_LIMIT_S:.0f} s')

    async def start_proxy(self, port: int) -> Proxy:
        """Put a proxy before a server."""
        proxy = Proxy(STAND_INS, STAND_INS, port)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def start_replica(self, service: str, zone: str) -> Replica:
        """Start a replica behind a proxy and publish its entry."""
        self.next_replica += 1
        rng = random.Random(self.rng.getrandbits(64))
        replica = Replica(STAND_INS, f'i-{self.next_replica}', service, self.ledger, rng)
        await replica.start()
        proxy = await self.start_proxy(replica.port)
        replica.entry = {
            'service': service,
            'addr': f'{STAND_INS}:{proxy.port}',
            'zone': zone,
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': self.next_replica,
        }
        self.store.put(f'servers/{replica.replica_id}', replica.entry)
        self.replicas.append(replica)
        return replica

    def publish(self) -> float:
        """Publish the configuration; return when that is acknowledged."""
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
                'minShare': LEAST_SHARE,
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
        for name in self.added:
            routes.append({**read, 'name': name, 'prefix': f'/{name}/', 'timeoutMs': 1200})
        for route in routes[1:]:
            route['service'] = 'register'
        services = [{'name': name, 'maxConns': 40} for name in (*shards, 'register')]
        limits = {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 3000, 'idleMs': 15000}
        table = {'version': self.version, 'routes': routes, 'services': services, 'limits': limits}
        return self.store.put('op/config', table)

    async def add_route(self, rng) -> None:
        """Add a route and ask every VM for it once it must be known."""
        name = f'new{self.version}'
        self.added.append(name)
        self.ledger.table_acknowledged_s[name] = self.publish()
        await asyncio.sleep(4.5)
        for number, vm in enumerate(self.vms):
            caller = Caller(1000 + number, self.vms, self.ledger, rng, ())
            caller.hosts = [vm.host]
            await caller.ask('new', f'/{name}/x', mark=name)
            caller.close()

    async def reshard(self, rng) -> None:
        """Start the next set of shards, name it some seconds later, let the old set drain."""
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
            self.announce_end(replica, with_notice=True)

    def announce_end(self, replica: Replica, with_notice: bool) -> None:
        """Publish that a replica leaves; it serves on."""
        if replica not in self.replicas:
            return
        self.replicas.remove(replica)
        key = f'servers/{replica.replica_id}'
        if with_notice:
            acknowledged_s = self.store.put(key, {**replica.entry, 'state': 'draining', 'seq': 2})
        else:
            acknowledged_s = self.store.remove(key)
        self.ledger.gone_s[replica.replica_id] = acknowledged_s

    async def replace_replica(self, rng, with_notice: bool) -> None:
        """Replace a replica: the new one starts first."""
        old = rng.choice(self.replicas)
        await self.start_replica(old.service, old.entry['zone'])
        await asyncio.sleep(1.0)
        self.announce_end(old, with_notice)

    async def play(self, seconds: float, kinds: tuple[str, ...]) -> None:
        """Let callers ask while faults come; end with a quiet time."""
        tasks = [asyncio.create_task(caller.run()) for caller in self.callers]
        faults = Faults(self, random.Random(self.rng.getrandbits(64)), kinds)
        fault_task = asyncio.create_task(faults.run())
        await asyncio.sleep(seconds)
        faults.is_ended = True
        await fault_task
        await asyncio.sleep(QUIET_S)
        await self.wait_served()
        for caller in self.callers:
            caller.is_ended = True
        await asyncio.gather(*tasks)
        self.broken.extend(self.ledger.check(self.is_timed))
        served_count = sum(asked.status == 200 for asked in self.ledger.asked)
        if self.is_timed and served_count < SERVED_SHARE * len(self.ledger.asked):
            self.broken.append(f'{served_count} of {len(self.ledger.asked)} requests were served')
        for vm in self.vms:
            if vm.process.poll() not in (None, 0):
                self.broken.append(f'{vm.name} ended with {vm.process.poll()}')
        self.played = faults.played

    def stop(self) -> None:
        """End the processes and stand-ins that this run started."""
        for vm in self.vms:
            vm.kill()
        for server in (*self.proxies, *self.replicas, self.store):
            server.stop()


def run_seed(seed: int) -> list[str]:
    """Run one seed; return the broken promises. Logs are kept where there are any."""
    soak = Soak(seed, FLAGS.vms, FLAGS.shards, FLAGS.timed)

    async def run() -> None:
        try:
            await soak.start()
            await soak.play(FLAGS.seconds, tuple(FLAGS.faults))
        finally:
            soak.stop()

    asyncio.run(run())
    print(f'seed {seed}: {soak.ledger.summary()}')
    if soak.broken:
        print(f'seed {seed}: {len(soak.broken)} broken, logs in {soak.folder}')
        print(f'seed {seed}: faults {" ".join(soak.played)}')
        for sentence in soak.broken[:20]:
            print(f'seed {seed}: {sentence}')
        return soak.broken
    shutil.rmtree(soak.folder)
    return []


def main(arguments: list[str]) -> ExitStatus:
    """Run seeds one after the other; fail if a promise was broken."""
    failed = []
    first = FLAGS.first_seed or int(time.time())
    for seed in range(first, first + FLAGS.seeds):
        if run_seed(seed):
            failed.append(seed)
    print(f'{FLAGS.seeds - len(failed)} passed, {len(failed)} failed')
    return ExitStatus.ERROR if failed else ExitStatus.OK


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 3, 'runs, each with a seed of its own')
    flags.DEFINE_integer('first_seed', 0, 'first seed; 0 takes a fresh one')
    flags.DEFINE_float('seconds', 20.0, 'how long faults come in each run')
    flags.DEFINE_integer('vms', 4, 'processes of the fleet')
    flags.DEFINE_integer('shards', 6, 'shards of the index')
    flags.DEFINE_multi_enum('faults', KINDS, KINDS, 'kinds of fault to draw from')
    flags.DEFINE_boolean('timed', True, 'check promises with a time bound, too')
    sys.exit(app.run(main))
