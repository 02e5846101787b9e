"""Unexpected exceptions: they cost one event or call, are logged, and end no process or thread."""

import asyncio
import threading
import unittest

from nose2.tools import params

from beechbridge.daemon.gateway import log_loop_error
from beechbridge.daemon.store_reader import StoreReader
from beechbridge.defects import describe_defect
from beechbridge.failures import Executed, Failure, Reason, unknown
from beechbridge.gateway.actions import AnswerRequest, WriteLine
from beechbridge.gateway.events import OrderReceived, RequestReceived, StoreFailed, TimerDue
from beechbridge.gateway.models import CallerRequest, PartsOrder
from beechbridge.platform.store import Page
from beechbridge.wire.fleet import read_parts, write_parts
from measure.emulator import HOST

from .gateways import single_route, start_register

WAIT_S = 5.0
REQUEST = CallerRequest('q1', 'GET', '/lookup/x', HOST, '/lookup/x', [], b'', 4000.0)
ORDER = PartsOrder(REQUEST, 'sweep', 1, ('shard-0',), 2, 10, 100.0, 1000.0, 'digest')
DEFECT = {'error': 'ZeroDivisionError', 'detail': 'division by zero', 'at': 'works.py:1'}


def divide_by_zero():
    return 1 // 0


class HandlerDefectTest(unittest.TestCase):
    # An exception in the handler of a request must leave no caller without an answer, and the
    # answer must not say that nothing has run.
    @params((RequestReceived(7, REQUEST),), (OrderReceived(7, ORDER),))
    def test_request_in_hand_is_answered(self, event):
        gateway = start_register(single_route('lookup')).vms[0].gateway
        gateway.handle(event, gateway.now_ms)
        actions = gateway.recover(event, DEFECT)
        answers = [action.answer for action in actions if isinstance(action, AnswerRequest)]
        self.assertEqual([answer.executed for answer in answers], [Executed.UNKNOWN])
        self.assertNotIn(7, gateway.works)
        lines = [action for action in actions if isinstance(action, WriteLine)]
        self.assertEqual(lines[-1].subject, 'event_failed')
        self.assertEqual(lines[-1].fields['at'], DEFECT['at'])

    def test_later_events_are_handled(self):
        gateway = start_register(single_route('lookup')).vms[0].gateway
        gateway.recover(TimerDue(), DEFECT)
        actions = gateway.handle(RequestReceived(8, REQUEST), gateway.now_ms)
        self.assertTrue(actions)
        self.assertEqual(gateway.counters.get('defects', 'ZeroDivisionError'), 1)

    # Only a rejection says that an order has not run; an error of its VM does not.
    @params((502,), (500,), (404,))
    def test_error_status_of_an_order_is_no_proof_that_nothing_has_run(self, status):
        self.assertIsNotNone(read_parts(status, [], b'', True).answer)

    def test_unknown_outcome_of_an_order_is_not_sent_as_a_rejection(self):
        wire = write_parts(unknown(Reason.INTERNAL), 'q1')
        reply = read_parts(int(wire.status.split()[0]), wire.headers, wire.body, True)
        self.assertIsNotNone(reply.answer)


class DefectiveClient:
    """Store client whose first call raises an exception."""

    def __init__(self):
        self.call_count = 0

    def list_page(self, prefix, after):
        self.call_count += 1
        if self.call_count == 1:
            divide_by_zero()
        return Page([], 5, 1)

    def watch(self, prefix, revision, wait_ms):
        return Failure(Reason.PLATFORM_UNAVAILABLE)

    def close(self):
        pass


class ThreadDefectTest(unittest.TestCase):
    # An exception in the thread that follows the store must not end it without a word.
    def test_store_reader_goes_on(self):
        events = []
        arrived = threading.Semaphore(0)

        def post(event):
            events.append(event)
            arrived.release()

        reader = StoreReader(DefectiveClient(), ('servers/',), '', post)
        reader.start()
        reader.follow(True, None)
        try:
            for _ in range(2):
                self.assertTrue(arrived.acquire(timeout=WAIT_S))
        finally:
            reader.stop()
        self.assertEqual(events[0], StoreFailed('ZeroDivisionError'))
        self.assertEqual(events[1].revision, 5)

    def test_callback_of_the_loop_is_logged(self):
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(log_loop_error)
        loop.call_soon(divide_by_zero)
        with self.assertNoLogs('asyncio'):
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()

    def test_defect_names_its_line(self):
        try:
            divide_by_zero()
        except ZeroDivisionError as error:
            fields = describe_defect(error)
        self.assertEqual(fields['error'], 'ZeroDivisionError')
        self.assertIn('test_defects.py:', fields['at'])
