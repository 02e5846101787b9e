"""Membership of the fleet as one VM sees it: who is alive and who serves."""

from ...core.hashing import rank_score
from ..member import Member

MAX_MESH_SIZE = 12
"""Largest fleet in which every VM sends its heartbeats to all others."""

ALIVE_TIMEOUT_MS = 1_600.0
"""Age of a heartbeat from which a VM that is heard directly counts as silent: three are lost."""

RELAYED_ALIVE_TIMEOUT_MS = 7_000.0
"""
The same for a VM whose heartbeats are relayed, if the settings do not bound it: three relays are
lost.
"""

DIRECTORY_SLACK_MS = 3_000.0
"""Time beyond the bound of the settings for which a directory may name a VM that ended."""

RELAY_MARGIN_MS = 1_000.0
"""Time by which this timeout stays under that, for messages on their way and late timers."""

MIN_RELAYED_ALIVE_TIMEOUT_MS = 2_800.0
"""Least timeout for a VM whose heartbeats are relayed: a record that two delegates relay every 2 s
is up to 2.65 s old when the next one comes."""

MEMBER_RETENTION_MS = 600_000.0
"""Time for which a silent VM counts for shares: it may be cut off for minutes and still serve."""


def bound_relayed_timeout(stable_ms: float | None) -> float:
    """
    Return the timeout in milliseconds for VMs whose heartbeats are relayed.

    :param stable_ms: time in milliseconds within which the fleet has to notice that a VM ended,
        None for no bound
    """
    if stable_ms is None:
        return RELAYED_ALIVE_TIMEOUT_MS
    bound_ms = stable_ms + DIRECTORY_SLACK_MS - RELAY_MARGIN_MS
    return min(RELAYED_ALIVE_TIMEOUT_MS, max(MIN_RELAYED_ALIVE_TIMEOUT_MS, bound_ms))


class Fleet:
    """
    Membership of one VM's fleet.

    :param own: member record of this process
    :param seeds: hosts that are asked for the members of the fleet
    :param regions: region by data centre
    :param neighbours: the members of the same data centre, by name
    :param relayed_timeout_ms: age of a heartbeat in milliseconds from which a VM counts as silent
        whose heartbeats are relayed
    :param states_ages: whether the ages of records are stated to other VMs
    """

    __slots__ = (
        'alive_names',
        'members',
        'neighbours',
        'own',
        'regions',
        'relayed_timeout_ms',
        'seeds',
        'states_ages',
    )

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        regions: dict[str, str],
        stable_ms: float | None = None,
    ):
        self.bound(stable_ms)
        self.own = own
        self.seeds = seeds
        self.regions = regions
        self.members: dict[str, Member] = {}
        self.neighbours: dict[str, Member] = {}
        self.alive_names: set[str] = set()

    def bound(self, stable_ms: float | None) -> None:
        """
        Set the bound within which the fleet has to notice that a VM ended.

        :param stable_ms: milliseconds, None for no bound
        """
        self.relayed_timeout_ms = bound_relayed_timeout(stable_ms)
        self.states_ages = stable_ms is not None

    @property
    def size(self) -> int:
        """Return how many VMs may send to replicas, including this one."""
        return 1 + len(self.members)

    @property
    def is_mesh(self) -> bool:
        """Return whether every VM sends its heartbeats to all others."""
        return self.size <= MAX_MESH_SIZE

    def is_in_zone(self, member: Member) -> bool:
        """Return whether a VM is in the same data centre."""
        return member.zone == self.own.zone

    def is_in_region(self, member: Member) -> bool:
        """Return whether a VM is in the same region."""
        return self.regions.get(member.zone) == self.regions.get(self.own.zone)

    def is_direct(self, member: Member) -> bool:
        """Return whether a VM sends its heartbeats here itself: active ones cover their region."""
        if self.is_mesh or self.is_in_zone(member):
            return True
        return member.is_active and member.is_heard and self.is_in_region(member)

    def is_alive(self, member: Member, now_ms: float) -> bool:
        """Return whether a VM was heard from within its timeout."""
        limit_ms = ALIVE_TIMEOUT_MS if self.is_direct(member) else self.relayed_timeout_ms
        return now_ms - member.last_heartbeat_ms <= limit_ms

    def alive(self, now_ms: float) -> list[Member]:
        """Return the other VMs that are alive."""
        return [member for member in self.members.values() if self.is_alive(member, now_ms)]

    def zone_peers(self, now_ms: float) -> list[Member]:
        """Return the other live VMs of the same data centre."""
        return [member for member in self.neighbours.values() if self.is_alive(member, now_ms)]

    def serving(self, now_ms: float) -> list[Member]:
        """Return the VMs that serve callers, this one first if it does."""
        found = [self.own] if self.own.is_serving else []
        found.extend(member for member in self.alive(now_ms) if member.is_serving)
        return found

    def reaching(self, now_ms: float) -> list[Member]:
        """Return the serving VMs that reach replicas, all of them if none does."""
        serving = self.serving(now_ms)
        return [member for member in serving if member.reaches_replicas] or serving

    def rank(self, role: str, now_ms: float) -> int:
        """Return this VM's rank for a role among the VMs of its data centre, 0 for the first."""
        own_score = rank_score(role, self.own.name)
        rank = 0
        for member in self.zone_peers(now_ms):
            if rank_score(role, member.name) > own_score:
                rank += 1
        return rank

    def apply_member(self, received: Member, now_ms: float, is_sender: bool = False) -> None:
        """
        Update a member if the received record is newer.

        :param is_sender: whether the record comes from the VM itself
        """
        # Also of a record that changes nothing here: it may be passed on, with its age.
        received.last_heartbeat_ms = now_ms - received.age_ms
        if received.name == self.own.name:
            return
        known = self.members.get(received.name)
        if known is not None:
            version = (received.incarnation, received.heartbeat)
            # After a clock was set back, a restarted process has a lower incarnation.
            is_restarted = (
                is_sender
                and received.incarnation < known.incarnation
                and not self.is_alive(known, now_ms)
            )
            if version <= (known.incarnation, known.heartbeat) and not is_restarted:
                return
        is_same_process = known is not None and known.incarnation == received.incarnation
        received.is_heard = is_sender or (is_same_process and known.is_heard)
        self.members[received.name] = received
        if self.is_in_zone(received):
            self.neighbours[received.name] = received
        else:
            self.neighbours.pop(received.name, None)

    def evict_silent(self, now_ms: float) -> None:
        """Evict the VMs that have been silent for longer than the retention time."""
        for member in list(self.members.values()):
            if now_ms - member.last_heartbeat_ms > MEMBER_RETENTION_MS:
                del self.members[member.name]
                self.neighbours.pop(member.name, None)

    def describe(self, now_ms: float) -> list[dict]:
        """Return the members for the state dump."""
        rows = []
        for member in (self.own, *self.members.values()):
            rows.append(
                {
                    'name': member.name,
                    'zone': member.zone,
                    'serving': member.is_serving,
                    'reaches_store': member.reaches_store,
                    'reaches_replicas': member.reaches_replicas,
                    'incarnation': member.incarnation,
                    'heard_ms_ago': round(now_ms - member.last_heartbeat_ms),
                }
            )
        return rows
