"""
Heartbeats between VMs, and the sharing of what the store says.

Bytes within a data centre are free and those between regions are dear. So a large fleet keeps a
mesh of heartbeats in each data centre; between data centres a few delegates tell each other of the
VMs that live in theirs. One VM of each data centre follows the store; the others ask it for what
is new. Any VM that hears of no better one follows the store itself.
"""

from ...core.hashing import rank_score
from ...record import Record
from ..actions import FollowStore, PullChanges, SendHeartbeat, WriteLine
from ..events import HeartbeatReceived
from ..models import Member
from ..surface import GatewaySurface

HEARTBEAT_MS = 400.0
FIRST_HEARTBEAT_MS = 50.0
"""The same until there is a routing table."""

FULL_EVERY = 8
"""Heartbeats of which one also names the other VMs that the sender knows."""

RELAY_EVERY = 5
"""Heartbeats of which one also goes to the other data centres of a large fleet."""

DELEGATES = 2
"""VMs of a data centre that tell the others of it."""

YOUNG_BEATS = (1, 4, 8, 12, 18, 26)
"""Heartbeats with which a starting VM asks the seeds for all that they know."""

SEED_EVERY = 10
"""Heartbeats of which one goes to unknown seeds: a cut fleet joins through them again."""

LARGEST_MESSAGE = 100
"""VMs named in one heartbeat: it must fit into a datagram."""

BEHIND_MS = 500.0
"""How long another VM may know a newer revision before it is asked: the store usually tells."""

PULL_EVERY_MS = 250.0
FIRST_FOLLOW_MS = 50.0
"""Time after a start in which another VM may offer what it knows before the store is read."""

FIRST_SUCCESSION_MS = 150.0
"""`SUCCESSION_MS` of a VM of a large fleet that knows nothing yet: it serves nobody till then."""

SUCCESSION_MS = 800.0
"""Time for which each better VM may still take the store up before this one does: two beats."""

FOLLOW_ROLE = 'store'
DELEGATE_ROLE = 'delegate'


class HeartbeatTimer(Record):
    """Fires when the next heartbeat is due."""

    __slots__ = ()


class Gossip:
    """
    State of one VM's heartbeats.

    :param beat_count: periodic heartbeats sent
    :param behind_since_ms: since when another VM is known to be ahead, None if none is
    :param is_following: whether this VM follows the store
    :param unserved_since_ms: since when no better VM reaches the store, None while one does
    """

    __slots__ = (
        'beat_count',
        'behind_since_ms',
        'is_following',
        'pulled_ms',
        'unserved_since_ms',
    )

    def __init__(self):
        self.beat_count = 0
        self.unserved_since_ms: float | None = None
        self.behind_since_ms: float | None = None
        self.pulled_ms = -PULL_EVERY_MS
        self.is_following = False


def handle_heartbeat(event: HeartbeatReceived, gateway: GatewaySurface) -> None:
    """Take a heartbeat in; ask its sender for changes if it knows more of the store."""
    if not event.members:
        return
    fleet = gateway.fleet
    sender = event.members[0]
    for member in event.members:
        fleet.take_member(member, gateway.now_ms, is_sender=member is sender)
    if event.wants_members:
        views = [fleet.own, *fleet.alive(gateway.now_ms)][:LARGEST_MESSAGE]
        send(gateway, [sender.host], views)
    note_revision(event, sender, gateway)


def note_revision(event: HeartbeatReceived, sender: Member, gateway: GatewaySurface) -> None:
    """Ask a VM for changes if it has known more for long enough."""
    gossip = gateway.gossip
    now_ms = gateway.now_ms
    version = gateway.table.version if gateway.table else 0
    if event.revision <= gateway.view.revision and event.table_version <= version:
        if sender.reaches_store:
            gateway.last_update_ms = now_ms
        return
    if gossip.behind_since_ms is None:
        gossip.behind_since_ms = now_ms
    relies_on_it = not gossip.is_following and gateway.fleet.is_near(sender)
    is_cut_off = gossip.is_following and not gateway.store.is_reached
    is_urgent = gateway.table is None or is_cut_off or relies_on_it
    if not is_urgent and now_ms - gossip.behind_since_ms < BEHIND_MS:
        return
    if now_ms - gossip.pulled_ms >= PULL_EVERY_MS:
        gossip.pulled_ms = now_ms
        gateway.act(PullChanges(sender.host, gateway.view.revision))


def note_caught_up(gateway: GatewaySurface) -> None:
    """Forget that another VM was ahead: changes have just been taken in."""
    gateway.gossip.behind_since_ms = None


def share_news(gateway: GatewaySurface) -> None:
    """Tell the VMs of this data centre at once that there is news."""
    send(
        gateway, [member.host for member in gateway.fleet.near(gateway.now_ms)], own_view(gateway)
    )


def fire_heartbeat(timer: HeartbeatTimer, gateway: GatewaySurface) -> None:
    """Send a heartbeat, write down who came and went, and see who follows the store."""
    period_ms = HEARTBEAT_MS if gateway.table else FIRST_HEARTBEAT_MS
    gateway.timers.arm(gateway.now_ms + period_ms * gateway.rng.uniform(0.9, 1.1), timer)
    send_heartbeat(gateway)
    note_changes(gateway)
    choose_follower(gateway)


def note_changes(gateway: GatewaySurface) -> None:
    """Write down which VMs fell silent or came back."""
    fleet = gateway.fleet
    fleet.forget_silent(gateway.now_ms)
    alive_names = {member.name for member in fleet.alive(gateway.now_ms)}
    for name in sorted(alive_names ^ fleet.alive_names):
        state = 'alive' if name in alive_names else 'silent'
        gateway.act(WriteLine('member_changed', {'member': name, 'state': state}))
    fleet.alive_names = alive_names


def choose_follower(gateway: GatewaySurface) -> None:
    """Follow the store unless a better VM of this data centre does, or may soon."""
    gossip = gateway.gossip
    fleet = gateway.fleet
    now_ms = gateway.now_ms
    if gateway.table is None and now_ms - gateway.started_ms < FIRST_FOLLOW_MS:
        return
    own_score = rank_score(FOLLOW_ROLE, fleet.own.name)
    better_count = 0
    is_served = False
    for member in fleet.near(now_ms):
        if rank_score(FOLLOW_ROLE, member.name) > own_score:
            better_count += 1
            is_served = is_served or member.reaches_store
    if not is_served and not gateway.store.is_reached:
        gateway.store.failed_ms = now_ms
    if is_served:
        gossip.unserved_since_ms = None
    elif gossip.unserved_since_ms is None:
        gossip.unserved_since_ms = now_ms
    is_wanted = not is_served and now_ms - gossip.unserved_since_ms >= better_count * SUCCESSION_MS
    if is_wanted == gossip.is_following:
        return
    follow_store(is_wanted, gateway)


def follow_store(is_wanted: bool, gateway: GatewaySurface) -> None:
    """Start or stop following the store."""
    gateway.gossip.is_following = is_wanted
    revision = gateway.view.revision if gateway.table else None
    gateway.act(FollowStore(is_wanted, revision))
    gateway.act(WriteLine('store_follower', {'is_following': is_wanted, 'revision': revision}))
    if not is_wanted:
        gateway.store.leave()


def own_view(gateway: GatewaySurface) -> list[Member]:
    """Return this VM as others should know it, with its heartbeat moved on."""
    own = gateway.fleet.own
    own.heartbeat += 1
    own.last_heartbeat_ms = gateway.now_ms
    own.is_serving = gateway.is_ready()
    own.rate_per_s = gateway.activity.measure(gateway.now_ms)
    own.reaches_store = gateway.gossip.is_following and gateway.store.is_reached
    return [own]


def send(
    gateway: GatewaySurface, hosts: list[str], members: list[Member], wants_members: bool = False
) -> None:
    """Send a heartbeat to some VMs."""
    if not hosts:
        return
    version = gateway.table.version if gateway.table else 0
    gateway.act(SendHeartbeat(hosts, members, version, gateway.view.revision, wants_members))


def send_heartbeat(gateway: GatewaySurface) -> None:
    """Tell other VMs that this one lives, and now and then whom it knows."""
    fleet = gateway.fleet
    now_ms = gateway.now_ms
    views = own_view(gateway)
    gateway.gossip.beat_count += 1
    beat = gateway.gossip.beat_count
    members = list(fleet.members.values())
    near_hosts = []
    far: list[Member] = []
    for member in members:
        is_told = fleet.own.rate_per_s > 0 and fleet.is_in_region(member)
        if fleet.is_mesh or fleet.is_near(member) or is_told:
            near_hosts.append(member.host)
        else:
            far.append(member)
    send(gateway, near_hosts, views)
    if beat % FULL_EVERY == 0:
        hosts = [member.host for member in members if fleet.is_mesh or fleet.is_near(member)]
        send(gateway, hosts, [*views, *fleet.alive(now_ms)][:LARGEST_MESSAGE])
    if far and beat % RELAY_EVERY == 0 and fleet.rank(DELEGATE_ROLE, now_ms) < DELEGATES:
        relay(gateway, far)
    ask_seeds(gateway, beat)


def relay(gateway: GatewaySurface, far: list[Member]) -> None:
    """Tell one VM of each other data centre who lives in this one."""
    fleet = gateway.fleet
    hosts_by_zone: dict[str, list[str]] = {}
    for member in far:
        if fleet.is_alive(member, gateway.now_ms):
            hosts_by_zone.setdefault(member.zone, []).append(member.host)
    hosts = [gateway.rng.choice(hosts) for _, hosts in sorted(hosts_by_zone.items())]
    send(gateway, hosts, [fleet.own, *fleet.near(gateway.now_ms)][:LARGEST_MESSAGE])


def ask_seeds(gateway: GatewaySurface, beat: int) -> None:
    """Ask the seeds for the fleet while this VM is young, and those that are unknown later on."""
    fleet = gateway.fleet
    if beat in YOUNG_BEATS:
        hosts = [host for host in fleet.seeds if host != fleet.own.host]
        send(gateway, hosts, [fleet.own], wants_members=True)
        return
    if beat % SEED_EVERY:
        return
    known_hosts = {member.host for member in fleet.alive(gateway.now_ms)}
    unknown = [host for host in fleet.seeds if host not in known_hosts and host != fleet.own.host]
    send(gateway, unknown, [fleet.own], wants_members=True)
