"""After a pause a process does not rely on its old connections and view of the fleet."""

import unittest

from beechbridge.actions import Send
from beechbridge.failures import Reason
from beechbridge.messages import ReplyStatus, ShardQuery

from .utils import World

PAUSE_MS = 60_000


def fleet():
    world = World(('v1', 'v2', 'v3'))
    world.run(3000)
    return world


def wake(world, name):
    world.paused.discard(name)


class PauseTest(unittest.TestCase):
    def test_expired_work_is_not_sent_after_a_pause(self):
        world = fleet()
        world.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        for number in range(20):
            world.ask('v1', f'q{number}')
        world.paused.add('v1')
        world.run(PAUSE_MS)
        before = len(world.upstreams.queries())
        world.upstreams.script = {}
        wake(world, 'v1')
        world.run(100)
        for number in range(20):
            self.assertEqual(world.answer(f'q{number}').reason, Reason.COVERAGE_TOO_LOW)
        self.assertEqual(len(world.upstreams.queries()), before)

    def test_drain_announced_during_a_pause_is_applied_before_queries(self):
        world = fleet()
        upstreams = world.upstreams
        world.paused.add('v1')
        world.run(PAUSE_MS / 2)

        def drain(action):
            return upstreams.reply(action, ReplyStatus.DRAINING, executed=False)

        upstreams.script = {f'svc{n}-a': drain for n in range(3)}
        world.ask('v2')
        world.run(PAUSE_MS / 2)
        upstreams.sends.clear()
        wake(world, 'v1')
        world.ask('v1', 'at-once')
        self.assertEqual(world.answer('at-once').reason, Reason.NOT_READY)
        world.run(2000)
        world.ask('v1', 'later')
        world.run(100)
        self.assertTrue(world.answer('later').coverage.complete)
        asked = {action.replica.replica_id for action in upstreams.queries()}
        self.assertEqual({replica_id[-1] for replica_id in asked}, {'b'})

    def test_old_connections_are_not_used_after_a_pause(self):
        world = fleet()
        world.ask('v1')
        world.run(100)
        world.paused.add('v1')
        world.run(PAUSE_MS)
        wake(world, 'v1')
        world.run(2000)
        known = {a.connection_id for a in world.actions(Send, 'v1') if a.is_new}
        mark = len(world.log)
        world.ask('v1', 'q2')
        world.run(100)
        self.assertTrue(world.answer('q2').coverage.complete)
        used = [a for _, a in world.log[mark:] if isinstance(a, Send)]
        old = {a.connection_id for a in used if isinstance(a.message, ShardQuery) and not a.is_new}
        self.assertTrue(old <= known)
        self.assertEqual(world.cores['v1'].counters.get('pauses'), 1)

    def test_configuration_changed_during_a_pause_is_applied(self):
        world = fleet()
        world.paused.add('v2')
        from .utils import make_document

        world.document = make_document(9)
        world.run(PAUSE_MS)
        wake(world, 'v2')
        world.run(6000)
        self.assertEqual(world.cores['v2'].configuration.generation, 9)
