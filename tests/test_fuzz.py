"""Parsers return a valid value or a typed failure for any input; they never raise."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from beechbridge.daemon.bodies import (
    parse_batch,
    parse_query,
    parse_request,
    parse_ticket_request,
    to_json,
)
from beechbridge.daemon.settings import Settings, parse_settings
from beechbridge.daemon.upstream_client import read_reply
from beechbridge.document import (
    Configuration,
    Document,
    check_document,
    decode_document,
    encode_document,
)
from beechbridge.failures import AttemptFailure, Executed, Failure, Reason
from beechbridge.inventory import COLUMNS, InventoryRow, parse_inventory
from beechbridge.messages import (
    ConfigurationOffered,
    ConfigurationWanted,
    Gossip,
    MemberView,
    RelayedOutcome,
    RelayedRequest,
    ReplicaSign,
    Reply,
)
from beechbridge.models import MAX_DURATION_MS, Done, Query, Ticket, TicketedRequest, VmIdentity
from beechbridge.rules import Rules, parse_rules
from beechbridge.wire.codec import Envelope, decode_frame, encode_frame

from .utils import FUZZ, make_entries

encode = msgspec.json.encode
NAMES = st.text(max_size=8)
NUMBERS = st.integers(0, 2**53)
DEADLINES_MS = st.integers(1, MAX_DURATION_MS)
"""Those that callers can set; a relayed request with any other is not read (test_odd_messages)."""

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=4),
    max_leaves=12,
)
FIELDS = st.sampled_from(
    ['back_end', 'class', 'match', 'limit', 'queries', 'ticket', 'key', 'body', 'deadline_ms']
)
BODIES = st.binary(max_size=200) | st.dictionaries(FIELDS, JSON, max_size=6).map(encode)
IDENTITIES = st.builds(VmIdentity, NAMES, NUMBERS)
MESSAGES = st.one_of(
    st.builds(
        Gossip,
        st.lists(st.builds(MemberView, IDENTITIES, NUMBERS, st.booleans()), max_size=3),
        NUMBERS,
        NAMES,
        st.lists(
            st.builds(ReplicaSign, NAMES, NUMBERS, st.booleans(), NUMBERS, NUMBERS), max_size=3
        ),
    ),
    st.builds(ConfigurationWanted, NUMBERS, NAMES),
    st.builds(
        ConfigurationOffered,
        st.builds(Document, NUMBERS, st.dictionaries(NAMES, st.dictionaries(NAMES, NUMBERS))),
    ),
    st.builds(
        RelayedRequest,
        NAMES,
        st.builds(
            TicketedRequest,
            st.builds(Ticket, IDENTITIES, NAMES),
            NAMES,
            NAMES,
            st.binary(max_size=20),
            DEADLINES_MS,
        ),
    ),
    st.builds(
        RelayedOutcome,
        NAMES,
        st.builds(Done, NUMBERS, JSON)
        | st.builds(Failure, st.sampled_from(Reason), st.sampled_from(Executed), NAMES),
    ),
)


class FuzzTest(unittest.TestCase):
    def assert_parsed(self, value, *kinds):
        self.assertIsInstance(value, (*kinds, Failure))

    @given(st.text(max_size=200))
    @FUZZ
    def test_settings(self, text):
        self.assert_parsed(parse_settings(text, 'f'), Settings)

    @given(st.text(max_size=200))
    @FUZZ
    def test_rules(self, text):
        self.assert_parsed(parse_rules(text, 'f'), Rules)

    @given(st.lists(st.lists(st.text(max_size=6), max_size=11), max_size=4), st.booleans())
    @FUZZ
    def test_inventory(self, lines, with_header):
        text = '\n'.join(','.join(line) for line in lines)
        if with_header:
            text = ','.join(COLUMNS) + '\n' + text
        rows = parse_inventory(text, 'f')
        self.assert_parsed(rows, list)
        if isinstance(rows, list):
            self.assertTrue(all(isinstance(row, InventoryRow) for row in rows))

    @given(BODIES)
    @FUZZ
    def test_bodies(self, body):
        self.assert_parsed(parse_query(body), Query)
        self.assert_parsed(parse_batch(body, 10), list)
        self.assert_parsed(parse_ticket_request(body), str)
        request = parse_request(body)
        self.assert_parsed(request, TicketedRequest)
        if isinstance(request, Failure):
            self.assertIs(request.executed, Executed.NOT_RUN)
            encode(to_json(request, 'id'))

    @given(st.binary(max_size=200) | JSON.map(encode))
    @FUZZ
    def test_upstream_replies(self, body):
        self.assertIsInstance(read_reply(body, False), (Reply, AttemptFailure))

    @given(st.binary(max_size=300))
    @FUZZ
    def test_frames_of_any_bytes(self, data):
        self.assert_parsed(decode_frame(data), Envelope)

    @given(IDENTITIES, MESSAGES, st.data())
    @FUZZ
    def test_frames_round_trip_and_damage_is_detected(self, sender, message, data):
        frame = encode_frame(Envelope(sender, message))
        self.assertEqual(decode_frame(frame), Envelope(sender, message))
        position = data.draw(st.integers(0, len(frame) - 1))
        damaged = bytearray(frame)
        damaged[position] ^= data.draw(st.integers(1, 255))
        self.assert_parsed(decode_frame(bytes(damaged)), Envelope)
        self.assert_parsed(decode_frame(frame[:position]), Envelope)

    @given(st.binary(max_size=200) | JSON.map(encode))
    @FUZZ
    def test_documents_of_any_bytes(self, data):
        document = decode_document(data)
        self.assert_parsed(document, Document)
        if isinstance(document, Document):
            self.assert_parsed(check_document(document), Configuration)

    @given(st.data())
    @FUZZ
    def test_documents_with_one_invalid_entry(self, data):
        entries = make_entries()
        key = data.draw(st.sampled_from(sorted(entries)))
        entry = dict(entries[key])
        entry[data.draw(st.sampled_from(sorted(entry)) | NAMES)] = data.draw(JSON)
        entries[key] = entry
        document = decode_document(encode_document(Document(1, entries)))
        self.assert_parsed(document, Document)
        self.assert_parsed(check_document(document), Configuration)
