"""Messages of other VMs with values that no VM can use, beside all that it can."""

import asyncio
import math
import unittest
from types import SimpleNamespace

import logbook
from nose2.tools import params

from beechbridge.daemon.gateway import GatewayProcess, HeartbeatProtocol, perform
from beechbridge.failures import Executed, Failure, Reason, not_run
from beechbridge.gateway.actions import SendHeartbeat, SendOrder, WriteLine
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import (
    CallerRequest,
    ForwardedAnswer,
    MergedAnswer,
    PartsAnswer,
    PartsOrder,
    Reply,
)
from beechbridge.messages import RelayedOutcome, RelayedRequest
from beechbridge.models import Ticket, TicketedRequest, VmIdentity
from beechbridge.wire.codec import Envelope, decode_frame, encode_frame
from beechbridge.wire.fleet import (
    PARTS_PATH,
    decode_datagram,
    encode_heartbeat,
    read_order,
    read_parts,
    write_order,
    write_parts,
)
from beechbridge.wire.relays import read_relay_reply, write_relay_answer
from measure.emulator import HOST

from .gateways import single_route, start_register

SENDER = Member('vm-8', '127.0.0.1', 'brum-a', 5, 7)
SOUND = Member('vm-9', '127.0.0.2', 'brum-a', 5, 7)
ODD_HOSTS = [
    'h\0',
    '',
    ' ',
    '127.0.0.1 ',
    'a..b',
    'h' * 64,
    'h.' * 200 + 'h',
    'h\u00fc',
    '::1',
    'h:1',
]
ODD_FIELDS = [
    *[('host', host) for host in ODD_HOSTS],
    *[('name', text) for text in ('', 'n' * 201)],
    ('zone', 'z' * 201),
    *[(field, -1) for field in ('incarnation', 'heartbeat', 'capacity_millicores', 'rate_per_s')],
]


def make_odd(field, value, name='odd'):
    """Return a member of which one field has an odd value."""
    member = Member(name, '127.0.0.3', 'brum-a', 5, 7)
    setattr(member, field, value)
    return member


class OddMemberTest(unittest.TestCase):
    def setUp(self):
        self.gateway = start_register(single_route('lookup')).vms[0].gateway
        self.actions = []

    def handle(self, event):
        self.actions += self.gateway.handle(event, self.gateway.now_ms)

    def receive(self, members, **fields):
        """Let the process of a gateway receive a heartbeat."""
        values = {'table_version': 1, 'revision': 1, 'wants_members': False, 'epoch': 0, **fields}
        data = encode_heartbeat(SendHeartbeat([], members, **values))
        protocol = HeartbeatProtocol(SimpleNamespace(handle=self.handle, core=self.gateway))
        protocol.datagram_received(data, ('127.0.0.1', 7380))

    # Guards against a fleet in which no VM hears of another any more: a host with a zero byte, in
    # one heartbeat, closes the socket of each VM that sends to it, and VMs hand it on.
    @params(*ODD_HOSTS)
    def test_socket_for_heartbeats_outlives_a_member_with_an_odd_host(self, host):
        async def run():
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=('127.0.0.1', 0)
            )
            process = SimpleNamespace(datagrams=transport, settings=SimpleNamespace(peer_port=9))
            process.send_datagrams = GatewayProcess.send_datagrams.__get__(process)
            self.receive([SENDER, make_odd('host', host), SOUND])
            hosts = [member.host for member in self.gateway.fleet.members.values()]
            perform(SendHeartbeat(hosts, [SENDER], 1, 1, False, 0), process)
            await asyncio.sleep(0)
            self.assertFalse(transport.is_closing())
            transport.close()

        asyncio.run(run())

    # Guards against one odd member taking the sound ones beside it along.
    @params(*ODD_FIELDS)
    def test_odd_member_costs_itself_and_is_logged_once(self, field, value):
        odd = make_odd(field, value)
        for _ in range(3):
            self.receive([SENDER, odd, SOUND])
        known = self.gateway.fleet.members
        self.assertEqual({'vm-8', 'vm-9', odd.name} & set(known), {'vm-8', 'vm-9'})
        lines = [action for action in self.actions if isinstance(action, WriteLine)]
        self.assertEqual([line.subject for line in lines], ['item_unreadable'])
        self.assertEqual(self.gateway.counters.get('members_unreadable'), 3)
        self.assertFalse(self.gateway.unreadable.current)

    # Guards against answers to a sender that nothing can be sent to, and against positions of the
    # store that no VM can reach and would ask for again and again.
    @params(
        *((field, value) for field, value in ODD_FIELDS),
        *(
            (field, value)
            for field in ('table_version', 'revision', 'epoch')
            for value in (-1, 2**53 + 1, 2**63 - 1)
        ),
    )
    def test_heartbeat_of_an_odd_sender_or_position_is_dropped(self, field, value):
        before = dict(self.gateway.fleet.members)
        is_position = not hasattr(SENDER, field)
        fields = {field: value} if is_position else {}
        self.receive([SENDER if is_position else make_odd(field, value), SOUND], **fields)
        self.assertEqual(self.gateway.fleet.members, before)
        self.assertEqual(self.gateway.counters.get('heartbeats_unreadable'), 1)
        self.assertIsNone(self.gateway.pulls.pending)

    # Guards against a VM that goes deaf without a word.
    @params((TypeError('a defect'), ['datagrams_failed']), (None, []))
    def test_socket_that_a_defect_closes_is_logged(self, error, subjects):
        protocol = HeartbeatProtocol(SimpleNamespace(handle=self.handle))
        with logbook.TestHandler() as handler:
            protocol.connection_lost(error)
        self.assertEqual([record.message for record in handler.records], subjects)

    def test_sound_members_are_all_read(self):
        data = encode_heartbeat(SendHeartbeat([], [SENDER, SOUND], 1, 1, False, 0))
        event = decode_datagram(data)
        self.assertNotIsInstance(event, Failure)
        self.assertEqual((len(event.members), event.unreadable), (2, ()))


class Body:
    """The input of a WSGI environment."""

    def __init__(self, data):
        self.data = data

    def read(self):
        return self.data


REQUEST = CallerRequest('q1', 'GET', '/lookup/x', HOST, '/lookup/x', [], b'')
ODD_TIMES_MS = [math.nan, math.inf, -math.inf, -1.0, 1e300]
ODD_COUNTS = [-1, 2**31 - 1]


def write_odd_order(**changes):
    """Return the body of an order with some odd fields."""
    fields = {'attempts': 2, 'top_records': 5, 'soft_ms': 50.0, 'hard_ms': 90.0, **changes}
    order = PartsOrder(
        REQUEST,
        'lookup',
        1,
        ('register',),
        fields['attempts'],
        fields['top_records'],
        fields['soft_ms'],
        fields['hard_ms'],
        'd',
    )
    return write_order(SendOrder(1, 2, True, 'vm-1', order)).partition(b'\r\n\r\n')[2]


def read_odd_order(**changes):
    """Return an order with some odd fields as the VM that gets it reads it."""
    body = Body(write_odd_order(**changes))
    return read_order({'PATH_INFO': PARTS_PATH, 'wsgi.input': body})


class OddOrderTest(unittest.TestCase):
    # Guards against orders that never end, which take the place of callers' requests, and against
    # timers out of their order: a time that is no number spoils it for all others.
    @params(
        *((field, time_ms) for field in ('soft_ms', 'hard_ms') for time_ms in ODD_TIMES_MS),
        *((field, count) for field in ('attempts', 'top_records') for count in ODD_COUNTS),
    )
    def test_odd_order_is_rejected(self, field, value):
        failure = read_odd_order(**{field: value})
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.executed, Executed.NOT_RUN)
        self.assertIn(field, failure.detail)

    def test_sound_order_is_read(self):
        self.assertIsInstance(read_odd_order(), PartsOrder)


class OddAnswerTest(unittest.TestCase):
    # Guards against a data centre that gets no orders any more, since one answer said that it had
    # taken less than no time, and against attempts beyond those of the route.
    @params(*((time_ms, 1) for time_ms in ODD_TIMES_MS), *((1.0, count) for count in ODD_COUNTS))
    def test_answer_to_an_order_with_odd_numbers_has_no_parts(self, work_ms, run_count):
        wire = write_parts(PartsAnswer({'a': 's'}, {'b': run_count}, b'0' * 16, work_ms), 'q1')
        reply = read_parts(200, wire.headers, wire.body, False)
        self.assertEqual((reply.answer.signatures, reply.answer.run_counts), ({}, {}))

    # Guards against odd statuses and counts of another VM that reach a caller.
    @params(
        ForwardedAnswer(Reply(0, [], b'x', 's')),
        ForwardedAnswer(Reply(2**31 - 1, [], b'x', 's')),
        ForwardedAnswer(Reply(100, [], b'x', 's')),
        MergedAnswer(b'', ['s'], -1),
        MergedAnswer(b'', ['s'], 2**31 - 1),
    )
    def test_odd_answer_to_a_relay_says_nothing(self, answer):
        wire = write_relay_answer(answer, 'q1')
        self.assertIsNone(read_relay_reply(200, wire.headers, wire.body, False).answer)

    @params(-1, 2**63 - 1)
    def test_odd_time_to_wait_is_dropped(self, retry_after_ms):
        wire = write_relay_answer(not_run(Reason.OVERLOADED, '', retry_after_ms), 'q1')
        answer = read_relay_reply(200, wire.headers, wire.body, False).answer
        self.assertEqual((answer.executed, answer.retry_after_ms), (Executed.NOT_RUN, None))


class OddPeerMessageTest(unittest.TestCase):
    """Messages between VMs of the product's own interface."""

    def relay(self, deadline_ms):
        """Return a relayed request as the VM that gets it reads it."""
        sender = VmIdentity('v1', 5)
        request = TicketedRequest(Ticket(sender, 'n'), 'b', 'k', b'{}', deadline_ms)
        return decode_frame(encode_frame(Envelope(sender, RelayedRequest('r', request))))

    # Guards against a VM whose stop never ends, since a request that another VM relayed to it has
    # a deadline in thousands of years.
    @params(0, -1, 600_001, 2**63 - 1)
    def test_relayed_request_with_an_odd_deadline_is_not_taken(self, deadline_ms):
        self.assertIsInstance(self.relay(deadline_ms), Failure)

    @params(1, 600_000)
    def test_relayed_request_is_taken(self, deadline_ms):
        self.assertEqual(self.relay(deadline_ms).message.request.deadline_ms, deadline_ms)

    # Guards against odd times to wait that reach a caller; what has run is believed none the less.
    @params(-1, 2**63 - 1)
    def test_odd_time_to_wait_of_an_outcome_is_dropped(self, retry_after_ms):
        outcome = not_run(Reason.SHED, '', retry_after_ms)
        frame = encode_frame(Envelope(VmIdentity('v1', 5), RelayedOutcome('r', outcome)))
        found = decode_frame(frame).message.outcome
        self.assertEqual((found.executed, found.retry_after_ms), (Executed.NOT_RUN, None))
