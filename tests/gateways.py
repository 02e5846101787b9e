"""Deployments for the gateway tests, in the emulator's virtual time."""

from beechbridge.gateway.actions import (
    AnswerRequest,
    ProbeReplica,
    SendOrder,
    SendRequest,
    WithdrawExchange,
)
from beechbridge.gateway.events import (
    ExchangeEnded,
    ExchangeWithdrawn,
    ProbeEnded,
    RequestReceived,
    RequestSent,
    TimerDue,
)
from beechbridge.gateway.models import CallerRequest, LinkFailure, LinkFault
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import Route
from measure.emulator import HOST, Emulator
from measure.stand_ins import ReplicaSpec

ZONES = ('brum-a', 'brum-b', 'notts-a', 'notts-b', 'wolves-a', 'wolves-b')
REGIONS = ('brum-a', 'notts-a', 'wolves-a')
OBJECTIVE_MS = 138.0
TIMEOUT_MS = 1200.0
WORK_MS = {'sweep': 16.0, 'lookup': 90.0, 'file': 90.0, 'split': 10.0}
START_MS = 4_000.0
REGISTER_REPLICAS = 8


def sweep_route(shard_count, min_share=0.89, attempts=2):
    services = tuple(f'shard-{number}' for number in range(shard_count))
    return Route(
        'sweep',
        HOST,
        '/sweep/',
        services,
        is_gather=True,
        attempts=attempts,
        timeout_ms=TIMEOUT_MS,
        objective_ms=OBJECTIVE_MS,
        priority=1,
        top_records=10,
        min_share=min_share,
    )


def single_route(name, is_idempotent=True, attempts=2):
    return Route(
        name,
        HOST,
        f'/{name}/',
        ('register',),
        is_idempotent=is_idempotent,
        attempts=attempts,
        timeout_ms=4000.0,
        objective_ms=400.0,
        priority=2,
    )


def start_sweeps(
    shard_count=20, zones=ZONES[:3], spec=None, budget=None, seed=1, min_share=0.89, copies=2
):
    """Return an emulator with a gather over replicated shards, ready for callers."""
    emulator = Emulator(zones, WORK_MS, budget or BudgetRules(0.2, 56.0), seed)
    for shard in range(shard_count):
        for copy in range(copies):
            zone = REGIONS[(shard + copy) % len(REGIONS)]
            emulator.put_replica(
                f'r-{shard}-{copy}', f'shard-{shard}', zone, spec() if spec else ReplicaSpec()
            )
    emulator.put_table([sweep_route(shard_count, min_share)])
    emulator.run(START_MS)
    return emulator


def start_register(route, replica_count=2, specs=None, seed=1):
    """Return an emulator with one replicated service in the VM's own data centre."""
    emulator = Emulator(ZONES[:1], WORK_MS, BudgetRules(0.2, 56.0), seed)
    for number in range(replica_count):
        spec = specs[number] if specs else ReplicaSpec()
        emulator.put_replica(f'r-{number}', 'register', ZONES[0], spec)
    emulator.put_table([route])
    emulator.run(START_MS)
    return emulator


def start_fleet(route, zones=ZONES[:3], seed=1):
    """Return an emulator with a gather over 20 shards, or one service without shards."""
    if route.is_gather:
        return start_sweeps(20, zones=zones, seed=seed)
    emulator = Emulator(zones, WORK_MS, BudgetRules(0.2, 56.0), seed)
    for number in range(REGISTER_REPLICAS):
        emulator.put_replica(f'r-{number}', 'register', REGIONS[number % 3])
    emulator.put_table([route])
    emulator.run(START_MS)
    return emulator


def drive(emulator, path, per_s, duration_s, timeout_ms=TIMEOUT_MS, after=None):
    """Send requests to all VMs in turn at a rate; return (vm, key, asked_ms) of each request."""
    asked = []
    gap_ms = 1000.0 / per_s
    for number in range(int(per_s * duration_s)):
        vm = number % len(emulator.vms)
        asked.append((vm, emulator.send_request(vm, path, timeout_ms), emulator.now_ms))
        emulator.run(gap_ms * emulator.rng.uniform(0.5, 1.5))
        if after is not None:
            after(number)
    emulator.run(timeout_ms + 500.0)
    return asked


def answer_of(emulator, vm, key):
    """Return the time and the answer of a request."""
    return emulator.vms[vm].answers[key]


def in_time_count(emulator, asked, kind, objective_ms=OBJECTIVE_MS):
    """Return how many requests got an answer of a type within the latency objective."""
    count = 0
    for vm, key, asked_ms in asked:
        answered_ms, answer = answer_of(emulator, vm, key)
        if isinstance(answer, kind) and answered_ms - asked_ms <= objective_ms:
            count += 1
    return count


def arrivals_of(emulator, service):
    """Return the arrivals at all replicas of a service, sorted by time."""
    found = []
    for replica in emulator.replicas.values():
        if replica.entry.service == service:
            found.extend((at_ms, request.request_id) for at_ms, request in replica.arrivals)
    return sorted(found)


class ManualRequest:
    """One request at one gateway; the test ends its exchanges."""

    def __init__(self, emulator, request_id, path, method, timeout_ms, is_sending=True):
        self.emulator = emulator
        self.gateway = emulator.vms[0].gateway
        self.now_ms = emulator.now_ms
        self.is_sending = is_sending
        self.sends = []
        self.orders = []
        self.probes = []
        self.answers = []
        body = b'deed' if method == 'POST' else b''
        request = CallerRequest(request_id, method, path, HOST, path, [], body, timeout_ms)
        self.key = 7
        self.deliver(RequestReceived(self.key, request))

    def deliver(self, event):
        for action in self.gateway.handle(event, self.now_ms):
            if isinstance(action, SendRequest):
                self.sends.append(action)
                if self.is_sending:
                    self.gateway.handle(RequestSent(action.exchange_id), self.now_ms)
            if isinstance(action, ProbeReplica):
                self.end_probe(action)
            if isinstance(action, SendOrder):
                self.orders.append(action)
            if isinstance(action, WithdrawExchange):
                self.deliver(ExchangeWithdrawn(action.exchange_id))
            if isinstance(action, AnswerRequest):
                self.answers.append(action.answer)

    def end_probe(self, action):
        """Accept a probe of the VM's links: the replicas live, however late they are."""
        if action.probe_id in self.gateway.reach.probes:
            self.deliver(ProbeEnded(action.probe_id, is_open=True, is_refused=False))
            return
        self.probes.append(action)

    def wait(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while (self.gateway.timers.next_due_ms() or until_ms + 1) <= until_ms:
            self.now_ms = max(self.now_ms, self.gateway.timers.next_due_ms())
            self.deliver(TimerDue())
        self.now_ms = until_ms

    def end(self, result, number=-1):
        self.deliver(ExchangeEnded(self.sends[number].exchange_id, result))

    def fail(self, number, fault=LinkFault.LOST, was_sent=True):
        self.end(LinkFailure(fault, was_sent), number)
