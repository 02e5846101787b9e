"""
Limits that replicas name: requests per second from all VMs together.

VMs do not exchange tokens. Each works out, from what the heartbeats say of all VMs, which of them
hold a part of a limit and how large it is, and keeps a token bucket for its own part. Only as many
VMs hold a part as may send at the same moment, so that a limit of one request a second is kept by
hundreds of VMs. The others send work elsewhere or, as orders, through a holder; now and then one
of them sends a probe, to learn whether the limit still stands.
"""

import math
import random

from ...core.hashing import MAX_RANK_SCORE, rank_score
from ...record import Record
from ..interface import GatewayInterface
from .upstreams import ReplicaState

FIXED_BURST = 2.0
"""Requests that all holders together may send at once beyond one second's worth of a limit."""

MIN_LIMIT_PER_S = 0.05
"""Limit used in place of a lower one, so that it is noticed when it is lifted."""

PROBE_FRACTION = 0.05
"""Fraction of a limit that is left to the probes of VMs that hold no part of it."""

MIN_PROBE_INTERVAL_MS = 10_000.0
PROBE_SLOT_MS = 1_000.0
"""Time within which a due probe is sent or dropped: unused ones must not add up."""

MIN_DEMAND_FRACTION = 0.1
"""Demand that a holder is taken to have at least, as a fraction of the holders' mean."""

DIVISION_INTERVAL_MS = 400.0
"""Interval between divisions of a limit: one heartbeat."""

LEARNING_MS = 2_000.0
"""Time after a start within which a VM learns of the others; it holds nothing before."""


class Part(Record):
    """
    The part of a limit that one VM holds.

    :param rate_per_s: requests per second that it may send
    :param burst: requests that it may send at once
    """

    __slots__ = ('burst', 'rate_per_s')

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst


def divide_limit(limit_per_s: float, demands: dict[str, int], key: str) -> dict[str, Part]:
    """
    Return the parts of a limit by the VM that holds them.

    Holders are chosen by weighted rendezvous hashing. A limit is divided by demand, since a part
    that its holder cannot use is lost.

    :param demands: requests per second that each VM sends to all replicas
    :param key: replica that names the limit
    """
    burst = FIXED_BURST + limit_per_s
    ordered = sorted(demands, key=lambda name: hold_order(key, name, demands[name]))
    holders = ordered[: max(1, math.floor(burst))]
    mean = sum(demands[name] for name in holders) / max(1, len(holders))
    floor = MIN_DEMAND_FRACTION * mean if mean > 0 else 1.0
    total = sum(demands[name] + floor for name in holders)
    has_others = len(ordered) > len(holders)
    held_per_s = limit_per_s * (1.0 - PROBE_FRACTION if has_others else 1.0)
    parts = {}
    for name in holders:
        weight = (demands[name] + floor) / total
        spare_burst = max(0.0, burst - len(holders))
        parts[name] = Part(weight * held_per_s, 1.0 + weight * spare_burst)
    return parts


def hold_order(key: str, name: str, demand: int) -> tuple[float, str]:
    """Return the position of a VM among the candidates for a part of a replica's limit."""
    # Demand in powers of two, so that the order does not change with every heartbeat.
    weight = 2.0 ** (demand + 1).bit_length()
    draw = (rank_score(key, name) + 1) / (MAX_RANK_SCORE + 2)
    return -math.log(draw) / weight, name


class LimitBucket:
    """
    Token bucket for this VM's part of a replica's limit.

    It starts empty: the VM may have sent requests just before it learned of the limit.

    :param since_ms: time in milliseconds when this VM learned of the limit
    :param part: the part that this VM holds, None if it holds none
    :param tokens: requests that may be sent now
    :param filled_ms: time in milliseconds up to which tokens were added
    :param divided_ms: time in milliseconds when the limit was last divided
    :param probe_ms: time in milliseconds from which a VM without a part may send one request
    """

    __slots__ = ('divided_ms', 'filled_ms', 'limit_per_s', 'part', 'probe_ms', 'tokens')

    def __init__(self, since_ms: float):
        self.part: Part | None = None
        self.limit_per_s = 0.0
        self.tokens = 0.0
        self.filled_ms = since_ms
        self.divided_ms = -math.inf
        self.probe_ms = math.inf

    def hold(self, part: Part, now_ms: float) -> None:
        """Set the part that this VM holds."""
        self.part = part
        self.probe_ms = math.inf
        self.fill(now_ms)

    def release(self, probe_interval_ms: float, now_ms: float, rng: random.Random) -> None:
        """Hold no part; a probe is due at a random moment of each interval."""
        self.part = None
        self.tokens = 0.0
        self.filled_ms = now_ms
        if self.probe_ms == math.inf or now_ms >= self.probe_ms + PROBE_SLOT_MS:
            self.probe_ms = now_ms + probe_interval_ms * rng.uniform(0.5, 1.5)

    def fill(self, now_ms: float) -> None:
        """Add the tokens of the time that has passed."""
        if self.part is not None:
            elapsed_s = (now_ms - self.filled_ms) / 1000.0
            self.tokens = min(self.part.burst, self.tokens + elapsed_s * self.part.rate_per_s)
        self.filled_ms = now_ms

    def has_token(self, now_ms: float) -> bool:
        """Return whether a request may be sent now."""
        if self.part is None:
            return self.probe_ms <= now_ms < self.probe_ms + PROBE_SLOT_MS
        self.fill(now_ms)
        return self.tokens >= 1.0

    def take(self) -> None:
        """Use a token for a request that is sent."""
        if self.part is None:
            self.probe_ms = -math.inf
            return
        self.tokens -= 1.0

    def wait_ms(self, now_ms: float) -> float:
        """Return the time in milliseconds until a request may be sent, infinite if unknown."""
        if self.has_token(now_ms):
            return 0.0
        if self.part is None:
            return math.inf
        return (1.0 - self.tokens) / self.part.rate_per_s * 1000.0

    def describe(self) -> dict:
        """Return its state for the state dump."""
        if self.part is None:
            return {'share_per_s': 0.0}
        return {
            'share_per_s': round(self.part.rate_per_s, 3),
            'burst': round(self.part.burst, 2),
            'tokens': round(self.tokens, 2),
        }


def find_bucket(state: ReplicaState, gateway: GatewayInterface) -> LimitBucket:
    """Return the bucket for a replica that names a limit, with this VM's current part of it."""
    notices = state.notices
    now_ms = gateway.now_ms
    if notices.bucket is None:
        notices.bucket = LimitBucket(notices.limited_since_ms)
    bucket = notices.bucket
    is_current = bucket.limit_per_s == notices.limit_per_s
    if is_current and now_ms - bucket.divided_ms < DIVISION_INTERVAL_MS:
        return bucket
    bucket.divided_ms = now_ms
    bucket.limit_per_s = notices.limit_per_s
    limit_per_s = max(MIN_LIMIT_PER_S, notices.limit_per_s)
    demands = list_demands(state, gateway)
    parts = divide_limit(limit_per_s, demands, state.entry.replica_id)
    part = parts.get(gateway.fleet.own.name)
    if part is not None and now_ms - gateway.started_ms >= LEARNING_MS:
        bucket.hold(part, now_ms)
        return bucket
    other_count = max(1, gateway.fleet.size - len(parts))
    interval_ms = 1000.0 * other_count / (PROBE_FRACTION * limit_per_s)
    bucket.release(max(MIN_PROBE_INTERVAL_MS, interval_ms), now_ms, gateway.rng)
    return bucket


def list_demands(state: ReplicaState, gateway: GatewayInterface) -> dict[str, int]:
    """
    Return the VMs that may hold a part of a replica's limit, with their requests per second.

    Parts of a gather are ordered from VMs in the replica's data centre, so only those need it.
    All VMs see the rates of the latest heartbeats; this one's own is therefore the announced one.
    """
    fleet = gateway.fleet
    demands = {}
    near_names = set()
    for member in (fleet.own, *fleet.alive(gateway.now_ms)):
        demand = round(member.rate_per_s)
        if not demand and member.name not in gateway.activity.active_names:
            continue
        demands[member.name] = demand
        if member.zone == state.entry.zone:
            near_names.add(member.name)
    if near_names and gateway.table.is_shard(state.entry.service):
        return {name: demands[name] for name in near_names}
    return demands


def is_open(state: ReplicaState, gateway: GatewayInterface) -> bool:
    """Return whether a replica may be sent a request now, by what it has stated about itself."""
    if gateway.now_ms < state.notices.paused_until_ms:
        return False
    if state.notices.limit_per_s is None:
        return True
    return find_bucket(state, gateway).has_token(gateway.now_ms)


def opens_in_ms(state: ReplicaState, gateway: GatewayInterface) -> float:
    """Return the time in milliseconds until `is_open` may hold, infinite if that is unknown."""
    wait_ms = max(0.0, state.notices.paused_until_ms - gateway.now_ms)
    if state.notices.limit_per_s is None:
        return wait_ms
    return max(wait_ms, find_bucket(state, gateway).wait_ms(gateway.now_ms))


def record_send(state: ReplicaState, kind: str, gateway: GatewayInterface) -> None:
    """Count a request that is sent to a replica, which uses a token if the replica has a limit."""
    state.notices.record_send(kind)
    if state.notices.limit_per_s is not None:
        find_bucket(state, gateway).take()
