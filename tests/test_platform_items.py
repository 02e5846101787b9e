"""Decoding of the platform's items, settings and headers, and failures for malformed ones."""

import io
import unittest

import msgspec
from nose2.tools import params

from beechbridge.failures import Executed, Failure, InputFailure, Reason, not_run, unknown
from beechbridge.gateway.actions import SendRequest
from beechbridge.gateway.models import CallerRequest, ForwardedAnswer, MergedAnswer
from beechbridge.platform.callers import read_request, write_answer
from beechbridge.platform.directory import read_lookup
from beechbridge.platform.items import decode_item
from beechbridge.platform.replicas import read_keep_alive_ms, read_reply, write_request
from beechbridge.platform.settings import parse_settings

TABLE = {
    'version': 7,
    'routes': [
        {
            'name': 'all',
            'host': 'h.example',
            'prefix': '/a/',
            'kind': 'idempotent',
            'timeoutMs': 800,
            'goalMs': 86,
            'priority': 2,
            'gather': ['s1', 's2'],
            'attempts': 2,
            'topK': 5,
            'minShare': 0.75,
        },
        {
            'name': 'inner',
            'host': 'h.example',
            'prefix': '/a/b/',
            'kind': 'non_idempotent',
            'timeoutMs': 4000,
            'goalMs': 400,
            'priority': 1,
            'service': 's3',
            'attempts': 2,
        },
        {
            'name': 'parts',
            'host': 'h.example',
            'prefix': '/c/',
            'kind': 'idempotent',
            'timeoutMs': 4000,
            'goalMs': 400,
            'priority': 1,
            'attempts': 2,
            'split': [{'service': 's3', 'weight': 3}, {'service': 's4', 'weight': 1}],
        },
    ],
    'services': [{'name': 's1', 'healthPath': '/healthz', 'maxConns': 26, 'proto': 'h1'}],
    'limits': {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 3000, 'idleMs': 15000},
}

ENTRY = {
    'service': 's1',
    'addr': '10.0.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 4,
    'born': 17,
}

SETTINGS = """
nodeName = "front-1"
role = "gateway"
ip = "10.1.0.9"
zone = "snow-hill"
region = "brum"
peerPortRange = [7380,7395]
seeds = ["10.1.0.9:8106","10.2.0.21:8106"]
later = "a field that is not known yet"
[zones]
snow-hill = "brum"
lace-market = "notts"
[listen]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
control = "10.1.0.9:8106"
directory = "10.1.0.9:8100"
[limits]
cpuShare = 0.5
cores = 2
[bounds]
graceS = 6
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
ttl_max_s = 5
[platform]
addr = "10.200.1.7:8102"
"""


def encode(value, **changes):
    return msgspec.json.encode({**value, **changes})


class TableTest(unittest.TestCase):
    @params(('/a/x', 'all'), ('/a/b/x', 'inner'), ('/c/', 'parts'), ('/a', None), ('/d/', None))
    def test_longest_prefix_selects_the_route(self, path, name):
        table = decode_item('op/config', encode(TABLE))
        route = table.find_route('h.example', path)
        self.assertEqual(route.name if route else None, name)

    def test_gather_fields_are_decoded(self):
        route = decode_item('op/config', encode(TABLE)).find_route('h.example', '/a/')
        self.assertTrue(route.is_gather and route.is_idempotent)
        self.assertEqual(route.services, ('s1', 's2'))
        self.assertEqual((route.top_records, route.min_share, route.objective_ms), (5, 0.75, 86))

    def test_split_weights_are_decoded(self):
        route = decode_item('op/config', encode(TABLE)).find_route('h.example', '/c/')
        self.assertEqual((route.services, route.weights), (('s3', 's4'), (3.0, 1.0)))

    @params((b'\xff\x00',), (b'{}',), (b'[]',), (encode(TABLE, routes=3),))
    def test_malformed_table_is_a_failure(self, value):
        self.assertIsInstance(decode_item('op/config', value), Failure)


class EntryTest(unittest.TestCase):
    def test_entry_fields_are_decoded(self):
        entry = decode_item('servers/i-1', encode(ENTRY))
        self.assertEqual((entry.replica_id, entry.host, entry.port), ('i-1', '10.0.0.9', 8080))
        self.assertEqual((entry.started_ms, entry.is_draining), (17, False))

    @params(
        ({'state': 'odd'},),
        ({'addr': 'nowhere'},),
        ({'addr': 'h:99999'},),
        ({'addr': 5},),
        ({'service': None},),
        ({'born': 'yesterday'},),
        ({'slots': 'two'},),
    )
    def test_invalid_entry_is_a_failure(self, changes):
        self.assertIsInstance(decode_item('servers/i-1', encode(ENTRY, **changes)), Failure)

    @params((b'\x00\x01',), (b'"text"',), (b'{}',), (b'',))
    def test_malformed_entry_is_a_failure(self, value):
        self.assertIsInstance(decode_item('servers/i-1', value), Failure)

    def test_other_keys_are_ignored(self):
        self.assertIsNone(decode_item('op/else', b'\x00'))


class SettingsTest(unittest.TestCase):
    def test_platform_settings_are_converted(self):
        settings = parse_settings(SETTINGS, 'file')
        self.assertEqual(settings.name, 'front-1')
        self.assertEqual(settings.seeds, ('10.1.0.9', '10.2.0.21'))
        self.assertEqual(settings.regions['lace-market'], 'notts')
        self.assertEqual(settings.budget.window_ms, 10_000.0)
        self.assertEqual(settings.capacity_millicores, 1000)

    # Uses of the memory must leave something for the interpreter and what is copied on the way.
    def test_memory_is_shared_out(self):
        text = SETTINGS.replace('[limits]\n', '[limits]\nmemoryMb = 300\n')
        settings = parse_settings(text, 'file')
        self.assertEqual(settings.reply_memory_bytes, 75 * 1024 * 1024)
        self.assertEqual(settings.held_memory_bytes, 156 * 1024 * 1024)

    # Connections of clients must leave descriptors for files, replicas, peers and the store.
    @params(
        ('maxFds = 1535', 801),
        ('maxFds = 8192', 2_000),
        ('maxFds = 1535\nmaxConnections = 500', 500),
        ('maxFds = 1535\nmaxConnections = 5000', 801),
    )
    def test_descriptors_are_shared_out(self, lines, expected):
        text = SETTINGS.replace('[limits]\n', f'[limits]\n{lines}\n')
        self.assertEqual(parse_settings(text, 'file').max_connections, expected)

    @params(
        ('nodeName = "front-1"', '', 'nodeName'),
        ('ip = "10.1.0.9"', 'ip = 7', 'ip'),
        ('addr = "10.200.1.7:8102"', 'addr = "nowhere"', 'platform.addr'),
        ('graceS = 6', 'graceS = "six"', 'bounds.graceS'),
    )
    def test_bad_field_is_named(self, old, new, field):
        failure = parse_settings(SETTINGS.replace(old, new), 'file')
        self.assertIsInstance(failure, InputFailure)
        self.assertEqual(failure.field, field)


class ReplicaHeadersTest(unittest.TestCase):
    def send(self, **fields):
        defaults = {
            'request_id': 'q',
            'method': 'GET',
            'target': '/a/x?y=1',
            'host': 'h.example',
            'path': '/a/x',
            'headers': [('Host', 'h.example'), ('Beechbridge-Deadline-Ms', '800')],
        }
        request = CallerRequest(**{**defaults, **fields})
        return write_request(SendRequest(1, 1, True, 'r', 80, 'i-1', request, 523.7)).decode()

    def test_deadline_and_replica_headers_are_set_once(self):
        text = self.send()
        self.assertTrue(text.startswith('GET /a/x?y=1 HTTP/1.1\r\n'))
        self.assertEqual(text.count('Beechbridge-Deadline-Ms'), 1)
        self.assertIn('Beechbridge-Deadline-Ms: 523\r\n', text)
        self.assertIn('Beechbridge-Expect-Instance: i-1\r\n', text)

    def test_hop_by_hop_headers_are_removed(self):
        text = self.send(headers=[('Connection', 'close'), ('TE', 'x'), ('X-Own', '1')])
        self.assertNotIn('Connection', text)
        self.assertIn('X-Own: 1\r\n', text)

    def test_body_has_content_length(self):
        text = self.send(method='POST', body=b'abc')
        self.assertIn('Content-Length: 3\r\n', text)
        self.assertTrue(text.endswith('\r\n\r\nabc'))

    @params(('timeout=10', 10_000.0), ('max=5, timeout=2', 2_000.0), ('max=5', None), ('x', None))
    def test_keep_alive_timeout_is_read_in_milliseconds(self, value, expected_ms):
        self.assertEqual(read_keep_alive_ms(value), expected_ms)

    @params(
        (503, [('Beechbridge-Not-Run', '1')], True, False),
        (503, [], False, False),
        (421, [('Beechbridge-Instance-Id', 'i-2')], True, True),
        (500, [('Beechbridge-Server-Stamp', 's')], False, False),
    )
    def test_only_replies_with_a_rejection_header_count_as_rejected(
        self, status, headers, is_rejected, is_other
    ):
        reply = read_reply(status, headers, b'', False)
        self.assertEqual((reply.is_rejected, reply.is_other_instance), (is_rejected, is_other))

    @params(('gzip', True), ('identity', False))
    def test_encoded_body_is_not_a_success(self, encoding, is_encoded):
        headers = [('Beechbridge-Server-Stamp', 's'), ('Content-Encoding', encoding)]
        reply = read_reply(200, headers, b'', False)
        self.assertEqual(reply.is_encoded, is_encoded)
        self.assertEqual(reply.is_success, not is_encoded)


def make_environ(**changes):
    environ = {
        'REQUEST_METHOD': 'GET',
        'REQUEST_URI': '/a/x%2Fy?q=1',
        'HTTP_HOST': 'H.Example:8104',
        'HTTP_BEECHBRIDGE_REQUEST_ID': 'q',
        'HTTP_BEECHBRIDGE_DEADLINE_MS': '800',
        'HTTP_CONNECTION': 'keep-alive',
        'wsgi.input': io.BytesIO(b'body'),
    }
    environ.update(changes)
    return environ


class CallerHeadersTest(unittest.TestCase):
    def test_target_is_unchanged(self):
        request = read_request(make_environ())
        self.assertEqual(request.target, '/a/x%2Fy?q=1')
        self.assertEqual((request.host, request.path), ('h.example', '/a/x%2Fy'))
        self.assertEqual(request.timeout_ms, 800.0)
        self.assertNotIn('Connection', dict(request.headers))

    @params(
        ({'HTTP_BEECHBRIDGE_REQUEST_ID': ''}, 'Request-Id'),
        ({'HTTP_BEECHBRIDGE_DEADLINE_MS': 'soon'}, 'Deadline-Ms'),
        ({'HTTP_BEECHBRIDGE_DEADLINE_MS': '-5'}, 'Deadline-Ms'),
    )
    def test_bad_header_is_named(self, changes, name):
        failure = read_request(make_environ(**changes))
        self.assertIsInstance(failure, Failure)
        self.assertIn(name, failure.detail)
        self.assertEqual(write_answer(failure, '').status, '400 Bad Request')

    @params(
        (not_run(Reason.NOT_FOUND), 404),
        (not_run(Reason.TOO_LARGE), 413),
        (not_run(Reason.NOT_READY, '', 300), 503),
        (not_run(Reason.OVERLOADED), 503),
        (not_run(Reason.DEADLINE), 503),
        (unknown(Reason.DEADLINE), 504),
        (unknown(Reason.CONNECTION_LOST), 502),
        (unknown(Reason.COVERAGE_TOO_LOW), 502),
    )
    def test_failures_have_a_retryable_status_only_if_not_run(self, failure, status):
        wire = write_answer(failure, 'q')
        self.assertEqual(int(wire.status.split()[0]), status)
        if status in (429, 503):
            self.assertIs(failure.executed, Executed.NOT_RUN)

    def test_retry_after_is_in_seconds(self):
        wire = write_answer(not_run(Reason.NOT_READY, '', 300), 'q')
        self.assertEqual(dict(wire.headers)['Retry-After'], '0.300')

    def test_merged_answer_lists_its_parts(self):
        wire = write_answer(MergedAnswer(b'x' * 16, ['s1', 's2'], 3), 'q')
        headers = dict(wire.headers)
        self.assertEqual(headers['Beechbridge-Part-Stamps'], 's1, s2')
        self.assertEqual(headers['Beechbridge-Missing-Parts'], '3')

    def test_forwarded_answer_is_unchanged(self):
        headers = [('Beechbridge-Server-Stamp', 's'), ('Content-Length', '4'), ('X-Own', '1')]
        reply = read_reply(200, headers, b'body', False)
        wire = write_answer(ForwardedAnswer(reply), 'q')
        self.assertEqual(wire.body, b'body')
        self.assertEqual(dict(wire.headers), {'Beechbridge-Server-Stamp': 's', 'X-Own': '1'})

    @params(('name=h&region=brum&zone=z', 'z', 'brum'), ('', '', ''))
    def test_lookup_reads_zone_and_region(self, query, zone, region):
        lookup = read_lookup(query)
        self.assertEqual((lookup.zone, lookup.region), (zone, region))
