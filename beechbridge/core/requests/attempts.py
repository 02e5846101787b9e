"""
Exchanges with replicas, and the hooks by which their owners handle them.

The functions are generic over the owner's type; each owner type registers its own handlers.
"""

from functools import singledispatch

from ...failures import AttemptFailure, Reason
from ...messages import Reply, UpstreamMessage
from ..interface import CoreInterface


class Attempt:
    """
    One exchange with a replica, from its queue to its end.

    :param owner: object that the exchange serves; its type selects the handlers below
    :param urgency: priority in the queue; higher values are sent first
    :param deadline_at_ms: time after which the reply is no longer useful
    :param requires_new: whether its connection must not have carried an exchange before
    :param sent_ms: time of the hand-over to the driver, or None while it is queued
    :param abandoned: the owner no longer waits for it; its end only releases the connection
    """

    __slots__ = (
        'abandoned',
        'attempt_id',
        'connection_id',
        'deadline_at_ms',
        'hold_ms',
        'is_extra',
        'is_new',
        'owner',
        'replica_id',
        'requires_new',
        'sent_ms',
        'urgency',
    )

    def __init__(
        self,
        attempt_id: str,
        replica_id: str,
        owner: object,
        urgency: int,
        deadline_at_ms: float,
        requires_new: bool = False,
        is_extra: bool = False,
    ):
        self.attempt_id = attempt_id
        self.replica_id = replica_id
        self.owner = owner
        self.urgency = urgency
        self.deadline_at_ms = deadline_at_ms
        self.requires_new = requires_new
        self.is_extra = is_extra
        self.sent_ms = None
        self.connection_id = None
        self.is_new = False
        self.abandoned = False
        self.hold_ms = 0.0


@singledispatch
def build_message(owner: object, attempt: Attempt, core: CoreInterface) -> UpstreamMessage:
    """Return the message to send for an attempt."""
    raise TypeError(f'no message for {type(owner).__name__}')


@singledispatch
def on_queued(owner: object, attempt: Attempt, core: CoreInterface) -> None:
    """Handle an attempt that was queued instead of sent."""


@singledispatch
def on_sent(owner: object, attempt: Attempt, core: CoreInterface) -> None:
    """Handle an attempt that was sent."""


@singledispatch
def on_dropped(owner: object, attempt: Attempt, reason: Reason, core: CoreInterface) -> None:
    """Handle an attempt dropped from its queue: expired, displaced, or its replica is draining."""


@singledispatch
def on_reply(owner: object, attempt: Attempt, reply: Reply, core: CoreInterface) -> None:
    """Handle a complete reply to an attempt that has not been abandoned."""


@singledispatch
def on_failure(
    owner: object, attempt: Attempt, failure: AttemptFailure, core: CoreInterface
) -> None:
    """Handle the failure of an attempt that has not been abandoned."""
