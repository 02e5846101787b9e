"""Hedges cut the latency of stragglers within the extra-load budget and have no other effect."""

import unittest

from beechbridge.core.requests.budgets import MAX_TOKENS

from .utils import Simulation, make_document

MAX_EXTRA_SHARE = 0.05
"""Largest share of extra sub-requests that the target allows."""


def start(**rules):
    sim = Simulation(('v1',), make_document(services=10, **rules))
    sim.run(500)
    for number in range(30):
        sim.ask('v1', f'warm-{number}')
        sim.run(20)
    return sim


class HedgingTest(unittest.TestCase):
    def add_stragglers(self, sim, every):
        upstreams = sim.upstreams
        send_count = [0]
        replica_ids = sorted(sim.cores['v1'].upstreams.states)

        def answer(action):
            send_count[0] += 1
            is_slow = send_count[0] % every == 0
            upstreams.latency_ms[action.replica.replica_id] = 50.0 if is_slow else 5.0
            return upstreams

        upstreams.script = dict.fromkeys(replica_ids, answer)

    def test_straggler_is_answered_by_another_replica(self):
        sim = start()
        self.add_stragglers(sim, every=40)
        slow_count = 0
        for number in range(200):
            sim.ask('v1', f'q{number}')
            sim.run(60)
            slow_count += sim.answer(f'q{number}').elapsed_ms > 25.0
        core = sim.cores['v1']
        self.assertGreater(core.counters.get('hedges'), 20)
        self.assertLess(slow_count, 10)

    def test_extra_load_stays_within_the_budget(self):
        sim = start()
        self.add_stragglers(sim, every=5)
        for number in range(200):
            sim.ask('v1', f'q{number}')
            sim.run(60)
        core = sim.cores['v1']
        primaries = core.counters.total('primaries')
        extra = core.counters.get('exchanges', 'ShardQuery') - primaries
        self.assertLessEqual(extra, MAX_EXTRA_SHARE * primaries + MAX_TOKENS)
        self.assertGreater(core.counters.get('hedges_denied'), 0)

    def test_query_with_all_shards_slow_is_not_hedged(self):
        sim = start()
        for replica_id in sim.cores['v1'].upstreams.states:
            sim.upstreams.latency_ms[replica_id] = 40.0
        sim.ask('v1', 'q')
        sim.run(100)
        self.assertTrue(sim.answer('q').coverage.complete)
        self.assertEqual(sim.cores['v1'].counters.get('hedges'), 0)

    def test_losing_reply_is_not_counted(self):
        sim = start(hedge_percent=100.0)
        self.add_stragglers(sim, every=7)
        for number in range(50):
            sim.ask('v1', f'q{number}')
            sim.run(100)
            answer = sim.answer(f'q{number}')
            self.assertEqual(answer.coverage.shards_answered, 10)
            self.assertEqual(len({row.key for row in answer.rows}), len(answer.rows))

    def test_work_behind_a_slow_exchange_moves_to_another_replica(self):
        sim = start(hedge_percent=0.0)
        sim.upstreams.latency_ms = {f'svc{n}-a': 200.0 for n in range(10)}
        for number in range(30):
            sim.ask('v1', f'q{number}')
        sim.run(1000)
        core = sim.cores['v1']
        self.assertGreater(core.counters.get('attempts_moved'), 0)
        extra = core.counters.get('exchanges', 'ShardQuery') - core.counters.total('primaries')
        self.assertEqual(extra, 0)
        for number in range(30):
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)

    def test_losing_attempts_are_latency_samples_of_their_replica(self):
        sim = start(hedge_percent=100.0)
        sim.upstreams.latency_ms = {f'svc{n}-a': 100.0 for n in range(10)}
        for number in range(10):
            sim.ask('v1', f'q{number}')
            sim.run(200)
        core = sim.cores['v1']
        self.assertGreater(core.counters.get('hedges'), 0)
        sent = {}
        for action in sim.upstreams.queries():
            replica_id = action.replica.replica_id
            sent[replica_id] = sent.get(replica_id, 0) + 1
        sampled = {key: state.latency.count for key, state in core.upstreams.states.items()}
        self.assertEqual({key: count for key, count in sampled.items() if count}, sent)
