"""Decoders of the gateway return a value or a failure for any bytes, and keep few of them."""

import io
import unittest

from hypothesis import given
from hypothesis import strategies as st

from beechbridge.daemon.client_connection import (
    FRAMING_FACTOR,
    MAX_HEAD_BYTES,
    ClientConnection,
    ReplyMemory,
)
from beechbridge.failures import Failure
from beechbridge.gateway.actions import (
    AnswerRequest,
    PullChanges,
    SendHeartbeat,
    SendPermits,
    SendRelay,
    SendSuspects,
)
from beechbridge.gateway.events import (
    ChangesReceived,
    ExchangeEnded,
    HeartbeatReceived,
    PermitsReceived,
    PullEnded,
    RelayReceived,
    SuspectsReceived,
    TimerDue,
)
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import (
    CallerRequest,
    ForwardedAnswer,
    Item,
    PartsAnswer,
    PartsOrder,
    PartsReply,
    RelayReply,
    ReplicaEntry,
    Reply,
    RequestRelay,
)
from beechbridge.gateway.permits import PermitsAnswered, PermitsWanted
from beechbridge.gateway.replicas.dictionaries import Dictionary
from beechbridge.gateway.requests.suspicion import MAX_NAME_LENGTH
from beechbridge.gateway.routes import RoutingTable
from beechbridge.gateway.settings import GatewaySettings
from beechbridge.gateway.suspects import EndReport, SuspectReport, SuspectsReport
from beechbridge.platform.callers import read_request
from beechbridge.platform.items import decode_item
from beechbridge.platform.names import REPLICAS_PREFIX, TABLE_KEY
from beechbridge.platform.replicas import read_reply
from beechbridge.platform.settings import parse_settings
from beechbridge.platform.store import RangeBody, StoreAnswer, WatchBody, decode_body
from beechbridge.wire.changes import read_changes, read_pull
from beechbridge.wire.compression import DICTIONARY_ZSTD, IDENTITY, ZSTD, compress
from beechbridge.wire.fleet import (
    decode_changes,
    decode_datagram,
    encode_changes,
    encode_heartbeat,
    encode_permits,
    encode_suspects,
    read_order,
    read_parts,
    write_parts,
)
from beechbridge.wire.relays import (
    RELAYS_PATH,
    read_relay,
    read_relay_reply,
    write_relay,
    write_relay_answer,
)
from measure.emulator import HOST

from .gateways import single_route, start_register
from .odd_items import ENTRY, TABLE, encode
from .test_odd_items import PlatformReader
from .utils import FUZZ

BODY_LIMIT_BYTES = 256
MEMBERS = [Member(f'v{number}', '127.0.0.1', 'brum-a', 5, 7) for number in range(3)]
HEARTBEAT = encode_heartbeat(SendHeartbeat([], MEMBERS, 3, 44, True, 1))
CHANGES = encode_changes(
    ChangesReceived(
        [
            Item('servers/a', encode(ENTRY), 4),
            Item('servers/b', None, 5),
            Item(TABLE_KEY, encode(TABLE), 5),
        ],
        5,
        epoch=1,
    )
)
PERMITS_WANTED = encode_permits(
    SendPermits('vm-1', MEMBERS[0], PermitsWanted(7, [('r-0', 1.5), ('r-1', 20.0)], 1, 0.5))
)
PERMITS_ANSWERED = encode_permits(
    SendPermits('vm-1', MEMBERS[0], PermitsAnswered(7, [0, 250, -1]))
)
SUSPECTS = encode_suspects(
    SendSuspects(
        [],
        MEMBERS[0],
        SuspectsReport(
            [SuspectReport('d' * 32, 'lookup', [EndReport('r-0', 0, 'q:0', 20, True)], 5_000)], 9
        ),
    )
)
DICTIONARY = Dictionary(CHANGES * 40)
PARTS = write_parts(PartsAnswer({'a': 's'}, {'b': 1}, b'0' * 16, 1.0, frozenset('b')), 'q1').body
RELAY = write_relay(
    SendRelay(
        1,
        2,
        True,
        'vm-1',
        RequestRelay(
            CallerRequest('q1', 'GET', '/lookup/x', HOST, '/lookup/x', [('A', 'b')]),
            300.0,
            900.0,
            {'register': 1},
            False,
        ),
        1_000,
    )
).partition(b'\r\n\r\n')[2]
RELAY_ANSWER = write_relay_answer(ForwardedAnswer(Reply(200, [('A', 'b')], b'x', 's')), 'q1').body
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nBeechbridge-Server-Stamp: s\r\nBeechbridge-Request-Id: q1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n'
)


def mutations(data):
    """Return a strategy for damaged copies of a valid message, and for any bytes."""
    cut = st.integers(0, len(data)).map(lambda size: data[:size])
    replaced = st.tuples(st.integers(0, len(data) - 1), st.binary(max_size=6)).map(
        lambda change: data[: change[0]] + change[1] + data[change[0] + len(change[1]) :]
    )
    return st.one_of(st.binary(max_size=200), cut, replaced)


class FakeTransport:
    """Transport that drops what is written."""

    def write(self, data):
        pass

    def abort(self):
        pass


def start_exchange(events):
    """Return a connection that waits for the reply to request q1, and its memory."""
    memory = ReplyMemory(1 << 20, lambda: None)
    connection = ClientConnection(1, events.append, read_reply, memory)
    connection.transport = FakeTransport()
    connection.send(1, 'q1', b'GET / HTTP/1.1\r\n\r\n', BODY_LIMIT_BYTES)
    return connection, memory


class DecoderFuzzTest(unittest.TestCase):
    def setUp(self):
        self.gateway = start_register(single_route('lookup')).vms[0].gateway

    # A datagram may come from anywhere; whatever it decodes to must not raise in the core.
    @FUZZ
    @given(mutations(HEARTBEAT))
    def test_heartbeats(self, data):
        heartbeat = decode_datagram(data)
        self.assertIsInstance(heartbeat, HeartbeatReceived | Failure)
        if isinstance(heartbeat, HeartbeatReceived):
            gateway = self.gateway
            gateway.handle(heartbeat, gateway.now_ms)
            gateway.handle(heartbeat, gateway.timers.next_due_ms())

    @FUZZ
    @given(st.one_of(mutations(PERMITS_WANTED), mutations(PERMITS_ANSWERED)))
    def test_messages_about_permits(self, data):
        event = decode_datagram(data)
        self.assertIsInstance(event, HeartbeatReceived | PermitsReceived | Failure)
        if isinstance(event, PermitsReceived):
            self.gateway.handle(event, self.gateway.now_ms)

    @FUZZ
    @given(mutations(SUSPECTS))
    def test_evidence_against_requests(self, data):
        event = decode_datagram(data)
        self.assertIsInstance(event, HeartbeatReceived | SuspectsReceived | Failure)
        if not isinstance(event, SuspectsReceived):
            return
        gateway = self.gateway
        gateway.fleet.members.setdefault(event.sender.name, event.sender)
        gateway.handle(event, gateway.now_ms)
        gateway.suspicions.describe(gateway.now_ms)
        for suspicion in gateway.suspicions.by_digest.values():
            self.assertLessEqual(len(suspicion.digest), MAX_NAME_LENGTH)

    @FUZZ
    @given(mutations(CHANGES))
    def test_changes(self, data):
        changes = decode_changes(data)
        self.assertIsInstance(changes, ChangesReceived | Failure)
        reader = PlatformReader()
        reader.deliver(PullEnded(PullChanges('vm-1', 0, 0, None), changes, 1, 1.0))
        self.assertEqual(reader.find_lines('item_failed'), [])
        self.assertIsInstance(encode_changes(reader.gateway.view.forward_changes(0, 0)), bytes)

    @FUZZ
    @given(st.data(), st.sampled_from([IDENTITY, ZSTD, DICTIONARY_ZSTD, 'br']))
    def test_compressed_changes(self, data, encoding):
        dictionary = DICTIONARY if encoding == DICTIONARY_ZSTD else None
        compressed, _ = compress(DICTIONARY.value, dictionary)
        body = data.draw(mutations(compressed))
        self.assertIsInstance(read_changes(body, encoding, dictionary), ChangesReceived | Failure)

    @FUZZ
    @given(mutations(PARTS), st.sampled_from([200, 404, 500, 502, 503]))
    def test_answers_to_orders(self, data, status):
        self.assertIsInstance(read_parts(status, [], data, False), PartsReply)

    @FUZZ
    @given(st.binary(max_size=200))
    def test_orders(self, data):
        environ = {'PATH_INFO': '/v1/parts', 'wsgi.input': io.BytesIO(data)}
        self.assertIsInstance(read_order(environ), PartsOrder | Failure)

    # Another VM may send anything as a relay; what can be read is served or rejected, once.
    @FUZZ
    @given(mutations(RELAY))
    def test_relays(self, data):
        environ = {'PATH_INFO': RELAYS_PATH, 'wsgi.input': io.BytesIO(data)}
        relay = read_relay(environ)
        self.assertIsInstance(relay, RequestRelay | Failure)
        if isinstance(relay, Failure):
            return
        gateway = self.gateway
        actions = gateway.handle(RelayReceived(1, relay), gateway.now_ms)
        for _ in range(50):
            gateway.now_ms += 100.0
            actions += gateway.handle(TimerDue(), gateway.now_ms)
        answers = [one for one in actions if isinstance(one, AnswerRequest) and one.key == 1]
        self.assertEqual(len(answers), 1)

    @FUZZ
    @given(mutations(RELAY_ANSWER), st.sampled_from([200, 404, 500, 502, 503]))
    def test_answers_to_relays(self, data, status):
        self.assertIsInstance(read_relay_reply(status, [], data, False), RelayReply)

    @FUZZ
    @given(
        st.text(max_size=8),
        st.text(max_size=8),
        st.text(max_size=20),
        st.dictionaries(st.text(max_size=8), st.text(max_size=20), max_size=4),
    )
    def test_requests_of_callers(self, request_id, timeout, target, headers):
        environ = {f'HTTP_{name}': value for name, value in headers.items()}
        environ['HTTP_BEECHBRIDGE_REQUEST_ID'] = request_id
        environ['HTTP_BEECHBRIDGE_DEADLINE_MS'] = timeout
        environ['REQUEST_URI'] = target
        environ['REQUEST_METHOD'] = 'GET'
        environ['wsgi.input'] = io.BytesIO(b'body')
        self.assertIsInstance(read_request(environ), CallerRequest | Failure)

    @FUZZ
    @given(st.text(max_size=60), st.text(max_size=20), st.text(max_size=60))
    def test_requests_for_changes(self, query, accepted, dictionary):
        headers = {'Accept-Encoding': accepted, 'Available-Dictionary': dictionary}
        self.assertGreaterEqual(read_pull(query, headers).revision, 0)

    @FUZZ
    @given(
        st.sampled_from([TABLE_KEY, REPLICAS_PREFIX + 'r-1', 'other/key']),
        st.one_of(mutations(encode(ENTRY)), mutations(encode(TABLE))),
    )
    def test_items_of_the_store(self, key, value):
        decoded = decode_item(key, value)
        self.assertIsInstance(decoded, RoutingTable | ReplicaEntry | Failure | None)

    @FUZZ
    @given(
        mutations(b'{"items":[{"key":"a","rev":3,"value":"e30="}],"currentRev":4}'),
        st.sampled_from([RangeBody, WatchBody]),
    )
    def test_answers_of_the_store(self, data, body_type):
        self.assertIsInstance(
            decode_body(StoreAnswer(200, data, 0), body_type), body_type | Failure
        )

    @FUZZ
    @given(st.text(max_size=200))
    def test_settings(self, text):
        self.assertIsInstance(parse_settings(text, 'settings.toml'), GatewaySettings | Failure)


class ReplyFuzzTest(unittest.TestCase):
    # Whatever a replica sends, in whatever pieces, ends an exchange at most once, and never with
    # a reply that is not complete.
    @FUZZ
    @given(mutations(RESPONSE * 2), st.lists(st.integers(1, 60), max_size=12))
    def test_replies(self, data, sizes):
        events = []
        connection, memory = start_exchange(events)
        start = 0
        for size in [*sizes, len(data)]:
            connection.data_received(data[start : start + size])
            start += size
        connection.connection_lost(None)
        ended = [event for event in events if isinstance(event, ExchangeEnded)]
        self.assertLessEqual(len(ended), 1)
        self.assertEqual(memory.held_bytes, 0)
        self.assertLessEqual(
            connection.received_bytes,
            MAX_HEAD_BYTES + FRAMING_FACTOR * BODY_LIMIT_BYTES + len(data),
        )
        for event in ended:
            if isinstance(event.result, Reply):
                self.assertLessEqual(len(event.result.body), BODY_LIMIT_BYTES)

    # A reply that ends early, at whichever byte, must not pass for a complete one.
    def test_reply_cut_at_any_byte_is_not_complete(self):
        framed = RESPONSE[: RESPONSE.index(b'Transfer')] + b'Content-Length: 4\r\n\r\nabcd'
        for whole in (RESPONSE, framed):
            for size in range(len(whole)):
                with self.subTest(size=size):
                    events = []
                    connection, _ = start_exchange(events)
                    connection.data_received(whole[:size])
                    connection.eof_received()
                    connection.connection_lost(None)
                    self.assertNotIsInstance(events[0].result, Reply)
