"""Admission control of routed requests: requests are rejected before anything is sent."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.actions import AnswerRequest
from beechbridge.gateway.events import RequestReceived
from beechbridge.gateway.models import CallerRequest
from beechbridge.gateway.requests import admission
from measure.emulator import HOST, Emulator

from .gateways import WORK_MS, single_route, start_register


def ask(gateway, now_ms, path='/lookup/x', host=HOST, body=b'', timeout_ms=4000.0, key=1):
    request = CallerRequest('q', 'GET', path, host, path, [], body, timeout_ms)
    actions = gateway.handle(RequestReceived(key, request), now_ms)
    return [action.answer for action in actions if isinstance(action, AnswerRequest)]


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.emulator = start_register(single_route('lookup'))
        self.gateway = self.emulator.vms[0].gateway
        self.now_ms = self.emulator.now_ms

    @params(
        ({'path': '/nowhere/'}, Reason.NOT_FOUND),
        ({'host': 'other.example'}, Reason.NOT_FOUND),
        ({'timeout_ms': 0.0}, Reason.DEADLINE),
        ({'body': b'x' * 262_145}, Reason.TOO_LARGE),
    )
    def test_inadmissible_request_is_rejected_as_not_run(self, fields, reason):
        (answer,) = ask(self.gateway, self.now_ms, **fields)
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.reason, reason)
        self.assertIs(answer.executed, Executed.NOT_RUN)

    def test_vm_without_a_table_answers_not_ready(self):
        gateway = Emulator(('brum-a',), WORK_MS).vms[0].gateway
        (answer,) = ask(gateway, 0.0)
        self.assertIs(answer.reason, Reason.NOT_READY)
        self.assertIsNotNone(answer.retry_after_ms)

    def test_vm_with_a_stale_view_answers_not_ready_for_unknown_routes(self):
        late_ms = self.now_ms + admission.STALE_VIEW_MS + 1.0
        (answer,) = ask(self.gateway, late_ms, path='/nowhere/')
        self.assertIs(answer.reason, Reason.NOT_READY)

    def test_too_many_active_requests_are_rejected_with_a_retry_time(self):
        answers = []
        for key in range(1, admission.MAX_ACTIVE_REQUESTS + 2):
            answers.extend(ask(self.gateway, self.now_ms, key=key))
        self.assertIs(answers[-1].reason, Reason.OVERLOADED)
        self.assertIsNotNone(answers[-1].retry_after_ms)

    def test_retry_times_have_jitter(self):
        gateway = Emulator(('brum-a',), WORK_MS).vms[0].gateway
        times = {ask(gateway, 0.0, key=key)[0].retry_after_ms for key in range(20)}
        self.assertGreater(len(times), 5)

    def test_different_caller_timeout_does_not_count_as_time_spent(self):
        ask(self.gateway, self.now_ms, key=1, timeout_ms=60_000.0)
        ask(self.gateway, self.now_ms, key=2, timeout_ms=4_000.0)
        first, second = self.gateway.works[1], self.gateway.works[2]
        self.assertEqual(first.soft_at_ms, second.soft_at_ms)

    def test_time_spent_before_an_attempt_counts_against_the_latency_objective(self):
        ask(self.gateway, self.now_ms, key=1)
        ask(self.gateway, self.now_ms, key=2, timeout_ms=3_900.0)
        first, second = self.gateway.works[1], self.gateway.works[2]
        self.assertAlmostEqual(first.soft_at_ms - second.soft_at_ms, 100.0)
