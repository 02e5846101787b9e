"""Which VMs callers at a place should use: near to them and to what they fan out to."""

from ...record import Record
from ..models import Member
from ..replicas.upstreams import Upstreams
from ..routes import RoutingTable
from .members import REMEMBERED_MS, Fleet

NEAR_COST = 0.0
"""Cost of a message within a region: the users pay a third of one between regions, and a caller
should have all VMs of its region to choose from."""

FAR_COST = 1.0
"""Cost of a message between regions."""

REFRESH_MS = 1_000.0
"""How long the costs are kept: replicas come and go, but rarely move between regions."""

TIE = 1e-6

LEAST_ACTIVE = 3
"""VMs of a region that callers are sent to at least: two may be lost at once."""

RATE_PER_MILLICORE = 0.8
"""Requests to replicas each second for which a thousandth of a core is planned: about 0.3 ms of
processor time each, at a quarter of the VM's time."""

CHOICE_MS = 400.0
RATE_SPAN_MS = 2_000.0
"""Span over which the rate of requests to replicas is averaged."""

LEAST_SPAN_MS = 200.0
LEAST_RATE_PER_S = 0.5


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
        region = self.regions.get(zone)
        is_near = zone == other or (region is not None and region == self.regions.get(other))
        return NEAR_COST if is_near else FAR_COST

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
                total += nearest.get(service, FAR_COST)
        return total / max(1, len(routes))

    def choose(self, members: list[Member], zone: str, region: str) -> list[Member]:
        """Return the VMs by which a request of a caller costs the least."""
        best: list[Member] = []
        best_cost = float('inf')
        for member in members:
            member_region = self.regions.get(member.zone)
            is_near = member.zone == zone or member_region == region
            way_cost = NEAR_COST if is_near else FAR_COST
            cost = way_cost + self.fanout_costs.get(member.zone, 0.0)
            if cost < best_cost - TIE:
                best, best_cost = [member], cost
                continue
            if cost <= best_cost + TIE:
                best.append(member)
        return best


class Activity:
    """
    How many requests this VM sends to replicas, and which VMs callers are concentrated on.

    A request that fans out to a hundred replicas wants connections that are open and statistics
    that are fresh, which a VM that serves one request in seconds does not have.

    :param sent_count: requests sent since the last measurement
    :param active_names: VMs that callers of any place are sent to
    :param sharing_count: most of them within the time for which silent VMs are remembered
    :param active_since_ms: since when this VM is one of them, None while it is not
    """

    __slots__ = (
        'active_names',
        'active_since_ms',
        'chosen_ms',
        'counted_ms',
        'measured_ms',
        'rate_per_s',
        'sent_count',
        'sharing_count',
    )

    def __init__(self):
        self.sent_count = 0
        self.measured_ms = 0.0
        self.rate_per_s = 0.0
        self.chosen_ms = -CHOICE_MS
        self.active_names: set[str] = set()
        self.sharing_count = 1
        self.counted_ms = 0.0
        self.active_since_ms: float | None = None

    def measure(self, now_ms: float) -> float:
        """Return the rate of requests to replicas, 0 once there are hardly any."""
        elapsed_ms = now_ms - self.measured_ms
        if elapsed_ms < LEAST_SPAN_MS:
            return self.rate_per_s
        weight = min(1.0, elapsed_ms / RATE_SPAN_MS)
        self.rate_per_s += weight * (self.sent_count * 1000.0 / elapsed_ms - self.rate_per_s)
        if self.rate_per_s < LEAST_RATE_PER_S:
            self.rate_per_s = 0.0
        self.sent_count = 0
        self.measured_ms = now_ms
        return self.rate_per_s

    def choose(self, fleet: Fleet, now_ms: float) -> None:
        """Choose the VMs that callers are sent to, enough of them for the load of each region."""
        if now_ms - self.chosen_ms < CHOICE_MS:
            return
        self.chosen_ms = now_ms
        by_region: dict[str | None, list[Member]] = {}
        for member in fleet.serving(now_ms):
            by_region.setdefault(fleet.regions.get(member.zone), []).append(member)
        self.active_names = set()
        for members in by_region.values():
            chosen = members if fleet.is_mesh else pick_largest(members)
            self.active_names.update(member.name for member in chosen)
        is_forgotten = now_ms - self.counted_ms > REMEMBERED_MS
        if len(self.active_names) >= self.sharing_count or is_forgotten:
            self.sharing_count = max(1, len(self.active_names))
            self.counted_ms = now_ms
        if fleet.own.name not in self.active_names:
            self.active_since_ms = None
        elif self.active_since_ms is None:
            self.active_since_ms = now_ms


def pick_largest(members: list[Member]) -> list[Member]:
    """Return the VMs with the most processor time that together carry a region's load."""
    ordered = sorted(members, key=lambda one: (-one.capacity_millicores, one.name))
    rate_per_s = sum(member.rate_per_s for member in members)
    carried_per_s = 0.0
    chosen = []
    for member in ordered:
        if len(chosen) >= LEAST_ACTIVE and carried_per_s >= rate_per_s:
            break
        chosen.append(member)
        carried_per_s += member.capacity_millicores * RATE_PER_MILLICORE
    return chosen
