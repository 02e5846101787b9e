"""
Clients of VMs that all lose power at once, with and without holding requests for the table.

`python -m measure.starts` prints, for requests that arrive in the first 600 ms after all VMs have
started, how many were served at the first attempt, within their goal, and rejected.
"""

import sys

from tabulate import tabulate

from beechbridge.gateway.events import RequestReceived
from beechbridge.gateway.models import CallerRequest, ForwardedAnswer
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import Route

from .emulator import HOST, Emulator

ZONES = ('brum-a', 'notts-a', 'wolves-a') * 2
SEEDS = (1, 2, 3)
GOAL_MS = 400.0
TIMEOUT_MS = 4_000.0
FIRST_MS = 600
GAP_MS = 5
PATH = '/lookup/x'
COLUMNS = ('held', 'asked', 'served', 'within goal', 'rejected', 'retry-after p50, ms')


def start(seed: int) -> Emulator:
    """Return a deployment with one replicated service, ready for clients."""
    emulator = Emulator(ZONES, {'lookup': 30.0}, BudgetRules(0.2, 56.0), seed)
    for number in range(9):
        emulator.put_replica(f'r-{number}', 'register', ZONES[number % 3])
    emulator.put_table(
        [
            Route(
                'lookup',
                HOST,
                '/lookup/',
                ('register',),
                is_idempotent=True,
                attempts=2,
                timeout_ms=TIMEOUT_MS,
                objective_ms=GOAL_MS,
            )
        ]
    )
    emulator.run(10_000.0)
    return emulator


def run_seeds(is_held: bool) -> tuple:
    """Run all seeds; return a row of the table."""
    asked_count, served, within, retries_ms = 0, 0, 0, []
    for seed in SEEDS:
        emulator = start(seed)
        for vm in emulator.vms:
            emulator.restart_vm(vm, 0.0)
        emulator.run(0.0)
        asked = []
        for vm in emulator.vms:
            vm.gateway.answer_time.is_in_force = is_held
        for number in range(FIRST_MS // GAP_MS):
            emulator.run(GAP_MS)
            vm = emulator.vms[number % len(emulator.vms)]
            emulator.next_key += 1
            key = emulator.next_key
            request = CallerRequest(f'q-{key}', 'GET', PATH, HOST, PATH, [], b'', TIMEOUT_MS)
            emulator.deliver_event(vm, RequestReceived(key, request, emulator.now_ms))
            asked.append((vm, key, emulator.now_ms))
        emulator.run(TIMEOUT_MS)
        for vm, key, asked_ms in asked:
            answered_ms, answer = vm.answers[key]
            asked_count += 1
            if not isinstance(answer, ForwardedAnswer):
                retries_ms.append(answer.retry_after_ms)
                continue
            served += 1
            within += answered_ms - asked_ms <= GOAL_MS
    retries_ms.sort()
    return (
        'yes' if is_held else 'no',
        asked_count,
        f'{served / asked_count:.1%}',
        f'{within / asked_count:.1%}',
        f'{len(retries_ms) / asked_count:.1%}',
        retries_ms[len(retries_ms) // 2] if retries_ms else '',
    )


def main() -> int:
    """Print the table."""
    rows = [run_seeds(is_held) for is_held in (False, True)]
    print(f'seeds {SEEDS}, goal {GOAL_MS:.0f} ms')
    print(tabulate(rows, headers=COLUMNS))
    return 0


if __name__ == '__main__':
    sys.exit(main())
