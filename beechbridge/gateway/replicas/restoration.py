"""
Restoration of the store from an older copy, which starts a new epoch.

The copy lacks the last writes before the restoration. Their authors write again soon, but until
then an older table is back, a draining replica is ready again, and a replica that has left is
listed. What this VM knows to be newer than the copy therefore stays in force until it is written
again.
"""

from functools import singledispatch

from ...record import Record
from ..actions import WriteLine
from ..events import ChangesReceived
from ..interface import GatewayInterface
from ..models import Item, ReplicaEntry
from ..routes import RoutingTable
from .decoding import decode

MAX_REMOVED_REPLICAS = 4_000
"""Replicas remembered after their removal, the latest ones."""

CONFIRMATION_DELAY_MS = 5_000.0
"""
Time after which a restored entry of a removed replica is used after all: the entry of a replica
that does not run expires earlier, after three heartbeats.
"""

MAX_KEYS_LOGGED = 8
"""Limit on the kept and on the held keys named in a log line."""


class ConfirmationTimer(Record):
    """Fires when the restored entry of a replica that was removed is to be used if it is left."""

    __slots__ = ('epoch', 'item')

    def __init__(self, item: Item, epoch: int):
        self.item = item
        self.epoch = epoch


class RemovedReplicas:
    """
    Replicas that were removed.

    :param started_ms: start times by store key
    :param ids: store keys by the replica's ID
    """

    __slots__ = ('ids', 'started_ms')

    def __init__(self):
        self.started_ms: dict[str, int] = {}
        self.ids: dict[str, str] = {}

    def add(self, key: str, entry: ReplicaEntry) -> None:
        """Remember the removal of a replica."""
        self.started_ms.pop(key, None)
        self.started_ms[key] = entry.started_ms
        self.ids[entry.replica_id] = key
        if len(self.started_ms) > MAX_REMOVED_REPLICAS:
            self.started_ms.pop(next(iter(self.started_ms)))
        if len(self.ids) > MAX_REMOVED_REPLICAS:
            self.ids.pop(next(iter(self.ids)))

    def was_removed(self, replica_id: str) -> bool:
        """Return whether a replica with an ID is remembered."""
        return replica_id in self.ids

    def includes(self, key: str, entry: ReplicaEntry) -> bool:
        """Return whether this incarnation of a replica, or a later one, was removed."""
        return key in self.started_ms and entry.started_ms <= self.started_ms[key]


def start_epoch(event: ChangesReceived, gateway: GatewayInterface) -> list[Item]:
    """
    Start the epoch of a complete listing; return the items that are to be applied.

    Outdated items are replaced by the known ones, at the listed revision, so that VMs which get
    them from here do not go back either. Entries of removed replicas are held back.
    """
    view = gateway.view
    is_fresh = not view.items and gateway.table is None
    before = view.position
    view.start_epoch(event.epoch)
    if is_fresh:
        return event.changes
    # Entries may be missing only because their replicas have yet to write them again.
    gateway.store.last_failure_ms = gateway.now_ms
    kept_keys = []
    held_keys = []
    changes = []
    for item in event.changes:
        decoded = None if item.value is None else decode(item, gateway)
        if is_outdated(decoded, item.key, gateway):
            kept_keys.append(item.key)
            changes.append(Item(item.key, view.items[item.key].value, item.revision))
            continue
        if is_removed(decoded, item.key, gateway):
            held_keys.append(item.key)
            due_ms = gateway.now_ms + CONFIRMATION_DELAY_MS
            gateway.timers.arm(due_ms, ConfirmationTimer(item, event.epoch))
            continue
        changes.append(item)
    fields = {'epoch': event.epoch, 'revision': event.revision, 'before': list(before)}
    counts = {'items': len(event.changes), 'kept': len(kept_keys), 'held': len(held_keys)}
    keys = {
        'kept_keys': kept_keys[:MAX_KEYS_LOGGED],
        'held_keys': held_keys[:MAX_KEYS_LOGGED],
    }
    gateway.act(WriteLine('store_restored', {**fields, **counts, **keys}))
    gateway.counters.add('store_restorations')
    return changes


def is_removed(decoded: object, key: str, gateway: GatewayInterface) -> bool:
    """Return whether an item is the entry of a replica that has left, or is about to."""
    if not isinstance(decoded, ReplicaEntry):
        return False
    state = gateway.replica_by_key.get(key)
    if state is None:
        return gateway.removed_replicas.includes(key, decoded)
    # An earlier restoration lacked the entry, and the replica has yet to write it again.
    return is_older(decoded, state.entry)


@singledispatch
def is_outdated(decoded: object, key: str, gateway: GatewayInterface) -> bool:
    """Return whether this VM has a newer value of an item than the restored store."""
    return False


@is_outdated.register
def is_table_outdated(decoded: RoutingTable, key: str, gateway: GatewayInterface) -> bool:
    """Compare a table with the one in force."""
    is_held = gateway.table is not None and key in gateway.view.items
    return is_held and gateway.table.version > decoded.version


@is_outdated.register
def is_entry_outdated(decoded: ReplicaEntry, key: str, gateway: GatewayInterface) -> bool:
    """Compare an entry with the known one; a replica that drains does not become ready again."""
    state = gateway.replica_by_key.get(key)
    if state is None or key not in gateway.view.items:
        return False
    return is_older(decoded, state.entry)


def is_older(entry: ReplicaEntry, known: ReplicaEntry) -> bool:
    """Return whether a replica wrote an entry before the known one."""
    if known.started_ms != entry.started_ms:
        return known.started_ms > entry.started_ms
    return known.is_draining and not entry.is_draining
