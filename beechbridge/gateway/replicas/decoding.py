"""
Decoding of single items of the store, whose defects cost no other item.

What cannot be read is logged once, however often it is written, and shown to operators.
"""

from functools import singledispatch

from ...defects import describe_defect
from ...failures import Failure, InputFailure
from ..actions import WriteLine
from ..interface import GatewayInterface
from ..models import Item, ReplicaEntry
from ..routes import RoutingTable
from .evacuations import Evacuation

MAX_SINGLE_LINES = 40
"""Unreadable items that come at once up to which each is logged in a line of its own."""

MAX_REMEMBERED = 2_000
"""Items of which is remembered why they could not be read, the latest ones."""

MAX_REASON_CHARACTERS = 300
MAX_SHOWN = 50
"""Limit on the unreadable items in a state dump."""


Decoded = RoutingTable | ReplicaEntry | Evacuation | Failure | None
"""What an item says; None if this VM does not use it."""


class UnreadableItems:
    """
    Items that cannot be read, or could not.

    :param reasons: latest reason by key, also of items that can be read by now
    :param current: keys of the items that cannot be read now, in order
    :param news: keys and reasons that have yet to be logged
    """

    __slots__ = ('current', 'news', 'reasons')

    def __init__(self):
        self.reasons: dict[str, str] = {}
        self.current: dict[str, None] = {}
        self.news: list[tuple[str, str]] = []

    def add(self, key: str, reason: str) -> None:
        """Note that an item cannot be read."""
        if self.reasons.get(key) != reason:
            self.news.append((key, reason))
        self.reasons.pop(key, None)
        self.reasons[key] = reason
        self.current[key] = None
        if len(self.reasons) > MAX_REMEMBERED:
            oldest = next(iter(self.reasons))
            del self.reasons[oldest]
            self.current.pop(oldest, None)

    def remove(self, key: str) -> None:
        """Note that an item can be read, or was deleted."""
        self.current.pop(key, None)

    def describe(self) -> dict:
        """Return the items that cannot be read now, for a dump."""
        shown = {key: self.reasons[key] for key in list(self.current)[:MAX_SHOWN]}
        return {'count': len(self.current), 'items': shown}


def note_unreadable(failure: Failure, key: str, gateway: GatewayInterface) -> None:
    """
    Count an item that cannot be read, and remember the reason.

    :param key: its key, or another name for items without one
    """
    gateway.counters.add('items_unreadable')
    gateway.unreadable.add(key, failure.detail[:MAX_REASON_CHARACTERS])


def log_unreadable_message(failure: Failure, name: str, gateway: GatewayInterface) -> None:
    """
    Log once for each reason what cannot be read of a message: it is no item that lasts.

    :param name: what it is, and of whom
    """
    gateway.unreadable.add(name, failure.detail[:MAX_REASON_CHARACTERS])
    gateway.unreadable.remove(name)
    log_unreadable(gateway)


def log_unreadable(gateway: GatewayInterface) -> None:
    """Log the items that cannot be read and were not logged with the same reason before."""
    unreadable = gateway.unreadable
    news, unreadable.news = unreadable.news, []
    for key, reason in news[:MAX_SINGLE_LINES]:
        gateway.act(WriteLine('item_unreadable', {'key': key, 'detail': reason}))
    if len(news) > MAX_SINGLE_LINES:
        gateway.act(WriteLine('items_unreadable', {'items': len(news)}))


def decode(item: Item, gateway: GatewayInterface) -> Decoded:
    """Decode and check an item with a value; return a failure if it cannot be used."""
    return check(decode_value(item, gateway), item.key, gateway)


def decode_value(item: Item, gateway: GatewayInterface) -> Decoded:
    """Decode an item with a value; return a failure if that raises an exception."""
    try:
        return gateway.decode_item(item.key, item.value)
    except Exception as error:
        report_defect(item.key, error, gateway)
        return InputFailure(item.key, 'value', type(error).__name__, 'an item that can be decoded')


@singledispatch
def check(decoded: object, key: str, gateway: GatewayInterface) -> Decoded:
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
