"""Callers' interface over real sockets, including malformed and hostile requests."""

import contextlib
import http.client
import socket
import unittest

from nose2.tools import params

from .deployment import HOST, Deployment, call

QUERY = {'back_end': 'b', 'class': 'c'}
TICKETED = {'ticket': 'v1:1:x', 'back_end': 'b', 'key': 'k'}


class CallersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(('v1', 'v2'))

    @classmethod
    def tearDownClass(cls):
        cls.deployment.close()

    def test_query_is_complete_and_reports_coverage(self):
        status, answer = self.deployment.query()
        self.assertEqual(status, 200)
        self.assertEqual(
            answer['coverage'],
            {'complete': True, 'shards_total': 3, 'shards_answered': 3, 'missing': []},
        )
        self.assertEqual(len(answer['rows']), 60)
        keys = [row['key'] for row in answer['rows']]
        self.assertEqual(keys, sorted(keys))

    def test_limit_is_reported_as_truncation(self):
        _, answer = self.deployment.query(limit=7)
        self.assertEqual((len(answer['rows']), answer['truncated']), (7, True))

    def test_entry_lists_the_vms(self):
        _, answer = self.deployment.call('GET', '/v1/entry?place=p')
        self.assertEqual({item['vm'] for item in answer['addresses']}, {'v1', 'v2'})
        self.assertEqual(answer['keep_ms'], 500)

    def test_batch_answers_queries_independently(self):
        batch = {'queries': [QUERY, {'back_end': 'b'}, QUERY, QUERY | {'class': 'none'}]}
        status, reply = self.deployment.call('POST', '/v1/queries', batch)
        self.assertEqual(status, 200)
        reasons = [item.get('failure', {}).get('reason') for item in reply['answers']]
        self.assertEqual(reasons, [None, 'invalid_input', None, 'unknown_class'])
        executed = [item['failure']['executed'] for item in reply['answers'] if 'failure' in item]
        self.assertEqual(executed, ['not_run', 'not_run'])

    def test_retried_request_is_executed_once_and_its_effect_is_readable(self):
        call_v1 = self.deployment.call
        _, grant = call_v1('POST', '/v1/tickets', {'back_end': 'b'})
        body = {'ticket': grant['ticket'], 'back_end': 'b', 'key': 'filed', 'body': {'a': 1}}
        for name in ('v1', 'v2', 'v2'):
            status, outcome = call_v1('POST', '/v1/requests', body, name)
            self.assertEqual((status, outcome['outcome']), (200, 'done'))
        number = grant['ticket'].rpartition(':')[2]
        self.assertEqual(self.deployment.index.executions[number], 1)
        _, answer = self.deployment.query(minimum_snapshot=outcome['snapshot'])
        self.assertIn({'key': 'filed', 'value': {'a': 1}}, answer['rows'])

    @params(
        ('not JSON', '/v1/query', b'{', 400, 'body'),
        ('not UTF-8', '/v1/query', b'\xff\xfe', 400, 'body'),
        ('nested deeply', '/v1/query', b'[' * 5000, 400, 'body'),
        ('empty', '/v1/query', b'', 400, 'body'),
        ('array', '/v1/query', b'[]', 400, 'document'),
        ('unknown field', '/v1/query', QUERY | {'x': 1}, 400, 'x'),
        ('missing field', '/v1/query', {'back_end': 'b'}, 400, 'class'),
        ('wrong type', '/v1/query', QUERY | {'limit': 'many'}, 400, 'limit'),
        ('negative', '/v1/query', QUERY | {'deadline_ms': -1}, 400, 'deadline_ms'),
        ('huge number', '/v1/query', QUERY | {'minimum_snapshot': 2**70}, 400, 'minimum_snapshot'),
        ('strange name', '/v1/query', QUERY | {'back_end': 'b\r\nX: y'}, 400, 'back_end'),
        ('empty batch', '/v1/queries', {'queries': []}, 400, 'queries'),
        ('large batch', '/v1/queries', {'queries': [0] * 1001}, 400, 'queries'),
        ('no ticket', '/v1/requests', {'back_end': 'b', 'key': 'k'}, 400, 'ticket'),
        ('odd ticket', '/v1/requests', TICKETED | {'ticket': 'x'}, 400, 'ticket'),
        ('long key', '/v1/requests', TICKETED | {'key': 'k' * 2000}, 400, 'key'),
    )
    def test_invalid_body_names_the_field(self, _, path, body, status, field):
        received, reply = self.deployment.call('POST', path, body)
        self.assertEqual(received, status)
        self.assertEqual(reply['failure']['field'], field)
        self.assertEqual(reply['failure']['executed'], 'not_run')

    @params(
        ('GET', '/nothing', 404, 'not_found'),
        ('GET', '/v1/query', 405, 'method_not_allowed'),
        ('POST', '/v1/entry', 405, 'method_not_allowed'),
        ('DELETE', '/v1/tickets', 405, 'method_not_allowed'),
    )
    def test_wrong_path_or_method_is_rejected(self, method, path, status, reason):
        received, reply = self.deployment.call(method, path)
        self.assertEqual((received, reply['failure']['reason']), (status, reason))

    @params(
        ({'back_end': 'none', 'class': 'c'}, 404, 'unknown_back_end'),
        ({'back_end': 'b', 'class': 'none'}, 404, 'unknown_class'),
    )
    def test_unknown_back_end_or_class_is_rejected(self, body, status, reason):
        received, reply = self.deployment.call('POST', '/v1/query', body)
        self.assertEqual((received, reply['failure']['reason']), (status, reason))

    def test_unknown_ticket_has_unknown_outcome(self):
        body = TICKETED | {'ticket': 'v1:1:abc'}
        status, reply = self.deployment.call('POST', '/v1/requests', body)
        self.assertEqual((status, reply['failure']['executed']), (504, 'unknown'))

    def test_oversized_body_is_rejected_as_not_run(self):
        body = QUERY | {'match': {'text': 'x' * 1_500_000}}
        status, reply = self.deployment.call('POST', '/v1/query', body)
        self.assertEqual((status, reply['failure']['reason']), (413, 'too_large'))
        self.assertEqual(reply['failure']['executed'], 'not_run')

    def test_announced_oversized_body_is_rejected_before_it_is_sent(self):
        head = b'POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n'
        self.assertIn(b' 413 ', self.send_raw(head).split(b'\r\n')[0])

    @params(
        b'\x00\x01\x02\r\n\r\n',
        b'GET\r\n\r\n',
        b'POST /v1/query HTTP/1.1\r\nContent-Length: x\r\n\r\n',
        b'POST /v1/query HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n',
        b'GET / HTTP/1.1\r\n' + b'X: ' + b'y' * 300_000 + b'\r\n\r\n',
    )
    def test_malformed_http_is_answered_with_4xx(self, data):
        status_line = self.send_raw(data).split(b'\r\n')[0]
        self.assertRegex(status_line, rb'^HTTP/1\.[01] 4\d\d ')

    def test_slow_callers_do_not_block_others(self):
        slow = []
        for _ in range(40):
            sock = socket.create_connection((HOST, self.port))
            sock.sendall(b'POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{')
            slow.append(sock)
        status, _ = self.deployment.query()
        for sock in slow:
            sock.close()
        self.assertEqual(status, 200)

    def test_request_ids_on_one_connection_differ(self):
        client = http.client.HTTPConnection(HOST, self.port, timeout=30)
        seen = set()
        for _ in range(5):
            client.request('POST', '/v1/query', b'{"back_end":"b","class":"c"}')
            response = client.getresponse()
            self.assertEqual(response.status, 200)
            response.read()
            seen.add(response.headers['X-Request-Id'])
        client.close()
        self.assertEqual(len(seen), 5)

    @property
    def port(self):
        return self.deployment.daemons['v1'].caller_port

    def send_raw(self, data):
        with socket.create_connection((HOST, self.port), timeout=30) as sock:
            sock.sendall(data)
            received = b''
            try:
                # The server may reject the request and close before it has read everything; the
                # response that it has sent can still be read.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_WR)
                while chunk := sock.recv(65536):
                    received += chunk
            except ConnectionResetError:
                pass
            return received


class OperationsTest(unittest.TestCase):
    def test_operations_port_serves_health_state_and_metrics(self):
        deployment = Deployment()
        self.addCleanup(deployment.close)
        deployment.query()
        status, health = deployment.call('GET', '/v1/health', operations=True)
        self.assertEqual((status, health), (200, {'ready': True}))
        _, state = deployment.call('GET', '/v1/state', operations=True)
        self.assertEqual(state['counters']['answers.complete'], 1)
        self.assertEqual(len(state['replicas']), 6)
        port = deployment.daemons['v1'].operations_port
        status, text = call(port, 'GET', '/metrics')
        self.assertEqual(status, 200)
        self.assertIn(b'beechbridge_answers_total{kind="complete"} 1', text)
        status, _ = call(port, 'GET', '/nothing')
        self.assertEqual(status, 404)
