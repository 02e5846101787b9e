"""
One exchange with a replica, and what its owner has to say about it.

The functions here vary by the owner's type; each kind of owner registers its own.
"""

from functools import singledispatch

from ...failures import AttemptFailure, Reason
from ...messages import Reply, UpstreamMessage
from ..surface import CoreSurface


class Attempt:
    """
    One exchange, from the replica's queue to its end.

    :param owner: what the exchange is for; decides what its end means
    :param urgency: higher goes first
    :param deadline_ms: when it is of no use any more
    :param fresh: needs a connection that carried nothing before
    :param sent_ms: when it was handed to the driver, or None while it waits
    :param abandoned: nobody waits for it; its end only frees the connection
    """

    __slots__ = (
        'abandoned',
        'attempt_id',
        'connection_id',
        'deadline_ms',
        'fresh',
        'hold_ms',
        'is_extra',
        'is_new',
        'owner',
        'replica_id',
        'sent_ms',
        'urgency',
    )

    def __init__(
        self,
        attempt_id: str,
        replica_id: str,
        owner: object,
        urgency: int,
        deadline_ms: float,
        fresh: bool = False,
        is_extra: bool = False,
    ):
        self.attempt_id = attempt_id
        self.replica_id = replica_id
        self.owner = owner
        self.urgency = urgency
        self.deadline_ms = deadline_ms
        self.fresh = fresh
        self.is_extra = is_extra
        self.sent_ms = None
        self.connection_id = None
        self.is_new = False
        self.abandoned = False
        self.hold_ms = 0.0


@singledispatch
def build_message(owner: object, attempt: Attempt, core: CoreSurface) -> UpstreamMessage:
    """Return what to send for an attempt."""
    raise TypeError(f'no message for {type(owner).__name__}')


@singledispatch
def on_queued(owner: object, attempt: Attempt, core: CoreSurface) -> None:
    """Note that an attempt has to wait in its queue."""


@singledispatch
def on_sent(owner: object, attempt: Attempt, core: CoreSurface) -> None:
    """Note that an attempt left its queue."""


@singledispatch
def on_dropped(owner: object, attempt: Attempt, reason: Reason, core: CoreSurface) -> None:
    """Note that an attempt left its queue unsent: expired, displaced, or its replica drains."""


@singledispatch
def on_reply(owner: object, attempt: Attempt, reply: Reply, core: CoreSurface) -> None:
    """Take a whole reply to an attempt that is still wanted."""


@singledispatch
def on_failure(
    owner: object, attempt: Attempt, failure: AttemptFailure, core: CoreSurface
) -> None:
    """Take the failure of an attempt that is still wanted."""
