"""Applies what replicas say about being cold: entries, replies, tables and settings."""

from typing import TYPE_CHECKING

from ..interface import GatewayInterface
from ..models import Reply
from .cold import make_limit
from .limits import start_bucket
from .notices import NoticeChange
from .upstreams import ReplicaState

if TYPE_CHECKING:
    from .connections import Exchange

ENTRY = 'entry'
REPLY = 'reply'
REPORT = 'report'


def apply_cold_entry(state: ReplicaState, gateway: GatewayInterface) -> None:
    """Record what a replica's new entry says about being cold."""
    coldness = state.notices.coldness
    was_cold = coldness.is_cold(gateway.now_ms)
    coldness.record_entry(state.entry.cold_left_ms, gateway.now_ms)
    state.cold_until_ms = coldness.entry_until_ms
    refresh_limit(state, gateway)
    record_change(state, was_cold, ENTRY, gateway)


def apply_cold_reply(exchange: 'Exchange', reply: Reply, gateway: GatewayInterface) -> None:
    """Record what a reply says; one to another request may be an old copy, and tells nothing."""
    state = exchange.replica
    is_match = reply.request_id == exchange.owner.work.request.request_id
    if reply.is_other_instance or not is_match or reply.notice is None:
        return
    if reply.notice.cold_ms is None:
        return
    coldness = state.notices.coldness
    was_cold = coldness.is_cold(gateway.now_ms)
    coldness.record_reply(reply.notice.cold_ms, exchange.sent_ms, gateway.now_ms)
    refresh_limit(state, gateway)
    record_change(state, was_cold, REPLY, gateway)
    if state.notices.cold_limit is not None and coldness.is_report_due(gateway.now_ms):
        coldness.reported_ms = gateway.now_ms
        gateway.limits.turned_cold[state.entry.replica_id] = state


def apply_cold_report(state: ReplicaState, left_ms: float, gateway: GatewayInterface) -> bool:
    """Record what another VM says; return whether this one took the replica for a warm one."""
    coldness = state.notices.coldness
    was_cold = coldness.is_cold(gateway.now_ms)
    coldness.record_report(left_ms, gateway.now_ms)
    refresh_limit(state, gateway)
    record_change(state, was_cold, REPORT, gateway)
    return not was_cold and state.notices.cold_limit is not None


def refresh_limit(state: ReplicaState, gateway: GatewayInterface) -> None:
    """Set the limit that holds for a replica while it is cold, by the table in force."""
    rules = gateway.table.services.get(state.entry.service) if gateway.table else None
    notices = state.notices
    if rules is None or not rules.cold_rate_per_s:
        notices.cold_limit = None
        return
    notices.cold_limit = make_limit(rules.cold_rate_per_s, gateway.cold_rules)
    # The permits keep its load low. Were it passed over besides, it would not warm up.
    state.cold_until_ms = 0.0
    if not notices.coldness.is_cold(gateway.now_ms):
        return
    notices.is_restricted = True
    start_bucket(state, gateway)


def refresh_limits(gateway: GatewayInterface) -> None:
    """Set the limits of all replicas after a change of the table or the settings."""
    for state in gateway.upstreams.by_id.values():
        if state.notices.cold_limit is not None:
            state.cold_until_ms = state.notices.coldness.entry_until_ms
        refresh_limit(state, gateway)


def record_change(
    state: ReplicaState, was_cold: bool, source: str, gateway: GatewayInterface
) -> None:
    """Count a change and keep it for the log, if anything follows from it."""
    coldness = state.notices.coldness
    is_cold = coldness.is_cold(gateway.now_ms)
    limit = state.notices.cold_limit
    if limit is None or is_cold == was_cold:
        return
    kind = 'cold' if is_cold else 'warm'
    gateway.counters.add('notices', kind)
    fields = {'replica': state.entry.replica_id, 'service': state.entry.service, 'source': source}
    if is_cold:
        fields['for_ms'] = round(coldness.until_ms - gateway.now_ms)
        fields['permits_per_s'] = round(limit.rate_per_s, 2)
        fields['burst'] = round(limit.burst, 2)
    else:
        fields['cold_for_ms'] = round(gateway.now_ms - coldness.since_ms)
    gateway.notices.changes.append(NoticeChange(kind, fields))
