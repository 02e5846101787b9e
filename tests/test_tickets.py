"""A non-idempotent request runs at most once, and one reported as `not_run` never runs."""

import unittest

from nose2.tools import params

from beechbridge.core.limits import Limits
from beechbridge.failures import Executed, Failure, Reason
from beechbridge.messages import RelayedOutcome, RelayedRequest, ReplyStatus
from beechbridge.models import Done, Ticket, VmIdentity

from .utils import LOST, REFUSED, Simulation


def start_fleet(**fields):
    sim = Simulation(('v1', 'v2', 'v3'), **fields)
    sim.run(1000)
    return sim


def all_replicas(script):
    return {f'svc{n}-{letter}': script for n in range(3) for letter in 'ab'}


class TicketTest(unittest.TestCase):
    def assert_runs_at_most(self, sim, max_runs):
        self.assertLessEqual(sum(sim.upstreams.executions.values()), max_runs)
        self.assertLessEqual(max(sim.upstreams.executions.values(), default=0), 1)

    def test_retry_gets_the_first_outcome(self):
        sim = start_fleet()
        ticket = sim.ticket('v1')
        for number, name in enumerate(('v1', 'v1', 'v2', 'v3')):
            sim.submit(name, ticket, f'r{number}')
        sim.run(100)
        for number in range(4):
            self.assertIsInstance(sim.answer(f'r{number}'), Done)
        sim.submit('v2', ticket, 'again')
        sim.run(100)
        self.assertEqual(sim.answer('again'), sim.answer('r0'))
        self.assertEqual(sim.upstreams.executions, {ticket.number: 1})

    @params(
        ('shed', ReplyStatus.SHED),
        ('draining', ReplyStatus.DRAINING),
        ('moved', ReplyStatus.MOVED),
    )
    def test_replayed_request_with_a_rejected_ticket_never_runs(self, _, status):
        sim = start_fleet()
        upstreams = sim.upstreams
        upstreams.script = all_replicas(lambda a: upstreams.reply(a, status, executed=False))
        ticket = sim.ticket('v1')
        sim.submit('v2', ticket, 'first', deadline_ms=300)
        sim.run(500)
        self.assertEqual(sim.answer('first').executed, Executed.NOT_RUN)
        upstreams.script = {}
        for name in ('v1', 'v3'):
            sim.submit(name, ticket, f'replay-{name}')
        sim.run(1000)
        for name in ('v1', 'v3'):
            self.assertEqual(sim.answer(f'replay-{name}').executed, Executed.NOT_RUN)
        self.assertEqual(upstreams.executions, {})

    def test_refused_connection_moves_to_another_replica(self):
        sim = start_fleet()
        sim.upstreams.script = {f'svc{n}-a': lambda a: REFUSED for n in range(3)}
        ticket = sim.ticket('v1')
        sim.submit('v1', ticket)
        sim.run(200)
        self.assertIsInstance(sim.answer('r1'), Done)
        self.assert_runs_at_most(sim, 1)

    @params(('lost', LOST, None), ('silent', None, None))
    def test_outcome_stays_unknown_if_the_upstream_is_lost_after_the_first_byte(
        self, _, result, __
    ):
        sim = start_fleet()
        upstreams = sim.upstreams

        def run_and_lose(action):
            upstreams.default(action)
            return result

        upstreams.script = all_replicas(run_and_lose)
        ticket = sim.ticket('v1')
        sim.submit('v1', ticket, deadline_ms=400)
        sim.run(500)
        self.assertEqual(sim.answer('r1').executed, Executed.UNKNOWN)
        upstreams.script = {}
        sim.submit('v2', ticket, 'r2')
        sim.run(500)
        self.assertEqual(sim.answer('r2').executed, Executed.UNKNOWN)
        self.assert_runs_at_most(sim, 1)
        self.assertEqual(len(upstreams.requests()), 1)

    def test_ticketed_request_uses_a_new_connection(self):
        sim = start_fleet()
        sim.ask('v1')
        sim.run(50)
        sim.submit('v1', sim.ticket('v1'))
        sim.run(50)
        self.assertTrue(all(action.is_new for action in sim.upstreams.requests()))

    def test_request_to_a_paused_issuer_is_unknown_and_runs_at_most_once(self):
        sim = start_fleet()
        ticket = sim.ticket('v1')
        sim.paused.add('v1')
        sim.submit('v2', ticket, 'r1', deadline_ms=800)
        sim.run(900)
        self.assertEqual(sim.answer('r1').executed, Executed.UNKNOWN)
        sim.paused.clear()
        sim.submit('v3', ticket, 'r2', deadline_ms=3000)
        sim.run(4000)
        self.assertIsInstance(sim.answer('r2'), Done)
        self.assert_runs_at_most(sim, 1)

    def test_outcome_is_unknown_if_the_issuer_is_unreachable(self):
        sim = start_fleet()
        ticket = sim.ticket('v1')
        sim.partition({'v1'}, {'v2', 'v3'})
        sim.submit('v2', ticket, 'r1', deadline_ms=500)
        sim.submit('v1', ticket, 'r2', deadline_ms=500)
        sim.run(600)
        self.assertEqual(sim.answer('r1').reason, Reason.ISSUER_UNREACHABLE)
        self.assertEqual(sim.answer('r1').executed, Executed.UNKNOWN)
        self.assertIsInstance(sim.answer('r2'), Done)
        self.assert_runs_at_most(sim, 1)

    def test_ticket_of_an_issuer_restarted_on_the_same_address_never_runs(self):
        sim = start_fleet()
        ticket = sim.ticket('v1')
        sim.kill('v1')
        sim.start('v1')
        sim.submit('v2', ticket, 'early', deadline_ms=500)
        sim.run(3000)
        sim.submit('v1', ticket, 'at-successor')
        sim.submit('v3', ticket, 'relayed')
        sim.run(1000)
        for request_id in ('early', 'at-successor', 'relayed'):
            self.assertEqual(sim.answer(request_id).executed, Executed.UNKNOWN)
        for request_id in ('at-successor', 'relayed'):
            self.assertEqual(sim.answer(request_id).reason, Reason.ISSUER_RESTARTED)
        self.assertEqual(sim.upstreams.executions, {})

    @params('duplicate', 'drop-every-other', 'reorder')
    def test_relayed_requests_survive_network_faults(self, fault):
        sim = start_fleet()
        relayed = []

        def inject_fault(sender, receiver, event):
            if not isinstance(event.message, (RelayedRequest, RelayedOutcome)):
                return True
            relayed.append(event)
            if fault == 'duplicate':
                sim.schedule(1.0, receiver, event)
                sim.schedule(40.0, receiver, event)
                return True
            if fault == 'reorder':
                sim.schedule(100.0 / len(relayed), receiver, event)
                return False
            return len(relayed) % 2 == 0

        sim.peer_filter = inject_fault
        ticket = sim.ticket('v1')
        for number in range(3):
            sim.submit('v2', ticket, f'r{number}', deadline_ms=3000)
        sim.run(3500)
        for number in range(3):
            answer = sim.answer(f'r{number}')
            is_unknown = isinstance(answer, Failure) and answer.executed is Executed.UNKNOWN
            self.assertTrue(isinstance(answer, Done) or is_unknown)
        self.assert_runs_at_most(sim, 1)

    def test_ticket_for_another_back_end_is_rejected_as_not_run(self):
        sim = start_fleet()
        ticket = sim.ticket('v1')
        core = sim.cores['v1']
        core.tickets.entries[ticket.number].back_end = 'other'
        sim.submit('v1', ticket)
        self.assertEqual(sim.answer('r1').reason, Reason.TICKET_BACK_END)
        self.assertEqual(sim.answer('r1').executed, Executed.NOT_RUN)

    def test_outcome_of_a_forgotten_ticket_is_unknown(self):
        sim = start_fleet(limits=Limits(ticket_keep_ms=1000))
        ticket = sim.ticket('v1')
        sim.run(5000)
        self.assertEqual(sim.cores['v1'].tickets.entries, {})
        sim.submit('v1', ticket)
        self.assertEqual(sim.answer('r1').reason, Reason.TICKET_FORGOTTEN)
        self.assertEqual(sim.answer('r1').executed, Executed.UNKNOWN)

    def test_no_ticket_is_issued_if_the_table_is_full(self):
        sim = Simulation(limits=Limits(tickets=1))
        sim.ticket('v1', 't1')
        with self.assertRaises(AttributeError):
            sim.ticket('v1', 't2')
        self.assertEqual(sim.answer('t2').reason, Reason.TICKET_TABLE_FULL)

    @params('', 'a', 'a:b', 'a:b:c', ':1:c', 'a:1:', 'a:99999999999999999999:c')
    def test_malformed_ticket_is_not_decoded(self, text):
        self.assertIsNone(Ticket.decode(text))

    def test_ticket_round_trip(self):
        ticket = Ticket(VmIdentity('vm-1', 7), 'abc')
        self.assertEqual(Ticket.decode(ticket.encode()), ticket)
