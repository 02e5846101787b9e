"""Callers: they ask the directory, keep connections to the end, and write down what they get."""

import asyncio
import contextlib
import json
import time

from .fleet import PORTS, Vm
from .http11 import Message, read_message, write_message
from .ledger import Asked, Ledger

HOST = 'soak.example'
PATIENCE_MS = {'gather': 1200, 'lookup': 4000, 'filing': 4000, 'new': 1200}
PATHS = {'gather': '/gather/x', 'lookup': '/lookup/x', 'filing': '/filing/x'}
LOOKUP_S = 1.0
WAIT_SLACK_S = 2.0


class Caller:
    """
    One caller with one connection at a time.

    :param mix: kinds of request that it draws from
    """

    def __init__(self, number: int, vms: list[Vm], ledger: Ledger, rng, mix: tuple[str, ...]):
        self.number = number
        self.vms = vms
        self.ledger = ledger
        self.rng = rng
        self.mix = mix
        self.count = 0
        self.hosts: list[str] = []
        self.looked_up_s = 0.0
        self.host = ''
        self.link: tuple | None = None
        self.is_ended = False

    async def run(self) -> None:
        """Ask until told to end."""
        while not self.is_ended:
            await asyncio.sleep(self.rng.uniform(0.02, 0.12))
            await self.look_up()
            if self.hosts:
                await self.ask(self.rng.choice(self.mix))
        self.close()

    async def look_up(self) -> None:
        """Ask any VM which ones to use, when the last answer is old."""
        if self.hosts and time.monotonic() - self.looked_up_s < LOOKUP_S:
            return
        for vm in self.rng.sample(self.vms, min(3, len(self.vms))):
            path = f'/lookup?name={HOST}&region=brum&zone=brum-a'
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                message = await asyncio.wait_for(self.fetch(vm.host, path), 1.0)
                if message.status == 200:
                    addresses = json.loads(message.body)['addrs']
                    self.hosts = [address.partition(':')[0] for address in addresses]
                    self.looked_up_s = time.monotonic()
                    return

    async def fetch(self, host: str, path: str) -> Message:
        """Make one call of the directory."""
        reader, writer = await asyncio.open_connection(host, PORTS['directory'])
        try:
            writer.write(write_message(f'GET {path} HTTP/1.1', {'Host': HOST}))
            return await read_message(reader)
        finally:
            writer.close()

    async def ask(self, kind: str, path: str | None = None, mark: str = 'q') -> Asked:
        """Send one request and write down its end."""
        self.count += 1
        if self.link is not None and self.host not in self.hosts:
            self.close()
        if self.link is None:
            self.host = self.rng.choice(self.hosts)
        name = next(vm.name for vm in self.vms if vm.host == self.host)
        asked = Asked(f'{mark}.{self.number}.{self.count}', kind, name, time.monotonic())
        self.ledger.asked.append(asked)
        limit_s = PATIENCE_MS[kind] / 1000.0 + WAIT_SLACK_S
        try:
            message = await asyncio.wait_for(self.exchange(asked, path or PATHS[kind]), limit_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            asked.ended_s = time.monotonic()
            self.close()
            self.hosts = [host for host in self.hosts if host != self.host]
            return asked
        asked.ended_s = time.monotonic()
        asked.status, asked.headers, asked.body = message.status, message.headers, message.body
        if message.headers.get('connection') == 'close':
            self.close()
        return asked

    async def exchange(self, asked: Asked, path: str) -> Message:
        """Send a request over the kept connection or a new one."""
        if self.link is None:
            self.link = await asyncio.open_connection(self.host, PORTS['front'])
        reader, writer = self.link
        method, body = ('POST', b'deed') if asked.kind == 'filing' else ('GET', b'')
        headers = {
            'Host': HOST,
            'Beechbridge-Request-Id': asked.request_id,
            'Beechbridge-Deadline-Ms': str(PATIENCE_MS[asked.kind]),
            'X-Entry-Vm': asked.vm,
        }
        writer.write(write_message(f'{method} {path} HTTP/1.1', headers, body))
        return await read_message(reader)

    def close(self) -> None:
        """Close the connection."""
        if self.link is not None:
            self.link[1].close()
            self.link = None
