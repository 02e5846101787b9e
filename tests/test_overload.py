"""Overload: urgent queries are answered in time, and the effects end with the load."""

import random
import unittest

from beechbridge.core.limits import Limits
from beechbridge.core.requests.endings import finish_plan
from beechbridge.core.requests.fanout import start_plan
from beechbridge.core.requests.plans import Plan
from beechbridge.core.upstreams.replicas import MIN_SAMPLES, ReplicaState
from beechbridge.document import Document, check_document
from beechbridge.events import QueryReceived
from beechbridge.failures import Executed, Failure
from beechbridge.models import Answer, Query

from .utils import Simulation, make_document, make_entries

SERVICE_MS = 50.0
CAPACITY_PER_S = 80.0
"""Queries per second that each service can serve: two replicas with two slots of 50 ms."""

MIN_ANSWERED_SHARE = 0.9
RECOVERY_MS = 2000


class OverloadTest(unittest.TestCase):
    def start(self):
        entries = make_entries(services=5, hard_deadline_ms=1000, urgency=80)
        entries['class/low'] = entries['class/c'] | {'urgency': 20, 'hard_deadline_ms': 3000}
        sim = Simulation(
            ('v1', 'v2', 'v3'), Document(1, entries), Limits(queue_length=600), seed=3
        )
        sim.upstreams.slots = 2
        for replica_id in sim.cores['v1'].upstreams.states:
            sim.upstreams.latency_ms[replica_id] = SERVICE_MS
        sim.run(3000)
        return sim

    def offer(self, sim, prefix, rate, duration_ms):
        rng = random.Random(5)
        class_by_id = {}
        until_ms = sim.now_ms + duration_ms
        while sim.now_ms < until_ms:
            name = rng.choice(('v1', 'v2', 'v3'))
            query_class = rng.choice(('c', 'low'))
            request_id = f'{prefix}{len(class_by_id)}'
            class_by_id[request_id] = query_class
            sim.handle(name, QueryReceived(request_id, Query('b', query_class)))
            sim.run(rng.expovariate(rate) * 1000.0)
        return class_by_id

    def test_urgent_queries_are_answered_and_rejected_ones_are_not_sent(self):
        sim = self.start()
        class_by_id = self.offer(sim, 'o', 3 * CAPACITY_PER_S, 8000)
        sim.run(4000)
        urgent = [key for key, name in class_by_id.items() if name == 'c']
        answered = [key for key in urgent if isinstance(sim.answer(key), Answer)]
        servable = min(len(urgent), CAPACITY_PER_S * 9.0)
        self.assertGreaterEqual(len(answered), MIN_ANSWERED_SHARE * servable)
        sent = {action.message.request_id for action in sim.upstreams.queries()}
        for key in class_by_id:
            answer = sim.answer(key)
            if isinstance(answer, Failure) and answer.executed is Executed.NOT_RUN:
                self.assertNotIn(key, sent)

    def test_all_queries_are_answered_after_an_overload(self):
        sim = self.start()
        self.offer(sim, 'o', 3 * CAPACITY_PER_S, 5000)
        sim.run(RECOVERY_MS)
        class_by_id = self.offer(sim, 'n', 0.5 * CAPACITY_PER_S, 3000)
        sim.run(3500)
        for key in class_by_id:
            self.assertIsInstance(sim.answer(key), Answer)

    def test_rejection_has_a_retry_time(self):
        sim = self.start()
        class_by_id = self.offer(sim, 'o', 5 * CAPACITY_PER_S, 4000)
        sim.run(4000)
        rejected = [
            sim.answer(key)
            for key in class_by_id
            if isinstance(sim.answer(key), Failure)
            and sim.answer(key).executed is Executed.NOT_RUN
        ]
        self.assertGreater(len(rejected), 0)
        self.assertTrue(all(failure.retry_after_ms for failure in rejected))

    def test_unsent_query_below_the_minimum_urgency_gets_one_answer(self):
        sim = self.start()
        core = sim.cores['v1']
        core.membership.is_view_current = False
        query = Query('b', 'low')
        plan = Plan('low', query, sim.now_ms)
        plan.apply_rules(core.configuration.current.classes['low'])
        back_end = core.configuration.current.back_ends['b']
        start_plan(plan, core.snapshots.choose(back_end, 0, core), core)
        overload = core.overload_controller('b')
        overload.raise_min_urgency(80, plan.hard_at_ms)
        sim.now_ms = plan.hard_at_ms
        core.now_ms = plan.hard_at_ms
        finish_plan(plan, core)
        sim.perform('v1', core.pop_actions())
        self.assertEqual(sim.answer('low').executed, Executed.NOT_RUN)
        self.assertEqual(core.counters.total('refusals'), 0)


class WindowTest(unittest.TestCase):
    def make_state(self, window):
        replica = check_document(make_document()).back_ends['b'].services['svc0'].replicas[0]
        state = ReplicaState(replica, 'b', 'svc0')
        state.pool.share = 12
        state.window = window
        for _ in range(MIN_SAMPLES):
            state.latency.add(SERVICE_MS)
        return state

    def test_windows_of_two_vms_that_share_a_replica_converge(self):
        states = [self.make_state(1.0), self.make_state(11.0)]
        for _ in range(1000):
            running = sum(int(state.window) for state in states)
            latency_ms = SERVICE_MS * max(1.0, running / 2)
            for state in states:
                state.pool.busy = dict.fromkeys(range(int(state.window)), 0.0)
                for _ in range(int(state.window)):
                    state.adapt_window(latency_ms)
        narrow, wide = states
        self.assertLess(abs(wide.window - narrow.window), 2.0)
        self.assertGreater(narrow.window, 3.0)
