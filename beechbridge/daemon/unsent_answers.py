"""Memory of the answers that callers do not take as fast as they are written."""

import threading

from ..record import Record


class UnsentAnswer(Record):
    """
    The answers of one connection that were not sent in full.

    :param byte_count: bytes that are held for it
    :param since_ms: when it was first not sent at once
    """

    __slots__ = ('byte_count', 'since_ms')

    def __init__(self, byte_count: int, since_ms: float):
        self.byte_count = byte_count
        self.since_ms = since_ms

    def cost(self, now_ms: float) -> float:
        """Return the memory that it has taken so far, in byte milliseconds."""
        return self.byte_count * (now_ms - self.since_ms)


class UnsentAnswers:
    """
    Answers that were not sent in full, by connection; thread-safe.

    :param limit_bytes: what all of them may take together; a single one may always take more
    """

    __slots__ = ('by_channel', 'held_bytes', 'limit_bytes', 'lock')

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.by_channel: dict[object, UnsentAnswer] = {}
        self.lock = threading.Lock()

    def hold(self, channel: object, byte_count: int, now_ms: float) -> list[tuple]:
        """
        Count the bytes that are held for a connection.

        Beyond the limit the answers that have taken the most memory for the longest time are given
        up: few of them suffice, and their callers' time is the most likely to be over.

        :return: connections to close, each with its answer
        """
        given_up = []
        with self.lock:
            known = self.remove(channel)
            since_ms = known.since_ms if known is not None else now_ms
            self.by_channel[channel] = UnsentAnswer(byte_count, since_ms)
            self.held_bytes += byte_count
            while self.held_bytes > self.limit_bytes and len(self.by_channel) > 1:
                costliest = max(self.by_channel, key=lambda one: self.by_channel[one].cost(now_ms))
                given_up.append((costliest, self.remove(costliest)))
        return given_up

    def shrink(self, channel: object, byte_count: int) -> None:
        """Count less for a connection that has taken some of its answers, if it is counted."""
        with self.lock:
            answer = self.by_channel.get(channel)
            if answer is not None:
                self.held_bytes -= answer.byte_count - byte_count
                answer.byte_count = byte_count

    def release(self, channel: object) -> None:
        """Stop counting a connection whose answers were sent, or that is closed."""
        with self.lock:
            self.remove(channel)

    def remove(self, channel: object) -> UnsentAnswer | None:
        """Remove a connection; call with the lock held."""
        answer = self.by_channel.pop(channel, None)
        if answer is not None:
            self.held_bytes -= answer.byte_count
        return answer
