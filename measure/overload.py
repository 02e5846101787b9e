"""
Clients that compete for too few slots of replicas, with and without the rules of `room`.

`python -m measure.overload` prints, for each load, the share of requests of each class that were
served within their goal and at all, the attempts that a served request took, and those that ended
with an unknown outcome. A rejected client returns after `Retry-After` while its time lasts.
"""

import sys

from tabulate import tabulate

from beechbridge.gateway.events import RequestReceived
from beechbridge.gateway.models import CallerRequest, ForwardedAnswer
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import Route

from .emulator import HOST, Emulator
from .stand_ins import ReplicaSpec

ZONES = ('brum-a', 'notts-a', 'wolves-a') * 2
SEEDS = (1, 2, 3)
REPLICAS = 9
SLOTS = 2
WORK_MS = {'urgent': 20.0, 'usual': 60.0, 'long': 200.0}
PRIORITIES = {'urgent': 0, 'usual': 1, 'long': 3}
GOALS_MS = {'urgent': 150.0, 'usual': 400.0, 'long': 1_500.0}
TIMEOUTS_MS = {'urgent': 1_000.0, 'usual': 2_000.0, 'long': 4_000.0}
CAPACITY = REPLICAS * SLOTS * 1000.0
SHARES = {'urgent': 0.2, 'usual': 0.4, 'long': 0.4}
"""Share of the capacity that each class takes at a load of 1."""

SECONDS = 8.0
MIN_LEFT_MS = 30.0
SCENARIOS = {
    'all at 0.8': {},
    'long x 2.5': {'long': 2.5},
    'usual x 2.5': {'usual': 2.5},
    'urgent x 2': {'urgent': 2.0},
    'all at 1.6': {'urgent': 2.0, 'usual': 2.0, 'long': 2.0},
}
LOAD = 0.8
WARM_LOAD = 0.4
WARM_SECONDS = 5.0
COLUMNS = ('load', 'rules', 'class', 'asked', 'in goal', 'served', 'attempts', 'unknown')


class Client:
    """
    One client with its attempts.

    :param answered: whether it was served in its goal, after it, or not (None)
    """

    __slots__ = ('answer', 'asked_ms', 'attempts', 'key', 'name', 'served_ms', 'vm')

    def __init__(self, name: str, asked_ms: float):
        self.name = name
        self.asked_ms = asked_ms
        self.attempts = 0
        self.served_ms: float | None = None
        self.answer = None
        self.vm = None
        self.key = 0


def start(seed: int, is_in_force: bool) -> Emulator:
    """Return a deployment with one service that runs all classes, ready for clients."""
    emulator = Emulator(ZONES, WORK_MS, BudgetRules(0.2, 56.0), seed)
    for number in range(REPLICAS):
        spec = ReplicaSpec(slots=SLOTS)
        emulator.put_replica(f'r-{number}', 'register', ZONES[number % 3], spec)
    routes = [
        Route(
            name,
            HOST,
            f'/{name}/',
            ('register',),
            is_idempotent=True,
            attempts=2,
            timeout_ms=TIMEOUTS_MS[name],
            objective_ms=GOALS_MS[name],
            priority=PRIORITIES[name],
        )
        for name in WORK_MS
    ]
    for vm in emulator.vms:
        vm.gateway.answer_time.is_in_force = is_in_force
    emulator.put_table(routes)
    emulator.run(10_000.0)
    return emulator


def send(client: Client, emulator: Emulator) -> None:
    """Send an attempt to a VM, as the time that is left allows."""
    left_ms = client.asked_ms + TIMEOUTS_MS[client.name] - emulator.now_ms
    if left_ms < MIN_LEFT_MS:
        return
    client.attempts += 1
    client.vm = emulator.rng.choice(emulator.vms)
    emulator.next_key += 1
    client.key = emulator.next_key
    path = f'/{client.name}/x'
    request = CallerRequest(f'q-{client.key}', 'GET', path, HOST, path, [], b'', left_ms)
    event = RequestReceived(client.key, request, emulator.now_ms)
    emulator.deliver_event(client.vm, event)
    poll(client, emulator)


def poll(client: Client, emulator: Emulator) -> None:
    """See whether an attempt was answered; try again after a rejection."""
    found = client.vm.answers.pop(client.key, None)
    if found is None:
        emulator.schedule(4.0, lambda: poll(client, emulator))
        return
    answered_ms, client.answer = found
    if isinstance(client.answer, ForwardedAnswer):
        client.served_ms = answered_ms - client.asked_ms
        return
    if client.answer.retry_after_ms is not None:
        emulator.schedule(client.answer.retry_after_ms, lambda: send(client, emulator))


def run_load(factors: dict[str, float], is_in_force: bool, seed: int) -> list[Client]:
    """Run one load on one seed; return the clients."""
    emulator = start(seed, is_in_force)
    offer(emulator, {}, WARM_LOAD, WARM_SECONDS)
    clients = offer(emulator, factors, LOAD, SECONDS)
    emulator.run(6_000.0)
    return clients


def offer(
    emulator: Emulator, factors: dict[str, float], load: float, seconds: float
) -> list[Client]:
    """Let clients arrive at a load for some seconds; return them."""
    clients = []
    until_ms = emulator.now_ms + seconds * 1000.0
    due_ms = dict.fromkeys(WORK_MS, emulator.now_ms)
    rates = {
        name: load * factors.get(name, 1.0) * SHARES[name] * CAPACITY / WORK_MS[name]
        for name in WORK_MS
    }
    while emulator.now_ms < until_ms:
        name = min(due_ms, key=due_ms.get)
        emulator.run(max(0.0, due_ms[name] - emulator.now_ms))
        due_ms[name] = emulator.now_ms + emulator.rng.expovariate(rates[name]) * 1000.0
        clients.append(Client(name, emulator.now_ms))
        send(clients[-1], emulator)
    return clients


def run_scenario(label: str, is_in_force: bool) -> list[tuple]:
    """Run all seeds of a load; return a row for each class."""
    clients = []
    for seed in SEEDS:
        clients.extend(run_load(SCENARIOS[label], is_in_force, seed))
    rows = []
    for name in WORK_MS:
        own = [client for client in clients if client.name == name]
        served = [client for client in own if client.served_ms is not None]
        in_goal = sum(client.served_ms <= GOALS_MS[name] for client in served)
        unknown = sum(
            client.served_ms is None
            and client.answer is not None
            and getattr(client.answer, 'retry_after_ms', 0) is None
            for client in own
        )
        rows.append(
            (
                label,
                'yes' if is_in_force else 'no',
                name,
                len(own),
                f'{in_goal / len(own):.1%}',
                f'{len(served) / len(own):.1%}',
                round(sum(client.attempts for client in own) / len(own), 2),
                f'{unknown / len(own):.1%}',
            )
        )
    return rows


def main() -> int:
    """Print the table."""
    rows = []
    for label in SCENARIOS:
        for is_in_force in (False, True):
            rows.extend(run_scenario(label, is_in_force))
    print(f'seeds {SEEDS}, {SECONDS:.0f} s each')
    print(tabulate(rows, headers=COLUMNS))
    return 0


if __name__ == '__main__':
    sys.exit(main())
