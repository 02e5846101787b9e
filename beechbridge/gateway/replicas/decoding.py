"""Decoding of single items of the store, whose defects cost no other item."""

from functools import singledispatch

from ...defects import describe_defect
from ...failures import Failure, InputFailure
from ..actions import WriteLine
from ..interface import GatewayInterface
from ..models import Item, ReplicaEntry
from ..routes import RoutingTable


def decode(item: Item, gateway: GatewayInterface) -> RoutingTable | ReplicaEntry | Failure | None:
    """Decode an item with a value; return a failure if that raises an exception."""
    try:
        decoded = gateway.decode_item(item.key, item.value)
    except Exception as error:
        report_defect(item.key, error, gateway)
        return InputFailure(item.key, 'value', type(error).__name__, 'an item that can be decoded')
    return check(decoded, item.key, gateway)


@singledispatch
def check(
    decoded: object, key: str, gateway: GatewayInterface
) -> RoutingTable | ReplicaEntry | Failure | None:
    """Return a decoded item, or a failure if its author cannot have written it."""
    return decoded


@check.register
def check_entry(
    entry: ReplicaEntry, key: str, gateway: GatewayInterface
) -> ReplicaEntry | Failure:
    """Reject an entry without a start time if the replica has named one before."""
    if entry.started_ms:
        return entry
    state = gateway.replica_by_key.get(key)
    if state is not None:
        known_ms = state.entry.started_ms
    else:
        known_ms = gateway.removed_replicas.started_ms.get(key, 0)
    if not known_ms:
        return entry
    return InputFailure(key, 'start time', None, f'a number, as {known_ms} before')


def report_defect(key: str, error: Exception, gateway: GatewayInterface) -> None:
    """Count and log an exception that one item has raised."""
    gateway.counters.add('defects', type(error).__name__)
    gateway.act(WriteLine('item_failed', {'key': key, **describe_defect(error)}))
