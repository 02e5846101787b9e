"""A process that resumes after a pause does not rely on old connections or an old fleet view."""

import unittest

from beechbridge.actions import Send
from beechbridge.failures import Reason
from beechbridge.messages import ReplyStatus, ShardQuery

from .utils import Simulation

PAUSE_MS = 60_000


def start_fleet():
    sim = Simulation(('v1', 'v2', 'v3'))
    sim.run(3000)
    return sim


def resume(sim, name):
    sim.paused.discard(name)


class PauseTest(unittest.TestCase):
    def test_expired_work_is_not_sent_after_a_pause(self):
        sim = start_fleet()
        sim.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        for number in range(20):
            sim.ask('v1', f'q{number}')
        sim.paused.add('v1')
        sim.run(PAUSE_MS)
        sent_before = len(sim.upstreams.queries())
        sim.upstreams.script = {}
        resume(sim, 'v1')
        sim.run(100)
        for number in range(20):
            self.assertEqual(sim.answer(f'q{number}').reason, Reason.COVERAGE_TOO_LOW)
        self.assertEqual(len(sim.upstreams.queries()), sent_before)

    def test_drain_announced_during_a_pause_is_applied_before_queries(self):
        sim = start_fleet()
        upstreams = sim.upstreams
        sim.paused.add('v1')
        sim.run(PAUSE_MS / 2)

        def drain(action):
            return upstreams.reply(action, ReplyStatus.DRAINING, executed=False)

        upstreams.script = {f'svc{n}-a': drain for n in range(3)}
        sim.ask('v2')
        sim.run(PAUSE_MS / 2)
        upstreams.sends.clear()
        resume(sim, 'v1')
        sim.ask('v1', 'at-once')
        self.assertEqual(sim.answer('at-once').reason, Reason.NOT_READY)
        sim.run(2000)
        sim.ask('v1', 'later')
        sim.run(100)
        self.assertTrue(sim.answer('later').coverage.complete)
        asked = {action.replica.replica_id for action in upstreams.queries()}
        self.assertEqual({replica_id[-1] for replica_id in asked}, {'b'})

    def test_old_connections_are_not_used_after_a_pause(self):
        sim = start_fleet()
        sim.ask('v1')
        sim.run(100)
        sim.paused.add('v1')
        sim.run(PAUSE_MS)
        resume(sim, 'v1')
        sim.run(2000)
        opened = {a.connection_id for a in sim.actions(Send, 'v1') if a.is_new}
        log_start = len(sim.log)
        sim.ask('v1', 'q2')
        sim.run(100)
        self.assertTrue(sim.answer('q2').coverage.complete)
        used = [a for _, a in sim.log[log_start:] if isinstance(a, Send)]
        reused = {
            a.connection_id for a in used if isinstance(a.message, ShardQuery) and not a.is_new
        }
        self.assertTrue(reused <= opened)
        self.assertEqual(sim.cores['v1'].counters.get('pauses'), 1)

    def test_configuration_changed_during_a_pause_is_applied(self):
        sim = start_fleet()
        sim.paused.add('v2')
        from .utils import make_document

        sim.document = make_document(9)
        sim.run(PAUSE_MS)
        resume(sim, 'v2')
        sim.run(6000)
        self.assertEqual(sim.cores['v2'].configuration.generation, 9)
