"""The scenarios: what is offered, and what happens meanwhile."""

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
"""Queries a second that the slots of each service allow."""

STEADY_SHARE = 0.35
BURST_QUERIES = 500
SNAPSHOT_INTERVAL_S = 0.1
NEW_MAP_AFTER = 20


class Deployment:
    """
    A user's deployment under measurement.

    :param classes: query classes of the main back end: name, urgency, hard deadline
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
    One scenario.

    :param phases: duration in seconds and offered share of capacity, in order
    :param plan: returns the calls; None plans queries by the phases
    :param disturb: runs beside the load and returns when it is over; None does nothing
    :param restore: undoes what is left of the disturbance
    """

    __slots__ = ('disturb', 'name', 'phases', 'plan', 'restore')

    def __init__(
        self,
        name: str,
        phases: list[tuple[float, float]],
        plan: Callable | None = None,
        disturb: Callable[[Fleet, Deployment], None] | None = None,
        restore: Callable[[Fleet, Deployment], None] | None = None,
    ):
        self.name = name
        self.phases = phases
        self.plan = plan
        self.disturb = disturb
        self.restore = restore

    def calls(self, deployment: Deployment, rng: random.Random) -> list[Call]:
        """Return the calls to make."""
        if self.plan is not None:
            return self.plan(self, deployment, rng)
        rates = [(duration_s, share * CAPACITY_PER_S) for duration_s, share in self.phases]
        return plan_calls(deployment.classes, rates, rng)


def plan_burst(scenario: Scenario, deployment: Deployment, rng: random.Random) -> list[Call]:
    """Plan a sudden batch on a quiet system."""
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


def behave(fleet: Fleet, back_end: str, replicas: list[str] | None = None, **fields) -> None:
    """Change the behaviour of replicas of a back end, all of them if none are named."""
    fleet.command_back_end(back_end, 'behave', replicas=replicas, fields=fields)


def first_replicas(fleet: Fleet, back_end: str) -> list[str]:
    """Return one replica of each service."""
    found = {}
    for row in fleet.rows:
        if row.back_end == back_end:
            found.setdefault(row.service, row.replica)
    return sorted(found.values())


def ask_owner(fleet: Fleet, back_end: str, replica_id: str, command: str, **fields) -> None:
    """Send a command to the process that hosts a replica."""
    for host in fleet.hosts[back_end]:
        if replica_id in host.send_command('ports'):
            host.send_command(command, **fields)


def straggle(fleet: Fleet, deployment: Deployment) -> None:
    """Let one replica of every service straggle."""
    behave(
        fleet,
        deployment.back_end,
        first_replicas(fleet, deployment.back_end),
        straggler_share=0.05,
    )


def stop_straggling(fleet: Fleet, deployment: Deployment) -> None:
    """Let no call straggle."""
    behave(fleet, deployment.back_end, straggler_share=0.0)


def restart_half(fleet: Fleet, deployment: Deployment) -> None:
    """Restart one replica of each service cold, one after another."""
    for replica in first_replicas(fleet, deployment.back_end):
        ask_owner(fleet, deployment.back_end, replica, 'restart_cold', replica=replica)
        time.sleep(0.4)


def hang_one(fleet: Fleet, deployment: Deployment) -> None:
    """Lose one replica without a reset."""
    time.sleep(1.0)
    replica = first_replicas(fleet, deployment.back_end)[0]
    fields = {'silent': True}
    ask_owner(fleet, deployment.back_end, replica, 'behave', replicas=[replica], fields=fields)


def bring_back(fleet: Fleet, deployment: Deployment) -> None:
    """Let every replica answer again."""
    behave(fleet, deployment.back_end, silent=False)


def silence(fleet: Fleet, deployment: Deployment) -> None:
    """Let all open connections go silent."""
    time.sleep(1.0)
    fleet.command_back_end(deployment.back_end, 'silence_open')


def advance_often(fleet: Fleet, deployment: Deployment) -> None:
    """Publish a snapshot every 100 ms."""
    until_s = time.monotonic() + 9.0
    while time.monotonic() < until_s:
        fleet.command_back_end(deployment.back_end, 'advance')
        time.sleep(SNAPSHOT_INTERVAL_S)


def repartition(fleet: Fleet, deployment: Deployment) -> None:
    """Publish a map with one shard split and two merged, and move on to its snapshot."""
    back_end = deployment.back_end
    counts = fleet.command_back_end(back_end, 'count')
    first = max(count['newest'] for count in counts) + NEW_MAP_AFTER
    shard_map = split_and_merge(fleet, back_end)
    shown = msgspec.to_builtins(shard_map)
    fleet.command_back_end(back_end, 'add_map', first_snapshot=first, map=shown)
    fleet.add_map(back_end, first, shard_map)
    fleet.publish_next()
    for _ in range(2 * NEW_MAP_AFTER):
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


def replace_all(fleet: Fleet, deployment: Deployment) -> None:
    """Replace every VM, one after another."""
    for process in list(fleet.vms):
        newcomer = fleet.start_vm(f'{process.vm.name}n', process.vm.place)
        while not fleet.is_ready(newcomer):
            time.sleep(0.05)
        fleet.platform.mark_leaving(process.vm.name)
        if process.stop() != 0:
            raise SystemExit(f'{process.vm.name} did not stop gracefully')
        fleet.platform.unlist_vm(process.vm.name)
        fleet.vms.remove(process)


def part(fleet: Fleet, deployment: Deployment) -> None:
    """Cut the VMs in two halves for a while."""
    time.sleep(1.0)
    for number, process in enumerate(fleet.vms):
        fleet.side_of[process.vm.name] = number % 2
    time.sleep(5.0)
    fleet.side_of.clear()


SCENARIOS = (
    Scenario('steady', [(12.0, STEADY_SHARE)]),
    Scenario('stragglers', [(12.0, STEADY_SHARE)], disturb=straggle, restore=stop_straggling),
    Scenario('burst', [], plan=plan_burst),
    Scenario('overload', [(10.0, 3.0), (6.0, 0.5)]),
    Scenario('cold', [(10.0, STEADY_SHARE)], disturb=restart_half),
    Scenario('hang', [(10.0, STEADY_SHARE)], disturb=hang_one, restore=bring_back),
    Scenario('versions', [(9.0, STEADY_SHARE)], disturb=advance_often),
    Scenario('repartition', [(6.0, STEADY_SHARE)], disturb=repartition),
    Scenario('partition', [(8.0, 0.0)], plan=plan_writes, disturb=part),
    Scenario('replacement', [(30.0, STEADY_SHARE)], disturb=replace_all),
    Scenario('silent', [(10.0, STEADY_SHARE)], disturb=silence),
)


class Disturbance(threading.Thread):
    """Runs a scenario's disturbance beside its load."""

    def __init__(self, scenario: Scenario, fleet: Fleet, deployment: Deployment):
        super().__init__(daemon=True)
        self.scenario = scenario
        self.fleet = fleet
        self.deployment = deployment
        self.failure: BaseException | None = None

    def run(self) -> None:
        """Disturb."""
        try:
            if self.scenario.disturb is not None:
                self.scenario.disturb(self.fleet, self.deployment)
        except BaseException as error:
            self.failure = error
