"""
Evidence against requests: which lost connections mean that a replica has ended.

A connection is lost for many reasons. That its replica has ended is taken for granted only once a
new connection to it is refused, another incarnation answers at its address, or its entry is
replaced or removed. To know soon, the address is probed with a connection that carries nothing.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable

from ...record import Record
from ..actions import ProbeReplica, WriteLine
from ..events import ProbeEnded
from ..interface import GatewayInterface
from ..replicas.connections import Exchange
from ..replicas.upstreams import ReplicaState
from .suspicion import ReplicaEnd, Verdict
from .works import CanaryTimer, Work

CONFIRMATION_MS = 5_000.0
"""Time after a loss within which it can be confirmed as the end of the replica."""

MAX_REQUEST_ID_LENGTH = 64
"""Length of a request's ID up to which rounds are named after it."""

PROBE_INTERVAL_MS = 500.0
"""Minimum time between two probes of a replica."""

MAX_PROBES_PER_ROUND = 2
"""Two ends tell as much as twenty, and every probe costs a connection."""

REFUSED = 'refused'
"""Nothing listens at the replica's address."""

REMOVED = 'removed'
"""Its entry was removed or replaced, or another replica answers at its address."""

RESTART_GAP_MS = 5_000.0
"""Time after the oldest start of a replica from which one counts as started again."""

TELLING_RESTARTS = 3
"""Replicas of a route that have started again from which a request may have ended them."""

REPORT_COUNT = 3
"""How often a change is reported to the other VMs: datagrams get lost."""


class Loss(Record):
    """
    A connection that was lost while it carried a request.

    :param at_ms: time in milliseconds of the loss
    """

    __slots__ = ('at_ms', 'is_alone', 'round_id', 'work')

    def __init__(self, work: Work, round_id: str, at_ms: float, is_alone: bool):
        self.work = work
        self.round_id = round_id
        self.at_ms = at_ms
        self.is_alone = is_alone


class Probe(Record):
    """A probe of a replica, for the request with a work's key."""

    __slots__ = ('state', 'work_key')

    def __init__(self, state: ReplicaState, work_key: int):
        self.state = state
        self.work_key = work_key


class Evidence:
    """
    Losses that may turn out to be ends of replicas.

    :param losses: unconfirmed losses, by incarnation of the replica
    :param probes: probes under way, by ID
    :param probed_ms: time in milliseconds of the latest probe, by incarnation
    :param restarts: replicas that have started again, by service; only while the memory is short
    :param unreported: how often a request's evidence is still to be reported, by its digest;
        negative until the next sweep
    """

    __slots__ = ('losses', 'probed_ms', 'probes', 'restarts', 'unreported')

    def __init__(self):
        self.losses: dict[tuple[str, int], list[Loss]] = {}
        self.probes: dict[int, Probe] = {}
        self.probed_ms: dict[tuple[str, int], float] = {}
        self.restarts: Counter[str] = Counter()
        self.unreported: dict[str, int] = {}

    def is_probing(self, work: Work) -> bool:
        """Return whether a probe for a request is under way."""
        return any(probe.work_key == work.key for probe in self.probes.values())


def incarnation_of(state: ReplicaState) -> tuple[str, int]:
    """Return what identifies the incarnation of a replica."""
    return state.entry.replica_id, state.entry.started_ms


def record_loss(exchange: Exchange, gateway: GatewayInterface) -> None:
    """Record that a connection was lost over which a request had been sent."""
    work = exchange.owner.work
    if work.is_vindicated or not work.digest:
        return
    state = exchange.replica
    evidence = gateway.evidence
    round_id = name_round(work.request.request_id, exchange.round_number)
    loss = Loss(work, round_id, gateway.now_ms, exchange.is_alone)
    evidence.losses.setdefault(incarnation_of(state), []).append(loss)
    probe_replica(state, work, gateway)


def name_round(request_id: str, number: int) -> str:
    """Return the name of a round; callers choose the IDs, so that of a long one is shortened."""
    if len(request_id) > MAX_REQUEST_ID_LENGTH:
        request_id = hashlib.blake2b(
            request_id.encode('utf-8', 'surrogateescape'), digest_size=16
        ).hexdigest()
    return f'{request_id}:{number}'


def probe_replica(state: ReplicaState, work: Work, gateway: GatewayInterface) -> None:
    """Find out whether a replica still accepts connections, unless enough is known."""
    evidence = gateway.evidence
    key = incarnation_of(state)
    probed_ms = evidence.probed_ms.get(key, -PROBE_INTERVAL_MS)
    if gateway.now_ms - probed_ms < PROBE_INTERVAL_MS or work.probe_count >= MAX_PROBES_PER_ROUND:
        return
    work.probe_count += 1
    probe_id = gateway.upstreams.new_id()
    evidence.probes[probe_id] = Probe(state, work.key)
    evidence.probed_ms[key] = gateway.now_ms
    gateway.counters.add('probes_sent')
    gateway.act(ProbeReplica(probe_id, state.entry.host, state.entry.port))


def settle_probe(event: ProbeEnded, gateway: GatewayInterface) -> None:
    """Confirm the end of a replica, or drop the losses that were due to something else."""
    probe = gateway.evidence.probes.pop(event.probe_id, None)
    if probe is None:
        return
    if event.is_refused:
        confirm_end(probe.state, REFUSED, gateway)
    elif event.is_open:
        gateway.evidence.losses.pop(incarnation_of(probe.state), None)
    gateway.timers.arm(gateway.now_ms, CanaryTimer(probe.work_key))


def confirm_end(state: ReplicaState, cause: str, gateway: GatewayInterface) -> None:
    """Hold the end of a replica against the requests that were lost there."""
    key = incarnation_of(state)
    losses = gateway.evidence.losses.pop(key, None)
    if losses is None:
        return
    for loss in losses:
        if loss.work.is_vindicated or gateway.now_ms - loss.at_ms > CONFIRMATION_MS:
            continue
        end = ReplicaEnd(*key, loss.round_id, loss.at_ms, loss.is_alone)
        work = loss.work
        if add_end(work.digest, work.route.name, end, cause, gateway):
            gateway.evidence.unreported[work.digest] = REPORT_COUNT


def add_end(
    digest: str, route_name: str, end: ReplicaEnd, source: str, gateway: GatewayInterface
) -> bool:
    """
    Add an end to the evidence against a request; return whether it is news.

    :param source: why this VM believes it, or the VM that reported it
    """
    book = gateway.suspicions
    before = book.judge(digest, gateway.now_ms)
    if not book.add_end(digest, route_name, end):
        return False
    gateway.counters.add('replica_ends', source if source in (REFUSED, REMOVED) else 'reported')
    verdict = book.judge(digest, gateway.now_ms)
    if verdict is not before:
        log_verdict(verdict, digest, {'source': source, 'before': before.value}, gateway)
    return True


def acquit(work: Work, gateway: GatewayInterface) -> None:
    """Drop the evidence against a request that a replica has run without ending."""
    book = gateway.suspicions
    suspicion = book.by_digest.get(work.digest)
    if suspicion is None or not suspicion.ends:
        return
    log_verdict(Verdict.CLEAR, work.digest, {'source': 'answered'}, gateway)
    book.clear(work.digest, gateway.now_ms)
    gateway.evidence.unreported[work.digest] = REPORT_COUNT


def log_verdict(verdict: Verdict, digest: str, fields: dict, gateway: GatewayInterface) -> None:
    """Log that the verdict about a request has changed, with the evidence."""
    gateway.counters.add('verdicts', verdict.value)
    suspicion = gateway.suspicions.by_digest[digest]
    evidence = suspicion.describe(gateway.now_ms)
    gateway.act(WriteLine('request_judged', {'verdict': verdict.value, **fields, **evidence}))


def count_restarts(gateway: GatewayInterface) -> None:
    """
    Count the replicas that have started again, as their entries say.

    The entries outlive this fleet's memory: without restarts no request can have ended replicas.
    One that does not name its start says nothing about it.
    """
    gateway.evidence.restarts.clear()
    states = [state for state in gateway.upstreams.by_id.values() if state.entry.started_ms]
    if not states:
        return
    oldest_ms = min(state.entry.started_ms for state in states)
    for state in states:
        if state.entry.started_ms > oldest_ms + RESTART_GAP_MS:
            gateway.evidence.restarts[state.entry.service] += 1


def had_restarts(services: Iterable[str], gateway: GatewayInterface) -> bool:
    """Return whether several replicas of a route have started again."""
    restarts = gateway.evidence.restarts
    return sum(restarts[service] for service in services) >= TELLING_RESTARTS


def sweep_evidence(gateway: GatewayInterface) -> None:
    """Forget losses that were not confirmed, and evidence that is too old."""
    evidence = gateway.evidence
    oldest_ms = gateway.now_ms - CONFIRMATION_MS
    for key, losses in list(evidence.losses.items()):
        if losses[-1].at_ms < oldest_ms:
            del evidence.losses[key]
    for key, probed_ms in list(evidence.probed_ms.items()):
        if probed_ms < oldest_ms:
            del evidence.probed_ms[key]
    gateway.suspicions.expire(gateway.now_ms)
    if gateway.suspicions.is_cautious(gateway.now_ms):
        count_restarts(gateway)
