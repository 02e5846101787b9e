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

from .utils import World, make_document, make_entries

SERVICE_MS = 50.0
CAPACITY_PER_S = 80.0
"""Queries per second that two replicas per service, with two slots of 50 ms each, can serve."""

IN_TIME_SHARE = 0.9
RECOVERY_MS = 2000


class OverloadTest(unittest.TestCase):
    def start(self):
        entries = make_entries(services=5, hard_deadline_ms=1000, urgency=80)
        entries['class/low'] = entries['class/c'] | {'urgency': 20, 'hard_deadline_ms': 3000}
        world = World(('v1', 'v2', 'v3'), Document(1, entries), Limits(queue_length=600), seed=3)
        world.upstreams.slots = 2
        for replica_id in world.cores['v1'].upstreams.states:
            world.upstreams.latency_ms[replica_id] = SERVICE_MS
        world.run(3000)
        return world

    def offer(self, world, prefix, rate, duration_ms):
        rng = random.Random(5)
        asked = {}
        until_ms = world.now_ms + duration_ms
        while world.now_ms < until_ms:
            name = rng.choice(('v1', 'v2', 'v3'))
            query_class = rng.choice(('c', 'low'))
            request_id = f'{prefix}{len(asked)}'
            asked[request_id] = query_class
            world.hand(name, QueryReceived(request_id, Query('b', query_class)))
            world.run(rng.expovariate(rate) * 1000.0)
        return asked

    def test_urgent_queries_are_answered_and_refused_ones_are_not_sent(self):
        world = self.start()
        asked = self.offer(world, 'o', 3 * CAPACITY_PER_S, 8000)
        world.run(4000)
        urgent = [key for key, name in asked.items() if name == 'c']
        answered = [key for key in urgent if isinstance(world.answer(key), Answer)]
        allowed = min(len(urgent), CAPACITY_PER_S * 9.0)
        self.assertGreaterEqual(len(answered), IN_TIME_SHARE * allowed)
        sent = {action.message.request_id for action in world.upstreams.queries()}
        for key in asked:
            answer = world.answer(key)
            if isinstance(answer, Failure) and answer.executed is Executed.NOT_RUN:
                self.assertNotIn(key, sent)

    def test_all_queries_are_answered_after_an_overload(self):
        world = self.start()
        self.offer(world, 'o', 3 * CAPACITY_PER_S, 5000)
        world.run(RECOVERY_MS)
        asked = self.offer(world, 'n', 0.5 * CAPACITY_PER_S, 3000)
        world.run(3500)
        for key in asked:
            self.assertIsInstance(world.answer(key), Answer)

    def test_refusal_has_a_retry_time(self):
        world = self.start()
        asked = self.offer(world, 'o', 5 * CAPACITY_PER_S, 4000)
        world.run(4000)
        refused = [
            world.answer(key)
            for key in asked
            if isinstance(world.answer(key), Failure)
            and world.answer(key).executed is Executed.NOT_RUN
        ]
        self.assertGreater(len(refused), 0)
        self.assertTrue(all(failure.retry_after_ms for failure in refused))

    def test_unsent_query_below_the_minimum_urgency_has_one_answer(self):
        world = self.start()
        core = world.cores['v1']
        core.membership.is_view_current = False
        with_low = Query('b', 'low')
        plan = Plan('low', with_low, world.now_ms)
        plan.apply_rules(core.configuration.current.classes['low'])
        back_end = core.configuration.current.back_ends['b']
        start_plan(plan, core.snapshots.choose(back_end, 0, core), core)
        overload = core.overload_controller('b')
        overload.raise_min_urgency(80, plan.hard_at_ms)
        world.now_ms = plan.hard_at_ms
        core.now_ms = plan.hard_at_ms
        finish_plan(plan, core)
        world.perform('v1', core.pop_actions())
        self.assertEqual(world.answer('low').executed, Executed.NOT_RUN)
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

    def test_two_vms_that_share_a_replica_end_with_the_same_window(self):
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
