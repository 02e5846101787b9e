"""Stand-ins for replicas and the platform's store, on loopback."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http11 import Message, read_message, write_message
from .record import Record

BEAT_S = 1.2
"""`beatMs` of the settings: a replica writes its entry about so often."""

SLOTS = 2
QUEUE = 8
"""Requests that a replica works on at once, and those that may wait, as in the site file."""


class Server:
    """A server on a loopback address, on a port that was free."""

    def __init__(self, host: str):
        self.host = host
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, backlog=512, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                await self.reply(message, writer)
        self.writers.discard(writer)
        writer.close()

    async def reply(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        writer.write(await self.answer(message))
        await writer.drain()

    async def answer(self, message: Message) -> bytes:
        """Return the response to a request."""
        raise NotImplementedError


def respond(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a response."""
    return write_message(f'HTTP/1.1 {status} Status', headers, body)


class Replica(Server):
    """
    A replica of a service.

    :param work_s: time in seconds that it works on a request
    :param body: body of its answers
    """

    def __init__(self, host: str, replica_id: str, service: str, zone: str, record: Record):
        super().__init__(host)
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = 0.004
        self.body = b'0123456789abcdef'
        self.run_count = 0
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting_count = 0

    def entry(self) -> dict:
        """Return its entry, with all fields that the pages name."""
        self.seq += 1
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': '1.0',
            'slots': 2,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': self.seq,
            'born': self.born_ms,
        }

    async def answer(self, message: Message) -> bytes:
        """Run a request, or reject it if it was meant for another replica."""
        headers = message.headers
        request_id = headers.get('beechbridge-request-id', '')
        echo = {'Beechbridge-Request-Id': request_id}
        if message.target.startswith('/healthz'):
            return respond(200, {'Beechbridge-Instance-Id': self.replica_id})
        if headers.get('beechbridge-expect-instance', self.replica_id) != self.replica_id:
            return self.reject(421, request_id, echo)
        if self.slots.locked() and self.waiting_count >= QUEUE:
            return self.reject(503, request_id, echo)
        deadline_s = time.monotonic() + int(headers['beechbridge-deadline-ms']) / 1000.0
        self.waiting_count += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting_count -= 1
        try:
            if time.monotonic() >= deadline_s:
                return self.reject(503, request_id, echo)
            self.run_count += 1
            self.record.write('run', request_id, self.replica_id, self.service)
            return await self.run(message, echo)
        finally:
            self.slots.release()

    def reject(self, status: int, request_id: str, echo: dict[str, str]) -> bytes:
        """Return a response that says that the request has not run."""
        self.record.write('rejected', request_id, self.replica_id, self.service, status=status)
        return respond(status, {'Beechbridge-Not-Run': '1', **echo})

    async def run(self, message: Message, echo: dict[str, str]) -> bytes:
        """Work on a request, and return the response."""
        await asyncio.sleep(self.work_s)
        stamp = f'{self.replica_id}.{self.run_count}'
        return respond(
            200,
            {'Beechbridge-Server-Stamp': stamp, **echo, 'Keep-Alive': 'timeout=10'},
            self.body,
        )


class Store(Server):
    """The platform's store."""

    def __init__(self, host: str):
        super().__init__(host)
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write an item with a value of any bytes."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {'key': key, 'rev': self.revision, 'value': text, 'created': 1, 'lease': 0}
        self.items[key] = item
        self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, message: Message) -> bytes:
        """Serve a read or a watch."""
        url = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == '/kv-range':
            return self.list_items(query)
        if url.path == '/kv-watch':
            return await self.watch(query)
        return respond(404, {'Store-Era': '1'})

    def list_items(self, query: dict[str, str]) -> bytes:
        """Return a page of items."""
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        body = {
            'items': [self.items[key] for key in keys[:500]],
            'hasMore': len(keys) > 500,
            'currentRev': self.revision,
        }
        return respond(200, {'Store-Era': '1'}, json.dumps(body).encode())

    async def watch(self, query: dict[str, str]) -> bytes:
        """Return the events after a revision; wait up to `waitMs` if there is none."""
        after = int(query['after'])
        deadline_s = time.monotonic() + int(query['waitMs']) / 1000.0
        while self.revision <= after:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
        events = [event for event in self.events if event['rev'] > after]
        body = {'events': events, 'currentRev': self.revision}
        return respond(200, {'Store-Era': '1'}, json.dumps(body).encode())
