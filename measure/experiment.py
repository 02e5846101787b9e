"""
Emulator experiments that compare several policies on the same seeds.

`python -m measure.experiment FILE.toml` prints a table; `--plot=FILE.png` plots the latencies.
"""

import sys
from pathlib import Path

import msgspec
from absl import app, flags
from tabulate import tabulate

from beechbridge.failures import Failure
from beechbridge.fields import decode_toml
from beechbridge.gateway.models import MergedAnswer
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import Route
from beechbridge.status import ExitStatus

from .emulator import HOST, Emulator
from .stand_ins import ReplicaSpec

SETTLE_MS = 4_000.0
PATH = '/gather/x'
COLUMNS = (
    'policy',
    'p50, ms',
    'p99, ms',
    'in time',
    'coverage',
    'failed',
    'repeats',
    'connections',
)


class Replicas(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour of all replicas; see `stand_ins.ReplicaSpec`."""

    slots: int = 2
    queue_limit: int = 12
    pause_ms: float = 0.0
    pause_every_ms: float = 1e12


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """Temporary fault of a share of the replicas."""

    at_s: float
    for_s: float
    share: float
    slow_factor: float = 1.0
    reject_share: float = 0.0
    is_dark: bool = False


class PolicyChoice(msgspec.Struct, forbid_unknown_fields=True):
    """One of the policies that an experiment compares."""

    name: str
    budget_ratio: float = 0.2
    budget_fixed: float = 56.0
    connection_limit: int = 26


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """One experiment, as defined in its file."""

    name: str
    seeds: list[int]
    zones: list[str]
    shards: int
    copies: int
    work_ms: float
    rate_per_s: float
    seconds: float
    goal_ms: float
    timeout_ms: float
    least_share: float
    policies: list[PolicyChoice]
    warm_s: float = 5.0
    replicas: Replicas = msgspec.field(default_factory=Replicas)
    faults: list[Fault] = []


class Outcome:
    """Statistics of the runs with one policy."""

    __slots__ = (
        'connections',
        'extra_attempts',
        'failed_count',
        'in_time_count',
        'latencies_ms',
        'parts',
    )

    def __init__(self):
        self.latencies_ms: list[float] = []
        self.in_time_count = 0
        self.failed_count = 0
        self.parts = [0, 0]
        self.extra_attempts = [0, 0]
        self.connections = 0

    def row(self, name: str) -> tuple:
        """Return a row of the results table."""
        ordered = sorted(self.latencies_ms)
        total = len(ordered)
        return (
            name,
            round(ordered[total // 2], 1),
            round(ordered[int(total * 0.99)], 1),
            f'{self.in_time_count / total:.1%}',
            f'{self.parts[0] / max(1, self.parts[1]):.1%}',
            f'{self.failed_count / total:.1%}',
            f'{self.extra_attempts[0] / max(1, self.extra_attempts[1]):.1%}',
            self.connections,
        )


def start_emulator(experiment: Experiment, policy: PolicyChoice, seed: int) -> Emulator:
    """Start the experiment's deployment with a policy and let it settle."""
    budget = BudgetRules(policy.budget_ratio, policy.budget_fixed)
    emulator = Emulator(tuple(experiment.zones), {'gather': experiment.work_ms}, budget, seed)
    zones = sorted(set(experiment.zones))
    for shard in range(experiment.shards):
        for copy in range(experiment.copies):
            spec = ReplicaSpec(**msgspec.structs.asdict(experiment.replicas))
            zone = zones[(shard + copy) % len(zones)]
            emulator.put_replica(f'r-{shard}-{copy}', f'shard-{shard}', zone, spec)
    route = Route(
        'gather',
        HOST,
        '/gather/',
        tuple(f'shard-{shard}' for shard in range(experiment.shards)),
        is_gather=True,
        attempts=2,
        timeout_ms=experiment.timeout_ms,
        objective_ms=experiment.goal_ms,
        top_records=10,
        min_share=experiment.least_share,
    )
    emulator.put_table([route], policy.connection_limit)
    emulator.run(SETTLE_MS)
    return emulator


def schedule_faults(experiment: Experiment, emulator: Emulator) -> None:
    """Schedule the experiment's faults."""
    names = sorted(emulator.replicas)
    for fault in experiment.faults:
        chosen = emulator.rng.sample(names, round(fault.share * len(names)))
        specs = [emulator.replicas[name].spec for name in chosen]
        emulator.schedule(fault.at_s * 1000.0, lambda f=fault, s=specs: apply_fault(f, s))
        end_ms = (fault.at_s + fault.for_s) * 1000.0
        emulator.schedule(end_ms, lambda s=specs: apply_fault(Fault(0.0, 0.0, 0.0), s))


def apply_fault(fault: Fault, specs: list[ReplicaSpec]) -> None:
    """Apply a fault to replicas; the default effects restore normal behaviour."""
    for spec in specs:
        spec.slow_factor = fault.slow_factor
        spec.reject_share = fault.reject_share
        spec.is_dark = fault.is_dark


def generate_load(experiment: Experiment, emulator: Emulator, seconds: float) -> list[tuple]:
    """Send requests to the VMs in turn; return VM, key and time of each request."""
    requests = []
    gap_ms = 1000.0 / experiment.rate_per_s
    for number in range(int(experiment.rate_per_s * seconds)):
        vm = number % len(emulator.vms)
        key = emulator.send_request(vm, PATH, experiment.timeout_ms)
        requests.append((vm, key, emulator.now_ms))
        emulator.run(gap_ms * emulator.rng.uniform(0.5, 1.5))
    return requests


def run_seed(experiment: Experiment, policy: PolicyChoice, seed: int, outcome: Outcome) -> None:
    """Run one seed and add its statistics to an outcome."""
    emulator = start_emulator(experiment, policy, seed)
    generate_load(experiment, emulator, experiment.warm_s)
    schedule_faults(experiment, emulator)
    requests = generate_load(experiment, emulator, experiment.seconds)
    emulator.run(experiment.timeout_ms)
    for vm, key, sent_ms in requests:
        answered_ms, answer = emulator.vms[vm].answers[key]
        outcome.latencies_ms.append(answered_ms - sent_ms)
        if not isinstance(answer, MergedAnswer):
            outcome.failed_count += 1
            continue
        outcome.in_time_count += answered_ms - sent_ms <= experiment.goal_ms
        outcome.parts[0] += len(answer.signatures)
        outcome.parts[1] += len(answer.signatures) + answer.missing_count
    for vm in emulator.vms:
        counters = vm.gateway.counters
        outcome.extra_attempts[0] += counters.total('repeats')
        outcome.extra_attempts[1] += counters.total('sub_requests')
        outcome.connections += counters.get('connections_opened')


def run_experiment(experiment: Experiment) -> dict[str, Outcome]:
    """Run all policies on all seeds."""
    outcomes = {}
    for policy in experiment.policies:
        outcome = outcomes[policy.name] = Outcome()
        for seed in experiment.seeds:
            run_seed(experiment, policy, seed, outcome)
    return outcomes


def load_experiment(path: Path) -> Experiment | Failure:
    """Read an experiment file."""
    return decode_toml(path.read_text(encoding='utf-8'), Experiment, str(path))


def plot_latencies(experiment: Experiment, outcomes: dict[str, Outcome], path: Path) -> None:
    """Plot the cumulative distribution of the latencies of each policy."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for name, outcome in outcomes.items():
        ordered = sorted(outcome.latencies_ms)
        shares = [number / len(ordered) for number in range(1, len(ordered) + 1)]
        axes.plot(ordered, shares, label=name)
    axes.axvline(experiment.goal_ms, linestyle=':', label='goal')
    axes.set(xlabel='latency, ms', ylabel='share of requests', title=experiment.name)
    axes.legend()
    figure.savefig(path)


def main(arguments: list[str]) -> ExitStatus:
    """Run the experiments that the command line names."""
    for name in arguments[1:]:
        experiment = load_experiment(Path(name))
        if isinstance(experiment, Failure):
            print(f'measure.experiment: {experiment.detail}', file=sys.stderr)
            return ExitStatus.USAGE
        outcomes = run_experiment(experiment)
        rows = [outcome.row(policy) for policy, outcome in outcomes.items()]
        print(f'{experiment.name}, seeds {experiment.seeds}')
        print(tabulate(rows, headers=COLUMNS))
        if flags.FLAGS.plot:
            plot_latencies(experiment, outcomes, Path(flags.FLAGS.plot))
    return ExitStatus.OK


if __name__ == '__main__':
    flags.DEFINE_string('plot', None, 'file for a plot of the latencies, in PNG')
    sys.exit(app.run(main))
