"""The platform's settings file, decoded into the gateway's own settings."""

import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..failures import InputFailure
from ..fields import decode_toml
from ..gateway.requests.budgets import BudgetRules
from ..gateway.settings import Address, GatewaySettings
from .names import SETTINGS_VARIABLE

AddressText = Annotated[str, Meta(pattern=r'^[^:\s]+:[0-9]{1,5}$')]
MS_PER_SECOND = 1000.0
MILLICORES_PER_CORE = 1000


class Listen(msgspec.Struct):
    """Addresses for what this process serves; some may be left out."""

    front: AddressText | None = None
    ready: AddressText | None = None
    control: AddressText | None = None
    directory: AddressText | None = None


class Bounds(msgspec.Struct):
    """The users' bounds that the gateway works with."""

    grace_s: float = msgspec.field(name='graceS', default=6.0)
    budget_ratio: float = msgspec.field(name='budgetRatio', default=0.2)
    budget_window_s: float = msgspec.field(name='budgetWindowS', default=10.0)
    budget_extra: float = msgspec.field(name='budgetExtra', default=0.0)
    """Repeats of the whole fleet besides the ratio, in one window."""

    directory_ttl_s: float = msgspec.field(name='ttl_max_s', default=5.0)


class Limits(msgspec.Struct):
    """What the machine gives this process."""

    cpu_share: float = msgspec.field(name='cpuShare', default=1.0)
    """Part of a core that it may use."""

    cores: float = 1.0
    """How many times as fast that core is, not a number of cores."""


class Platform(msgspec.Struct):
    """Where the platform's store is."""

    addr: AddressText


class SettingsFile(msgspec.Struct):
    """The fields that are used; all others are ignored."""

    node_name: Annotated[str, Meta(min_length=1)] = msgspec.field(name='nodeName')
    ip: Annotated[str, Meta(min_length=1)]
    zone: str
    region: str
    peer_ports: Annotated[list[int], Meta(min_length=1)] = msgspec.field(name='peerPortRange')
    seeds: list[AddressText]
    zones: dict[str, str]
    listen: Listen
    platform: Platform
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)


def to_address(text: str | None) -> Address | None:
    """Split `host:port`."""
    if text is None:
        return None
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def parse_settings(text: str, source: str) -> GatewaySettings | InputFailure:
    """Decode the text of a settings file."""
    file = decode_toml(text, SettingsFile, source)
    if isinstance(file, InputFailure):
        return file
    bounds = file.bounds
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
        capacity_millicores=int(file.limits.cpu_share * file.limits.cores * MILLICORES_PER_CORE),
    )


def load_settings() -> GatewaySettings | InputFailure:
    """Read the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        found = f'{path!r}: {type(error).__name__}'
        return InputFailure(SETTINGS_VARIABLE, 'path', found, 'a readable UTF-8 file')
    return parse_settings(text, path)
