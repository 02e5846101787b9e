"""
Choice by expected work: which replica is expected to be done first with a request.

All times are passed in; the module has no clock, and its randomness comes from the caller.
"""

import math
from typing import TYPE_CHECKING

from .work_costs import Demand

if TYPE_CHECKING:
    from random import Random

    from .connections import Exchange
    from .upstreams import ReplicaState

ROUND_TRIP_MS = (0.5, 3.5, 17.0, 17.0)
"""Assumed network time by distance; what it is off by is learned as the speed of the replica."""

BUSY_RISK = 0.2
"""Share of a request's wait behind a busy slot that is expected while another slot is free: other
VMs send requests that this one does not know of."""

MIN_REMAINING_SHARE = 0.6
"""Least share of its work that a request in progress still needs: many run longer than usual."""

SILENT_FACTOR = 1.0
SILENT_BASE_MS = 5.0
"""Multiple of a request's work, and time on top, without any reply after the oldest request was
expected to be answered, from which a replica is taken to be in a pause or stuck; the more requests
are overdue, the sooner."""

MIN_SILENCE_MS = 100.0
"""Least time that a silent replica is expected to remain so: half of a usual pause."""

COLD_FACTOR = 1.6
SUSPECT_PENALTY_MS = 1_000.0
RATE_HALF_LIFE_MS = 3_000.0
"""Half-life of a replica's rejection share, as for the choice by latency."""

RESERVE_FACTOR = 0.25
"""Share of the service's mean cost added where a long, less urgent request would take the last
free slot."""

NEAR_EQUAL_FACTOR = 1.05
NEAR_EQUAL_MS = 1.0
"""Replicas up to this factor and time behind the first are nearly equal to it."""


def choose_soonest(
    by_distance: 'dict[int, list[ReplicaState]]',
    demand: Demand,
    limit_ms: float,
    now_ms: float,
    rng: 'Random',
) -> 'ReplicaState | None':
    """
    Return the replica that is expected to be done first, a near one if that is soon enough.

    :param limit_ms: expected time in milliseconds up to which a nearer replica is preferred
    """
    soonest = None
    candidates = []
    for distance in sorted(by_distance):
        nearest = [
            (estimate_completion_ms(state, demand, now_ms), state)
            for state in by_distance[distance]
        ]
        candidates += nearest
        chosen = choose_least_completion(nearest, rng)
        if chosen[0] <= limit_ms and chosen[1].is_reliable(now_ms):
            soonest = chosen
            break
        if soonest is None or chosen[0] < soonest[0]:
            soonest = chosen
    if soonest is None:
        return None
    demand.chosen = soonest
    demand.runner_up = None
    for candidate in candidates:
        if candidate is soonest:
            continue
        if demand.runner_up is None or candidate[0] < demand.runner_up[0]:
            demand.runner_up = candidate
    return soonest[1]


def known_slots(state: 'ReplicaState', now_ms: float) -> int:
    """
    Return how many requests a replica runs at once, by its latest report or by its entry.

    An entry may state 0 slots; a replica that serves requests has at least one.
    """
    load = state.work.load
    if load is not None and load.weight(now_ms) > 0.0:
        return load.slots
    return max(1, state.entry.slots)


def estimate_wait_ms(state: 'ReplicaState', demand: Demand, factor: float, now_ms: float) -> float:
    """
    Return the time in milliseconds that a request sent now waits for those before it.

    :param factor: time that work takes there as a multiple of the usual time
    """
    load = state.work.load
    others = demand.others
    slots = known_slots(state, now_ms)
    if load is not None:
        others += load.weight(now_ms) * (load.others - others)
    work_ms = others * demand.mean_ms * factor
    count = others + len(state.busy)
    if count <= 0.0:
        return 0.0
    for exchange in state.busy.values():
        own_ms = exchange.cost_ms * factor
        left_ms = exchange.sent_ms + exchange.expected_ms - now_ms
        work_ms += max(MIN_REMAINING_SHARE * own_ms, min(own_ms, left_ms))
    blocked = max(count - slots + 1.0, BUSY_RISK * count)
    return demand.wait_factor * work_ms / count * blocked / slots


def estimate_silence_ms(state: 'ReplicaState', factor: float, now_ms: float) -> float:
    """Return how long a replica is expected to remain silent, 0 unless a reply is overdue."""
    oldest: Exchange = next(iter(state.busy.values()))
    overdue_count = 0
    for exchange in state.busy.values():
        overdue_count += exchange.sent_ms + exchange.expected_ms < now_ms
    if not overdue_count:
        return 0.0
    silent_ms = now_ms - max(state.replied_ms, oldest.sent_ms + oldest.expected_ms)
    usual_ms = SILENT_FACTOR * oldest.cost_ms * factor / overdue_count + SILENT_BASE_MS
    if silent_ms <= usual_ms:
        return 0.0
    return max(MIN_SILENCE_MS, silent_ms)


def estimate_completion_ms(state: 'ReplicaState', demand: Demand, now_ms: float) -> float:
    """Return the time in milliseconds until the reply to a request that is sent now."""
    factor = state.work.time_factor(now_ms)
    expected_ms = ROUND_TRIP_MS[state.distance] + demand.cost_ms * factor
    if state.is_suspect(now_ms):
        # Its queue is unknown. Where all are suspect the nearest is tried, whichever has been
        # silent for longer: a gather waits longer for the reply of a distant one.
        expected_ms += SUSPECT_PENALTY_MS
    else:
        expected_ms += estimate_wait_ms(state, demand, factor, now_ms)
        if state.busy:
            expected_ms += estimate_silence_ms(state, factor, now_ms)
    if demand.is_long and takes_last_slot(state, demand, now_ms):
        expected_ms += RESERVE_FACTOR * demand.mean_ms
    if state.reject_share:
        share = state.reject_share * 0.5 ** ((now_ms - state.sampled_ms) / RATE_HALF_LIFE_MS)
        expected_ms *= 1.0 + demand.reject_factor * share
    if now_ms < state.cold_until_ms:
        expected_ms *= COLD_FACTOR
    return expected_ms


def takes_last_slot(state: 'ReplicaState', demand: Demand, now_ms: float) -> bool:
    """Return whether a request sent now would leave no slot of a replica free."""
    load = state.work.load
    is_known = load is not None and load.weight(now_ms) > 0.0
    others = load.others if is_known else demand.others
    slots = known_slots(state, now_ms)
    return slots - 1.0 <= others + len(state.busy) < slots


def choose_least_completion(
    candidates: 'list[tuple[float, ReplicaState]]', rng: 'Random'
) -> 'tuple[float, ReplicaState]':
    """
    Return a candidate that is expected to be done first or nearly so.

    The sooner it is done, the likelier it is chosen. VMs that see the same load report so do not
    all send to the same replica.

    :param candidates: expected completion time in milliseconds, and replica; at least one
    """
    best_ms = math.inf
    for candidate in candidates:
        best_ms = min(best_ms, candidate[0])
    limit_ms = NEAR_EQUAL_FACTOR * best_ms + NEAR_EQUAL_MS
    near = []
    total_ms = 0.0
    for candidate in candidates:
        if candidate[0] <= limit_ms:
            near.append(candidate)
            total_ms += limit_ms - candidate[0]
    if len(near) == 1:
        return near[0]
    draw_ms = rng.random() * total_ms
    for candidate in near:
        draw_ms -= limit_ms - candidate[0]
        if draw_ms < 0.0:
            return candidate
    return near[-1]
