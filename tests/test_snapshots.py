"""Every answer comes from one snapshot."""

import unittest

from nose2.tools import params

from beechbridge.events import ReplyReceived
from beechbridge.failures import Executed, Reason
from beechbridge.messages import ReplyStatus, ShardQuery

from .utils import Simulation


def row_snapshots(answer):
    return {int(bytes(row.value)) for row in answer.rows}


class SnapshotTest(unittest.TestCase):
    def test_snapshot_expiry_during_a_query_discards_partial_answers(self):
        sim = Simulation()
        sim.upstreams.latency_ms = {'svc2-a': 20.0, 'svc2-b': 20.0}
        upstreams = sim.upstreams

        def expire_snapshot(action):
            message = action.message
            if not isinstance(message, ShardQuery) or message.snapshot > 1:
                return upstreams
            upstreams.oldest = upstreams.newest = 7
            return upstreams

        upstreams.script = {'svc2-a': expire_snapshot, 'svc2-b': expire_snapshot}
        sim.ask()
        sim.run(200)
        answer = sim.answer()
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(answer.snapshot, 7)
        self.assertEqual(row_snapshots(answer), {7})

    def test_late_reply_to_an_abandoned_plan_is_dropped(self):
        sim = Simulation()
        core = sim.cores['v1']
        upstreams = sim.upstreams
        held_sends = []

        def hold_first_plan(action):
            message = action.message
            if not isinstance(message, ShardQuery) or message.snapshot != 1:
                return upstreams
            held_sends.append(action)
            return None

        upstreams.script = {'svc0-a': hold_first_plan, 'svc0-b': hold_first_plan}

        def expire_snapshot(action):
            upstreams.oldest = upstreams.newest = 5
            return upstreams

        upstreams.script |= {'svc2-a': expire_snapshot, 'svc2-b': expire_snapshot}
        # The reply of svc1 arrives before the plan is abandoned.
        upstreams.latency_ms = {'svc1-a': 1.0, 'svc1-b': 1.0}
        sim.perform_close = lambda name, action: None
        sim.ask()
        sim.run(8)
        self.assertEqual([action.message.snapshot for action in held_sends], [1])
        late_reply = upstreams.reply(held_sends[0], ReplyStatus.DONE)
        shard = held_sends[0].message.shard
        late_reply.request_id, late_reply.shard_id, late_reply.snapshot = 'q1', shard.shard_id, 1
        late_reply.low, late_reply.high = shard.low, shard.high
        sim.handle('v1', ReplyReceived(held_sends[0].attempt_id, late_reply, True))
        sim.run(200)
        answer = sim.answer()
        self.assertEqual((answer.snapshot, row_snapshots(answer)), (5, {5}))
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(core.counters.get('replies_late'), 1)

    def test_replica_without_the_snapshot_is_replaced_by_another(self):
        sim = Simulation()
        upstreams = sim.upstreams
        upstreams.newest = 4

        def lag(action):
            reply = upstreams.reply(action, ReplyStatus.NOT_YET, executed=False)
            reply.newest_snapshot = 3
            return reply

        upstreams.script = {'svc0-a': lag}
        sim.ask(minimum_snapshot=4)
        sim.run(100)
        self.assertEqual(sim.answer().snapshot, 4)
        self.assertTrue(sim.answer().coverage.complete)

    def test_snapshot_that_never_arrives_is_the_reason_of_missing_shards(self):
        sim = Simulation()
        sim.ask(minimum_snapshot=99, deadline_ms=300)
        sim.run(400)
        failure = sim.answer()
        self.assertEqual(failure.reason, Reason.COVERAGE_TOO_LOW)
        reasons = {item.reason for item in failure.coverage.missing}
        self.assertEqual(reasons, {Reason.SNAPSHOT_NOT_YET})
        self.assertEqual(failure.executed, Executed.UNKNOWN)

    @params((0, 'latest'), (3, 'older'))
    def test_chosen_snapshot_is_one_that_all_shards_have(self, lag, _):
        sim = Simulation()
        upstreams = sim.upstreams
        upstreams.newest = 9

        def lag_behind(action):
            reply = upstreams.default(action)
            reply.newest_snapshot = 9 - lag
            return reply

        upstreams.script = {'svc1-a': lag_behind, 'svc1-b': lag_behind}
        sim.run(5000)
        sim.ask()
        sim.run(50)
        self.assertEqual(sim.answer().snapshot, 9 - lag)
        self.assertEqual(len(upstreams.queries()), 3)
