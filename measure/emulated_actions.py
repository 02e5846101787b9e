"""Performs the actions of emulated gateways in virtual time."""

import copy
from functools import singledispatch
from typing import TYPE_CHECKING

from beechbridge.failures import Failure, Reason
from beechbridge.gateway.actions import (
    AbandonExchange,
    AnswerRequest,
    CloseIdleCallers,
    DropConnection,
    ExitProcess,
    FollowStore,
    ProbeReplica,
    PullChanges,
    SendColdReplicas,
    SendHeartbeat,
    SendOrder,
    SendPermits,
    SendRelay,
    SendRequest,
    SendSuspects,
    SetCallerLimits,
    WithdrawExchange,
    WriteLine,
)
from beechbridge.gateway.events import (
    CallerDisconnected,
    ExchangeWithdrawn,
    HeartbeatReceived,
    PermitsReceived,
    ProbeEnded,
    PullEnded,
    RequestSent,
)
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import LinkFault
from beechbridge.wire.changes import read_pull, write_changes, write_pull
from beechbridge.wire.fleet import (
    decode_datagram,
    encode_cold_replicas,
    encode_heartbeat,
    encode_suspects,
)

from .stand_ins import Cut, EmulatedOrder, EmulatedVm, Job

if TYPE_CHECKING:
    from .emulator import Emulator

HANDSHAKE_MS = 6.0
PULL_TIMEOUT_MS = 800.0
STORE_LATENCY_MS = 8.0
REGION_DELAY_MS = 8.0
CONNECT_TIMEOUT_MS = 600.0


@singledispatch
def perform(action: object, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Perform one action of a VM."""
    raise TypeError(f'action not supported by the emulator: {type(action).__name__}')


@perform.register(SendRequest)
def perform_send(action: SendRequest, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Send a request to a simulated replica."""
    replica = emulator.replicas[action.host]
    job = Job(action, vm, replica)
    vm.jobs[action.connection_id] = job
    if vm.is_silenced or (vm.cut is Cut.REFUSED and action.is_new):
        emulator.lose_request(job)
        return
    delay_ms = emulator.delay_ms(vm, replica.entry.zone)
    if action.is_new and replica.is_down:
        emulator.fail_job(job, LinkFault.CONNECT_FAILED, 2 * delay_ms, is_refused=True)
        return
    if action.is_new:
        delay_ms = 3 * delay_ms + HANDSHAKE_MS
        replica.open_connections.add((vm.gateway.fleet.own.name, action.connection_id))
        opened_ms = 2 * emulator.delay_ms(vm, replica.entry.zone) + HANDSHAKE_MS
        if not replica.spec.is_dark:
            emulator.schedule(opened_ms, lambda: emulator.open_connection(job))
    emulator.schedule(delay_ms, lambda: emulator.handle_arrival(job))


@perform.register(SendOrder)
@perform.register(SendRelay)
def perform_order(action: SendOrder | SendRelay, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Send an order or a relay to another VM."""
    emulator.next_key += 1
    target = emulator.vm_at(action.host)
    order = EmulatedOrder(action, vm, target, emulator.next_key)
    vm.sent_orders[action.connection_id] = order
    delay_ms = emulator.delay_ms(vm, target.gateway.fleet.own.zone)
    if action.is_new:
        delay_ms *= 3
    emulator.schedule(delay_ms, lambda: emulator.handle_order(order))


@perform.register(DropConnection)
def perform_drop(action: DropConnection, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Close a connection and cancel the request or order that it carries."""
    order = vm.sent_orders.pop(action.connection_id, None)
    if order is not None:
        order.is_cancelled = True
        delay_ms = emulator.delay_ms(vm, order.target.gateway.fleet.own.zone)
        emulator.schedule(
            delay_ms, lambda: emulator.deliver_event(order.target, CallerDisconnected(order.key))
        )
        return
    job = vm.jobs.pop(action.connection_id, None)
    if job is None:
        return
    job.is_cancelled = True
    name = vm.gateway.fleet.own.name
    job.replica.open_connections.discard((name, action.connection_id))


@perform.register(WithdrawExchange)
def perform_withdraw(action: WithdrawExchange, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Cancel a request or order unless it was sent, and report which."""
    event = RequestSent(action.exchange_id)
    sent = vm.jobs.get(action.connection_id) or vm.sent_orders.get(action.connection_id)
    if sent is not None and not sent.is_sent:
        perform_drop(DropConnection(action.connection_id), vm, emulator)
        event = ExchangeWithdrawn(action.exchange_id)
    emulator.schedule(0.0, lambda: emulator.deliver_event(vm, event))


@perform.register(AnswerRequest)
def perform_answer(action: AnswerRequest, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Store a caller's answer, or return that of an order or relay to the VM that asked."""
    order = vm.received_orders.pop(action.key, None)
    if order is not None:
        emulator.return_answer(order, action.answer)
        return
    vm.answers[action.key] = (emulator.now_ms, action.answer)


@perform.register(WriteLine)
def perform_line(action: WriteLine, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Store a log line."""
    vm.lines.append(action)


@perform.register(SendHeartbeat)
def perform_heartbeat(action: SendHeartbeat, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Deliver a heartbeat to the VMs that are up."""
    byte_count = len(encode_heartbeat(action))
    for host in action.hosts:
        for other in emulator.vms:
            if other.gateway.fleet.own.host == host and other is not vm:
                views = [copy_record(member, action.sent_ms) for member in action.members]
                event = HeartbeatReceived(
                    views,
                    action.table_version,
                    action.revision,
                    action.wants_members,
                    action.epoch,
                )
                emulator.send_over_link(
                    vm,
                    byte_count,
                    REGION_DELAY_MS,
                    lambda o=other, e=event: emulator.deliver_event(o, e),
                )


def copy_record(member: Member, sent_ms: float | None) -> Member:
    """Return a member's record as it arrives."""
    record = copy.copy(member)
    record.age_ms = 0.0 if sent_ms is None else member.age_at(sent_ms)
    record.last_heartbeat_ms = 0.0
    return record


@perform.register(SendPermits)
def perform_permits(action: SendPermits, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Deliver a message about permits, unless it is lost."""
    other = emulator.vm_at(action.host)
    event = PermitsReceived(copy.copy(action.sender), action.message)
    delay_ms = emulator.delay_ms(vm, other.gateway.fleet.own.zone)
    emulator.schedule(delay_ms, lambda: emulator.deliver_event(other, event))


@perform.register(SendSuspects)
def perform_suspects(action: SendSuspects, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Deliver evidence to the VMs that are up."""
    deliver_datagram(encode_suspects(action), action.hosts, vm, emulator)


@perform.register(SendColdReplicas)
def perform_cold_replicas(action: SendColdReplicas, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Deliver reports on cold replicas to the VMs that are up."""
    deliver_datagram(encode_cold_replicas(action), action.hosts, vm, emulator)


def deliver_datagram(data: bytes, hosts: list[str], vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Deliver a datagram to other VMs."""
    event = decode_datagram(data)
    for other in emulator.vms:
        if other is vm or other.gateway.fleet.own.host not in hosts:
            continue
        delay_ms = emulator.delay_ms(vm, other.gateway.fleet.own.zone)
        emulator.schedule(delay_ms, lambda o=other: emulator.deliver_event(o, event))


@perform.register(ProbeReplica)
def perform_probe(action: ProbeReplica, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Report whether a replica accepts connections; one that is dark does not answer."""
    replica = emulator.replicas[action.host]
    if vm.cut is not None:
        event = ProbeEnded(action.probe_id, False, vm.cut is Cut.REFUSED)
        delay_ms = CONNECT_TIMEOUT_MS if vm.is_silenced else REGION_DELAY_MS
        emulator.schedule(delay_ms, lambda: emulator.deliver_event(vm, event))
        return
    event = ProbeEnded(action.probe_id, not replica.is_down, replica.is_down)
    if not replica.spec.is_dark:
        delay_ms = 2 * emulator.delay_ms(vm, replica.entry.zone)
        emulator.schedule(delay_ms, lambda: emulator.deliver_event(vm, event))


@perform.register(PullChanges)
def perform_pull(action: PullChanges, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Ask another VM for the changes that it has."""
    for other in emulator.vms:
        if other.is_up and other.gateway.fleet.own.host == action.host:
            emulator.schedule(
                REGION_DELAY_MS, lambda o=other: answer_pull(action, vm, o, emulator)
            )


def answer_pull(
    action: PullChanges, vm: EmulatedVm, other: EmulatedVm, emulator: 'Emulator'
) -> None:
    """Send changes to the VM that asked for them; it gives up if it has to wait too long."""
    view = other.gateway.view
    changes = view.forward_changes(action.revision, action.epoch)
    target, headers = write_pull(action)
    request = read_pull(target.partition('?')[2], headers)
    byte_count = len(write_changes(changes, request, view).body)
    ended = PullEnded(action, changes, byte_count)
    wait_ms = max(0.0, other.link_free_ms - emulator.now_ms)
    if wait_ms > PULL_TIMEOUT_MS:
        failure = Failure(Reason.CONNECTION_LOST, detail='TimeoutError')
        emulator.schedule(
            PULL_TIMEOUT_MS, lambda: emulator.deliver_event(vm, PullEnded(action, failure))
        )
        emulator.send_over_link(other, byte_count, REGION_DELAY_MS, lambda: None)
        return
    emulator.send_over_link(
        other, byte_count, REGION_DELAY_MS, lambda: emulator.deliver_event(vm, ended)
    )


@perform.register(FollowStore)
def perform_follow(action: FollowStore, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Start or stop following the store; following starts with a listing."""
    vm.is_following = action.should_follow
    if action.should_follow:
        emulator.schedule(STORE_LATENCY_MS, lambda: emulator.list_items(vm))


@perform.register(ExitProcess)
def perform_exit(action: ExitProcess, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Note when a VM's process wanted to exit."""
    if vm.exited_ms is None:
        vm.exited_ms = emulator.now_ms


@perform.register(AbandonExchange)
@perform.register(CloseIdleCallers)
@perform.register(SetCallerLimits)
def ignore(action: object, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Ignore the action: emulated VMs have no process, no listener and no endless replies."""
