"""Checks of the soak's ledger: each reports its violation and accepts correct traffic."""

import unittest

from nose2.tools import params

from soak.ledger import Arrival, CallerRequest, Ledger, NamedLimit, Part, Stop, condense

RECORD_A, RECORD_B = b'a' * 16, b'b' * 16


def make_ledger():
    ledger = Ledger()
    ledger.min_share = 0.5
    ledger.top_records = 2
    ledger.shard_sets = [frozenset(('s1', 's2', 's3'))]
    for number, service in enumerate(('s1', 's2', 's1'), 1):
        ledger.parts[f'p{number}'] = Part('q', service, RECORD_A + RECORD_B)
    ledger.parts['other'] = Part('another', 's3', RECORD_A)
    ledger.table_acknowledged_s['new'] = 0.0
    return ledger


def make_request(kind='gather', status=200, body=b'', request_id='q', **headers):
    request = CallerRequest(request_id, kind, 'vm-0', 100.0)
    request.status, request.body, request.ended_s = status, body, 100.1
    request.headers = {name.replace('_', '-'): value for name, value in headers.items()}
    return request


def make_gather(signatures='p1, p2', missing='1', body=RECORD_B * 2):
    return make_request(
        body=body, beechbridge_part_stamps=signatures, beechbridge_missing_parts=missing
    )


def make_arrival(at_s=100.0, request_id='q', replica='r', has_run=True):
    return Arrival(at_s, request_id, replica, 's1', 'vm-0', has_run)


class LedgerTest(unittest.TestCase):
    def check(self, requests, arrivals=(), withdrawn_s=None):
        ledger = make_ledger()
        ledger.requests.extend(requests)
        ledger.arrivals.extend(arrivals)
        ledger.withdrawn_s.update(withdrawn_s or {})
        return ledger.check()

    def test_correct_gather_passes(self):
        self.assertEqual(self.check([make_gather()], [make_arrival()]), [])

    @params(
        ('p1, other', '1', RECORD_B * 2, 'belongs to no part'),
        ('p1, unknown', '1', RECORD_B * 2, 'belongs to no part'),
        ('p1, p3', '1', RECORD_B * 2, 'two parts of one shard'),
        ('p1, p2', '0', RECORD_B * 2, 'no published set of shards'),
        ('p1', '2', RECORD_B + RECORD_A, 'below the minimum coverage with'),
        ('p1, p2', '1', RECORD_A * 2, 'the largest records'),
    )
    def test_incorrect_gather_is_reported(self, signatures, missing, body, expected):
        (violation,) = self.check([make_gather(signatures, missing, body)])
        self.assertIn(expected, violation)

    @params(
        (
            [make_request('filing', 502)],
            [make_arrival(), make_arrival(100.2)],
            'was executed 2 times',
        ),
        ([make_request('filing', 503)], [make_arrival()], 'was rejected but had been executed'),
        ([make_request('lookup', 404)], [], 'has a configured route but was answered 404'),
        (
            [make_request('lookup', 200, b'x', beechbridge_server_stamp='p1')],
            [],
            'not what its replica signed',
        ),
        ([], [make_arrival()], 'no caller sent'),
        ([make_request('new', 404, request_id='new.1')], [], 'is still not served after 3.0 s'),
        ([make_request('filing', None)], [make_arrival()], 'was forwarded but aborted by'),
    )
    def test_broken_promise_is_reported(self, requests, arrivals, expected):
        violations = self.check(requests, arrivals)
        self.assertTrue(any(expected in violation for violation in violations), violations)

    def test_request_to_a_withdrawn_replica_is_reported(self):
        violations = self.check([make_request('lookup', 502)], [make_arrival()], {'r': 90.0})
        self.assertIn('after it was withdrawn', violations[0])

    def test_extra_attempts_over_the_budget_are_reported(self):
        arrivals = [make_arrival(100.0 + number / 100.0) for number in range(60)]
        (violation,) = self.check([make_request('lookup', 502)], arrivals)
        self.assertIn('59 extra attempts for 1 requests', violation)

    # 4 s at 2 requests a second: 17 are allowed, and the first one of the VM.
    @params((18, ()), (19, ('received 19 requests in 4.0 s',)))
    def test_requests_over_a_limit_are_reported(self, count, expected):
        ledger = make_ledger()
        ledger.requests.append(make_request('lookup', 502))
        ledger.named_limits.append(NamedLimit('r', 2.0, 94.0, 110.0))
        ledger.arrivals.extend(
            make_arrival(100.0 + number / 10.0, has_run=False) for number in range(count)
        )
        violations = ledger.check_limits()
        self.assertEqual(len(violations), len(expected))
        for text, violation in zip(expected, violations, strict=True):
            self.assertIn(text, violation)

    @params((1, 0), (2, 1))
    def test_requests_to_a_replica_that_leaves_are_reported(self, count, expected_count):
        ledger = make_ledger()
        ledger.left_s['r'] = 95.0
        ledger.arrivals.extend(make_arrival(100.0 + number) for number in range(count))
        self.assertEqual(len(ledger.check_left()), expected_count)

    # A stop at 97 s; the request is sent at 100 s and its connection ends at 102 s.
    @params(
        ('forwarded', {}, 'aborted by vm-0, sent 3.00, ended 5.00, exit 5.10 s after SIGTERM'),
        ('forwarded', {'has_left': True}, ''),
        ('forwarded', {'read_s': 1.0, 'timeout_s': 3.0}, 'but aborted by'),
        ('forwarded', {'read_s': 1.0, 'timeout_s': 1.9}, ''),
        ('forwarded', {'timeout_s': 1.9}, 'but aborted by'),
        ('read', {'written_s': 101.7}, 'was sent but not answered by vm-0'),
        ('read', {'written_s': 101.9}, ''),
        ('read', {}, ''),
        ('read', {'written_s': 101.7, 'has_left': True}, ''),
    )
    def test_request_that_a_stop_cuts_off_is_reported(self, reached, fields, expected):
        ledger = make_ledger()
        request = make_request('filing', None)
        request.ended_s = 102.0
        for name, value in fields.items():
            setattr(request, name, value)
        ledger.requests.append(request)
        ledger.stops['vm-0'].append(Stop(97.0, 102.1))
        if reached == 'forwarded':
            ledger.arrivals.append(make_arrival())
        violations = ledger.check(include_timing=False)
        self.assertEqual(len(violations), 1 if expected else 0)
        self.assertIn(expected, ''.join(violations))

    # A stop at 96 s, of vm-0 or all, whose VM gives the request up at 102 s.
    @params(
        ('filing', 99.6, {}, 1),
        ('filing', 99.4, {}, 0),
        ('filing', 99.6, {'status': 504}, 0),
        ('filing', 99.6, {'timeout_s': 2.3}, 0),
        ('lookup', 99.6, {}, 1),
    )
    def test_request_that_is_taken_late_and_given_up_is_reported(
        self, kind, sent_s, fields, expected_count
    ):
        ledger = make_ledger()
        ledger.vm_count = 2
        request = make_request(kind, 502)
        request.sent_s, request.ended_s = sent_s, 102.0
        for name, value in fields.items():
            setattr(request, name, value)
        ledger.requests.append(request)
        ledger.arrivals.append(make_arrival(sent_s))
        ledger.arrivals[0].ended_s = 103.0
        ledger.stops['vm-0'].append(Stop(96.0, 102.1))
        self.assertEqual(len(ledger.check()), expected_count)

    # The other VM stops, starts, or serves.
    @params(('lookup', 100.0, 0), ('lookup', 95.0, 0), ('lookup', 94.0, 1), ('filing', 100.0, 1))
    def test_idempotent_request_may_outlast_the_only_vm(self, kind, exited_s, expected_count):
        ledger = make_ledger()
        ledger.vm_count = 2
        request = make_request(kind, 502)
        request.sent_s, request.ended_s = 99.6, 102.0
        ledger.requests.append(request)
        ledger.arrivals.append(make_arrival(99.6))
        ledger.arrivals[0].ended_s = 103.0
        ledger.stops['vm-0'].append(Stop(96.0, 102.1))
        ledger.stops['vm-1'].append(Stop(90.0, exited_s))
        self.assertEqual(len(ledger.check_taken_late()), expected_count)

    @params((101.9, 'had done its work'), (102.1, 'was at work'))
    def test_report_says_whether_the_replica_was_at_work(self, work_ended_s, expected):
        ledger = make_ledger()
        request = make_request('filing', None)
        request.ended_s = 102.0
        ledger.requests.append(request)
        ledger.arrivals.append(make_arrival())
        ledger.arrivals[0].ended_s = work_ended_s
        self.assertIn(expected, ledger.check_aborted()[0])

    @params((RECORD_A * 262_144, 0), (RECORD_A * 262_143 + RECORD_B, 1), (RECORD_A * 9, 1))
    def test_large_response_is_compared_whole(self, body, expected_count):
        ledger = make_ledger()
        ledger.parts['large'] = Part('q', 's1', RECORD_A * 262_144)
        request = make_request('lookup', beechbridge_server_stamp='large', body=condense(body))
        self.assertEqual(len(ledger.check_response(request)), expected_count)

    # Without an unplanned fault there is no time in which a request may be aborted.
    @params((False, 0), (True, 1))
    def test_untimed_run_with_faults_does_not_judge_aborted_requests(self, timed, expected_count):
        ledger = make_ledger()
        ledger.requests.append(make_request('filing', None))
        ledger.arrivals.append(make_arrival())
        ledger.fault_spans['vm-1'].append((99.0, 100.5))
        self.assertEqual(len(ledger.check(include_timing=timed)), expected_count)

    @params((True, 1), (False, 0))
    def test_overdue_response_is_missing_only_in_a_timed_run(self, timed, expected_count):
        ledger = make_ledger()
        request = make_request('filing', None)
        request.is_overdue = True
        ledger.requests.append(request)
        ledger.arrivals.append(make_arrival())
        self.assertEqual(len(ledger.check(include_timing=timed)), expected_count)

    # The soak saw nothing from 99 to 101 s; the slack after a fault is 4 s.
    @params((100.0, 0), (104.9, 0), (105.1, 1))
    def test_frozen_soak_does_not_judge_what_it_saw_late(self, sent_s, expected_count):
        ledger = make_ledger()
        request = make_request('filing', None)
        request.sent_s, request.ended_s = sent_s, sent_s + 1.0
        ledger.requests.append(request)
        ledger.arrivals.append(make_arrival(sent_s))
        ledger.frozen_spans.append((99.0, 101.0))
        self.assertEqual(len(ledger.check(include_timing=False)), expected_count)

    def test_fault_on_the_vm_excuses_an_aborted_request(self):
        ledger = make_ledger()
        ledger.requests.append(make_request('filing', None))
        ledger.arrivals.append(make_arrival())
        ledger.fault_spans['vm-0'].append((99.0, 100.5))
        self.assertEqual(ledger.check(), [])
