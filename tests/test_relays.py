"""Requests that a VM without replicas lets other VMs serve."""

import asyncio
import io
import re
import unittest

from nose2.tools import params

from beechbridge.daemon.exchanges import Codec, ExchangeClient
from beechbridge.failures import Executed, Failure, Reason, not_run, unknown
from beechbridge.gateway.actions import (
    AnswerRequest,
    DropConnection,
    SendOrder,
    SendRelay,
    SendRequest,
)
from beechbridge.gateway.events import (
    CallerDisconnected,
    ExchangeEnded,
    OrderReceived,
    RelayReceived,
    RequestReceived,
    RequestSent,
)
from beechbridge.gateway.models import (
    CallerRequest,
    ForwardedAnswer,
    LinkFailure,
    LinkFault,
    MergedAnswer,
    PartsAnswer,
    PartsOrder,
    PartsReply,
    RelayReply,
    Reply,
    RequestRelay,
)
from beechbridge.wire.fleet import read_parts, write_order, write_parts
from beechbridge.wire.relays import (
    RELAYS_PATH,
    read_relay,
    read_relay_reply,
    write_relay,
    write_relay_answer,
)
from measure.emulator import HOST
from measure.stand_ins import Cut

from .gateways import REGIONS, ZONES, arrivals_of, start_fleet
from .test_stranded_vms import KINDS, drive, is_served

GATHER, SINGLE, WRITE = KINDS
RELAY_KEY = 9_000
WAIT_S = 5.0
UNSENT = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False)
LOST = LinkFailure(LinkFault.LOST, was_sent=True)
REPLY = Reply(200, [('X-Note', 'kept')], b'deed', 'signature', 'q')
HEADERS = [('Authorization', 'caller'), ('X-Note', 'a b')]


def make_request(path, method='GET', request_id='q', timeout_ms=1200.0, body=b''):
    return CallerRequest(request_id, method, path, HOST, path, list(HEADERS), body, timeout_ms)


def lose_links(emulator, kind):
    """Cut the first VM off, send requests until it believes that, and return its gateway."""
    gateway = emulator.vms[0].gateway
    emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
    drive(emulator, kind, 3_000.0)
    emulator.run(5_000.0)
    assert gateway.reach.is_lost
    return gateway


class RelayHarness:
    """One gateway that reaches no replica; the test plays the other VMs."""

    def __init__(self, kind, body=b''):
        self.emulator = start_fleet(kind[1], ZONES)
        drive(self.emulator, kind, 2_000.0)
        self.gateway = lose_links(self.emulator, kind)
        self.now_ms = self.emulator.now_ms
        self.relays = []
        self.sends = []
        self.answers = []
        self.dropped = []
        self.request = make_request(f'{kind[2]}x', kind[3], timeout_ms=kind[4], body=body)
        self.deliver(RequestReceived(7, self.request))

    def deliver(self, event):
        for action in self.gateway.handle(event, self.now_ms):
            if isinstance(action, SendRelay):
                self.relays.append(action)
            if isinstance(action, SendRequest | SendOrder):
                self.sends.append(action)
            if isinstance(action, AnswerRequest) and action.key == 7:
                self.answers.append(action.answer)
            if isinstance(action, DropConnection):
                self.dropped.append(action.connection_id)

    def end(self, result):
        self.deliver(ExchangeEnded(self.relays[-1].exchange_id, result))

    def reply(self, answer, request_id='q'):
        self.end(RelayReply(answer, request_id, is_closing=False))


class RelayTest(unittest.TestCase):
    @params(
        (GATHER, MergedAnswer(b'0' * 16, ['s'], 2)),
        (SINGLE, ForwardedAnswer(REPLY)),
        (WRITE, ForwardedAnswer(REPLY)),
        (SINGLE, ForwardedAnswer(Reply(404, [], b'no such deed', 'signature', 'q'))),
        (WRITE, unknown(Reason.CONNECTION_LOST, 'lost')),
        (SINGLE, not_run(Reason.REPLICAS_BUSY, 'busy', 400)),
    )
    def test_answer_of_the_other_vm_is_passed_on(self, kind, answer):
        harness = RelayHarness(kind)
        self.assertEqual(len(harness.relays), 1)
        self.assertEqual(harness.sends, [])
        harness.reply(answer)
        self.assertEqual(harness.answers, [answer])
        self.assertEqual(len(harness.relays), 1)

    # A request that must not run twice was sent to a second VM although the first may have run it.
    @params(
        ('lost', LOST),
        ('late', LinkFailure(LinkFault.TIMED_OUT, was_sent=True)),
        ('unreadable', RelayReply(None, 'q', False)),
        ('of another request', RelayReply(ForwardedAnswer(REPLY), 'other', False)),
    )
    def test_request_that_may_have_run_elsewhere_is_not_sent_again(self, name, result):
        harness = RelayHarness(WRITE)
        harness.deliver(RequestSent(harness.relays[0].exchange_id))
        harness.end(result)
        self.assertEqual(len(harness.relays), 1)
        self.assertIs(harness.answers[0].executed, Executed.UNKNOWN)

    @params(
        ('no connection', UNSENT),
        ('no replicas', RelayReply(not_run(Reason.UNREACHABLE), 'q', False)),
        ('stopping', RelayReply(not_run(Reason.STOPPING), 'q', False)),
        ('no table', RelayReply(not_run(Reason.NOT_READY), 'q', False)),
        ('an older table', RelayReply(not_run(Reason.NOT_FOUND), 'q', False)),
        ('full', RelayReply(not_run(Reason.OVERLOADED), 'q', False)),
    )
    def test_another_vm_is_asked_if_the_first_has_not_taken_it(self, name, result):
        harness = RelayHarness(WRITE)
        harness.end(result)
        self.assertEqual(len(harness.relays), 2)
        self.assertNotEqual(harness.relays[0].host, harness.relays[1].host)
        harness.end(result)
        harness.end(result)
        self.assertEqual(len(harness.relays), 3)
        self.assertIs(harness.answers[0].executed, Executed.NOT_RUN)
        self.assertIs(harness.answers[0].reason, Reason.UNREACHABLE)

    # A request could have circled between VMs that had all lost their replicas.
    def test_vm_without_replicas_takes_nothing_from_others(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 2_000.0)
        gateway = lose_links(emulator, GATHER)
        request = make_request('/sweep/x')
        relay = RequestRelay(request, 100.0, 900.0, {}, False)
        order = PartsOrder(request, 'sweep', 1, ('shard-0',), 2, 10, 100.0, 900.0, 'd')
        for event in (RelayReceived(RELAY_KEY, relay), OrderReceived(RELAY_KEY, order)):
            with self.subTest(type(event).__name__):
                actions = gateway.handle(event, emulator.now_ms)
                answers = [one.answer for one in actions if isinstance(one, AnswerRequest)]
                self.assertIs(answers[0].reason, Reason.UNREACHABLE)
                self.assertIs(answers[0].executed, Executed.NOT_RUN)
                self.assertFalse([one for one in actions if isinstance(one, SendRelay)])

    def test_relayed_request_that_loses_its_replicas_too_is_given_back(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 2_000.0)
        vm = emulator.vms[0]
        relay = RequestRelay(make_request('/sweep/x'), 100.0, 900.0, {}, False)
        emulator.cut_replicas(vm, Cut.SILENT)
        emulator.deliver_event(vm, RelayReceived(RELAY_KEY, relay))
        emulator.run(500.0)
        self.assertTrue(vm.gateway.reach.is_lost)
        self.assertIsInstance(vm.answers[RELAY_KEY][1], Failure)
        self.assertEqual(vm.gateway.counters.get('relays_sent'), 0)

    # A relayed request got a second set of attempts at the other VM.
    def test_attempts_and_time_that_are_spent_do_not_come_back(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 2_000.0)
        gateway = emulator.vms[1].gateway
        spent = {f'shard-{number}': 2 for number in range(3)} | {'shard-3': 1}
        relay = RequestRelay(make_request('/sweep/x'), 100.0, 900.0, spent, True)
        budget = gateway.budget('shard-0')
        before = budget.request_count
        actions = gateway.handle(RelayReceived(RELAY_KEY, relay), emulator.now_ms)
        sent = [one for one in actions if isinstance(one, SendRequest)]
        services = {gateway.upstreams.by_id[one.instance_id].entry.service for one in sent}
        for one in actions:
            if isinstance(one, SendOrder):
                services.update(one.order.services)
        self.assertFalse(services & {'shard-0', 'shard-1', 'shard-2'})
        self.assertTrue(all(one.timeout_ms <= 900.0 for one in sent))
        self.assertEqual(budget.request_count, before)

    def test_caller_that_leaves_ends_the_relay(self):
        harness = RelayHarness(GATHER)
        harness.deliver(CallerDisconnected(7))
        self.assertIn(harness.relays[0].connection_id, harness.dropped)

    @params((GATHER,), (SINGLE,), (WRITE,))
    def test_unanswered_relay_ends_at_the_deadline(self, kind):
        harness = RelayHarness(kind)
        harness.deliver(RequestSent(harness.relays[0].exchange_id))
        harness.now_ms += kind[4]
        harness.deliver(RequestSent(-1))
        self.assertIs(harness.answers[0].executed, Executed.UNKNOWN)

    # What was under way when the links were lost waited for its deadline.
    @params((GATHER,), (SINGLE,))
    def test_requests_under_way_go_on_elsewhere_or_fail_soon(self, kind):
        emulator = start_fleet(kind[1], ZONES)
        drive(emulator, kind, 3_000.0)
        emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
        asked = drive(emulator, kind, 1_500.0, vms=(0,))
        emulator.run(5_000.0)
        for vm, key, asked_ms in asked:
            answered_ms, _ = emulator.vms[vm].answers[key]
            if not is_served(emulator, vm, key):
                self.assertLess(answered_ms - asked_ms, kind[4] / 2)
        late = [row for row in asked if row[2] - asked[0][2] > 500.0]
        self.assertTrue(all(is_served(emulator, vm, key) for vm, key, _ in late))

    def test_writes_run_once_while_links_come_and_go(self):
        emulator = start_fleet(WRITE[1], ZONES)
        for number in range(12):
            cut = (Cut.SILENT, Cut.RESET, Cut.REFUSED, None)[number % 4]
            for vm in emulator.rng.sample(emulator.vms, 3):
                emulator.cut_replicas(vm, cut)
            drive(emulator, WRITE, 1_000.0)
        emulator.run(6_000.0)
        ids = [request_id for _, request_id in arrivals_of(emulator, 'register')]
        self.assertEqual(len(ids), len(set(ids)))
        refused = set()
        for vm in emulator.vms:
            for key, (_, answer) in vm.answers.items():
                if isinstance(answer, Failure) and answer.executed is Executed.NOT_RUN:
                    refused.add(f'request-{key}')
        self.assertFalse(refused & set(ids))

    def test_relays_are_spread_over_near_vms_by_load(self):
        emulator = start_fleet(GATHER[1], zones=(*ZONES, *REGIONS))
        drive(emulator, GATHER, 3_000.0)
        emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
        drive(emulator, GATHER, 8_000.0, vms=(0,))
        taken = [vm.gateway.counters.get('relays_taken') for vm in emulator.vms]
        # The other VM of its data centre and the one next to it, at a distance of 0 and 1.
        self.assertGreater(taken[6] + taken[1], 0.9 * sum(taken))


class RelayCodecTest(unittest.TestCase):
    @params(b'', b'\x00\xff' * 5_000)
    def test_request_arrives_unchanged(self, body):
        request = make_request('/file/x?a=%20b', 'POST', body=body)
        relay = RequestRelay(request, 50.0, 900.0, {'register': 1}, True)
        data = write_relay(SendRelay(1, 2, True, 'vm-1', relay, 1_000))
        environ = {
            'PATH_INFO': RELAYS_PATH,
            'wsgi.input': io.BytesIO(data.partition(b'\r\n\r\n')[2]),
        }
        request.path = '/file/x'
        request.timeout_ms = 900.0
        self.assertEqual(read_relay(environ), relay)

    @params(
        ForwardedAnswer(Reply(201, [('X-Note', 'kept')], b'\x00deed', 'signature', 'q')),
        ForwardedAnswer(Reply(500, [], b'failed', '', 'q')),
        MergedAnswer(b'0' * 32, ['s1', 's2'], 3),
        not_run(Reason.REPLICAS_BUSY, 'busy', 400),
        unknown(Reason.DEADLINE, 'late'),
    )
    def test_answer_arrives_unchanged(self, answer):
        wire = write_relay_answer(answer, 'q')
        reply = read_relay_reply(200, wire.headers, wire.body, False)
        self.assertEqual(reply, RelayReply(answer, 'q', False))

    # A relay that breaks off halfway must not pass for a complete answer.
    def test_answer_that_breaks_off_is_none(self):
        wire = write_relay_answer(ForwardedAnswer(REPLY), 'q')
        for size in range(len(wire.body)):
            with self.subTest(size=size):
                reply = read_relay_reply(200, wire.headers, wire.body[:size], False)
                self.assertIsNone(reply.answer)

    @params((float('nan'), 1.0), (1.0, float('inf')), (-1.0, 5.0), (1.0, 1e12))
    def test_times_out_of_range_are_invalid(self, soft_ms, hard_ms):
        relay = RequestRelay(make_request('/x'), soft_ms, hard_ms, {}, False)
        data = write_relay(SendRelay(1, 2, True, 'vm-1', relay, 1_000))
        environ = {
            'PATH_INFO': RELAYS_PATH,
            'wsgi.input': io.BytesIO(data.partition(b'\r\n\r\n')[2]),
        }
        self.assertIs(read_relay(environ).reason, Reason.INVALID_INPUT)


class SharedConnectionTest(unittest.TestCase):
    """Relays and orders to one VM share its connections."""

    def exchange(self, actions, responses):
        """Send actions one after the other over one connection; return their results."""

        async def run():
            async def serve(reader, writer):
                for response in responses:
                    head = await reader.readuntil(b'\r\n\r\n')
                    length = int(re.search(rb'Content-Length: (\d+)', head)[1])
                    await reader.readexactly(length)
                    lines = [f'{name}: {value}\r\n' for name, value in response.headers]
                    lines.append(f'Content-Length: {len(response.body)}\r\n\r\n')
                    writer.write(f'HTTP/1.1 {response.status}\r\n{"".join(lines)}'.encode())
                    writer.write(response.body)
                writer.close()

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            events = asyncio.Queue()
            codecs = {
                SendOrder: Codec(write_order, read_parts),
                SendRelay: Codec(write_relay, read_relay_reply),
            }
            client = ExchangeClient(asyncio.get_running_loop(), events.put_nowait, codecs)
            results = []
            for action in actions:
                client.send(action, port)
                event = await asyncio.wait_for(events.get(), WAIT_S)
                while not isinstance(event, ExchangeEnded):
                    event = await asyncio.wait_for(events.get(), WAIT_S)
                results.append(event.result)
            client.close()
            server.close()
            return results

        return asyncio.run(run())

    # A connection decoded all answers as those of the request that had opened it: the answer to an
    # order that followed a relay raised an exception, and its gather waited for its deadline.
    @params((True,), (False,))
    def test_answers_are_decoded_by_their_own_kind(self, is_relay_first):
        request = make_request('/sweep/x')
        relay = RequestRelay(request, 100.0, 900.0, {}, False)
        order = PartsOrder(request, 'sweep', 1, ('a',), 2, 10, 100.0, 900.0, 'd')
        merged = MergedAnswer(b'0' * 16, ['s'], 0)
        parts = PartsAnswer({'a': 's'}, {}, b'0' * 16, 1.0)
        kinds = [
            (
                lambda number, is_new: SendRelay(number, 7, is_new, '127.0.0.1', relay, 1_000),
                write_relay_answer(merged, 'q'),
                RelayReply(merged, 'q', False),
            ),
            (
                lambda number, is_new: SendOrder(number, 7, is_new, '127.0.0.1', order),
                write_parts(parts, 'q'),
                PartsReply(parts, 'q', False),
            ),
        ]
        if not is_relay_first:
            kinds.reverse()
        actions = [kind[0](number, number == 0) for number, kind in enumerate(kinds)]
        results = self.exchange(actions, [kind[1] for kind in kinds])
        self.assertEqual(results, [kind[2] for kind in kinds])
