"""Decoding of single items of the store, whose defects cost no other item."""

from ...defects import describe_defect
from ...failures import Failure, InputFailure
from ..actions import WriteLine
from ..interface import GatewayInterface
from ..models import Item, ReplicaEntry
from ..routes import RoutingTable


def decode(item: Item, gateway: GatewayInterface) -> RoutingTable | ReplicaEntry | Failure | None:
    """Decode an item with a value; return a failure if that raises an exception."""
    try:
        return gateway.decode_item(item.key, item.value)
    except Exception as error:
        report_defect(item.key, error, gateway)
        return InputFailure(item.key, 'value', type(error).__name__, 'an item that can be decoded')


def report_defect(key: str, error: Exception, gateway: GatewayInterface) -> None:
    """Count and log an exception that one item has raised."""
    gateway.counters.add('defects', type(error).__name__)
    gateway.act(WriteLine('item_failed', {'key': key, **describe_defect(error)}))
