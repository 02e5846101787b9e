"""
Stand-ins for the second review: the platform's store, replicas and clients, on loopback.

They follow PROTOCOL.md and DEPLOY.md. The programs under test are started with the command of the
deploy file, as processes of their own, and ended by their process IDs.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
PASSED, BROKEN, NOT_RUN = 0, 1, 2
STAND_IN_HOST = '127.0.0.1'
HOST = 'archive.example'
REASONS = {200: 'OK', 404: 'Not Found', 421: 'Misdirected Request', 503: 'Service Unavailable'}
ZONES = {'utr-kelder': 'utrecht', 'zwl-zaal': 'zwolle', 'bre-zaal': 'breda'}
BEAT_S = 1.2
KEEP_ALIVE_S = 10
CONNECT_S = 1.0
START_S = 20.0
SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control", "directory"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
peerPortRange = [{peer_port}, {last_peer_port}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
beatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
utr-kelder = "utrecht"
zwl-zaal = "zwolle"
bre-zaal = "breda"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
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
budgetExtra = 52
recoverS = 12
ttl_max_s = 5
[platform]
addr = "{store}"
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""
STARTED_S = time.monotonic()


def now_s() -> float:
    """Return the seconds since this script started."""
    return time.monotonic() - STARTED_S


def has_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get('TROUBLE', '1') != '0'


def find_ports(count: int) -> list[int]:
    """Return ports that nobody uses."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((STAND_IN_HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Message:
    """A request or response; header names are in lower case."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split()[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length; raise `IncompleteReadError` if the connection ends first."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first_line, headers, body)


def write_message(first_line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message with its length."""
    lines = [first_line, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}\r\n\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body


def respond(status: int, headers: dict[str, str] | None = None, body: bytes = b'') -> bytes:
    """Encode a response."""
    return write_message(f'HTTP/1.1 {status} {REASONS[status]}', headers or {}, body)


class Server:
    """A loopback server that can be stopped."""

    def __init__(self):
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'{STAND_IN_HOST}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port; after a stop, on the same one."""
        self.server = await asyncio.start_server(self.serve, STAND_IN_HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of the process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after the other."""
        self.writers.add(writer)
        errors = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError)
        with contextlib.suppress(*errors):
            while True:
                writer.write(await self.answer(await read_message(reader)))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message: Message) -> bytes:
        """Return the response to a request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.changed = asyncio.Event()

    def put(self, key: str, value: dict) -> None:
        """Write an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {'key': key, 'rev': self.revision, 'value': text, 'created': 1, 'lease': 0}
        self.items[key] = item
        self.notify(item)

    def remove(self, key: str) -> None:
        """Delete an item."""
        self.revision += 1
        self.items.pop(key, None)
        self.notify({'key': key, 'rev': self.revision, 'tombstone': True})

    def notify(self, event: dict) -> None:
        """Record a change and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, message: Message) -> bytes:
        """Serve a page of items or a watch."""
        await asyncio.sleep(0.004)
        url = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == '/kv-range':
            return self.list_items(query.get('prefix', ''), query.get('after', ''))
        if url.path == '/kv-watch':
            return await self.watch(int(query['after']), int(query['waitMs']) / 1000.0)
        return respond(404)

    def list_items(self, prefix: str, after: str) -> bytes:
        """Return a page of items."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        body = {'items': items, 'hasMore': len(keys) > 500, 'currentRev': self.revision}
        return respond(200, body=json.dumps(body).encode())

    async def watch(self, after: int, wait_s: float) -> bytes:
        """Return the changes after a revision, as soon as there is one."""
        deadline_s = time.monotonic() + wait_s
        while self.revision <= after and time.monotonic() < deadline_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), deadline_s - time.monotonic())
        events = [event for event in self.events if event['rev'] > after]
        body = {'events': events, 'currentRev': self.revision}
        return respond(200, body=json.dumps(body).encode())


class Replica(Server):
    """
    A replica: runs `slots` requests at once, queues a few more and rejects the others.

    :param work_s: work of a request in seconds
    :param record: called with each request that arrives, and whether it begins to run
    """

    numbers = itertools.count(1)

    def __init__(self, service: str, zone: str, slots: int, queue: int, work_s: float):
        super().__init__()
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.record: Callable[[Replica, Message, str], None] = lambda *arguments: None
        self.begin_incarnation()

    def begin_incarnation(self) -> None:
        """Take a new ID, as each start of a replica does."""
        self.replica_id = f'i-{next(self.numbers):04d}'
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)
        self.held = 0
        self.run_count = 0

    def describe(self, state: str = 'ready') -> dict:
        """Return the entry of this incarnation."""
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldLeftMs': 0,
            'seq': 1,
            'born': self.born,
        }

    async def answer(self, message: Message) -> bytes:
        """Run a request, or reject it."""
        headers = message.headers
        if message.target == '/healthz':
            return respond(200, {'Beechbridge-Instance-Id': self.replica_id})
        echo = {'Beechbridge-Request-Id': headers.get('beechbridge-request-id', '')}
        not_run = {'Beechbridge-Not-Run': '1', **echo}
        if headers.get('beechbridge-expect-instance', self.replica_id) != self.replica_id:
            self.record(self, message, 'misdirected')
            return respond(421, not_run)
        if self.held >= self.slots + self.queue:
            self.record(self, message, 'rejected')
            return respond(503, not_run)
        self.held += 1
        replica_id, free = self.replica_id, self.free
        try:
            async with free:
                self.record(self, message, 'runs')
                await asyncio.sleep(self.work_s)
        finally:
            if self.free is free:
                self.held -= 1
        self.run_count += 1
        headers = {
            'Beechbridge-Server-Stamp': f'{replica_id}.{self.run_count}',
            **echo,
            'Keep-Alive': f'timeout={KEEP_ALIVE_S}',
        }
        return respond(200, headers, random.randbytes(192))


class Gateway:
    """One machine of the system: the program of the deploy file as a process."""

    def __init__(self, name: str, host: str, zone: str, settings: str, folder: Path):
        self.name = name
        self.host = host
        self.zone = zone
        self.settings_path = folder / f'{name}.toml'
        self.log_path = folder / f'{name}.log'
        self.settings_path.write_text(settings)
        self.ports = tomllib.loads(settings)['listen']
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environ = {
            **kept,
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'BEECHBRIDGE_SETTINGS': str(self.settings_path),
        }
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environ, stdout=log, stderr=log)

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        fields = text.split()
        return int(fields[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20 if len(fields) > 1 else 0.0

    def kill(self) -> None:
        """End the process, if it runs, and reap it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_ready(self) -> bool:
        """Wait until the process says that it is ready; return whether it does in time."""
        host, _, port = self.ports['ready'].partition(':')
        deadline_s = time.monotonic() + START_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(write_message('GET /readyz HTTP/1.1', {'Host': host}))
                    message = await read_message(reader)
                    writer.close()
                if message.status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False


def make_gateways(count: int, net: int, store: Store, folder: Path) -> list[Gateway]:
    """
    Return machines with settings like those of a small deployment, not started yet.

    :param net: their addresses are 127.`net`.0.1 and so on
    """
    front, ready, control, directory, peer = find_ports(5)
    hosts = [f'127.{net}.0.{number + 1}' for number in range(count)]
    gateways = []
    for number, host in enumerate(hosts):
        zone = list(ZONES)[number % len(ZONES)]
        name = f'front-{zone}-{number + 1}'
        settings = SETTINGS.format(
            name=name,
            host=host,
            zone=zone,
            region=ZONES[zone],
            peer_port=peer,
            last_peer_port=peer,
            seeds=', '.join(f'"{one}:{control}"' for one in hosts[:3]),
            front=front,
            ready=ready,
            control=control,
            directory=directory,
            store=store.address,
        )
        gateways.append(Gateway(name, host, zone, settings, folder))
    return gateways


def make_route(name: str, **fields: object) -> dict:
    """Return an idempotent route of the configuration."""
    common = {'host': HOST, 'prefix': f'/{name}/', 'kind': 'idempotent', 'priority': 2}
    return {'name': name, **common, 'timeoutMs': 4000, 'goalMs': 600, 'attempts': 2, **fields}


def make_table(version: int, routes: list[dict], max_conns: dict[str, int]) -> dict:
    """Return a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': name, 'maxConns': count} for name, count in max_conns.items()],
        'limits': {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 3000, 'idleMs': 15000},
    }


class Attempt:
    """
    One client attempt and its answer.

    :param status: status of the answer, None if there was none
    """

    def __init__(self, request_id: str, gateway: Gateway, method: str, path: str):
        self.request_id = request_id
        self.gateway = gateway
        self.method = method
        self.path = path
        self.sent_s = now_s()
        self.ended_s = 0.0
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b''
        self.cause = ''

    def describe(self) -> str:
        """Return a line for the record."""
        answer = self.cause or str(self.status)
        retry = self.headers.get('retry-after')
        notes = f' retry-after={retry}' if retry else ''
        return (
            f'{self.sent_s:8.3f} {self.ended_s:8.3f} client {self.request_id} {self.method} '
            f'{self.path} to {self.gateway.name}: {answer}{notes}'
        )


REQUEST_NUMBERS = itertools.count(1)


async def send(
    gateway: Gateway,
    path: str,
    deadline_s: float,
    method: str = 'GET',
    body: bytes = b'',
    slack_s: float = 1.0,
) -> Attempt:
    """Send one client attempt on a new connection; wait a while beyond its time limit."""
    attempt = Attempt(f'q{next(REQUEST_NUMBERS):06d}', gateway, method, path)
    host, _, port = gateway.ports['front'].partition(':')
    headers = {
        'Host': HOST,
        'Beechbridge-Request-Id': attempt.request_id,
        'Beechbridge-Deadline-Ms': str(max(1, round(1000.0 * deadline_s))),
    }
    writer = None
    try:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(deadline_s + slack_s):
            writer.write(write_message(f'{method} {path} HTTP/1.1', headers, body))
            message = await read_message(reader)
        attempt.status = message.status
        attempt.headers = message.headers
        attempt.body = message.body
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        attempt.cause = f'no answer ({type(error).__name__})'
    finally:
        if writer is not None:
            writer.close()
    attempt.ended_s = now_s()
    return attempt


def run_case(case: Callable[[Path, Path], Awaitable[int]], folder: Path) -> None:
    """
    Run a case and exit with its result.

    :param case: given a temporary folder and the path of the record, returns the result
    """
    temporary = Path(tempfile.mkdtemp(prefix='beechbridge-review-'))
    try:
        result = asyncio.run(case(temporary, folder / 'record.txt'))
    except OSError as error:
        print(f'the case could not run: {error}')
        result = NOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(result)
