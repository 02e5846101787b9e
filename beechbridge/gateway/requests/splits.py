"""Weighted choice of a service for routes that split their traffic."""

from ..routes import Route


class Splits:
    """Smooth weighted round robin, with separate state for each route name."""

    __slots__ = ('credits', 'rng')

    def __init__(self, rng):
        self.rng = rng
        self.credits: dict[str, list[float]] = {}

    def reset(self) -> None:
        """Discard all state, for example after a change of the routing table."""
        self.credits.clear()

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0]
        total = sum(route.weights)
        credits = self.credits.get(route.name)
        if credits is None:
            # A random start prevents the VMs from choosing in lockstep.
            credits = [self.rng.uniform(0, weight) for weight in route.weights]
            self.credits[route.name] = credits
        for index, weight in enumerate(route.weights):
            credits[index] += weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.services[best]
