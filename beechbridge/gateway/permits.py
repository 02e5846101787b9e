"""Messages with which VMs share the limits that replicas name."""

from ..record import Record

OUTRANKED = -1
PERMIT_LIFETIME_MS = 500.0
"""Time after which a permit that was not used is void."""


class ColdTerms(Record):
    """
    What a VM that asks for a permit for a cold replica says besides the limit.

    :param burst: permits that may be granted at once
    :param age_ms: milliseconds for which it knows that the replica is cold
    """

    __slots__ = ('age_ms', 'burst')

    def __init__(self, burst: float, age_ms: float):
        self.burst = burst
        self.age_ms = age_ms


class ColdReplica(Record):
    """
    A replica that has turned cold, as one VM tells others.

    :param started_ms: start time of its incarnation in Unix milliseconds, 0 if it is not known
    :param left_ms: milliseconds for which it stays cold
    """

    __slots__ = ('left_ms', 'replica_id', 'started_ms')

    def __init__(self, replica_id: str, started_ms: int, left_ms: float):
        self.replica_id = replica_id
        self.started_ms = started_ms
        self.left_ms = left_ms


class PermitsWanted(Record):
    """
    A VM asks for permission to send one request to each of several replicas.

    :param limits: replica ID and limit per second, as the VM knows it, for each request
    :param cold_terms: terms of the replicas that are cold, by ID
    :param least_count: fewer permits than this are of no use
    :param rank: precedence, 0 for the highest; keepers that cannot serve all serve those up to a
        rank, so that a request gets permits from all keepers or from none
    """

    __slots__ = ('batch_id', 'cold_terms', 'least_count', 'limits', 'rank')

    def __init__(
        self,
        batch_id: int,
        limits: list[tuple[str, float]],
        least_count: int,
        rank: float = 0.0,
        cold_terms: dict[str, ColdTerms] | None = None,
    ):
        self.cold_terms = cold_terms or {}
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
