"""Directory lookup: tells callers which VMs to use."""

from urllib.parse import parse_qs

import msgspec

from ..gateway.member import Member
from ..record import Record


class Lookup(Record):
    """Location of a caller, data centre and region, and the host that it asks for."""

    __slots__ = ('host', 'region', 'zone')

    def __init__(self, zone: str, region: str, host: str = ''):
        self.zone = zone
        self.region = region
        self.host = host


def read_lookup(query: str) -> Lookup:
    """Parse the caller's location from a query string; missing values are empty."""
    parameters = parse_qs(query)
    return Lookup(
        parameters.get('zone', [''])[0],
        parameters.get('region', [''])[0],
        parameters.get('name', [''])[0].lower(),
    )


def write_members(members: list[Member], port: int, ttl_s: float) -> bytes:
    """Encode the addresses of the VMs to use and their time to live in seconds."""
    addresses = [f'{member.host}:{port}' for member in members]
    return msgspec.json.encode({'addrs': addresses, 'ttl_s': ttl_s})
