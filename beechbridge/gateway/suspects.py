"""Messages with which VMs share the evidence against requests that end replicas."""

from ..record import Record


class EndReport(Record):
    """
    The end of a replica under a request, as `ReplicaEnd` with an age in place of a time.

    :param age_ms: milliseconds from the end until the message was sent
    """

    __slots__ = ('age_ms', 'is_alone', 'replica_id', 'round_id', 'started_ms')

    def __init__(
        self, replica_id: str, started_ms: int, round_id: str, age_ms: int, is_alone: bool
    ):
        self.replica_id = replica_id
        self.started_ms = started_ms
        self.round_id = round_id
        self.age_ms = age_ms
        self.is_alone = is_alone


class SuspectReport(Record):
    """
    What a VM knows about one request.

    :param cleared_age_ms: milliseconds since a replica had run it without ending, None if that is
        not known
    """

    __slots__ = ('cleared_age_ms', 'digest', 'ends', 'route_name')

    def __init__(
        self,
        digest: str,
        route_name: str,
        ends: list[EndReport],
        cleared_age_ms: int | None = None,
    ):
        self.digest = digest
        self.route_name = route_name
        self.ends = ends
        self.cleared_age_ms = cleared_age_ms


class SuspectsReport(Record):
    """
    A message with evidence.

    :param memory_age_ms: milliseconds for which the sender has heard of all ends
    """

    __slots__ = ('memory_age_ms', 'suspects')

    def __init__(self, suspects: list[SuspectReport], memory_age_ms: int):
        self.suspects = suspects
        self.memory_age_ms = memory_age_ms
