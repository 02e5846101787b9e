"""
Aggregators: the VMs that work for this one.

Those of other data centres gather the parts of shards near them. While this VM reaches no replica,
any of them serves whole requests of its callers.
"""

from operator import itemgetter

from ...core.latency import LatencyEstimate
from ..interface import GatewayInterface
from ..member import Member
from ..models import ReplicaEntry
from ..replicas.upstreams import (
    AGGREGATOR_DISTANCE,
    INITIAL_ROUND_TRIP_MS,
    ReplicaState,
)
from .placement import RATE_PER_MILLICORE

AGGREGATOR_SERVICE = 'aggregators'
"""Service name in the replica state of an aggregator."""

PLANNED_LOAD = 1.0
LOAD_PER_RELAY = 0.02
"""Load of a VM, as a multiple of what is planned for it, that a relayed request counts as until
the VM's heartbeats tell."""

REFRESH_INTERVAL_MS = 200.0
"""Interval between updates of the list: half a heartbeat interval."""


class Aggregators:
    """
    The VMs that accept orders and relays, by name.

    :param round_trips: network round-trip time to the VMs of each data centre
    """

    __slots__ = ('refreshed_ms', 'round_trips', 'states')

    def __init__(self):
        self.states: dict[str, ReplicaState] = {}
        self.round_trips: dict[str, LatencyEstimate] = {}
        self.refreshed_ms = -REFRESH_INTERVAL_MS

    def refresh(self, gateway: GatewayInterface) -> None:
        """Update the list of aggregators from the fleet's members."""
        if gateway.now_ms - self.refreshed_ms < REFRESH_INTERVAL_MS:
            return
        self.refreshed_ms = gateway.now_ms
        candidates = list_candidates(gateway)
        for name, state in list(self.states.items()):
            member = candidates.get(name)
            known = (state.entry.started_ms, state.entry.host)
            if member is None or known != (member.incarnation, member.host):
                self.remove(name, gateway)
        for name, member in candidates.items():
            if name in self.states:
                continue
            entry = ReplicaEntry(
                name,
                AGGREGATOR_SERVICE,
                member.host,
                0,
                member.zone,
                started_ms=member.incarnation,
            )
            self.states[name] = ReplicaState(entry, AGGREGATOR_DISTANCE, gateway.now_ms)

    def remove(self, name: str, gateway: GatewayInterface) -> None:
        """Remove a VM and close its idle connections; orders in flight to it continue."""
        state = self.states.pop(name)
        state.is_gone = True
        for connection_id in state.remove_all_idle():
            gateway.drop_connection(connection_id)

    def has_zone(self, zone: str) -> bool:
        """Return whether there is a VM in a data centre."""
        return any(state.entry.zone == zone for state in self.states.values())

    def choose(self, zone: str, route_name: str, gateway: GatewayInterface) -> ReplicaState | None:
        """Return the healthy VM of a data centre that is expected to be fastest, if any is."""
        healthy = []
        for state in self.states.values():
            if state.entry.zone == zone and not state.is_suspect(gateway.now_ms):
                healthy.append(state)
        fastest, _ = gateway.upstreams.find_fastest(
            healthy, route_name, gateway.now_ms, gateway.rng
        )
        return fastest

    def choose_relay(
        self,
        tried: set[str],
        gateway: GatewayInterface,
        zones: frozenset[str] | None = None,
    ) -> ReplicaState | None:
        """
        Return a near VM that is not busy, else the least busy one, if any is healthy.

        :param tried: names of the VMs not to choose
        :param zones: data centres to which the request is bound, None for all
        """
        self.refresh(gateway)
        by_distance: dict[int, list[tuple[float, ReplicaState]]] = {}
        for name, state in self.states.items():
            if name in tried or state.is_suspect(gateway.now_ms):
                continue
            if zones is not None and state.entry.zone not in zones:
                continue
            load = estimate_load(state, gateway) * gateway.rng.uniform(0.95, 1.05)
            distance = gateway.distance_to(state.entry.zone)
            by_distance.setdefault(distance, []).append((load, state))
        least = (float('inf'), None)
        for distance in sorted(by_distance):
            nearest = min(by_distance[distance], key=itemgetter(0))
            if nearest[0] <= PLANNED_LOAD:
                return nearest[1]
            least = min(least, nearest, key=itemgetter(0))
        return least[1]

    def round_trip_ms(self, zone: str, distance: int) -> float:
        """Return the median round-trip time to a data centre in milliseconds."""
        estimate = self.round_trips.get(zone)
        return estimate.median_ms if estimate else INITIAL_ROUND_TRIP_MS[distance]

    def record_round_trip(self, zone: str, round_trip_ms: float) -> None:
        """Record a measured round-trip time to a data centre."""
        estimate = self.round_trips.get(zone)
        if estimate is None:
            estimate = self.round_trips[zone] = LatencyEstimate(round_trip_ms)
        estimate.add(round_trip_ms)


def estimate_load(state: ReplicaState, gateway: GatewayInterface) -> float:
    """Return the load of a VM as a multiple of what is planned for it."""
    member = gateway.fleet.members.get(state.entry.replica_id)
    if member is None:
        return PLANNED_LOAD
    planned_per_s = max(1.0, member.capacity_millicores * RATE_PER_MILLICORE)
    return member.rate_per_s / planned_per_s + LOAD_PER_RELAY * len(state.busy)


def list_candidates(gateway: GatewayInterface) -> dict[str, Member]:
    """Return the other serving VMs that reach replicas, in a large fleet only the active ones."""
    fleet = gateway.fleet
    gateway.activity.choose(fleet, gateway.now_ms)
    candidates = {}
    for member in fleet.serving(gateway.now_ms):
        if member is fleet.own or not member.reaches_replicas:
            continue
        if fleet.is_mesh or member.name in gateway.activity.active_names:
            candidates[member.name] = member
    return candidates
