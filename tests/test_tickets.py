"""A non-idempotent request runs at most once, and `not_run` stays true."""

import unittest

from nose2.tools import params

from beechbridge.core.limits import Limits
from beechbridge.failures import Executed, Failure, Reason
from beechbridge.messages import RelayedOutcome, RelayedRequest, ReplyStatus
from beechbridge.models import Done, Ticket, VmIdentity

from .utils import LOST, REFUSED, World


def fleet(**fields):
    world = World(('v1', 'v2', 'v3'), **fields)
    world.run(1000)
    return world


def all_replicas(script):
    return {f'svc{n}-{letter}': script for n in range(3) for letter in 'ab'}


class TicketTest(unittest.TestCase):
    def assert_runs(self, world, most):
        self.assertLessEqual(sum(world.upstreams.executions.values()), most)
        self.assertLessEqual(max(world.upstreams.executions.values(), default=0), 1)

    def test_repeat_gets_the_first_outcome(self):
        world = fleet()
        ticket = world.ticket('v1')
        for number, name in enumerate(('v1', 'v1', 'v2', 'v3')):
            world.submit(name, ticket, f'r{number}')
        world.run(100)
        for number in range(4):
            self.assertIsInstance(world.answer(f'r{number}'), Done)
        world.submit('v2', ticket, 'again')
        world.run(100)
        self.assertEqual(world.answer('again'), world.answer('r0'))
        self.assertEqual(world.upstreams.executions, {ticket.number: 1})

    @params(
        ('shed', ReplyStatus.SHED),
        ('draining', ReplyStatus.DRAINING),
        ('moved', ReplyStatus.MOVED),
    )
    def test_replayed_request_with_a_refused_ticket_never_runs(self, _, status):
        world = fleet()
        upstreams = world.upstreams
        upstreams.script = all_replicas(lambda a: upstreams.reply(a, status, executed=False))
        ticket = world.ticket('v1')
        world.submit('v2', ticket, 'first', deadline_ms=300)
        world.run(500)
        self.assertEqual(world.answer('first').executed, Executed.NOT_RUN)
        upstreams.script = {}
        for name in ('v1', 'v3'):
            world.submit(name, ticket, f'replay-{name}')
        world.run(1000)
        for name in ('v1', 'v3'):
            self.assertEqual(world.answer(f'replay-{name}').executed, Executed.NOT_RUN)
        self.assertEqual(upstreams.executions, {})

    def test_refused_connection_moves_to_another_replica(self):
        world = fleet()
        world.upstreams.script = {f'svc{n}-a': lambda a: REFUSED for n in range(3)}
        ticket = world.ticket('v1')
        world.submit('v1', ticket)
        world.run(200)
        self.assertIsInstance(world.answer('r1'), Done)
        self.assert_runs(world, 1)

    @params(('lost', LOST, None), ('silent', None, None))
    def test_outcome_stays_unknown_if_the_upstream_is_lost_after_the_first_byte(
        self, _, result, __
    ):
        world = fleet()
        upstreams = world.upstreams

        def run_and_lose(action):
            upstreams.default(action)
            return result

        upstreams.script = all_replicas(run_and_lose)
        ticket = world.ticket('v1')
        world.submit('v1', ticket, deadline_ms=400)
        world.run(500)
        self.assertEqual(world.answer('r1').executed, Executed.UNKNOWN)
        upstreams.script = {}
        world.submit('v2', ticket, 'r2')
        world.run(500)
        self.assertEqual(world.answer('r2').executed, Executed.UNKNOWN)
        self.assert_runs(world, 1)
        self.assertEqual(len(upstreams.requests()), 1)

    def test_ticketed_request_uses_a_new_connection(self):
        world = fleet()
        world.ask('v1')
        world.run(50)
        world.submit('v1', world.ticket('v1'))
        world.run(50)
        self.assertTrue(all(action.is_new for action in world.upstreams.requests()))

    def test_paused_issuer_is_unknown_and_runs_once_at_most(self):
        world = fleet()
        ticket = world.ticket('v1')
        world.paused.add('v1')
        world.submit('v2', ticket, 'r1', deadline_ms=800)
        world.run(900)
        self.assertEqual(world.answer('r1').executed, Executed.UNKNOWN)
        world.paused.clear()
        world.submit('v3', ticket, 'r2', deadline_ms=3000)
        world.run(4000)
        self.assertIsInstance(world.answer('r2'), Done)
        self.assert_runs(world, 1)

    def test_unreachable_issuer_is_unknown(self):
        world = fleet()
        ticket = world.ticket('v1')
        world.part({'v1'}, {'v2', 'v3'})
        world.submit('v2', ticket, 'r1', deadline_ms=500)
        world.submit('v1', ticket, 'r2', deadline_ms=500)
        world.run(600)
        self.assertEqual(world.answer('r1').reason, Reason.ISSUER_UNREACHABLE)
        self.assertEqual(world.answer('r1').executed, Executed.UNKNOWN)
        self.assertIsInstance(world.answer('r2'), Done)
        self.assert_runs(world, 1)

    def test_issuer_restarted_on_the_same_address_never_runs(self):
        world = fleet()
        ticket = world.ticket('v1')
        world.kill('v1')
        world.start('v1')
        world.submit('v2', ticket, 'early', deadline_ms=500)
        world.run(3000)
        world.submit('v1', ticket, 'at-successor')
        world.submit('v3', ticket, 'relayed')
        world.run(1000)
        for request_id in ('early', 'at-successor', 'relayed'):
            self.assertEqual(world.answer(request_id).executed, Executed.UNKNOWN)
        for request_id in ('at-successor', 'relayed'):
            self.assertEqual(world.answer(request_id).reason, Reason.ISSUER_RESTARTED)
        self.assertEqual(world.upstreams.executions, {})

    @params('duplicate', 'drop-every-other', 'reorder')
    def test_relays_survive_the_network(self, fault):
        world = fleet()
        seen = []

        def spoil(sender, receiver, event):
            if not isinstance(event.message, (RelayedRequest, RelayedOutcome)):
                return True
            seen.append(event)
            if fault == 'duplicate':
                world.schedule(1.0, receiver, event)
                world.schedule(40.0, receiver, event)
                return True
            if fault == 'reorder':
                world.schedule(100.0 / len(seen), receiver, event)
                return False
            return len(seen) % 2 == 0

        world.peer_filter = spoil
        ticket = world.ticket('v1')
        for number in range(3):
            world.submit('v2', ticket, f'r{number}', deadline_ms=3000)
        world.run(3500)
        for number in range(3):
            answer = world.answer(f'r{number}')
            is_unknown = isinstance(answer, Failure) and answer.executed is Executed.UNKNOWN
            self.assertTrue(isinstance(answer, Done) or is_unknown)
        self.assert_runs(world, 1)

    def test_ticket_for_another_back_end_is_used_up(self):
        world = fleet()
        ticket = world.ticket('v1')
        core = world.cores['v1']
        core.tickets.entries[ticket.number].back_end = 'other'
        world.submit('v1', ticket)
        self.assertEqual(world.answer('r1').reason, Reason.TICKET_BACK_END)
        self.assertEqual(world.answer('r1').executed, Executed.NOT_RUN)

    def test_forgotten_ticket_is_unknown(self):
        world = fleet(limits=Limits(ticket_keep_ms=1000))
        ticket = world.ticket('v1')
        world.run(5000)
        self.assertEqual(world.cores['v1'].tickets.entries, {})
        world.submit('v1', ticket)
        self.assertEqual(world.answer('r1').reason, Reason.TICKET_FORGOTTEN)
        self.assertEqual(world.answer('r1').executed, Executed.UNKNOWN)

    def test_full_table_gives_no_ticket(self):
        world = World(limits=Limits(tickets=1))
        world.ticket('v1', 't1')
        with self.assertRaises(AttributeError):
            world.ticket('v1', 't2')
        self.assertEqual(world.answer('t2').reason, Reason.TICKET_TABLE_FULL)

    @params('', 'a', 'a:b', 'a:b:c', ':1:c', 'a:1:', 'a:99999999999999999999:c')
    def test_malformed_ticket_is_not_decoded(self, text):
        self.assertIsNone(Ticket.decode(text))

    def test_ticket_survives_its_encoding(self):
        ticket = Ticket(VmIdentity('vm-1', 7), 'abc')
        self.assertEqual(Ticket.decode(ticket.encode()), ticket)
