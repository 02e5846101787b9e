"""All VMs start at once, as after a power failure, while their callers come back."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure
from beechbridge.gateway.actions import AnswerRequest
from beechbridge.gateway.events import ChangesReceived, RequestReceived, StoreFailed
from beechbridge.gateway.models import CallerRequest, ForwardedAnswer
from beechbridge.gateway.requests.budgets import MEMBER_PROPAGATION_MS
from beechbridge.gateway.requests.start_queue import MAX_HELD_REQUESTS
from beechbridge.gateway.routes import RoutingTable, ServiceRules

from .gateways import HOST, single_route, start_register
from .test_store_updates import LIMITS, Reader

CONNECTION_LIMIT = 25
FLEET_SIZE = 8
"""Largest small fleet of the users."""


def ask(gateway, now_ms, path, timeout_ms):
    """Send a request to a gateway; return its answer."""
    request = CallerRequest('q', 'GET', path, HOST, path, [], b'', timeout_ms)
    for action in gateway.handle(RequestReceived(1, request), now_ms):
        if isinstance(action, AnswerRequest):
            return action.answer
    return None


class StartingReader(Reader):
    """A gateway that has just started and has no routing table."""

    def __init__(self):
        super().__init__()
        self.gateway.table = None
        self.gateway.started_ms = self.now_ms


class ConnectionsTest(unittest.TestCase):
    """Each VM at first knows only itself, and must leave connections to those it does not know."""

    def share_after(self, age_ms):
        reader = Reader()
        rules = {'s': ServiceRules('s', CONNECTION_LIMIT)}
        reader.put('table', RoutingTable(2, [], rules, LIMITS))
        reader.gateway.started_ms = reader.now_ms
        reader.wait(age_ms)
        return reader.gateway.connection_share('s')

    def test_vms_that_start_together_stay_under_the_limit(self):
        share = self.share_after(0.0)
        self.assertGreaterEqual(share, 1)
        self.assertLessEqual(FLEET_SIZE * share, CONNECTION_LIMIT)

    def test_share_grows_once_other_vms_would_be_known(self):
        self.assertEqual(self.share_after(MEMBER_PROPAGATION_MS), CONNECTION_LIMIT // 2)


class RetryTest(unittest.TestCase):
    """The retry of a caller that was rejected in an outage must not come back within it."""

    @params((3_000.0, 700), (1_500.0, 350), (10_000.0, 2_300))
    def test_store_outage_at_a_start(self, timeout_ms, least_ms):
        reader = StartingReader()
        reader.deliver(StoreFailed('status 503'))
        answer = ask(reader.gateway, reader.now_ms, '/sweep/x', timeout_ms)
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertGreaterEqual(answer.retry_after_ms, least_ms)
        self.assertLess(answer.retry_after_ms, timeout_ms / 2)

    @params((True, True), (False, False))
    def test_early_retry_is_asked_for_only_while_the_store_answers(self, is_answered, is_early):
        reader = StartingReader()
        reader.deliver(StoreFailed('status 503'))
        if is_answered:
            reader.deliver(ChangesReceived([], reader.revision))
        answer = ask(reader.gateway, reader.now_ms, '/sweep/x', 10_000.0)
        self.assertEqual(answer.retry_after_ms <= 400, is_early)

    def test_replicas_that_have_yet_to_register_again(self):
        emulator = start_register(single_route('lookup'))
        for number in range(2):
            emulator.remove_entry(f'r-{number}')
        emulator.run(100.0)
        answer = ask(emulator.vms[0].gateway, emulator.now_ms, '/lookup/x', 4_000.0)
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertGreaterEqual(answer.retry_after_ms, 900)


class HeldRequestTest(unittest.TestCase):
    """A request that arrives just before the routing table does."""

    def start(self, is_in_force=True):
        emulator = start_register(single_route('lookup'))
        emulator.vms[0].gateway.answer_time.is_in_force = is_in_force
        emulator.restart_vm(emulator.vms[0], 0.0)
        emulator.run(10.0)
        emulator.vms[0].gateway.answer_time.is_in_force = is_in_force
        return emulator

    # Each request in the first half second was rejected, though the table came within its time.
    @params((True, 4_000.0, True), (False, 4_000.0, False), (True, 60.0, False))
    def test_request_is_served_once_the_table_is_there(self, is_in_force, timeout_ms, is_served):
        emulator = self.start(is_in_force)
        asked_ms = emulator.now_ms
        key = emulator.send_request(0, '/lookup/x', timeout_ms)
        emulator.run(5_000.0)
        answered_ms, answer = emulator.vms[0].answers[key]
        self.assertEqual(isinstance(answer, ForwardedAnswer), is_served)
        self.assertLessEqual(answered_ms - asked_ms, timeout_ms)
        self.assertEqual(emulator.vms[0].gateway.start_queue.held, {})
        if not is_served:
            self.assertIs(answer.executed, Executed.NOT_RUN)

    # Without a table in time, a request is rejected while its client can still try elsewhere.
    def test_request_is_rejected_if_the_table_does_not_come(self):
        emulator = self.start()
        emulator.items.clear()
        keys = [emulator.send_request(0, '/lookup/x', 900.0) for _ in range(MAX_HELD_REQUESTS + 5)]
        answers = emulator.vms[0].answers
        self.assertEqual(len([key for key in keys if key in answers]), 5)
        emulator.run(300.0)
        for key in keys:
            self.assertIs(answers[key][1].executed, Executed.NOT_RUN)
        retries_ms = {answers[key][1].retry_after_ms for key in keys}
        self.assertGreater(len(retries_ms), 20)

    # A client that has left must not be served: its request would run for nobody.
    def test_request_of_a_client_that_left_is_dropped(self):
        emulator = self.start()
        key = emulator.send_request(0, '/lookup/x', 4_000.0)
        emulator.disconnect_caller(0, key)
        emulator.run(3_000.0)
        self.assertNotIn(key, emulator.vms[0].answers)
        self.assertEqual([len(emulator.replicas[f'r-{n}'].arrivals) for n in range(2)], [0, 0])
