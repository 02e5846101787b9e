"""A planned stop interrupts no request and ends within a bounded time."""

import unittest

from nose2.tools import params

from beechbridge.actions import SendPeer
from beechbridge.core.fleet.stopping import FINISH_MARGIN_MS, PROPAGATION_MS
from beechbridge.core.limits import Limits
from beechbridge.events import EntryRequested, StopRequested
from beechbridge.failures import Executed, Reason
from beechbridge.models import Done

from .utils import Simulation, make_document

TICKET_KEEP_MS = 10_000
HARD_DEADLINE_MS = 1_000
MAX_STOP_MS = TICKET_KEEP_MS + PROPAGATION_MS + HARD_DEADLINE_MS + FINISH_MARGIN_MS


def start_fleet():
    sim = Simulation(('v1', 'v2', 'v3'), limits=Limits(ticket_keep_ms=TICKET_KEEP_MS))
    sim.run(2000)
    return sim


def entry_names(sim, name, request_id):
    sim.handle(name, EntryRequested(request_id, 'p', 'caller'))
    return [vm.name for vm in sim.answer(request_id).vms]


class StopTest(unittest.TestCase):
    def test_stopping_vm_is_removed_from_entry_answers(self):
        sim = start_fleet()
        self.assertIn('v1', entry_names(sim, 'v2', 'before'))
        sim.handle('v1', StopRequested())
        self.assertNotIn('v1', entry_names(sim, 'v1', 'own'))
        sim.run(1000)
        self.assertNotIn('v1', entry_names(sim, 'v2', 'other'))

    def test_cached_address_is_served_for_the_keep_time(self):
        sim = start_fleet()
        sim.handle('v1', StopRequested())
        for number in range(int(TICKET_KEEP_MS / 100)):
            sim.ask('v1', f'q{number}')
            sim.run(100)
            self.assertTrue(sim.answer(f'q{number}').coverage.complete)
        self.assertNotIn('v1', sim.exited)

    def test_request_in_flight_is_finished(self):
        sim = start_fleet()
        sim.upstreams.latency_ms = {f'svc{n}-{x}': 900.0 for n in range(3) for x in 'ab'}
        sim.handle('v1', StopRequested())
        sim.run(TICKET_KEEP_MS + PROPAGATION_MS - 50)
        ticket = sim.ticket('v2')
        sim.submit('v1', ticket, 'relayed', deadline_ms=1000)
        sim.ask('v1', 'q', deadline_ms=950)
        sim.run(100)
        self.assertNotIn('v1', sim.exited)
        sim.run(1000)
        self.assertEqual(len(sim.answers['q']), 1)
        self.assertIsInstance(sim.answer('relayed'), Done)
        self.assertIn('v1', sim.exited)

    def test_issued_ticket_stays_usable_until_it_expires(self):
        sim = start_fleet()
        ticket = sim.ticket('v1')
        sim.handle('v1', StopRequested())
        sim.run(TICKET_KEEP_MS - 100)
        sim.submit('v3', ticket)
        sim.run(200)
        self.assertIsInstance(sim.answer('r1'), Done)

    def test_no_ticket_is_issued_that_outlives_the_process(self):
        sim = start_fleet()
        sim.handle('v1', StopRequested())
        sim.run(TICKET_KEEP_MS + PROPAGATION_MS - 100)
        with self.assertRaises(AttributeError):
            sim.ticket('v1', 'late')
        self.assertEqual(sim.answer('late').reason, Reason.STOPPING)

    def test_stop_is_bounded_while_upstreams_hang(self):
        sim = start_fleet()
        sim.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        sim.handle('v1', StopRequested())
        sim.run(TICKET_KEEP_MS + PROPAGATION_MS - 10)
        sim.ask('v1', 'q')
        sim.submit('v1', sim.ticket('v2'), 'r', deadline_ms=60_000)
        sim.run(MAX_STOP_MS)
        self.assertIn('v1', sim.exited)

    # A run that outlasted the stop was cut off: its caller could not tell a crash from a stop.
    @params('v1', 'v2')
    def test_run_that_outlasts_the_stop_is_answered_before_the_exit(self, issuer):
        sim = start_fleet()
        sim.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        ticket = sim.ticket(issuer)
        sim.handle('v1', StopRequested())
        sim.run(TICKET_KEEP_MS - 100)
        sim.submit('v1', ticket, 'r', deadline_ms=60_000)
        while 'v1' not in sim.exited:
            self.assertNotIn('r', sim.answers)
            sim.run(1)
        outcome = sim.answer('r')
        self.assertEqual((outcome.reason, outcome.executed), (Reason.STOPPING, Executed.UNKNOWN))

    def test_late_query_is_rejected_and_not_sent(self):
        sim = start_fleet()
        sim.upstreams.latency_ms = {f'svc{n}-{x}': 900.0 for n in range(3) for x in 'ab'}
        sim.handle('v1', StopRequested())
        sim.run(TICKET_KEEP_MS + PROPAGATION_MS - 10)
        sim.ask('v1', 'q', deadline_ms=950)
        sim.run(20)
        send_count = len(sim.upstreams.sends)
        sim.ask('v1', 'late')
        self.assertEqual(sim.answer('late').reason, Reason.STOPPING)
        self.assertEqual(len(sim.upstreams.sends), send_count)

    def test_stop_is_announced_at_once(self):
        sim = start_fleet()
        log_start = len(sim.log)
        sim.handle('v1', StopRequested())
        announcements = [
            action for _, action in sim.log[log_start:] if isinstance(action, SendPeer)
        ]
        self.assertEqual({action.vm.name for action in announcements}, {'v2', 'v3'})
        self.assertTrue(all(action.message.members[0].leaving for action in announcements))

    def test_rolling_replacement_loses_no_query(self):
        sim = Simulation(('v1', 'v2', 'v3'), make_document(1), Limits(ticket_keep_ms=1000))
        sim.run(2000)
        number = 0
        for old in ('v1', 'v2', 'v3'):
            new = f'{old}-new'
            sim.list_vm(new)
            sim.start(new)
            sim.run(2000)
            sim.handle(old, StopRequested())
            while old not in sim.exited:
                for name in entry_names(sim, new, f'e{number}')[:2]:
                    sim.ask(name, f'q{number}-{name}')
                number += 1
                sim.run(50)
            del sim.vms[old]
            sim.kill(old)
        sim.run(2000)
        asked = [key for key in sim.answers if key.startswith('q')]
        self.assertGreater(len(asked), 100)
        for request_id in asked:
            self.assertTrue(sim.answer(request_id).coverage.complete)
