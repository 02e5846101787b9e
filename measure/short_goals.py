"""
Gathers with a short goal over replicas that pause, with and without answers timed by their goal.

`python -m measure.short_goals` prints, for each number of copies and each way, the worth of the
answers (the square of the share of parts, 0 after the goal), how many came in time, and when. The
client's link takes 3 ms each way; the process adds delays before a timer fires and before an
answer is written, which change with its load.
"""

import random
import sys

from tabulate import tabulate

from beechbridge.gateway.actions import AnswerRequest
from beechbridge.gateway.events import AnswerWritten, RequestReceived
from beechbridge.gateway.models import CallerRequest, MergedAnswer
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import Route

from .emulator import HOST, Emulator
from .stand_ins import EmulatedVm, ReplicaSpec

LINK_MS = 3.0
GOAL_MS = 113.0
TIMEOUT_MS = 1_200.0
SHARDS = 90
ZONES = ('brum-a', 'notts-a', 'wolves-a') * 2
PATH = '/gather/x'
SEEDS = (1, 2, 3)
RATE_PER_S = 30.0
SECONDS = 12.0
SETTLE_MS = 4_000.0
BUSY_PERIOD_MS = 3_000.0
"""Time after which a VM's processor becomes more or less busy."""

COLUMNS = (
    'copies',
    'delay, ms',
    'timed',
    'worth',
    'in time',
    'parts',
    'p50, ms',
    'p90',
    'repeats',
)


class TimedEmulator(Emulator):
    """
    Adds the client's link and the delays of a busy process.

    :param delay_ms: median delay of the process before an answer is written
    """

    __slots__ = ('arrivals_ms', 'noise', 'process_delay_ms')

    def __init__(self, process_delay_ms: float, is_timed: bool, *arguments):
        self.noise = random.Random(7)
        self.process_delay_ms = process_delay_ms
        self.arrivals_ms: dict[int, float] = {}
        super().__init__(*arguments)
        for vm in self.vms:
            vm.gateway.answer_time.is_in_force = is_timed

    def draw_delay_ms(self, vm: EmulatedVm) -> float:
        """Return a delay of a VM's process."""
        period = int(self.now_ms // BUSY_PERIOD_MS)
        is_busy = random.Random(f'{vm.gateway.fleet.own.name} {period}').random() < 0.3
        median_ms = self.process_delay_ms * (3.0 if is_busy else 1.0)
        return median_ms * self.noise.lognormvariate(0.0, 0.5)

    def perform_all(self, vm: EmulatedVm, actions: list) -> None:
        """Perform actions; let answers take the time of the process and the link."""
        for action in actions:
            if isinstance(action, AnswerRequest) and action.key not in vm.received_orders:
                self.send_answer(vm, action)
        super().perform_all(vm, actions)

    def send_answer(self, vm: EmulatedVm, action: AnswerRequest) -> None:
        """Note when a client has its answer, and report when it was written."""
        delay_ms = self.draw_delay_ms(vm)
        self.arrivals_ms[action.key] = self.now_ms + delay_ms + LINK_MS
        if action.due_ms is not None:
            event = AnswerWritten(self.now_ms + delay_ms - action.due_ms)
            self.schedule(delay_ms, lambda: self.deliver_event(vm, event))

    def fire_timers(self, vm: EmulatedVm, due_ms: float) -> None:
        """Fire a VM's timers as late as its process is busy."""
        late_ms = 0.3 * self.draw_delay_ms(vm)
        self.schedule(late_ms, lambda: Emulator.fire_timers(self, vm, due_ms))

    def ask(self, vm: EmulatedVm) -> tuple[int, float]:
        """Send a client's request; return its key and the time it was sent."""
        self.next_key += 1
        key, asked_ms = self.next_key, self.now_ms
        request = CallerRequest(f'request-{key}', 'GET', PATH, HOST, PATH, [], b'', TIMEOUT_MS)
        event = RequestReceived(key, request, asked_ms + LINK_MS)
        lag_ms = LINK_MS + 0.3 * self.draw_delay_ms(vm)
        self.schedule(lag_ms, lambda: self.deliver_event(vm, event))
        return key, asked_ms


def start(copies: int, delay_ms: float, is_timed: bool, seed: int) -> TimedEmulator:
    """Return a deployment that is ready for clients."""
    budget = BudgetRules(0.2, 56.0)
    emulator = TimedEmulator(delay_ms, is_timed, ZONES, {'gather': 16.0}, budget, seed)
    zones = sorted(set(ZONES))
    for shard in range(SHARDS):
        for copy in range(copies):
            spec = ReplicaSpec(slots=4, pause_ms=250.0, pause_every_ms=6_000.0)
            zone = zones[(shard + copy) % len(zones)]
            emulator.put_replica(f'r-{shard}-{copy}', f'shard-{shard}', zone, spec)
    services = tuple(f'shard-{shard}' for shard in range(SHARDS))
    route = Route(
        'gather',
        HOST,
        '/gather/',
        services,
        is_gather=True,
        attempts=2,
        timeout_ms=TIMEOUT_MS,
        objective_ms=GOAL_MS,
        top_records=10,
        min_share=0.89,
    )
    emulator.put_table([route])
    emulator.run(SETTLE_MS)
    return emulator


def run_seeds(copies: int, delay_ms: float, is_timed: bool) -> tuple:
    """Run all seeds; return a row of the table."""
    worth, latencies_ms, in_time, parts, repeats = 0.0, [], 0, 0, [0, 0]
    for seed in SEEDS:
        emulator = start(copies, delay_ms, is_timed, seed)
        asked = []
        for number in range(int(RATE_PER_S * (5.0 + SECONDS))):
            vm = emulator.vms[number % len(emulator.vms)]
            entry = (vm, *emulator.ask(vm))
            if number >= RATE_PER_S * 5.0:
                asked.append(entry)
            emulator.run(1000.0 / RATE_PER_S * emulator.rng.uniform(0.5, 1.5))
        emulator.run(TIMEOUT_MS + 500.0)
        for vm, key, asked_ms in asked:
            _, answer = vm.answers[key]
            latency_ms = emulator.arrivals_ms[key] - asked_ms
            latencies_ms.append(latency_ms)
            if not isinstance(answer, MergedAnswer):
                continue
            parts += len(answer.signatures)
            if latency_ms <= GOAL_MS:
                in_time += 1
                worth += (len(answer.signatures) / SHARDS) ** 2
        for vm in emulator.vms:
            repeats[0] += vm.gateway.counters.total('repeats')
            repeats[1] += vm.gateway.counters.total('sub_requests')
    total = len(latencies_ms)
    ordered = sorted(latencies_ms)
    return (
        copies,
        delay_ms,
        'yes' if is_timed else 'no',
        round(worth / total, 4),
        f'{in_time / total:.1%}',
        f'{parts / total / SHARDS:.1%}',
        round(ordered[total // 2], 1),
        round(ordered[int(0.9 * total)], 1),
        f'{repeats[0] / repeats[1]:.1%}',
    )


def main() -> int:
    """Print the table."""
    rows = []
    for copies in (2, 3):
        for delay_ms in (1.0, 3.0):
            for is_timed in (False, True):
                rows.append(run_seeds(copies, delay_ms, is_timed))
    print(f'seeds {SEEDS}, goal {GOAL_MS:.0f} ms, {RATE_PER_S:.0f} gathers a second')
    print(tabulate(rows, headers=COLUMNS))
    return 0


if __name__ == '__main__':
    sys.exit(main())
