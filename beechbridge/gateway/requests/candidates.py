"""The replicas that a request may be sent to: those that are usable, in its home regions."""

from ..homes import Homes, find_homes, intersect_homes, zones_of
from ..interface import GatewayInterface
from ..replicas.upstreams import ReplicaState
from .works import OrderedWork, Task, Work


def current_homes(work: Work, gateway: GatewayInterface) -> Homes:
    """Return the regions in which a request may be served by the table that is in force."""
    route = work.route
    if not isinstance(work, OrderedWork):
        return find_homes(route.name, route.home_regions, work.table_version, gateway.table)
    # The VM that sent the order may have an older or a newer table than this one.
    own = gateway.table.routes_by_name.get(route.name)
    return intersect_homes(route.home_regions, own.home_regions if own is not None else None)


def allowed_zones(work: Work, gateway: GatewayInterface) -> frozenset[str] | None:
    """Return the data centres in which a request may be served, None for all."""
    if work.zones_version != gateway.table.version:
        work.zones_version = gateway.table.version
        work.allowed_zones = zones_of(current_homes(work, gateway), gateway.fleet.regions)
    return work.allowed_zones


def list_usable(task: Task, gateway: GatewayInterface) -> list[ReplicaState]:
    """Return the replicas that a task may be sent to."""
    return gateway.upstreams.usable(task.service, allowed_zones(task.work, gateway))


def has_unrestricted(task: Task, gateway: GatewayInterface) -> bool:
    """Return whether a replica that a task may be sent to accepts any number of requests."""
    return gateway.upstreams.has_unrestricted(task.service, allowed_zones(task.work, gateway))
