"""
Benchmarks of how CPU time, message size and memory scale with the size of the input.

Each benchmark runs at four or more input sizes and is fitted with a straight line.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from beechbridge.actions import AnswerCaller, Send
from beechbridge.core.limits import Limits
from beechbridge.core.node import Core
from beechbridge.document import Document, apply_delta, check_document, compute_delta
from beechbridge.events import (
    ConfigurationReceived,
    PeerMessageReceived,
    QueryReceived,
    ReplyReceived,
    VmListReceived,
)
from beechbridge.messages import Gossip, MemberView, ReplicaSign, Reply, ReplyStatus, Row
from beechbridge.models import KEY_SPACE, Query, Vm, VmIdentity, VmList
from beechbridge.record import Record
from beechbridge.wire.codec import Envelope, decode_frame, encode_frame

REPETITIONS = 5
OWN_NAME = 'vm-0'


class Slope(Record):
    """
    A straight line fitted to measurements.

    :param unit: unit of the measured value, and what the size counts
    :param base: value at size 0
    :param slope: increase of the value per unit of size
    :param residual: largest deviation from the line, as a share of the largest value
    """

    __slots__ = ('base', 'name', 'points', 'residual', 'slope', 'unit')

    def __init__(self, name: str, unit: str, points: list[tuple[int, float]]):
        self.name = name
        self.unit = unit
        self.points = points
        self.base, self.slope, self.residual = fit_line(points)

    def to_json(self) -> dict:
        """Return the slope for the results file."""
        return {name: getattr(self, name) for name in self.__slots__}


def fit_line(points: list[tuple[int, float]]) -> tuple[float, float, float]:
    """Return base, slope and largest relative residual of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(y - base - slope * x) for x, y in points) / largest
    return base, slope, residual


def best_us(work: Callable[[], None], loops: int = 1) -> float:
    """Return the minimum CPU time of a function over several runs, in microseconds."""
    best = float('inf')
    for _ in range(REPETITIONS):
        start_s = time.process_time()
        for _ in range(loops):
            work()
        best = min(best, (time.process_time() - start_s) / loops)
    return best * 1e6


def retained_bytes(build: Callable[[], object]) -> int:
    """Return the memory that an object retains, in bytes."""
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size


def make_vms(count: int) -> tuple[Vm, ...]:
    """Return a list of VMs."""
    return tuple(
        Vm(f'vm-{number}', 'p', f'10.0.{number // 250}.{number % 250}', 1, 2, 3)
        for number in range(count)
    )


def make_entries(services: int, replicas: int = 2) -> dict[str, dict]:
    """Return configuration entries with one shard per service."""
    entries = {'place/p': {'region': 'r'}}
    shards = []
    for number in range(services):
        listed = [
            {
                'replica_id': f'svc-{number}-{letter}',
                'place': 'p',
                'host': f'10.1.{number // 250}.{number % 250}',
                'port': 8400,
                'slots': 2,
                'connection_limit': 2500,
                'connection_cost_ms': 6,
            }
            for letter in range(replicas)
        ]
        entries[f'service/b/svc-{number}'] = {'replicas': listed}
        shards.append(
            {
                'shard_id': f's{number}',
                'low': KEY_SPACE * number // services,
                'high': KEY_SPACE * (number + 1) // services,
                'service': f'svc-{number}',
            }
        )
    entries['map/b/1'] = {'shards': shards}
    entries['class/c'] = {
        'back_end': 'b',
        'urgency': 50,
        'soft_deadline_ms': 5000,
        'hard_deadline_ms': 5000,
        'minimum_coverage': 1.0,
    }
    return entries


def make_core(vms: int, services: int, replicas: int = 2) -> Core:
    """Return a core that is ready to accept queries."""
    identity = VmIdentity(OWN_NAME, 1)
    core = Core(identity, 'p', Limits(), random.Random(1))
    core.start(0.0)
    core.handle(VmListReceived(VmList(make_vms(vms))), 1.0)
    core.handle(ConfigurationReceived(Document(1, make_entries(services, replicas))), 1.0)
    core.membership.mark_view_current(core)
    core.pop_actions()
    return core


class QueryRun:
    """Runs queries through a core, with an immediate reply to every sub-request."""

    def __init__(self, shards: int, rows: int):
        self.core = make_core(8, shards)
        self.rows = [Row(f'k{number:06d}', msgspec.Raw(b'{}')) for number in range(rows)]
        self.now_ms = 10.0
        self.number = 0

    def run(self) -> None:
        """Run one query until it is answered."""
        self.number += 1
        self.now_ms += 1.0
        query = Query('b', 'c', limit=100_000)
        actions = self.core.handle(QueryReceived(f'q{self.number}', query), self.now_ms)
        self.now_ms += 1.0
        answered = False
        while actions:
            action = actions.pop()
            if isinstance(action, AnswerCaller):
                answered = True
            if isinstance(action, Send):
                event = ReplyReceived(action.attempt_id, self.reply_to(action), True)
                actions += self.core.handle(event, self.now_ms)
        if not answered:
            raise RuntimeError('the query was not answered')

    def reply_to(self, action: Send) -> Reply:
        """Return a complete partial answer to a sub-request."""
        reply = Reply(ReplyStatus.DONE, attempt_id=action.attempt_id, newest_snapshot=1)
        message = action.message
        shard = getattr(message, 'shard', None)
        if shard is None:
            return reply
        reply.request_id, reply.snapshot = message.request_id, message.snapshot
        reply.shard_id, reply.low, reply.high = shard.shard_id, shard.low, shard.high
        reply.rows = self.rows
        return reply


def measure_sub_request() -> Slope:
    """Measure CPU time per query by the number of shards."""
    points = []
    for shards in (20, 80, 200, 610):
        query_run = QueryRun(shards, 0)
        query_run.run()
        points.append((shards, best_us(query_run.run, 5)))
    return Slope('sub_request', 'us a query, by shards', points)


def measure_merge() -> Slope:
    """Measure CPU time per query by the number of merged rows."""
    points = []
    for rows in (0, 50, 200, 500):
        query_run = QueryRun(20, rows)
        query_run.run()
        points.append((20 * rows, best_us(query_run.run, 5)))
    return Slope('merged_row', 'us a query, by merged rows', points)


def make_gossip(members: int, signs: int) -> Gossip:
    """Return a gossip message."""
    views = [MemberView(VmIdentity(f'vm-{n}', 1), 1, False) for n in range(1, members + 1)]
    seen = [ReplicaSign(f'svc-{n}-0', 10, False, 1, 2) for n in range(signs)]
    return Gossip(views, 1, 'd' * 64, seen)


def measure_gossip_bytes(by_signs: bool) -> Slope:
    """Measure the size of a gossip message by the number of views or signs in it."""
    points = []
    for size in (4, 16, 64, 256):
        gossip = make_gossip(1, size) if by_signs else make_gossip(size, 0)
        envelope = Envelope(VmIdentity('vm-1', 1), gossip)
        points.append((size, len(encode_frame(envelope))))
    name = 'sign_bytes' if by_signs else 'view_bytes'
    return Slope(name, f'bytes a message, by {"signs" if by_signs else "views"}', points)


def measure_heartbeat() -> Slope:
    """Measure CPU time to decode and handle a gossip message by the number of views in it."""
    points = []
    for views in (1, 16, 64, 256):
        core = make_core(512, 8)
        heartbeat = [0]
        frames = []

        def prepare(count: int = views, made: list = frames) -> None:
            for number in range(20 * REPETITIONS):
                gossip = make_gossip(count, 0)
                for view in gossip.members:
                    view.heartbeat = number + 2
                gossip.generation, gossip.digest = 0, ''
                made.append(encode_frame(Envelope(VmIdentity('vm-1', 1), gossip)))

        def receive(core: Core = core, made: list = frames, count: list = heartbeat) -> None:
            envelope = decode_frame(made[count[0]])
            count[0] += 1
            core.handle(PeerMessageReceived(envelope.sender, envelope.message), 20.0)

        prepare()
        points.append((views, best_us(receive, 20)))
    return Slope('heartbeat', 'us a message, by views', points)


def measure_gossip_round() -> Slope:
    """Measure CPU time of one gossip round by the number of VMs on the list."""
    points = []
    for vms in (8, 100, 1000, 6600):
        core = make_core(vms, 100)
        now_ms = [1000.0]

        def send(core: Core = core, now_ms: list = now_ms) -> None:
            now_ms[0] += 100.0
            core.now_ms = now_ms[0]
            core.membership.send_gossip(core)
            core.pop_actions()

        points.append((vms, best_us(send, 3)))
    return Slope('gossip_round', 'us a round, by VMs', points)


def measure_document() -> list[Slope]:
    """Measure size, validation and update of a document by the number of its entries."""
    whole, delta, size = [], [], []
    for services in (50, 200, 800, 3200):
        document = Document(1, make_entries(services))
        changed = dict(document.entries)
        changed['place/p'] = {'region': 'other'}
        newer = Document(2, changed)
        step = compute_delta(document, newer)
        count = len(document.entries)

        def check(document: Document = document) -> None:
            check_document(document)

        def apply(document: Document = document, step=step) -> None:
            apply_delta(document, step)

        whole.append((count, best_us(check)))
        delta.append((count, best_us(apply, 10)))
        size.append((count, len(msgspec.json.encode(document.entries))))
    return [
        Slope('document_check', 'us a document, by entries', whole),
        Slope('delta_apply', 'us a changed entry, by entries', delta),
        Slope('document_bytes', 'bytes a document, by entries', size),
    ]


def measure_memory() -> list[Slope]:
    """Measure the memory of the member views and of the replicas."""
    views, replicas = [], []
    base = {}
    for vms in (8, 100, 1000, 6600):

        def build_views(count: int = vms) -> Core:
            core = make_core(count, 1)
            gossip = make_gossip(min(count - 1, 6599), 0)
            core.handle(PeerMessageReceived(VmIdentity('vm-1', 1), gossip), 20.0)
            core.pop_actions()
            return core

        views.append((vms, retained_bytes(build_views)))
    for services in (50, 200, 800, 3200):

        def build_replicas(count: int = services) -> Core:
            return make_core(8, count)

        base[services] = retained_bytes(build_replicas)
        replicas.append((2 * services, base[services]))
    return [
        Slope('view_memory', 'bytes held, by VMs', views),
        Slope('replica_memory', 'bytes held, by replicas', replicas),
    ]


def measure_collection() -> Slope:
    """Measure a full garbage collection by the number of replicas of a core."""
    points = []
    for services in (50, 200, 800, 3200):
        core = make_core(8, services)
        points.append((2 * services, best_us(gc.collect)))
        del core
    return Slope('collection', 'us a full collection, by replicas', points)


def measure_all() -> dict[str, Slope]:
    """Run all benchmarks; return their slopes by name."""
    slopes = [
        measure_sub_request(),
        measure_merge(),
        measure_gossip_bytes(False),
        measure_gossip_bytes(True),
        measure_heartbeat(),
        measure_gossip_round(),
        *measure_document(),
        *measure_memory(),
        measure_collection(),
    ]
    return {slope.name: slope for slope in slopes}
