"""Pulls of store changes between VMs: when, from whom, and what is logged of them."""

import asyncio
import http.server
import threading
import unittest
from types import SimpleNamespace

from nose2.tools import params

from beechbridge.core.counters import Counters
from beechbridge.daemon.pages import GatewayPages
from beechbridge.daemon.pulls import pull_changes
from beechbridge.failures import Failure, Reason
from beechbridge.gateway.actions import PullChanges, WriteLine
from beechbridge.gateway.events import ChangesReceived, HeartbeatReceived, PullEnded
from beechbridge.gateway.fleet.pulls import PENDING_TIMEOUT_MS
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import Item
from beechbridge.gateway.replicas.dictionaries import Dictionary
from beechbridge.gateway.replicas.store_view import StoreView
from beechbridge.gateway.settings import Address
from beechbridge.wire.changes import ENCODING_HEADER, read_changes, write_pull
from beechbridge.wire.compression import IDENTITY
from beechbridge.wire.fleet import encode_changes

from .test_store_updates import Reader
from .test_table_load import make_document

DOCUMENT = make_document(1_000)
HOST = '127.0.0.1'
TIMEOUT_S = 5.0
FOLLOWER = 'vm-4'
"""A VM that goes before `vm-0` as the follower of the store."""

CHANGES = ChangesReceived([Item('other', b'bytes', 9)], 9, is_from_store=False)
LOST = Failure(Reason.CONNECTION_LOST, detail='TimeoutError')


class PulledReader(Reader):
    """A gateway in whose data centre another VM follows the store."""

    def __init__(self):
        super().__init__()
        self.decoded[CHANGES.changes[0].value] = None
        self.heartbeat = 0
        for _ in range(4):
            self.hear(FOLLOWER, 0)
            self.wait(400.0)

    def hear(self, name, revision_ahead, zone='brum-a', reaches_store=True):
        """Receive a heartbeat; return the pulls that it causes."""
        self.heartbeat += 1
        member = Member(name, name, zone, 1, self.heartbeat)
        member.reaches_store = reaches_store
        revision = self.gateway.view.revision + revision_ahead
        actions = self.deliver(HeartbeatReceived([member], 1, revision))
        return [action for action in actions if isinstance(action, PullChanges)]

    def end(self, pull, result):
        return self.deliver(PullEnded(pull, result, byte_count=5_000, elapsed_ms=12.0))


class LinesTest(unittest.TestCase):
    @params((CHANGES, 'changes_pulled', 'ok'), (LOST, 'pull_failed', 'failed'))
    def test_pull_is_logged_and_counted_with_its_size_and_duration(self, result, subject, label):
        reader = PulledReader()
        (pull,) = reader.hear(FOLLOWER, 5)
        lines = [a for a in reader.end(pull, result) if isinstance(a, WriteLine)]
        line = next(line for line in lines if line.subject == subject)
        expected = {
            'peer': FOLLOWER,
            'after': pull.revision,
            'bytes': 5_000,
            'ms': 12.0,
        }
        self.assertEqual({name: line.fields[name] for name in expected}, expected)
        counters = reader.gateway.counters
        self.assertEqual(counters.get('pulls', label), 1)
        self.assertEqual(counters.get('pulled_bytes'), 5_000)

    def test_pulled_changes_are_applied(self):
        reader = PulledReader()
        (pull,) = reader.hear(FOLLOWER, 5)
        reader.end(pull, CHANGES)
        self.assertEqual(reader.gateway.view.revision, CHANGES.revision)


class OverlapTest(unittest.TestCase):
    # Guards against pulls that are repeated while the first is on its way: they slow it down.
    def test_vm_does_not_pull_while_a_pull_is_under_way(self):
        reader = PulledReader()
        (pull,) = reader.hear(FOLLOWER, 5)
        repeated = []
        for _ in range(8):
            reader.wait(400.0)
            for name in (FOLLOWER, 'vm-8', 'vm-9'):
                repeated += reader.hear(name, 5)
        self.assertEqual(repeated, [])
        reader.end(pull, LOST)
        self.assertEqual(len(reader.hear('vm-8', 5)), 1)

    # Guards against a VM that never pulls again because its driver lost a pull.
    def test_pull_that_never_ends_is_given_up(self):
        reader = PulledReader()
        (lost,) = reader.hear(FOLLOWER, 5)
        reader.wait(PENDING_TIMEOUT_MS)
        (pull,) = reader.hear('vm-8', 5)
        reader.end(lost, LOST)
        reader.wait(400.0)
        self.assertEqual(reader.hear('vm-9', 5), [])
        reader.end(pull, CHANGES)
        self.assertEqual(reader.gateway.view.revision, CHANGES.revision)

    # Guards against a VM that asks the same slow peer time and again while others could answer.
    @params((FOLLOWER, 0), ('vm-8', 1))
    def test_vm_whose_changes_did_not_arrive_is_not_asked_again_at_once(self, name, expected):
        reader = PulledReader()
        (pull,) = reader.hear(FOLLOWER, 5)
        reader.wait(800.0)
        reader.end(pull, LOST)
        self.assertEqual(len(reader.hear(name, 5)), expected)
        reader.wait(1_000.0)
        self.assertEqual(len(reader.hear(FOLLOWER, 5)), 1 - expected)


class PagesTest(unittest.TestCase):
    """The address at which VMs serve each other, with the loop of its process in a thread."""

    def setUp(self):
        self.view = StoreView()
        self.view.apply_changes([Item('table', DOCUMENT, 5), Item('other', b'bytes', 6)], 6)
        # As the gateway does with each table.
        self.view.dictionaries.add(DOCUMENT)
        core = SimpleNamespace(view=self.view, counters=Counters())
        loop = asyncio.new_event_loop()
        self.pages = GatewayPages(core, loop, None)
        thread = threading.Thread(target=loop.run_forever, daemon=True)
        thread.start()
        self.addCleanup(loop.close)
        self.addCleanup(thread.join)
        self.addCleanup(loop.call_soon_threadsafe, loop.stop)

    def ask(self, pull, is_old=False):
        """Return the changes and the size of the response to a pull."""
        target, headers = write_pull(pull)
        environ = {'QUERY_STRING': target.partition('?')[2], 'REMOTE_ADDR': HOST}
        if not is_old:
            for name, value in headers.items():
                environ[f'HTTP_{name.upper().replace("-", "_")}'] = value
        started = []
        (body,) = self.pages.serve_changes(environ, lambda *arguments: started.append(arguments))
        encoding = dict(started[0][1]).get(ENCODING_HEADER, IDENTITY)
        return read_changes(body, encoding, pull.dictionary), len(body)

    def test_vm_that_cannot_decompress_gets_plain_changes(self):
        changes, size = self.ask(PullChanges(HOST, 0), is_old=True)
        self.assertEqual(changes, self.view.forward_changes(0, 0))
        self.assertGreater(size, len(DOCUMENT))

    # Guards against changes to one route that cost as much as the whole table for every VM.
    @params((Dictionary(DOCUMENT), 0.01), (Dictionary(DOCUMENT * 2), 0.25), (None, 0.25))
    def test_newer_table_costs_a_vm_that_has_the_older_one_little(self, dictionary, share):
        newer = DOCUMENT.replace(b'"r-', b'"s-', 1)
        self.view.apply_changes([Item('table', newer, 7)], 7)
        changes, size = self.ask(PullChanges(HOST, 6, dictionary=dictionary))
        self.assertEqual(changes, self.view.forward_changes(6, 0))
        self.assertLess(size, share * len(DOCUMENT))

    def test_changes_after_an_earlier_response_are_not_left_out(self):
        self.ask(PullChanges(HOST, 0))
        self.view.apply_changes([Item('other', b'newer', 8)], 8)
        changes, _ = self.ask(PullChanges(HOST, 0))
        self.assertIn(Item('other', b'newer', 8), changes.changes)


class PeerHandler(http.server.BaseHTTPRequestHandler):
    """Sends the server's body, `missing` bytes less than announced."""

    def do_GET(self):
        body = self.server.body
        self.send_response(200)
        self.send_header('Content-Length', str(len(body) + self.server.missing))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Print nothing."""


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.server = http.server.HTTPServer((HOST, 0), PeerHandler)
        self.server.body, self.server.missing = encode_changes(CHANGES), 0
        thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)

    def pull(self):
        peers = Address(HOST, self.server.server_port)
        return pull_changes(PullChanges(HOST, 1), peers, TIMEOUT_S)

    def test_changes_of_a_peer_are_decoded(self):
        ended = self.pull()
        self.assertEqual(ended.result, CHANGES)
        self.assertEqual(ended.byte_count, len(self.server.body))

    def test_truncated_answer_is_a_failure_with_the_bytes_that_arrived(self):
        self.server.missing = 10
        ended = self.pull()
        self.assertIsInstance(ended.result, Failure)
        self.assertEqual(ended.byte_count, len(self.server.body))

    def test_body_that_is_no_frame_is_a_failure(self):
        self.server.body = b'not a frame'
        self.assertIsInstance(self.pull().result, Failure)

    def test_vm_without_a_peer_address_pulls_nothing(self):
        ended = pull_changes(PullChanges(HOST, 1), None, TIMEOUT_S)
        self.assertIsInstance(ended.result, Failure)
