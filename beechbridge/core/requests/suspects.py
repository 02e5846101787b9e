"""
Queries that end each upstream that runs them ("queries of death").

Retries, hedges and callers that repeat a query assume that failures are independent; such a query
is carried to every replica. A query is judged by what has happened to it: replies lost at several
replicas, at some of them in attempts that were sent after the first loss, and no answer since. A
reset of all connections looks like the first losses only: what is sent after it is answered.
Each VM judges by what it has seen itself.
"""

import hashlib

from ...actions import LogChange
from ...failures import Failure, Reason, not_run
from ..interface import CoreInterface
from .attempts import Attempt
from .plans import Plan

CONVICTING_REPLICAS = 3
"""Replicas that must have been lost in attempts that were sent after the first loss."""

EVIDENCE_MS = 60_000.0
"""Time after the last loss for which it counts."""

QUARANTINE_MS = 60_000.0
"""Time for which a convicted query is rejected; after it the evidence is collected anew."""

MAX_SUSPECTS = 1_000
"""Queries with losses that are remembered, the latest ones."""


class Suspect:
    """
    The losses of one query since its last answer.

    :param first_loss_ms: time in milliseconds of the first one
    :param last_loss_ms: time in milliseconds of the latest one
    :param replica_ids: replicas lost in attempts that were sent after the first loss
    :param convicted_until_ms: time in milliseconds until which the query is rejected
    """

    __slots__ = ('convicted_until_ms', 'first_loss_ms', 'last_loss_ms', 'replica_ids')

    def __init__(self, now_ms: float):
        self.first_loss_ms = now_ms
        self.last_loss_ms = now_ms
        self.replica_ids: set[str] = set()
        self.convicted_until_ms = 0.0

    def is_outdated(self, now_ms: float) -> bool:
        """Return whether nothing of it counts any more."""
        if now_ms < self.convicted_until_ms:
            return False
        return self.convicted_until_ms > 0.0 or now_ms - self.last_loss_ms > EVIDENCE_MS


class SuspectQueries:
    """The queries with losses since their last answer, by digest, in the order of the latest."""

    __slots__ = ('by_digest',)

    def __init__(self):
        self.by_digest: dict[str, Suspect] = {}

    def find(self, digest: str, now_ms: float) -> Suspect | None:
        """Return what counts against a query, None if nothing does."""
        suspect = self.by_digest.get(digest)
        if suspect is None or not suspect.is_outdated(now_ms):
            return suspect
        del self.by_digest[digest]
        return None

    def record_loss(self, plan: Plan, attempt: Attempt, core: CoreInterface) -> bool:
        """Count the loss of a sent attempt; return whether that convicts its query."""
        now_ms = core.now_ms
        digest = digest_of(plan)
        suspect = self.find(digest, now_ms) or Suspect(now_ms)
        suspect.last_loss_ms = now_ms
        self.by_digest.pop(digest, None)
        self.by_digest[digest] = suspect
        if len(self.by_digest) > MAX_SUSPECTS:
            del self.by_digest[next(iter(self.by_digest))]
        if attempt.sent_ms > suspect.first_loss_ms:
            suspect.replica_ids.add(attempt.replica_id)
        is_convicted = suspect.convicted_until_ms > 0.0
        if is_convicted or len(suspect.replica_ids) < CONVICTING_REPLICAS:
            return False
        suspect.convicted_until_ms = now_ms + QUARANTINE_MS
        core.counters.add('queries_quarantined')
        lost = ', '.join(sorted(suspect.replica_ids))
        core.act(LogChange(f'query {digest}', 'suspected', f'quarantined, lost at {lost}'))
        return True

    def acquit(self, plan: Plan, core: CoreInterface) -> None:
        """Drop what counts against a query that a replica has answered."""
        suspect = self.by_digest.pop(digest_of(plan), None) if self.by_digest else None
        if suspect is not None and suspect.convicted_until_ms > 0.0:
            core.act(LogChange(f'query {digest_of(plan)}', 'quarantined', 'answered'))

    def is_convicted(self, plan: Plan, core: CoreInterface) -> bool:
        """Return whether a query is known to end the replicas that run it."""
        if not self.by_digest:
            return False
        suspect = self.find(digest_of(plan), core.now_ms)
        return suspect is not None and suspect.convicted_until_ms > core.now_ms


def digest_of(plan: Plan) -> str:
    """Return what identifies a query: its back end and body, not who sends it or how urgently."""
    data = f'{plan.query.back_end}\0'.encode() + plan.query.body
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def check_quarantine(plan: Plan, core: CoreInterface) -> Failure | None:
    """Reject a query that is known to end the replicas that run it."""
    if not core.suspects.is_convicted(plan, core):
        return None
    suspect = core.suspects.find(digest_of(plan), core.now_ms)
    retry_after_ms = max(1, int(suspect.convicted_until_ms - core.now_ms))
    detail = f'upstreams ended while they ran this query: {len(suspect.replica_ids)} of them'
    return not_run(Reason.QUARANTINED, detail, retry_after_ms)
