"""Replies that break off: in the head, a header line, a chunk size or the body, at each byte."""

import itertools
import socket
import unittest
from unittest import mock

from nose2.tools import params

from beechbridge.actions import Send
from beechbridge.daemon import platform, pulls, upstream_client
from beechbridge.daemon.client_connection import ClientConnection, ReplyMemory
from beechbridge.failures import Failure
from beechbridge.gateway.actions import PullChanges
from beechbridge.gateway.events import ChangesReceived, ExchangeEnded
from beechbridge.gateway.models import Item, LinkFailure, PartsAnswer, Reply
from beechbridge.gateway.settings import Address
from beechbridge.messages import LoadProbe
from beechbridge.models import Replica
from beechbridge.platform.replicas import read_reply
from beechbridge.platform.store import StoreClient
from beechbridge.wire.bounded_http import LimitedConnection
from beechbridge.wire.fleet import encode_changes, read_parts, write_parts

OK = b'HTTP/1.1 200 OK\r\n'
SIGNED = OK + b'Beechbridge-Server-Stamp: s\r\nBeechbridge-Request-Id: q1\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
BODY = b'0123456789abcdef'
EARLIER = SIGNED.replace(b'q1', b'q0') + b'Content-Length: 3\r\n\r\nold'
"""A complete late reply to an earlier request."""

LIMIT_BYTES = 4096


def frame_parts():
    """Return the answer to an order."""
    answer = PartsAnswer({'a': 's'}, {'b': 1}, BODY, 1.0)
    body = write_parts(answer, 'q1').body
    return OK + b'Order-Request-Id: q1\r\nContent-Length: %d\r\n\r\n' % len(body) + body


REPLIES = [
    ('length', SIGNED + b'Content-Length: 16\r\n\r\n' + BODY, read_reply),
    (
        'length first',
        OK + b'Content-Length: 16\r\n' + SIGNED[len(OK) :] + b'\r\n' + BODY,
        read_reply,
    ),
    ('chunks', SIGNED + CHUNKED + b'\r\n8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n', read_reply),
    ('long chunk size', SIGNED + CHUNKED + b'\r\n00010\r\n' + BODY + b'\r\n0\r\n\r\n', read_reply),
    (
        'chunk extension',
        SIGNED + CHUNKED + b'\r\n10;a=b\r\n' + BODY + b'\r\n0\r\n\r\n',
        read_reply,
    ),
    ('trailer', SIGNED + CHUNKED + b'\r\n10\r\n' + BODY + b'\r\n0\r\nA: b\r\n\r\n', read_reply),
    ('no body', SIGNED + b'Content-Length: 0\r\n\r\n', read_reply),
    ('interim', INTERIM + SIGNED + b'Content-Length: 16\r\n\r\n' + BODY, read_reply),
    ('late reply before', EARLIER + SIGNED + b'Content-Length: 16\r\n\r\n' + BODY, read_reply),
    ('error', SIGNED.replace(b'200 OK', b'500 No') + b'Content-Length: 2\r\n\r\nno', read_reply),
    ('order', frame_parts(), read_parts),
]
HEADS = [
    ('no length', SIGNED + b'\r\n', read_reply),
    ('no length, interim', INTERIM + SIGNED + b'\r\n', read_reply),
    ('no length, late reply before', EARLIER + SIGNED + b'\r\n', read_reply),
    ('closing', SIGNED + b'Connection: close\r\n\r\n', read_reply),
]
"""Heads of replies that end with their connection: only whole heads can begin a reply."""

ENDS = ['closed', 'reset']
PIECES = ['at once', 'byte by byte']


class FakeTransport:
    """Transport that drops what is written."""

    def write(self, data):
        pass

    def abort(self):
        pass


def receive(data, decode, end, pieces):
    """Return the results of an exchange whose connection ends after some bytes."""
    events = []
    connection = ClientConnection(1, events.append, decode, ReplyMemory(1 << 20, lambda: None))
    connection.transport = FakeTransport()
    connection.send(1, 'q1', b'GET / HTTP/1.1\r\n\r\n', LIMIT_BYTES)
    size = 1 if pieces == 'byte by byte' else len(data)
    for start in range(0, len(data), max(1, size)):
        connection.data_received(data[start : start + size])
    if end == 'closed':
        connection.eof_received()
        connection.connection_lost(None)
    else:
        connection.connection_lost(ConnectionResetError())
    return [event.result for event in events if isinstance(event, ExchangeEnded)]


class ReplicaReplyTest(unittest.TestCase):
    # Guards against a reply that broke off and is passed on as a whole one, empty or short.
    @params(*itertools.product(REPLIES, ENDS, PIECES))
    def test_reply_cut_at_any_byte_has_failed(self, reply, end, pieces):
        _, whole, decode = reply
        for size in range(len(whole)):
            (result,) = receive(whole[:size], decode, end, pieces)
            self.assertIsInstance(result, LinkFailure, whole[:size])
        (result,) = receive(whole, decode, end, pieces)
        self.assertNotIsInstance(result, LinkFailure)

    # Guards against the end of the connection inside a head that is taken for the end of a body.
    @params(*itertools.product(HEADS, ENDS, PIECES))
    def test_reply_without_length_cut_in_its_head_has_failed(self, reply, end, pieces):
        _, head, decode = reply
        for size in range(len(head)):
            (result,) = receive(head[:size], decode, end, pieces)
            self.assertIsInstance(result, LinkFailure, head[:size])
        (result,) = receive(head + BODY, decode, end, pieces)
        self.assertIsInstance(result, Reply if end == 'closed' else LinkFailure)


def call_with(data, call):
    """Return the result of a blocking call whose connection brings some bytes and ends."""
    ends = []

    def connect(connection):
        connection.sock, other = socket.socketpair()
        other.sendall(data)
        other.shutdown(socket.SHUT_WR)
        ends.append(other)

    with mock.patch.object(LimitedConnection, 'connect', connect):
        result = call()
    for other in ends:
        other.close()
    return result


def pull():
    """Pull changes from another VM."""
    return pulls.pull_changes(PullChanges('127.0.0.1', 1), Address('127.0.0.1', 1)).result


def list_store():
    """Read a page of the store."""
    client = StoreClient(Address('127.0.0.1', 1), 1.0)
    result = client.list_page('servers/', '')
    client.close()
    return result


def watch_store():
    """Read changes of the store."""
    client = StoreClient(Address('127.0.0.1', 1), 1.0)
    result = client.watch('', 3, 10)
    client.close()
    return result


def read_document():
    """Read a document of the configuration service."""
    return platform.get('127.0.0.1', 1, '/v1/configuration', 1.0, LIMIT_BYTES)


def probe_upstream():
    """Probe an upstream of the product's own interface."""
    replica = Replica('r-1', 'place', '127.0.0.1', 1, 1, 1, 0)
    connection = upstream_client.Connection(replica)
    result = upstream_client.exchange(Send('a-1', replica, 1, True, LoadProbe(), 50), connection)
    connection.http.close()
    return result


CHANGES = encode_changes(ChangesReceived([Item('servers/a', b'{}', 4)], 5, epoch=1))
PAGE = b'{"items":[],"hasMore":false,"currentRev":4}'
WATCH = b'{"events":[],"currentRev":4}'
BLOCKING_CALLS = [
    (pull, CHANGES),
    (list_store, PAGE),
    (watch_store, WATCH),
    (read_document, BODY),
    (probe_upstream, b'{"status":"done"}'),
]
FRAMES = [
    ('length', lambda body: OK + b'Content-Length: %d\r\n\r\n' % len(body) + body),
    (
        'length last',
        lambda body: OK + b'Store-Era: 1\r\nContent-Length: %d\r\n\r\n' % len(body) + body,
    ),
    ('chunks', lambda body: OK + CHUNKED + b'\r\n%x\r\n' % len(body) + body + b'\r\n0\r\n\r\n'),
]


class BlockingCallTest(unittest.TestCase):
    # The library takes the end of a connection inside a head for the end of the head, so that an
    # answer that broke off there looks like one with an empty body.
    @params(*itertools.product(BLOCKING_CALLS, FRAMES))
    def test_answer_cut_at_any_byte_has_failed(self, case, frame):
        call, body = case
        whole = frame[1](body)
        for size in range(len(whole)):
            result = call_with(whole[:size], call)
            self.assertIsInstance(result, Failure, whole[:size])
        self.assertNotIsInstance(call_with(whole, call), Failure)
