"""
Discrete-event emulator: gateways and simulated replicas in virtual time, without a network.

Replicas have concurrency slots, a queue, pauses and a speed; links have delays; VMs exchange
heartbeats. All randomness comes from one seed, so that a run is reproducible.
"""

import copy
import heapq
import io
import random
import struct
from functools import singledispatch

from beechbridge.failures import Failure
from beechbridge.gateway.actions import SendOrder, SendRelay
from beechbridge.gateway.events import (
    CallerDisconnected,
    ChangesReceived,
    ConnectionEnded,
    ExchangeEnded,
    OrderReceived,
    RelayReceived,
    RequestReceived,
    RequestSent,
    TimerDue,
)
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import (
    Answer,
    CallerRequest,
    Item,
    LinkFailure,
    LinkFault,
    PartsAnswer,
    PartsReply,
    RelayReply,
    ReplicaEntry,
    Reply,
)
from beechbridge.gateway.node import Gateway
from beechbridge.gateway.replicas.cold import ColdRules
from beechbridge.gateway.replicas.evacuations import Evacuation
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.requests.work_estimates import switch_balancing
from beechbridge.gateway.routes import CallerLimits, Route, RoutingTable, ServiceRules
from beechbridge.wire.relays import (
    RELAYS_PATH,
    read_relay,
    read_relay_reply,
    write_relay,
    write_relay_answer,
)

from .emulated_actions import CONNECT_TIMEOUT_MS, REGION_DELAY_MS, perform
from .stand_ins import (
    LONG_FACTOR,
    Cut,
    EmulatedOrder,
    EmulatedReplica,
    EmulatedVm,
    Job,
    ReplicaSpec,
    region_of,
)

ZONE_DELAY_MS = 0.1
WATCH_TIMEOUT_MS = 2_500.0
RECORDS_PER_PART = 12
TABLE_KEY = 'table'
FIRST_START_MS = 1
"""Start time of a replica that has not been restarted: 0 would be none."""

ENTRY_PREFIX = 'replica/'
EVACUATION_PREFIX = 'evacuate/'
HOST = 'search.example'
BASE64_FACTOR = 4 / 3
UNLIMITED = float('inf')
ACKNOWLEDGEMENT_TIMEOUT_MS = 3_000.0
"""Time after which a connection that lost its link ends, as the exchange client sets it."""

RESTART_MS = 3_000.0
"""Time after which a replica that ended is back."""


@singledispatch
def receive_order(action: SendOrder, key: int) -> OrderReceived | RelayReceived:
    """Return the event at the VM that an order or a relay is sent to."""
    return OrderReceived(key, action.order)


@receive_order.register
def receive_relay(action: SendRelay, key: int) -> RelayReceived:
    """Return the event at the VM that a relay is sent to, with the request as sent."""
    _, _, body = write_relay(action).partition(b'\r\n\r\n')
    environ = {'PATH_INFO': RELAYS_PATH, 'wsgi.input': io.BytesIO(body)}
    return RelayReceived(key, read_relay(environ))


@singledispatch
def encode_reply(action: SendOrder, answer: PartsAnswer | Failure) -> PartsReply:
    """Return the reply to an order as it arrives."""
    if isinstance(answer, PartsAnswer):
        return PartsReply(answer, action.request_id, is_closing=False)
    return PartsReply(None, action.request_id, False, answer.reason.value)


@encode_reply.register
def encode_relay_reply(action: SendRelay, answer: Answer) -> RelayReply:
    """Return the reply to a relay as it arrives."""
    wire = write_relay_answer(answer, action.request_id)
    return read_relay_reply(int(wire.status.split()[0]), wire.headers, wire.body, False)


class Emulator:
    """
    A deployment in virtual time.

    :param zones: data centre of each VM, named `REGION-SUFFIX`
    :param work_ms: median processing time of a request in milliseconds, by route name
    :param deadly_targets: targets of the requests that end each replica that runs them
    :param seed: seed of the random number generator
    :param cold_rules: how many requests a cold replica may get
    :param stable_ms: milliseconds within which the fleet has to notice that a VM ended, None: any
    """

    __slots__ = (
        'cold_rules',
        'deadly_targets',
        'entries',
        'events',
        'items',
        'next_key',
        'now_ms',
        'replicas',
        'revision',
        'rng',
        'sequence',
        'stable_ms',
        'tables',
        'vms',
        'work_ms',
    )

    def __init__(
        self,
        zones: tuple[str, ...],
        work_ms: dict[str, float],
        budget: BudgetRules | None = None,
        seed: int = 1,
        stable_ms: float | None = None,
        cold_rules: ColdRules | None = None,
    ):
        self.cold_rules = cold_rules
        self.stable_ms = stable_ms
        self.rng = random.Random(seed)
        # A test that changes it must not change that of the tests after it.
        self.work_ms = dict(work_ms)
        self.deadly_targets: set[str] = set()
        self.now_ms = 0.0
        self.events: list[tuple[float, int, object]] = []
        self.sequence = 0
        self.next_key = 0
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.tables: dict[bytes, RoutingTable] = {}
        self.replicas: dict[str, EmulatedReplica] = {}
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
                stable_ms=stable_ms,
                cold_rules=cold_rules,
            )
            self.vms.append(EmulatedVm(gateway))
        for vm in self.vms:
            self.perform_all(vm, vm.gateway.start(0.0))
        self.schedule(WATCH_TIMEOUT_MS, self.end_watches)

    def decode_item(
        self, key: str, value: bytes
    ) -> RoutingTable | ReplicaEntry | Evacuation | Failure | None:
        """Return the object that an item refers to: items carry names, not contents."""
        if key.startswith(EVACUATION_PREFIX):
            return Evacuation(key[len(EVACUATION_PREFIX) :])
        if key == TABLE_KEY:
            return self.tables[value]
        return self.entries.get(value.decode())

    def put_table(
        self,
        routes: list[Route],
        connection_limit: int = 26,
        version: int = 1,
        document: bytes = b'',
        cold_rate_per_s: float = 0.0,
    ) -> None:
        """
        Publish a routing table.

        :param cold_rate_per_s: requests per second that a cold replica tolerates, 0 for no limit
        :param document: bytes that the table takes in the store; links of limited speed carry them
        """
        services = {}
        for route in routes:
            for service in route.services:
                services[service] = ServiceRules(service, connection_limit, cold_rate_per_s)
        value = b'table %d %b' % (version, document)
        self.tables[value] = RoutingTable(
            version, routes, services, CallerLimits(16_384, 262_144, 3_000.0, 15_000.0)
        )
        self.publish([Item(TABLE_KEY, value, self.next_revision())])

    def put_replica(
        self, replica_id: str, service: str, zone: str, spec: ReplicaSpec | None = None
    ) -> EmulatedReplica:
        """Start a replica and publish its entry."""
        entry = ReplicaEntry(replica_id, service, replica_id, 80, zone, started_ms=FIRST_START_MS)
        replica = EmulatedReplica(entry, spec or ReplicaSpec(), self.rng.uniform(0, 10_000))
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
        """Delete a replica's entry; the replica keeps running."""
        self.publish([Item(ENTRY_PREFIX + replica_id, None, self.next_revision())])

    def start_evacuation(self, zone: str) -> None:
        """Publish the evacuation of a data centre."""
        self.publish([Item(EVACUATION_PREFIX + zone, b'{}', self.next_revision())])

    def end_evacuation(self, zone: str) -> None:
        """Publish the end of the evacuation of a data centre."""
        self.publish([Item(EVACUATION_PREFIX + zone, None, self.next_revision())])

    def end_watches(self) -> None:
        """Complete all pending store watches without changes."""
        for vm in self.vms:
            if vm.is_following:
                self.deliver_event(vm, ChangesReceived([], self.revision))
        self.schedule(WATCH_TIMEOUT_MS, self.end_watches)

    def next_revision(self) -> int:
        """Return the revision of the next change."""
        self.revision += 1
        return self.revision

    def publish(self, changes: list[Item]) -> None:
        """Deliver changes to every VM that follows the store, as fast as its link carries them."""
        for item in changes:
            self.items[item.key] = item
        for vm in self.vms:
            if vm.is_following:
                self.deliver_from_store(vm, ChangesReceived(changes, self.revision))

    def list_items(self, vm: EmulatedVm) -> None:
        """Deliver a full listing of the store to a VM."""
        if vm.is_following:
            self.deliver_from_store(vm, ChangesReceived(list(self.items.values()), self.revision))

    def deliver_from_store(self, vm: EmulatedVm, event: ChangesReceived) -> None:
        """Deliver items of the store, which sends their values in Base64."""
        byte_count = sum(len(item.value or b'') for item in event.changes) * BASE64_FACTOR
        if vm.link_bytes_per_ms == UNLIMITED:
            self.deliver_event(vm, event)
            return
        self.schedule(byte_count / vm.link_bytes_per_ms, lambda: self.deliver_event(vm, event))

    def send_over_link(self, vm: EmulatedVm, byte_count: int, delay_ms: float, callback) -> None:
        """Send bytes after all that a VM has sent before; call back when they have arrived."""
        wait_ms = max(0.0, vm.link_free_ms - self.now_ms)
        vm.link_free_ms = self.now_ms + wait_ms + byte_count / vm.link_bytes_per_ms
        self.schedule(vm.link_free_ms - self.now_ms + delay_ms, callback)

    def send_request(
        self, vm_number: int, path: str, timeout_ms: float, method: str = 'GET'
    ) -> int:
        """Send a caller's request to a VM now; return the key of its answer."""
        self.next_key += 1
        key = self.next_key
        request = CallerRequest(f'request-{key}', method, path, HOST, path, [], b'', timeout_ms)
        self.deliver_event(self.vms[vm_number], RequestReceived(key, request))
        return key

    def disconnect_caller(self, vm_number: int, key: int) -> None:
        """Close a caller's connection."""
        self.deliver_event(self.vms[vm_number], CallerDisconnected(key))

    def deliver_event(self, vm: EmulatedVm, event: object) -> None:
        """Deliver an event to a VM, once it is not frozen, unless the VM is down."""
        if self.now_ms < vm.frozen_until_ms:
            self.schedule(vm.frozen_until_ms - self.now_ms, lambda: self.deliver_event(vm, event))
            return
        if vm.is_up:
            self.perform_all(vm, vm.gateway.handle(event, self.now_ms))

    def perform_all(self, vm: EmulatedVm, actions: list) -> None:
        """Perform a VM's actions and schedule its next timer."""
        for action in actions:
            perform(action, vm, self)
        due_ms = vm.gateway.timers.next_due_ms()
        if due_ms is not None and due_ms < vm.timer_ms:
            vm.timer_ms = due_ms
            self.schedule(due_ms - self.now_ms, lambda: self.fire_timers(vm, due_ms))

    def fire_timers(self, vm: EmulatedVm, due_ms: float) -> None:
        """Fire a VM's timers, unless they were rescheduled."""
        if vm.timer_ms == due_ms:
            vm.timer_ms = float('inf')
            self.deliver_event(vm, TimerDue())

    def schedule(self, delay_ms: float, callback) -> None:
        """Schedule a callback after a delay in milliseconds."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now_ms + max(0.0, delay_ms), self.sequence, callback))

    def run(self, for_ms: float) -> None:
        """Advance virtual time and run the callbacks that are due."""
        until_ms = self.now_ms + for_ms
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self.events)
            callback()
        self.now_ms = until_ms

    def delay_ms(self, vm: EmulatedVm, zone: str) -> float:
        """Return the one-way network delay between a VM and a data centre."""
        own_region = region_of(vm.gateway.fleet.own.zone)
        return ZONE_DELAY_MS if own_region == region_of(zone) else REGION_DELAY_MS

    def handle_arrival(self, job: Job) -> None:
        """Process, queue or reject a request that arrives at its replica."""
        replica = job.replica
        if job.is_cancelled or replica.spec.is_dark:
            return
        if replica.is_down:
            self.lose_job(job)
            return
        replica.arrivals.append((self.now_ms, job.action.request))
        if replica.notice_log is not None:
            replica.notice_log.arrivals.append((self.now_ms, job.vm.gateway.fleet.own.name))
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
        """Start processing a request at its replica."""
        replica = job.replica
        replica.running.append(job)
        path = job.action.request.path
        median_ms = self.work_ms[path.strip('/').partition('/')[0]]
        work_ms = median_ms * self.rng.lognormvariate(0.0, replica.spec.spread)
        work_ms *= replica.spec.slow_factor
        if replica.spec.long_share and self.rng.random() < replica.spec.long_share:
            work_ms *= LONG_FACTOR
        work_ms += replica.remaining_pause_ms(self.now_ms)
        self.schedule(work_ms, lambda: self.finish_job(job))

    def finish_job(self, job: Job) -> None:
        """Finish processing a request, start queued ones and send the reply."""
        replica = job.replica
        if job not in replica.running:
            return
        pause_ms = replica.remaining_pause_ms(self.now_ms)
        if pause_ms > 0.0:
            self.schedule(pause_ms, lambda: self.finish_job(job))
            return
        if job.action.request.target in self.deadly_targets:
            replica.ends.append((self.now_ms, job.action.request))
            self.end_replica(replica)
            return
        replica.running.remove(job)
        while replica.queue and len(replica.running) < replica.spec.slots:
            waiting = replica.queue.pop(0)
            if not waiting.is_cancelled:
                self.start_job(waiting)
        if job.is_cancelled or replica.spec.is_dark:
            return
        # All replicas of a shard return the same records for a request.
        record_rng = random.Random(f'{replica.entry.service} {job.action.request.request_id}')
        records = [
            struct.pack('>QQ', record_rng.getrandbits(63), 0) for _ in range(RECORDS_PER_PART)
        ]
        signature = f'{replica.entry.replica_id}.{job.action.request.request_id}'
        self.reply(
            job, Reply(200, [], b''.join(records), signature, job.action.request.request_id)
        )

    def end_replica(self, replica: EmulatedReplica) -> None:
        """End a replica's process: all its connections are lost; it is back after a while."""
        replica.is_down = True
        jobs = [*replica.running, *replica.queue]
        replica.running.clear()
        replica.queue.clear()
        for job in jobs:
            self.lose_job(job)
        for vm in self.vms:
            name = vm.gateway.fleet.own.name
            own_ids = [number for owner, number in replica.open_connections if owner == name]
            busy_ids = {job.action.connection_id for job in jobs if job.vm is vm}
            for connection_id in sorted(set(own_ids) - busy_ids):
                event = ConnectionEnded(connection_id)
                delay_ms = self.delay_ms(vm, replica.entry.zone)
                self.schedule(delay_ms, lambda v=vm, e=event: self.deliver_event(v, e))
        replica.open_connections.clear()
        self.schedule(RESTART_MS, lambda: self.restart_replica(replica))

    def restart_replica(self, replica: EmulatedReplica) -> None:
        """Start a replica's process again, as another incarnation."""
        replica.is_down = False
        entry = copy.copy(replica.entry)
        entry.started_ms = round(self.now_ms)
        replica.entry = entry
        self.publish_entry(entry)

    def cut_replicas(self, vm: EmulatedVm, cut: Cut | None) -> None:
        """Cut a VM off from all replicas, or mend its links."""
        vm.cut = cut
        if cut is Cut.RESET:
            self.reset_connections(vm, 1.0)

    def reset_connections(self, vm: EmulatedVm, share: float) -> None:
        """Reset a share of a VM's connections to replicas."""
        name = vm.gateway.fleet.own.name
        for replica in self.replicas.values():
            for owner, number in sorted(replica.open_connections):
                if owner != name or self.rng.random() >= share:
                    continue
                replica.open_connections.discard((owner, number))
                job = vm.jobs.pop(number, None)
                if job is not None and number in vm.gateway.upstreams.owners:
                    self.lose_job(job)
                self.deliver_event(vm, ConnectionEnded(number))

    def open_connection(self, job: Job) -> None:
        """Let a request leave over its new connection, unless that was closed."""
        if not job.is_cancelled:
            job.is_sent = True
            self.deliver_event(job.vm, RequestSent(job.action.exchange_id))

    def lose_request(self, job: Job) -> None:
        """Let a request that a VM sends while it is cut off fail as its connection does."""
        if job.vm.cut is Cut.REFUSED:
            delay_ms = 2 * self.delay_ms(job.vm, job.replica.entry.zone)
            self.fail_job(job, LinkFault.CONNECT_FAILED, delay_ms, is_refused=True)
        elif job.action.is_new:
            self.fail_job(job, LinkFault.CONNECT_FAILED, CONNECT_TIMEOUT_MS)
        else:
            self.fail_job(job, LinkFault.LOST, ACKNOWLEDGEMENT_TIMEOUT_MS)

    def fail_job(
        self, job: Job, fault: LinkFault, delay_ms: float, is_refused: bool = False
    ) -> None:
        """Report after a delay that a request has failed, unless its VM has given it up."""
        failure = LinkFailure(fault, fault is LinkFault.LOST, is_refused)
        event = ExchangeEnded(job.action.exchange_id, failure)
        self.schedule(delay_ms, lambda: job.is_cancelled or self.deliver_event(job.vm, event))

    def lose_job(self, job: Job) -> None:
        """Report that the connection of a request was lost."""
        if job.is_cancelled:
            return
        self.fail_job(job, LinkFault.LOST, self.delay_ms(job.vm, job.replica.entry.zone))

    def restart_vm(self, vm: EmulatedVm, for_ms: float) -> None:
        """End a VM's process, and start it again without what it knew."""
        vm.is_up = False
        vm.is_following = False
        vm.timer_ms = UNLIMITED
        for job in vm.jobs.values():
            job.is_cancelled = True
        for replica in self.replicas.values():
            name = vm.gateway.fleet.own.name
            replica.open_connections = {
                known for known in replica.open_connections if known[0] != name
            }
        vm.jobs.clear()
        vm.sent_orders.clear()
        vm.received_orders.clear()
        self.schedule(for_ms, lambda: self.start_vm(vm))

    def start_vm(self, vm: EmulatedVm) -> None:
        """Start a new process of a VM."""
        before = vm.gateway
        known = before.fleet.own
        own = Member(known.name, known.host, known.zone, known.incarnation + 1)
        vm.gateway = Gateway(
            own,
            before.fleet.seeds,
            before.fleet.regions,
            self.decode_item,
            before.budget_rules,
            6_000.0,
            random.Random(self.rng.getrandbits(64)),
            is_first_start=False,
            stable_ms=self.stable_ms,
            cold_rules=self.cold_rules,
        )
        switch_balancing(before.upstreams.work_book is not None, vm.gateway)
        vm.is_up = True
        self.perform_all(vm, vm.gateway.start(self.now_ms))

    def reply(self, job: Job, reply: Reply) -> None:
        """Send a reply to the VM."""
        reply.request_id = job.action.request.request_id
        replica = job.replica
        load = len(replica.running), len(replica.queue)
        reply.notice = replica.spec.make_notice(reply.is_rejected, self.now_ms, *load)
        if job.replica.notice_log is not None:
            told_ms = job.replica.notice_log.told_ms
            told_ms.setdefault(job.vm.gateway.fleet.own.name, self.now_ms)
        if job.vm.is_silenced:
            self.fail_job(job, LinkFault.LOST, ACKNOWLEDGEMENT_TIMEOUT_MS)
            return
        delay_ms = self.delay_ms(job.vm, job.replica.entry.zone)
        self.schedule(delay_ms, lambda: self.deliver_reply(job, reply))

    def deliver_reply(self, job: Job, reply: Reply) -> None:
        """Deliver a reply to the VM, unless it closed the connection."""
        if not job.is_cancelled:
            self.deliver_event(job.vm, ExchangeEnded(job.action.exchange_id, reply))

    def vm_at(self, host: str) -> EmulatedVm:
        """Return the VM with the given host address."""
        return next(vm for vm in self.vms if vm.gateway.fleet.own.host == host)

    def handle_order(self, order: EmulatedOrder) -> None:
        """Deliver an order to its VM; a VM that is down refuses new connections."""
        if order.is_cancelled:
            return
        if not order.target.is_up:
            if order.action.is_new:
                failure = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False)
                event = ExchangeEnded(order.action.exchange_id, failure)
                self.deliver_event(order.vm, event)
            return
        order.is_sent = True
        order.target.received_orders[order.key] = order
        self.deliver_event(order.vm, RequestSent(order.action.exchange_id))
        self.deliver_event(order.target, receive_order(order.action, order.key))

    def return_answer(self, order: EmulatedOrder, answer: Answer) -> None:
        """Send the answer to an order or a relay to the VM that asked."""
        reply = encode_reply(order.action, answer)
        delay_ms = self.delay_ms(order.vm, order.target.gateway.fleet.own.zone)
        event = ExchangeEnded(order.action.exchange_id, reply)
        self.schedule(delay_ms, lambda: order.is_cancelled or self.deliver_event(order.vm, event))

    def connection_count(self, replica_id: str) -> int:
        """Return the number of open connections to a replica."""
        return len(self.replicas[replica_id].open_connections)
