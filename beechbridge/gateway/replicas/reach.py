"""
Reach: whether this VM still hears from replicas at all.

A replica that does not answer is one matter; that nobody answers is another: then the links of
this VM are the likelier cause.
"""

from ..actions import WriteLine
from ..interface import GatewayInterface
from ..models import LinkFault
from .connections import Exchange
from .upstreams import AGGREGATOR_DISTANCE, ReplicaState

OVERDUE_MS = 120.0
"""Minimum age of an unanswered exchange that tells something about this VM's links."""

OVERDUE_TYPICAL_FACTOR = 3.0
"""The same as a multiple of the typical latency."""

SILENT_REPLICAS = 4
"""Replicas that do not answer, and no other one does, from which this VM's links are doubtful."""

FAULTS_OF_REPLIES = (LinkFault.MALFORMED, LinkFault.OVERSIZED, LinkFault.ABANDONED)
"""Faults of a reply that is coming in, so that the replica was reached."""

LINE_INTERVAL_MS = 1_000.0


class Reach:
    """
    What a VM has heard from replicas.

    :param replied_ms: time in milliseconds of the latest reply of any replica
    :param failed: replicas to which an exchange has failed since then, by `id()` of their state
    :param logged_ms: time in milliseconds of the latest line about silence
    """

    __slots__ = ('failed', 'logged_ms', 'replied_ms')

    def __init__(self):
        self.replied_ms = -float('inf')
        self.failed: dict[int, ReplicaState] = {}
        self.logged_ms = -LINE_INTERVAL_MS

    def record_reply(self, now_ms: float) -> None:
        """Record that a replica has replied."""
        self.replied_ms = now_ms
        self.failed.clear()

    def record_failure(self, exchange: Exchange, fault: LinkFault, now_ms: float) -> None:
        """Record that an exchange with a replica failed that began after the latest reply."""
        if fault in FAULTS_OF_REPLIES:
            self.record_reply(now_ms)
        elif exchange.sent_ms >= self.replied_ms:
            self.failed[id(exchange.replica)] = exchange.replica

    def find_silent(self, gateway: GatewayInterface) -> list[ReplicaState]:
        """Return the replicas that failed or are overdue, none having replied since."""
        silent = dict(self.failed)
        for exchange in gateway.upstreams.exchanges.values():
            state = exchange.replica
            if state.distance == AGGREGATOR_DISTANCE or exchange.sent_ms < self.replied_ms:
                continue
            typical_ms = gateway.upstreams.typical_ms(
                exchange.owner.work.route.name, state.distance
            )
            overdue_ms = max(OVERDUE_MS, OVERDUE_TYPICAL_FACTOR * typical_ms)
            if gateway.now_ms - exchange.sent_ms >= overdue_ms:
                silent[id(state)] = state
        return list(silent.values())


def log_silence(gateway: GatewayInterface) -> None:
    """Log that several replicas are silent and no other one has replied since."""
    reach = gateway.reach
    if gateway.now_ms - reach.logged_ms < LINE_INTERVAL_MS:
        return
    silent = reach.find_silent(gateway)
    if len(silent) < SILENT_REPLICAS:
        return
    reach.logged_ms = gateway.now_ms
    fields = {
        'replicas': len(silent),
        'services': len({state.entry.service for state in silent}),
        'failed': len(reach.failed),
        'reply_age_ms': describe_age(reach.replied_ms, gateway.now_ms),
    }
    gateway.act(WriteLine('replicas_silent', fields))


def describe_age(at_ms: float, now_ms: float) -> int | None:
    """Return the age of a time for log lines, None if it never came."""
    return None if at_ms == -float('inf') else round(now_ms - at_ms)
