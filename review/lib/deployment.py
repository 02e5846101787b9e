"""The machines of a small deployment, each a process of the deploy file on its own address."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

from .http11 import Message, read_message
from .record import Record
from .standins import Replica, Store

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = (('snow-hill', 'brum'), ('lace-market', 'notts'), ('bilston-rd', 'wolves'))
GRACE_S = 6.0
MEMORY_MB = 300
METRICS_PORT = 9464
START_LIMIT_S = 20.0
LIMITS = {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 3000, 'idleMs': 15000}

SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control", "directory"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
peerPortRange = [{peer}, {peer}]
seeds = [{seeds}]
bootstrap = {bootstrap}
lossCounted = false
discovery = "platform"
entry = "directory"
beatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
snow-hill = "brum"
lace-market = "notts"
bilston-rd = "wolves"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
applyMs = 3000
rollbackSlackMs = 250
skewMaxMs = 12000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
recoverS = 12
ttl_max_s = 5
[platform]
addr = "{store}"
form = "read"
writeRateS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class CannotRunError(Exception):
    """The case cannot be run here."""


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Machine:
    """A machine with one process."""

    def __init__(self, number: int, deployment: 'Deployment'):
        self.deployment = deployment
        self.name = f'front-{number}'
        self.host = f'{deployment.network}.{number + 1}'
        self.zone, self.region = ZONES[number % len(ZONES)]
        self.path = deployment.folder / f'{self.name}.toml'
        self.process: subprocess.Popen | None = None
        self.is_first_start = True

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deployment = self.deployment
        seeds = ', '.join(
            f'"{machine.host}:{deployment.ports["control"]}"'
            for machine in deployment.machines[:3]
        )
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                region=self.region,
                seeds=seeds,
                bootstrap=json.dumps(self.is_first_start),
                store=deployment.store.address,
                memory_mb=deployment.memory_mb,
                **deployment.ports,
            )
        )
        self.is_first_start = False
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        environ = {name: os.environ[name] for name in kept if name in os.environ}
        environ['BEECHBRIDGE_SETTINGS'] = str(self.path)
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (deployment.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                deployment.command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        deployment.record.write('started', self.name)

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if not self.has_ended:
            self.deployment.record.write('signal', self.name, number.name)
            self.process.send_signal(number)

    async def wait_ended(self, limit_s: float) -> bool:
        """Wait until the process has ended; return whether it has within the limit."""
        for _ in range(int(limit_s / 0.02)):
            if self.has_ended:
                return True
            await asyncio.sleep(0.02)
        return self.has_ended

    async def stop_planned(self) -> None:
        """Stop the process as the platform does: SIGTERM, and SIGKILL after `graceS`."""
        self.signal(signal.SIGTERM)
        if not await self.wait_ended(GRACE_S):
            self.signal(signal.SIGKILL)
            await self.wait_ended(1.0)
        self.deployment.record.write('ended', self.name)

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB, 0 if it has ended."""
        with contextlib.suppress(OSError, IndexError):
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            return int(text.partition('VmRSS:')[2].split()[0]) / 1024.0
        return 0.0

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Deployment:
    """Store, replicas and machines."""

    def __init__(self, record: Record, machine_count: int = 3, memory_mb: int = MEMORY_MB):
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = deploy['roles']['gateway']['run'].split()
        self.record = record
        self.memory_mb = memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.network = f'127.{random.randrange(30, 250)}.{random.randrange(1, 250)}'
        self.store = Store(f'{self.network}.200')
        self.replicas: list[Replica] = []
        self.ports: dict[str, int] = {}
        self.machines = [Machine(number, self) for number in range(machine_count)]
        self.version = 1

    async def add_replica(self, replica: Replica) -> None:
        """Start a replica, and write its entry."""
        await replica.start()
        self.replicas.append(replica)
        self.store.put(f'servers/{replica.replica_id}', replica.entry())

    def replica_host(self, number: int) -> str:
        """Return an address for a replica."""
        return f'{self.network}.{100 + number}'

    def publish(self, routes: list[dict], services: list[str], limits: dict | None = None) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.store.put(
            'op/config',
            {
                'version': self.version,
                'routes': routes,
                'services': [
                    {'name': name, 'maxConns': 110, 'healthPath': '/healthz'} for name in services
                ],
                'limits': limits or LIMITS,
            },
        )

    async def start(self) -> None:
        """
        Start all machines, and wait until they are ready and know each other.

        :raises CannotRunError: if that takes too long
        """
        hosts = [machine.host for machine in self.machines]
        used = set()
        for name in ('front', 'ready', 'control', 'directory'):
            port = free_port(hosts[0])
            while port in used or port == METRICS_PORT:
                port = free_port(hosts[0])
            used.add(port)
            self.ports[name] = port
        self.ports['peer'] = free_port(hosts[0], socket.SOCK_DGRAM)
        for machine in self.machines:
            machine.start()
        for _ in range(int(START_LIMIT_S / 0.2)):
            await asyncio.sleep(0.2)
            found = [await self.lookup(machine) for machine in self.machines]
            states = [await self.is_ready(machine) for machine in self.machines]
            if all(found) and all(states):
                self.record.write('ready', *(machine.name for machine in self.machines))
                return
        raise CannotRunError('the machines are not ready')

    async def get(self, host: str, port: int, target: str) -> Message | None:
        """Send a GET request; return None if there is no whole answer in a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, port)
                try:
                    writer.write(f'GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode())
                    return await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a machine says that it is ready."""
        answer = await self.get(machine.host, self.ports['ready'], '/readyz')
        return answer is not None and answer.status == 200

    async def lookup(self, machine: Machine) -> dict | None:
        """Return the directory's answer of a machine, None if there is none."""
        target = f'/lookup?name=liftwatch.example&region={machine.region}&zone={machine.zone}'
        answer = await self.get(machine.host, self.ports['directory'], target)
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)

    def stop(self) -> None:
        """End all processes and servers."""
        for machine in self.machines:
            machine.kill()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)
