"""A planned stop: every request that a VM has read is answered before its process exits."""

import unittest

from nose2.tools import params

from beechbridge.defects import describe_defect
from beechbridge.failures import Executed, Reason
from beechbridge.gateway.actions import AnswerRequest, ExitProcess
from beechbridge.gateway.events import OrderReceived, RelayReceived, StopRequested, TimerDue
from beechbridge.gateway.fleet.stopping import ANSWER_SHARE
from beechbridge.gateway.models import (
    CallerRequest,
    PartsAnswer,
    PartsOrder,
    RequestRelay,
)
from measure.emulator import HOST
from measure.stand_ins import ReplicaSpec

from .gateways import ZONES, single_route, start_fleet, start_register, start_sweeps, sweep_route

GRACE_MS = 6_000.0
LONG_MS = 4_000.0
"""Timeout of a caller that is longer than half of the grace period."""

LATE_MS = 0.55 * GRACE_MS
"""Time after the stop request at which a long request may outlast the process."""

SHORT_MS = 1_000.0


def make_slow_spec():
    """Return a replica whose work takes longer than any request may."""
    return ReplicaSpec(slow_factor=1_000.0)


def start_slow(kind):
    """Return an emulator with slow replicas, and the path and method of a long request to them."""
    if kind == 'gather':
        emulator = start_sweeps(4, zones=ZONES[:1], spec=make_slow_spec)
        route = sweep_route(4)
        route.timeout_ms = LONG_MS
        emulator.put_table([route], version=2)
        return emulator, '/sweep/x', 'GET'
    route = single_route(kind, is_idempotent=kind == 'lookup')
    emulator = start_register(route, specs=[make_slow_spec(), make_slow_spec()])
    return emulator, f'/{kind}/x', 'GET' if route.is_idempotent else 'POST'


def stop(emulator, wait_ms=0.0):
    """Ask the first VM to stop, and wait."""
    emulator.deliver_event(emulator.vms[0], StopRequested())
    emulator.run(wait_ms)
    return emulator.vms[0]


def send_count(emulator):
    return sum(len(replica.arrivals) for replica in emulator.replicas.values())


class LateRequestTest(unittest.TestCase):
    # A request that may outlast the process was taken, passed on, and cut off without an answer.
    @params('lookup', 'file')
    def test_request_that_may_outlast_the_process_is_rejected_at_once(self, name):
        route = single_route(name, is_idempotent=name == 'lookup')
        emulator = start_fleet(route, zones=ZONES[:3])
        vm = stop(emulator, LATE_MS)
        sent = send_count(emulator)
        key = emulator.send_request(0, f'/{name}/x', LONG_MS)
        answered_ms, answer = vm.answers[key]
        self.assertEqual(answered_ms, emulator.now_ms)
        self.assertEqual((answer.reason, answer.executed), (Reason.STOPPING, Executed.NOT_RUN))
        self.assertEqual(answer.retry_after_ms, 0)
        emulator.run(100.0)
        self.assertEqual(send_count(emulator), sent)

    # Without another VM an immediate retry would only be rejected again.
    def test_caller_is_asked_to_wait_if_no_other_vm_serves(self):
        emulator = start_fleet(single_route('file', is_idempotent=False), zones=ZONES[:1])
        vm = stop(emulator, LATE_MS)
        key = emulator.send_request(0, '/file/x', LONG_MS)
        self.assertGreater(vm.answers[key][1].retry_after_ms, 500)

    # An order or a relay that outlasts the process failed at the VM that waited for it.
    @params('order', 'relay')
    def test_long_work_for_another_vm_is_rejected(self, kind):
        emulator = start_fleet(single_route('lookup'), zones=ZONES[:3])
        vm = stop(emulator, LATE_MS)
        request = CallerRequest('q', 'GET', '/lookup/x', HOST, '/lookup/x', [], b'', LONG_MS)
        event = RelayReceived(9, RequestRelay(request, 100.0, LONG_MS, {}, False))
        if kind == 'order':
            order = PartsOrder(request, 'sweep', 1, ('register',), 2, 10, LONG_MS, LONG_MS, 'd')
            event = OrderReceived(9, order)
        emulator.deliver_event(vm, event)
        self.assertEqual(vm.answers[9][1].reason, Reason.STOPPING)


class EndOfStopTest(unittest.TestCase):
    # Requests in hand at the end of the grace period were cut off without an answer.
    @params('lookup', 'file', 'gather')
    def test_request_without_a_reply_is_answered_before_the_exit(self, kind):
        emulator, path, method = start_slow(kind)
        vm = stop(emulator, 0.4 * GRACE_MS)
        key = emulator.send_request(0, path, LONG_MS, method)
        emulator.run(GRACE_MS)
        self.assertIsNotNone(vm.exited_ms)
        self.assertIn(key, vm.answers)
        answered_ms, answer = vm.answers[key]
        self.assertLessEqual(answered_ms, vm.exited_ms)
        self.assertEqual((answer.reason, answer.executed), (Reason.STOPPING, Executed.UNKNOWN))

    # A request that was never sent must be told so, since its caller may repeat it.
    def test_request_that_waits_for_a_connection_is_rejected_before_the_exit(self):
        route = single_route('file', is_idempotent=False)
        emulator = start_register(route, 1, [make_slow_spec()])
        limit = emulator.vms[0].gateway.connection_share('register')
        vm = stop(emulator, 0.4 * GRACE_MS)
        keys = [emulator.send_request(0, '/file/x', LONG_MS, 'POST') for _ in range(limit + 2)]
        emulator.run(GRACE_MS)
        outcomes = [vm.answers[key][1].executed for key in keys]
        self.assertLessEqual(max(vm.answers[key][0] for key in keys), vm.exited_ms)
        self.assertEqual(outcomes[-2:], [Executed.NOT_RUN, Executed.NOT_RUN])
        self.assertEqual(outcomes[0], Executed.UNKNOWN)

    # The VM that waits for parts of one that stops had to find out by itself.
    def test_order_in_hand_is_answered_before_the_exit(self):
        emulator = start_sweeps(4, zones=ZONES[:1], spec=make_slow_spec)
        vm = stop(emulator, 0.4 * GRACE_MS)
        request = CallerRequest('q', 'GET', '/sweep/x', HOST, '/sweep/x', [], b'', LONG_MS)
        services = ('shard-0', 'shard-1')
        order = PartsOrder(request, 'sweep', 1, services, 2, 10, LONG_MS, LONG_MS, 'd')
        emulator.deliver_event(vm, OrderReceived(9, order))
        emulator.run(GRACE_MS)
        answered_ms, answer = vm.answers[9]
        self.assertLessEqual(answered_ms, vm.exited_ms)
        self.assertIsInstance(answer, PartsAnswer)

    # An exception for one request at the end cost all others their answers, and the exit.
    def test_defect_in_one_answer_costs_neither_the_others_nor_the_exit(self):
        emulator, path, method = start_slow('lookup')
        vm = stop(emulator, 0.4 * GRACE_MS)
        keys = [emulator.send_request(0, path, LONG_MS, method) for _ in range(3)]
        emulator.run(100.0)
        gateway = vm.gateway
        gateway.works[keys[1]].route = None
        end_ms = gateway.stopping.at_ms(ANSWER_SHARE)
        actions = []
        while (gateway.timers.next_due_ms() or end_ms + 1.0) <= end_ms:
            now_ms = gateway.timers.next_due_ms()
            try:
                actions.extend(gateway.handle(TimerDue(), now_ms))
            except AttributeError as error:
                actions.extend(gateway.recover(TimerDue(), describe_defect(error)))
        answered = {action.key for action in actions if isinstance(action, AnswerRequest)}
        self.assertLessEqual({keys[0], keys[2]}, answered)
        self.assertTrue(any(isinstance(action, ExitProcess) for action in actions))


class ServedRequestTest(unittest.TestCase):
    # Rejecting more than that would turn callers away who still know the address of this VM.
    @params(
        ('early in the grace period', 3, 0.45 * GRACE_MS, LONG_MS),
        ('over before the process exits', 3, LATE_MS, SHORT_MS),
        ('idempotent while no other VM serves', 1, LATE_MS, LONG_MS),
    )
    def test_request_is_served_that_is(self, _, vm_count, wait_ms, timeout_ms):
        emulator = start_fleet(single_route('lookup'), zones=ZONES[:vm_count])
        vm = stop(emulator, wait_ms)
        key = emulator.send_request(0, '/lookup/x', timeout_ms)
        emulator.run(1_000.0)
        self.assertFalse(hasattr(vm.answers[key][1], 'executed'))

    # A request that comes while the last answers are sent was passed on and cut off.
    def test_request_after_the_end_is_rejected(self):
        emulator = start_fleet(single_route('lookup'), zones=ZONES[:3])
        vm = stop(emulator, GRACE_MS)
        sent = send_count(emulator)
        key = emulator.send_request(0, '/lookup/x', SHORT_MS)
        self.assertEqual(vm.answers[key][1].executed, Executed.NOT_RUN)
        self.assertEqual(send_count(emulator), sent)
