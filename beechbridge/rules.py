"""The operator's rules file, and the document built from it and an inventory."""

from typing import Annotated

import msgspec
from msgspec import Meta

from .document import Document, check_document
from .failures import Failure, InputFailure
from .fields import decode_toml
from .inventory import InventoryRow
from .models import (
    KEY_SPACE,
    FleetRules,
    Name,
    Place,
    QueryClass,
    Service,
    Shard,
    ShardMap,
    Snapshot,
)

FIRST_SNAPSHOT = 1


class MapRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shards of a back end, starting with a snapshot, if they are not one per service."""

    back_end: Name
    first_snapshot: Snapshot
    shards: Annotated[tuple[Shard, ...], Meta(min_length=1)]


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The rules file."""

    classes: dict[Name, QueryClass]
    places: dict[Name, Place]
    fleet: FleetRules = FleetRules()
    shard_maps: tuple[MapRule, ...] = ()


def parse_rules(text: str, source: str) -> Rules | InputFailure:
    """Parse rules from TOML text."""
    return decode_toml(text, Rules, source)


def build_document(rows: list[InventoryRow], rules: Rules, generation: int) -> Document | Failure:
    """Build and check the document to publish."""
    services: dict[str, dict[str, list]] = {}
    for row in rows:
        replicas = services.setdefault(row.back_end, {}).setdefault(row.service, [])
        replicas.append(row.to_replica())
    entries = {'fleet': rules.fleet}
    for back_end, by_name in services.items():
        for name, replicas in by_name.items():
            entry = Service(tuple(replicas))
            entries[f'service/{back_end}/{name}'] = entry
        key = f'map/{back_end}/{FIRST_SNAPSHOT}'
        entries[key] = split_evenly(sorted(by_name))
    for rule in rules.shard_maps:
        key = f'map/{rule.back_end}/{rule.first_snapshot}'
        entries[key] = ShardMap(rule.shards)
    for name, query_class in rules.classes.items():
        entries[f'class/{name}'] = query_class
    for name, place in rules.places.items():
        entries[f'place/{name}'] = place
    # A round trip through JSON converts the entries to plain objects.
    document = Document(generation, msgspec.json.decode(msgspec.json.encode(entries)))
    checked = check_document(document)
    return checked if isinstance(checked, Failure) else document


def split_evenly(services: list[str]) -> ShardMap:
    """Return a shard map with one shard per service, all of equal size."""
    shards = []
    for number, name in enumerate(services):
        low = KEY_SPACE * number // len(services)
        high = KEY_SPACE * (number + 1) // len(services)
        shards.append(Shard(f'{name}-shard', low, high, name))
    return ShardMap(tuple(shards))
