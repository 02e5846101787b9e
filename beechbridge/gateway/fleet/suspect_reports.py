"""
Spread of the evidence against requests: each VM tells all others at once what it has found out.

A report is repeated a few times, since datagrams get lost. A VM that starts, or was cut off, gets
everything from those that it meets. Reports count only if they come from a member, and only ends
of replicas that this VM knows and that have not answered it since.
"""

from ..actions import SendSuspects, WriteLine
from ..events import SuspectsReceived
from ..interface import GatewayInterface
from ..member import Member
from ..requests.evidence import add_end
from ..requests.suspicion import (
    CONVICTION_MS,
    MAX_ENDS_PER_ROUND,
    MAX_NAME_LENGTH,
    MAX_ROUNDS,
    ReplicaEnd,
    Suspicion,
)
from ..suspects import EndReport, SuspectReport, SuspectsReport

MAX_SUSPECTS_PER_MESSAGE = 8
"""Suspects in one datagram, with up to eight ends each: about 6 KB."""

MAX_ENDS = MAX_ROUNDS * MAX_ENDS_PER_ROUND
MAX_REPORTS_PER_EVENT = 24
"""Changes that are reported at once; in a flood the others follow with the sweeps."""

MAX_MEMORY_AGE_MS = 1_000_000_000
LISTING_MS = 5_000.0
"""Time after its start within which a VM has read the entries of all replicas."""

CLOCK_SLACK_MS = 100.0
"""Inaccuracy of a time that was sent as an age: the delay of the message, and repeats."""


def report_suspects(gateway: GatewayInterface) -> None:
    """Report what is new to all other VMs."""
    unreported = gateway.evidence.unreported
    if not unreported:
        return
    keys = [key for key, count in unreported.items() if count > 0][:MAX_REPORTS_PER_EVENT]
    for key in keys:
        unreported[key] = -(unreported[key] - 1)
        if not unreported[key]:
            del unreported[key]
    suspicions = [gateway.suspicions.by_digest.get(key) for key in keys]
    hosts = [member.host for member in gateway.fleet.alive(gateway.now_ms)]
    send_reports([found for found in suspicions if found is not None], hosts, gateway)


def repeat_reports(gateway: GatewayInterface) -> None:
    """Make the reports due that are to be repeated."""
    unreported = gateway.evidence.unreported
    for key, count in unreported.items():
        unreported[key] = abs(count)


def send_reports(suspicions: list[Suspicion], hosts: list[str], gateway: GatewayInterface) -> None:
    """Send evidence to VMs, in as many messages as it takes."""
    if not hosts or not suspicions:
        return
    for start in range(0, len(suspicions), MAX_SUSPECTS_PER_MESSAGE):
        part = suspicions[start : start + MAX_SUSPECTS_PER_MESSAGE]
        report = make_report(part, gateway)
        gateway.act(SendSuspects(hosts, gateway.fleet.own, report))


def send_all_reports(hosts: list[str], gateway: GatewayInterface) -> None:
    """Send all evidence, and how far this VM's memory goes back, to VMs that may lack it."""
    if not hosts:
        return
    gateway.act(SendSuspects(hosts, gateway.fleet.own, make_report([], gateway)))
    send_reports(list(gateway.suspicions.with_ends()), hosts, gateway)


def make_report(suspicions: list[Suspicion], gateway: GatewayInterface) -> SuspectsReport:
    """Return the message with the evidence against some requests."""
    now_ms = gateway.now_ms
    suspects = []
    for suspicion in suspicions:
        ends = []
        for end in suspicion.ends.values():
            age_ms = round(now_ms - end.at_ms)
            ends.append(
                EndReport(end.replica_id, end.started_ms, end.round_id, age_ms, end.is_alone)
            )
        cleared_age_ms = None
        if now_ms - suspicion.cleared_ms < CONVICTION_MS:
            cleared_age_ms = round(now_ms - suspicion.cleared_ms)
        suspects.append(
            SuspectReport(suspicion.digest, suspicion.route_name, ends, cleared_age_ms)
        )
    memory_age_ms = min(MAX_MEMORY_AGE_MS, now_ms - gateway.suspicions.memory_since_ms)
    return SuspectsReport(suspects, round(memory_age_ms))


def handle_suspects_received(event: SuspectsReceived, gateway: GatewayInterface) -> None:
    """Add the evidence of another VM to that of this one."""
    sender = event.sender
    known = gateway.fleet.members.get(sender.name)
    if known is None or known.host != sender.host:
        gateway.counters.add('reports_ignored', 'unknown sender')
        return
    book = gateway.suspicions
    age_ms = max(0, min(event.report.memory_age_ms, MAX_MEMORY_AGE_MS))
    if not event.report.suspects:
        book.memory_since_ms = min(book.memory_since_ms, gateway.now_ms - age_ms)
    for suspect in event.report.suspects[:MAX_SUSPECTS_PER_MESSAGE]:
        apply_suspect(suspect, sender, gateway)


def apply_suspect(suspect: SuspectReport, sender: Member, gateway: GatewayInterface) -> None:
    """Merge the evidence against one request."""
    now_ms = gateway.now_ms
    if max(len(suspect.digest), len(suspect.route_name)) > MAX_NAME_LENGTH:
        gateway.counters.add('reports_ignored', 'oversized')
        return
    suspicion = gateway.suspicions.by_digest.get(suspect.digest)
    is_acquitted = suspect.cleared_age_ms is not None and suspect.cleared_age_ms >= 0
    if is_acquitted and suspicion is not None and suspicion.ends:
        before_count = len(suspicion.ends)
        cleared_ms = now_ms - suspect.cleared_age_ms
        gateway.suspicions.clear(suspect.digest, cleared_ms)
        if not suspicion.ends:
            fields = {'digest': suspect.digest, 'verdict': 'clear', 'source': sender.name}
            gateway.act(WriteLine('request_judged', {**fields, 'ends_before': before_count}))
    for report in suspect.ends[:MAX_ENDS]:
        if max(len(report.replica_id), len(report.round_id)) > MAX_NAME_LENGTH:
            gateway.counters.add('reports_ignored', 'oversized')
            continue
        if not 0 <= report.age_ms < CONVICTION_MS:
            gateway.counters.add('reports_ignored', 'outdated')
            continue
        at_ms = now_ms - report.age_ms
        end = ReplicaEnd(
            report.replica_id, report.started_ms, report.round_id, at_ms, report.is_alone
        )
        if not is_credible(end, gateway):
            gateway.counters.add('reports_ignored', 'not credible')
            continue
        # The VM that found it tells everybody else itself.
        add_end(suspect.digest, suspect.route_name, end, sender.name, gateway)


def is_credible(end: ReplicaEnd, gateway: GatewayInterface) -> bool:
    """
    Return whether this VM knows the replica that is said to have ended, and not as alive.

    It cannot know replicas that were gone before it started.
    """
    state = gateway.upstreams.by_id.get(end.replica_id)
    if state is None:
        is_before_start = end.at_ms < gateway.started_ms + LISTING_MS
        return is_before_start or gateway.removed_replicas.was_removed(end.replica_id)
    if state.entry.started_ms != end.started_ms:
        return True
    return state.replied_ms <= end.at_ms + CLOCK_SLACK_MS
