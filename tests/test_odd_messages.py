"""Messages of other VMs with values that no VM can use, beside all that it can."""

import asyncio
import unittest
from types import SimpleNamespace

from nose2.tools import params

from beechbridge.daemon.gateway import GatewayProcess, HeartbeatProtocol, perform
from beechbridge.failures import Failure
from beechbridge.gateway.actions import SendHeartbeat, WriteLine
from beechbridge.gateway.models import Member
from beechbridge.wire.fleet import decode_datagram, encode_heartbeat

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
    *[(field, text) for field in ('name', 'zone') for text in ('', 'n' * 201)],
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

    def test_sound_members_are_all_read(self):
        data = encode_heartbeat(SendHeartbeat([], [SENDER, SOUND], 1, 1, False, 0))
        event = decode_datagram(data)
        self.assertNotIsInstance(event, Failure)
        self.assertEqual((len(event.members), event.unreadable), (2, ()))
