"""A machine loses its links to all replicas for seconds; what its clients ask must come back."""

import asyncio
import contextlib
import itertools
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '6'))

import stand_ins  # noqa: E402
from stand_ins import BROKEN, NOT_RUN, PASSED, Replica, Store, now_s  # noqa: E402

MACHINES = 3
REGISTER_REPLICAS = 5
REGISTER_WORK_S = 0.16
BILLING_REPLICAS = 3
BILLING_WORK_S = 0.02
SLOTS = 3
QUEUE = 12
TIME_LIMIT_S = 4.0
TRAFFIC_S = 60.0
CUT_AT_S = 8.0
CUT_FOR_S = 5.0
STARVED_SHARE = 0.25
MOVE_AT_S = CUT_AT_S + CUT_FOR_S + 2.0

KINDS = {'overzicht': 40.0, 'akte': 10.0, 'declaratie': 40.0}
"""
Requests a second of each kind. The overview of one office has one path; its clients use the
machine of their zone until it has been back for a while, then all. The others always use all.
"""


class Link(stand_ins.Server):
    """The link from one machine to one replica, at an address of its own."""

    def __init__(self, replica: Replica):
        super().__init__()
        self.replica = replica

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until either side ends it."""
        self.writers.add(writer)
        try:
            other_reader, other_writer = await asyncio.open_connection(
                stand_ins.STAND_IN_HOST, self.replica.port
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(other_writer)
        await asyncio.gather(forward(reader, other_writer), forward(other_reader, writer))
        self.writers -= {writer, other_writer}


async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forward one direction until it ends."""
    with contextlib.suppress(OSError, asyncio.CancelledError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(RuntimeError):
        writer.close()


class Case:
    """The deployment, its traffic and the record."""

    def __init__(self, temporary: Path):
        self.lines: list[tuple[float, str]] = []
        self.served = Counter()
        self.sent = Counter()
        self.served_late = Counter()
        self.sent_late = Counter()
        self.numbers = itertools.count(1)
        self.stores: list[Store] = []
        self.links: list[list[Link]] = []
        self.replicas: list[Replica] = []
        self.temporary = temporary
        self.gateways = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((now_s(), f'{now_s():8.3f}          {text}'))

    def note_arrival(self, replica: Replica, message, what: str) -> None:
        """Record a request that reached a replica."""
        request_id = message.headers.get('beechbridge-request-id')
        self.note(f'replica {replica.replica_id} ({replica.service}) {request_id}: {what}')

    async def start(self) -> bool:
        """Start everything; return whether all machines are ready."""
        routes = [
            stand_ins.make_route('overzicht', service='aktenregister'),
            stand_ins.make_route('akte', service='aktenregister'),
            stand_ins.make_route('declaratie', service='declaratie'),
        ]
        table = stand_ins.make_table(10, routes, {'aktenregister': 38, 'declaratie': 38})
        for _ in range(MACHINES):
            store = Store()
            await store.start()
            store.put('op/config', table)
            self.stores.append(store)
        self.gateways = stand_ins.make_gateways(MACHINES, 109, self.stores[0], self.temporary)
        for gateway, store in zip(self.gateways, self.stores, strict=True):
            text = gateway.settings_path.read_text()
            gateway.settings_path.write_text(text.replace(self.stores[0].address, store.address))
            gateway.start()
        if not all([await gateway.wait_ready() for gateway in self.gateways]):
            return False
        await asyncio.sleep(2.0)
        zones = itertools.cycle(stand_ins.ZONES)
        for service, count, work_s in (
            ('aktenregister', REGISTER_REPLICAS, REGISTER_WORK_S),
            ('declaratie', BILLING_REPLICAS, BILLING_WORK_S),
        ):
            for _ in range(count):
                replica = Replica(service, next(zones), SLOTS, QUEUE, work_s)
                replica.record = self.note_arrival
                await replica.start()
                self.replicas.append(replica)
        for store in self.stores:
            links = [Link(replica) for replica in self.replicas]
            for link in links:
                await link.start()
            self.links.append(links)
            for link in links:
                entry = {**link.replica.describe(), 'addr': link.address}
                store.put(f'servers/{link.replica.replica_id}', entry)
        return True

    async def cut(self) -> None:
        """Part the first machine from all replicas for a while."""
        await asyncio.sleep(CUT_AT_S)
        self.note(f'{self.gateways[0].name} is parted from all replicas')
        for link in self.links[0]:
            link.stop()
        await asyncio.sleep(CUT_FOR_S)
        for link in self.links[0]:
            await link.start()
        self.note(f'{self.gateways[0].name} reaches them again')

    async def request(self, kind: str, due_s: float) -> None:
        """Send a request, and once more after a failure, as the clients of the pages do."""
        number = next(self.numbers)
        path = '/overzicht/vandaag' if kind == 'overzicht' else f'/{kind}/{number}'
        deadline_s = time.monotonic() + TIME_LIMIT_S
        is_served = False
        for is_retry in (False, True):
            left_s = deadline_s - time.monotonic()
            is_bound = kind == 'overzicht' and due_s < MOVE_AT_S
            gateway = self.gateways[0] if is_bound else random.choice(self.gateways)
            attempt = await stand_ins.send(gateway, path, left_s)
            self.lines.append((attempt.sent_s, attempt.describe()))
            is_served = attempt.status == 200 and 'beechbridge-server-stamp' in attempt.headers
            if is_served or is_retry:
                break
            left_s = deadline_s - time.monotonic()
            wait_s = float(attempt.headers.get('retry-after', 0.0))
            await asyncio.sleep(max(0.0, min(wait_s, left_s / 3)))
        self.sent[kind] += 1
        self.served[kind] += is_served
        # `recoverS` is 12: from then on, all has had the time to recover.
        if due_s > CUT_AT_S + CUT_FOR_S + 12.0:
            self.sent_late[kind] += 1
            self.served_late[kind] += is_served

    async def generate(self, kind: str, per_s: float, started_s: float) -> None:
        """Send the requests of one kind at a constant rate, whatever becomes of them."""
        tasks = []
        for number in range(round(TRAFFIC_S * per_s)):
            due_s = started_s + number / per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.request(kind, number / per_s)))
        await asyncio.gather(*tasks)

    def judge(self) -> int:
        """Return whether a kind of request starved."""
        shares = {kind: self.served[kind] / self.sent[kind] for kind in KINDS}
        overall = sum(self.served.values()) / sum(self.sent.values())
        for kind in KINDS:
            self.note(
                f'{kind}: {self.served[kind]} of {self.sent[kind]} served; of those sent later '
                f'than recoverS after the cut {self.served_late[kind]} of '
                f'{self.sent_late[kind]}'
            )
        starved = [kind for kind in KINDS if shares[kind] < STARVED_SHARE * overall]
        self.note(f'served of all: {overall:.3f}; starved: {starved or "none"}')
        return BROKEN if starved else PASSED


async def run(temporary: Path, record_path: Path) -> int:
    """Play the case; return its result."""
    case = Case(temporary)
    try:
        if not await case.start():
            print('the machines did not become ready')
            return NOT_RUN
        await asyncio.sleep(2.0)
        started_s = time.monotonic()
        case.note('traffic begins')
        jobs = [case.generate(kind, per_s, started_s) for kind, per_s in KINDS.items()]
        if stand_ins.has_trouble():
            jobs.append(case.cut())
        await asyncio.gather(*jobs)
        result = case.judge()
    finally:
        for gateway in case.gateways:
            gateway.kill()
        for server in itertools.chain(case.stores, case.replicas, *case.links):
            server.stop()
        await asyncio.sleep(0.2)
        lines = [line for _, line in sorted(case.lines)]
        record_path.write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[-4:]))
    return result


if __name__ == '__main__':
    stand_ins.run_case(run, FOLDER)
