"""Every answer comes from one snapshot."""

import unittest

from nose2.tools import params

from beechbridge.events import ReplyReceived
from beechbridge.failures import Executed, Reason
from beechbridge.messages import ReplyStatus, ShardQuery

from .utils import World


def rows_snapshots(answer):
    return {int(bytes(row.value)) for row in answer.rows}


class SnapshotTest(unittest.TestCase):
    def test_gone_during_a_query_discards_partials(self):
        world = World()
        world.upstreams.latency_ms = {'svc2-a': 20.0, 'svc2-b': 20.0}
        upstreams = world.upstreams

        def lose_snapshot(action):
            message = action.message
            if not isinstance(message, ShardQuery) or message.snapshot > 1:
                return upstreams
            upstreams.oldest = upstreams.newest = 7
            return upstreams

        upstreams.script = {'svc2-a': lose_snapshot, 'svc2-b': lose_snapshot}
        world.ask()
        world.run(200)
        answer = world.answer()
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(answer.snapshot, 7)
        self.assertEqual(rows_snapshots(answer), {7})

    def test_late_partial_of_an_abandoned_plan_is_dropped(self):
        world = World()
        core = world.cores['v1']
        upstreams = world.upstreams
        held = []

        def hold_first(action):
            message = action.message
            if not isinstance(message, ShardQuery) or message.snapshot != 1:
                return upstreams
            held.append(action)
            return None

        upstreams.script = {'svc0-a': hold_first, 'svc0-b': hold_first}

        def gone(action):
            upstreams.oldest = upstreams.newest = 5
            return upstreams

        upstreams.script |= {'svc2-a': gone, 'svc2-b': gone}
        # The other shard's partial is collected before the plan is abandoned.
        upstreams.latency_ms = {'svc1-a': 1.0, 'svc1-b': 1.0}
        world.perform_close = lambda name, action: None
        world.ask()
        world.run(8)
        self.assertEqual([action.message.snapshot for action in held], [1])
        late = upstreams.reply(held[0], ReplyStatus.DONE)
        shard = held[0].message.shard
        late.request_id, late.shard_id, late.snapshot = 'q1', shard.shard_id, 1
        late.low, late.high = shard.low, shard.high
        world.hand('v1', ReplyReceived(held[0].attempt_id, late, True))
        world.run(200)
        answer = world.answer()
        self.assertEqual((answer.snapshot, rows_snapshots(answer)), (5, {5}))
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(core.counters.get('replies_late'), 1)

    def test_not_yet_goes_to_another_replica(self):
        world = World()
        upstreams = world.upstreams
        upstreams.newest = 4

        def lag(action):
            reply = upstreams.reply(action, ReplyStatus.NOT_YET, executed=False)
            reply.newest_snapshot = 3
            return reply

        upstreams.script = {'svc0-a': lag}
        world.ask(minimum_snapshot=4)
        world.run(100)
        self.assertEqual(world.answer().snapshot, 4)
        self.assertTrue(world.answer().coverage.complete)

    def test_missing_shards_name_a_snapshot_that_never_comes(self):
        world = World()
        world.ask(minimum_snapshot=99, deadline_ms=300)
        world.run(400)
        failure = world.answer()
        self.assertEqual(failure.reason, Reason.COVERAGE_TOO_LOW)
        reasons = {item.reason for item in failure.coverage.missing}
        self.assertEqual(reasons, {Reason.SNAPSHOT_NOT_YET})
        self.assertEqual(failure.executed, Executed.UNKNOWN)

    @params((0, 'latest'), (3, 'older'))
    def test_chosen_snapshot_is_one_that_all_shards_have(self, lag, _):
        world = World()
        upstreams = world.upstreams
        upstreams.newest = 9

        def lag_behind(action):
            reply = upstreams.default(action)
            reply.newest_snapshot = 9 - lag
            return reply

        upstreams.script = {'svc1-a': lag_behind, 'svc1-b': lag_behind}
        world.run(5000)
        world.ask()
        world.run(50)
        self.assertEqual(world.answer().snapshot, 9 - lag)
        self.assertEqual(len(upstreams.queries()), 3)
