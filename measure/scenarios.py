"""Benchmark scenarios: the offered load and the faults injected while it runs."""

import random
import threading
import time
from collections.abc import Callable

import msgspec

from beechbridge.models import KEY_SPACE, Shard, ShardMap
from demo.fleet import Fleet

from .load import Call, plan_calls

SERVICE_MS = 60.0
SLOTS_PER_SERVICE = 4
CAPACITY_PER_S = SLOTS_PER_SERVICE / (SERVICE_MS / 1000.0)
"""Queries per second that the slots of each service can process."""

STEADY_SHARE = 0.35
BURST_QUERIES = 500
SNAPSHOT_INTERVAL_S = 0.1
NEW_MAP_AFTER_SNAPSHOTS = 20


class Deployment:
    """
    An example deployment to benchmark.

    :param classes: query classes of the main back end: name, urgency, hard deadline in ms
    """

    __slots__ = ('back_end', 'classes', 'folder', 'write_back_end', 'write_hard_ms')

    def __init__(
        self,
        folder: str,
        back_end: str,
        classes: list[tuple[str, int, int]],
        write_back_end: str,
        write_hard_ms: int,
    ):
        self.folder = folder
        self.back_end = back_end
        self.classes = classes
        self.write_back_end = write_back_end
        self.write_hard_ms = write_hard_ms


class Scenario:
    """
    One benchmark scenario.

    :param phases: duration in seconds and offered load as a share of capacity, in order
    :param plan: returns the calls; None to plan queries by the phases
    :param inject: injects faults while the load runs, returns when done; None to do nothing
    :param restore: removes remaining effects of `inject`
    """

    __slots__ = ('inject', 'name', 'phases', 'plan', 'restore')

    def __init__(
        self,
        name: str,
        phases: list[tuple[float, float]],
        plan: Callable | None = None,
        inject: Callable[[Fleet, Deployment], None] | None = None,
        restore: Callable[[Fleet, Deployment], None] | None = None,
    ):
        self.name = name
        self.phases = phases
        self.plan = plan
        self.inject = inject
        self.restore = restore

    def calls(self, deployment: Deployment, rng: random.Random) -> list[Call]:
        """Return the calls to make."""
        if self.plan is not None:
            return self.plan(self, deployment, rng)
        rates = [(duration_s, share * CAPACITY_PER_S) for duration_s, share in self.phases]
        return plan_calls(deployment.classes, rates, rng)


def plan_burst(scenario: Scenario, deployment: Deployment, rng: random.Random) -> list[Call]:
    """Plan a burst of simultaneous queries on an idle system."""
    calls = []
    for _ in range(BURST_QUERIES):
        name, urgency, hard_ms = rng.choice(deployment.classes)
        calls.append(Call(0.0, name, urgency, hard_ms, rng.randrange(16)))
    return calls


def plan_writes(scenario: Scenario, deployment: Deployment, rng: random.Random) -> list[Call]:
    """Plan non-idempotent requests."""
    classes = [('write', 100, deployment.write_hard_ms)]
    calls = plan_calls(classes, [(duration, 15.0) for duration, _ in scenario.phases], rng)
    for number, planned in enumerate(calls):
        planned.key = f'filed-{number}'
    return calls


def configure_replicas(
    fleet: Fleet, back_end: str, replicas: list[str] | None = None, **fields
) -> None:
    """Change the behaviour of the named replicas of a back end, or of all of them."""
    fleet.command_back_end(back_end, 'behave', replicas=replicas, fields=fields)


def first_replicas(fleet: Fleet, back_end: str) -> list[str]:
    """Return the first replica of each service."""
    replicas = {}
    for row in fleet.rows:
        if row.back_end == back_end:
            replicas.setdefault(row.service, row.replica)
    return sorted(replicas.values())


def send_to_host(fleet: Fleet, back_end: str, replica_id: str, command: str, **fields) -> None:
    """Send a command to the process that hosts a replica."""
    for host in fleet.hosts[back_end]:
        if replica_id in host.send_command('ports'):
            host.send_command(command, **fields)


def start_straggling(fleet: Fleet, deployment: Deployment) -> None:
    """Make one replica of every service delay some of its replies."""
    configure_replicas(
        fleet,
        deployment.back_end,
        first_replicas(fleet, deployment.back_end),
        straggler_share=0.05,
    )


def stop_straggling(fleet: Fleet, deployment: Deployment) -> None:
    """Stop delaying replies."""
    configure_replicas(fleet, deployment.back_end, straggler_share=0.0)


def restart_replicas(fleet: Fleet, deployment: Deployment) -> None:
    """Restart one replica of each service with a slow cold start, one after another."""
    for replica in first_replicas(fleet, deployment.back_end):
        send_to_host(fleet, deployment.back_end, replica, 'restart_cold', replica=replica)
        time.sleep(0.4)


def hang_replica(fleet: Fleet, deployment: Deployment) -> None:
    """Make one replica stop answering without closing its connections."""
    time.sleep(1.0)
    replica = first_replicas(fleet, deployment.back_end)[0]
    fields = {'silent': True}
    send_to_host(fleet, deployment.back_end, replica, 'behave', replicas=[replica], fields=fields)


def resume_replicas(fleet: Fleet, deployment: Deployment) -> None:
    """Make every replica answer again."""
    configure_replicas(fleet, deployment.back_end, silent=False)


def silence_connections(fleet: Fleet, deployment: Deployment) -> None:
    """Make all open connections stop responding."""
    time.sleep(1.0)
    fleet.command_back_end(deployment.back_end, 'silence_open')


def publish_snapshots(fleet: Fleet, deployment: Deployment) -> None:
    """Publish a snapshot every 100 ms."""
    until_s = time.monotonic() + 9.0
    while time.monotonic() < until_s:
        fleet.command_back_end(deployment.back_end, 'advance')
        time.sleep(SNAPSHOT_INTERVAL_S)


def repartition(fleet: Fleet, deployment: Deployment) -> None:
    """Publish a shard map with one shard split and two merged, and advance to its snapshot."""
    back_end = deployment.back_end
    counts = fleet.command_back_end(back_end, 'count')
    first = max(count['newest'] for count in counts) + NEW_MAP_AFTER_SNAPSHOTS
    shard_map = split_and_merge(fleet, back_end)
    encoded_map = msgspec.to_builtins(shard_map)
    fleet.command_back_end(back_end, 'add_map', first_snapshot=first, map=encoded_map)
    fleet.add_map(back_end, first, shard_map)
    fleet.publish_next()
    for _ in range(2 * NEW_MAP_AFTER_SNAPSHOTS):
        fleet.command_back_end(back_end, 'advance')
        time.sleep(SNAPSHOT_INTERVAL_S)


def split_and_merge(fleet: Fleet, back_end: str) -> ShardMap:
    """Return a map in which the first service has two shards and the last two share one."""
    services = sorted({row.service for row in fleet.rows if row.back_end == back_end})
    count = len(services)
    bounds = [KEY_SPACE * number // count for number in range(count + 1)]
    half = bounds[1] // 2
    shards = [
        Shard('split-low', 0, half, services[0]),
        Shard('split-high', half, bounds[1], services[1]),
    ]
    for number in range(1, count - 2):
        name = f'moved-{number}'
        shards.append(Shard(name, bounds[number], bounds[number + 1], services[number]))
    shards.append(Shard('merged', bounds[count - 2], KEY_SPACE, services[count - 1]))
    return ShardMap(tuple(shards))


def replace_vms(fleet: Fleet, deployment: Deployment) -> None:
    """Replace every VM, one after another."""
    for process in list(fleet.vms):
        replacement = fleet.start_vm(f'{process.vm.name}n', process.vm.place)
        while not fleet.is_ready(replacement):
            time.sleep(0.05)
        fleet.platform.mark_leaving(process.vm.name)
        if process.stop() != 0:
            raise SystemExit(f'{process.vm.name} did not stop gracefully')
        fleet.platform.unlist_vm(process.vm.name)
        fleet.vms.remove(process)


def partition_vms(fleet: Fleet, deployment: Deployment) -> None:
    """Partition the VMs into two halves for 5 s."""
    time.sleep(1.0)
    for number, process in enumerate(fleet.vms):
        fleet.partition_of[process.vm.name] = number % 2
    time.sleep(5.0)
    fleet.partition_of.clear()


SCENARIOS = (
    Scenario('steady', [(12.0, STEADY_SHARE)]),
    Scenario(
        'stragglers', [(12.0, STEADY_SHARE)], inject=start_straggling, restore=stop_straggling
    ),
    Scenario('burst', [], plan=plan_burst),
    Scenario('overload', [(10.0, 3.0), (6.0, 0.5)]),
    Scenario('cold', [(10.0, STEADY_SHARE)], inject=restart_replicas),
    Scenario('hang', [(10.0, STEADY_SHARE)], inject=hang_replica, restore=resume_replicas),
    Scenario('versions', [(9.0, STEADY_SHARE)], inject=publish_snapshots),
    Scenario('repartition', [(6.0, STEADY_SHARE)], inject=repartition),
    Scenario('partition', [(8.0, 0.0)], plan=plan_writes, inject=partition_vms),
    Scenario('replacement', [(30.0, STEADY_SHARE)], inject=replace_vms),
    Scenario('silent', [(10.0, STEADY_SHARE)], inject=silence_connections),
)


class FaultInjector(threading.Thread):
    """Injects the faults of a scenario while its load runs."""

    def __init__(self, scenario: Scenario, fleet: Fleet, deployment: Deployment):
        super().__init__(daemon=True)
        self.scenario = scenario
        self.fleet = fleet
        self.deployment = deployment
        self.failure: BaseException | None = None

    def run(self) -> None:
        """Inject the faults, and keep any exception for the caller."""
        try:
            if self.scenario.inject is not None:
                self.scenario.inject(self.fleet, self.deployment)
        except BaseException as error:
            self.failure = error
