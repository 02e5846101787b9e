"""A planned stop interrupts no request and ends within a bounded time."""

import unittest

from beechbridge.actions import SendPeer
from beechbridge.core.fleet.stopping import FINISH_MARGIN_MS, PROPAGATION_MS
from beechbridge.core.limits import Limits
from beechbridge.events import EntryRequested, StopRequested
from beechbridge.failures import Reason
from beechbridge.models import Done

from .utils import World, make_document

KEEP_MS = 10_000
HARD_DEADLINE_MS = 1_000
STOP_BOUND_MS = KEEP_MS + PROPAGATION_MS + HARD_DEADLINE_MS + FINISH_MARGIN_MS


def fleet():
    world = World(('v1', 'v2', 'v3'), limits=Limits(ticket_keep_ms=KEEP_MS))
    world.run(2000)
    return world


def entries(world, name, request_id):
    world.hand(name, EntryRequested(request_id, 'p', 'caller'))
    return [vm.name for vm in world.answer(request_id).vms]


class StopTest(unittest.TestCase):
    def test_leaving_vm_drops_out_of_entry_answers(self):
        world = fleet()
        self.assertIn('v1', entries(world, 'v2', 'before'))
        world.hand('v1', StopRequested())
        self.assertNotIn('v1', entries(world, 'v1', 'own'))
        world.run(1000)
        self.assertNotIn('v1', entries(world, 'v2', 'other'))

    def test_caller_with_a_cached_address_is_served_for_the_keep_time(self):
        world = fleet()
        world.hand('v1', StopRequested())
        for number in range(int(KEEP_MS / 100)):
            world.ask('v1', f'q{number}')
            world.run(100)
            self.assertTrue(world.answer(f'q{number}').coverage.complete)
        self.assertNotIn('v1', world.exited)

    def test_request_in_flight_is_finished(self):
        world = fleet()
        world.upstreams.latency_ms = {f'svc{n}-{x}': 900.0 for n in range(3) for x in 'ab'}
        world.hand('v1', StopRequested())
        world.run(KEEP_MS + PROPAGATION_MS - 50)
        ticket = world.ticket('v2')
        world.submit('v1', ticket, 'relayed', deadline_ms=1000)
        world.ask('v1', 'q', deadline_ms=950)
        world.run(100)
        self.assertNotIn('v1', world.exited)
        world.run(1000)
        self.assertEqual(len(world.answers['q']), 1)
        self.assertIsInstance(world.answer('relayed'), Done)
        self.assertIn('v1', world.exited)

    def test_tickets_given_out_stay_usable_until_the_end(self):
        world = fleet()
        ticket = world.ticket('v1')
        world.hand('v1', StopRequested())
        world.run(KEEP_MS - 100)
        world.submit('v3', ticket)
        world.run(200)
        self.assertIsInstance(world.answer('r1'), Done)

    def test_no_ticket_outlives_the_process(self):
        world = fleet()
        world.hand('v1', StopRequested())
        world.run(KEEP_MS + PROPAGATION_MS - 100)
        with self.assertRaises(AttributeError):
            world.ticket('v1', 'late')
        self.assertEqual(world.answer('late').reason, Reason.STOPPING)

    def test_stop_is_bounded_while_upstreams_hang(self):
        world = fleet()
        world.upstreams.script = {f'svc{n}-{x}': lambda a: None for n in range(3) for x in 'ab'}
        world.hand('v1', StopRequested())
        world.run(KEEP_MS + PROPAGATION_MS - 10)
        world.ask('v1', 'q')
        world.submit('v1', world.ticket('v2'), 'r', deadline_ms=60_000)
        world.run(STOP_BOUND_MS)
        self.assertIn('v1', world.exited)

    def test_late_arrival_is_refused_and_not_sent(self):
        world = fleet()
        world.upstreams.latency_ms = {f'svc{n}-{x}': 900.0 for n in range(3) for x in 'ab'}
        world.hand('v1', StopRequested())
        world.run(KEEP_MS + PROPAGATION_MS - 10)
        world.ask('v1', 'q', deadline_ms=950)
        world.run(20)
        sends = len(world.upstreams.sends)
        world.ask('v1', 'late')
        self.assertEqual(world.answer('late').reason, Reason.STOPPING)
        self.assertEqual(len(world.upstreams.sends), sends)

    def test_stop_is_announced_at_once(self):
        world = fleet()
        mark = len(world.log)
        world.hand('v1', StopRequested())
        told = [action for _, action in world.log[mark:] if isinstance(action, SendPeer)]
        self.assertEqual({action.vm.name for action in told}, {'v2', 'v3'})
        self.assertTrue(all(action.message.members[0].leaving for action in told))

    def test_rolling_replacement_loses_no_query(self):
        world = World(('v1', 'v2', 'v3'), make_document(1), Limits(ticket_keep_ms=1000))
        world.run(2000)
        number = 0
        for old in ('v1', 'v2', 'v3'):
            new = f'{old}-new'
            world.list_vm(new)
            world.start(new)
            world.run(2000)
            world.hand(old, StopRequested())
            while old not in world.exited:
                for name in entries(world, new, f'e{number}')[:2]:
                    world.ask(name, f'q{number}-{name}')
                number += 1
                world.run(50)
            del world.vms[old]
            world.kill(old)
        world.run(2000)
        asked = [key for key in world.answers if key.startswith('q')]
        self.assertGreater(len(asked), 100)
        for request_id in asked:
            self.assertTrue(world.answer(request_id).coverage.complete)
