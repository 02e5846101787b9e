"""Which VMs callers at a place should use: near to them and to what they fan out to."""

from ..record import Record
from .models import Member, RoutingTable
from .upstreams import Upstreams

OWN_ZONE_COST = 0.0
OWN_REGION_COST = 0.35
"""Cost of a message within a region, as a share of one between regions: the users' prices."""

OTHER_REGION_COST = 1.0
REFRESH_MS = 1_000.0
"""How long the costs are kept: replicas come and go, but rarely move between regions."""

TIE = 1e-6


class Placement(Record):
    """
    Cost of the messages that one request causes, by the data centre of its VM.

    :param fanout_costs: mean cost of a request's sub-requests from each data centre
    """

    __slots__ = ('computed_ms', 'fanout_costs', 'regions')

    def __init__(self, regions: dict[str, str]):
        self.regions = regions
        self.fanout_costs: dict[str, float] = {}
        self.computed_ms = -REFRESH_MS

    def cost_between(self, zone: str, other: str) -> float:
        """Return the cost of one message between two data centres."""
        if zone == other:
            return OWN_ZONE_COST
        region = self.regions.get(zone)
        if region is not None and region == self.regions.get(other):
            return OWN_REGION_COST
        return OTHER_REGION_COST

    def refresh(self, table: RoutingTable | None, upstreams: Upstreams, now_ms: float) -> None:
        """Work the costs out anew if they are old."""
        if table is None or now_ms - self.computed_ms < REFRESH_MS:
            return
        self.computed_ms = now_ms
        zones_by_service: dict[str, set[str]] = {}
        for state in upstreams.by_id.values():
            if state.is_usable:
                zones_by_service.setdefault(state.entry.service, set()).add(state.entry.zone)
        services = [route.services for routes in table.routes_by_host.values() for route in routes]
        for zone in self.regions:
            self.fanout_costs[zone] = self.mean_cost(zone, services, zones_by_service)

    def mean_cost(
        self, zone: str, routes: list[tuple[str, ...]], zones_by_service: dict[str, set[str]]
    ) -> float:
        """Return the mean cost of a request's sub-requests from a data centre."""
        nearest: dict[str, float] = {}
        for service, zones in zones_by_service.items():
            nearest[service] = min(self.cost_between(zone, other) for other in zones)
        total = 0.0
        for services in routes:
            for service in services:
                total += nearest.get(service, OTHER_REGION_COST)
        return total / max(1, len(routes))

    def choose(self, members: list[Member], zone: str, region: str) -> list[Member]:
        """Return the VMs by which a request of a caller costs the least."""
        best: list[Member] = []
        best_cost = float('inf')
        for member in members:
            member_region = self.regions.get(member.zone)
            way_cost = OTHER_REGION_COST
            if member.zone == zone or member_region == region:
                # Callers count as near to the whole region: their way there is short.
                way_cost = OWN_ZONE_COST
            cost = way_cost + self.fanout_costs.get(member.zone, 0.0)
            if cost < best_cost - TIE:
                best, best_cost = [member], cost
                continue
            if cost <= best_cost + TIE:
                best.append(member)
        return best
