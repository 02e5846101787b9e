"""Memory that connections of callers hold for one purpose: a part of the account."""

from collections.abc import Callable

from .memory_account import BODIES, Holding, MemoryAccount, TurnedAway


class HeldMemory:
    """
    One purpose of a memory account, by connection; thread-safe.

    :param limit_bytes: what the purpose may take; None: whatever the account has left
    :param may_give_up: returns whether what is held for a connection may be given up
    :param account: the account, one of its own if None
    """

    __slots__ = ('account', 'purpose')

    def __init__(
        self,
        limit_bytes: int | None,
        may_give_up: Callable[[object], bool] = lambda channel: True,
        account: MemoryAccount | None = None,
        purpose: str = BODIES,
    ):
        self.account = account or MemoryAccount(limit_bytes)
        self.purpose = purpose
        self.account.may_give_up[purpose] = may_give_up
        if limit_bytes is not None:
            self.account.purpose_limits[purpose] = limit_bytes

    @property
    def by_channel(self) -> dict[object, Holding]:
        """Return what is held, by connection."""
        return self.account.holdings[self.purpose]

    @property
    def held_bytes(self) -> int:
        """Return what all connections hold together."""
        return self.account.held_bytes[self.purpose]

    def hold(
        self, channel: object, byte_count: int, now_ms: float
    ) -> list[tuple[object, Holding]]:
        """
        Count the bytes that are held for a connection.

        :return: connections to give up, each with what is held for it
        """
        return [(one.channel, one.holding) for one in self.take(channel, byte_count, now_ms)]

    def take(
        self, channel: object, byte_count: int, now_ms: float, urgency: int = 0
    ) -> list[TurnedAway]:
        """Count the bytes of a connection; return whom to turn away, of whichever purpose."""
        return self.account.hold(self.purpose, channel, byte_count, now_ms, urgency)

    def note(self, channel: object, byte_count: int, now_ms: float, urgency: int = 0) -> bool:
        """Count the bytes of a connection; return whether a limit is exceeded."""
        return self.account.note(self.purpose, channel, byte_count, now_ms, urgency)

    def set_urgency(self, channel: object, urgency: int) -> None:
        """Set the urgency of what is held for a connection, if it is counted."""
        self.account.set_urgency(self.purpose, channel, urgency)

    def shrink(self, channel: object, byte_count: int) -> None:
        """Count less for a connection, if it is counted."""
        self.account.shrink(self.purpose, channel, byte_count)

    def release(self, channel: object) -> None:
        """Stop counting a connection for which nothing is held any more, or that is closed."""
        self.account.release(self.purpose, channel)
