"""Each check of the soak's ledger is able to fail, and passes what is right."""

import unittest

from nose2.tools import params

from soak.ledger import Arrival, Asked, Ledger, Part

RECORD_A, RECORD_B = b'a' * 16, b'b' * 16


def make_ledger():
    ledger = Ledger()
    ledger.least_share = 0.5
    ledger.top_records = 2
    ledger.shard_sets = [frozenset(('s1', 's2', 's3'))]
    for number, service in enumerate(('s1', 's2', 's1'), 1):
        ledger.parts[f'p{number}'] = Part('q', service, RECORD_A + RECORD_B)
    ledger.parts['other'] = Part('another', 's3', RECORD_A)
    ledger.table_acknowledged_s['new'] = 0.0
    return ledger


def ask(kind='gather', status=200, body=b'', request_id='q', **headers):
    asked = Asked(request_id, kind, 'vm-0', 100.0)
    asked.status, asked.body, asked.ended_s = status, body, 100.1
    asked.headers = {name.replace('_', '-'): value for name, value in headers.items()}
    return asked


def merged(signatures='p1, p2', missing='1', body=RECORD_B * 2):
    return ask(body=body, beechbridge_part_stamps=signatures, beechbridge_missing_parts=missing)


def arrival(at_s=100.0, request_id='q', replica='r', has_run=True):
    return Arrival(at_s, request_id, replica, 's1', 'vm-0', has_run)


class LedgerTest(unittest.TestCase):
    def check(self, asked, arrivals=(), gone_s=None):
        ledger = make_ledger()
        ledger.asked.extend(asked)
        ledger.arrivals.extend(arrivals)
        ledger.gone_s.update(gone_s or {})
        return ledger.check()

    def test_true_answer_passes(self):
        self.assertEqual(self.check([merged()], [arrival()]), [])

    @params(
        ('p1, other', '1', RECORD_B * 2, 'signs no part'),
        ('p1, unknown', '1', RECORD_B * 2, 'signs no part'),
        ('p1, p3', '1', RECORD_B * 2, 'in twice'),
        ('p1, p2', '0', RECORD_B * 2, 'no set of shards'),
        ('p1', '2', RECORD_B + RECORD_A, 'a success with'),
        ('p1, p2', '1', RECORD_A * 2, 'greatest records'),
    )
    def test_false_gather_is_noticed(self, signatures, missing, body, expected):
        (sentence,) = self.check([merged(signatures, missing, body)])
        self.assertIn(expected, sentence)

    @params(
        ([ask('filing', 502)], [arrival(), arrival(100.2)], 'ran 2 times'),
        ([ask('filing', 503)], [arrival()], 'was refused and has run'),
        ([ask('lookup', 404)], [], 'was answered 404'),
        ([ask('lookup', 200, b'x', beechbridge_server_stamp='p1')], [], "not its replica's"),
        ([], [arrival()], 'nobody sent'),
        ([ask('new', 404, request_id='new.1')], [], 'is unknown after'),
        ([ask('filing', None)], [arrival()], 'was cut off'),
    )
    def test_broken_promise_is_noticed(self, asked, arrivals, expected):
        sentences = self.check(asked, arrivals)
        self.assertTrue(any(expected in sentence for sentence in sentences), sentences)

    def test_request_to_a_replica_that_left_is_noticed(self):
        sentences = self.check([ask('lookup', 502)], [arrival()], {'r': 90.0})
        self.assertIn('after it had left', sentences[0])

    def test_repeats_over_the_budget_are_noticed(self):
        arrivals = [arrival(100.0 + number / 100.0) for number in range(60)]
        (sentence,) = self.check([ask('lookup', 502)], arrivals)
        self.assertIn('59 repeats of 1', sentence)

    def test_fault_on_the_vm_excuses_what_has_a_time_bound(self):
        ledger = make_ledger()
        ledger.asked.append(ask('filing', None))
        ledger.arrivals.append(arrival())
        ledger.disturbed['vm-0'].append((99.0, 100.5))
        self.assertEqual(ledger.check(), [])
