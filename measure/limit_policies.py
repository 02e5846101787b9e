"""
Compares ways to divide a replica's limit among VMs, in virtual time.

Each VM gets requests for one limited replica at random moments, or all of them in bursts after
idle time, and announces every heartbeat how many it gets a second.
"""

import heapq
import random
from collections.abc import Callable

from beechbridge.gateway.replicas.limits import (
    DIVISION_INTERVAL_MS,
    FIXED_BURST,
    LimitBucket,
    Part,
    divide_limit,
)
from beechbridge.record import Record

from .notice_log import NoticeLog

DURATION_MS = 60_000.0
STABLE_MS = 4_000.0
DEMAND_FACTOR = 3.0
"""Requests for the replica as a multiple of its limit."""

RATE_WEIGHT = 0.2
"""Weight of a heartbeat interval in the announced rate."""

BURST_EVERY_MS = 10_000.0
OTHER_REPLICAS = 20
"""Replicas that get as many requests as the limited one: a VM announces the sum."""

SIZES = (8, 30, 100, 300, 1_000)
LIMITS_PER_S = (0.5, 1.1, 10.0, 40.0)

Divide = Callable[[float, dict[str, int], str], dict[str, Part]]


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


def assign_owner(limit_per_s: float, demands: dict[str, int], key: str) -> dict[str, Part]:
    """Give the whole limit to one VM, by rendezvous hashing."""
    owner = min(divide_limit(0.0, dict.fromkeys(demands, 0), key))
    return {owner: Part(limit_per_s, FIXED_BURST + limit_per_s)}


POLICIES: dict[str, Divide] = {
    'each alone': keep_alone,
    'equal': share_equally,
    'by demand': share_by_demand,
    'one owner': assign_owner,
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


def play(divide: Divide, limit_per_s: float, size: int, pattern: Pattern, seed: int) -> Outcome:
    """Play one pattern with one policy."""
    rng = random.Random(seed)
    names = [f'vm-{number}' for number in range(size)]
    announced = dict.fromkeys(names, 0)
    rates = dict.fromkeys(names, 0.0)
    counts = dict.fromkeys(names, 0)
    buckets = {name: LimitBucket(0.0) for name in names}
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
        bucket = buckets[name]
        if at_ms - bucket.divided_ms >= DIVISION_INTERVAL_MS:
            bucket.divided_ms = at_ms
            demands = {name: demand for name, demand in announced.items() if demand}
            part = divide(limit_per_s, demands or announced, 'replica').get(name)
            if part is None:
                bucket.release(float('inf'), at_ms, rng)
            else:
                bucket.hold(part, at_ms)
        if bucket.has_token(at_ms):
            bucket.take()
            log.arrivals.append((at_ms, name))
    used = len(log.arrivals) / (limit_per_s * DURATION_MS / 1000.0)
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


def main() -> None:
    """Print a table: highest window as a fraction of the allowed one, and use of the limit."""
    print('| VMs | limit | requests at | ' + ' | '.join(POLICIES) + ' |')
    print('|---|---|---|' + '---|' * len(POLICIES))
    for size in (8, 100, 1_000):
        for limit_per_s in (1.1, 10.0):
            for pattern in list_patterns(size):
                cells = []
                for divide in POLICIES.values():
                    outcome = play(divide, limit_per_s, size, pattern, seed=1)
                    cells.append(f'{outcome.highest_fraction:.2f}, {outcome.used_fraction:.0%}')
                row = (str(size), str(limit_per_s), pattern.name, *cells)
                print('| ' + ' | '.join(row) + ' |', flush=True)


if __name__ == '__main__':
    main()
