"""
Runs the benchmark scenarios on loopback with the current and the naive policy.

Prints one table and writes the results, with the seed and the commit, to a file.
"""

import itertools
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path

import msgspec
from absl import app, flags
from tabulate import tabulate

from beechbridge.models import Vm
from beechbridge.rules import Rules, parse_rules
from demo.fleet import Fleet, call, parse_or_exit

from .load import LoadGenerator, Result
from .proxy import PeerProxy
from .scenarios import (
    CAPACITY_PER_S,
    SCENARIOS,
    SERVICE_MS,
    Deployment,
    FaultInjector,
    Scenario,
    configure_replicas,
)

EXAMPLES = Path(__file__).parent.parent / 'examples'
VM_COUNT = 6
SETTLE_S = 2.0
POLICIES = ('naive', 'current')
TIME_SCALE = 4
"""Factor on the deadlines of liftwatch: stand-ins respond slowly, to use little CPU time."""

DEPLOYMENTS = (
    Deployment(
        'liftwatch',
        'alert-feed',
        [
            ('passenger-alert', 80, 400 * TIME_SCALE),
            ('journey-planner', 20, 1000 * TIME_SCALE),
        ],
        'fault-intake',
        3000,
    ),
    Deployment(
        'notaries',
        'estate-desk',
        [('estate-search', 80, 4000), ('bank-enquiry', 30, 8000)],
        'deed-register',
        5000,
    ),
)

FLAGS = flags.FLAGS


class MeasuredFleet(Fleet):
    """A fleet whose VMs communicate through proxies that can partition the network."""

    def __init__(self, *arguments, **fields):
        self.partition_of: dict[str, int] = {}
        super().__init__(*arguments, **fields)

    def published_peer_port(self, vm: Vm) -> int:
        """Start a proxy for the VM's peer address and return its port."""
        return PeerProxy(vm.name, vm.peer_port, self.partition_of).port


def scale_rules(deployment: Deployment) -> Rules:
    """Return the example's rules with the deadlines that the benchmark uses."""
    rules = parse_or_exit(parse_rules, EXAMPLES / deployment.folder / 'rules.toml')
    hard_by_class = {name: hard_ms for name, _, hard_ms in deployment.classes}
    classes = {}
    for name, query_class in rules.classes.items():
        hard_ms = hard_by_class.get(name, query_class.hard_deadline_ms)
        factor = hard_ms / query_class.hard_deadline_ms
        classes[name] = msgspec.structs.replace(
            query_class,
            hard_deadline_ms=hard_ms,
            soft_deadline_ms=int(query_class.soft_deadline_ms * factor),
        )
    return msgspec.structs.replace(rules, classes=classes)


def read_counters(fleet: Fleet) -> dict[str, int]:
    """Return the sums of the counters of all VMs."""
    totals: dict[str, int] = {}
    for process in fleet.vms:
        _, state = call(process.vm.operations_port, 'GET', '/v1/state')
        for name, value in state['counters'].items():
            totals[name] = totals.get(name, 0) + value
    return totals


def percentile_ms(results: list[Result], percentile: float) -> float:
    """Return a percentile of the latency of answered calls."""
    latencies_ms = [result.latency_ms for result in results]
    if len(latencies_ms) == 1:
        return latencies_ms[0]
    cut_points_ms = statistics.quantiles(latencies_ms, n=1000, method='inclusive')
    return cut_points_ms[round(percentile * 10) - 1]


def allowed_weight(results: list[Result], scenario: Scenario) -> float:
    """
    Return the total urgency of the calls that the slots can answer in time.

    Of the calls offered above capacity, the slots can answer, in order of urgency, those that they
    can finish by the deadline of the last one; all other calls count in full.
    """
    overload_end_s = {'burst': 0.0, 'overload': scenario.phases and scenario.phases[0][0]}
    until_s = overload_end_s.get(scenario.name)
    if until_s is None:
        return sum(result.call.urgency for result in results)
    competing = [result.call for result in results if result.at_s <= until_s]
    competing.sort(key=lambda call: -call.urgency)
    allowed = sum(result.call.urgency for result in results if result.at_s > until_s)
    for number, planned in enumerate(competing):
        if number < CAPACITY_PER_S * (until_s + planned.hard_ms / 1000.0):
            allowed += planned.urgency
    return allowed


def summarise(
    scenario: Scenario,
    results: list[Result],
    before: dict[str, int],
    after: dict[str, int],
) -> dict:
    """Return the results of one run of a scenario."""
    increments = {name: after.get(name, 0) - before.get(name, 0) for name in after}
    primaries = sum(value for name, value in increments.items() if name.startswith('primaries.'))
    exchanges = increments.get('exchanges.ShardQuery', 0)
    answered = [result for result in results if result.status == 200]
    row = {'offered': len(results), 'answered': len(answered)}
    row['latency_ms'] = {}
    for urgency in sorted({result.call.urgency for result in results}, reverse=True):
        chosen = [result for result in answered if result.call.urgency == urgency]
        if not chosen:
            continue
        row['latency_ms'][str(urgency)] = [
            round(percentile_ms(chosen, percentile), 1) for percentile in (50, 99, 99.9)
        ]
    row['complete_share'] = share(sum(r.share == 1.0 for r in results), len(results))
    row['mean_coverage'] = round(sum(r.share for r in results) / max(1, len(results)), 4)
    allowed = allowed_weight(results, scenario)
    in_time = sum(r.call.urgency for r in results if r.is_in_time)
    row['weighted_in_time'] = round(in_time / allowed, 4)
    row['extra_share'] = share(exchanges - primaries, primaries)
    row['connections_per_primary'] = share(increments.get('connections_opened', 0), primaries)
    row['refused_not_run'] = sum(r.executed == 'not_run' for r in results)
    row['failed_unknown'] = sum(r.executed == 'unknown' for r in results)
    row['reasons'] = {}
    for result in results:
        if result.reason:
            row['reasons'][result.reason] = row['reasons'].get(result.reason, 0) + 1
    row['counters'] = {name: value for name, value in sorted(increments.items()) if value}
    return row


def share(part: float, whole: float) -> float:
    """Return a part as a share of the whole, 0 if the whole is 0."""
    return round(part / whole, 4) if whole else 0.0


def count_violations(fleet: Fleet, deployment: Deployment, results: list[Result]) -> dict:
    """Count violations of the guarantees of the tier."""
    rejected = [r.request_id for r in results if r.executed == 'not_run' and r.request_id]
    ran = []
    for reply in fleet.command_back_end(deployment.back_end, 'ran', request_ids=rejected):
        ran += reply['ran']
    executions: dict[str, int] = {}
    for reply in fleet.command_back_end(deployment.write_back_end, 'executions'):
        for number, count in reply.items():
            executions[number] = executions.get(number, 0) + count
    false_not_run = len(ran)
    for result in results:
        if (
            result.ticket_number
            and result.executed == 'not_run'
            and executions.get(result.ticket_number)
        ):
            false_not_run += result.outcome != 'done'
    overruns = sum(
        reply['connection_overruns']
        for name in fleet.hosts
        for reply in fleet.command_back_end(name, 'count')
    )
    return {
        'double_execution': sum(count > 1 for count in executions.values()),
        'mixed_snapshot': sum(result.has_mixed_snapshots for result in results),
        'false_coverage': sum(result.false_coverage for result in results),
        'false_not_run': false_not_run,
        'connection_overrun': overruns,
        'cut_off': sum(result.is_cut_off for result in results),
    }


def recovery_s(results: list[Result], load_end_s: float) -> float:
    """Return for how long after an overload calls still miss their deadline, in seconds."""
    late = [r.at_s for r in results if r.at_s > load_end_s and not r.is_in_time]
    return round(max(late) - load_end_s, 2) if late else 0.0


def run_scenario(
    fleet: MeasuredFleet, deployment: Deployment, scenario: Scenario, seed: int
) -> dict:
    """Run one scenario on a running fleet."""
    rng = random.Random(f'{seed}-{scenario.name}-{deployment.folder}')
    is_write = scenario.name == 'partition'
    back_end = deployment.write_back_end if is_write else deployment.back_end
    load = LoadGenerator(back_end, [process.vm.caller_port for process in fleet.vms])
    before = read_counters(fleet)
    overruns_before = count_violations(fleet, deployment, [])['connection_overrun']
    injector = FaultInjector(scenario, fleet, deployment)
    injector.start()
    results = load.run(scenario.calls(deployment, rng))
    injector.join()
    if injector.failure is not None:
        raise injector.failure
    row = summarise(scenario, results, before, read_counters(fleet))
    row['violations'] = count_violations(fleet, deployment, results)
    row['violations']['connection_overrun'] -= overruns_before
    if scenario.name == 'overload':
        row['recovery_s'] = recovery_s(results, scenario.phases[0][0])
    if scenario.restore is not None:
        scenario.restore(fleet, deployment)
    return row


def run_policy(deployment: Deployment, policy: str, names: list[str], seed: int) -> dict:
    """Run the scenarios with one policy on one fleet."""
    fleet = MeasuredFleet(
        EXAMPLES / deployment.folder,
        VM_COUNT,
        policy=policy,
        split_back_ends=(deployment.back_end,),
        rules=scale_rules(deployment),
    )
    rows = {}
    try:
        fleet.wait_ready()
        configure_replicas(fleet, deployment.back_end, service_ms=SERVICE_MS, marks=True)
        warm_up(fleet, deployment)
        for scenario in SCENARIOS:
            if scenario.name not in names:
                continue
            rows[scenario.name] = run_scenario(fleet, deployment, scenario, seed)
            print(f'{deployment.folder} {policy} {scenario.name}: done', file=sys.stderr)
            time.sleep(SETTLE_S)
    finally:
        fleet.close()
    return rows


def warm_up(fleet: Fleet, deployment: Deployment) -> None:
    """Send a few queries to every VM, to open connections and initialise estimates."""
    name = deployment.classes[0][0]
    body = {'back_end': deployment.back_end, 'class': name}
    for process in fleet.vms:
        for _ in range(5):
            call(process.vm.caller_port, 'POST', '/v1/query', body)


def table_rows(results: dict) -> list[dict]:
    """Return the table, with one row for each user, scenario and policy."""
    rows = []
    for user, by_policy in results.items():
        names = list(by_policy['current'])
        for name, policy in itertools.product(names, POLICIES):
            if policy not in by_policy:
                continue
            rows.append(table_row(user, name, policy, by_policy))
    return rows


def table_row(user: str, name: str, policy: str, by_policy: dict) -> dict:
    """Return one row of the table."""
    figures = by_policy[policy][name]
    latencies = [
        f'{urgency}: ' + '/'.join(f'{value:.0f}' for value in values)
        for urgency, values in figures['latency_ms'].items()
    ]
    naive = by_policy.get('naive', {}).get(name)
    ratio = ''
    if policy == 'current' and naive and naive['latency_ms'] and figures['latency_ms']:
        urgency = next(iter(figures['latency_ms']))
        if urgency in naive['latency_ms']:
            ratio = f'{figures["latency_ms"][urgency][1] / naive["latency_ms"][urgency][1]:.2f}'
    violations = ', '.join(
        f'{key} {value}' for key, value in figures['violations'].items() if value
    )
    return {
        'user': user,
        'scenario': name,
        'policy': policy,
        'offered': figures['offered'],
        'answered': figures['answered'],
        'urgency: p50/p99/p99.9 ms': '  '.join(latencies),
        'p99 ratio': ratio,
        'complete': f'{figures["complete_share"]:.1%}',
        'coverage': f'{figures["mean_coverage"]:.1%}',
        'in time': f'{figures["weighted_in_time"]:.1%}',
        'extra': f'{figures["extra_share"]:.1%}',
        'conn/prim': f'{figures["connections_per_primary"]:.3f}',
        'not run': figures['refused_not_run'],
        'unknown': figures['failed_unknown'],
        'recovery s': figures.get('recovery_s', ''),
        'violations': violations or 'none',
    }


def describe_commit() -> str:
    """Return the name of the commit under test."""
    described = subprocess.run(
        ['git', 'describe', '--always', '--dirty'], capture_output=True, text=True, check=False
    )
    return described.stdout.strip() or 'unknown'


def main(arguments: list[str]) -> int:
    """Run the scenarios that the flags select and report the results."""
    names = FLAGS.scenario or [scenario.name for scenario in SCENARIOS]
    results: dict[str, dict] = {}
    for deployment in DEPLOYMENTS:
        if FLAGS.user and deployment.folder not in FLAGS.user:
            continue
        results[deployment.folder] = {}
        for policy in FLAGS.policy or POLICIES:
            rows = run_policy(deployment, policy, names, FLAGS.seed)
            results[deployment.folder][policy] = rows
    report = {'seed': FLAGS.seed, 'commit': describe_commit(), 'results': results}
    output = Path(FLAGS.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
    print(tabulate(table_rows(results), headers='keys', tablefmt='simple'))
    print(f'\nseed {FLAGS.seed}, commit {report["commit"]}, written to {output}')
    return 0


def run() -> None:
    """Define the flags and run the program."""
    flags.DEFINE_list('scenario', [], 'scenarios to run; all if not given')
    flags.DEFINE_list('user', [], 'example deployments to run; all if not given')
    flags.DEFINE_list('policy', [], 'policies to run; both if not given')
    flags.DEFINE_integer('seed', 1, 'seed of arrivals and classes')
    flags.DEFINE_string('output', 'build/measure.json', 'file for the results')
    app.run(main)


if __name__ == '__main__':
    run()
