"""Messages with which VMs share the limits that replicas name."""

from ..record import Record

OUTRANKED = -1


class PermitsWanted(Record):
    """
    A VM asks for permission to send one request to each of several replicas.

    :param limits: replica ID and limit per second, as the VM knows it, for each request
    :param least_count: fewer permits than this are of no use
    :param rank: precedence, 0 for the highest; keepers that cannot serve all serve those up to a
        rank, so that a request gets permits from all keepers or from none
    """

    __slots__ = ('batch_id', 'least_count', 'limits', 'rank')

    def __init__(
        self, batch_id: int, limits: list[tuple[str, float]], least_count: int, rank: float = 0.0
    ):
        self.batch_id = batch_id
        self.limits = limits
        self.least_count = least_count
        self.rank = rank


class PermitsAnswered(Record):
    """
    The answer to `PermitsWanted`.

    :param waits_ms: milliseconds to wait before asking again, in the order of the limits; 0 for a
        permit, `OUTRANKED` if other requests have precedence
    """

    __slots__ = ('batch_id', 'waits_ms')

    def __init__(self, batch_id: int, waits_ms: list[int]):
        self.batch_id = batch_id
        self.waits_ms = waits_ms


PermitMessage = PermitsWanted | PermitsAnswered
