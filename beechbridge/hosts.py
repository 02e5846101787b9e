"""Hosts that a connection can be opened to, or a datagram sent."""

import re

LABELS = r'[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*'
MAX_HOST_LENGTH = 253
HOST = re.compile(LABELS)


def is_host(text: str) -> bool:
    """Return whether a text is a host name or an IPv4 address."""
    return len(text) <= MAX_HOST_LENGTH and HOST.fullmatch(text) is not None
