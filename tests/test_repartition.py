"""Coverage counts the shards of the snapshot's map, also while shards are split or merged."""

import unittest

from nose2.tools import params

from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived
from beechbridge.failures import Reason

from .utils import Simulation, make_entries, make_shards


def make_repartitioned_document(services, first_snapshot, count):
    entries = make_entries(services=services)
    shards = make_shards(count, first=10)
    entries[f'map/b/{first_snapshot}'] = {'shards': shards}
    return Document(2, entries)


class RepartitionTest(unittest.TestCase):
    @params(('split', 3, 4), ('merge', 3, 2))
    def test_query_in_progress_keeps_its_map(self, _, old_count, new_count):
        services = max(old_count, new_count)
        sim = Simulation()
        sim.ask()
        sim.run(1)
        self.assertEqual(sim.answers, {})
        document = make_repartitioned_document(services, 2, new_count)
        sim.handle('v1', ConfigurationReceived(document))
        sim.upstreams.newest = 2
        sim.run(100)
        answer = sim.answer('q1')
        self.assertEqual((answer.snapshot, answer.coverage.shards_total), (1, old_count))
        self.assertTrue(answer.coverage.complete)

    @params(('split', 3, 4), ('merge', 3, 2))
    def test_snapshot_expiry_during_a_query_switches_to_the_new_map(self, _, old_count, new_count):
        services = max(old_count, new_count)
        sim = Simulation()
        upstreams = sim.upstreams
        document = make_repartitioned_document(services, 2, new_count)

        def repartition(action):
            upstreams.oldest = upstreams.newest = 2
            sim.document = document
            return upstreams

        upstreams.script = {'svc1-a': repartition, 'svc1-b': repartition}
        sim.ask()
        sim.run(2)
        sim.handle('v1', ConfigurationReceived(document))
        sim.run(300)
        answer = sim.answer('q1')
        self.assertEqual((answer.snapshot, answer.coverage.shards_total), (2, new_count))
        self.assertTrue(answer.coverage.complete)
        keys = [row.key for row in answer.rows]
        self.assertEqual(len(keys), len(set(keys)))
        self.assertEqual(
            {key.split('-')[0] for key in keys}, {f's{10 + n}' for n in range(new_count)}
        )

    def test_reply_with_another_range_is_not_counted(self):
        sim = Simulation()
        upstreams = sim.upstreams

        def answer_as_parent(action):
            reply = upstreams.default(action)
            reply.high += 100
            return reply

        upstreams.script = {'svc0-a': answer_as_parent, 'svc0-b': answer_as_parent}
        sim.ask(deadline_ms=500)
        sim.run(600)
        failure = sim.answer()
        self.assertEqual(failure.coverage.shards_answered, 2)
        missing = failure.coverage.missing
        self.assertEqual([(m.shard_id, m.reason) for m in missing], [('s0', Reason.MISMATCHED)])
