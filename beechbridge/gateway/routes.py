"""The routing table: which services may run a request, and within which limits."""

from ..record import Record


class Route(Record):
    """
    Rules for requests under one path prefix of a host.

    :param services: services that may run a request; for a gather, its shards
    :param weights: traffic share of each service; unused for a gather
    :param attempts: maximum number of replicas of one service that may run one request
    :param timeout_ms: maximum time in milliseconds that a caller waits for an answer
    :param objective_ms: latency objective in milliseconds; a later answer has less value
    :param priority: priority class, 0 is the most urgent
    :param top_records: maximum number of records in the answer of a gather
    :param min_share: minimum share of the shards for a gather to succeed, 0 to 1
    :param home_regions: regions in which requests may be served, None for all
    """

    __slots__ = (
        'attempts',
        'home_regions',
        'host',
        'is_gather',
        'is_idempotent',
        'min_share',
        'name',
        'objective_ms',
        'prefix',
        'priority',
        'services',
        'timeout_ms',
        'top_records',
        'weights',
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        services: tuple[str, ...],
        weights: tuple[float, ...] = (1.0,),
        is_gather: bool = False,
        is_idempotent: bool = True,
        attempts: int = 1,
        timeout_ms: float = 1000.0,
        objective_ms: float = 1000.0,
        priority: int = 0,
        top_records: int = 0,
        min_share: float = 1.0,
        home_regions: frozenset[str] | None = None,
    ):
        self.name = name
        self.home_regions = home_regions
        self.host = host
        self.prefix = prefix
        self.services = services
        self.weights = weights
        self.is_gather = is_gather
        self.is_idempotent = is_idempotent
        self.attempts = attempts
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.priority = priority
        self.top_records = top_records
        self.min_share = min_share


class ServiceRules(Record):
    """
    Rules for all replicas of a service.

    :param connection_limit: maximum number of connections to one replica from all clients together
    :param cold_rate_per_s: requests per second that a cold replica tolerates, 0 for no limit
    :param warmup_ms: how long a replica takes to warm up in milliseconds, 0 if it is not known
    """

    __slots__ = ('cold_rate_per_s', 'connection_limit', 'name', 'warmup_ms')

    def __init__(
        self,
        name: str,
        connection_limit: int,
        cold_rate_per_s: float = 0.0,
        warmup_ms: float = 0.0,
    ):
        self.cold_rate_per_s = cold_rate_per_s
        self.warmup_ms = warmup_ms
        self.name = name
        self.connection_limit = connection_limit


class CallerLimits(Record):
    """Size limits in bytes and time limits in milliseconds for callers' requests."""

    __slots__ = ('body_bytes', 'header_bytes', 'header_ms', 'idle_ms')

    def __init__(self, header_bytes: int, body_bytes: int, header_ms: float, idle_ms: float):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_ms = header_ms
        self.idle_ms = idle_ms


class RoutingTable(Record):
    """
    One version of the configuration: routes by host, longest prefix first.

    :param routes: all routes; the attribute `home_routes_by_host` lists those with home regions
    """

    __slots__ = (
        'home_routes_by_host',
        'limits',
        'routes_by_host',
        'routes_by_name',
        'services',
        'version',
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, ServiceRules],
        limits: CallerLimits,
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.routes_by_host: dict[str, list[Route]] = {}
        self.home_routes_by_host: dict[str, list[Route]] = {}
        self.routes_by_name = {route.name: route for route in routes}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self.routes_by_host.setdefault(route.host, []).append(route)
            if route.home_regions is not None:
                self.home_routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
