"""
Compares choices of replicas on the emulator where requests cost very different amounts of work.

`python -m measure.uneven_work [SEED ...]` prints a table; all choices get the same seeds.
"""

import random
import sys

from tabulate import tabulate

from beechbridge.gateway.models import ForwardedAnswer, MergedAnswer
from beechbridge.gateway.replicas.upstreams import QUEUE_FACTOR, ReplicaState, Upstreams
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.requests.work_estimates import switch_balancing
from beechbridge.gateway.routes import Route
from beechbridge.record import Record

from .emulator import HOST, Emulator
from .stand_ins import ReplicaSpec

SETTLE_MS = 4_000.0
WARM_S = 4.0
SECONDS = 10.0
ONE_ZONE = ('brum-a',) * 4
THREE_ZONES = ('brum-a', 'brum-a', 'brum-b', 'notts-a')
SLOW_FACTOR = 6.0
SLOW_AT_MS, SLOW_FOR_MS = 2_000.0, 5_000.0
CHOICES = ('latency', 'outstanding', 'work')
COLUMNS = (
    'scenario',
    'route',
    'choice',
    'p50, ms',
    'p99, ms',
    'in goal',
    'failed',
    'repeats',
    'remote',
)


class Load(Record):
    """
    Requests of one route.

    :param shards: number of services; more than one for a gather
    :param work_ms: median processing time
    :param rate_per_s: requests per second of all callers
    :param goal_ms: latency goal
    """

    __slots__ = ('goal_ms', 'name', 'priority', 'rate_per_s', 'shards', 'work_ms')

    def __init__(
        self,
        name: str,
        work_ms: float,
        rate_per_s: float,
        goal_ms: float,
        priority: int = 1,
        shards: int = 1,
    ):
        self.name = name
        self.work_ms = work_ms
        self.rate_per_s = rate_per_s
        self.goal_ms = goal_ms
        self.priority = priority
        self.shards = shards


class Scenario(Record):
    """
    One deployment and its loads.

    :param copies: replicas of each service
    :param slow_count: replicas of each service that are slow for a while
    :param reports_load: whether replicas report their load
    :param zones: data centre of each VM; replicas are in all of them
    """

    __slots__ = ('copies', 'loads', 'name', 'reports_load', 'slow_count', 'zones')

    def __init__(
        self,
        name: str,
        copies: int,
        loads: tuple[Load, ...],
        slow_count: int = 0,
        reports_load: bool = True,
        zones: tuple[str, ...] = ONE_ZONE,
    ):
        self.name = name
        self.zones = zones
        self.copies = copies
        self.loads = loads
        self.slow_count = slow_count
        self.reports_load = reports_load


SHORT = Load('short', 8.0, 420.0, 60.0, priority=0)
LONG = Load('long', 120.0, 52.0, 500.0, priority=2)
GATHER = Load('gather', 16.0, 90.0, 113.0, shards=8)
SCENARIOS = (
    Scenario('two sizes', 6, (SHORT, LONG)),
    Scenario('two sizes, no reports', 6, (SHORT, LONG), reports_load=False),
    Scenario('two sizes, three zones', 6, (SHORT, LONG), zones=THREE_ZONES),
    Scenario('one slow of three', 3, (Load('middle', 24.0, 130.0, 120.0),), slow_count=1),
    Scenario('gather of 8', 2, (GATHER,)),
    Scenario('gather beside long', 3, (GATHER, Load('heavy', 120.0, 22.0, 500.0, priority=2))),
)


class LeastOutstanding(Upstreams):
    """Replicas with the fewest exchanges of this VM in flight are chosen, for comparison."""

    __slots__ = ()

    def find_fastest(
        self, states: list[ReplicaState], route_name: str, now_ms: float, rng
    ) -> tuple[ReplicaState | None, float]:
        """Return a state with the fewest exchanges, and its expected latency in milliseconds."""

        def order(state: ReplicaState) -> tuple:
            return state.is_suspect(now_ms), len(state.busy), rng.random()

        state = min(states, key=order)
        typical_ms = self.typical_ms(route_name, state.distance)
        return state, typical_ms * (1.0 + QUEUE_FACTOR * len(state.busy))


class Outcome:
    """Statistics of one route with one choice of replicas."""

    __slots__ = ('failed_count', 'in_goal_count', 'latencies_ms')

    def __init__(self):
        self.latencies_ms: list[float] = []
        self.failed_count = 0
        self.in_goal_count = 0


def draw_spec(scenario: Scenario, rng: random.Random) -> ReplicaSpec:
    """Return a replica as the users' platform has them: no two are alike."""
    return ReplicaSpec(
        slots=rng.randint(2, 4),
        queue_limit=rng.randint(8, 12),
        pause_ms=rng.uniform(150.0, 250.0),
        pause_every_ms=rng.uniform(3_600.0, 6_000.0),
        slow_factor=rng.uniform(0.8, 1.3),
        reports_load=scenario.reports_load,
        spread=rng.uniform(0.35, 0.5),
        long_share=0.01,
    )


def start(scenario: Scenario, choice: str, seed: int) -> Emulator:
    """Start a scenario's deployment with a choice of replicas and let it settle."""
    work_ms = {load.name: load.work_ms for load in scenario.loads}
    emulator = Emulator(scenario.zones, work_ms, BudgetRules(0.2, 56.0), seed)
    for vm in emulator.vms:
        if choice == 'outstanding':
            vm.gateway.upstreams = LeastOutstanding()
        switch_balancing(choice == 'work', vm.gateway)
    rng = random.Random(seed)
    zones = sorted(set(scenario.zones))
    shard_count = max(load.shards for load in scenario.loads)
    for shard in range(shard_count):
        for copy in range(scenario.copies):
            zone = zones[(shard + copy) % len(zones)]
            spec = draw_spec(scenario, rng)
            emulator.put_replica(f'r-{shard}-{copy}', f's-{shard}', zone, spec)
    routes = []
    for load in scenario.loads:
        services = tuple(f's-{shard}' for shard in range(load.shards))
        routes.append(
            Route(
                load.name,
                HOST,
                f'/{load.name}/',
                services,
                is_gather=load.shards > 1,
                attempts=2,
                timeout_ms=1_200.0,
                objective_ms=load.goal_ms,
                priority=load.priority,
                top_records=10,
                min_share=0.89,
            )
        )
    emulator.put_table(routes)
    emulator.run(SETTLE_MS)
    return emulator


def schedule_slowness(scenario: Scenario, emulator: Emulator) -> None:
    """Make some replicas of each service slow for a while."""
    for replica in emulator.replicas.values():
        if int(replica.entry.replica_id.rpartition('-')[2]) >= scenario.slow_count:
            continue
        usual = replica.spec.slow_factor
        for delay_ms, factor in (
            (SLOW_AT_MS, SLOW_FACTOR * usual),
            (SLOW_AT_MS + SLOW_FOR_MS, usual),
        ):
            emulator.schedule(
                delay_ms, lambda s=replica.spec, f=factor: setattr(s, 'slow_factor', f)
            )


def generate_load(scenario: Scenario, emulator: Emulator, seconds: float, seed: int) -> list:
    """Send requests at random times; return load, VM, key and time of each."""
    rng = random.Random(seed)
    total_per_s = sum(load.rate_per_s for load in scenario.loads)
    rates = [load.rate_per_s for load in scenario.loads]
    requests = []
    end_ms = emulator.now_ms + seconds * 1000.0
    while emulator.now_ms < end_ms:
        load = rng.choices(scenario.loads, rates)[0]
        vm = rng.randrange(len(emulator.vms))
        key = emulator.send_request(vm, f'/{load.name}/x', 1_200.0)
        requests.append((load, vm, key, emulator.now_ms))
        emulator.run(rng.expovariate(total_per_s / 1000.0))
    return requests


def run_seed(
    scenario: Scenario, choice: str, seed: int, outcomes: dict[str, Outcome], attempts: list[int]
) -> None:
    """Run one seed and add its statistics to the outcomes by route."""
    emulator = start(scenario, choice, seed)
    generate_load(scenario, emulator, WARM_S, seed)
    schedule_slowness(scenario, emulator)
    requests = generate_load(scenario, emulator, SECONDS, seed + 1)
    emulator.run(2_000.0)
    for load, vm, key, sent_ms in requests:
        outcome = outcomes.setdefault(load.name, Outcome())
        answered_ms, answer = emulator.vms[vm].answers[key]
        latency_ms = answered_ms - sent_ms
        if not isinstance(answer, ForwardedAnswer | MergedAnswer):
            outcome.failed_count += 1
            latency_ms = max(latency_ms, 1_200.0)
        outcome.latencies_ms.append(latency_ms)
        outcome.in_goal_count += latency_ms <= load.goal_ms
    for vm in emulator.vms:
        attempts[0] += vm.gateway.counters.total('repeats')
        attempts[1] += vm.gateway.counters.total('sub_requests')
        attempts[2] += vm.gateway.counters.get('sub_requests', 'own_zone')


def compare(scenario: Scenario, choices: tuple[str, ...], seeds: list[int]) -> list[tuple]:
    """Return the rows of a scenario's table."""
    rows = []
    for choice in choices:
        outcomes: dict[str, Outcome] = {}
        attempts = [0, 0, 0]
        for seed in seeds:
            run_seed(scenario, choice, seed, outcomes, attempts)
        for name, outcome in sorted(outcomes.items()):
            ordered = sorted(outcome.latencies_ms)
            total = len(ordered)
            rows.append(
                (
                    scenario.name,
                    name,
                    choice,
                    round(ordered[total // 2], 1),
                    round(ordered[int(total * 0.99)], 1),
                    f'{outcome.in_goal_count / total:.1%}',
                    f'{outcome.failed_count / total:.2%}',
                    f'{attempts[0] / max(1, attempts[1]):.1%}',
                    f'{1.0 - attempts[2] / max(1, attempts[1]):.0%}',
                )
            )
    return sorted(rows, key=lambda row: row[1])


def main() -> None:
    """Print the table of all scenarios."""
    seeds = [int(text) for text in sys.argv[1:]] or [1, 2, 3]
    print(f'seeds {seeds}')
    for scenario in SCENARIOS:
        rows = compare(scenario, CHOICES, seeds)
        print(tabulate(rows, headers=COLUMNS, tablefmt='github'), flush=True)


if __name__ == '__main__':
    main()
