"""
The published configuration: entries of one generation, their digest, and deltas.

A document is a map of entries, so that a change is sent as the entries that differ.
"""

import hashlib

import msgspec

from .failures import Failure, InputFailure
from .fields import convert, describe_error
from .models import (
    KEY_SPACE,
    FleetRules,
    Place,
    QueryClass,
    Service,
    ShardMap,
)
from .record import Record

SOURCE = 'configuration document'
DIGEST_MODULUS = 2**256


class PublishedDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format of a document on the configuration service."""

    generation: int
    entries: dict[str, dict]


class Document(Record):
    """
    A complete configuration.

    :param entries: JSON objects by entry key
    :param digest: digest of the entries; None computes it
    """

    __slots__ = ('digest', 'entries', 'generation')

    def __init__(self, generation: int, entries: dict[str, dict], digest: str | None = None):
        self.generation = generation
        self.entries = entries
        self.digest = digest if digest is not None else digest_entries(entries)


class Delta(Record):
    """
    The difference between two generations.

    :param base_generation: generation that the delta applies to
    :param base_digest: digest of the document that the delta applies to
    :param generation: generation of the resulting document
    :param digest: digest of the resulting document
    :param changed: added and replaced entries
    :param removed: keys of removed entries
    """

    __slots__ = ('base_digest', 'base_generation', 'changed', 'digest', 'generation', 'removed')

    def __init__(
        self,
        base_generation: int,
        base_digest: str,
        generation: int,
        digest: str,
        changed: dict[str, dict],
        removed: list[str],
    ):
        self.base_generation = base_generation
        self.base_digest = base_digest
        self.generation = generation
        self.digest = digest
        self.changed = changed
        self.removed = removed


class BackEnd(Record):
    """A back end's services, and its shard maps by first snapshot, newest first."""

    __slots__ = ('name', 'services', 'shard_maps')

    def __init__(self, name: str):
        self.name = name
        self.services: dict[str, Service] = {}
        self.shard_maps: list[tuple[int, ShardMap]] = []

    def map_at(self, snapshot: int) -> ShardMap | None:
        """Return the shard map in effect at a snapshot, or None."""
        for first_snapshot, shard_map in self.shard_maps:
            if first_snapshot <= snapshot:
                return shard_map
        return None


class Configuration(Record):
    """A validated document in the form that the core uses."""

    __slots__ = ('back_ends', 'classes', 'digest', 'fleet', 'generation', 'places')

    def __init__(self, generation: int, digest: str):
        self.generation = generation
        self.digest = digest
        self.back_ends: dict[str, BackEnd] = {}
        self.classes: dict[str, QueryClass] = {}
        self.places: dict[str, Place] = {}
        self.fleet = FleetRules()


def hash_entry(key: str, value: dict) -> int:
    """Return the hash of one entry; the digest is the sum of these hashes."""
    text = msgspec.json.encode([key, value], order='deterministic')
    return int.from_bytes(hashlib.sha256(text).digest(), 'big')


def digest_entries(entries: dict[str, dict]) -> str:
    """
    Return the digest of a set of entries, independent of their order.

    The digest is a sum, so that a delta updates it without hashing the unchanged entries.
    """
    total = 0
    for key, value in entries.items():
        total += hash_entry(key, value)
    return format(total % DIGEST_MODULUS, '064x')


def apply_delta(document: Document, delta: Delta) -> Document | None:
    """Return the document after a delta, or None if the delta does not match the document."""
    if (document.generation, document.digest) != (delta.base_generation, delta.base_digest):
        return None
    total = int(document.digest, 16)
    entries = dict(document.entries)
    for key in [*delta.removed, *delta.changed]:
        if key not in entries:
            continue
        total -= hash_entry(key, entries.pop(key))
    for key, value in delta.changed.items():
        entries[key] = value
        total += hash_entry(key, value)
    digest = format(total % DIGEST_MODULUS, '064x')
    if digest != delta.digest:
        return None
    return Document(delta.generation, entries, digest)


def compute_delta(old: Document, new: Document) -> Delta:
    """Return the delta from one document to a newer one."""
    changed = {}
    for key, value in new.entries.items():
        if old.entries.get(key) == value:
            continue
        changed[key] = value
    removed = [key for key in old.entries if key not in new.entries]
    return Delta(old.generation, old.digest, new.generation, new.digest, changed, removed)


def encode_document(document: Document) -> bytes:
    """Return a document in its published format."""
    published = PublishedDocument(document.generation, document.entries)
    return msgspec.json.encode(published, order='deterministic')


def decode_document(text: bytes, source: str = SOURCE) -> Document | InputFailure:
    """Decode a published document without checking its entries."""
    try:
        published = msgspec.json.decode(text, type=PublishedDocument)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return describe_error(error, source, None)
    if not 0 < published.generation < 2**53:
        return InputFailure(
            source, 'generation', published.generation, 'a number from 1 to 2**53 - 1'
        )
    return Document(published.generation, published.entries)


def check_document(document: Document) -> Configuration | Failure:
    """Check every entry and the references between entries; every VM gets the same result."""
    configuration = Configuration(document.generation, document.digest)
    for key, value in sorted(document.entries.items()):
        failure = add_entry(configuration, key, value)
        if failure is not None:
            return failure
    return check_references(configuration) or configuration


ENTRY_TYPES = {
    'service': (3, Service),
    'map': (3, ShardMap),
    'class': (2, QueryClass),
    'place': (2, Place),
    'fleet': (1, FleetRules),
}
"""Number of parts in the key and type of the value, by kind of entry."""


def add_entry(configuration: Configuration, key: str, value: dict) -> InputFailure | None:
    """Check one entry and add it to the configuration."""
    parts = key.split('/')
    size, entry_type = ENTRY_TYPES.get(parts[0], (0, None))
    if len(parts) != size or not all(parts):
        allowed = 'service/BACK_END/SERVICE, map/BACK_END/SNAPSHOT, class/NAME, place/NAME, fleet'
        return InputFailure(SOURCE, key, key, allowed)
    entry = convert(value, entry_type, SOURCE, key)
    if isinstance(entry, Failure):
        return entry
    if parts[0] == 'fleet':
        configuration.fleet = entry
        return None
    if parts[0] == 'class':
        return add_class(configuration, parts[1], entry)
    if parts[0] == 'place':
        configuration.places[parts[1]] = entry
        return None
    back_end = configuration.back_ends.setdefault(parts[1], BackEnd(parts[1]))
    if parts[0] == 'service':
        back_end.services[parts[2]] = entry
        return None
    return add_shard_map(back_end, key, parts[2], entry)


def add_class(configuration: Configuration, name: str, entry: QueryClass) -> InputFailure | None:
    """Add a query class to the configuration if its soft deadline is not after its hard one."""
    if entry.soft_deadline_ms > entry.hard_deadline_ms:
        field = f'class/{name}.soft_deadline_ms'
        allowed = f'at most hard_deadline_ms, {entry.hard_deadline_ms}'
        return InputFailure(SOURCE, field, entry.soft_deadline_ms, allowed)
    configuration.classes[name] = entry
    return None


def add_shard_map(back_end: BackEnd, key: str, first: str, entry: ShardMap) -> InputFailure | None:
    """Add a shard map to its back end if it covers the key space without gaps or overlaps."""
    if not (first.isascii() and first.isdigit() and len(first) <= 16):
        return InputFailure(
            SOURCE, key, first, 'the number of the first snapshot, up to 16 digits'
        )
    covered = 0
    shard_ids = set()
    for shard in sorted(entry.shards, key=lambda shard: shard.low):
        if shard.low != covered or shard.high <= shard.low or shard.shard_id in shard_ids:
            allowed = (
                f'shards with unique names that cover 0 to {KEY_SPACE} without gaps or overlaps'
            )
            return InputFailure(SOURCE, f'{key}.{shard.shard_id}', shard.low, allowed)
        covered = shard.high
        shard_ids.add(shard.shard_id)
    if covered != KEY_SPACE:
        return InputFailure(SOURCE, key, covered, f'shards up to position {KEY_SPACE}')
    back_end.shard_maps.append((int(first), entry))
    back_end.shard_maps.sort(key=lambda pair: pair[0], reverse=True)
    return None


def check_references(configuration: Configuration) -> InputFailure | None:
    """Check that references between entries resolve and that replica names are unique."""
    replica_ids = set()
    for back_end in configuration.back_ends.values():
        if not back_end.shard_maps:
            return InputFailure(SOURCE, f'map/{back_end.name}', None, 'at least one shard map')
        for first_snapshot, shard_map in back_end.shard_maps:
            for shard in shard_map.shards:
                if shard.service in back_end.services:
                    continue
                field = f'map/{back_end.name}/{first_snapshot}.{shard.shard_id}.service'
                return InputFailure(SOURCE, field, shard.service, 'a service of the back end')
        for name, service in back_end.services.items():
            for replica in service.replicas:
                field = f'service/{back_end.name}/{name}.{replica.replica_id}'
                if replica.replica_id in replica_ids:
                    return InputFailure(SOURCE, field, replica.replica_id, 'a unique name')
                if replica.place not in configuration.places:
                    return InputFailure(
                        SOURCE, f'{field}.place', replica.place, 'a place that has an entry'
                    )
                replica_ids.add(replica.replica_id)
    for name, query_class in configuration.classes.items():
        if query_class.back_end not in configuration.back_ends:
            field = f'class/{name}.back_end'
            return InputFailure(SOURCE, field, query_class.back_end, 'a back end with services')
    return None
