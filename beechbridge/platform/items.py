"""
Decoding of the platform's store items into routing tables and replica entries.

Anybody may have written an item, so each field has a type and a bound. A field that the pages name
is required; none is filled in. What differs from that names nothing.
"""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..failures import Failure, InputFailure
from ..gateway.homes import intersect_homes
from ..gateway.models import ReplicaEntry
from ..gateway.replicas.evacuations import Evacuation
from ..gateway.replicas.store_view import MAX_KEY_LENGTH
from ..gateway.routes import CallerLimits, Route, RoutingTable, ServiceRules
from ..hosts import split_address
from .names import EVACUATIONS_PREFIX, REPLICAS_PREFIX, TABLE_KEY

DRAINING = 'draining'
IDEMPOTENT = 'idempotent'
MAX_EXACT = 2**53
"""Greatest count up to which every whole number has a JSON number of its own."""

MAX_ENTRY_BYTES = 16_384
"""Largest entry; one of the pages has some 150 bytes. Of a larger one not all has to be kept."""

MAX_DURATION_MS = 86_400_000.0
"""One day: no time-out or warm-up is longer."""

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=MAX_EXACT)]
Amount = Annotated[int, Meta(ge=1, le=1_000_000)]
ByteCount = Annotated[int, Meta(ge=1, le=2**31)]
Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
PositiveDuration = Annotated[float, Meta(gt=0, le=MAX_DURATION_MS)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS / 1000)]
Rate = Annotated[float, Meta(ge=0, le=1_000_000)]
MS_PER_SECOND = 1000.0
REPLICA_ID = re.compile(r'[!-~]{1,200}')
"""What the header with the expected replica can carry."""

ZONE = re.compile(r'[!-.0-~]+')
"""Name of a data centre in a key: printable ASCII without slashes."""


class SplitPart(msgspec.Struct):
    """One service of a split route and its traffic share."""

    service: Name
    weight: Annotated[float, Meta(ge=0, le=1e9)]


class RouteItem(msgspec.Struct):
    """A route as written by the operator; it names a service, a split or shards to gather."""

    name: Name
    host: Name
    prefix: Annotated[str, Meta(max_length=2_000, pattern=r'\A/([^\r\n]*/)?\Z')]
    kind: Literal['idempotent', 'non_idempotent']
    """Whether a request may be retried or hedged."""

    timeout_ms: PositiveDuration = msgspec.field(name='timeoutMs')
    goal_ms: PositiveDuration = msgspec.field(name='goalMs')
    attempts: Amount
    """Maximum number of replicas of one service that may run one attempt of a caller; not a number
    of consecutive tries."""

    priority: Count
    home_regions: list[Name] | UnsetType | None = msgspec.field(name='homeRegions', default=UNSET)
    """Regions in which requests may be served; none or an empty list: all."""

    tenant: Name | UnsetType | None = UNSET
    service: Name | UnsetType = UNSET
    split: Annotated[list[SplitPart], Meta(min_length=1)] | UnsetType = UNSET
    gather: Annotated[list[Name], Meta(min_length=1)] | UnsetType = UNSET
    top_k: Amount | UnsetType = msgspec.field(name='topK', default=UNSET)
    min_share: Annotated[float, Meta(ge=0, le=1)] | UnsetType = msgspec.field(
        name='minShare', default=UNSET
    )

    def __post_init__(self) -> None:
        """
        Check which fields are there together.

        :raises ValueError: if it is unclear where requests go, or what a gather returns
        """
        targets = [one for one in (self.service, self.split, self.gather) if one is not UNSET]
        if len(targets) != 1:
            raise ValueError('Expected one of `service`, `split` and `gather`')
        if self.gather is not UNSET and UNSET in (self.top_k, self.min_share):
            raise ValueError('Expected `topK` and `minShare` beside `gather`')


class TeamItem(msgspec.Struct):
    """A team as written by the operator, with the home regions of all of its routes."""

    name: Name
    home_regions: list[Name] | UnsetType | None = msgspec.field(name='homeRegions', default=UNSET)


class ServiceItem(msgspec.Struct):
    """A service as written by the operator."""

    name: Name
    max_conns: Amount = msgspec.field(name='maxConns')
    """Maximum number of connections to each replica from all clients together."""

    warmup_s: Seconds | UnsetType | None = msgspec.field(name='warmupS', default=UNSET)
    cold_rate_per_s: Rate | UnsetType | None = msgspec.field(name='coldRateS', default=UNSET)
    """Requests per second that a cold replica tolerates; 0 or none: no limit."""


class LimitsItem(msgspec.Struct):
    """Size and time limits for callers' requests."""

    header_bytes: ByteCount = msgspec.field(name='headerBytes')
    body_bytes: ByteCount = msgspec.field(name='bodyBytes')
    header_ms: PositiveDuration = msgspec.field(name='headerMs')
    idle_ms: PositiveDuration = msgspec.field(name='idleMs')


class TableItem(msgspec.Struct):
    """The complete routing configuration."""

    version: Count
    routes: list[RouteItem]
    services: list[ServiceItem]
    limits: LimitsItem
    tenants: list[TeamItem] | UnsetType | None = UNSET


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


class EvacuationItem(msgspec.Struct):
    """Value of an item that evacuates a data centre: an object of which no field is used."""


TABLE_DECODER = msgspec.json.Decoder(TableItem)
ENTRY_DECODER = msgspec.json.Decoder(EntryItem)
EVACUATION_DECODER = msgspec.json.Decoder(EvacuationItem)
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def decode_item(
    key: str, value: bytes
) -> RoutingTable | ReplicaEntry | Evacuation | Failure | None:
    """Decode an item according to its key; return None if the gateway does not use it."""
    if not is_used(key):
        return None
    if not value:
        return InputFailure(key, 'value', '', 'a value that can be read')
    if key == TABLE_KEY:
        return decode_table(value)
    if key.startswith(EVACUATIONS_PREFIX):
        return decode_evacuation(key, value)
    return decode_entry(key, value)


def is_used(key: str) -> bool:
    """Return whether the gateway uses an item with this key."""
    return key == TABLE_KEY or key.startswith((REPLICAS_PREFIX, EVACUATIONS_PREFIX))


def decode_table(value: bytes) -> RoutingTable | Failure:
    """Decode the routing configuration."""
    try:
        item = TABLE_DECODER.decode(value)
    except DECODE_ERRORS as error:
        return InputFailure(TABLE_KEY, 'value', str(error), 'a routing configuration')
    team_homes = {}
    for team in item.tenants or ():
        team_homes[team.name] = to_homes(team.home_regions)
    routes = [to_route(route, team_homes) for route in item.routes]
    services = {}
    for service in item.services:
        services[service.name] = ServiceRules(
            service.name,
            service.max_conns,
            service.cold_rate_per_s or 0.0,
            (service.warmup_s or 0.0) * MS_PER_SECOND,
        )
    limits = item.limits
    return RoutingTable(
        item.version,
        routes,
        services,
        CallerLimits(limits.header_bytes, limits.body_bytes, limits.header_ms, limits.idle_ms),
    )


def to_homes(regions: list[str] | UnsetType | None) -> frozenset[str] | None:
    """Return home regions as a set, None if requests may be served anywhere."""
    return None if regions is UNSET or not regions else frozenset(regions)


def to_route(item: RouteItem, team_homes: dict[str, frozenset[str] | None]) -> Route:
    """
    Convert a route item to a route.

    :param team_homes: home regions by team, None for a team without
    """
    weights: tuple[float, ...] = (1.0,)
    top_records = 0
    min_share = 1.0
    if item.gather is not UNSET:
        services = tuple(item.gather)
        top_records = item.top_k
        min_share = item.min_share
    elif item.split is not UNSET:
        services = tuple(part.service for part in item.split)
        weights = tuple(part.weight for part in item.split)
    else:
        services = (item.service,)
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.prefix,
        services=services,
        weights=weights,
        is_gather=item.gather is not UNSET,
        is_idempotent=item.kind == IDEMPOTENT,
        attempts=item.attempts,
        timeout_ms=item.timeout_ms,
        objective_ms=item.goal_ms,
        priority=item.priority,
        top_records=top_records,
        min_share=min_share,
        home_regions=intersect_homes(to_homes(item.home_regions), team_homes.get(item.tenant)),
    )


def decode_evacuation(key: str, value: bytes) -> Evacuation | Failure:
    """Decode an item that evacuates a data centre; return a failure if it names none."""
    zone = key[len(EVACUATIONS_PREFIX) :]
    # Items with a longer key do not reach other VMs.
    if ZONE.fullmatch(zone) is None or len(key) > MAX_KEY_LENGTH:
        return InputFailure(key, 'zone', zone, 'printable ASCII without slashes, not too long')
    if len(value) > MAX_ENTRY_BYTES:
        return InputFailure(key, 'value', 'too large', f'{MAX_ENTRY_BYTES} bytes')
    try:
        EVACUATION_DECODER.decode(value)
    except DECODE_ERRORS as error:
        return InputFailure(key, 'value', str(error), 'an object such as {}')
    return Evacuation(zone)


def decode_entry(key: str, value: bytes) -> ReplicaEntry | Failure:
    """Decode a replica's entry; return a failure if it has another format."""
    replica_id = key[len(REPLICAS_PREFIX) :]
    if REPLICA_ID.fullmatch(replica_id) is None:
        return InputFailure(key, 'ID', replica_id, 'printable ASCII')
    if len(value) > MAX_ENTRY_BYTES:
        return InputFailure(key, 'value', 'too large', f'{MAX_ENTRY_BYTES} bytes')
    try:
        item = ENTRY_DECODER.decode(value)
    except DECODE_ERRORS as error:
        return InputFailure(key, 'value', str(error), 'a replica entry')
    address = split_address(item.addr)
    if address is None:
        return InputFailure(key, 'addr', item.addr, 'host:port')
    return ReplicaEntry(
        replica_id=replica_id,
        service=item.service,
        host=address[0],
        port=address[1],
        zone=item.zone,
        slots=item.slots,
        is_draining=item.state == DRAINING,
        cold_left_ms=item.cold_left_ms,
        started_ms=0 if item.born is UNSET else item.born,
    )
