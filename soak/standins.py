"""Stand-ins for the replicas and the platform's store, on loopback."""

import asyncio
import base64
import contextlib
import functools
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from .http11 import Message, read_message, write_chunked, write_message
from .ledger import RECORD_BYTES, Arrival, Ledger, Part
from .listener import Listener

SERVICE_TIME_S = 0.006
KEEP_ALIVE_S = 10
FILLER = b'0123456789abcdef' * 512
ENDLESS_REPLIES = {
    'body': (b'HTTP/1.1 200 OK\r\n\r\n', FILLER, 0.0),
    'chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'2000\r\n' + FILLER + b'\r\n',
        0.0,
    ),
    'header': (b'HTTP/1.1 200 OK\r\nX-Filler: ', FILLER, 0.0),
    'trickle': (b'HTTP/1.1 200 OK\r\nX-Filler: ', b'x', 0.05),
}
"""Replies without an end: how each begins, what follows for ever, and the pause in seconds."""

DEADLY = 'deadly'
"""In the target of each request that ends the replicas that run it."""

LARGE = 'large'
"""In the target of each request for a large answer."""

LARGE_RECORDS = 262_144
EVACUATION_PREFIX = 'op/evacuate/'

REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 421: 'Misdirected', 503: 'Unavailable'}


class Server(Listener):
    """Loopback server that can be stopped and restarted on the same port."""

    def __init__(self, host: str):
        super().__init__(host)
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening; after a stop, on the same port as before."""
        await self.listen(self.serve)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        errors = (asyncio.IncompleteReadError, asyncio.CancelledError, OSError)
        with contextlib.suppress(*errors):
            while True:
                message = await read_message(reader)
                answer = await self.answer(message, reader)
                if answer is None:
                    break
                if callable(answer):
                    await answer(writer)
                    break
                writer.write(answer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(
        self, message: Message, reader: asyncio.StreamReader
    ) -> bytes | Callable[[asyncio.StreamWriter], Awaitable[None]] | None:
        """Return the response to a request or what writes it; None closes the connection."""
        raise NotImplementedError


def respond(
    status: int, headers: dict[str, str], body: bytes = b'', chunk_bytes: int = 0
) -> bytes:
    """Encode a response, in chunks of a size unless that is 0."""
    first_line = f'HTTP/1.1 {status} {REASONS[status]}'
    if chunk_bytes:
        return write_chunked(first_line, headers, body, chunk_bytes)
    return write_message(first_line, headers, body)


async def send_without_end(kind: str, writer: asyncio.StreamWriter) -> None:
    """Send an endless reply until the other side closes the connection."""
    start, piece, pause_s = ENDLESS_REPLIES[kind]
    for data in itertools.chain([start], itertools.repeat(piece)):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(pause_s)


class Replica(Server):
    """
    A replica of a service.

    :param slowdown: factor applied to the service time
    :param long_share: share of the requests that it works on for a time out of `long_s`
    :param chunk_bytes: size of the chunks in which it sends small replies, 0 if with a length
    :param lose_share: share of the requests that run but get no response
    :param reject_share: share of the requests that are rejected
    :param refuse_share: share of the requests that must not run twice which are answered 503 once
        they have run, without saying that they have not
    :param late_share: share of the responses that are sent a second time, ahead of the next one
    :param endless_kind: kind of endless reply that it sends to every request, none if empty
    :param end: called by a request that ends the replica's process
    :param cold_until_s: when it will be warm, 0 if it is
    :param notice: headers in which it states something about itself, in every reply
    """

    def __init__(self, host: str, replica_id: str, service: str, ledger: Ledger, rng):
        super().__init__(host)
        self.replica_id = replica_id
        self.service = service
        self.ledger = ledger
        self.rng = rng
        self.slowdown = 1.0
        self.long_share = 0.0
        self.long_s = (0.0, 0.0)
        self.chunk_bytes = 0
        self.lose_share = 0.0
        self.reject_share = 0.0
        self.refuse_share = 0.0
        self.late_share = 0.0
        self.endless_kind = ''
        self.notice: dict[str, str] = {}
        self.cold_until_s = 0.0
        self.end: Callable[[], None] = self.stop
        self.run_count = 0
        self.late = b''

    def state_cold(self) -> dict[str, str]:
        """Return the header with the time for which it stays cold, none if it was never cold."""
        if not self.cold_until_s:
            return {}
        left_s = max(0.0, self.cold_until_s - time.monotonic())
        return {'Beechbridge-Cold-Ms': str(round(1000.0 * left_s))}

    async def answer(self, message: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Run a request and record its response, or reject it."""
        headers = message.headers
        request_id = headers.get('beechbridge-request-id', '')
        is_misdirected = headers.get('beechbridge-expect-instance') != self.replica_id
        is_rejected = is_misdirected or self.rng.random() < self.reject_share
        vm = headers.get('x-entry-vm', '')
        arrival = Arrival(
            time.monotonic(), request_id, self.replica_id, self.service, vm, not is_rejected
        )
        self.ledger.arrivals.append(arrival)
        target = message.first_line.split()[1]
        if DEADLY in target and not is_rejected:
            self.ledger.deadly_arrivals[target].append((time.monotonic(), vm))
        echo = {'Beechbridge-Request-Id': request_id, **self.notice, **self.state_cold()}
        if is_misdirected:
            return respond(421, {'Beechbridge-Instance-Id': self.replica_id, **echo})
        if is_rejected:
            return respond(503, {'Beechbridge-Not-Run': '1', **echo})
        self.run_count += 1
        signature = f'{self.replica_id}.{self.run_count}'
        work_s = SERVICE_TIME_S * self.slowdown * self.rng.uniform(0.5, 2.0)
        if self.long_share and self.rng.random() < self.long_share:
            work_s = self.rng.uniform(*self.long_s)
        await asyncio.sleep(work_s)
        if DEADLY in target:
            self.ledger.deadly_ends[target].append(time.monotonic())
            self.end()
            return None
        if self.endless_kind:
            return functools.partial(send_without_end, self.endless_kind)
        if self.rng.random() < self.lose_share:
            return None
        arrival.ended_s = time.monotonic()
        is_refused = self.refuse_share and message.first_line.startswith('POST')
        if is_refused and self.rng.random() < self.refuse_share:
            return respond(503, {'Beechbridge-Server-Stamp': signature, **echo})
        body = self.rng.randbytes(16 * self.rng.randrange(0, 8) + self.rng.randrange(0, 3))
        if LARGE in target:
            body = self.rng.randbytes(RECORD_BYTES) * LARGE_RECORDS
        self.ledger.parts[signature] = Part(request_id, self.service, body)
        answer = respond(
            200,
            {
                'Beechbridge-Server-Stamp': signature,
                **echo,
                'Keep-Alive': f'timeout={KEEP_ALIVE_S}',
            },
            body,
            0 if LARGE in target else self.chunk_bytes,
        )
        late, self.late = self.late, b''
        if self.rng.random() < self.late_share:
            # Sent again ahead of the next response, on whichever connection that is.
            self.late = answer
        return late + answer


class Store(Server):
    """
    The platform's store.

    :param delay_s: response delay in seconds
    :param is_unavailable: whether it responds with 503
    :param lose_every: one in so many responses is lost, none if 0
    """

    def __init__(self, host: str):
        super().__init__(host)
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.compacted = 0
        self.delay_s = 0.0
        self.is_unavailable = False
        self.lose_every = 0
        self.call_count = 0
        self.epoch = 1
        self.changed = asyncio.Event()

    def put(self, key: str, value: object) -> float:
        """Write an item; return the time of the acknowledgement."""
        return self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> float:
        """Write an item with a value of any bytes; return the time of the acknowledgement."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {'key': key, 'rev': self.revision, 'value': text, 'created': 1, 'lease': 0}
        self.items[key] = item
        return self.notify_watches(item)

    def remove(self, key: str) -> float:
        """Delete an item; return the time of the acknowledgement."""
        self.revision += 1
        self.items.pop(key, None)
        return self.notify_watches({'key': key, 'rev': self.revision, 'tombstone': True})

    def start_evacuation(self, zone: str) -> float:
        """Say that a data centre is evacuated; return the time of the acknowledgement."""
        return self.put(EVACUATION_PREFIX + zone, {})

    def end_evacuation(self, zone: str) -> float:
        """Say that an evacuation has ended; return the time of the acknowledgement."""
        return self.remove(EVACUATION_PREFIX + zone)

    def notify_watches(self, event: dict) -> float:
        """Append an event and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic()

    def compact(self) -> None:
        """Discard the history."""
        self.compacted = self.revision
        self.events.clear()

    def copy_state(self) -> tuple:
        """Return a copy of items, history and revision."""
        return dict(self.items), list(self.events), self.revision

    def restore(self, copied: tuple) -> list[dict]:
        """Restore a copy and reset all connections; return the events that are lost by that."""
        lost = [event for event in self.events if event['rev'] > copied[2]]
        self.items, self.events, self.revision = dict(copied[0]), list(copied[1]), copied[2]
        self.compacted = min(self.compacted, self.revision)
        self.epoch += 1
        for writer in list(self.writers):
            writer.transport.abort()
        return lost

    def respond(self, status: int, body: bytes = b'') -> bytes:
        """Encode a response with the epoch."""
        return respond(status, {'Store-Era': str(self.epoch)}, body)

    async def answer(self, message: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Serve a read or a watch."""
        await asyncio.sleep(self.delay_s)
        self.call_count += 1
        if self.lose_every and self.call_count % self.lose_every == 0:
            return None
        if self.is_unavailable:
            return self.respond(503)
        url = urlsplit(message.first_line.split()[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == '/kv-range':
            return self.list_items(query)
        if url.path == '/kv-watch':
            return await self.watch(query)
        return self.respond(404)

    def list_items(self, query: dict[str, str]) -> bytes:
        """Return a page of items."""
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        body = {
            'items': [self.items[key] for key in keys[:20]],
            'hasMore': len(keys) > 20,
            'currentRev': self.revision,
        }
        return self.respond(200, json.dumps(body).encode())

    async def watch(self, query: dict[str, str]) -> bytes:
        """Return the events after a revision, waiting up to `waitMs` if there is none."""
        after = int(query['after'])
        if after < self.compacted or after > self.revision:
            return self.respond(410)
        deadline_s = time.monotonic() + int(query['waitMs']) / 1000.0
        while self.revision <= after:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
        events = [event for event in self.events if event['rev'] > after]
        body = {'events': events, 'currentRev': self.revision}
        return self.respond(200, json.dumps(body).encode())
