"""The directory call: where a caller asks which VMs to use."""

from urllib.parse import parse_qs

import msgspec

from ..gateway.models import Member
from ..record import Record


class Lookup(Record):
    """Where a caller is."""

    __slots__ = ('region', 'zone')

    def __init__(self, zone: str, region: str):
        self.zone = zone
        self.region = region


def read_lookup(query: str) -> Lookup:
    """Return the place that a caller names; empty where it names none."""
    parameters = parse_qs(query)
    return Lookup(parameters.get('zone', [''])[0], parameters.get('region', [''])[0])


def write_members(members: list[Member], port: int, ttl_s: float) -> bytes:
    """Return the body that names the VMs to use, and for how long."""
    addresses = [f'{member.host}:{port}' for member in members]
    return msgspec.json.encode({'addrs': addresses, 'ttl_s': ttl_s})
