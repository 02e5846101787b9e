"""Heads of replies and requests with values that cannot be read, beside all that can."""

import io
import unittest

from nose2.tools import params

from beechbridge.gateway.events import RequestMalformed, RequestReceived
from beechbridge.gateway.latencies import CallerTimeouts
from beechbridge.gateway.models import Reply
from beechbridge.platform.callers import MAX_TIMEOUT_MS, TIMEOUT_VARIABLE, read_request
from beechbridge.platform.replicas import read_keep_alive_ms

from .test_front import ANSWER, HEAD, STATUS_LINE, Front
from .test_replica_link import response, run_script

LONG_NUMBERS = ['9' * 5_000, '0' * 5_000 + '7', '9' * 400, '-' + '9' * 5_000, '9' * 5_000 + '.5']
"""Python converts no text of more than 4,300 digits, and holds no float of 400."""

READ_HEADERS = ['Keep-Alive: timeout=', 'Retry-After: ', 'Server-Limit: ', 'Server-Leaving: ']


class OddReplyHeadTest(unittest.TestCase):
    # Guards against a whole answer of a replica being lost, and its request taken for one that
    # ends replicas, since a header beside it has a number of thousands of digits.
    @params(*((header, number) for header in READ_HEADERS for number in LONG_NUMBERS))
    def test_reply_is_read_beside_a_number_without_end(self, header, number):
        async def scenario(harness, replica):
            harness.send(1)
            event = await harness.next_event()
            self.assertIsInstance(event.result, Reply)
            self.assertEqual((event.result.status, len(event.result.body)), (503, 16))

        reply = response('q1', status='503 Busy', extra=f'{header}{number}\r\n')
        run_script([[reply]], scenario)

    @params('timeout=' + '9' * 10, 'timeout=\u0664', 'timeout=', 'timeout=-1', 'timeout=1.5')
    def test_unreadable_timeout_of_a_connection_is_none(self, value):
        self.assertIsNone(read_keep_alive_ms(value))


ODD_HEADS = [
    *[f'{HEAD}Content-Length: {number}\r\n' for number in LONG_NUMBERS],
    HEAD.replace('/a/x', 'http://[h/a/x'),
    HEAD.replace('/a/x', 'http://h]/a/x'),
]


class OddRequestHeadTest(unittest.TestCase):
    # Guards against a connection being closed with a request on it that is under way, since the
    # next one's head has a number of thousands of digits or an address that cannot be read.
    @params(*ODD_HEADS)
    def test_odd_head_is_rejected_and_costs_no_request_before_it(self, head):
        front = Front()
        self.addCleanup(front.close)
        with front.connect() as sock:
            sock.sendall(f'{HEAD}\r\n{head}\r\n'.encode())
            event = front.next_event()
            self.assertIsInstance(event, RequestReceived)
            front.app.deliver(event.key, ANSWER)
            self.assertIsInstance(front.next_event(), RequestMalformed)
            received = b''.join(iter(lambda: sock.recv(65_536), b''))
        answered, rejected = STATUS_LINE.findall(received)
        self.assertEqual(answered, b'200')
        self.assertIn(rejected, (b'400', b'413'))


def read_timeout(text):
    """Return the timeout that a request names, as its VM reads it."""
    environ = {
        'HTTP_BEECHBRIDGE_REQUEST_ID': 'q1',
        TIMEOUT_VARIABLE: text,
        'REQUEST_URI': '/a/x',
        'REQUEST_METHOD': 'GET',
        'wsgi.input': io.BytesIO(),
    }
    return read_request(environ).timeout_ms


class OddTimeoutTest(unittest.TestCase):
    @params('9' * 5_000, '9' * 400, '86400001')
    def test_timeout_without_end_is_a_day(self, text):
        self.assertEqual(read_timeout(text), MAX_TIMEOUT_MS)

    # Guards against all callers of a route being taken for such that have not waited yet, for as
    # long as the process lives, since one of them named a timeout of hundreds of digits.
    @params('9' * 400, '60001')
    def test_odd_timeout_of_a_caller_does_not_change_what_is_known_of_others(self, text):
        timeouts = CallerTimeouts()
        timeouts.elapsed_ms('lookup', 800.0)
        for _ in range(2):
            self.assertEqual(timeouts.elapsed_ms('lookup', read_timeout(text)), 0.0)
        self.assertEqual(timeouts.elapsed_ms('lookup', 500.0), 300.0)
