"""
Limits that replicas name: requests per second from all VMs together.

For each data centre one VM keeps the limits of its replicas: the others ask it for a permit before
they send to a replica that names a limit. One token bucket for the whole fleet uses a limit of one
request a second as well as one of a hundred, however many VMs there are and whichever of them has
the requests. A keeper holds no state that lasts: a new one starts with empty buckets.
"""

import math

from ...core.hashing import rank_score
from ..actions import WriteLine
from ..interface import GatewayInterface
from ..member import Member
from ..permits import OUTRANKED, ColdTerms, PermitsWanted
from .notices import MAX_LIMIT_PER_S
from .upstreams import ReplicaState

KEEPER_ROLE = 'limits'
FIXED_BURST = 2.0
"""Requests that may be sent at once, whatever the limit is."""

BURST_S = 0.5
"""Time in seconds for whose worth of a limit more may be sent at once."""

DEMAND_WINDOW_S = 3.0
"""Time constant in seconds of the estimate of how many permits are asked for."""

MIN_DEMAND = 5.0
"""Permits asked for lately below which there are too few for an estimate."""

MIN_FILL_FACTOR = 0.6
"""Factor on the share of the requests that is served if a bucket is empty; one more if full."""

MIN_LIMIT_PER_S = 0.05
"""Limit used in place of a lower one, so that it is noticed when it is lifted."""

MAX_KEPT_LIMITS = 4_000
"""Replicas whose limits this VM keeps, those used last."""

LEARNING_MS = 2_000.0
"""Time after a start in which a VM that knows no other one grants no permits: others may be
starting too."""

TAKEOVER_MS = 1_000.0
"""Time after a start, or after a change of the keeper whose predecessor lives, in which a keeper
grants no permits for cold replicas: some VMs still ask the predecessor."""

RESTART_GAP_MS = 1_000.0
"""Time without requests for permits after which a bucket starts empty if its replica has turned
cold meanwhile: it got requests without permits."""

OTHER_KEEPER_WAIT_MS = 200
"""Wait that a VM states that is asked for a permit for a cold replica and is not its keeper."""

KEEPER_INTERVAL_MS = 400.0
"""Interval between choices of the keepers: one heartbeat."""


class LimitBucket:
    """
    Token bucket of a keeper for the limit of one replica.

    It starts empty: requests may have been sent just before.

    :param filled_ms: time in milliseconds up to which tokens were added
    :param demand: permits that were asked for, decaying with time
    :param cold_burst: requests that may be sent at once while the replica is cold, else None
    """

    __slots__ = ('cold_burst', 'demand', 'filled_ms', 'limit_per_s', 'tokens')

    def __init__(self, limit_per_s: float, now_ms: float):
        self.limit_per_s = limit_per_s
        self.tokens = 0.0
        self.demand = 0.0
        self.filled_ms = now_ms
        self.cold_burst: float | None = None

    def fill(self, limit_per_s: float, now_ms: float, terms: ColdTerms | None = None) -> None:
        """
        Add the tokens of the time that has passed, then apply the limit that is in force.

        :param terms: terms of a cold replica
        """
        gap_ms = now_ms - self.filled_ms
        if terms is not None and gap_ms >= RESTART_GAP_MS and terms.age_ms < gap_ms:
            self.tokens = 0.0
            self.filled_ms = now_ms
        self.cold_burst = None if terms is None else terms.burst
        elapsed_s = (now_ms - self.filled_ms) / 1000.0
        self.filled_ms = now_ms
        self.demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.tokens += elapsed_s * self.limit_per_s
        self.limit_per_s = limit_per_s
        self.tokens = min(self.tokens, self.burst)

    @property
    def burst(self) -> float:
        """Return how many requests may be sent at once."""
        burst = FIXED_BURST + BURST_S * self.limit_per_s
        return burst if self.cold_burst is None else min(burst, self.cold_burst)

    def highest_rank(self) -> float:
        """Return the rank up to which requests can be served: more of them if tokens are left."""
        if self.demand < MIN_DEMAND:
            return 1.0
        demand_per_s = self.demand / DEMAND_WINDOW_S
        fill_factor = MIN_FILL_FACTOR + self.tokens / self.burst
        return fill_factor * self.limit_per_s / demand_per_s

    def wait_ms(self) -> float:
        """Return the time in milliseconds until there is a token, counted from the last fill."""
        return max(0.0, (1.0 - self.tokens) / self.limit_per_s * 1000.0)

    def take(self) -> None:
        """Use a token."""
        self.tokens -= 1.0


class Limits:
    """
    Limits as this VM keeps them for others, and who keeps which.

    :param buckets: bucket by replica ID, for the replicas of this VM's data centre
    :param keepers: keeper and time in milliseconds of its choice, by data centre
    :param turned_cold: replicas, by ID, of which this event has shown that they have turned cold
    :param unannounced: those that this VM, as their keeper, is about to tell all others
    :param taken_over_ms: time in milliseconds when this VM replaced a keeper that lives
    """

    __slots__ = ('buckets', 'keepers', 'taken_over_ms', 'turned_cold', 'unannounced')

    def __init__(self):
        self.buckets: dict[str, LimitBucket] = {}
        self.keepers: dict[str, tuple[Member, float]] = {}
        self.taken_over_ms = -TAKEOVER_MS
        self.turned_cold: dict[str, ReplicaState] = {}
        self.unannounced: dict[str, ReplicaState] = {}

    def fill(
        self, replica_id: str, limit_per_s: float, now_ms: float, terms: ColdTerms | None = None
    ) -> LimitBucket:
        """Return the bucket of a replica, with the tokens that it has now."""
        limit_per_s = min(MAX_LIMIT_PER_S, max(MIN_LIMIT_PER_S, limit_per_s))
        bucket = self.buckets.pop(replica_id, None) or LimitBucket(limit_per_s, now_ms)
        self.buckets[replica_id] = bucket
        if len(self.buckets) > MAX_KEPT_LIMITS:
            self.buckets.pop(next(iter(self.buckets)))
        bucket.fill(limit_per_s, now_ms, terms)
        return bucket

    def describe(self) -> dict:
        """Return the keepers and the tokens that are left, for the state dump."""
        keepers = {zone: keeper.name for zone, (keeper, _) in self.keepers.items()}
        tokens = {name: round(bucket.tokens, 2) for name, bucket in self.buckets.items()}
        return {'keepers': keepers, 'tokens': tokens}


def find_keeper(zone: str, gateway: GatewayInterface) -> Member:
    """Return the VM that keeps the limits of a data centre's replicas, as this VM sees it."""
    known = gateway.limits.keepers.get(zone)
    if known is not None and gateway.now_ms - known[1] < KEEPER_INTERVAL_MS:
        return known[0]
    keeper = choose_keeper(zone, gateway)
    if known is None or known[0].name != keeper.name:
        before = known[0].name if known is not None else None
        fields = {'zone': zone, 'keeper': keeper.name, 'before': before}
        gateway.act(WriteLine('limits_kept', fields))
        if keeper is gateway.fleet.own and known is not None:
            # What was collected while another VM was in charge would be a second burst.
            gateway.limits.buckets.clear()
            before_keeper = gateway.fleet.members.get(known[0].name)
            if before_keeper is not None and gateway.fleet.is_alive(before_keeper, gateway.now_ms):
                gateway.limits.taken_over_ms = gateway.now_ms
    gateway.limits.keepers[zone] = (keeper, gateway.now_ms)
    return keeper


def choose_keeper(zone: str, gateway: GatewayInterface) -> Member:
    """Choose a keeper by rendezvous hashing among the VMs that serve, those of the zone first."""
    fleet = gateway.fleet
    members = fleet.serving(gateway.now_ms) or [fleet.own]
    near = [member for member in members if member.zone == zone]
    return max(near or members, key=lambda member: rank_score(KEEPER_ROLE, member.name))


def start_bucket(state: ReplicaState, gateway: GatewayInterface) -> None:
    """Begin to collect tokens for a replica that has just named a limit, as its keeper."""
    limit_per_s = state.notices.limit_at(gateway.now_ms)
    if limit_per_s is None or state.entry.replica_id in gateway.limits.buckets:
        return
    if find_keeper(state.entry.zone, gateway) is gateway.fleet.own:
        terms = state.notices.cold_terms_at(gateway.now_ms)
        gateway.limits.fill(state.entry.replica_id, limit_per_s, gateway.now_ms, terms)


def is_open(state: ReplicaState, gateway: GatewayInterface) -> bool:
    """Return whether a replica may be sent a request now, by what it has stated about itself."""
    notices = state.notices
    if not notices.is_restricted:
        return True
    now_ms = gateway.now_ms
    if now_ms < notices.paused_until_ms:
        return False
    if notices.limit_at(now_ms) is None:
        notices.is_restricted = False
        return True
    return notices.permits.count > 0 and now_ms < notices.permits.valid_until_ms


def may_ask(state: ReplicaState, gateway: GatewayInterface) -> bool:
    """Return whether a permit for a replica may be asked for."""
    notices = state.notices
    if not notices.is_restricted:
        return False
    now_ms = gateway.now_ms
    if notices.limit_at(now_ms) is None or now_ms < notices.paused_until_ms:
        return False
    return now_ms >= notices.permits.denied_until_ms


def is_available(state: ReplicaState, gateway: GatewayInterface) -> bool:
    """Return whether a replica may be sent a request now, or once a permit has been granted."""
    return is_open(state, gateway) or may_ask(state, gateway)


def opens_in_ms(state: ReplicaState, gateway: GatewayInterface) -> float:
    """Return the time in milliseconds until `is_open` or `may_ask` may hold."""
    now_ms = gateway.now_ms
    notices = state.notices
    wait_ms = max(0.0, notices.paused_until_ms - now_ms)
    if notices.limit_at(now_ms) is None or is_open(state, gateway):
        return wait_ms
    return max(wait_ms, notices.permits.denied_until_ms - now_ms)


def record_send(state: ReplicaState, kind: str, now_ms: float) -> None:
    """Count a request that is sent to a replica that names a limit, which uses a permit."""
    notices = state.notices
    if notices.limit_at(now_ms) is None:
        return
    notices.record_send(kind)
    notices.permits.count = max(0, notices.permits.count - 1)


def grant_permits(message: PermitsWanted, gateway: GatewayInterface) -> list[int]:
    """
    Take a token for each replica that has one for a request of this rank, or none if too few have.

    :return: the waits of the answer, in milliseconds
    """
    now_ms = gateway.now_ms
    if now_ms - gateway.started_ms < LEARNING_MS and not gateway.fleet.members:
        wait_ms = math.ceil(gateway.started_ms + LEARNING_MS - now_ms)
        return [wait_ms] * len(message.limits)
    waits_ms = []
    for replica_id, limit_per_s in message.limits:
        terms = message.cold_terms.get(replica_id)
        if terms is not None and not may_grant_cold(replica_id, gateway):
            waits_ms.append(OTHER_KEEPER_WAIT_MS)
            continue
        bucket = fill_bucket(replica_id, limit_per_s, terms, gateway)
        bucket.demand += 1.0
        if message.rank > bucket.highest_rank():
            waits_ms.append(OUTRANKED)
            continue
        wait_ms = bucket.wait_ms()
        waits_ms.append(math.ceil(wait_ms))
        if wait_ms <= 0.0:
            bucket.take()
    if waits_ms.count(0) >= message.least_count:
        return waits_ms
    for number, (replica_id, _) in enumerate(message.limits):
        if waits_ms[number] == 0:
            gateway.limits.buckets[replica_id].tokens += 1.0
            waits_ms[number] = OUTRANKED
    return waits_ms


def may_grant_cold(replica_id: str, gateway: GatewayInterface) -> bool:
    """Return whether this VM may grant permits for a cold replica: no other VM grants any now."""
    since_ms = max(gateway.started_ms, gateway.limits.taken_over_ms)
    state = gateway.upstreams.by_id.get(replica_id)
    if state is not None and find_keeper(state.entry.zone, gateway) is not gateway.fleet.own:
        return False
    return gateway.now_ms - since_ms >= TAKEOVER_MS


def fill_bucket(
    replica_id: str, limit_per_s: float, terms: ColdTerms | None, gateway: GatewayInterface
) -> LimitBucket:
    """Return a replica's bucket, by the lower limit if this VM and the one that asks differ."""
    state = gateway.upstreams.by_id.get(replica_id)
    if state is not None:
        own_limit_per_s = state.notices.limit_at(gateway.now_ms)
        if own_limit_per_s is not None:
            limit_per_s = min(limit_per_s, own_limit_per_s)
        terms = terms or state.notices.cold_terms_at(gateway.now_ms)
    return gateway.limits.fill(replica_id, limit_per_s, gateway.now_ms, terms)
