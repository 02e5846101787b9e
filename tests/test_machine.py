"""Stateful test of the invariants of the specifications on the core, under random steps."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beechbridge.core.limits import Limits
from beechbridge.failures import Executed, Failure, Reason
from beechbridge.messages import LoadProbe, ReplyStatus, ShardRequest
from beechbridge.models import Done

from .utils import LOST, REFUSED, Simulation, make_document

NAMES = ('v1', 'v2', 'v3')
REPLICAS = tuple(f'svc{number}-{letter}' for number in range(3) for letter in 'ab')
FAULTS = ('none', 'refuse', 'lose', 'lose after running', 'hang', 'hang after running', 'shed')
MAX_CONNECTIONS = 25


class CoreMachine(RuleBasedStateMachine):
    """Three cores under network and upstream faults, with tickets and configuration changes."""

    def __init__(self):
        super().__init__()
        self.sim = Simulation(NAMES, limits=Limits(ticket_keep_ms=3000, outcome_keep_ms=20_000))
        self.sim.run(1500)
        self.sim.peer_filter = self.deliver
        self.network = 'good'
        self.tickets = []
        self.number = 0
        self.sent = {}
        self.generations = {}
        self.pending_copies = []

    def deliver(self, sender, receiver, event):
        if self.network == 'duplicating':
            self.sim.schedule(30.0, receiver, event)
        if self.network == 'slow':
            self.sim.schedule(400.0, receiver, event)
            return False
        self.pending_copies.append((receiver, event))
        del self.pending_copies[:-20]
        return self.network != 'losing'

    def live_vm(self, index):
        names = sorted(self.sim.cores)
        return names[index % len(names)]

    @rule(index=st.integers(0, 2))
    def issue_ticket(self, index):
        name = self.live_vm(index)
        if name in self.sim.paused:
            return
        self.number += 1
        request_id = f't{self.number}'
        try:
            self.tickets.append(self.sim.ticket(name, request_id))
        except AttributeError:
            self.assert_not_run(self.sim.answer(request_id))

    def assert_not_run(self, answer):
        assert isinstance(answer, Failure) and answer.executed is Executed.NOT_RUN, answer

    @precondition(lambda self: self.tickets)
    @rule(
        index=st.integers(0, 2),
        ticket=st.integers(0, 50),
        deadline_ms=st.sampled_from([50, 500, 2000]),
    )
    def submit(self, index, ticket, deadline_ms):
        name = self.live_vm(index)
        if name in self.sim.paused:
            return
        self.number += 1
        chosen = self.tickets[ticket % len(self.tickets)]
        self.sent[f'r{self.number}'] = chosen.number
        self.sim.submit(name, chosen, f'r{self.number}', deadline_ms)

    @rule(index=st.integers(0, 2))
    def query(self, index):
        name = self.live_vm(index)
        if name in self.sim.paused:
            return
        self.number += 1
        self.sim.ask(name, f'q{self.number}', deadline_ms=300)

    @rule(replica=st.sampled_from(REPLICAS), fault=st.sampled_from(FAULTS))
    def break_replica(self, replica, fault):
        upstreams = self.sim.upstreams

        def answer(action):
            if isinstance(action.message, LoadProbe) or fault == 'none':
                return upstreams.default(action)
            if fault == 'shed':
                return upstreams.reply(action, ReplyStatus.SHED, executed=False)
            if fault == 'refuse' and action.is_new:
                return REFUSED
            if fault.endswith('after running') and isinstance(action.message, ShardRequest):
                upstreams.default(action)
            return LOST if fault.startswith('lose') or fault == 'refuse' else None

        upstreams.script[replica] = answer

    @rule(network=st.sampled_from(['good', 'losing', 'slow', 'duplicating']))
    def change_network(self, network):
        self.network = network

    @precondition(lambda self: self.pending_copies)
    @rule(which=st.integers(0, 19))
    def deliver_again(self, which):
        receiver, event = self.pending_copies[which % len(self.pending_copies)]
        self.sim.schedule(1.0, receiver, event)

    @rule(index=st.integers(0, 2))
    def pause(self, index):
        self.sim.paused.add(self.live_vm(index))

    @rule()
    def wake(self):
        self.sim.paused.clear()

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        name = self.live_vm(index)
        self.sim.paused.discard(name)
        self.sim.kill(name)
        self.generations.pop(name, None)
        self.sim.start(name)

    @rule(generation=st.integers(1, 6), changed=st.booleans(), down=st.booleans())
    def show_document(self, generation, changed, down):
        self.sim.platform_down = down
        rules = {'hard_deadline_ms': 2000} if changed else {}
        self.sim.document = make_document(generation, **rules)

    @rule(duration_ms=st.sampled_from([5, 40, 300, 2000, 6000]))
    def run_on(self, duration_ms):
        self.sim.run(duration_ms)

    @invariant()
    def at_most_one_execution(self):
        assert max(self.sim.upstreams.executions.values(), default=0) <= 1

    @invariant()
    def outcomes_are_true(self):
        executions = self.sim.upstreams.executions
        for request_id, number in self.sent.items():
            for outcome in self.sim.answers.get(request_id, ()):
                if isinstance(outcome, Done):
                    assert executions.get(number) == 1
                    continue
                if outcome.executed is Executed.NOT_RUN and outcome.reason is not Reason.STOPPING:
                    assert not executions.get(number), (request_id, outcome)

    @invariant()
    def each_request_has_one_answer(self):
        for request_id, answers in self.sim.answers.items():
            assert len(answers) <= 1, request_id

    @invariant()
    def generations_never_fall(self):
        for name, core in self.sim.cores.items():
            generation, digest = core.configuration.generation, core.configuration.digest
            before = self.generations.get(name, (0, ''))
            assert generation >= before[0]
            assert generation > before[0] or digest == before[1]
            self.generations[name] = (generation, digest)

    @invariant()
    def connections_stay_under_the_limit(self):
        for replica in REPLICAS:
            total = 0
            for core in self.sim.cores.values():
                state = core.upstreams.states.get(replica)
                total += state.pool.open_count(core.now_ms) if state else 0
            assert total <= MAX_CONNECTIONS

    def teardown(self):
        """Check that all cores converge and all requests end once the faults are over."""
        sim = self.sim
        self.network = 'good'
        sim.paused.clear()
        sim.platform_down = False
        sim.upstreams.script.clear()
        sim.run(12_000)
        self.at_most_one_execution()
        self.outcomes_are_true()
        generations = {core.configuration.generation for core in sim.cores.values()}
        assert len(generations) == 1, generations
        assert all(core.is_ready() for core in sim.cores.values())
        for name, core in sim.cores.items():
            assert not core.plans and core.tickets.is_idle(), name


MachineTest = CoreMachine.TestCase
MachineTest.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=40
)
