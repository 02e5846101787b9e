"""Callers that find VMs through the directory, reuse connections and record every response."""

import asyncio
import contextlib
import json
import time

from .fleet import PORTS, Vm
from .http11 import Message, read_message, write_message
from .ledger import CallerRequest, Ledger

HOST = 'soak.example'
TIMEOUT_MS = {'gather': 1200, 'lookup': 4000, 'filing': 4000, 'new': 1200, 'deadly': 1200}
PATHS = {'gather': '/gather/x', 'lookup': '/lookup/x', 'filing': '/filing/x'}
LOOKUP_INTERVAL_S = 1.0
TIMEOUT_MARGIN_S = 2.0


class Caller:
    """
    A caller with one connection at a time.

    :param mix: kinds of request to draw from
    """

    def __init__(self, number: int, vms: list[Vm], ledger: Ledger, rng, mix: tuple[str, ...]):
        self.number = number
        self.vms = vms
        self.ledger = ledger
        self.rng = rng
        self.mix = mix
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
        if self.hosts and time.monotonic() - self.last_lookup_s < LOOKUP_INTERVAL_S:
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
        if self.connection is not None and self.host not in self.hosts:
            self.close()
        if self.connection is None:
            self.host = self.rng.choice(self.hosts)
        name = next(vm.name for vm in self.vms if vm.host == self.host)
        request = CallerRequest(
            f'{id_prefix}.{self.number}.{self.count}', kind, name, time.monotonic()
        )
        self.ledger.requests.append(request)
        timeout_s = TIMEOUT_MS[kind] / 1000.0 + TIMEOUT_MARGIN_S
        try:
            message = await asyncio.wait_for(
                self.exchange(request, path or PATHS[kind]), timeout_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            request.ended_s = time.monotonic()
            self.close()
            self.hosts = [host for host in self.hosts if host != self.host]
            return request
        request.ended_s = time.monotonic()
        request.status, request.headers, request.body = (
            message.status,
            message.headers,
            message.body,
        )
        if message.headers.get('connection') == 'close':
            self.close()
        return request

    async def exchange(self, request: CallerRequest, path: str) -> Message:
        """Send a request over the open connection or a new one."""
        if self.connection is None:
            self.connection = await asyncio.open_connection(self.host, PORTS['front'])
        reader, writer = self.connection
        method, body = ('POST', b'deed') if request.kind == 'filing' else ('GET', b'')
        headers = {
            'Host': HOST,
            'Beechbridge-Request-Id': request.request_id,
            'Beechbridge-Deadline-Ms': str(TIMEOUT_MS[request.kind]),
            'X-Entry-Vm': request.vm,
        }
        writer.write(write_message(f'{method} {path} HTTP/1.1', headers, body))
        return await read_message(reader)

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None
