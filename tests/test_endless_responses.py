"""Responses without an end from the store, other VMs and upstreams; read by blocking clients."""

import itertools
import socket
import threading
import time
import unittest

from nose2.tools import params

from beechbridge.actions import Send
from beechbridge.daemon import platform, pulls, upstream_client
from beechbridge.daemon.platform import MAX_DOCUMENT_BYTES
from beechbridge.failures import Failure, PlatformFailure, Reason
from beechbridge.gateway.actions import PullChanges
from beechbridge.gateway.settings import Address
from beechbridge.messages import LoadProbe
from beechbridge.models import Replica
from beechbridge.platform.store import StoreClient
from beechbridge.wire.bounded_http import LimitedConnection

OK = b'HTTP/1.1 200 OK\r\n'
PIECE = b'0123456789abcdef' * 4096
TRICKLE_S = 0.02
GIVE_UP_S = 20.0
"""Time after which a stand-in closes a connection that its client should have closed."""


def endless(start, piece):
    return itertools.chain([start], itertools.repeat(piece))


def trickle(start, piece):
    yield start
    while True:
        time.sleep(TRICKLE_S)
        yield piece


RESPONSES = (
    ('endless header', lambda: endless(OK + b'X-Filler: ', PIECE)),
    ('endless header lines', lambda: endless(OK, b'X-Filler: 1\r\n' * 64)),
    (
        'endless chunks',
        lambda: endless(
            OK + b'Transfer-Encoding: chunked\r\n\r\n', b'10000\r\n' + PIECE + b'\r\n'
        ),
    ),
    ('endless body', lambda: endless(OK + b'Content-Length: 99999999999\r\n\r\n', PIECE)),
    ('endless interim responses', lambda: endless(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 64)),
    ('trickled header', lambda: trickle(OK + b'X-Filler: ', b'x')),
    ('trickled body', lambda: trickle(OK + b'Content-Length: 99999999\r\n\r\n', b'x')),
    ('trickled interim responses', lambda: trickle(b'', b'HTTP/1.1 100 Continue\r\n\r\n')),
)


class Responder:
    """Sends the pieces of one response to each connection, until its client closes it."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.gave_up = False
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.respond, args=(sock,), daemon=True).start()

    def respond(self, sock):
        give_up_s = time.monotonic() + GIVE_UP_S
        with sock:
            try:
                sock.recv(65536)
                for piece in self.pieces():
                    sock.sendall(piece)
                    if time.monotonic() > give_up_s:
                        self.gave_up = True
                        return
            except OSError:
                return


def pull(port):
    action = PullChanges('127.0.0.1', 1)
    return pulls.pull_changes(action, Address('127.0.0.1', port), timeout_s=0.3).result


def list_store(port):
    client = StoreClient(Address('127.0.0.1', port), timeout_s=0.06)
    try:
        return client.list_page('servers/', '')
    finally:
        client.close()


def read_document(port):
    return platform.get('127.0.0.1', port, '/v1/configuration', 0.3, 1024 * 1024)


def probe_upstream(port):
    replica = Replica('r-1', 'place', '127.0.0.1', port, 1, 1, 0)
    connection = upstream_client.Connection(replica)
    send = Send('a-1', replica, 1, True, LoadProbe(), 50)
    try:
        return upstream_client.exchange(send, connection)
    finally:
        connection.http.close()


class EndlessResponseTest(unittest.TestCase):
    # A response without an end must not occupy a thread for ever, nor fill the memory.
    @params(*itertools.product((pull, list_store, read_document, probe_upstream), RESPONSES))
    def test_client_gives_up(self, call, response):
        responder = Responder(response[1])
        try:
            result = call(responder.port)
        finally:
            responder.listener.close()
        self.assertIsInstance(result, Failure)
        self.assertFalse(responder.gave_up)


class DocumentSizeTest(unittest.TestCase):
    # The limit on a document holds for its body, whatever its head leaves free.
    @params((0, bytes), (1, PlatformFailure))
    def test_document_is_limited_to_the_byte(self, excess_bytes, expected):
        body = b'x' * (MAX_DOCUMENT_BYTES + excess_bytes)
        responder = Responder(lambda: [OK + b'Content-Length: %d\r\n\r\n' % len(body) + body])
        try:
            result = platform.get('127.0.0.1', responder.port, '/', 5.0, MAX_DOCUMENT_BYTES)
        finally:
            responder.listener.close()
        self.assertIs(type(result), expected)
        if excess_bytes:
            self.assertIs(result.reason, Reason.TOO_LARGE)


class LimitedConnectionTest(unittest.TestCase):
    def test_connection_is_used_for_one_response_after_another(self):
        reply = OK + b'Content-Length: 4\r\n\r\ndone'

        def pieces():
            yield reply
            time.sleep(0.05)
            yield reply

        responder = Responder(pieces)
        client = LimitedConnection('127.0.0.1', responder.port, 5.0, 4096)
        try:
            for _ in range(2):
                client.limit_time(5.0)
                client.request('GET', '/')
                self.assertEqual(client.getresponse().read(), b'done')
        finally:
            client.close()
            responder.listener.close()
