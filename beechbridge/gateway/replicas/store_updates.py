"""Applies store updates: routing table, evacuations, replica entries and their removal."""

from ...failures import Failure
from ...record import Record
from ..actions import SetCallerLimits, WriteLine
from ..events import ChangesReceived, PullEnded, StoreFailed
from ..fleet.gossip import announce_change, announce_revision
from ..fleet.pulls import mark_caught_up, record_pull
from ..interface import GatewayInterface
from ..models import Item, ReplicaEntry
from ..requests.evidence import REMOVED, confirm_end
from ..requests.room_queue import revise_rooms
from ..requests.start_queue import release_requests
from ..requests.unsent import dispatch_anew, withdraw_barred
from ..routes import RoutingTable
from .cold_limits import apply_cold_entry, refresh_limits
from .decoding import (
    Decoded,
    check,
    decode_value,
    log_unreadable,
    note_unreadable,
    report_defect,
)
from .evacuations import Evacuation, end_evacuation, mark_evacuated, start_evacuation
from .restoration import ConfirmationTimer, start_epoch
from .upstreams import ReplicaState

STORE_UNSTABLE_MS = 3_000.0
"""Time after a failed store call in which a missing entry may merely have expired."""

MAX_SINGLE_LINES = 40
"""Items that change at once up to which each new replica is logged in a line of its own."""

REREGISTRATION_GRACE_MS = 2_300.0
"""Time in which a live replica registers again once the store has recovered."""


class RemovalTimer(Record):
    """Fires when a missing entry counts as removed, unless it was written again."""

    __slots__ = ('key', 'missing_since_ms')

    def __init__(self, key: str, missing_since_ms: float):
        self.key = key
        self.missing_since_ms = missing_since_ms


class StoreStatus:
    """
    Availability of the store as seen by this VM.

    :param last_failure_ms: time of the latest failed call in milliseconds
    :param is_failing: whether the latest call failed
    """

    __slots__ = ('is_failing', 'is_reached', 'last_failure_ms')

    def __init__(self):
        self.is_reached = False
        self.is_failing = False
        self.last_failure_ms = -STORE_UNSTABLE_MS

    def reset(self) -> None:
        """Mark the store as not reached: another VM follows it now."""
        self.is_reached = False

    def is_unstable(self, now_ms: float) -> bool:
        """Return whether entries may be missing because the store was unavailable."""
        return now_ms - self.last_failure_ms < STORE_UNSTABLE_MS


def handle_store_failed(event: StoreFailed, gateway: GatewayInterface) -> None:
    """Record that a store call failed."""
    if not gateway.gossip.is_following:
        return
    store = gateway.store
    store.last_failure_ms = gateway.now_ms
    store.is_failing = True
    gateway.counters.add('store_failures', event.detail)
    if store.is_reached:
        store.is_reached = False
        gateway.act(WriteLine('store_lost', {'cause': event.detail}))


def handle_pull_ended(event: PullEnded, gateway: GatewayInterface) -> None:
    """Apply the changes that another VM sent, if it sent any."""
    record_pull(event, gateway)
    if not isinstance(event.result, Failure):
        handle_changes_received(event.result, gateway)


def handle_changes_received(event: ChangesReceived, gateway: GatewayInterface) -> None:
    """Apply store changes and act on those that are new to this VM."""
    if event.epoch < gateway.view.epoch:
        fields = {'epoch': event.epoch, 'current': gateway.view.epoch}
        gateway.act(WriteLine('changes_outdated', fields))
        return
    store = gateway.store
    now_ms = gateway.now_ms
    was_ready = gateway.is_ready()
    gateway.last_update_ms = now_ms
    if event.is_from_store:
        store.is_failing = False
    if event.is_from_store and gateway.gossip.is_following and not store.is_reached:
        store.is_reached = True
        gateway.act(WriteLine('store_reached', {'revision': event.revision}))
    is_new_epoch = event.epoch > gateway.view.epoch
    changes = list(start_epoch(event, gateway) if is_new_epoch else event.changes)
    keys = {change.key for change in event.changes}
    for prefix in event.listed_prefixes:
        changes.extend(gateway.view.find_missing(prefix, keys, event.revision))
    applied = gateway.view.apply_changes(changes, event.revision)
    mark_caught_up(gateway)
    known_count = len(gateway.upstreams.by_id)
    is_listing = len(applied) > MAX_SINGLE_LINES
    apply_items(applied, gateway, is_listing)
    for failure in event.unreadable:
        note_unreadable(failure, failure.source, gateway)
        # Without a key nobody could tell when it can be read.
        gateway.unreadable.remove(failure.source)
    log_unreadable(gateway)
    if is_listing:
        log_listing(len(applied), len(gateway.upstreams.by_id) - known_count, gateway)
    if gateway.is_ready() and not was_ready:
        announce_change(gateway)
    elif applied and event.is_from_store:
        announce_revision(gateway)


def log_listing(item_count: int, added_count: int, gateway: GatewayInterface) -> None:
    """Log in one line that many entries were read, such as those that exist at a start."""
    fields = {'items': item_count, 'added': added_count, 'replicas': len(gateway.upstreams.by_id)}
    gateway.act(WriteLine('replicas_listed', {**fields, 'revision': gateway.view.revision}))


def apply_items(items: list[Item], gateway: GatewayInterface, is_listing: bool = False) -> None:
    """
    Apply changed store items, evacuations first.

    Otherwise a queued request could be sent to a new replica of a data centre that a later item
    evacuates. Requests that an evacuation or a table concerns are dispatched once all items are
    applied, since those may bring the replicas that can serve them.

    :param is_listing: whether a new replica is one of many, which are logged together
    """
    decoded_items = []
    for item in items:
        decoded = None if item.value is None else decode_value(item, gateway)
        decoded_items.append((item, decoded))
    decoded_items.sort(key=lambda pair: not isinstance(pair[1], Evacuation))
    table = gateway.table
    services: list[str] = []
    for item, decoded in decoded_items:
        services.extend(apply_item(item, decoded, gateway, is_listing))
    is_bound_anew = gateway.table is not table and (has_homes(table) or has_homes(gateway.table))
    if is_bound_anew:
        services.extend(gateway.waiting)
    if is_bound_anew or services:
        withdraw_barred(gateway)
        dispatch_anew(services, gateway)


def has_homes(table: RoutingTable | None) -> bool:
    """Return whether a route of a table has home regions."""
    return table is not None and bool(table.home_routes_by_host)


def apply_item(
    item: Item, decoded: Decoded, gateway: GatewayInterface, is_listing: bool
) -> list[str]:
    """
    Apply one changed store item; a defect costs this item, not those beside it.

    :return: services whose requests have to be looked at again
    """
    try:
        return apply_change(item, decoded, gateway, is_listing)
    except Exception as error:
        report_defect(item.key, error, gateway)
        return []


def apply_change(
    item: Item, decoded: Decoded, gateway: GatewayInterface, is_listing: bool
) -> list[str]:
    """Apply one changed store item to the routing table, a replica or an evacuation."""
    state = gateway.replica_by_key.get(item.key)
    if item.value is None:
        gateway.unreadable.remove(item.key)
        if state is not None:
            apply_entry_removal(item.key, state, gateway)
        return end_evacuation(item.key, gateway)
    decoded = check(decoded, item.key, gateway)
    if decoded is None:
        return []
    if isinstance(decoded, Failure):
        note_unreadable(decoded, item.key, gateway)
        if state is not None:
            drop_replica(item.key, state, 'entry unreadable', gateway, is_end=False)
        return end_evacuation(item.key, gateway)
    gateway.unreadable.remove(item.key)
    if isinstance(decoded, Evacuation):
        return start_evacuation(item.key, decoded, gateway)
    if isinstance(decoded, RoutingTable):
        # Anybody may write a large entry, and no later one resembles it.
        gateway.view.dictionaries.add(item.value)
        apply_table(decoded, gateway)
        return []
    apply_entry(item.key, decoded, state, gateway, is_listing)
    return []


def apply_table(table: RoutingTable, gateway: GatewayInterface) -> None:
    """Activate a routing table if its version is newer than the current one."""
    current = gateway.table
    if current is not None and table.version <= current.version:
        return
    gateway.table = table
    refresh_limits(gateway)
    gateway.splits.reset()
    revise_rooms(gateway)
    release_requests(gateway)
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
    key: str,
    entry: ReplicaEntry,
    state: ReplicaState | None,
    gateway: GatewayInterface,
    is_listing: bool,
) -> None:
    """Add a replica, or update it from its entry."""
    is_new = state is None
    if state is not None:
        known = state.entry
        is_same = (known.host, known.port, known.service, known.started_ms) == (
            entry.host,
            entry.port,
            entry.service,
            entry.started_ms,
        )
        if is_same and not state.is_gone:
            is_changed = known.is_draining != entry.is_draining
            state.entry = entry
            state.missing_since_ms = None
            mark_evacuated(state, gateway)
            apply_cold_entry(state, gateway)
            if is_changed:
                log_replica(entry, 'draining' if entry.is_draining else 'ready', gateway)
            return
        drop_replica(key, state, 'replaced', gateway)
    distance = gateway.distance_to(entry.zone)
    state = ReplicaState(entry, distance, gateway.now_ms, gateway.notices.find(entry))
    mark_evacuated(state, gateway)
    gateway.upstreams.add(state)
    gateway.replica_by_key[key] = state
    apply_cold_entry(state, gateway)
    if entry.is_draining or not (is_listing and is_new):
        log_replica(entry, 'draining' if entry.is_draining else 'ready', gateway)
    gateway.dispatch_waiting(entry.service)


def log_replica(entry: ReplicaEntry, state: str, gateway: GatewayInterface) -> None:
    """Log a change of state of a replica."""
    fields = {'replica': entry.replica_id, 'service': entry.service, 'state': state}
    gateway.act(WriteLine('replica_changed', {**fields, 'revision': gateway.view.revision}))


def apply_entry_removal(key: str, state: ReplicaState, gateway: GatewayInterface) -> None:
    """Drop a replica whose entry was removed, after a grace period if it may have expired."""
    if not gateway.store.is_unstable(gateway.now_ms):
        drop_replica(key, state, 'entry removed', gateway)
        return
    state.missing_since_ms = gateway.now_ms
    log_replica(state.entry, 'vanished', gateway)
    gateway.timers.arm(gateway.now_ms + REREGISTRATION_GRACE_MS, RemovalTimer(key, gateway.now_ms))


def fire_removal(timer: RemovalTimer, gateway: GatewayInterface) -> None:
    """Drop a replica whose entry was not written again within the grace period."""
    state = gateway.replica_by_key.get(timer.key)
    if state is None or state.missing_since_ms != timer.missing_since_ms:
        return
    drop_replica(timer.key, state, 'entry did not come back', gateway)


def fire_confirmation(timer: ConfirmationTimer, gateway: GatewayInterface) -> None:
    """Use a restored entry of a removed replica that has neither expired nor changed since."""
    if timer.epoch != gateway.view.epoch:
        return
    apply_items(gateway.view.apply_changes([timer.item], gateway.view.revision), gateway)
    log_unreadable(gateway)


def drop_replica(
    key: str, state: ReplicaState, cause: str, gateway: GatewayInterface, is_end: bool = True
) -> None:
    """
    Remove a replica and close its idle connections; exchanges in flight continue.

    :param is_end: whether its process has ended or is about to
    """
    gateway.replica_by_key.pop(key, None)
    gateway.removed_replicas.add(key, state.entry)
    for connection_id in gateway.upstreams.remove(state):
        gateway.drop_connection(connection_id)
    log_replica(state.entry, cause, gateway)
    if is_end:
        confirm_end(state, REMOVED, gateway)
