"""VMs of other regions that gather parts near to them for this one."""

from ...core.latency import LatencyEstimate
from ..actions import DropConnection
from ..models import Member, ReplicaEntry
from ..replicas.upstreams import AGGREGATED, DISTANCE_MS, ELSEWHERE, ReplicaState
from ..surface import GatewaySurface

AGGREGATORS = 'aggregators'
"""What stands for the service in the state of a VM that gathers for this one."""

REFRESH_MS = 200.0
"""How long the choice is kept: half a heartbeat."""


class Aggregators:
    """
    The VMs of other regions that may be asked for parts, by name.

    :param round_trips: time on the way to the VMs of each region and back
    """

    __slots__ = ('refreshed_ms', 'round_trips', 'states')

    def __init__(self):
        self.states: dict[str, ReplicaState] = {}
        self.round_trips: dict[str, LatencyEstimate] = {}
        self.refreshed_ms = -REFRESH_MS

    def refresh(self, gateway: GatewaySurface) -> None:
        """Take over which VMs of other regions serve."""
        if gateway.now_ms - self.refreshed_ms < REFRESH_MS:
            return
        self.refreshed_ms = gateway.now_ms
        wanted = list_wanted(gateway)
        for name, state in list(self.states.items()):
            member = wanted.get(name)
            known = (state.entry.started_ms, state.entry.host)
            if member is None or known != (member.incarnation, member.host):
                self.remove(name, gateway)
        for name, member in wanted.items():
            if name in self.states:
                continue
            entry = ReplicaEntry(
                name, AGGREGATORS, member.host, 0, member.zone, started_ms=member.incarnation
            )
            self.states[name] = ReplicaState(entry, AGGREGATED, gateway.now_ms)

    def remove(self, name: str, gateway: GatewaySurface) -> None:
        """Ask a VM no more; what it was asked for goes on."""
        state = self.states.pop(name)
        state.is_gone = True
        for connection_id in state.take_all_idle():
            gateway.act(DropConnection(connection_id))

    def choose(self, region: str, route_name: str, gateway: GatewaySurface) -> ReplicaState | None:
        """Return the VM of a region that is expected to answer first, None if none is sound."""
        sound = []
        for state in self.states.values():
            is_there = gateway.fleet.regions.get(state.entry.zone) == region
            if is_there and not state.is_suspect(gateway.now_ms):
                sound.append(state)
        return gateway.upstreams.find_fastest(sound, route_name, gateway.now_ms, gateway.rng)

    def round_trip_ms(self, region: str) -> float:
        """Return the time on the way to a region and back."""
        estimate = self.round_trips.get(region)
        return estimate.median_ms if estimate else DISTANCE_MS[ELSEWHERE]

    def note_round_trip(self, region: str, way_ms: float) -> None:
        """Take a measured time on the way in."""
        estimate = self.round_trips.get(region)
        if estimate is None:
            estimate = self.round_trips[region] = LatencyEstimate(way_ms)
        estimate.add(way_ms)


def list_wanted(gateway: GatewaySurface) -> dict[str, Member]:
    """Return the VMs of other regions that serve, in a large fleet only those with callers."""
    fleet = gateway.fleet
    gateway.activity.choose(fleet, gateway.now_ms)
    wanted = {}
    for member in fleet.serving(gateway.now_ms):
        if member is fleet.own or fleet.is_in_region(member):
            continue
        if fleet.is_mesh or member.name in gateway.activity.active_names:
            wanted[member.name] = member
    return wanted
