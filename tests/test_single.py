"""Requests to one replica: at-most-once execution, truthful rejections, validated replies."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure
from beechbridge.gateway.events import (
    CallerDisconnected,
)
from beechbridge.gateway.models import ForwardedAnswer, LinkFailure, LinkFault, Reply
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import Route
from measure.emulator import HOST
from measure.stand_ins import ReplicaSpec

from .gateways import (
    ManualRequest,
    answer_of,
    arrivals_of,
    drive,
    single_route,
    start_register,
)

REQUEST_ID = 'filing-1'


class Filing(ManualRequest):
    """One request to the register service."""

    def __init__(self, is_idempotent=False, replica_count=2, is_sending=True, budget=None):
        name = 'lookup' if is_idempotent else 'file'
        emulator = start_register(single_route(name, is_idempotent), replica_count)
        if budget is not None:
            emulator.vms[0].gateway.budget_rules = budget
        super().__init__(emulator, REQUEST_ID, f'/{name}/x', 'POST', 4000.0, is_sending)


REJECTED = Reply(503, [], b'', request_id=REQUEST_ID, is_rejected=True)
OTHER_INSTANCE = Reply(
    421, [], b'', request_id=REQUEST_ID, is_rejected=True, is_other_instance=True
)
REJECTED_WITHOUT_ID = Reply(503, [], b'', is_rejected=True)
REPLICA_ERROR = Reply(500, [], b'broken', 'signature', REQUEST_ID)
DONE = Reply(200, [], b'done', 'signature', REQUEST_ID)
UNSIGNED = Reply(200, [], b'done', '', REQUEST_ID)
OTHER_REQUEST = Reply(200, [], b'done', 'signature', 'filing-0')


class AtMostOnceTest(unittest.TestCase):
    @params(
        (LinkFailure(LinkFault.LOST, True),),
        (LinkFailure(LinkFault.MALFORMED, True),),
        (LinkFailure(LinkFault.TIMED_OUT, True),),
        (UNSIGNED,),
        (OTHER_REQUEST,),
        (REJECTED_WITHOUT_ID,),
    )
    def test_request_that_may_have_run_is_not_retried_and_not_reported_as_not_run(self, result):
        filing = Filing()
        filing.end(result)
        filing.wait(4_500.0)
        self.assertEqual(len(filing.sends), 1)
        self.assertIsInstance(filing.answers[0], Failure)
        self.assertIs(filing.answers[0].executed, Executed.UNKNOWN)

    def test_error_of_the_replica_is_passed_on(self):
        filing = Filing()
        filing.end(REPLICA_ERROR)
        self.assertEqual(len(filing.sends), 1)
        self.assertEqual(filing.answers[0].reply.status, 500)

    def test_silent_replica_is_not_hedged(self):
        filing = Filing()
        filing.wait(3_000.0)
        self.assertEqual(len(filing.sends), 1)

    def test_silence_until_the_deadline_is_reported_as_unknown(self):
        filing = Filing()
        filing.wait(4_500.0)
        self.assertIs(filing.answers[0].executed, Executed.UNKNOWN)

    def test_unsent_request_is_reported_as_not_run_and_never_sent(self):
        filing = Filing(is_sending=False)
        filing.wait(4_500.0)
        self.assertIs(filing.answers[0].executed, Executed.NOT_RUN)
        self.assertFalse(filing.gateway.upstreams.exchanges)

    @params(
        (REJECTED,), (OTHER_INSTANCE,), (LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False),)
    )
    def test_request_that_has_not_run_is_retried_at_the_other_replica(self, result):
        filing = Filing()
        filing.end(result)
        self.assertEqual(len(filing.sends), 2)
        self.assertNotEqual(filing.sends[0].instance_id, filing.sends[1].instance_id)
        filing.end(DONE)
        self.assertIsInstance(filing.answers[0], ForwardedAnswer)

    def test_request_rejected_by_all_replicas_is_reported_as_not_run(self):
        filing = Filing()
        for _ in range(400):
            if filing.answers:
                break
            filing.end(REJECTED)
            filing.wait(20.0 if filing.gateway.upstreams.exchanges else 10.0)
        self.assertIs(filing.answers[0].executed, Executed.NOT_RUN)
        self.assertIsNotNone(filing.answers[0].retry_after_ms)
        sent_count = len(filing.sends)
        filing.wait(5_000.0)
        self.assertEqual(len(filing.sends), sent_count)

    def test_request_beyond_the_retry_budget_is_reported_as_not_run_at_once(self):
        one_retry = BudgetRules(ratio=0.0, fixed_count=8.0)
        filing = Filing(budget=one_retry)
        filing.end(REJECTED)
        filing.end(REJECTED)
        self.assertEqual(len(filing.sends), 2)
        filing.wait(50.0)
        self.assertIs(filing.answers[0].executed, Executed.NOT_RUN)

    def test_disconnect_does_not_cancel_a_non_idempotent_request(self):
        filing = Filing()
        filing.deliver(CallerDisconnected(filing.key))
        self.assertTrue(filing.gateway.upstreams.exchanges)
        self.assertFalse(filing.answers)

    def test_long_idle_connection_is_not_reused_for_a_non_idempotent_request(self):
        emulator = start_register(single_route('file', is_idempotent=False), 1)
        drive(emulator, '/file/x', 1, 1, 4000.0)
        emulator.run(3_000.0)
        opened = emulator.vms[0].gateway.counters.get('connections_opened')
        drive(emulator, '/file/x', 1, 1, 4000.0)
        self.assertEqual(emulator.vms[0].gateway.counters.get('connections_opened'), opened + 1)


class IdempotentTest(unittest.TestCase):
    def test_lost_lookup_is_retried_at_another_replica(self):
        lookup = Filing(is_idempotent=True)
        lookup.end(LinkFailure(LinkFault.LOST, True))
        self.assertEqual(len(lookup.sends), 2)
        lookup.end(DONE)
        self.assertIsInstance(lookup.answers[0], ForwardedAnswer)

    def test_silent_replica_is_hedged(self):
        emulator = start_register(
            single_route('lookup'), 2, [ReplicaSpec(is_dark=True), ReplicaSpec()]
        )
        asked = drive(emulator, '/lookup/x', 5, 4, 4000.0)
        for vm, key, _ in asked:
            self.assertIsInstance(answer_of(emulator, vm, key)[1], ForwardedAnswer)


class SplitTest(unittest.TestCase):
    @params(((0.8, 0.2),), ((0.5, 0.5),), ((0.7, 0.3),))
    def test_each_service_gets_its_weight(self, weights):
        emulator = start_register(single_route('lookup'))
        names = [f'part-{number}' for number in range(len(weights))]
        for name in names:
            emulator.put_replica(f'{name}-r', name, 'brum-a', ReplicaSpec(slots=8))
        route = Route('split', HOST, '/split/', tuple(names), weights, objective_ms=400.0)
        emulator.put_table([route], version=2)
        drive(emulator, '/split/x', 50, 10)
        total = sum(len(arrivals_of(emulator, name)) for name in names)
        for name, weight in zip(names, weights, strict=True):
            share = len(arrivals_of(emulator, name)) / total
            self.assertAlmostEqual(share, weight, delta=0.02)
