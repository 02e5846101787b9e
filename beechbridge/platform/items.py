"""
Decoding of the platform's store items into routing tables and replica entries.

Anybody may have written an entry, so each of its fields has a type and a bound. A field that the
pages name is required; none is filled in. What differs from that names nothing.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..failures import Failure, InputFailure
from ..gateway.models import ReplicaEntry
from ..gateway.routes import CallerLimits, Route, RoutingTable, ServiceRules
from .names import REPLICAS_PREFIX, TABLE_KEY

DRAINING = 'draining'
IDEMPOTENT = 'idempotent'
MAX_EXACT = 2**53
"""Greatest count up to which every whole number has a JSON number of its own."""

MAX_DURATION_MS = 86_400_000.0
"""One day: no warm-up is longer."""

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=MAX_EXACT)]
Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
ADDRESS = re.compile(r'(?P<host>.+):(?P<port>[0-9]{1,5})')
MAX_PORT = 65_535


class SplitPart(msgspec.Struct):
    """One service of a split route and its traffic share."""

    service: str
    weight: float


class RouteItem(msgspec.Struct):
    """A route as written by the operator."""

    name: str
    host: str
    prefix: str
    kind: str
    """`idempotent` or `non_idempotent`: whether a request may be retried or hedged."""

    timeout_ms: float = msgspec.field(name='timeoutMs')
    goal_ms: float | None = msgspec.field(name='goalMs', default=None)
    attempts: int = 1
    """Maximum number of replicas of one service that may run one attempt of a caller; not a number
    of consecutive tries."""

    priority: int = 0
    service: str | None = None
    split: list[SplitPart] | None = None
    gather: list[str] | None = None
    top_k: int = msgspec.field(name='topK', default=0)
    min_share: float = msgspec.field(name='minShare', default=1.0)


class ServiceItem(msgspec.Struct):
    """A service as written by the operator."""

    name: str
    max_conns: int = msgspec.field(name='maxConns', default=1)
    """Maximum number of connections to each replica from all clients together."""


class LimitsItem(msgspec.Struct):
    """Size and time limits for callers' requests."""

    header_bytes: int = msgspec.field(name='headerBytes', default=16_384)
    body_bytes: int = msgspec.field(name='bodyBytes', default=262_144)
    header_ms: float = msgspec.field(name='headerMs', default=3_000.0)
    idle_ms: float = msgspec.field(name='idleMs', default=15_000.0)


class TableItem(msgspec.Struct):
    """The complete routing configuration."""

    version: int
    routes: list[RouteItem]
    services: list[ServiceItem]
    limits: LimitsItem = msgspec.field(default_factory=LimitsItem)


class EntryItem(msgspec.Struct):
    """Registration entry that a replica publishes."""

    service: Name
    addr: Name
    zone: Name
    version: Annotated[str, Meta(max_length=200)]
    slots: Annotated[int, Meta(ge=0, le=1_000_000)]
    state: Literal['ready', 'draining']
    cold_left_ms: Duration = msgspec.field(name='coldLeftMs')
    seq: Count
    born: Annotated[int, Meta(ge=1, le=MAX_EXACT)] | UnsetType = UNSET
    """
    Start time in Unix milliseconds; the ID in the key may be reused after a restart.

    Not required: there are installations whose replicas have a new ID after each start and do not
    say it.
    """


TABLE_DECODER = msgspec.json.Decoder(TableItem)
ENTRY_DECODER = msgspec.json.Decoder(EntryItem)


def decode_item(key: str, value: bytes) -> RoutingTable | ReplicaEntry | Failure | None:
    """Decode an item according to its key; return None if the gateway does not use it."""
    if key == TABLE_KEY:
        return decode_table(value)
    if key.startswith(REPLICAS_PREFIX):
        return decode_entry(key, value)
    return None


def decode_table(value: bytes) -> RoutingTable | Failure:
    """Decode the routing configuration."""
    try:
        item = TABLE_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return InputFailure(TABLE_KEY, 'value', str(error), 'a routing configuration')
    routes = [to_route(route) for route in item.routes]
    services = {}
    for service in item.services:
        services[service.name] = ServiceRules(service.name, service.max_conns)
    limits = item.limits
    return RoutingTable(
        item.version,
        routes,
        services,
        CallerLimits(limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms),
    )


def to_route(item: RouteItem) -> Route:
    """Convert a route item to a route."""
    services: tuple[str, ...] = ()
    weights: tuple[float, ...] = (1.0,)
    if item.gather is not None:
        services = tuple(item.gather)
    elif item.split:
        services = tuple(part.service for part in item.split)
        weights = tuple(part.weight for part in item.split)
    elif item.service is not None:
        services = (item.service,)
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.prefix,
        services=services,
        weights=weights,
        is_gather=item.gather is not None,
        is_idempotent=item.kind == IDEMPOTENT,
        attempts=max(1, item.attempts),
        timeout_ms=item.timeout_ms,
        objective_ms=item.timeout_ms if item.goal_ms is None else item.goal_ms,
        priority=item.priority,
        top_records=item.top_k,
        min_share=item.min_share,
    )


def decode_entry(key: str, value: bytes) -> ReplicaEntry | Failure:
    """Decode a replica's entry; return a failure if it has another format."""
    try:
        item = ENTRY_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return InputFailure(key, 'value', str(error), 'a replica entry')
    address = ADDRESS.fullmatch(item.addr)
    if address is None or not 0 < int(address['port']) <= MAX_PORT:
        return InputFailure(key, 'addr', item.addr, 'host:port')
    return ReplicaEntry(
        replica_id=key[len(REPLICAS_PREFIX) :],
        service=item.service,
        host=address['host'],
        port=int(address['port']),
        zone=item.zone,
        slots=item.slots,
        is_draining=item.state == DRAINING,
        cold_left_ms=item.cold_left_ms,
        started_ms=0 if item.born is UNSET else item.born,
    )
