"""What replicas state about themselves in their replies, and what a VM then believes."""

import unittest

from nose2.tools import params

from beechbridge.gateway.models import Reply
from beechbridge.gateway.statements import Notice
from beechbridge.platform.replicas import read_reply

from .gateways import ManualRequest, single_route, start_register

ECHO = 'Beechbridge-Request-Id'


class HeadersTest(unittest.TestCase):
    # Replicas may send anything: what is no plain number is no statement, and nothing raises.
    @params(
        (['10.5'], Notice(10.5)),
        (['0'], Notice(0.0)),
        ([' .25 '], Notice(0.25)),
        (['0.33333333333333331'], Notice(0.33333333333333331)),
        (['3', '2', '4'], Notice(2.0)),
        (['3, 2'], Notice(2.0)),
        (['3, many'], Notice(3.0, is_limit_unreadable=True)),
        (['-1'], Notice(is_limit_unreadable=True)),
        (['nan'], Notice(is_limit_unreadable=True)),
        (['inf'], Notice(is_limit_unreadable=True)),
        (['1e3'], Notice(is_limit_unreadable=True)),
        (['\u0663'], Notice(is_limit_unreadable=True)),
        (['9' * 400], Notice(is_limit_unreadable=True)),
        ([''], Notice(is_limit_unreadable=True)),
    )
    def test_limit(self, values, expected):
        headers = [('Server-Limit', value) for value in values]
        self.assertEqual(read_reply(200, headers, b'', False).notice, expected)

    @params(('1', True), (' 1 ', True), ('0', False), ('true', False), ('', False))
    def test_leaving(self, value, expected):
        notice = read_reply(200, [('server-leaving', value)], b'', False).notice
        self.assertEqual(notice is not None and notice.is_leaving, expected)

    @params(
        (503, ['1.5'], 1_500.0),
        (429, ['2'], 2_000.0),
        (503, ['1', '3'], 3_000.0),
        (503, ['-1'], None),
        (503, ['Fri, 04 Dec 2026 12:00:00 GMT'], None),
        (503, ['soon'], None),
        (200, ['5'], None),
        (500, ['5'], None),
    )
    def test_retry_after(self, status, values, expected_ms):
        headers = [('Retry-After', value) for value in values]
        notice = read_reply(status, headers, b'', False).notice
        self.assertEqual(notice and notice.retry_after_ms, expected_ms)

    def test_reply_without_such_headers_states_nothing(self):
        self.assertIsNone(read_reply(200, [(ECHO, 'a')], b'', False).notice)


def reply_of(request, number=-1, **fields):
    """Return a success to a request, or another reply if fields say so."""
    fields = {'signature': 's', 'request_id': request.sends[number].request_id, **fields}
    return Reply(fields.pop('status', 200), [], b'', **fields)


class BeliefsTest(unittest.TestCase):
    def start(self):
        self.emulator = start_register(single_route('lookup'), replica_count=1)
        self.gateway = self.emulator.vms[0].gateway
        self.state = self.gateway.upstreams.by_id['r-0']
        self.count = 0

    def ask(self):
        self.count += 1
        return ManualRequest(self.emulator, f'ask-{self.count}', '/lookup/x', 'GET', 4_000.0)

    def answer(self, **fields):
        request = self.ask()
        request.end(reply_of(request, **fields))

    def test_limit_holds_until_a_later_request_gets_none(self):
        self.start()
        earlier = self.ask()
        self.emulator.run(10.0)
        self.answer(notice=Notice(100.0))
        self.assertEqual(self.state.notices.limit_per_s, 100.0)
        earlier.end(reply_of(earlier))
        self.assertEqual(self.state.notices.limit_per_s, 100.0)
        self.emulator.run(1_000.0)
        self.emulator.run(1_000.0)
        self.answer(notice=Notice(is_limit_unreadable=True))
        self.assertEqual(self.state.notices.limit_per_s, 100.0)
        self.emulator.run(1_000.0)
        self.answer()
        self.assertIsNone(self.state.notices.limit_per_s)

    @params(
        {'request_id': 'another', 'notice': Notice(5.0)},
        {'is_other_instance': True, 'is_rejected': True, 'notice': Notice(5.0)},
    )
    def test_reply_to_another_request_or_of_another_replica_says_nothing(self, fields):
        self.start()
        self.answer(**fields)
        self.assertIsNone(self.state.notices.limit_per_s)

    def test_leaving_and_pause_are_known_for_the_incarnation(self):
        self.start()
        self.answer(notice=Notice(is_leaving=True, retry_after_ms=2_000.0))
        self.assertTrue(self.state.notices.is_leaving)
        self.emulator.remove_entry('r-0')
        self.emulator.run(100.0)
        self.assertNotIn('r-0', self.gateway.upstreams.by_id)
        self.emulator.publish_entry(self.state.entry)
        again = self.gateway.upstreams.by_id['r-0']
        self.assertIsNot(again, self.state)
        self.assertTrue(again.notices.is_leaving)
        self.assertGreater(again.notices.paused_until_ms, self.emulator.now_ms)

    # Hundreds of replicas change at once when a whole back end is in need.
    def test_many_changes_take_one_line(self):
        self.start()
        requests = [self.ask() for _ in range(10)]
        for number, request in enumerate(requests):
            request.end(reply_of(request, notice=Notice(float(number + 1))))
        self.emulator.run(300.0)
        subjects = [line.subject for line in self.emulator.vms[0].lines]
        self.assertEqual(subjects.count('replica_notice'), 0)
        self.assertEqual(subjects.count('replica_notices'), 1)
