"""
Gossip: heartbeats between VMs, and propagation of store changes.

Traffic within a data centre is free; traffic between regions is expensive. A large fleet therefore
sends heartbeats in a full mesh only within each data centre, and a few delegates per data centre
relay its live members to one VM of each other one, which forwards them to its neighbours. One VM
of each data centre follows the store and the others pull changes from it. A VM that knows of no
follower follows the store itself.
"""

from ...core.hashing import MAX_RANK_SCORE, rank_score
from ...record import Record
from ..actions import FollowStore, SendHeartbeat, WriteLine
from ..events import DatagramUnreadable, HeartbeatReceived
from ..interface import GatewayInterface
from ..member import Member
from ..replicas.decoding import log_unreadable_message
from .pulls import pull_if_behind
from .suspect_reports import send_all_reports

HEARTBEAT_MS = 400.0
INITIAL_HEARTBEAT_MS = 50.0
"""Heartbeat interval until there is a routing table."""

FULL_LIST_EVERY_BEATS = 8
"""Interval, in heartbeats, at which the members that the sender knows are listed: in a large fleet
to one neighbour, so that VMs learn of each other even if a start went unheard."""

RELAY_EVERY_BEATS = 5
"""Interval, in heartbeats, at which delegates of a large fleet relay to other data centres."""

DELEGATE_COUNT = 2
"""VMs of a data centre that relay its members to the other data centres."""

BOOTSTRAP_BEATS = (1, 4, 8, 12, 18, 26)
"""
Heartbeats after a start at which a VM requests the full member list: from all seeds until it has
heard of a VM, then from one after the other.
"""

SEED_EVERY_BEATS = 10
"""Interval, in heartbeats, at which unknown seeds get one, so that a partitioned fleet rejoins."""

MAX_MEMBERS_PER_MESSAGE = 100
"""Members listed in one heartbeat: it must fit into a datagram."""

INITIAL_FOLLOW_DELAY_MS = 50.0
"""Time after a start in which changes may come from another VM before the store is read."""

FOLLOW_SPREAD_MS = 150.0
"""Time over which the VMs of a data centre that start together begin to read the store, in the
order of their rank: the first one tells the others, and then has changes for them."""

LONE_FOLLOW_DELAY_MS = 300.0
"""The same delay for a VM that has not heard of any other: its seeds may be starting too."""

FIRST_ANSWER_MS = 300.0
"""Time for which a VM that starts and has begun to follow the store is taken to reach it."""

FAILOVER_DELAY_MS = 800.0
"""Time that each higher-ranked VM has to follow the store before this one does: two heartbeats."""

FOLLOW_ROLE = 'store'
DELEGATE_ROLE = 'delegate'


class HeartbeatTimer(Record):
    """Fires when the next heartbeat is due."""

    __slots__ = ()


class Gossip:
    """
    Gossip state of one VM.

    :param beat_count: number of periodic heartbeats sent
    :param is_following: whether this VM follows the store
    :param no_follower_since_ms: time in milliseconds since which no VM of this data centre that
        would follow instead of this one reaches the store, None while one does
    :param following_since_ms: time in milliseconds when this VM began to follow the store
    :param was_active: whether the last heartbeat went to the whole region
    """

    __slots__ = (
        'beat_count',
        'following_since_ms',
        'is_following',
        'no_follower_since_ms',
        'was_active',
    )

    def __init__(self):
        self.beat_count = 0
        self.following_since_ms = 0.0
        self.was_active = False
        self.no_follower_since_ms: float | None = None
        self.is_following = False


def handle_heartbeat_received(event: HeartbeatReceived, gateway: GatewayInterface) -> None:
    """Apply the members of a heartbeat; pull changes if its sender has a newer revision."""
    if not event.members:
        return
    fleet = gateway.fleet
    sender = event.members[0]
    for failure in event.unreadable:
        gateway.counters.add('members_unreadable')
        log_unreadable_message(failure, failure.source, gateway)
    for member in event.members:
        fleet.apply_member(member, gateway.now_ms, is_sender=member is sender)
    if event.wants_members:
        send_list(gateway, [sender.host], fleet.alive(gateway.now_ms))
        send_all_reports([sender.host], gateway)
    forward_relay(event, gateway)
    pull_if_behind(event, sender, gateway)


def handle_datagram_unreadable(event: DatagramUnreadable, gateway: GatewayInterface) -> None:
    """Count and log a datagram that cannot be read."""
    gateway.counters.add('heartbeats_unreadable')
    log_unreadable_message(event.failure, f'datagram of {event.host}', gateway)


def announce_revision(gateway: GatewayInterface) -> None:
    """Send the new revision to the VMs of this data centre without waiting for the heartbeat."""
    send(
        gateway,
        [member.host for member in gateway.fleet.zone_peers(gateway.now_ms)],
        refresh_own_member(gateway),
    )


def announce_change(gateway: GatewayInterface) -> None:
    """Tell the others at once that this VM is ready, or reaches replicas no more, or again."""
    send(gateway, direct_hosts(gateway), refresh_own_member(gateway))


def fire_heartbeat(timer: HeartbeatTimer, gateway: GatewayInterface) -> None:
    """Send a heartbeat, log changes of membership, and elect the store follower."""
    period_ms = HEARTBEAT_MS if gateway.table else INITIAL_HEARTBEAT_MS
    gateway.timers.arm(gateway.now_ms + period_ms * gateway.rng.uniform(0.9, 1.1), timer)
    send_heartbeat(gateway)
    log_member_changes(gateway)
    elect_follower(gateway)


def log_member_changes(gateway: GatewayInterface) -> None:
    """Log which VMs became silent or alive again."""
    fleet = gateway.fleet
    fleet.evict_silent(gateway.now_ms)
    alive_names = {member.name for member in fleet.alive(gateway.now_ms)}
    for name in sorted(alive_names ^ fleet.alive_names):
        state = 'alive' if name in alive_names else 'silent'
        gateway.act(WriteLine('member_changed', {'member': name, 'state': state}))
    returned = sorted(alive_names - fleet.alive_names)
    fleet.alive_names = alive_names
    if gateway.suspicions.by_digest:
        send_all_reports([fleet.members[name].host for name in returned], gateway)


def elect_follower(gateway: GatewayInterface) -> None:
    """
    Follow the store unless another VM of this data centre does, or may still do so.

    A follower keeps the job, whatever its rank: only of two that follow does the lower one stop.
    """
    gossip = gateway.gossip
    fleet = gateway.fleet
    now_ms = gateway.now_ms
    if gateway.table is None and now_ms - gateway.started_ms < first_follow_delay_ms(gateway):
        return
    own_score = rank_score(FOLLOW_ROLE, fleet.own.name)
    higher_ranked_count = 0
    has_follower = False
    for member in fleet.zone_peers(now_ms):
        is_higher_ranked = rank_score(FOLLOW_ROLE, member.name) > own_score
        higher_ranked_count += is_higher_ranked
        if member.reaches_store and (is_higher_ranked or not gossip.is_following):
            has_follower = True
    if not has_follower and not gateway.store.is_reached:
        gateway.store.last_failure_ms = now_ms
    if has_follower:
        gossip.no_follower_since_ms = None
    elif gossip.no_follower_since_ms is None:
        gossip.no_follower_since_ms = now_ms
    should_follow = (
        not has_follower
        and now_ms - gossip.no_follower_since_ms >= higher_ranked_count * FAILOVER_DELAY_MS
    )
    if should_follow == gossip.is_following:
        return
    follow_store(should_follow, gateway)


def first_follow_delay_ms(gateway: GatewayInterface) -> float:
    """Return how long after its start a VM without a table waits before it reads the store."""
    fleet = gateway.fleet
    if not fleet.members:
        return LONE_FOLLOW_DELAY_MS
    rank_fraction = 1.0 - rank_score(FOLLOW_ROLE, fleet.own.name) / MAX_RANK_SCORE
    return INITIAL_FOLLOW_DELAY_MS + rank_fraction * FOLLOW_SPREAD_MS


def follow_store(should_follow: bool, gateway: GatewayInterface) -> None:
    """Start or stop following the store."""
    gateway.gossip.is_following = should_follow
    gateway.gossip.following_since_ms = gateway.now_ms
    revision = gateway.view.revision if gateway.table else None
    gateway.act(FollowStore(should_follow, revision, gateway.view.epoch))
    gateway.act(WriteLine('store_follower', {'is_following': should_follow, 'revision': revision}))
    if not should_follow:
        gateway.store.reset()
        return
    announce_revision(gateway)


def refresh_own_member(gateway: GatewayInterface) -> list[Member]:
    """Update this VM's own member record with a new heartbeat; return it in a list."""
    own = gateway.fleet.own
    own.heartbeat += 1
    own.last_heartbeat_ms = gateway.now_ms
    own.is_serving = gateway.is_ready()
    own.rate_per_s = gateway.activity.measure(gateway.now_ms)
    own.is_active = gateway.activity.active_since_ms is not None
    own.reaches_replicas = not gateway.reach.is_lost
    gossip = gateway.gossip
    # Only at a start: later, VMs that wait for their turn would wait for the answer too.
    is_first_answer_due = (
        gateway.table is None and gateway.now_ms - gossip.following_since_ms < FIRST_ANSWER_MS
    )
    own.reaches_store = gossip.is_following and (gateway.store.is_reached or is_first_answer_due)
    return [own]


def send(
    gateway: GatewayInterface, hosts: list[str], members: list[Member], wants_members: bool = False
) -> None:
    """Send a heartbeat to the given hosts."""
    if not hosts:
        return
    version = gateway.table.version if gateway.table else 0
    view = gateway.view
    sent_ms = gateway.now_ms if gateway.fleet.states_ages else None
    gateway.act(
        SendHeartbeat(hosts, members, version, view.revision, wants_members, view.epoch, sent_ms)
    )


def send_heartbeat(gateway: GatewayInterface) -> None:
    """Send the periodic heartbeat, at intervals with the members that this VM knows."""
    own_members = refresh_own_member(gateway)
    gateway.gossip.beat_count += 1
    beat = gateway.gossip.beat_count
    send(gateway, direct_hosts(gateway), own_members)
    gateway.gossip.was_active = gateway.fleet.own.is_active
    if beat % FULL_LIST_EVERY_BEATS == 0:
        share_list(gateway)
    if beat % RELAY_EVERY_BEATS == 0:
        relay(gateway)
    ask_seeds(gateway, beat)


def direct_hosts(gateway: GatewayInterface) -> list[str]:
    """Return the hosts of the VMs that get every heartbeat of this one."""
    fleet = gateway.fleet
    # Once more after it was active, or its region would still wait for its heartbeats.
    covers_region = fleet.own.is_active or gateway.gossip.was_active
    hosts = []
    for member in fleet.members.values():
        is_covered = covers_region and fleet.is_in_region(member)
        if fleet.is_mesh or fleet.is_in_zone(member) or is_covered:
            hosts.append(member.host)
    return hosts


def share_list(gateway: GatewayInterface) -> None:
    """Send all live members to the others of a small fleet, or to one neighbour."""
    fleet = gateway.fleet
    members = fleet.members if fleet.is_mesh else fleet.neighbours
    hosts = [member.host for member in members.values()]
    if hosts and not fleet.is_mesh:
        hosts = [gateway.rng.choice(hosts)]
    send_list(gateway, hosts, fleet.alive(gateway.now_ms))


def relay(gateway: GatewayInterface) -> None:
    """As a delegate, send the live members of this data centre to one VM of each other one."""
    fleet = gateway.fleet
    now_ms = gateway.now_ms
    if fleet.is_mesh or fleet.rank(DELEGATE_ROLE, now_ms) >= DELEGATE_COUNT:
        return
    hosts_by_zone: dict[str, list[str]] = {}
    for member in fleet.alive(now_ms):
        if not fleet.is_in_zone(member):
            hosts_by_zone.setdefault(member.zone, []).append(member.host)
    hosts = [gateway.rng.choice(hosts) for _, hosts in sorted(hosts_by_zone.items())]
    send_list(gateway, hosts, fleet.zone_peers(now_ms))


def forward_relay(event: HeartbeatReceived, gateway: GatewayInterface) -> None:
    """Forward the members of another data centre, which its delegate sent, to the neighbours."""
    fleet = gateway.fleet
    members = event.members
    if fleet.is_mesh or event.wants_members or fleet.is_in_zone(members[0]):
        return
    # An active VM sends its own record to its whole region itself.
    if len(members) == 1 and fleet.is_in_region(members[0]):
        return
    if len({member.zone for member in members}) > 1:
        return
    hosts = [member.host for member in fleet.zone_peers(gateway.now_ms)]
    send_list(gateway, hosts, members)


def send_list(gateway: GatewayInterface, hosts: list[str], members: list[Member]) -> None:
    """Send a list of other members, in as many messages as it takes."""
    size = MAX_MEMBERS_PER_MESSAGE - 1
    for start in range(0, max(1, len(members)), size):
        send(gateway, hosts, [gateway.fleet.own, *members[start : start + size]])


def ask_seeds(gateway: GatewayInterface, beat: int) -> None:
    """Request the member list from seeds after a start, later from those not known alive."""
    fleet = gateway.fleet
    is_alone = not fleet.members and beat <= BOOTSTRAP_BEATS[-1]
    if is_alone or beat in BOOTSTRAP_BEATS:
        hosts = [host for host in fleet.seeds if host != fleet.own.host]
        if hosts and not is_alone:
            hosts = [hosts[BOOTSTRAP_BEATS.index(beat) % len(hosts)]]
        send(gateway, hosts, [fleet.own], wants_members=True)
        return
    if beat % SEED_EVERY_BEATS:
        return
    known_hosts = {member.host for member in fleet.alive(gateway.now_ms)}
    unknown = [host for host in fleet.seeds if host not in known_hosts and host != fleet.own.host]
    send(gateway, unknown, [fleet.own], wants_members=True)
