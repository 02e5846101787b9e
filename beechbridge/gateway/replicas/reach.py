"""
Reach: whether this VM reaches replicas at all.

A replica that does not answer is one matter. If nobody answers, and several were asked, the links
of this VM are the likelier cause. This is the evidence; `requests/reach_checks` judges it.
"""

from ...record import Record
from ..interface import GatewayInterface
from ..models import LinkFault
from .connections import Exchange
from .upstreams import AGGREGATOR_DISTANCE, ReplicaState

OVERDUE_MS = 120.0
"""Minimum age of an unanswered exchange that tells something about this VM's links."""

OVERDUE_TYPICAL_FACTOR = 3.0
"""The same as a multiple of the typical latency."""

SILENT_REPLICAS = 3
"""Replicas that do not answer, and no other one does, from which this VM's links are doubtful."""

PROBE_INTERVAL_MS = 250.0
"""Interval between rounds of probes while no replica is reached."""

FAULTS_OF_REPLIES = (LinkFault.MALFORMED, LinkFault.OVERSIZED, LinkFault.ABANDONED)
"""Faults of a reply that is coming in, so that the replica was reached."""


class ReachTimer(Record):
    """Fires when the reach of this VM is to be checked."""

    __slots__ = ()


class Reach:
    """
    What a VM has heard from replicas, and what it believes of its links to them.

    :param replied_ms: time in milliseconds of the latest reply of any replica
    :param failed: replicas to which an exchange has failed since then, by `id()` of their state
    :param unconnected: replicas to which no connection could be opened since one last was
    :param accepted_ms: time in milliseconds when a replica last accepted a probe
    :param refused_ms: time in milliseconds when a replica last refused a probe
    :param probes: IDs of the probes that have not ended
    :param candidates: replicas to probe next in this round
    :param round_ms: time in milliseconds when the latest probes were sent
    :param is_lost: whether no replica is believed to be reached
    :param is_doubted: whether probes are to decide that
    :param wants_connection: whether replies over open connections prove nothing, since no new one
        could be opened
    :param changed_ms: time in milliseconds when the belief last changed
    :param check_due_ms: time in milliseconds of the next check, None if there is nothing to check
    :param doubt_pause_ms: time without doubts after one that was not confirmed
    :param next_doubt_ms: time in milliseconds before which the belief is not doubted again
    :param good_rounds: rounds of probes in a row of which one was accepted, while `is_lost`
    :param needed_rounds: the number of these with which the belief ends
    """

    __slots__ = (
        'accepted_ms',
        'candidates',
        'changed_ms',
        'check_due_ms',
        'doubt_pause_ms',
        'failed',
        'good_rounds',
        'is_doubted',
        'is_lost',
        'needed_rounds',
        'next_doubt_ms',
        'probes',
        'refused_ms',
        'replied_ms',
        'round_ms',
        'unconnected',
        'wants_connection',
    )

    def __init__(self):
        self.replied_ms = -float('inf')
        self.failed: dict[int, ReplicaState] = {}
        self.unconnected: dict[int, ReplicaState] = {}
        self.wants_connection = False
        self.accepted_ms = -float('inf')
        self.refused_ms = -float('inf')
        self.probes: set[int] = set()
        self.candidates: list[ReplicaState] = []
        self.round_ms = -float('inf')
        self.is_lost = False
        self.is_doubted = False
        self.changed_ms = -float('inf')
        self.check_due_ms: float | None = None
        self.doubt_pause_ms = 0.0
        self.next_doubt_ms = -float('inf')
        self.good_rounds = 0
        self.needed_rounds = 1

    @property
    def was_answered(self) -> bool:
        """Return whether a replica has accepted a probe, or replied, since the latest probes."""
        if self.accepted_ms >= self.round_ms:
            return True
        return self.replied_ms >= self.round_ms and not self.wants_connection

    @property
    def is_silent(self) -> bool:
        """Return whether replicas do not even refuse connections, so that each attempt hangs."""
        return self.is_lost and self.refused_ms < self.round_ms - PROBE_INTERVAL_MS

    def record_reply(self, now_ms: float) -> None:
        """Record that a replica has replied."""
        self.replied_ms = now_ms
        self.failed.clear()

    def record_failure(self, exchange: Exchange, fault: LinkFault, now_ms: float) -> None:
        """Record that an exchange with a replica failed that began after the latest reply."""
        if fault in FAULTS_OF_REPLIES:
            self.record_reply(now_ms)
            return
        if fault is LinkFault.CONNECT_FAILED:
            self.unconnected[id(exchange.replica)] = exchange.replica
        if exchange.sent_ms >= self.replied_ms:
            self.failed[id(exchange.replica)] = exchange.replica

    def record_connection(self, now_ms: float) -> None:
        """Record that a connection to a replica was opened."""
        self.accepted_ms = now_ms
        self.unconnected.clear()

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

    def describe(self, now_ms: float) -> dict:
        """Return the belief and its evidence for log lines and the state dump."""
        return {
            'lost': self.is_lost,
            'since_ms': describe_age(self.changed_ms, now_ms),
            'reply_age_ms': describe_age(self.replied_ms, now_ms),
            'accepted_age_ms': describe_age(self.accepted_ms, now_ms),
            'failed': len(self.failed),
            'unconnected': len(self.unconnected),
        }


def watch_reach(gateway: GatewayInterface) -> None:
    """Check the reach as long as exchanges with replicas are under way."""
    if gateway.reach.check_due_ms is None:
        schedule_check(OVERDUE_MS, gateway)


def schedule_check(delay_ms: float, gateway: GatewayInterface) -> None:
    """Schedule the next check."""
    gateway.reach.check_due_ms = gateway.now_ms + delay_ms
    gateway.timers.arm(gateway.reach.check_due_ms, ReachTimer())


def describe_age(at_ms: float, now_ms: float) -> int | None:
    """Return the age of a time for log lines, None if it never came."""
    return None if at_ms == -float('inf') else round(now_ms - at_ms)
