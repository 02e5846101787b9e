"""
Home regions: where the requests of a route may be served.

Pure functions. A route, the team that it belongs to, or both may name home regions; where both
do, only regions that both name are left, which may be none.
"""

from .member import Member
from .routes import RoutingTable

Homes = frozenset[str] | None
"""Regions in which requests may be served, None if they may be served in all."""


def intersect_homes(first: Homes, second: Homes) -> Homes:
    """Return the regions that both sets of homes permit."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def find_homes(
    route_name: str, known: Homes, known_version: int, table: RoutingTable | None
) -> Homes:
    """
    Return the homes of a request by the newest table.

    :param route_name: route under which the request was taken
    :param known: homes of that route in the table with which the request was taken
    :param known_version: version of that table
    """
    if table is None or table.version == known_version:
        return known
    route = table.routes_by_name.get(route_name)
    # A route that was removed cannot permit more than it did before.
    return known if route is None else route.home_regions


def zones_of(homes: Homes, regions: dict[str, str]) -> frozenset[str] | None:
    """
    Return the data centres in home regions, None for all.

    :param regions: region by data centre; one that is not listed is in no home
    """
    if homes is None:
        return None
    return frozenset(zone for zone, region in regions.items() if region in homes)


def keep_near_homes(
    members: list[Member],
    host: str,
    region: str,
    table: RoutingTable | None,
    regions: dict[str, str],
) -> list[Member]:
    """
    Return the VMs that a caller of a host with homes may be sent to.

    Those of the caller's own region come first, then those of a home; if there are neither, any VM
    can still reject its requests.

    :param host: host that the caller asks for
    :param region: the caller's region
    :param regions: region by data centre
    """
    routes = table.home_routes_by_host.get(host, ()) if table is not None else ()
    if not routes:
        return members
    homes = frozenset().union(*(route.home_regions for route in routes))
    near = [member for member in members if regions.get(member.zone) == region]
    if near:
        return near
    return [member for member in members if regions.get(member.zone) in homes] or members
