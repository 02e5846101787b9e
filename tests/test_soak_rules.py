"""Checks of the soak's rules: each reports its violation and accepts correct traffic."""

import unittest

from nose2.tools import params

from soak.ledger import Arrival, CallerRequest, Ledger
from soak.rules import Burst, ColdSpan, EvacuationSpan, HomeSpan


def make_ledger(kind='lookup', replica='r', times=(), status=200, headers=None):
    """Return the ledger of requests of one kind, each of which reached a replica."""
    ledger = Ledger()
    ledger.rules.zones = {'r': 'notts-a', 'home': 'brum-a'}
    for number, at_s in enumerate(times):
        request = CallerRequest(f'q{number}', kind, 'vm-0', at_s)
        request.status, request.headers = status, headers or {}
        ledger.requests.append(request)
        arrival = Arrival(at_s, request.request_id, replica, 'register', 'vm-0', status == 200)
        ledger.arrivals.append(arrival)
    return ledger


class RulesTest(unittest.TestCase):
    def assert_reported(self, ledger, is_reported, text):
        violations = ledger.rules.check(ledger)
        self.assertEqual(any(text in one for one in violations), is_reported, violations)

    # A rate of 2 a second permits 8 requests in a second; before a VM can know, any number.
    @params((8, 103.0, True, False), (9, 103.0, True, True), (9, 103.0, False, False),
            (9, 100.1, True, False), (9, 109.9, True, False), (9, 111.0, True, False))  # fmt: skip
    def test_cold(self, count, start_s, has_run, is_reported):
        times = [start_s + 0.1 * number for number in range(count)]
        ledger = make_ledger(times=times, status=200 if has_run else 503)
        ledger.rules.cold_spans.append(ColdSpan('r', 2.0, 100.0, 110.0))
        self.assert_reported(ledger, is_reported, 'while it was cold')

    @params(('lookup', 'r', 107.0, True), ('lookup', 'home', 107.0, False),
            ('gather', 'r', 107.0, False), ('lookup', 'r', 105.0, False),
            ('lookup', 'r', 121.0, False))  # fmt: skip
    def test_homes(self, kind, replica, at_s, is_reported):
        ledger = make_ledger(kind, replica, [at_s])
        ledger.rules.home_spans.append(HomeSpan('lookup', ['brum'], 100.0))
        ledger.rules.home_spans[0].until_s = 120.0
        self.assert_reported(ledger, is_reported, 'outside its home regions')

    @params((107.0, 'r', True), (107.0, 'home', False), (105.0, 'r', False))
    def test_evacuation(self, at_s, replica, is_reported):
        ledger = make_ledger(replica=replica, times=[at_s])
        ledger.rules.evacuations.append(EvacuationSpan('notts-a', 100.0))
        self.assert_reported(ledger, is_reported, 'was evacuated')

    # A fault of the VM that took a request excuses what it could not know.
    def test_fault_excuses(self):
        ledger = make_ledger(times=[107.0])
        ledger.rules.home_spans.append(HomeSpan('lookup', ['brum'], 100.0))
        ledger.fault_spans['vm-0'].append((104.0, 106.0))
        self.assert_reported(ledger, False, 'outside its home regions')

    @params((503, {}, 1, 'without a time to retry', True),
            (503, {'retry-after': '0.2'}, 1, 'without a time to retry', False),
            (503, {'retry-after': '0.2'}, 20, 'none of 20 lookup', True),
            (503, {'retry-after': '0.2'}, 19, 'none of', False),
            (200, {}, 20, 'none of', False))  # fmt: skip
    def test_burst(self, status, headers, count, text, is_reported):
        ledger = make_ledger(times=[101.0] * count, status=status, headers=headers)
        ledger.rules.bursts.append(Burst(('lookup', 'gather'), 100.0, 110.0))
        self.assert_reported(ledger, is_reported, text)
