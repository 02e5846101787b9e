"""Placement of callers: VMs near to them and to the replicas that their requests fan out to."""

from operator import itemgetter

from ...record import Record
from ..member import Member
from ..replicas.upstreams import Upstreams
from ..routes import RoutingTable
from .members import MEMBER_RETENTION_MS, Fleet

CROSS_ZONE_COST = 0.3
"""Cost of a message between data centres of a region."""

CROSS_REGION_COST = 1.0
"""Cost of a message between regions."""

CALLER_REGION_COST = 1.5
"""
Cost of a caller's request that crosses between regions: more than any number of routes with orders
costs, since each new connection of the caller takes another round trip and an order takes none.
"""

ORDER_FACTOR = 1.2
"""
Cost of an order of parts as a multiple of that of a caller's request: it names the shards, and a
second VM works on it.
"""

MIN_CHOSEN = 2
"""Minimum number of VMs that a caller should be able to use in its region."""

REFRESH_INTERVAL_MS = 1_000.0
"""Interval between updates of the costs: replicas come and go, but rarely change region."""

COST_DIGITS = 6
"""Decimal places to which costs are compared."""

MIN_ACTIVE = 2
"""Minimum number of active VMs in a data centre: one may be lost."""

RATE_PER_MILLICORE = 0.8
"""Planned requests to replicas per second and millicore: each takes about 0.3 ms of CPU time, and
a VM is planned for a CPU usage of a quarter."""

SELECTION_INTERVAL_MS = 400.0
RATE_WINDOW_MS = 2_000.0
"""Window over which the rate of requests to replicas is averaged."""

MIN_RATE_WINDOW_MS = 200.0
MIN_RATE_PER_S = 0.5


class Placement(Record):
    """
    Cost of the messages that one request causes, by data centre of the VM that serves it.

    :param fanout_costs: mean cost of a request's sub-requests from each data centre
    """

    __slots__ = ('computed_ms', 'fanout_costs', 'regions')

    def __init__(self, regions: dict[str, str]):
        self.regions = regions
        self.fanout_costs: dict[str, float] = {}
        self.computed_ms = -REFRESH_INTERVAL_MS

    def cost_between(self, zone: str, other: str) -> float:
        """Return the cost of one message between two data centres."""
        if zone == other:
            return 0.0
        region = self.regions.get(zone)
        is_near = region is not None and region == self.regions.get(other)
        return CROSS_ZONE_COST if is_near else CROSS_REGION_COST

    def refresh(self, table: RoutingTable | None, upstreams: Upstreams, now_ms: float) -> None:
        """Compute the costs again if they are older than the interval."""
        if table is None or now_ms - self.computed_ms < REFRESH_INTERVAL_MS:
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
        """
        Return the mean cost of a request's sub-requests from a data centre.

        All sub-requests to equally distant replicas count as one: they are ordered together.
        """
        nearest: dict[str, float] = {}
        for service, zones in zones_by_service.items():
            nearest[service] = min(self.cost_between(zone, other) for other in zones)
        total = 0.0
        for services in routes:
            total += sum({nearest.get(service, CROSS_REGION_COST) for service in services})
        return ORDER_FACTOR * total / max(1, len(routes))

    def choose(self, members: list[Member], zone: str, region: str) -> list[Member]:
        """
        Return the VMs at which a request of a caller at a zone and region costs least.

        If that is a single one, the next cheapest of its region is added as a spare.
        """
        costs = [self.cost_of(member, zone, region) for member in members]
        chosen: list[Member] = []
        for cost, member in sorted(zip(costs, members, strict=True), key=itemgetter(0)):
            is_cheapest = cost == min(costs)
            if not is_cheapest and len(chosen) >= MIN_CHOSEN:
                break
            is_near = not chosen or self.cost_between(member.zone, chosen[0].zone) < (
                CROSS_REGION_COST
            )
            if is_cheapest or is_near:
                chosen.append(member)
        return chosen

    def cost_of(self, member: Member, zone: str, region: str) -> float:
        """Return the cost of a request of a caller at a zone and region at a VM."""
        cost = self.cost_between(member.zone, zone)
        if cost == CROSS_REGION_COST:
            # The settings may not list the caller's data centre.
            is_near = self.regions.get(member.zone) == region
            cost = CROSS_ZONE_COST if is_near else CALLER_REGION_COST
        return round(cost + self.fanout_costs.get(member.zone, 0.0), COST_DIGITS)


class Activity:
    """
    Rate of this VM's requests to replicas, and the active VMs on which callers are concentrated.

    A request that fans out to a hundred replicas needs open connections and recent statistics,
    which a VM that serves a request only every few seconds does not have.

    :param sent_count: requests sent since the last measurement
    :param active_names: names of the active VMs: those that callers are sent to
    :param sharing_count: largest number of active VMs within `MEMBER_RETENTION_MS`
    :param active_since_ms: time in milliseconds since which this VM is active, None if it is not
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
        self.chosen_ms = -SELECTION_INTERVAL_MS
        self.active_names: set[str] = set()
        self.sharing_count = 1
        self.counted_ms = 0.0
        self.active_since_ms: float | None = None

    def measure(self, now_ms: float) -> float:
        """Return the rate of requests to replicas per second, 0 if below `MIN_RATE_PER_S`."""
        elapsed_ms = now_ms - self.measured_ms
        if elapsed_ms < MIN_RATE_WINDOW_MS:
            return self.rate_per_s
        weight = min(1.0, elapsed_ms / RATE_WINDOW_MS)
        self.rate_per_s += weight * (self.sent_count * 1000.0 / elapsed_ms - self.rate_per_s)
        if self.rate_per_s < MIN_RATE_PER_S:
            self.rate_per_s = 0.0
        self.sent_count = 0
        self.measured_ms = now_ms
        return self.rate_per_s

    def choose(self, fleet: Fleet, now_ms: float) -> None:
        """Select the active VMs: in a large fleet, enough of them for each data centre's load."""
        if now_ms - self.chosen_ms < SELECTION_INTERVAL_MS:
            return
        self.chosen_ms = now_ms
        by_zone: dict[str, list[Member]] = {}
        for member in fleet.reaching(now_ms):
            by_zone.setdefault(member.zone, []).append(member)
        self.active_names = set()
        for members in by_zone.values():
            chosen = members if fleet.is_mesh else select_by_capacity(members)
            self.active_names.update(member.name for member in chosen)
        is_expired = now_ms - self.counted_ms > MEMBER_RETENTION_MS
        if len(self.active_names) >= self.sharing_count or is_expired:
            self.sharing_count = max(1, len(self.active_names))
            self.counted_ms = now_ms
        if fleet.own.name not in self.active_names:
            self.active_since_ms = None
        elif self.active_since_ms is None:
            self.active_since_ms = now_ms


def select_by_capacity(members: list[Member]) -> list[Member]:
    """Return the VMs with the most CPU capacity that together carry a data centre's load."""
    ordered = sorted(members, key=lambda member: (-member.capacity_millicores, member.name))
    rate_per_s = sum(member.rate_per_s for member in members)
    capacity_per_s = 0.0
    chosen = []
    for member in ordered:
        if len(chosen) >= MIN_ACTIVE and capacity_per_s >= rate_per_s:
            break
        chosen.append(member)
        capacity_per_s += member.capacity_millicores * RATE_PER_MILLICORE
    return chosen
