"""Memory that connections of callers hold: of requests that come in, of answers that go out."""

import threading
from collections.abc import Callable

from ..record import Record


class Holding(Record):
    """
    What is held for one connection.

    :param byte_count: bytes that are held for it
    :param since_ms: when it was first counted
    """

    __slots__ = ('byte_count', 'since_ms')

    def __init__(self, byte_count: int, since_ms: float):
        self.byte_count = byte_count
        self.since_ms = since_ms

    def cost(self, now_ms: float) -> float:
        """Return the memory that it has taken so far, in byte milliseconds."""
        return self.byte_count * (now_ms - self.since_ms)


class HeldMemory:
    """
    The share of a process's memory that one use may take, by connection; thread-safe.

    :param limit_bytes: what all of them may take together; a single one may always take more
    :param may_give_up: returns whether what is held for a connection may be given up
    """

    __slots__ = ('by_channel', 'held_bytes', 'limit_bytes', 'lock', 'may_give_up')

    def __init__(
        self, limit_bytes: int, may_give_up: Callable[[object], bool] = lambda channel: True
    ):
        self.limit_bytes = limit_bytes
        self.may_give_up = may_give_up
        self.held_bytes = 0
        self.by_channel: dict[object, Holding] = {}
        self.lock = threading.Lock()

    def hold(
        self, channel: object, byte_count: int, now_ms: float
    ) -> list[tuple[object, Holding]]:
        """
        Count the bytes that are held for a connection.

        Beyond the limit those are given up that have taken the most memory for the longest time:
        few of them suffice, and their callers' time is the most likely to be over.

        :return: connections to give up, each with what is held for it
        """
        given_up = []
        with self.lock:
            known = self.remove(channel)
            since_ms = known.since_ms if known is not None else now_ms
            self.by_channel[channel] = Holding(byte_count, since_ms)
            self.held_bytes += byte_count
            while self.held_bytes > self.limit_bytes and len(self.by_channel) > 1:
                candidates = [one for one in self.by_channel if self.may_give_up(one)]
                if not candidates:
                    break
                costliest = max(candidates, key=lambda one: self.by_channel[one].cost(now_ms))
                given_up.append((costliest, self.remove(costliest)))
        return given_up

    def shrink(self, channel: object, byte_count: int) -> None:
        """Count less for a connection, if it is counted."""
        with self.lock:
            holding = self.by_channel.get(channel)
            if holding is not None:
                self.held_bytes -= holding.byte_count - byte_count
                holding.byte_count = byte_count

    def release(self, channel: object) -> None:
        """Stop counting a connection for which nothing is held any more, or that is closed."""
        with self.lock:
            self.remove(channel)

    def remove(self, channel: object) -> Holding | None:
        """Remove a connection; call with the lock held."""
        holding = self.by_channel.pop(channel, None)
        if holding is not None:
            self.held_bytes -= holding.byte_count
        return holding
