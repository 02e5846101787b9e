"""A leaving upstream gets no new work, and a lying health endpoint does not undo that."""

import unittest

from nose2.tools import params

from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived
from beechbridge.messages import LoadProbe, ReplyStatus

from .utils import World, make_entries

NO_NEW_WORK_MS = 3000
"""Time from the first sign after which a draining replica must get no new work."""

NAMES = ('v1', 'v2', 'v3')


class DrainTest(unittest.TestCase):
    def assert_no_new_work(self, world, replica_id, seconds=10):
        world.run(NO_NEW_WORK_MS)
        world.upstreams.sends.clear()
        for tick in range(seconds * 10):
            world.ask(NAMES[tick % 3], f'later-{tick}')
            world.run(100)
            self.assertTrue(world.answer(f'later-{tick}').coverage.complete)
        asked = {action.replica.replica_id for action in world.upstreams.queries()}
        self.assertNotIn(replica_id, asked)

    def start(self):
        world = World(NAMES)
        world.run(3000)
        return world

    def test_draining_answer_is_told_to_all_though_health_lies(self):
        world = self.start()
        upstreams = world.upstreams

        def drain(action):
            if isinstance(action.message, LoadProbe):
                return upstreams.default(action)
            return upstreams.reply(action, ReplyStatus.DRAINING, executed=False)

        upstreams.script = {'svc1-a': drain}
        for number in range(8):
            world.ask('v1', f'first-{number}')
            world.run(30)
        self.assertTrue(world.cores['v1'].upstreams.states['svc1-a'].is_draining)
        self.assert_no_new_work(world, 'svc1-a')

    def test_health_endpoint_is_a_sign(self):
        world = self.start()
        upstreams = world.upstreams

        def drain(action):
            if isinstance(action.message, LoadProbe):
                return upstreams.reply(action, ReplyStatus.DRAINING, executed=False)
            return upstreams.default(action)

        upstreams.script = {'svc1-a': drain}
        self.assert_no_new_work(world, 'svc1-a')

    def test_configuration_is_a_sign(self):
        world = self.start()
        entries = make_entries()
        entries['service/b/svc1']['replicas'][0]['draining'] = True
        world.hand('v1', ConfigurationReceived(Document(2, entries)))
        self.assert_no_new_work(world, 'svc1-a')

    def test_queued_work_moves_elsewhere(self):
        world = self.start()
        upstreams = world.upstreams
        upstreams.latency_ms = {f'svc1-{x}': 50.0 for x in 'ab'}
        for number in range(12):
            world.ask('v1', f'q{number}')
        upstreams.script = {
            'svc1-a': lambda a: upstreams.reply(a, ReplyStatus.DRAINING, executed=False)
        }
        world.run(900)
        for number in range(12):
            self.assertTrue(world.answer(f'q{number}').coverage.complete)

    @params((30_000, True), (90_000, False))
    def test_drain_ends_long_after_the_last_sign(self, elapsed_ms, draining):
        world = self.start()
        upstreams = world.upstreams
        upstreams.script = {
            'svc1-a': lambda a: upstreams.reply(a, ReplyStatus.DRAINING, executed=False)
        }
        for number in range(4):
            world.ask('v1', f'q{number}')
            world.run(50)
        world.run(3000)
        upstreams.script = {}
        world.run(elapsed_ms)
        for core in world.cores.values():
            self.assertEqual(core.upstreams.states['svc1-a'].is_draining, draining)
