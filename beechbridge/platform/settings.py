"""Decoding of the platform's settings file into gateway settings."""

import os
import re
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..failures import Failure, InputFailure
from ..fields import decode_toml, describe_read_error
from ..gateway.actions import MAX_REPLY_BYTES
from ..gateway.replicas.cold import ColdRules
from ..gateway.requests.budgets import BudgetRules
from ..gateway.settings import (
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEADER_FIELDS,
    DEFAULT_MAX_PIPELINED,
    Address,
    GatewaySettings,
)
from ..hosts import ADDRESS_PATTERN, HOST_PATTERN
from ..wire.members import MAX_NAME_LENGTH
from .names import BALANCING_VARIABLE, SETTINGS_VARIABLE, UNEVEN_LOAD_CONTRACTS

AddressText = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
HostText = Annotated[str, Meta(pattern=HOST_PATTERN)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
PositiveAmount = Annotated[float, Meta(gt=0, le=1e9)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
PositiveMilliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]
MS_PER_SECOND = 1000.0
MILLICORES_PER_CORE = 1000
BYTES_PER_MB = 1024 * 1024
REPLY_MEMORY_FRACTION = 0.25
"""Fraction of the process's memory for replies that are being received: the rest is for the
interpreter, the store's items, callers and what is copied on the way."""

BASE_MEMORY_MB = 40.0
"""Memory of a process without load, with the interpreter, a small table and few replicas."""

HELD_MEMORY_FRACTION = 0.6
"""Fraction of the rest for requests, answers and replies: they leave gaps, and are copied."""

MIN_HELD_MEMORY_MB = 8.0

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

CLIENT_FRACTION = 0.6
"""Fraction of the other descriptors for clients; the rest is for replicas, peers and the store."""

MAX_REPLY_VARIABLE = 'BEECHBRIDGE_MAX_REPLY_BYTES'
BYTE_COUNT = re.compile(r'[1-9][0-9]{0,14}')

BALANCING_VALUES = {'work': True, 'latency': False}


class Listen(msgspec.Struct):
    """Listen addresses of this process, all optional."""

    front: AddressText | None = None
    ready: AddressText | None = None
    control: AddressText | None = None
    directory: AddressText | None = None


class Bounds(msgspec.Struct):
    """Limits set by the users."""

    grace_s: Seconds = msgspec.field(name='graceS', default=6.0)
    budget_ratio: Amount = msgspec.field(name='budgetRatio', default=0.2)
    budget_window_s: PositiveSeconds = msgspec.field(name='budgetWindowS', default=10.0)
    budget_extra: Amount = msgspec.field(name='budgetExtra', default=0.0)
    """Extra attempts that the whole fleet may send in one window in addition to the ratio."""

    cold_excess: Amount = msgspec.field(name='coldExcess', default=1.0)
    cold_slack: Amount = msgspec.field(name='coldSlack', default=1.0)
    """A cold replica that tolerates r requests a second may get r * `coldExcess` + `coldSlack`."""

    stable_ms: PositiveMilliseconds | None = msgspec.field(name='stableMs', default=None)
    """Time within which the fleet has to notice a change; an ended VM may be named 3 s longer."""

    directory_ttl_s: Seconds = msgspec.field(name='ttl_max_s', default=5.0)


class Limits(msgspec.Struct):
    """CPU, memory and descriptors of this process, and limits on clients."""

    cpu_share: PositiveAmount = msgspec.field(name='cpuShare', default=1.0)
    """Fraction of a core that the process may use."""

    cores: PositiveAmount = 1.0
    """Speed factor of that core, not a number of cores."""

    memory_mb: PositiveAmount = msgspec.field(name='memoryMb', default=256.0)
    max_fds: Annotated[int, Meta(ge=256, le=1_000_000)] = msgspec.field(
        name='maxFds', default=4_096
    )
    max_connections: Annotated[int, Meta(ge=1, le=100_000)] | None = msgspec.field(
        name='maxConnections', default=None
    )
    """Connections of clients; by default a fraction of the descriptors, 2,000 at most."""

    max_header_fields: Annotated[int, Meta(ge=8, le=1_000_000)] = msgspec.field(
        name='maxHeaderFields', default=DEFAULT_MAX_HEADER_FIELDS
    )
    max_pipelined: Annotated[int, Meta(ge=1, le=1_000)] = msgspec.field(
        name='maxPipelined', default=DEFAULT_MAX_PIPELINED
    )


class Platform(msgspec.Struct):
    """Address of the platform's store."""

    addr: AddressText


class SettingsFile(msgspec.Struct):
    """Fields that the gateway uses; all other fields are ignored."""

    node_name: Name = msgspec.field(name='nodeName')
    ip: HostText
    zone: str
    region: str
    peer_ports: Annotated[list[Port], Meta(min_length=1)] = msgspec.field(name='peerPortRange')
    seeds: list[AddressText]
    zones: dict[str, str]
    listen: Listen
    platform: Platform
    bootstrap: bool = True
    """False when a process starts again that had run before; the whole fleet may have, too."""

    contracts: list[str] = []
    """Names of the sets of rules that are in force; unknown ones are ignored."""

    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)


def to_address(text: str | None) -> Address | None:
    """Parse `host:port`."""
    if text is None:
        return None
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def derive_held_memory_bytes(limits: Limits) -> int:
    """Return the memory for requests, answers and replies."""
    held_mb = HELD_MEMORY_FRACTION * (limits.memory_mb - BASE_MEMORY_MB)
    return int(max(MIN_HELD_MEMORY_MB, held_mb) * BYTES_PER_MB)


def derive_max_connections(limits: Limits) -> int:
    """Return how many connections of clients leave descriptors for replicas, peers and store."""
    derived = int(CLIENT_FRACTION * (limits.max_fds - FILE_DESCRIPTORS))
    wanted = DEFAULT_MAX_CONNECTIONS if limits.max_connections is None else limits.max_connections
    return max(1, min(wanted, derived))


def parse_settings(
    text: str,
    source: str,
    max_reply_bytes: int = MAX_REPLY_BYTES,
    balances_by_work: bool | None = None,
) -> GatewaySettings | InputFailure:
    """
    Decode a settings file.

    :param balances_by_work: what the environment says, None to decide by the file's contracts
    """
    file = decode_toml(text, SettingsFile, source)
    if isinstance(file, InputFailure):
        return file
    bounds = file.bounds
    if balances_by_work is None:
        balances_by_work = not UNEVEN_LOAD_CONTRACTS.isdisjoint(file.contracts)
    seeds = []
    for seed in file.seeds:
        seeds.append(to_address(seed).host)
    return GatewaySettings(
        name=file.node_name,
        host=file.ip,
        zone=file.zone,
        regions={**file.zones, file.zone: file.region},
        seeds=tuple(seeds),
        peer_port=file.peer_ports[0],
        callers=to_address(file.listen.front),
        readiness=to_address(file.listen.ready),
        peers=to_address(file.listen.control),
        directory=to_address(file.listen.directory),
        store=to_address(file.platform.addr),
        budget=BudgetRules(
            bounds.budget_ratio, bounds.budget_extra, bounds.budget_window_s * MS_PER_SECOND
        ),
        grace_ms=bounds.grace_s * MS_PER_SECOND,
        max_ttl_s=bounds.directory_ttl_s,
        stable_ms=bounds.stable_ms,
        cold_rules=ColdRules(bounds.cold_excess, bounds.cold_slack),
        capacity_millicores=int(file.limits.cpu_share * file.limits.cores * MILLICORES_PER_CORE),
        max_reply_bytes=max_reply_bytes,
        is_first_start=file.bootstrap,
        has_short_goals=not UNEVEN_LOAD_CONTRACTS.isdisjoint(file.contracts),
        balances_by_work=balances_by_work,
        reply_memory_bytes=int(REPLY_MEMORY_FRACTION * file.limits.memory_mb * BYTES_PER_MB),
        held_memory_bytes=derive_held_memory_bytes(file.limits),
        max_connections=derive_max_connections(file.limits),
        max_header_fields=file.limits.max_header_fields,
        max_pipelined=file.limits.max_pipelined,
    )


def load_settings() -> GatewaySettings | Failure:
    """Read the settings file whose path is in the environment."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        advice = f'set {SETTINGS_VARIABLE} to the path of a readable UTF-8 file'
        return describe_read_error(error, f'settings file {path!r}', advice)
    max_reply_bytes = read_max_reply_bytes(os.environ.get(MAX_REPLY_VARIABLE))
    if isinstance(max_reply_bytes, Failure):
        return max_reply_bytes
    balances_by_work = read_balancing(os.environ.get(BALANCING_VARIABLE))
    if isinstance(balances_by_work, Failure):
        return balances_by_work
    return parse_settings(text, path, max_reply_bytes, balances_by_work)


def read_balancing(text: str | None) -> bool | InputFailure | None:
    """Return whether the environment wants replicas chosen by work, None if it does not say."""
    if text is None:
        return None
    if text not in BALANCING_VALUES:
        allowed = '`work`, `latency`, or unset to decide by `contracts` of the settings file'
        return InputFailure('environment', BALANCING_VARIABLE, text, allowed)
    return BALANCING_VALUES[text]


def read_max_reply_bytes(text: str | None) -> int | InputFailure:
    """Return the limit on forwarded replies that the environment sets."""
    if text is None:
        return MAX_REPLY_BYTES
    if BYTE_COUNT.fullmatch(text) is None:
        allowed = 'a positive number of bytes, or unset for the default'
        return InputFailure('environment', MAX_REPLY_VARIABLE, text, allowed)
    return int(text)
