"""What the gateway takes from the store: the routing table and the replicas, and their doubts."""

from ...failures import Failure
from ...record import Record
from ..actions import DropConnection, SetCallerLimits, WriteLine
from ..events import ChangesReceived, StoreFailed
from ..fleet.gossip import note_caught_up, share_news
from ..models import Item, ReplicaEntry
from ..routes import RoutingTable
from ..surface import GatewaySurface
from .upstreams import ReplicaState

UNSTABLE_MS = 3_000.0
"""Time after a failed call to the store in which a vanished entry may merely have lapsed."""

LAPSE_GRACE_MS = 2_300.0
"""Time in which the entry of a live replica is back after the store has returned."""


class VanishTimer(Record):
    """Fires when a vanished entry counts as gone unless it is back."""

    __slots__ = ('replica_id', 'vanished_ms')

    def __init__(self, replica_id: str, vanished_ms: float):
        self.replica_id = replica_id
        self.vanished_ms = vanished_ms


class StoreContact:
    """
    Whether the store answers this VM.

    :param failed_ms: when a call failed last
    """

    __slots__ = ('failed_ms', 'is_reached')

    def __init__(self):
        self.is_reached = False
        self.failed_ms = -UNSTABLE_MS

    def leave(self) -> None:
        """Forget the contact: other VMs follow the store now."""
        self.is_reached = False

    def is_unstable(self, now_ms: float) -> bool:
        """Tell whether entries may vanish because the store was away."""
        return now_ms - self.failed_ms < UNSTABLE_MS


def handle_store_failed(event: StoreFailed, gateway: GatewaySurface) -> None:
    """Note that the store does not answer."""
    if not gateway.gossip.is_following:
        return
    store = gateway.store
    store.failed_ms = gateway.now_ms
    gateway.counters.add('store_failures', event.detail)
    if store.is_reached:
        store.is_reached = False
        gateway.act(WriteLine('store_lost', {'cause': event.detail}))


def handle_changes(event: ChangesReceived, gateway: GatewaySurface) -> None:
    """Take changes of the store in and act on those that are news."""
    store = gateway.store
    now_ms = gateway.now_ms
    gateway.last_update_ms = now_ms
    if event.is_from_store and gateway.gossip.is_following and not store.is_reached:
        store.is_reached = True
        gateway.act(WriteLine('store_reached', {'revision': event.revision}))
    changes = list(event.changes)
    keys = {change.key for change in changes}
    for prefix in event.listed_prefixes:
        changes.extend(gateway.view.find_missing(prefix, keys, event.revision))
    news = gateway.view.apply_changes(changes, event.revision)
    note_caught_up(gateway)
    for item in news:
        take_item(item, gateway)
    if news and event.is_from_store:
        share_news(gateway)


def take_item(item: Item, gateway: GatewaySurface) -> None:
    """Act on one changed item."""
    if item.value is None:
        state = gateway.replica_by_key.get(item.key)
        if state is not None:
            note_vanished(item.key, state, gateway)
        return
    decoded = gateway.decode_item(item.key, item.value)
    if decoded is None:
        return
    if isinstance(decoded, RoutingTable):
        apply_table(decoded, gateway)
        return
    state = gateway.replica_by_key.get(item.key)
    if isinstance(decoded, Failure):
        gateway.counters.add('items_unreadable')
        gateway.act(WriteLine('item_unreadable', {'key': item.key, 'detail': decoded.detail}))
        if state is not None:
            drop_replica(item.key, state, 'entry unreadable', gateway)
        return
    apply_entry(item.key, decoded, state, gateway)


def apply_table(table: RoutingTable, gateway: GatewaySurface) -> None:
    """Put a newer routing table in force; an older one never."""
    current = gateway.table
    if current is not None and table.version <= current.version:
        return
    gateway.table = table
    gateway.splits.forget()
    if current is None or table.limits != current.limits:
        gateway.act(SetCallerLimits(table.limits))
    gateway.act(
        WriteLine(
            'table_applied',
            {
                'version': table.version,
                'before': current.version if current else None,
                'routes': sum(len(routes) for routes in table.routes_by_host.values()),
            },
        )
    )


def apply_entry(
    key: str, entry: ReplicaEntry, state: ReplicaState | None, gateway: GatewaySurface
) -> None:
    """Add a replica, or take over what its entry says now."""
    if state is not None:
        known = state.entry
        is_same = (known.host, known.port, known.service, known.started_ms) == (
            entry.host,
            entry.port,
            entry.service,
            entry.started_ms,
        )
        if is_same and not state.is_gone:
            is_news = known.is_draining != entry.is_draining
            state.entry = entry
            state.vanished_ms = None
            state.cold_until_ms = gateway.now_ms + entry.cold_left_ms
            if is_news:
                log_replica(entry, 'draining' if entry.is_draining else 'ready', gateway)
            return
        drop_replica(key, state, 'replaced', gateway)
    distance = gateway.distance_to(entry.zone)
    state = ReplicaState(entry, distance, gateway.now_ms)
    gateway.upstreams.put(state)
    gateway.replica_by_key[key] = state
    log_replica(entry, 'draining' if entry.is_draining else 'ready', gateway)
    gateway.dispatch_waiting(entry.service)


def log_replica(entry: ReplicaEntry, state: str, gateway: GatewaySurface) -> None:
    """Write the line of a replica's change."""
    fields = {'replica': entry.replica_id, 'service': entry.service, 'state': state}
    gateway.act(WriteLine('replica_changed', {**fields, 'revision': gateway.view.revision}))


def note_vanished(key: str, state: ReplicaState, gateway: GatewaySurface) -> None:
    """Drop a replica whose entry is gone, or wait while the entry may have lapsed."""
    if not gateway.store.is_unstable(gateway.now_ms):
        drop_replica(key, state, 'entry removed', gateway)
        return
    state.vanished_ms = gateway.now_ms
    log_replica(state.entry, 'vanished', gateway)
    gateway.timers.arm(gateway.now_ms + LAPSE_GRACE_MS, VanishTimer(key, gateway.now_ms))


def fire_vanish(timer: VanishTimer, gateway: GatewaySurface) -> None:
    """Drop a replica whose entry has not come back."""
    state = gateway.replica_by_key.get(timer.replica_id)
    if state is None or state.vanished_ms != timer.vanished_ms:
        return
    drop_replica(timer.replica_id, state, 'entry did not come back', gateway)


def drop_replica(key: str, state: ReplicaState, cause: str, gateway: GatewaySurface) -> None:
    """Forget a replica; what it is working on goes on."""
    gateway.replica_by_key.pop(key, None)
    for connection_id in gateway.upstreams.remove(state):
        gateway.act(DropConnection(connection_id))
    log_replica(state.entry, cause, gateway)
