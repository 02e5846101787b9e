"""
Suspicions: which requests may end the process of a replica that runs them, and why.

The evidence is a set of ends, each of one incarnation of a replica. Sets of several VMs are merged
by union, in any order.
"""

import enum
from collections.abc import Iterator

from ...record import Record

CONVICTION_MS = 600_000.0
"""Time after the latest end for which a request is turned away, or remembered as a suspect."""

MAX_SUSPICIONS = 2_000
"""Requests that are remembered, the latest ones; about 1 KB each."""

MAX_ENDS = 8
"""Ends that are remembered of one request, the latest ones."""

CONVICTING_ROUNDS = 3
"""Rounds that convict a request whatever else ran at the replicas that ended."""

CAUTION_MS = 60_000.0
"""Time for which a fleet that has lost its memory sends every gather to one shard first."""


class Verdict(enum.Enum):
    """What the evidence says about a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


class ReplicaEnd(Record):
    """
    The end of a replica's process while a request was running there.

    :param started_ms: start of the incarnation, as in its entry
    :param round_id: names the sends that were under way together; a new round starts only after
        the one before has failed
    :param at_ms: time in milliseconds of this VM's clock
    :param is_alone: whether the request was sent to this replica only
    """

    __slots__ = ('at_ms', 'is_alone', 'replica_id', 'round_id', 'started_ms')

    def __init__(
        self, replica_id: str, started_ms: int, round_id: str, at_ms: float, is_alone: bool
    ):
        self.replica_id = replica_id
        self.started_ms = started_ms
        self.round_id = round_id
        self.at_ms = at_ms
        self.is_alone = is_alone

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what identifies the incarnation of the replica."""
        return self.replica_id, self.started_ms


class Suspicion:
    """
    The evidence against one request.

    :param ends: ends of replicas, by incarnation
    :param cleared_ms: time in milliseconds up to which ends do not count, since a replica has run
        the request without ending
    """

    __slots__ = ('cleared_ms', 'digest', 'ends')

    def __init__(self, digest: str):
        self.digest = digest
        self.ends: dict[tuple[str, int], ReplicaEnd] = {}
        self.cleared_ms = -CONVICTION_MS

    def add_end(self, end: ReplicaEnd) -> bool:
        """Add an end; return whether it is news."""
        if end.at_ms <= self.cleared_ms or end.incarnation in self.ends:
            return False
        self.ends[end.incarnation] = end
        if len(self.ends) > MAX_ENDS:
            del self.ends[self.find_surplus()]
        return end.incarnation in self.ends

    def find_surplus(self) -> tuple[str, int]:
        """Return the latest end of the round with most ends: one of two says as much as ten."""
        counts: dict[str, int] = {}
        for end in self.ends.values():
            counts[end.round_id] = counts.get(end.round_id, 0) + 1
        crowded = max(counts, key=counts.get)
        latest = [end for end in self.ends.values() if end.round_id == crowded]
        return max(latest, key=lambda end: (end.at_ms, end.incarnation)).incarnation

    def clear(self, at_ms: float) -> None:
        """Drop the ends up to a time at which a replica had run the request without ending."""
        self.cleared_ms = max(self.cleared_ms, at_ms)
        for incarnation, end in list(self.ends.items()):
            if end.at_ms <= self.cleared_ms:
                del self.ends[incarnation]

    @property
    def latest_ms(self) -> float:
        """Return the time in milliseconds of the latest end."""
        return max((end.at_ms for end in self.ends.values()), default=-CONVICTION_MS)

    def is_convicting(self) -> bool:
        """
        Return whether the ends leave no reasonable doubt.

        Requests that only ran beside a guilty one lose many replicas at once, but then one that
        they are sent to alone answers.
        """
        counts: dict[str, int] = {}
        alone = set()
        for end in self.ends.values():
            counts[end.round_id] = counts.get(end.round_id, 0) + 1
            if end.is_alone:
                alone.add(end.round_id)
        if len(counts) >= CONVICTING_ROUNDS or len(alone) > 1:
            return True
        return bool(alone) and max(counts.values()) > 1

    def describe(self, now_ms: float) -> dict:
        """Return the evidence for log lines and the state dump."""
        ends = []
        for end in self.ends.values():
            age_ms = round(now_ms - end.at_ms)
            ends.append(
                {
                    'replica': end.replica_id,
                    'round': end.round_id,
                    'age_ms': age_ms,
                    'alone': end.is_alone,
                }
            )
        return {'digest': self.digest, 'ends': ends}


class SuspicionBook:
    """
    The suspicions of one VM.

    :param by_digest: suspicions by the digest of the request, the latest ones last
    :param memory_since_ms: time in milliseconds since which this VM, or one that told it, has
        heard of all ends
    """

    __slots__ = ('by_digest', 'memory_since_ms')

    def __init__(self, memory_since_ms: float = -float('inf')):
        self.by_digest: dict[str, Suspicion] = {}
        self.memory_since_ms = memory_since_ms

    def is_cautious(self, now_ms: float) -> bool:
        """Return whether all VMs may have forgotten recent ends."""
        return now_ms - self.memory_since_ms < CAUTION_MS

    def judge(self, digest: str, now_ms: float) -> Verdict:
        """Return what the evidence says about a request."""
        suspicion = self.by_digest.get(digest)
        if suspicion is None or now_ms - suspicion.latest_ms >= CONVICTION_MS:
            return Verdict.CLEAR
        return Verdict.CONVICTED if suspicion.is_convicting() else Verdict.SUSPECT

    def find(self, digest: str) -> Suspicion:
        """Return the suspicion of a request, a new one if there is none."""
        suspicion = self.by_digest.pop(digest, None) or Suspicion(digest)
        self.by_digest[digest] = suspicion
        if len(self.by_digest) > MAX_SUSPICIONS:
            self.by_digest.pop(next(iter(self.by_digest)))
        return suspicion

    def expire(self, now_ms: float) -> None:
        """Forget the requests whose latest end or acquittal is too old to matter."""
        for digest, suspicion in list(self.by_digest.items()):
            latest_ms = max(suspicion.latest_ms, suspicion.cleared_ms)
            if now_ms - latest_ms >= CONVICTION_MS:
                del self.by_digest[digest]

    def describe(self, now_ms: float) -> list[dict]:
        """Return the suspicions for the state dump."""
        rows = []
        for suspicion in self.with_ends():
            verdict = self.judge(suspicion.digest, now_ms)
            rows.append({'verdict': verdict.value, **suspicion.describe(now_ms)})
        return rows

    def with_ends(self) -> Iterator[Suspicion]:
        """Return the suspicions that rest on an end."""
        return (suspicion for suspicion in self.by_digest.values() if suspicion.ends)
