"""What replicas state about themselves in their replies: limits, leaving, and when to retry."""

from typing import TYPE_CHECKING

from ...record import Record
from ..actions import WriteLine
from ..interface import GatewayInterface
from ..models import ReplicaEntry, Reply
from ..permits import PERMIT_LIFETIME_MS, ColdTerms
from ..statements import Notice
from .cold import ColdLimit, Coldness

if TYPE_CHECKING:
    from .connections import Exchange

MAX_KNOWN_REPLICAS = 4_000
"""Incarnations of replicas whose notices are remembered, the latest ones."""

MAX_LIMIT_PER_S = 1e6
"""Limit used in place of a higher one."""

MAX_PAUSE_MS = 60_000.0
"""Longest time for which a rejection keeps a replica from being tried again."""

MAX_SINGLE_LINES = 8
"""Changes of one kind within a sweep up to which each is logged in a line of its own."""


class SendKind:
    """Why a sub-request was sent, in counters and log lines."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'
    ORDERED = 'ordered'


class Permits:
    """
    Permits of the keeper, which may be this VM, for one replica.

    :param count: permits that have not been used
    :param valid_until_ms: time in milliseconds when they become void
    :param denied_until_ms: time in milliseconds until which it makes no sense to ask
    """

    __slots__ = ('count', 'denied_until_ms', 'valid_until_ms')

    def __init__(self):
        self.count = 0
        self.valid_until_ms = 0.0
        self.denied_until_ms = 0.0

    def grant(self, now_ms: float, is_cold: bool = False) -> None:
        """
        Add a permit; earlier ones that are void are dropped.

        :param is_cold: whether earlier ones are not renewed: the bound of a cold replica counts on
            their lifetime
        """
        is_renewal = now_ms < self.valid_until_ms
        if is_cold and is_renewal and self.count:
            self.count += 1
            return
        self.count = self.count + 1 if is_renewal else 1
        self.valid_until_ms = now_ms + PERMIT_LIFETIME_MS


class ReplicaNotices:
    """
    What one incarnation of a replica has stated about itself, as far as this VM knows.

    It outlives the replica's entry in the store, which may vanish and come back.

    :param is_leaving: it is about to stop; once stated, this holds for the incarnation
    :param paused_until_ms: time in milliseconds until which it wants no requests of this VM
    :param limit_per_s: requests per second that it accepts from all VMs together, None if it
        names no limit
    :param limited_since_ms: time in milliseconds when it first named a limit
    :param limited_ms: time in milliseconds of the latest reply that named a limit
    :param permits: permits to send to it while it names a limit
    :param coldness: what it has said about being cold
    :param cold_limit: rate and burst of its permits while it is cold, None if there is no limit
    :param is_restricted: whether a limit or a pause may be in force, for a quick check
    :param sent_counts: sub-requests sent since it named a limit, by kind
    """

    __slots__ = (
        'cold_limit',
        'coldness',
        'is_leaving',
        'is_restricted',
        'limit_per_s',
        'limited_ms',
        'limited_since_ms',
        'paused_until_ms',
        'permits',
        'sent_counts',
    )

    def __init__(self):
        self.is_leaving = False
        self.is_restricted = False
        self.paused_until_ms = 0.0
        self.limit_per_s: float | None = None
        self.limited_since_ms = 0.0
        self.limited_ms = 0.0
        self.permits = Permits()
        self.sent_counts: dict[str, int] = {}
        self.coldness = Coldness()
        self.cold_limit: ColdLimit | None = None

    def limit_at(self, now_ms: float) -> float | None:
        """Return the requests per second that permits are needed for, None if none are."""
        if self.cold_limit is None or not self.coldness.is_cold(now_ms):
            return self.limit_per_s
        if self.limit_per_s is None:
            return self.cold_limit.rate_per_s
        return min(self.limit_per_s, self.cold_limit.rate_per_s)

    def cold_terms_at(self, now_ms: float) -> ColdTerms | None:
        """Return the terms of a permit if it is cold and that bounds its requests."""
        if self.cold_limit is None or not self.coldness.is_cold(now_ms):
            return None
        return ColdTerms(self.cold_limit.burst, now_ms - self.coldness.since_ms)

    def record_send(self, kind: str) -> None:
        """Count a sub-request to a replica that names a limit."""
        self.sent_counts[kind] = self.sent_counts.get(kind, 0) + 1

    def describe(self, now_ms: float) -> dict:
        """Return what is in force, for the state dump."""
        fields = {}
        if self.is_leaving:
            fields['leaving'] = True
        if now_ms < self.paused_until_ms:
            fields['paused_for_ms'] = round(self.paused_until_ms - now_ms)
        if self.limit_per_s is not None:
            fields['limit_per_s'] = self.limit_per_s
            fields['limit_age_ms'] = round(now_ms - self.limited_ms)
            fields['sent'] = dict(self.sent_counts)
            fields['denied_for_ms'] = max(0, round(self.permits.denied_until_ms - now_ms))
        if self.cold_limit is not None and self.coldness.is_cold(now_ms):
            fields['cold_for_ms'] = round(self.coldness.until_ms - now_ms)
            fields['cold_age_ms'] = round(now_ms - self.coldness.stated_ms)
            fields['cold_permits_per_s'] = round(self.cold_limit.rate_per_s, 2)
        return fields


class NoticeChange(Record):
    """A change that is to be logged."""

    __slots__ = ('fields', 'kind')

    def __init__(self, kind: str, fields: dict):
        self.kind = kind
        self.fields = fields


class NoticeBook:
    """
    The notices of all known incarnations of replicas.

    :param changes: changes that have not been logged yet
    """

    __slots__ = ('by_incarnation', 'changes')

    def __init__(self):
        self.by_incarnation: dict[tuple, ReplicaNotices] = {}
        self.changes: list[NoticeChange] = []

    def find(self, entry: ReplicaEntry) -> ReplicaNotices:
        """Return the notices of an entry's incarnation."""
        key = (entry.replica_id, entry.started_ms, entry.host, entry.port)
        notices = self.by_incarnation.pop(key, None) or ReplicaNotices()
        self.by_incarnation[key] = notices
        if len(self.by_incarnation) > MAX_KNOWN_REPLICAS:
            self.by_incarnation.pop(next(iter(self.by_incarnation)))
        return notices


def apply_notice(exchange: 'Exchange', reply: Reply, gateway: GatewayInterface) -> None:
    """
    Update what is known of a replica from a reply.

    A reply to another request may be an old copy, and one from another replica says nothing
    about this one.
    """
    is_match = reply.request_id == exchange.owner.work.request.request_id
    if reply.is_other_instance or (reply.request_id and not is_match):
        return
    notice = reply.notice
    if notice is not None:
        apply_leaving(exchange, notice, gateway)
        apply_pause(exchange, notice, gateway)
    if notice is not None and notice.limit_per_s is not None:
        apply_limit(exchange, min(MAX_LIMIT_PER_S, notice.limit_per_s), gateway)
        return
    if notice is not None and notice.is_limit_unreadable:
        gateway.counters.add('notices', 'unreadable')
        return
    if is_match:
        lift_limit(exchange, gateway)


def apply_leaving(exchange: 'Exchange', notice: Notice, gateway: GatewayInterface) -> None:
    """Record that a replica is about to stop."""
    notices = exchange.replica.notices
    if notice.is_leaving and not notices.is_leaving:
        notices.is_leaving = True
        record_change('leaving', exchange, {}, gateway)


def apply_pause(exchange: 'Exchange', notice: Notice, gateway: GatewayInterface) -> None:
    """Record until when a replica wants no requests of this VM."""
    if not notice.retry_after_ms:
        return
    notices = exchange.replica.notices
    pause_ms = min(notice.retry_after_ms, MAX_PAUSE_MS)
    if gateway.now_ms + pause_ms <= notices.paused_until_ms:
        return
    is_new = gateway.now_ms >= notices.paused_until_ms
    notices.paused_until_ms = gateway.now_ms + pause_ms
    notices.is_restricted = True
    if is_new:
        record_change('paused', exchange, {'for_ms': round(pause_ms)}, gateway)


def apply_limit(exchange: 'Exchange', limit_per_s: float, gateway: GatewayInterface) -> None:
    """Record the limit that a replica names."""
    notices = exchange.replica.notices
    before = notices.limit_per_s
    notices.limit_per_s = limit_per_s
    notices.is_restricted = True
    notices.limited_ms = gateway.now_ms
    if before == limit_per_s:
        return
    if before is None:
        notices.limited_since_ms = gateway.now_ms
        notices.sent_counts.clear()
    record_change('limited', exchange, {'limit_per_s': limit_per_s, 'before': before}, gateway)


def lift_limit(exchange: 'Exchange', gateway: GatewayInterface) -> None:
    """Forget a replica's limit: a request sent after the limit was last named got none."""
    notices = exchange.replica.notices
    if notices.limit_per_s is None or exchange.sent_ms < notices.limited_ms:
        return
    fields = {
        'before': notices.limit_per_s,
        'limited_for_ms': round(gateway.now_ms - notices.limited_since_ms),
        'sent': dict(notices.sent_counts),
    }
    notices.limit_per_s = None
    notices.permits = Permits()
    record_change('unlimited', exchange, fields, gateway)


def record_change(
    kind: str, exchange: 'Exchange', fields: dict, gateway: GatewayInterface
) -> None:
    """Count a change and keep it for the log."""
    entry = exchange.replica.entry
    gateway.counters.add('notices', kind)
    identity = {'replica': entry.replica_id, 'service': entry.service}
    gateway.notices.changes.append(NoticeChange(kind, {**identity, **fields}))


def log_notices(gateway: GatewayInterface) -> None:
    """Log the changes since the last sweep; many of one kind take one line with examples."""
    changes, gateway.notices.changes = gateway.notices.changes, []
    by_kind: dict[str, list[dict]] = {}
    for change in changes:
        by_kind.setdefault(change.kind, []).append(change.fields)
    for kind, rows in by_kind.items():
        if len(rows) > MAX_SINGLE_LINES:
            fields = {'kind': kind, 'replicas': len(rows), 'examples': rows[:MAX_SINGLE_LINES]}
            gateway.act(WriteLine('replica_notices', fields))
            continue
        for row in rows:
            gateway.act(WriteLine('replica_notice', {'kind': kind, **row}))
