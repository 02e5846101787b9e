"""All replicas of a service crash at once; a request that many clients send must come back."""

import asyncio
import itertools
import random
import time
from collections import Counter
from pathlib import Path

import stand_ins
from stand_ins import BEAT_S, BROKEN, NOT_RUN, PASSED, Replica, Store, now_s

FOLDER = Path(__file__).resolve().parent

MACHINES = 3
REGISTER_REPLICAS = 5
REGISTER_WORK_S = 0.16
BILLING_REPLICAS = 3
BILLING_WORK_S = 0.02
SLOTS = 3
QUEUE = 12
TIME_LIMIT_S = 4.0
TRAFFIC_S = 70.0
CRASH_AT_S = 8.0
CRASH_FOR_S = 4.5
EXPIRY_S = 3 * BEAT_S
STARVED_SHARE = 0.25

KINDS = {'overzicht': 30.0, 'akte': 10.0, 'declaratie': 40.0}
"""Requests a second of each kind: the overview that all desks show has one path for all."""


class Case:
    """The deployment, its traffic and the record."""

    def __init__(self, temporary: Path):
        self.lines: list[tuple[float, str]] = []
        self.served = Counter()
        self.sent = Counter()
        self.served_late = Counter()
        self.sent_late = Counter()
        self.numbers = itertools.count(1)
        self.store = Store()
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
        await self.store.start()
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
                self.store.put(f'servers/{replica.replica_id}', replica.describe())
        routes = [
            stand_ins.make_route('overzicht', service='aktenregister'),
            stand_ins.make_route('akte', service='aktenregister'),
            stand_ins.make_route('declaratie', service='declaratie'),
        ]
        table = stand_ins.make_table(10, routes, {'aktenregister': 38, 'declaratie': 38})
        self.store.put('op/config', table)
        self.gateways = stand_ins.make_gateways(MACHINES, 106, self.store, self.temporary)
        for gateway in self.gateways:
            gateway.start()
        return all([await gateway.wait_ready() for gateway in self.gateways])

    async def crash(self, started_s: float) -> None:
        """End all replicas of the register at once, and start them again after a while."""
        await asyncio.sleep(CRASH_AT_S)
        victims = [one for one in self.replicas if one.service == 'aktenregister']
        self.note(f'all replicas of aktenregister crash, holding {[one.held for one in victims]}')
        for replica in victims:
            replica.stop()
        await asyncio.sleep(EXPIRY_S)
        for replica in victims:
            self.store.remove(f'servers/{replica.replica_id}')
        await asyncio.sleep(max(0.0, started_s + CRASH_AT_S + CRASH_FOR_S - time.monotonic()))
        for replica in victims:
            replica.begin_incarnation()
            await replica.start()
            self.store.put(f'servers/{replica.replica_id}', replica.describe())
        self.note(f'they are back as {[one.replica_id for one in victims]}')

    async def request(self, kind: str, is_late: bool) -> None:
        """Send a request, and once more after a failure, as the clients of the pages do."""
        number = next(self.numbers)
        path = '/overzicht/vandaag' if kind == 'overzicht' else f'/{kind}/{number}'
        deadline_s = time.monotonic() + TIME_LIMIT_S
        is_served = False
        for is_retry in (False, True):
            left_s = deadline_s - time.monotonic()
            attempt = await stand_ins.send(random.choice(self.gateways), path, left_s)
            self.lines.append((attempt.sent_s, attempt.describe()))
            is_served = attempt.status == 200 and 'beechbridge-server-stamp' in attempt.headers
            if is_served or is_retry:
                break
            left_s = deadline_s - time.monotonic()
            wait_s = float(attempt.headers.get('retry-after', 0.0))
            await asyncio.sleep(max(0.0, min(wait_s, left_s / 3)))
        self.sent[kind] += 1
        self.served[kind] += is_served
        if is_late:
            self.sent_late[kind] += 1
            self.served_late[kind] += is_served

    async def generate(self, kind: str, per_s: float, started_s: float) -> None:
        """Send the requests of one kind at a constant rate, whatever becomes of them."""
        tasks = []
        for number in range(round(TRAFFIC_S * per_s)):
            due_s = started_s + number / per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            # `recoverS` is 12: from then on, all has had the time to recover.
            is_late = number / per_s > CRASH_AT_S + CRASH_FOR_S + 12.0
            tasks.append(asyncio.create_task(self.request(kind, is_late)))
        await asyncio.gather(*tasks)

    def judge(self) -> int:
        """Return whether a kind of request starved."""
        shares = {kind: self.served[kind] / self.sent[kind] for kind in KINDS}
        overall = sum(self.served.values()) / sum(self.sent.values())
        for kind in KINDS:
            self.note(
                f'{kind}: {self.served[kind]} of {self.sent[kind]} served; of those sent later '
                f'than recoverS after the crash {self.served_late[kind]} of '
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
            jobs.append(case.crash(started_s))
        await asyncio.gather(*jobs)
        result = case.judge()
    finally:
        for gateway in case.gateways:
            gateway.kill()
        lines = [line for _, line in sorted(case.lines)]
        record_path.write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[-4:]))
    return result


if __name__ == '__main__':
    stand_ins.run_case(run, FOLDER)
