"""The account of a process's memory: what is held, for which purpose, and who is turned away."""

import threading
from collections.abc import Callable

from ..record import Record

HEADS = 'heads'
"""Heads of requests, received in part or in full, also of those pipelined."""

BODIES = 'bodies'
"""Bodies of requests, among them relayed requests and other messages of VMs."""

ANSWERS = 'answers'
"""Answers that wait to be written, merged parts among them, or that callers do not take."""

REPLIES = 'replies'
"""Replies of replicas and other VMs that are being received."""

PARTS = 'parts'
"""Parts of gathers and orders that are kept until the last one arrives, as last measured."""

PURPOSES = (HEADS, BODIES, ANSWERS, REPLIES, PARTS)

LEAST_URGENT = 1_000_000
"""Urgency of a request without a route, or whose head is incomplete: above all priorities."""

MOST_URGENT = 0

STAGES = {HEADS: 0, BODIES: 1, ANSWERS: 2}
"""How far a request along is that is held for a purpose."""

REQUEST_PURPOSES = (HEADS, BODIES)
"""Purposes of a request that is not answered yet: it is turned away as a whole."""


class Holding(Record):
    """
    What is held for one connection and purpose.

    :param byte_count: bytes that are held for it
    :param since_ms: when it was first counted
    :param urgency: priority of its route, 0 is the most urgent
    """

    __slots__ = ('byte_count', 'since_ms', 'urgency')

    def __init__(self, byte_count: int, since_ms: float, urgency: int = 0):
        self.byte_count = byte_count
        self.since_ms = since_ms
        self.urgency = urgency

    def cost(self, now_ms: float) -> float:
        """Return the memory that it has taken so far, in byte milliseconds."""
        return self.byte_count * (now_ms - self.since_ms)


class TurnedAway(Record):
    """
    A connection whose request or answer is given up.

    :param purpose: for what it held memory
    :param limit_bytes: limit that was exceeded
    """

    __slots__ = ('channel', 'holding', 'limit_bytes', 'purpose')

    def __init__(self, channel: object, purpose: str, holding: Holding, limit_bytes: int):
        self.channel = channel
        self.purpose = purpose
        self.holding = holding
        self.limit_bytes = limit_bytes


class MemoryAccount:
    """
    What a process holds for clients, replicas and other VMs; thread-safe.

    :param limit_bytes: what all purposes may take together; a single holding may always take more
    :param purpose_limits: limits in bytes of single purposes, beside that
    :param held_bytes: what each purpose takes
    :param total_bytes: what all of them take together
    :param holdings: what is held, by purpose and connection
    :param may_give_up: by purpose, returns whether what a connection holds may be given up
    """

    __slots__ = (
        'held_bytes',
        'holdings',
        'limit_bytes',
        'lock',
        'may_give_up',
        'purpose_limits',
        'total_bytes',
    )

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.purpose_limits: dict[str, int] = {}
        self.may_give_up: dict[str, Callable[[object], bool]] = {}
        self.held_bytes = dict.fromkeys(PURPOSES, 0)
        self.holdings: dict[str, dict[object, Holding]] = {one: {} for one in PURPOSES}
        self.total_bytes = 0
        self.lock = threading.Lock()

    def hold(
        self, purpose: str, channel: object, byte_count: int, now_ms: float, urgency: int = 0
    ) -> list[TurnedAway]:
        """
        Count the bytes that a connection holds for a purpose.

        :return: connections to turn away because a limit is exceeded
        """
        with self.lock:
            self.put(purpose, channel, byte_count, now_ms, urgency)
            if self.total_bytes <= self.limit_bytes and not self.purpose_limits:
                return []
            return self.find_excess(now_ms)

    def note(
        self, purpose: str, channel: object, byte_count: int, now_ms: float, urgency: int = 0
    ) -> bool:
        """Count the bytes of a connection like `hold`; return whether a limit is exceeded."""
        with self.lock:
            self.put(purpose, channel, byte_count, now_ms, urgency)
            if self.total_bytes > self.limit_bytes:
                return True
            limits = self.purpose_limits.items()
            return any(self.held_bytes[one] > limit_bytes for one, limit_bytes in limits)

    def put(
        self, purpose: str, channel: object, byte_count: int, now_ms: float, urgency: int
    ) -> None:
        """Set what a connection holds for a purpose; call with the lock held."""
        holdings = self.holdings[purpose]
        known = holdings.get(channel)
        if known is None:
            holdings[channel] = Holding(byte_count, now_ms, urgency)
            self.add(purpose, byte_count)
            return
        self.add(purpose, byte_count - known.byte_count)
        known.byte_count = byte_count
        known.urgency = urgency

    def add(self, purpose: str, byte_count: int) -> None:
        """Add to what a purpose takes; call with the lock held."""
        self.held_bytes[purpose] += byte_count
        self.total_bytes += byte_count

    def count(self, purpose: str, byte_count: int) -> bool:
        """Count bytes of no connection; return whether all purposes exceed the limit."""
        with self.lock:
            self.add(purpose, byte_count)
            return self.total_bytes > self.limit_bytes

    def measure(self, purpose: str, byte_count: int) -> None:
        """Set what a purpose takes that is measured now and then."""
        with self.lock:
            self.add(purpose, byte_count - self.held_bytes[purpose])

    def relieve(self, now_ms: float) -> list[TurnedAway]:
        """Return the connections to turn away because a limit is exceeded."""
        with self.lock:
            return self.find_excess(now_ms)

    def find_excess(self, now_ms: float) -> list[TurnedAway]:
        """
        Remove what is to be given up until the rest fits; call with the lock held.

        The least urgent go first, then those least far along, then those that have taken the most
        memory for the longest time: few of them suffice, and their callers' time is the most
        likely to be over.
        """
        turned_away = []
        for purpose, limit_bytes in self.purpose_limits.items():
            while self.held_bytes[purpose] > limit_bytes:
                if not self.remove_next([purpose], now_ms, limit_bytes, turned_away):
                    break
        while self.total_bytes > self.limit_bytes:
            if not self.remove_next(list(STAGES), now_ms, self.limit_bytes, turned_away):
                break
        return turned_away

    def remove_next(
        self, purposes: list[str], now_ms: float, limit_bytes: int, turned_away: list[TurnedAway]
    ) -> bool:
        """Add the next connection to turn away to the list; return False if there is none."""
        if len(set().union(*(self.holdings[one] for one in purposes))) <= 1:
            return False
        bodies = self.holdings[BODIES] if BODIES in purposes else ()
        best = None
        best_rank = ()
        for purpose in purposes:
            may_give_up = self.may_give_up.get(purpose)
            for channel, holding in self.holdings[purpose].items():
                rank = (holding.urgency, -STAGES[purpose], holding.cost(now_ms))
                if best is not None and rank <= best_rank:
                    continue
                if purpose is HEADS and channel in bodies:
                    # The request is as far along as its body.
                    continue
                if may_give_up is None or may_give_up(channel):
                    best, best_rank = (channel, purpose), rank
        if best is None:
            return False
        channel, purpose = best
        turned_away.append(
            TurnedAway(channel, purpose, self.holdings[purpose][channel], limit_bytes)
        )
        for one in REQUEST_PURPOSES if purpose in REQUEST_PURPOSES else (purpose,):
            self.remove(one, channel)
        return True

    def set_urgency(self, purpose: str, channel: object, urgency: int) -> None:
        """Set the urgency of what is held for a connection, if it is counted."""
        with self.lock:
            holding = self.holdings[purpose].get(channel)
            if holding is not None:
                holding.urgency = urgency

    def shrink(self, purpose: str, channel: object, byte_count: int) -> None:
        """Count less for a connection, if it is counted."""
        with self.lock:
            holding = self.holdings[purpose].get(channel)
            if holding is not None:
                self.add(purpose, byte_count - holding.byte_count)
                holding.byte_count = byte_count

    def release(self, purpose: str, channel: object) -> None:
        """Stop counting a connection for which nothing is held any more, or that is closed."""
        with self.lock:
            self.remove(purpose, channel)

    def remove(self, purpose: str, channel: object) -> None:
        """Remove a connection; call with the lock held."""
        holding = self.holdings[purpose].pop(channel, None)
        if holding is not None:
            self.add(purpose, -holding.byte_count)
