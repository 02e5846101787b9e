"""The VMs of the fleet: who lives, who serves, and which of them callers should use."""

from ..record import Record
from .actions import PullChanges, SendHeartbeat, WriteLine
from .events import HeartbeatArrived
from .models import Member

HEARTBEAT_MS = 400.0
FANOUT = 10
"""VMs that each heartbeat goes to: all of a small fleet, a random part of a large one."""

ALIVE_MS = 1_600.0
"""Age of a heartbeat from which a VM of a small fleet is not given to callers: three lost ones."""

ALIVE_GOSSIP_MS = 4_000.0
"""The same where heartbeats arrive through other VMs."""

REMEMBERED_MS = 30_000.0
"""How long a silent VM counts for shares: it may be cut off and still serve."""

LARGEST_MESSAGE = 100
"""VMs named in one heartbeat."""

FULL_EVERY = 8
"""Heartbeats of which one names the other VMs, too, where each VM hears all others itself."""

SEED_MS = 2_000.0
"""How often the seeds are tried, too, where some are not known as members."""

BEHIND_MS = 500.0
"""How long another VM may know a newer revision before it is asked: the store usually tells."""


class HeartbeatTimer(Record):
    """Fires when the next heartbeat is due."""

    __slots__ = ()


class Fleet:
    """
    Membership of one VM's fleet.

    :param own: this process
    :param seeds: hosts that may know the fleet
    :param regions: region by data centre
    """

    __slots__ = (
        'alive_names',
        'behind_since_ms',
        'members',
        'own',
        'regions',
        'seeds',
        'seeds_tried_ms',
    )

    def __init__(self, own: Member, seeds: tuple[str, ...], regions: dict[str, str]):
        self.own = own
        self.seeds = seeds
        self.regions = regions
        self.members: dict[str, Member] = {}
        self.alive_names: set[str] = set()
        self.seeds_tried_ms = -SEED_MS
        self.behind_since_ms: float | None = None

    @property
    def size(self) -> int:
        """Return how many VMs may be sending to replicas, this one included."""
        return 1 + len(self.members)

    def is_alive(self, member: Member, now_ms: float) -> bool:
        """Tell whether a VM was heard of lately."""
        limit_ms = ALIVE_MS if self.size <= FANOUT + 1 else ALIVE_GOSSIP_MS
        return now_ms - member.heard_ms <= limit_ms

    def serving(self, now_ms: float) -> list[Member]:
        """Return the VMs that callers may use, this one first if it may be used."""
        found = [self.own] if self.own.is_serving else []
        for member in self.members.values():
            if member.is_serving and self.is_alive(member, now_ms):
                found.append(member)
        return found

    def take_member(self, view: Member, now_ms: float) -> None:
        """Take in what is told of a VM, if it is newer than what is known."""
        if view.name == self.own.name:
            return
        known = self.members.get(view.name)
        if known is not None:
            order = (view.incarnation, view.heartbeat)
            if order <= (known.incarnation, known.heartbeat):
                return
        view.heard_ms = now_ms
        self.members[view.name] = view

    def describe(self, now_ms: float) -> list[dict]:
        """Return what is known of each VM for a dump."""
        rows = []
        for member in (self.own, *self.members.values()):
            rows.append(
                {
                    'name': member.name,
                    'zone': member.zone,
                    'serving': member.is_serving,
                    'incarnation': member.incarnation,
                    'heard_ms_ago': round(now_ms - member.heard_ms),
                }
            )
        return rows


def handle_heartbeat(event: HeartbeatArrived, gateway) -> None:
    """Take a heartbeat in; note whether its sender knows more of the store."""
    fleet = gateway.fleet
    for member in event.members:
        fleet.take_member(member, gateway.now_ms)
    if not event.members:
        return
    version = gateway.table.version if gateway.table else 0
    if event.revision <= gateway.view.revision and event.table_version <= version:
        if event.members[0].is_serving:
            gateway.news_ms = gateway.now_ms
        return
    if fleet.behind_since_ms is None:
        fleet.behind_since_ms = gateway.now_ms
    is_urgent = gateway.table is None or not gateway.store.is_reached
    if is_urgent or gateway.now_ms - fleet.behind_since_ms >= BEHIND_MS:
        fleet.behind_since_ms = gateway.now_ms
        gateway.act(PullChanges(event.members[0].host, gateway.view.revision))


def note_caught_up(gateway) -> None:
    """Forget that another VM knew more: changes have just been taken in."""
    gateway.fleet.behind_since_ms = None


def fire_heartbeat(timer: HeartbeatTimer, gateway) -> None:
    """Send a heartbeat, and write down who came and went."""
    gateway.timers.arm(gateway.now_ms + HEARTBEAT_MS * gateway.rng.uniform(0.9, 1.1), timer)
    send_heartbeat(gateway)
    fleet = gateway.fleet
    now_ms = gateway.now_ms
    alive_names = set()
    for member in list(fleet.members.values()):
        if fleet.is_alive(member, now_ms):
            alive_names.add(member.name)
        elif now_ms - member.heard_ms > REMEMBERED_MS:
            del fleet.members[member.name]
    for name in sorted(alive_names ^ fleet.alive_names):
        state = 'alive' if name in alive_names else 'silent'
        gateway.act(WriteLine('member_changed', {'member': name, 'state': state}))
    fleet.alive_names = alive_names


def send_heartbeat(gateway) -> None:
    """Tell other VMs what this one knows of the fleet."""
    fleet = gateway.fleet
    now_ms = gateway.now_ms
    fleet.own.heartbeat += 1
    fleet.own.heard_ms = now_ms
    fleet.own.is_serving = gateway.is_ready()
    hosts = [member.host for member in fleet.members.values()]
    if len(hosts) > FANOUT:
        hosts = gateway.rng.sample(hosts, FANOUT)
    unknown_seeds = set(fleet.seeds) - {member.host for member in fleet.members.values()}
    if unknown_seeds and (not hosts or now_ms - fleet.seeds_tried_ms >= SEED_MS):
        fleet.seeds_tried_ms = now_ms
        hosts.extend(sorted(unknown_seeds - {fleet.own.host}))
    members = []
    if len(fleet.members) > FANOUT or fleet.own.heartbeat % FULL_EVERY == 1:
        members = [one for one in fleet.members.values() if fleet.is_alive(one, now_ms)]
    if len(members) > LARGEST_MESSAGE:
        members = gateway.rng.sample(members, LARGEST_MESSAGE)
    version = gateway.table.version if gateway.table else 0
    views = [fleet.own, *members]
    gateway.act(SendHeartbeat(hosts, views, version, gateway.view.revision))
