"""
Fleet membership: the platform's VM list, heartbeats and gossip.

The list says which VMs exist; heartbeats say which of them are reachable. Connection shares
depend on the list alone, so that neither side of a network partition takes itself for the whole
fleet and exceeds its share.
"""

from ...actions import AnswerCaller, LogChange, ReadVmList, SendPeer
from ...events import EntryRequested, VmListReceived
from ...failures import Failure
from ...messages import Gossip, MemberView
from ...models import EntryAnswer, Vm, VmIdentity, VmState
from ...record import Record
from ..hashing import rank_score
from ..interface import CoreInterface

GOSSIP_INTERVAL_MS = 500.0

GOSSIP_FANOUT = 4

MAX_SHARED_VIEWS = 16
"""Maximum number of views of other VMs in one gossip message."""

SUSPECT_AFTER_MS = 2_500.0
"""Time without a newer heartbeat after which a VM counts as unreachable."""

MIN_GOSSIP_INTERVAL_MS = 20.0

LIST_INTERVAL_MS = 1_000.0

LIST_INTERVAL_PER_VM_MS = 1.0
"""Minimum read interval per listed VM; bounds the load of the whole fleet on the service."""

LIST_RETENTION_MS = 10_000.0
"""How long a VM that is no longer listed still counts for connection shares."""

VIEW_TIMEOUT_MS = 3_000.0
"""How long a VM waits for a current view of the fleet after a start or a pause."""


class GossipTimer(Record):
    """Fires when the next round of gossip is due."""

    __slots__ = ()


class ListTimer(Record):
    """Fires when the next read of the VM list is due."""

    __slots__ = ('sequence',)

    def __init__(self, sequence: int):
        self.sequence = sequence


class ViewTimeoutTimer(Record):
    """Fires when a VM has waited long enough for a current view of the fleet."""

    __slots__ = ('view_round',)

    def __init__(self, view_round: int):
        self.view_round = view_round


class Member(Record):
    """
    Last known state of another VM's process.

    :param heard_ms: when its heartbeat last increased
    """

    __slots__ = ('heard_ms', 'heartbeat', 'identity', 'leaving')

    def __init__(self, identity: VmIdentity, heartbeat: int, leaving: bool, heard_ms: float):
        self.identity = identity
        self.heartbeat = heartbeat
        self.leaving = leaving
        self.heard_ms = heard_ms


class MembershipController:
    """
    This VM's view of the fleet.

    :param listed: the platform's list by VM name, or None before it has been read
    :param last_listed_ms: when each VM name was last listed
    :param is_view_current: False from a start or a pause until the view has been refreshed
    """

    __slots__ = (
        'gossiped_ms',
        'heartbeat',
        'is_view_current',
        'last_listed_ms',
        'list_failing',
        'list_read',
        'list_sequence',
        'listed',
        'listed_ms',
        'members',
        'own',
        'peer_heard',
        'view_round',
    )

    def __init__(self, own: VmIdentity):
        self.own = own
        self.listed: dict[str, Vm] | None = None
        self.listed_ms = 0.0
        self.list_sequence = 0
        self.last_listed_ms: dict[str, float] = {}
        self.members: dict[str, Member] = {}
        self.heartbeat = 0
        self.gossiped_ms = float('-inf')
        self.is_view_current = False
        self.view_round = 0
        self.list_read = False
        self.list_failing = False
        self.peer_heard = False

    def share_names(self, now_ms: float) -> list[str] | None:
        """Return the VMs that share connection limits: those listed now or until recently."""
        if self.listed is None:
            return None
        names = []
        for name, seen_ms in self.last_listed_ms.items():
            if name in self.listed or now_ms - seen_ms < LIST_RETENTION_MS:
                names.append(name)
        return names

    def is_answering(self, name: str, now_ms: float) -> bool:
        """Return whether a VM's heartbeat increased recently."""
        if name == self.own.name:
            return True
        member = self.members.get(name)
        return member is not None and now_ms - member.heard_ms < SUSPECT_AFTER_MS

    def is_leaving(self, name: str) -> bool:
        """Return whether a VM is leaving, by its own announcement or by the list."""
        vm = self.find_vm(name)
        if vm is not None and vm.state is VmState.LEAVING:
            return True
        member = self.members.get(name)
        return member is not None and member.leaving

    def serving_names(self, now_ms: float) -> tuple[str, ...]:
        """Return the VMs that are reachable and not leaving, including this one."""
        names = []
        for name in self.listed or ():
            if not self.is_answering(name, now_ms) or self.is_leaving(name):
                continue
            names.append(name)
        return tuple(names)

    def names_in_place(self, place: str, now_ms: float) -> list[str]:
        """Return the serving VMs of one data centre."""
        names = self.serving_names(now_ms)
        return [name for name in names if self.listed[name].place == place]

    def ranks_first(self, key: str, names: tuple[str, ...]) -> bool:
        """Return whether this VM ranks first for a key among the named VMs, or none is named."""
        own = self.own.name
        if own not in names:
            return not names
        own_rank = (-rank_score(key, own), own)
        return all((-rank_score(key, name), name) >= own_rank for name in names)

    def find_vm(self, name: str) -> Vm | None:
        """Return a VM's entry in the list, or None if it is not listed."""
        return self.listed.get(name) if self.listed else None

    def peers(self) -> list[Vm]:
        """Return the other listed VMs."""
        if not self.listed:
            return []
        return [vm for name, vm in self.listed.items() if name != self.own.name]

    def apply_list(self, vms: tuple[Vm, ...], core: CoreInterface) -> None:
        """Apply a new list; shares shrink at once, but grow only after `LIST_RETENTION_MS`."""
        listed = {vm.name: vm for vm in vms}
        for name in listed:
            self.last_listed_ms[name] = core.now_ms
        for name, seen_ms in list(self.last_listed_ms.items()):
            if core.now_ms - seen_ms > LIST_RETENTION_MS:
                del self.last_listed_ms[name]
                self.members.pop(name, None)
        if self.listed is None or listed.keys() != self.listed.keys():
            before = str(len(self.listed or ()))
            core.act(LogChange('VM list', f'{before} VMs', f'{len(listed)} VMs'))
        self.listed = listed
        self.listed_ms = core.now_ms
        self.list_read = True
        core.upstreams.apply_shares(core)
        self.check_view(core)

    def invalidate_view(self, core: CoreInterface) -> None:
        """Refresh the view of the fleet, and reject new work until it is current."""
        self.is_view_current = False
        self.list_read = False
        self.peer_heard = False
        self.view_round += 1
        core.act(ReadVmList())
        core.configuration.refresh(core)
        self.send_gossip(core)
        due_ms = core.now_ms + VIEW_TIMEOUT_MS
        core.timers.arm(due_ms, ViewTimeoutTimer(self.view_round))

    def check_view(self, core: CoreInterface) -> None:
        """Mark the view current once the list is read and a peer, if there is one, was heard."""
        if self.is_view_current or not self.list_read:
            return
        if self.peer_heard or not self.peers():
            self.mark_view_current(core)

    def mark_view_current(self, core: CoreInterface) -> None:
        """Mark the view of the fleet as current and send queued work."""
        self.is_view_current = True
        core.act(LogChange('fleet view', 'stale', 'current'))
        core.upstreams.dispatch_all_queues(core)

    def apply_views(self, sender: VmIdentity, gossip: Gossip, core: CoreInterface) -> None:
        """Apply the heartbeats in a peer's gossip message."""
        for view in gossip.members:
            name = view.identity.name
            if name == self.own.name:
                continue
            if name not in self.last_listed_ms:
                core.counters.add('views_unlisted')
                continue
            self.apply_view(view, core)
        if sender.name in self.last_listed_ms and not self.peer_heard:
            self.peer_heard = True
            self.check_view(core)

    def apply_view(self, view: MemberView, core: CoreInterface) -> None:
        """Apply one VM's heartbeat if it is newer than the known one."""
        name = view.identity.name
        known = self.members.get(name)
        is_successor = known is not None and (
            view.identity.incarnation > known.identity.incarnation
            # A successor has a lower incarnation if the clock was set back.
            or (view.identity != known.identity and not self.is_answering(name, core.now_ms))
        )
        if known is None or is_successor:
            self.members[name] = Member(view.identity, view.heartbeat, view.leaving, core.now_ms)
            core.act(LogChange(f'VM {name}', 'unknown', f'up ({view.identity.incarnation:x})'))
            return
        if view.identity.incarnation < known.identity.incarnation:
            return
        if view.heartbeat <= known.heartbeat:
            return
        known.heartbeat = view.heartbeat
        known.heard_ms = core.now_ms
        if view.leaving and not known.leaving:
            known.leaving = True
            core.act(LogChange(f'VM {name}', 'up', 'leaving'))

    def send_gossip(self, core: CoreInterface) -> None:
        """Send gossip to a few random peers, unless a round was sent just before."""
        if core.now_ms - self.gossiped_ms < MIN_GOSSIP_INTERVAL_MS:
            return
        self.gossiped_ms = core.now_ms
        self.heartbeat += 1
        peers = self.peers()
        if len(peers) > GOSSIP_FANOUT:
            peers = core.rng.sample(peers, GOSSIP_FANOUT)
        if not peers:
            return
        message = self.build_gossip(core)
        for vm in peers:
            core.counters.add('gossip_sent')
            core.act(SendPeer(vm, message))

    def build_gossip(self, core: CoreInterface) -> Gossip:
        """Return this VM's heartbeat, the latest views of peers, and the replica states."""
        views = [MemberView(self.own, self.heartbeat, core.stopping.is_leaving)]
        latest = sorted(self.members.values(), key=lambda member: -member.heard_ms)
        for member in latest[:MAX_SHARED_VIEWS]:
            views.append(MemberView(member.identity, member.heartbeat, member.leaving))
        configuration = core.configuration
        signs = core.health.build_signs(core)
        return Gossip(views, configuration.generation, configuration.digest, signs)

    def best_entries(self, place: str | None, caller: str, core: CoreInterface) -> list[Vm]:
        """Return the serving VMs, nearest first, ordered per caller to spread the load."""
        configuration = core.configuration.current
        places = configuration.places if configuration else {}
        vms = [self.listed[name] for name in self.serving_names(core.now_ms)]
        if core.stopping.is_leaving:
            vms = [vm for vm in vms if vm.name != self.own.name]
        return sorted(
            vms,
            key=lambda vm: (distance(place, vm.place, places), -rank_score(caller, vm.name)),
        )

    def describe(self, now_ms: float) -> dict:
        """Return the state for a state dump."""
        vms = {}
        for name, vm in sorted((self.listed or {}).items()):
            member = self.members.get(name)
            vms[name] = {
                'place': vm.place,
                'address': f'{vm.host}:{vm.caller_port}',
                'operations': f'{vm.host}:{vm.operations_port}',
                'listed_as': vm.state.value,
                'answering': self.is_answering(name, now_ms),
                'leaving': self.is_leaving(name),
                'incarnation': member.identity.incarnation if member else None,
                'heard_age_ms': round(now_ms - member.heard_ms) if member else None,
            }
        return {
            'trusted': self.is_view_current,
            'list_age_ms': round(now_ms - self.listed_ms) if self.listed is not None else None,
            'sharing_connections': len(self.share_names(now_ms) or ()),
            'vms': vms,
        }


def list_interval_ms(vm_count: int) -> float:
    """Return the interval at which one VM reads the VM list."""
    return max(LIST_INTERVAL_MS, vm_count * LIST_INTERVAL_PER_VM_MS)


def distance(place: str | None, vm_place: str, places: dict) -> int:
    """Return 0 for the same data centre, 1 for the same region, 2 for any other."""
    if place == vm_place:
        return 0
    own, other = places.get(place), places.get(vm_place)
    if own is not None and other is not None and own.region == other.region:
        return 1
    return 2


def handle_entry_requested(event: EntryRequested, core: CoreInterface) -> None:
    """Answer a caller with the VMs to connect to."""
    failure = core.reject_if_no_view()
    if failure is not None:
        core.act(AnswerCaller(event.request_id, failure))
        return
    vms = core.membership.best_entries(event.place, event.caller, core)
    keep_ms = core.configuration.current.fleet.entry_keep_ms
    core.act(AnswerCaller(event.request_id, EntryAnswer(vms, keep_ms)))


def handle_vm_list_received(event: VmListReceived, core: CoreInterface) -> None:
    """Handle the result of a read of the VM list and schedule the next read."""
    membership = core.membership
    membership.list_sequence += 1
    interval_ms = list_interval_ms(len(membership.listed or ()))
    due_ms = core.now_ms + interval_ms * core.rng.uniform(0.8, 1.2)
    core.timers.arm(due_ms, ListTimer(membership.list_sequence))
    if isinstance(event.result, Failure):
        core.counters.add('service_failures', 'vm_list')
        if not membership.list_failing:
            core.act(LogChange('VM list service', 'answering', event.result.detail))
        membership.list_failing = True
        return
    if membership.list_failing:
        core.act(LogChange('VM list service', 'failing', 'answering'))
    membership.list_failing = False
    membership.apply_list(event.result.vms, core)


def fire_gossip(timer: GossipTimer, core: CoreInterface) -> None:
    """Send a round of gossip and arm the next one with jitter."""
    core.membership.send_gossip(core)
    core.configuration.update_reader_role(core)
    due_ms = core.now_ms + GOSSIP_INTERVAL_MS * core.rng.uniform(0.9, 1.1)
    core.timers.arm(due_ms, timer)


def fire_list(timer: ListTimer, core: CoreInterface) -> None:
    """Read the VM list, unless a later timer has been armed."""
    if timer.sequence != core.membership.list_sequence:
        return
    core.counters.add('service_calls', 'vm_list')
    core.act(ReadVmList())


def fire_view_timeout(timer: ViewTimeoutTimer, core: CoreInterface) -> None:
    """Accept work although the view of the fleet was not refreshed in time."""
    membership = core.membership
    if timer.view_round == membership.view_round and not membership.is_view_current:
        membership.mark_view_current(core)
