"""
Reports that a replica has turned cold.

Most VMs would learn it from a reply of their own, each after requests that it sent freely. A VM
that learns it tells the keeper of the replica's limits, and the keeper tells all others.
"""

from ...record import Record
from ..actions import SendColdReplicas
from ..events import ColdReplicasReceived
from ..interface import GatewayInterface
from ..permits import ColdReplica
from ..replicas.cold_limits import apply_cold_report
from ..replicas.limits import find_keeper

BATCH_MS = 10.0
"""Time for which a keeper collects reports before it tells the others: after an evacuation or a
loss of power hundreds of replicas turn cold together."""

MAX_REPORTS_PER_MESSAGE = 100
"""Cold replicas in one message: it must fit into a datagram."""

MAX_COLD_LEFT_MS = 86_400_000.0
"""Longest time for which a replica may stay cold: one day."""


class ColdReportTimer(Record):
    """Fires when a keeper has collected reports."""

    __slots__ = ()


def send_cold_reports(gateway: GatewayInterface) -> None:
    """Tell the keepers which replicas have turned cold; as a keeper, tell all others soon."""
    limits = gateway.limits
    found, limits.turned_cold = limits.turned_cold, {}
    by_host: dict[str, list[ColdReplica]] = {}
    for replica_id, state in found.items():
        keeper = find_keeper(state.entry.zone, gateway)
        if keeper is not gateway.fleet.own:
            by_host.setdefault(keeper.host, []).append(make_report(state, gateway))
            continue
        if not limits.unannounced:
            gateway.timers.arm(gateway.now_ms + BATCH_MS, ColdReportTimer())
        limits.unannounced[replica_id] = state
    for host, replicas in by_host.items():
        send(gateway, [host], replicas)


def make_report(state, gateway: GatewayInterface) -> ColdReplica:
    """Return the report on a replica that is cold."""
    entry = state.entry
    left_ms = max(0.0, state.notices.coldness.until_ms - gateway.now_ms)
    return ColdReplica(entry.replica_id, entry.started_ms, left_ms)


def send(gateway: GatewayInterface, hosts: list[str], replicas: list[ColdReplica]) -> None:
    """Send reports, in as many messages as it takes."""
    for start in range(0, len(replicas), MAX_REPORTS_PER_MESSAGE):
        part = replicas[start : start + MAX_REPORTS_PER_MESSAGE]
        gateway.counters.add('cold_reports_sent', amount=len(part) * len(hosts))
        gateway.act(SendColdReplicas(hosts, gateway.fleet.own, part))


def fire_cold_report(timer: ColdReportTimer, gateway: GatewayInterface) -> None:
    """Tell all VMs which replicas have turned cold."""
    found, gateway.limits.unannounced = gateway.limits.unannounced, {}
    hosts = [member.host for member in gateway.fleet.alive(gateway.now_ms)]
    if hosts:
        send(gateway, hosts, [make_report(state, gateway) for state in found.values()])


def handle_cold_replicas_received(event: ColdReplicasReceived, gateway: GatewayInterface) -> None:
    """Apply reports; a keeper that did not know tells the others."""
    for report in event.replicas[:MAX_REPORTS_PER_MESSAGE]:
        state = gateway.upstreams.by_id.get(report.replica_id)
        is_known = state is not None and state.entry.started_ms == report.started_ms
        if not is_known or not 0.0 < report.left_ms <= MAX_COLD_LEFT_MS:
            gateway.counters.add('cold_reports_ignored')
            continue
        is_news = apply_cold_report(state, report.left_ms, gateway)
        if is_news and find_keeper(state.entry.zone, gateway) is gateway.fleet.own:
            gateway.limits.turned_cold[report.replica_id] = state
