"""Exchanges with replicas and other VMs, and the connections between them."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstreams import ReplicaState


class Exchange:
    """
    One request to a replica or, for an order, to another VM.

    :param owner: task or order that the request serves; once `is_abandoned` it ignores the reply
    :param kind: why it was sent, see `SendKind`
    :param is_alone: whether its request was sent to no other replica at the time
    :param round_number: round of its request
    :param was_sent: whether the request may have reached the replica; until the driver has said
        that it was not sent, False only means that the driver has not reported it yet
    :param is_withdrawn: whether the driver was asked not to send the request any more
    :param stalled_at_ms: time in milliseconds from which the replica is suspect if it has not
        answered
    :param cost_ms: expected work in milliseconds at a replica of usual speed, 0 if
        nothing was estimated
    :param wait_ms: time in milliseconds until the replica was expected to start it
    :param wait_factor: correction that this time includes
    :param alone_ms: expected time in milliseconds without that wait
    :param expected_ms: expected time in milliseconds from sending to the reply
    """

    __slots__ = (
        'alone_ms',
        'connection_id',
        'cost_ms',
        'exchange_id',
        'expected_ms',
        'is_abandoned',
        'is_alone',
        'is_new',
        'is_withdrawn',
        'kind',
        'owner',
        'replica',
        'round_number',
        'sent_ms',
        'stalled_at_ms',
        'wait_factor',
        'wait_ms',
        'was_sent',
    )

    def __init__(
        self,
        exchange_id: int,
        replica: 'ReplicaState',
        owner: object,
        connection_id: int,
        is_new: bool,
        sent_ms: float,
        stalled_at_ms: float,
        kind: str = '',
    ):
        self.kind = kind
        self.cost_ms = 0.0
        self.wait_ms = 0.0
        self.wait_factor = 1.0
        self.alone_ms = 0.0
        self.expected_ms = 0.0
        self.is_alone = False
        self.round_number = 0
        self.exchange_id = exchange_id
        self.replica = replica
        self.owner = owner
        self.connection_id = connection_id
        self.is_new = is_new
        self.sent_ms = sent_ms
        self.stalled_at_ms = stalled_at_ms
        self.is_abandoned = False
        self.was_sent = not is_new
        self.is_withdrawn = False


class IdleConnection:
    """
    A pooled connection without a request in flight.

    :param request_id: ID of the request that it carried last
    """

    __slots__ = ('connection_id', 'last_used_ms', 'request_id', 'usable_until_ms')

    def __init__(
        self,
        connection_id: int,
        last_used_ms: float,
        usable_until_ms: float,
        request_id: str = '',
    ):
        self.connection_id = connection_id
        self.request_id = request_id
        self.last_used_ms = last_used_ms
        self.usable_until_ms = usable_until_ms
