"""A draining replica gets no new work, even if its health endpoint still reports it healthy."""

import unittest

from nose2.tools import params

from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived
from beechbridge.messages import LoadProbe, ReplyStatus

from .utils import Simulation, make_entries

NO_NEW_WORK_MS = 3000
"""Time from the first report of draining until the replica must get no new work."""

NAMES = ('v1', 'v2', 'v3')


class DrainTest(unittest.TestCase):
    def assert_no_new_work(self, sim, replica_id, seconds=10):
        sim.run(NO_NEW_WORK_MS)
        sim.upstreams.sends.clear()
        for tick in range(seconds * 10):
            sim.ask(NAMES[tick % 3], f'later-{tick}')
            sim.run(100)
            self.assertTrue(sim.answer(f'later-{tick}').coverage.complete)
        asked = {action.replica.replica_id for action in sim.upstreams.queries()}
        self.assertNotIn(replica_id, asked)

    def start(self):
        sim = Simulation(NAMES)
        sim.run(3000)
        return sim

    def test_draining_reply_reaches_all_vms_despite_a_healthy_probe(self):
        sim = self.start()
        upstreams = sim.upstreams

        def drain(action):
            if isinstance(action.message, LoadProbe):
                return upstreams.default(action)
            return upstreams.reply(action, ReplyStatus.DRAINING, executed=False)

        upstreams.script = {'svc1-a': drain}
        for number in range(8):
            sim.ask('v1', f'first-{number}')
            sim.run(30)
        self.assertTrue(sim.cores['v1'].upstreams.states['svc1-a'].is_draining)
        self.assert_no_new_work(sim, 'svc1-a')

    def test_replica_draining_by_health_check_gets_no_new_work(self):
        sim = self.start()
        upstreams = sim.upstreams

        def drain(action):
            if isinstance(action.message, LoadProbe):
                return upstreams.reply(action, ReplyStatus.DRAINING, executed=False)
            return upstreams.default(action)

        upstreams.script = {'svc1-a': drain}
        self.assert_no_new_work(sim, 'svc1-a')

    def test_replica_draining_by_configuration_gets_no_new_work(self):
        sim = self.start()
        entries = make_entries()
        entries['service/b/svc1']['replicas'][0]['draining'] = True
        sim.handle('v1', ConfigurationReceived(Document(2, entries)))
        self.assert_no_new_work(sim, 'svc1-a')

    def test_queued_work_moves_to_another_replica(self):
        sim = self.start()
        upstreams = sim.upstreams
        upstreams.latency_ms = {f'svc1-{x}': 50.0 for x in 'ab'}
        for number in range(12):
            sim.ask('v1', f'q{number}')
        upstreams.script = {
            'svc1-a': lambda a: upstreams.reply(a, ReplyStatus.DRAINING, executed=False)
        }
        sim.run(900)
        for number in range(12):
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)

    @params((30_000, True), (90_000, False))
    def test_drain_ends_long_after_the_last_report(self, elapsed_ms, is_draining):
        sim = self.start()
        upstreams = sim.upstreams
        upstreams.script = {
            'svc1-a': lambda a: upstreams.reply(a, ReplyStatus.DRAINING, executed=False)
        }
        for number in range(4):
            sim.ask('v1', f'q{number}')
            sim.run(50)
        sim.run(3000)
        upstreams.script = {}
        sim.run(elapsed_ms)
        for core in sim.cores.values():
            self.assertEqual(core.upstreams.states['svc1-a'].is_draining, is_draining)
