"""
Emulator: several gateways over stand-in replicas, on virtual time and without a network.

Replicas have slots, a queue, pauses and speeds; links have delays; VMs hear each other's
heartbeats. Everything that happens is drawn from one seed, so that a run repeats exactly.
"""

import heapq
import random
import struct

from beechbridge.failures import Failure
from beechbridge.gateway.events import (
    CallerDisconnected,
    ChangesReceived,
    ExchangeEnded,
    OrderReceived,
    RequestReceived,
    RequestSent,
    TimerDue,
)
from beechbridge.gateway.models import (
    CallerRequest,
    Item,
    LinkFailure,
    LinkFault,
    Member,
    PartsAnswer,
    PartsReply,
    ReplicaEntry,
    Reply,
)
from beechbridge.gateway.node import Gateway
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import CallerLimits, Route, RoutingTable, ServiceRules

from .emulated_actions import REGION_DELAY_MS, perform
from .stand_ins import EmulatedVm, Job, PlacedOrder, ReplicaSpec, StandIn, region_of

ZONE_DELAY_MS = 0.1
WATCH_MS = 2_500.0
RECORDS_PER_PART = 12
TABLE_KEY = 'table'
ENTRY_PREFIX = 'replica/'
HOST = 'search.example'


class Emulator:
    """
    A deployment on virtual time.

    :param zones: data centre of each VM; a region's name is what stands before the dash
    :param work_ms: usual work of a request by route name
    :param seed: source of all randomness
    """

    __slots__ = (
        'entries',
        'events',
        'items',
        'next_key',
        'now_ms',
        'replicas',
        'revision',
        'rng',
        'sequence',
        'table',
        'vms',
        'work_ms',
    )

    def __init__(
        self,
        zones: tuple[str, ...],
        work_ms: dict[str, float],
        budget: BudgetRules | None = None,
        seed: int = 1,
    ):
        self.rng = random.Random(seed)
        self.work_ms = work_ms
        self.now_ms = 0.0
        self.events: list[tuple[float, int, object]] = []
        self.sequence = 0
        self.next_key = 0
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.table: RoutingTable | None = None
        self.replicas: dict[str, StandIn] = {}
        self.entries: dict[str, ReplicaEntry] = {}
        self.vms: list[EmulatedVm] = []
        regions = {zone: region_of(zone) for zone in zones}
        seeds = tuple(f'vm-{number}' for number in range(min(3, len(zones))))
        for number, zone in enumerate(zones):
            own = Member(f'vm-{number}', f'vm-{number}', zone, incarnation=1)
            gateway = Gateway(
                own,
                seeds,
                regions,
                self.decode_item,
                budget or BudgetRules(),
                6_000.0,
                random.Random(self.rng.getrandbits(64)),
            )
            self.vms.append(EmulatedVm(gateway))
        for vm in self.vms:
            self.perform_all(vm, vm.gateway.start(0.0))
        self.later(WATCH_MS, self.end_watches)

    def decode_item(self, key: str, value: bytes) -> RoutingTable | ReplicaEntry | Failure | None:
        """Return what an item stands for: items carry names, not contents."""
        if key == TABLE_KEY:
            return self.table
        return self.entries.get(value.decode())

    def put_table(self, routes: list[Route], connection_limit: int = 26, version: int = 1) -> None:
        """Publish a routing table."""
        services = {}
        for route in routes:
            for service in route.services:
                services[service] = ServiceRules(service, connection_limit)
        self.table = RoutingTable(
            version, routes, services, CallerLimits(16_384, 262_144, 3_000.0, 15_000.0)
        )
        self.publish([Item(TABLE_KEY, b'table', self.next_revision())])

    def put_replica(
        self, replica_id: str, service: str, zone: str, spec: ReplicaSpec | None = None
    ) -> StandIn:
        """Start a replica and publish its entry."""
        entry = ReplicaEntry(replica_id, service, replica_id, 80, zone)
        replica = StandIn(entry, spec or ReplicaSpec(), self.rng.uniform(0, 10_000))
        self.replicas[replica_id] = replica
        self.publish_entry(entry)
        return replica

    def publish_entry(self, entry: ReplicaEntry) -> None:
        """Publish a replica's entry."""
        revision = self.next_revision()
        name = f'{entry.replica_id}@{revision}'
        self.entries[name] = entry
        self.publish([Item(ENTRY_PREFIX + entry.replica_id, name.encode(), revision)])

    def remove_entry(self, replica_id: str) -> None:
        """Delete a replica's entry; the replica goes on."""
        self.publish([Item(ENTRY_PREFIX + replica_id, None, self.next_revision())])

    def end_watches(self) -> None:
        """Let the watches of the store end without news."""
        for vm in self.vms:
            if vm.is_following:
                self.tell(vm, ChangesReceived([], self.revision))
        self.later(WATCH_MS, self.end_watches)

    def next_revision(self) -> int:
        """Return the revision of the next change."""
        self.revision += 1
        return self.revision

    def publish(self, changes: list[Item]) -> None:
        """Let every VM that follows the store read changes at once."""
        for item in changes:
            self.items[item.key] = item
        for vm in self.vms:
            if vm.is_following:
                self.tell(vm, ChangesReceived(changes, self.revision))

    def list_items(self, vm: EmulatedVm) -> None:
        """Let a VM list the store."""
        if vm.is_following:
            self.tell(vm, ChangesReceived(list(self.items.values()), self.revision))

    def ask(self, vm_number: int, path: str, patience_ms: float, method: str = 'GET') -> int:
        """Let a caller ask a VM now; return the key of its answer."""
        self.next_key += 1
        key = self.next_key
        request = CallerRequest(f'request-{key}', method, path, HOST, path, [], b'', patience_ms)
        self.tell(self.vms[vm_number], RequestReceived(key, request))
        return key

    def leave(self, vm_number: int, key: int) -> None:
        """Let a caller close its connection."""
        self.tell(self.vms[vm_number], CallerDisconnected(key))

    def tell(self, vm: EmulatedVm, event: object) -> None:
        """Hand an event to a VM."""
        if vm.is_up:
            self.perform_all(vm, vm.gateway.handle(event, self.now_ms))

    def perform_all(self, vm: EmulatedVm, actions: list) -> None:
        """Carry a VM's actions out and arm its next timer."""
        for action in actions:
            perform(action, vm, self)
        due_ms = vm.gateway.timers.next_due_ms()
        if due_ms is not None and due_ms < vm.timer_ms:
            vm.timer_ms = due_ms
            self.later(due_ms - self.now_ms, lambda: self.fire(vm, due_ms))

    def fire(self, vm: EmulatedVm, due_ms: float) -> None:
        """Let a VM's timers fire."""
        if vm.timer_ms == due_ms:
            vm.timer_ms = float('inf')
            self.tell(vm, TimerDue())

    def later(self, delay_ms: float, call) -> None:
        """Call something after a delay."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now_ms + max(0.0, delay_ms), self.sequence, call))

    def run(self, for_ms: float) -> None:
        """Let time pass."""
        until_ms = self.now_ms + for_ms
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            call()
        self.now_ms = until_ms

    def delay_ms(self, vm: EmulatedVm, zone: str) -> float:
        """Return the one-way delay between a VM and a data centre."""
        own_region = region_of(vm.gateway.fleet.own.zone)
        return ZONE_DELAY_MS if own_region == region_of(zone) else REGION_DELAY_MS

    def arrive(self, job: Job) -> None:
        """Let a request reach its replica."""
        replica = job.replica
        if job.is_cancelled or replica.spec.is_dark:
            return
        replica.arrivals.append((self.now_ms, job.action.request.request_id))
        is_full = len(replica.running) >= replica.spec.slots
        if self.rng.random() < replica.spec.reject_share or (
            is_full and len(replica.queue) >= replica.spec.queue_limit
        ):
            self.reply(job, Reply(503, [], b'', is_rejected=True))
            return
        if is_full:
            replica.queue.append(job)
            return
        self.start_job(job)

    def start_job(self, job: Job) -> None:
        """Let a replica work on a request."""
        replica = job.replica
        replica.running.append(job)
        path = job.action.request.path
        usual_ms = self.work_ms[path.strip('/').partition('/')[0]]
        work_ms = usual_ms * self.rng.lognormvariate(0.0, 0.35) * replica.spec.slow_factor
        work_ms += replica.pause_left_ms(self.now_ms)
        self.later(work_ms, lambda: self.finish_job(job))

    def finish_job(self, job: Job) -> None:
        """End the work on a request and take the next from the queue."""
        replica = job.replica
        left_ms = replica.pause_left_ms(self.now_ms)
        if left_ms > 0.0:
            self.later(left_ms, lambda: self.finish_job(job))
            return
        replica.running.remove(job)
        while replica.queue and len(replica.running) < replica.spec.slots:
            waiting = replica.queue.pop(0)
            if not waiting.is_cancelled:
                self.start_job(waiting)
        if job.is_cancelled or replica.spec.is_dark:
            return
        # All replicas of a shard have the same records for a request.
        drawn = random.Random(f'{replica.entry.service} {job.action.request.request_id}')
        records = [struct.pack('>QQ', drawn.getrandbits(63), 0) for _ in range(RECORDS_PER_PART)]
        signature = f'{replica.entry.replica_id}.{job.action.request.request_id}'
        self.reply(
            job, Reply(200, [], b''.join(records), signature, job.action.request.request_id)
        )

    def reply(self, job: Job, reply: Reply) -> None:
        """Send a reply back to the VM."""
        reply.request_id = job.action.request.request_id
        delay_ms = self.delay_ms(job.vm, job.replica.entry.zone)
        self.later(delay_ms, lambda: self.deliver(job, reply))

    def deliver(self, job: Job, reply: Reply) -> None:
        """Hand a reply to the VM if it still waits on that connection."""
        if not job.is_cancelled:
            self.tell(job.vm, ExchangeEnded(job.action.exchange_id, reply))

    def vm_at(self, host: str) -> EmulatedVm:
        """Return the VM that has an address."""
        return next(vm for vm in self.vms if vm.gateway.fleet.own.host == host)

    def take_order(self, placed: PlacedOrder) -> None:
        """Let an order reach its VM; a process that is gone refuses the connection."""
        if placed.is_cancelled:
            return
        if not placed.target.is_up:
            if placed.action.is_new:
                failure = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False)
                event = ExchangeEnded(placed.action.exchange_id, failure)
                self.tell(placed.vm, event)
            return
        placed.target.taken[placed.key] = placed
        self.tell(placed.vm, RequestSent(placed.action.exchange_id))
        self.tell(placed.target, OrderReceived(placed.key, placed.action.order))

    def return_parts(self, placed: PlacedOrder, answer: PartsAnswer | Failure) -> None:
        """Send the answer to an order back."""
        parts = answer if isinstance(answer, PartsAnswer) else None
        reply = PartsReply(parts, placed.action.request_id, is_closing=False)
        delay_ms = self.delay_ms(placed.vm, placed.target.gateway.fleet.own.zone)
        event = ExchangeEnded(placed.action.exchange_id, reply)
        self.later(delay_ms, lambda: placed.is_cancelled or self.tell(placed.vm, event))

    def connection_count(self, replica_id: str) -> int:
        """Return how many connections a replica has."""
        return len(self.replicas[replica_id].open_connections)
