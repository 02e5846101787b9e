"""
Judges whether this VM reaches replicas, and acts on it.

Several replicas are silent and no other one has replied since, or connections to several could not
be opened and none was since: that is doubtful, and replicas of other services are probed with a
connection that carries nothing. If none accepts one, the links of this VM are taken for lost: the
other VMs are told, requests go through them (`relays`), and probes go on until a replica accepts
one. At rest nothing is probed.
"""

from ..actions import ProbeReplica, WriteLine
from ..events import ProbeEnded
from ..fleet.gossip import announce_change
from ..interface import GatewayInterface
from ..replicas.reach import (
    OVERDUE_MS,
    PROBE_INTERVAL_MS,
    SILENT_REPLICAS,
    ReachTimer,
    describe_age,
    schedule_check,
)
from ..replicas.upstreams import AGGREGATOR_DISTANCE, ReplicaState
from .evidence import settle_probe
from .relays import relay_all

CHECK_INTERVAL_MS = 40.0
LATE_CHECK_MS = 30.0
"""Delay of a check beyond which the process was held up, and replies may wait to be read."""

PROBE_WAIT_MS = 100.0
"""Time in which a replica accepts a probe: several round trips between regions."""

PROBE_COUNT = 3
MAX_PROBES_PER_ROUND = 12
"""Replicas that are probed in a round if they refuse: many may have ended at once."""

MIN_DOUBT_PAUSE_MS = 500.0
MAX_DOUBT_PAUSE_MS = 4_000.0
"""Range of the pause after a doubt that was not confirmed. It doubles: probes have a cost."""

RELAPSE_MS = 3_000.0
"""Time after links came back within which another loss means that they come and go."""

MAX_NEEDED_ROUNDS = 8
"""Rounds of probes that links which come and go must answer, at most: two seconds."""


def fire_reach_check(timer: ReachTimer, gateway: GatewayInterface) -> None:
    """Check the reach, unless the process was held up and could not read replies."""
    reach = gateway.reach
    if gateway.now_ms - reach.check_due_ms > LATE_CHECK_MS:
        schedule_check(CHECK_INTERVAL_MS, gateway)
        return
    if reach.is_lost:
        check_lost(gateway)
    elif reach.is_doubted:
        check_doubt(gateway)
    else:
        check_silence(gateway)


def check_silence(gateway: GatewayInterface) -> None:
    """Begin to doubt the reach if several replicas are silent, or none takes connections."""
    reach = gateway.reach
    if not has_exchanges(gateway):
        reach.check_due_ms = None
        return
    quiet_ms = gateway.now_ms - reach.replied_ms
    schedule_check(max(CHECK_INTERVAL_MS, OVERDUE_MS - quiet_ms), gateway)
    if gateway.now_ms < reach.next_doubt_ms:
        return
    usable_count = sum(state.is_usable for state in gateway.upstreams.by_id.values())
    needed_count = max(1, min(SILENT_REPLICAS, usable_count))
    if len(reach.unconnected) >= needed_count:
        doubt_reach(list(reach.unconnected.values()), gateway, wants_connection=True)
        return
    if quiet_ms < OVERDUE_MS:
        return
    silent = reach.find_silent(gateway)
    if len(silent) >= needed_count:
        doubt_reach(silent, gateway, wants_connection=False)


def doubt_reach(
    silent: list[ReplicaState], gateway: GatewayInterface, wants_connection: bool
) -> None:
    """Probe other replicas than those that are silent, to decide whether any is reached."""
    reach = gateway.reach
    reach.is_doubted = True
    reach.wants_connection = wants_connection
    send_probes(silent, gateway)
    gateway.counters.add('reach_doubts')
    fields = {
        'replicas': len(silent),
        'services': len({state.entry.service for state in silent}),
        'failed': len(reach.failed),
        'unconnected': len(reach.unconnected),
        'reply_age_ms': describe_age(reach.replied_ms, gateway.now_ms),
    }
    gateway.act(WriteLine('replicas_silent', fields))


def has_exchanges(gateway: GatewayInterface) -> bool:
    """Return whether an exchange with a replica is under way."""
    for exchange in gateway.upstreams.exchanges.values():
        if exchange.replica.distance != AGGREGATOR_DISTANCE:
            return True
    return False


def check_doubt(gateway: GatewayInterface) -> None:
    """Decide about a doubt once a replica has answered, or has had the time to."""
    reach = gateway.reach
    if reach.was_answered:
        reach.is_doubted = False
        doubled_ms = max(MIN_DOUBT_PAUSE_MS, 2 * reach.doubt_pause_ms)
        was_recent = gateway.now_ms - reach.next_doubt_ms < MAX_DOUBT_PAUSE_MS
        reach.doubt_pause_ms = (
            min(MAX_DOUBT_PAUSE_MS, doubled_ms) if was_recent else MIN_DOUBT_PAUSE_MS
        )
        reach.next_doubt_ms = gateway.now_ms + reach.doubt_pause_ms
    elif gateway.now_ms - reach.round_ms >= PROBE_WAIT_MS:
        lose_reach(gateway)
    schedule_check(CHECK_INTERVAL_MS, gateway)


def lose_reach(gateway: GatewayInterface) -> None:
    """Believe that this VM reaches no replica: tell the others, and let them serve its callers."""
    reach = gateway.reach
    has_relapsed = gateway.now_ms - reach.changed_ms < RELAPSE_MS
    reach.needed_rounds = min(MAX_NEEDED_ROUNDS, 2 * reach.needed_rounds) if has_relapsed else 1
    reach.is_doubted = False
    reach.is_lost = True
    reach.good_rounds = 0
    change_belief('reach_lost', gateway)
    send_probes([], gateway)
    relay_all(gateway)


def check_lost(gateway: GatewayInterface) -> None:
    """Believe that replicas are reached again once enough rounds of probes were answered."""
    reach = gateway.reach
    is_round_over = gateway.now_ms - reach.round_ms >= PROBE_INTERVAL_MS
    if reach.was_answered and reach.good_rounds + 1 >= reach.needed_rounds:
        regain_reach(gateway)
        return
    if is_round_over:
        reach.good_rounds = reach.good_rounds + 1 if reach.was_answered else 0
        send_probes([], gateway)
    schedule_check(CHECK_INTERVAL_MS, gateway)


def regain_reach(gateway: GatewayInterface) -> None:
    """Believe that this VM reaches replicas; what it learnt of them meanwhile does not count."""
    reach = gateway.reach
    reach.is_lost = False
    reach.failed.clear()
    for state in gateway.upstreams.by_id.values():
        state.clear_suspicion()
    change_belief('reach_regained', gateway)
    schedule_check(CHECK_INTERVAL_MS, gateway)


def change_belief(subject: str, gateway: GatewayInterface) -> None:
    """Log a change of belief with its evidence, and tell the other VMs."""
    reach = gateway.reach
    gateway.counters.add(subject)
    others = [
        member
        for member in gateway.fleet.serving(gateway.now_ms)
        if member is not gateway.fleet.own
    ]
    fields = {
        **reach.describe(gateway.now_ms),
        'others': len(others),
        'others_reaching': sum(member.reaches_replicas for member in others),
    }
    reach.changed_ms = gateway.now_ms
    gateway.act(WriteLine(subject, fields))
    announce_change(gateway)


def send_probes(silent: list[ReplicaState], gateway: GatewayInterface) -> None:
    """Begin a round of probes, if possible of other replicas than those that are silent."""
    reach = gateway.reach
    reach.round_ms = gateway.now_ms
    reach.probes.clear()
    skipped = {id(state) for state in silent}
    candidates = [state for state in gateway.upstreams.by_id.values() if state.is_usable]
    gateway.rng.shuffle(candidates)
    candidates.sort(key=lambda state: id(state) in skipped)
    services: set[str] = set()
    others = []
    reach.candidates = []
    for state in candidates:
        if state.entry.service in services:
            others.append(state)
            continue
        services.add(state.entry.service)
        reach.candidates.append(state)
    reach.candidates.extend(others)
    del reach.candidates[MAX_PROBES_PER_ROUND:]
    for _ in range(PROBE_COUNT):
        probe_next(gateway)


def probe_next(gateway: GatewayInterface) -> None:
    """Probe the next replica of a round, if one is left."""
    reach = gateway.reach
    if not reach.candidates:
        return
    state = reach.candidates.pop(0)
    probe_id = gateway.upstreams.new_id()
    reach.probes.add(probe_id)
    gateway.counters.add('reach_probes')
    gateway.act(ProbeReplica(probe_id, state.entry.host, state.entry.port))


def handle_probe_ended(event: ProbeEnded, gateway: GatewayInterface) -> None:
    """
    Take note of the end of a probe; those of requests under suspicion are evidence.

    A replica that refuses it may just have ended, so that another one is probed.
    """
    reach = gateway.reach
    if event.probe_id not in reach.probes:
        settle_probe(event, gateway)
        return
    reach.probes.discard(event.probe_id)
    if event.is_open:
        reach.record_connection(gateway.now_ms)
    elif event.is_refused:
        reach.refused_ms = gateway.now_ms
        if not reach.was_answered:
            probe_next(gateway)
