"""The VMs of the fleet as one of them sees it: who lives, who serves, who reads the store."""

from ...core.hashing import rank_score
from ..models import Member

MESH_SIZE = 12
"""VMs up to which each sends its heartbeats to all others."""

ALIVE_MS = 1_600.0
"""Age of a heartbeat from which a VM that is heard directly counts as silent: three lost ones."""

RELAYED_ALIVE_MS = 7_000.0
"""The same for a VM that is heard of through others: three lost relays."""

REMEMBERED_MS = 600_000.0
"""How long a silent VM counts for shares: it may be cut off for minutes and still serve."""


class Fleet:
    """
    Membership of one VM's fleet.

    :param own: this process
    :param seeds: hosts that may know the fleet
    :param regions: region by data centre
    """

    __slots__ = ('alive_names', 'members', 'own', 'regions', 'seeds')

    def __init__(self, own: Member, seeds: tuple[str, ...], regions: dict[str, str]):
        self.own = own
        self.seeds = seeds
        self.regions = regions
        self.members: dict[str, Member] = {}
        self.alive_names: set[str] = set()

    @property
    def size(self) -> int:
        """Return how many VMs may be sending to replicas, this one included."""
        return 1 + len(self.members)

    @property
    def is_mesh(self) -> bool:
        """Tell whether every VM hears all others itself."""
        return self.size <= MESH_SIZE

    def is_near(self, member: Member) -> bool:
        """Tell whether a VM is in this one's data centre."""
        return member.zone == self.own.zone

    def is_in_region(self, member: Member) -> bool:
        """Tell whether a VM is in this one's region."""
        return self.regions.get(member.zone) == self.regions.get(self.own.zone)

    def is_direct(self, member: Member) -> bool:
        """Tell whether this VM hears another one itself: busy ones tell their whole region."""
        if self.is_mesh or self.is_near(member):
            return True
        return member.rate_per_s > 0 and self.is_in_region(member)

    def is_alive(self, member: Member, now_ms: float) -> bool:
        """Tell whether a VM was heard of lately."""
        limit_ms = ALIVE_MS if self.is_direct(member) else RELAYED_ALIVE_MS
        return now_ms - member.last_heartbeat_ms <= limit_ms

    def alive(self, now_ms: float) -> list[Member]:
        """Return the other VMs that were heard of lately."""
        return [member for member in self.members.values() if self.is_alive(member, now_ms)]

    def near(self, now_ms: float) -> list[Member]:
        """Return the other live VMs of this one's data centre."""
        return [member for member in self.alive(now_ms) if self.is_near(member)]

    def serving(self, now_ms: float) -> list[Member]:
        """Return the VMs that callers may use, this one first if it may be used."""
        found = [self.own] if self.own.is_serving else []
        found.extend(member for member in self.alive(now_ms) if member.is_serving)
        return found

    def rank(self, key: str, now_ms: float) -> int:
        """Return this VM's place among those of its data centre for a role."""
        own_score = rank_score(key, self.own.name)
        place = 0
        for member in self.near(now_ms):
            if rank_score(key, member.name) > own_score:
                place += 1
        return place

    def take_member(self, view: Member, now_ms: float, is_sender: bool = False) -> None:
        """
        Take in what is told of a VM if it is newer.

        :param is_sender: whether the VM says so itself
        """
        if view.name == self.own.name:
            return
        known = self.members.get(view.name)
        if known is not None:
            order = (view.incarnation, view.heartbeat)
            # A clock that was set back gives a new process a lower incarnation.
            is_restarted = (
                is_sender
                and view.incarnation < known.incarnation
                and not self.is_alive(known, now_ms)
            )
            if order <= (known.incarnation, known.heartbeat) and not is_restarted:
                return
        view.last_heartbeat_ms = now_ms
        self.members[view.name] = view

    def forget_silent(self, now_ms: float) -> None:
        """Forget the VMs that have been silent for long."""
        for member in list(self.members.values()):
            if now_ms - member.last_heartbeat_ms > REMEMBERED_MS:
                del self.members[member.name]

    def describe(self, now_ms: float) -> list[dict]:
        """Return what is known of each VM for a dump."""
        rows = []
        for member in (self.own, *self.members.values()):
            rows.append(
                {
                    'name': member.name,
                    'zone': member.zone,
                    'serving': member.is_serving,
                    'reaches_store': member.reaches_store,
                    'incarnation': member.incarnation,
                    'heard_ms_ago': round(now_ms - member.last_heartbeat_ms),
                }
            )
        return rows
