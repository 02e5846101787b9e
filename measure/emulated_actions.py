"""How the emulator carries a gateway's actions out, on virtual time."""

import copy
from functools import singledispatch
from typing import TYPE_CHECKING

from beechbridge.gateway.actions import (
    AnswerRequest,
    CloseIdleCallers,
    DropConnection,
    ExitProcess,
    FollowStore,
    PullChanges,
    SendHeartbeat,
    SendOrder,
    SendRequest,
    SetCallerLimits,
    WriteLine,
)
from beechbridge.gateway.events import (
    CallerDisconnected,
    ChangesReceived,
    HeartbeatReceived,
    RequestSent,
)

from .stand_ins import EmulatedVm, Job, PlacedOrder

if TYPE_CHECKING:
    from .emulator import Emulator

HANDSHAKE_MS = 6.0
STORE_MS = 8.0
REGION_DELAY_MS = 8.0


@singledispatch
def perform(action: object, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Carry out one kind of action."""
    raise TypeError(f'no stand-in for {type(action).__name__}')


@perform.register(SendRequest)
def perform_send(action: SendRequest, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Send a request to a stand-in replica."""
    replica = emulator.replicas[action.host]
    job = Job(action, vm, replica)
    vm.jobs[action.connection_id] = job
    delay_ms = emulator.delay_ms(vm, replica.entry.zone)
    if action.is_new:
        delay_ms = 3 * delay_ms + HANDSHAKE_MS
        replica.open_connections.add((vm.gateway.fleet.own.name, action.connection_id))
        opened_ms = 2 * emulator.delay_ms(vm, replica.entry.zone) + HANDSHAKE_MS
        event = RequestSent(action.exchange_id)
        if not replica.spec.is_dark:
            emulator.later(opened_ms, lambda: emulator.tell(vm, event))
    emulator.later(delay_ms, lambda: emulator.arrive(job))


@perform.register(SendOrder)
def perform_order(action: SendOrder, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Send an order of parts to another VM."""
    emulator.next_key += 1
    target = emulator.vm_at(action.host)
    placed = PlacedOrder(action, vm, target, emulator.next_key)
    vm.placed[action.connection_id] = placed
    delay_ms = emulator.delay_ms(vm, target.gateway.fleet.own.zone)
    if action.is_new:
        delay_ms *= 3
    emulator.later(delay_ms, lambda: emulator.take_order(placed))


@perform.register(DropConnection)
def perform_drop(action: DropConnection, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Close a connection: what was asked over it is worked on no more."""
    placed = vm.placed.pop(action.connection_id, None)
    if placed is not None:
        placed.is_cancelled = True
        delay_ms = emulator.delay_ms(vm, placed.target.gateway.fleet.own.zone)
        emulator.later(
            delay_ms, lambda: emulator.tell(placed.target, CallerDisconnected(placed.key))
        )
        return
    job = vm.jobs.pop(action.connection_id, None)
    if job is None:
        return
    job.is_cancelled = True
    name = vm.gateway.fleet.own.name
    job.replica.open_connections.discard((name, action.connection_id))


@perform.register(AnswerRequest)
def perform_answer(action: AnswerRequest, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Keep a caller's answer; send another VM the parts that it asked for."""
    placed = vm.taken.pop(action.key, None)
    if placed is not None:
        emulator.return_parts(placed, action.answer)
        return
    vm.answers[action.key] = (emulator.now_ms, action.answer)


@perform.register(WriteLine)
def perform_line(action: WriteLine, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Keep a log line."""
    vm.lines.append(action)


@perform.register(SendHeartbeat)
def perform_heartbeat(action: SendHeartbeat, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Deliver a heartbeat to the VMs that are up."""
    for host in action.hosts:
        for other in emulator.vms:
            if other.gateway.fleet.own.host == host and other is not vm:
                views = [copy.copy(member) for member in action.members]
                event = HeartbeatReceived(
                    views, action.table_version, action.revision, action.wants_members
                )
                emulator.later(REGION_DELAY_MS, lambda o=other, e=event: emulator.tell(o, e))


@perform.register(PullChanges)
def perform_pull(action: PullChanges, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Answer with what another VM knows."""
    for other in emulator.vms:
        if other.is_up and other.gateway.fleet.own.host == action.host:
            view = other.gateway.view
            changes = view.changes_after(action.revision)
            event = ChangesReceived(changes, view.revision, is_from_store=False)
            emulator.later(2 * REGION_DELAY_MS, lambda e=event: emulator.tell(vm, e))


@perform.register(FollowStore)
def perform_follow(action: FollowStore, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Let a VM follow the store, after a listing."""
    vm.is_following = action.should_follow
    if action.should_follow:
        emulator.later(STORE_MS, lambda: emulator.list_items(vm))


@perform.register(CloseIdleCallers)
@perform.register(ExitProcess)
@perform.register(SetCallerLimits)
def ignore(action: object, vm: EmulatedVm, emulator: 'Emulator') -> None:
    """Do nothing: no process and no listener stands behind a VM here."""
