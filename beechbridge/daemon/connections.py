"""Which connections of clients are closed, so that others and the process itself can open some."""

import heapq
from collections.abc import Iterable

CLOSED_FRACTION = 64
"""One in so many connections is closed at once: a search for each would take too long."""

VM_DIVISOR = 2
"""Fraction of the limit, as a divisor, up to which connections of other VMs are never closed: they
idle for long between orders. Beyond it they are, since anybody may send what looks like one."""

ACCEPT_SLACK = 16
"""Connections beyond the limit that may wait until the closed ones are gone."""


RESERVED_DIVISOR = 8
"""Fraction of the limit, as a divisor, that the other ports accept beyond it: clients that have
requests in hand on all connections must not delay readiness checks, the directory and VMs."""

MIN_RESERVED = 8


def list_idlest(channels: Iterable, count: int) -> list:
    """
    Return the connections to close first: those without a request that idle longest.

    A connection with a request in hand is not among them, since a replica may be running it,
    unless its client takes none of the earlier answers. Those with an answer on its way come last.

    Those of other VMs come after all others.

    :param channels: connections with `is_closable`, `is_from_vm`, `total_outbufs_len` and
        `last_activity`
    """
    closable = [one for one in channels if one.is_closable()]
    return heapq.nsmallest(
        count,
        closable,
        key=lambda one: (one.is_from_vm, bool(one.total_outbufs_len), one.last_activity),
    )


class ConnectionLimit:
    """
    Open connections of clients on all ports; use in the server's thread.

    :param limit: connections at once; beyond it the idlest are closed
    """

    __slots__ = ('channels', 'limit')

    def __init__(self, limit: int):
        self.limit = limit
        self.channels: set = set()

    def accept_limit(self, is_for_clients: bool) -> int:
        """Return how many connections may be open while a port still accepts further ones."""
        limit = self.limit + ACCEPT_SLACK
        return limit if is_for_clients else limit + max(MIN_RESERVED, limit // RESERVED_DIVISOR)

    def add(self, channel: object) -> list:
        """Count a new connection; return those to close."""
        self.channels.add(channel)
        if len(self.channels) <= self.limit:
            return []
        others = [one for one in self.channels if one is not channel and not one.will_close]
        excess_count = len(others) + 1 - self.limit
        if excess_count <= 0:
            return []
        vm_count = sum(one.is_from_vm for one in others)
        if vm_count <= self.limit // VM_DIVISOR:
            others = [one for one in others if not one.is_from_vm]
        return list_idlest(others, max(excess_count, self.limit // CLOSED_FRACTION))

    def remove(self, channel: object) -> None:
        """Stop counting a connection that was closed."""
        self.channels.discard(channel)
