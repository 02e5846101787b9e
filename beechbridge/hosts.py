"""Hosts and addresses that a connection can be opened to, or a datagram sent."""

import re

LABELS = r'[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*'
MAX_HOST_LENGTH = 253
PORT = '([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])'
HOST_PATTERN = rf'\A(?=.{{1,{MAX_HOST_LENGTH}}}\Z){LABELS}\Z'
ADDRESS_PATTERN = rf'\A(?=.{{1,{MAX_HOST_LENGTH}}}:){LABELS}:{PORT}\Z'
HOST = re.compile(HOST_PATTERN)
ADDRESS = re.compile(ADDRESS_PATTERN)


def is_host(text: str) -> bool:
    """Return whether a text is a host name or an IPv4 address."""
    return HOST.match(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port."""
    return ADDRESS.match(text) is not None


def split_address(text: str) -> tuple[str, int] | None:
    """Return the host and the port of an address that can be connected to, None if it is none."""
    if not is_address(text):
        return None
    host, _, port = text.rpartition(':')
    return (host, int(port)) if int(port) else None
