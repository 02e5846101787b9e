"""
Connection pool of one replica.

The pool only does the accounting; the driver opens and closes the connections it is told to.
"""

from ...record import Record

MAX_IDLE_MS = 20_000.0
"""Idle time after which a connection is closed rather than reused."""

SILENT_HOLD_MS = 30_000.0
"""How long a connection closed as silent still counts against the share.

The upstream may not have noticed that it is gone.
"""


class Lease(Record):
    """A connection acquired for one exchange."""

    __slots__ = ('connection_id', 'is_new')

    def __init__(self, connection_id: int, is_new: bool):
        self.connection_id = connection_id
        self.is_new = is_new


class ConnectionPool:
    """
    Connections to one replica, limited to this VM's share.

    Part of the share is reserved for requests that require a new connection and for replacing
    silent connections.

    :param share: connections that this VM may hold
    """

    __slots__ = ('busy', 'held_until_ms', 'idle', 'opened', 'share')

    def __init__(self):
        self.share = 0
        self.idle: list[tuple[int, float]] = []
        self.busy: dict[int, float] = {}
        self.held_until_ms: list[float] = []
        self.opened = 0

    @property
    def usable(self) -> int:
        """Return how many connections may be open at once without using the reserve."""
        return self.share - max(1, self.share // 3) if self.share > 1 else self.share

    def open_count(self, now_ms: float) -> int:
        """Return how many connections the upstream may still count for this VM."""
        self.held_until_ms = [until for until in self.held_until_ms if until > now_ms]
        return len(self.idle) + len(self.busy) + len(self.held_until_ms)

    def acquire(self, now_ms: float, next_id: int, requires_new: bool) -> Lease | None:
        """
        Acquire the most recently used idle connection, or a new one; None if the share is used up.

        :param next_id: identifier for a new connection
        :param requires_new: do not reuse an idle connection
        """
        if self.idle and not requires_new:
            connection_id, _ = self.idle.pop()
            self.busy[connection_id] = now_ms
            return Lease(connection_id, False)
        if self.open_count(now_ms) >= self.share:
            return None
        if not requires_new and len(self.idle) + len(self.busy) >= self.usable:
            return None
        self.busy[next_id] = now_ms
        self.opened += 1
        return Lease(next_id, True)

    def acquire_oldest(self, now_ms: float) -> Lease | None:
        """Acquire the connection that has been idle longest, so that a probe can test it."""
        if not self.idle:
            return None
        connection_id, _ = self.idle.pop(0)
        self.busy[connection_id] = now_ms
        return Lease(connection_id, False)

    def can_send(self, now_ms: float) -> bool:
        """Return whether an exchange can be sent now or once one in flight ends."""
        return bool(self.idle or self.busy) or self.open_count(now_ms) < self.share

    def can_evict(self) -> bool:
        """Return whether an idle connection can be closed to allow a new one."""
        return bool(self.idle)

    def release(self, connection_id: int, now_ms: float, reusable: bool) -> bool:
        """Release a connection; return whether it is kept. If not, the driver should close it."""
        if self.busy.pop(connection_id, None) is None:
            return False
        is_full = len(self.idle) + len(self.busy) >= self.usable
        if not reusable or is_full or self.open_count(now_ms) >= self.share:
            return False
        self.idle.append((connection_id, now_ms))
        return True

    def discard(self, connection_id: int, now_ms: float, hold_ms: float = 0.0) -> None:
        """
        Remove a closed connection from the pool.

        :param hold_ms: how long it still counts, since the upstream may not have noticed
        """
        if self.busy.pop(connection_id, None) is None:
            return
        if hold_ms > 0:
            self.held_until_ms.append(now_ms + hold_ms)

    def evict_idle(self, before_ms: float, hold_until_ms: float | None = None) -> list[int]:
        """
        Remove idle connections last used before a time; return them for the driver to close.

        :param hold_until_ms: until when they still count, if the upstream may not notice
        """
        retired = [pair[0] for pair in self.idle if pair[1] < before_ms]
        self.idle = [pair for pair in self.idle if pair[1] >= before_ms]
        if hold_until_ms is not None:
            self.held_until_ms += [hold_until_ms] * len(retired)
        return retired

    def shrink(self, now_ms: float) -> list[int]:
        """Remove idle connections above the share; return them for the driver to close."""
        retired = []
        while self.idle and self.open_count(now_ms) > self.share:
            retired.append(self.idle.pop(0)[0])
        return retired
