"""
Compares ways to divide a replica's limit among VMs, in virtual time.

Each VM gets requests for one limited replica at random moments, or all of them in bursts after
idle time, and announces every heartbeat how many it gets a second.
"""

import heapq
import math
import random
from collections.abc import Callable

from beechbridge.core.hashing import MAX_RANK_SCORE, rank_score
from beechbridge.gateway.replicas.limits import FIXED_BURST, LimitBucket
from beechbridge.record import Record

from .notice_log import NoticeLog

DIVISION_INTERVAL_MS = 400.0
MIN_DEMAND_FRACTION = 0.1
"""Demand that a holder is taken to have at least, as a fraction of the holders' mean."""

DURATION_MS = 60_000.0
STABLE_MS = 4_000.0
DEMAND_FACTOR = 3.0
"""Requests for the replica as a multiple of its limit."""

RATE_WEIGHT = 0.2
"""Weight of a heartbeat interval in the announced rate."""

BURST_EVERY_MS = 10_000.0
OTHER_REPLICAS = 20
"""Replicas that get as many requests as the limited one: a VM announces the sum."""

SIZES = (8, 30, 100, 1_000)
LIMITS_PER_S = (1.1, 10.0)


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
    parts = {}
    for name in holders:
        weight = (demands[name] + floor) / total
        spare_burst = max(0.0, burst - len(holders))
        parts[name] = Part(weight * limit_per_s, 1.0 + weight * spare_burst)
    return parts


def hold_order(key: str, name: str, demand: int) -> tuple[float, str]:
    """Return the position of a VM among the candidates for a part of a replica's limit."""
    # Demand in powers of two, so that the order does not change with every heartbeat.
    weight = 2.0 ** (demand + 1).bit_length()
    draw = (rank_score(key, name) + 1) / (MAX_RANK_SCORE + 2)
    return -math.log(draw) / weight, name


Divide = Callable[[float, dict[str, int], str], dict[str, Part]]


class PartBucket:
    """Token bucket of one VM for its part, None if it holds none."""

    __slots__ = ('divided_ms', 'filled_ms', 'part', 'tokens')

    def __init__(self):
        self.part: Part | None = None
        self.tokens = 0.0
        self.filled_ms = 0.0
        self.divided_ms = -math.inf

    def take(self, now_ms: float) -> bool:
        """Use a token if there is one; return whether there was."""
        elapsed_s, self.filled_ms = (now_ms - self.filled_ms) / 1000.0, now_ms
        if self.part is None:
            self.tokens = 0.0
            return False
        self.tokens = min(self.part.burst, self.tokens + elapsed_s * self.part.rate_per_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def keep_alone(limit_per_s: float, demands: dict[str, int], key: str) -> dict[str, Part]:
    """Let each VM keep the limit by itself."""
    return {name: Part(limit_per_s, 1.0) for name in demands}


def share_equally(limit_per_s: float, demands: dict[str, int], key: str) -> dict[str, Part]:
    """Give each VM the same part."""
    return {name: Part(limit_per_s / len(demands), 1.0) for name in demands}


def share_by_demand(limit_per_s: float, demands: dict[str, int], key: str) -> dict[str, Part]:
    """Give each VM a part in proportion to its demand, however small."""
    total = sum(demands.values()) + 0.1 * len(demands)
    return {name: Part(limit_per_s * (d + 0.1) / total, 1.0) for name, d in demands.items()}


POLICIES: dict[str, Divide] = {
    'each alone': keep_alone,
    'equal': share_equally,
    'by demand': share_by_demand,
    'holders': divide_limit,
}


class Pattern(Record):
    """
    How requests arrive.

    :param busy_count: number of VMs that get requests
    :param is_bursty: whether all of them arrive in bursts, after idle time
    """

    __slots__ = ('busy_count', 'is_bursty', 'name')

    def __init__(self, name: str, busy_count: int, is_bursty: bool = False):
        self.name = name
        self.busy_count = busy_count
        self.is_bursty = is_bursty


class Outcome(Record):
    """
    What a policy achieved.

    :param highest_fraction: highest count in a window as a fraction of what is allowed
    :param used_fraction: requests sent as a fraction of the limit
    """

    __slots__ = ('highest_fraction', 'used_fraction')

    def __init__(self, highest_fraction: float, used_fraction: float):
        self.highest_fraction = highest_fraction
        self.used_fraction = used_fraction


def list_arrivals(limit_per_s: float, pattern: Pattern, rng: random.Random) -> list[tuple]:
    """Return the time and the number of the VM of each request."""
    rate_per_ms = DEMAND_FACTOR * limit_per_s / 1000.0
    arrivals = []
    at_ms = rng.expovariate(rate_per_ms)
    while at_ms < DURATION_MS:
        moment_ms = at_ms
        if pattern.is_bursty:
            moment_ms = at_ms - at_ms % BURST_EVERY_MS + rng.uniform(0.0, 100.0)
        arrivals.append((moment_ms, rng.randrange(pattern.busy_count)))
        at_ms += rng.expovariate(rate_per_ms)
    return sorted(arrivals)


def play_parts(
    divide: Divide, limit_per_s: float, size: int, pattern: Pattern, seed: int
) -> Outcome:
    """Play one pattern with a policy that gives each VM a part, which it uses alone."""
    rng = random.Random(seed)
    names = [f'vm-{number}' for number in range(size)]
    announced = dict.fromkeys(names, 0)
    rates = dict.fromkeys(names, 0.0)
    counts = dict.fromkeys(names, 0)
    buckets: dict[str, PartBucket] = {}
    log = NoticeLog(0.0, limit_per_s)
    log.told_ms = dict.fromkeys(names, 0.0)
    beats = [
        (rng.uniform(0.0, DIVISION_INTERVAL_MS), name) for name in names[: pattern.busy_count]
    ]
    heapq.heapify(beats)
    for at_ms, number in list_arrivals(limit_per_s, pattern, rng):
        while beats[0][0] <= at_ms:
            beat_ms, name = heapq.heappop(beats)
            per_s = OTHER_REPLICAS * counts[name] * 1000.0 / DIVISION_INTERVAL_MS
            rates[name] += RATE_WEIGHT * (per_s - rates[name])
            announced[name] = round(rates[name])
            counts[name] = 0
            heapq.heappush(beats, (beat_ms + DIVISION_INTERVAL_MS, name))
        name = names[number]
        counts[name] += 1
        bucket = buckets.setdefault(name, PartBucket())
        if at_ms - bucket.divided_ms >= DIVISION_INTERVAL_MS:
            bucket.divided_ms = at_ms
            demands = {other: demand for other, demand in announced.items() if demand}
            bucket.part = divide(limit_per_s, demands or announced, 'replica').get(name)
        if bucket.take(at_ms):
            log.arrivals.append((at_ms, name))
    return judge(log)


def play_keeper(limit_per_s: float, pattern: Pattern, seed: int) -> Outcome:
    """Play one pattern with one bucket, of a keeper that all VMs ask."""
    rng = random.Random(seed)
    bucket = LimitBucket(limit_per_s, 0.0)
    log = NoticeLog(0.0, limit_per_s)
    log.told_ms = {'fleet': 0.0}
    for at_ms, _ in list_arrivals(limit_per_s, pattern, rng):
        bucket.fill(limit_per_s, at_ms)
        if bucket.wait_ms() <= 0.0:
            bucket.take()
            log.arrivals.append((at_ms, 'fleet'))
    return judge(log)


def judge(log: NoticeLog) -> Outcome:
    """Return the outcome of a play."""
    used = len(log.arrivals) / (log.limit_per_s * DURATION_MS / 1000.0)
    return Outcome(log.highest_count(STABLE_MS) / log.allowed_count, used)


def list_patterns(size: int) -> list[Pattern]:
    """Return the patterns that are played at a size."""
    few = min(size, 12)
    return [
        Pattern('one VM', 1),
        Pattern('few VMs', few),
        Pattern('all VMs', size),
        Pattern('all VMs, bursts', size, is_bursty=True),
    ]


def describe(outcome: Outcome) -> str:
    """Return a cell of the table."""
    return f'{outcome.highest_fraction:.2f}, {outcome.used_fraction:.0%}'


def main() -> None:
    """Print a table: highest window as a fraction of the allowed one, and use of the limit."""
    print('| VMs | limit | requests at | ' + ' | '.join((*POLICIES, 'keeper')) + ' |')
    print('|---|---|---|' + '---|' * (len(POLICIES) + 1))
    for size in SIZES:
        for limit_per_s in LIMITS_PER_S:
            for pattern in list_patterns(size):
                cells = []
                for divide in POLICIES.values():
                    cells.append(describe(play_parts(divide, limit_per_s, size, pattern, seed=1)))
                cells.append(describe(play_keeper(limit_per_s, pattern, seed=1)))
                row = (str(size), str(limit_per_s), pattern.name, *cells)
                print('| ' + ' | '.join(row) + ' |', flush=True)


if __name__ == '__main__':
    main()
