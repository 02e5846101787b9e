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

MAX_ENDS_PER_ROUND = 2
"""Ends of one round that are remembered: two say as much as twenty."""

MAX_ROUNDS = 4
"""Rounds that are remembered of one request, the latest ones."""

MAX_NAME_LENGTH = 200
"""Length of a digest or a name in the evidence, as in the store: reports must fit in datagrams."""

CONVICTING_ROUNDS = 3
"""Rounds that convict a request whatever else ran at the replicas that ended."""

CAUTION_MS = 60_000.0
"""Time for which a fleet that has lost its memory sends gathers to one shard first, if replicas
have started again lately."""


TROUBLE_COUNT = 3
"""Requests of a route that were convicted lately from which all its gathers are sent to one shard
first: a caller may send many different ones that end replicas."""

TROUBLE_MS = 30_000.0
"""Time for which a conviction counts for that."""


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
    :param route_name: route of the request, if that is known
    :param cleared_ms: time in milliseconds up to which ends do not count, since a replica has run
        the request without ending
    """

    __slots__ = ('cleared_ms', 'digest', 'ends', 'route_name')

    def __init__(self, digest: str, route_name: str = ''):
        self.digest = digest
        self.route_name = route_name
        self.ends: dict[tuple[str, int], ReplicaEnd] = {}
        self.cleared_ms = -CONVICTION_MS

    def add_end(self, end: ReplicaEnd) -> bool:
        """Add an end; return whether it is news."""
        if end.at_ms <= self.cleared_ms or end.incarnation in self.ends:
            return False
        rounds = self.ends_by_round()
        if len(rounds.get(end.round_id, ())) >= MAX_ENDS_PER_ROUND:
            return False
        if end.round_id not in rounds and len(rounds) >= MAX_ROUNDS:
            oldest = min(rounds.values(), key=lambda ends: ends[0].at_ms)
            if end.at_ms <= oldest[0].at_ms:
                return False
            for known in oldest:
                del self.ends[known.incarnation]
        self.ends[end.incarnation] = end
        return True

    def ends_by_round(self) -> dict[str, list[ReplicaEnd]]:
        """Return the ends of each round."""
        rounds: dict[str, list[ReplicaEnd]] = {}
        for end in self.ends.values():
            rounds.setdefault(end.round_id, []).append(end)
        return rounds

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

    @property
    def round_count(self) -> int:
        """Return in how many rounds a replica has ended."""
        return len({end.round_id for end in self.ends.values()})

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
    :param holders: digests of the requests that an end is held against, by incarnation
    :param memory_since_ms: time in milliseconds since which this VM, or one that told it, has
        heard of all ends
    """

    __slots__ = ('by_digest', 'holders', 'memory_since_ms')

    def __init__(self, memory_since_ms: float = -float('inf')):
        self.by_digest: dict[str, Suspicion] = {}
        self.holders: dict[tuple[str, int], set[str]] = {}
        self.memory_since_ms = memory_since_ms

    def is_cautious(self, now_ms: float) -> bool:
        """Return whether all VMs may have forgotten recent ends."""
        return now_ms - self.memory_since_ms < CAUTION_MS

    def judge(self, digest: str, now_ms: float) -> Verdict:
        """Return what the evidence says about a request."""
        suspicion = self.by_digest.get(digest)
        if suspicion is None or now_ms - suspicion.latest_ms >= CONVICTION_MS:
            return Verdict.CLEAR
        return Verdict.CONVICTED if self.is_convicting(suspicion) else Verdict.SUSPECT

    def is_convicting(self, suspicion: Suspicion) -> bool:
        """
        Return whether the ends leave no reasonable doubt.

        Requests that only ran beside a guilty one lose many replicas at once, but then one that
        they are sent to alone answers. If that one ends too, it is because a guilty request was
        sent there as well, and the end counts for whichever has more rounds.
        """
        rounds = suspicion.ends_by_round()
        own_count = 0
        alone_count = 0
        for ends in rounds.values():
            own = [end for end in ends if self.is_best_explanation(suspicion, end, len(rounds))]
            own_count += bool(own)
            alone_count += any(end.is_alone for end in own)
        if own_count >= CONVICTING_ROUNDS or alone_count > 1:
            return True
        return alone_count > 0 and any(len(ends) > 1 for ends in rounds.values())

    def is_best_explanation(self, suspicion: Suspicion, end: ReplicaEnd, round_count: int) -> bool:
        """Return whether no other request that an end is held against has as many rounds."""
        for digest in self.holders[end.incarnation]:
            if digest == suspicion.digest:
                continue
            if self.by_digest[digest].round_count >= round_count:
                return False
        return True

    def is_troubled(self, route_name: str, now_ms: float) -> bool:
        """Return whether several requests of a route were convicted lately: more may come."""
        if len(self.by_digest) < TROUBLE_COUNT:
            return False
        count = 0
        for suspicion in self.by_digest.values():
            if suspicion.route_name != route_name or now_ms - suspicion.latest_ms >= TROUBLE_MS:
                continue
            count += self.is_convicting(suspicion)
        return count >= TROUBLE_COUNT

    def add_end(self, digest: str, route_name: str, end: ReplicaEnd) -> bool:
        """Hold an end against a request; return whether it is news."""
        suspicion = self.by_digest.pop(digest, None) or Suspicion(digest, route_name)
        self.by_digest[digest] = suspicion
        before = set(suspicion.ends)
        is_news = suspicion.add_end(end)
        self.update_holders(suspicion, before)
        if len(self.by_digest) > MAX_SUSPICIONS:
            self.remove(next(iter(self.by_digest)))
        return is_news

    def clear(self, digest: str, at_ms: float) -> None:
        """Drop the ends up to a time at which a replica had run a request without ending."""
        suspicion = self.by_digest[digest]
        before = set(suspicion.ends)
        suspicion.clear(at_ms)
        self.update_holders(suspicion, before)

    def update_holders(self, suspicion: Suspicion, before: set[tuple[str, int]]) -> None:
        """
        Update which requests ends are held against.

        :param before: incarnations whose ends were held against the request before
        """
        for incarnation in suspicion.ends.keys() - before:
            self.holders.setdefault(incarnation, set()).add(suspicion.digest)
        for incarnation in before - suspicion.ends.keys():
            digests = self.holders[incarnation]
            digests.discard(suspicion.digest)
            if not digests:
                del self.holders[incarnation]

    def remove(self, digest: str) -> None:
        """Forget a request."""
        suspicion = self.by_digest.pop(digest)
        before = set(suspicion.ends)
        suspicion.ends.clear()
        self.update_holders(suspicion, before)

    def expire(self, now_ms: float) -> None:
        """Forget the requests whose latest end or acquittal is too old to matter."""
        for digest, suspicion in list(self.by_digest.items()):
            latest_ms = max(suspicion.latest_ms, suspicion.cleared_ms)
            if now_ms - latest_ms < CONVICTION_MS:
                # They are in the order of their last change.
                return
            self.remove(digest)

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
