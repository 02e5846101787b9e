"""What requests cost replicas, learned by route and size of the body, and by service."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstreams import ReplicaState

INITIAL_COST_MS = 15.0
"""Work of a request to a service of which nothing is known."""

MAX_CLASSES = 16_384
"""
Request classes whose cost is kept, the latest ones: some 5 MB, where the smallest VM has 152 MB
and a table may have 60,000 routes.
"""

MAX_SERVICES = 4_096
COST_WEIGHT = 0.05
"""Least weight of a new sample: with a spread of 0.5 the mean is known to about 8 percent."""

MAX_SAMPLE_RATIO = 4.0
"""Multiple of the expected work up to which a sample counts, so that a pause of 250 ms or a rare
long request does not pass for the usual cost."""

MIN_SAMPLE_RATIO = 0.1
MIN_COST_MS = 0.1
"""
Least cost that is learned. Replies faster than the assumed network time would otherwise lower a
cost without end; as samples are limited to a multiple of it, thousands of them would be needed to
learn that the work has become longer.
"""

OTHERS_WEIGHT = 0.05
WAIT_WEIGHT = 0.02
MAX_WAIT_FACTOR = 2.0
"""Bounds, with its inverse, of the correction of waits: pauses, and requests that no report tells
of yet, make them longer than the requests known of do."""

WAIT_MARGIN = 1.0
"""Share of the service's mean cost added to both waits before they are compared: at low load, the
uncertainty of the costs would be taken for a wait several times as long."""

SHORT_WAIT_SHARE = 0.25
"""Share of a request's cost up to which an expected wait does not spoil a sample of the cost."""

STALE_COST_MS = 2_000.0
"""Age of a cost from which samples with longer waits count too, less the wait."""

REJECT_FACTOR = 4.0
LAST_ATTEMPT_FACTOR = 2.0
"""Growth of the penalty on rejections if no other attempt is left after this one."""

LONG_FACTOR = 2.0
"""Multiple of the service's mean cost from which a request is long."""


class Cost:
    """
    Mean work of a class of requests, or of all requests of a service.

    :param mean_ms: mean work in milliseconds, at a replica of usual speed
    :param count: number of samples
    :param updated_ms: time in milliseconds of the latest sample
    :param others: for a service, mean number of other VMs' requests at one of its replicas
    :param expected_wait_ms: for a service, mean of the waits expected, not corrected
    :param actual_wait_ms: for a service, mean of what replies took in addition to the work
    :param priority: for a service, priority class of its most urgent requests
    """

    __slots__ = (
        'actual_wait_ms',
        'count',
        'expected_wait_ms',
        'mean_ms',
        'others',
        'priority',
        'updated_ms',
    )

    def __init__(self, mean_ms: float, now_ms: float):
        self.mean_ms = mean_ms
        self.count = 0
        self.updated_ms = now_ms
        self.others = 0.0
        self.expected_wait_ms = 0.0
        self.actual_wait_ms = 0.0
        self.priority = 0

    @property
    def wait_factor(self) -> float:
        """Return how long waits at the service are, as a multiple of those expected."""
        margin_ms = WAIT_MARGIN * self.mean_ms
        factor = (self.actual_wait_ms + margin_ms) / (self.expected_wait_ms + margin_ms)
        return min(MAX_WAIT_FACTOR, max(1.0 / MAX_WAIT_FACTOR, factor))

    def add(self, sample_ms: float, now_ms: float) -> None:
        """Add a sample; the first ones count fully, until there are enough for a running mean."""
        self.count += 1
        weight = max(COST_WEIGHT, 1.0 / self.count)
        self.mean_ms += weight * (sample_ms - self.mean_ms)
        self.updated_ms = now_ms


class Demand:
    """
    What a request needs, for the choice of its replica.

    :param cost_ms: expected work in milliseconds at a replica of usual speed
    :param cost_age_ms: age of that estimate, None if nothing of the class has been learned
    :param mean_ms: mean work of the requests of the service
    :param others: mean number of other VMs' requests at a replica of the service
    :param wait_factor: how long waits at the service are, as a multiple of those expected
    :param is_long: whether it should leave the last free slot to short urgent requests
    :param reject_factor: growth of the expected time per share of requests that a replica rejects
    :param chosen: expected completion time in milliseconds and replica that was chosen, or None
    :param runner_up: the same of the best other one
    """

    __slots__ = (
        'chosen',
        'cost_age_ms',
        'cost_ms',
        'is_long',
        'mean_ms',
        'others',
        'reject_factor',
        'runner_up',
        'wait_factor',
    )

    def __init__(
        self,
        cost_ms: float,
        cost_age_ms: float | None,
        mean_ms: float,
        others: float = 0.0,
        is_long: bool = False,
        reject_factor: float = REJECT_FACTOR,
        wait_factor: float = 1.0,
    ):
        self.wait_factor = wait_factor
        self.cost_ms = cost_ms
        self.cost_age_ms = cost_age_ms
        self.mean_ms = mean_ms
        self.others = others
        self.is_long = is_long
        self.reject_factor = reject_factor
        self.chosen: tuple[float, ReplicaState] | None = None
        self.runner_up: tuple[float, ReplicaState] | None = None


def size_class(byte_count: int) -> int:
    """Return the class of a body's size, which grows by one each time the size grows fourfold."""
    return (byte_count.bit_length() + 1) // 2


class WorkBook:
    """
    Learned costs.

    :param classes: cost by route name and size class, the least recently updated first
    :param services: cost by service, the same order
    """

    __slots__ = ('classes', 'services')

    def __init__(self):
        self.classes: dict[tuple[str, int], Cost] = {}
        self.services: dict[str, Cost] = {}

    def expect(
        self,
        route_name: str,
        service: str,
        byte_count: int,
        priority: int,
        attempts_left: int,
        now_ms: float,
    ) -> Demand:
        """
        Return what a request needs.

        :param byte_count: size of its body
        :param attempts_left: number of replicas that may still run it, this attempt included
        """
        of_service = self.services.get(service)
        of_class = self.classes.get((route_name, size_class(byte_count)))
        mean_ms = INITIAL_COST_MS if of_service is None else of_service.mean_ms
        others = 0.0 if of_service is None else of_service.others
        cost_ms, age_ms = mean_ms, None
        if of_class is not None:
            cost_ms, age_ms = of_class.mean_ms, now_ms - of_class.updated_ms
        is_urgent = of_service is None or priority <= of_service.priority
        is_long = not is_urgent and cost_ms > LONG_FACTOR * mean_ms
        factor = REJECT_FACTOR if attempts_left > 1 else REJECT_FACTOR * LAST_ATTEMPT_FACTOR
        wait_factor = 1.0 if of_service is None else of_service.wait_factor
        return Demand(cost_ms, age_ms, mean_ms, others, is_long, factor, wait_factor)

    def learn(
        self,
        route_name: str,
        service: str,
        byte_count: int,
        priority: int,
        work_ms: float,
        now_ms: float,
    ) -> None:
        """
        Learn from the work that a request took, without the time in a queue.

        :param work_ms: milliseconds, converted to a replica of usual pace
        """
        key = (route_name, size_class(byte_count))
        cost = self.classes.pop(key, None)
        if cost is None:
            cost = Cost(work_ms, now_ms)
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[next(iter(self.classes))]
        self.classes[key] = cost
        sample_ms = limit_sample(work_ms, cost.mean_ms)
        cost.add(sample_ms, now_ms)
        of_service = self.find_service(service, sample_ms, priority, now_ms)
        of_service.add(sample_ms, now_ms)
        of_service.priority = min(of_service.priority, priority)

    def learn_others(self, service: str, others: float, now_ms: float) -> None:
        """Learn how many requests of other VMs a replica of a service has."""
        cost = self.services.get(service)
        if cost is not None:
            cost.others += OTHERS_WEIGHT * (others - cost.others)

    def learn_wait(self, service: str, expected_ms: float, actual_ms: float) -> None:
        """
        Learn how far waits at a service are from those expected.

        :param expected_ms: wait expected in milliseconds, not corrected
        :param actual_ms: milliseconds that a reply took in addition to the expected work
        """
        cost = self.services.get(service)
        if cost is None:
            return
        cost.expected_wait_ms += WAIT_WEIGHT * (expected_ms - cost.expected_wait_ms)
        actual_ms = max(-expected_ms, actual_ms)
        cost.actual_wait_ms += WAIT_WEIGHT * (actual_ms - cost.actual_wait_ms)

    def is_stale(self, route_name: str, byte_count: int, now_ms: float) -> bool:
        """Return whether the cost of a class is unknown, or was learned long ago."""
        cost = self.classes.get((route_name, size_class(byte_count)))
        return cost is None or now_ms - cost.updated_ms > STALE_COST_MS

    def find_service(self, service: str, work_ms: float, priority: int, now_ms: float) -> Cost:
        """Return the cost of a service, a new one if it has none."""
        cost = self.services.pop(service, None)
        if cost is None:
            cost = Cost(work_ms, now_ms)
            cost.priority = priority
            if len(self.services) >= MAX_SERVICES:
                del self.services[next(iter(self.services))]
        self.services[service] = cost
        return cost

    def describe(self, now_ms: float, limit: int = 50) -> dict:
        """Return the means of all services and of the latest request classes, for a dump."""
        classes = {}
        for route_name, size in list(self.classes)[-limit:]:
            cost = self.classes[route_name, size]
            classes[f'{route_name}/{size}'] = describe_cost(cost, now_ms)
        services = {}
        for name, cost in self.services.items():
            services[name] = {
                **describe_cost(cost, now_ms),
                'others': round(cost.others, 2),
                'wait_factor': round(cost.wait_factor, 2),
            }
        return {'class_count': len(self.classes), 'classes': classes, 'services': services}


def describe_cost(cost: Cost, now_ms: float) -> dict:
    """Return the fields of a cost for a dump."""
    return {
        'mean_ms': round(cost.mean_ms, 2),
        'samples': cost.count,
        'age_ms': round(now_ms - cost.updated_ms),
    }


def limit_sample(sample_ms: float, expected_ms: float) -> float:
    """Return a sample, limited to what a request of the class may plausibly take."""
    least_ms = max(MIN_COST_MS, MIN_SAMPLE_RATIO * expected_ms)
    return max(least_ms, min(MAX_SAMPLE_RATIO * expected_ms, sample_ms))
