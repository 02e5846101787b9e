"""Callers that find VMs through the directory, reuse connections and record every response."""

import asyncio
import contextlib
import json
import random
import socket
import time

from .fleet import PORTS, Vm
from .http11 import Message, read_message, write_message
from .ledger import CallerRequest, Ledger, condense
from .standins import LARGE

HOST = 'soak.example'
TIMEOUT_MS = {'gather': 1200, 'lookup': 4000, 'filing': 4000, 'new': 1200, 'deadly': 1200}
PATHS = {'gather': '/gather/x', 'lookup': '/lookup/x', 'filing': '/filing/x'}
LOOKUP_INTERVAL_S = 1.0
TIMEOUT_MARGIN_S = 2.0
RECEIVE_BUFFER_BYTES = 8192


class Habits:
    """
    How a caller behaves.

    :param is_faithful: whether it stays with a VM that the directory no longer names
    :param lookup_interval_s: time for which it keeps what the directory answers
    :param leave_share: share of the requests that it gives up while it waits
    :param max_timeout_ms: longest time limit that it sets
    :param read_s: time over which it reads the large answers that it asks for, 0 if for none
    """

    __slots__ = ('is_faithful', 'leave_share', 'lookup_interval_s', 'max_timeout_ms', 'read_s')

    def __init__(self, rng: random.Random | None = None):
        self.is_faithful = False
        self.lookup_interval_s = LOOKUP_INTERVAL_S
        self.leave_share = 0.0
        self.max_timeout_ms = max(TIMEOUT_MS.values())
        self.read_s = 0.0
        if rng is None:
            return
        self.is_faithful = rng.random() < 0.8
        self.lookup_interval_s = rng.choice((1.0, 5.0, 15.0))
        self.leave_share = rng.choice((0.0, 0.0, 0.3))
        self.max_timeout_ms = rng.choice((4000, 4000, 4000, 4000, 30))
        self.read_s = rng.choice((0.0, 0.0, 0.0, rng.uniform(0.5, 2.0)))


class Caller:
    """
    A caller with one connection at a time.

    :param mix: kinds of request to draw from
    """

    def __init__(
        self,
        number: int,
        vms: list[Vm],
        ledger: Ledger,
        rng,
        mix: tuple[str, ...],
        habits: Habits | None = None,
    ):
        self.number = number
        self.vms = vms
        self.ledger = ledger
        self.rng = rng
        self.mix = mix
        self.habits = habits or Habits()
        self.count = 0
        self.hosts: list[str] = []
        self.last_lookup_s = 0.0
        self.host = ''
        self.connection: tuple | None = None
        self.is_stopped = False

    async def run(self) -> None:
        """Send requests until stopped."""
        while not self.is_stopped:
            await asyncio.sleep(self.rng.uniform(0.02, 0.12))
            await self.refresh_hosts()
            if self.hosts:
                await self.send(self.rng.choice(self.mix))
        self.close()

    async def refresh_hosts(self) -> None:
        """Query the directory of any VM for the VMs to use, if the last result has expired."""
        age_s = time.monotonic() - self.last_lookup_s
        if self.hosts and age_s < self.habits.lookup_interval_s:
            return
        for vm in self.rng.sample(self.vms, min(3, len(self.vms))):
            path = f'/lookup?name={HOST}&region=brum&zone=brum-a'
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                message = await asyncio.wait_for(self.fetch(vm.host, path), 1.0)
                if message.status == 200:
                    addresses = json.loads(message.body)['addrs']
                    self.hosts = [address.partition(':')[0] for address in addresses]
                    self.last_lookup_s = time.monotonic()
                    return

    async def fetch(self, host: str, path: str) -> Message:
        """Send one request to the directory."""
        reader, writer = await asyncio.open_connection(host, PORTS['directory'])
        try:
            writer.write(write_message(f'GET {path} HTTP/1.1', {'Host': HOST}))
            return await read_message(reader)
        finally:
            writer.close()

    async def send(
        self, kind: str, path: str | None = None, id_prefix: str = 'q'
    ) -> CallerRequest:
        """Send one request and record its response, or that there was none."""
        self.count += 1
        habits = self.habits
        is_leaving_vm = self.host not in self.hosts and not habits.is_faithful
        if self.connection is not None and is_leaving_vm:
            self.close()
        if self.connection is None:
            self.host = self.rng.choice(self.hosts)
        name = next(vm.name for vm in self.vms if vm.host == self.host)
        request = CallerRequest(
            f'{id_prefix}.{self.number}.{self.count}', kind, name, time.monotonic()
        )
        request.timeout_s = min(TIMEOUT_MS[kind], habits.max_timeout_ms) / 1000.0
        path = path or PATHS[kind]
        if kind == 'lookup' and habits.read_s:
            path, request.read_s = f'{path}-{LARGE}', habits.read_s
        self.ledger.requests.append(request)
        wait_s = request.timeout_s + TIMEOUT_MARGIN_S
        will_leave = habits.leave_share > 0.0 and self.rng.random() < habits.leave_share
        if will_leave:
            wait_s = self.rng.uniform(0.0, request.timeout_s)
        try:
            message = await asyncio.wait_for(self.exchange(request, path), wait_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            request.has_left = will_leave and isinstance(error, TimeoutError)
            request.is_overdue = not will_leave and isinstance(error, TimeoutError)
            request.ended_s = time.monotonic()
            self.close()
            self.hosts = [host for host in self.hosts if host != self.host]
            return request
        request.ended_s = time.monotonic()
        request.status, request.headers, request.body = (
            message.status,
            message.headers,
            condense(message.body),
        )
        if message.headers.get('connection') == 'close':
            self.close()
        return request

    async def exchange(self, request: CallerRequest, path: str) -> Message:
        """Send a request over the open connection or a new one."""
        if self.connection is None:
            self.connection = await self.connect()
        reader, writer = self.connection
        method, body = ('POST', b'deed') if request.kind == 'filing' else ('GET', b'')
        headers = {
            'Host': HOST,
            'Beechbridge-Request-Id': request.request_id,
            'Beechbridge-Deadline-Ms': str(round(1000.0 * request.timeout_s)),
            'X-Entry-Vm': request.vm,
        }
        writer.write(write_message(f'{method} {path} HTTP/1.1', headers, body))
        request.written_s = time.monotonic()
        return await read_message(reader, request.read_s)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; one that is read slowly holds little that was not read yet."""
        sock = socket.socket()
        sock.setblocking(False)
        if self.habits.read_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (self.host, PORTS['front']))
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock)

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None
