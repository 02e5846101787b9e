"""Gather answers: one part per shard, correct coverage, the greatest records, one table."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.events import (
    CallerDisconnected,
)
from beechbridge.gateway.models import (
    LinkFault,
    MergedAnswer,
    Reply,
)

from .gateways import OBJECTIVE_MS, TIMEOUT_MS, ManualRequest, start_sweeps, sweep_route

REQUEST_ID = 'request-of-the-test'


class Gather(ManualRequest):
    """One gather over some shards."""

    def __init__(self, shard_count=4, least_share=0.5, copies=2):
        emulator = start_sweeps(shard_count, least_share=least_share, copies=copies)
        super().__init__(emulator, REQUEST_ID, '/sweep/x', 'GET', TIMEOUT_MS)

    def reply(self, number, body=b'', request_id=REQUEST_ID, status=200, **fields):
        signature = fields.pop('signature', f'signature-{number}')
        self.end(Reply(status, [], body, signature, request_id, **fields), number)


def record(value):
    return bytes([value]) * 16


class MergeTest(unittest.TestCase):
    def test_answer_has_the_greatest_records_of_all_parts(self):
        driven = Gather()
        driven.reply(0, record(1) + record(9) + b'rest')
        driven.reply(1, record(9) + record(5))
        driven.reply(2, b''.join(record(value) for value in range(10, 22)))
        self.assertFalse(driven.answers)
        driven.reply(3, b'')
        answer = driven.answers[0]
        expected = [record(value) for value in range(21, 11, -1)]
        self.assertEqual(answer.body, b''.join(expected))
        self.assertEqual(sorted(answer.signatures), [f'signature-{n}' for n in range(4)])
        self.assertEqual(answer.missing_count, 0)

    def test_equal_records_are_kept(self):
        driven = Gather()
        for number in range(4):
            driven.reply(number, record(3) * 2)
        self.assertEqual(driven.answers[0].body, record(3) * 8)

    @params(
        ({'request_id': 'another'},),
        ({'request_id': ''},),
        ({'signature': ''},),
        ({'status': 500},),
        ({'is_encoded': True},),
        ({'status': 503, 'is_rejected': True},),
    )
    def test_invalid_reply_is_not_merged(self, fields):
        driven = Gather(copies=1)
        for number in range(3):
            driven.reply(number, record(number))
        driven.reply(3, record(200), **fields)
        driven.wait(OBJECTIVE_MS)
        answer = driven.answers[0]
        self.assertEqual(answer.missing_count, 1)
        self.assertNotIn(record(200), answer.body)

    def test_hedge_of_a_shard_gives_one_part(self):
        driven = Gather()
        for number in range(3):
            driven.reply(number, record(number))
        driven.wait(80.0)
        self.assertEqual(len(driven.sends), 5)
        driven.reply(4, record(8))
        driven.reply(3, record(7))
        answer = driven.answers[0]
        self.assertEqual(len(driven.answers), 1)
        self.assertEqual(len(answer.signatures), 4)
        self.assertEqual(answer.missing_count, 0)

    def test_partial_answer_is_returned_at_the_latency_objective(self):
        driven = Gather()
        driven.reply(0, record(1))
        driven.reply(1, record(2))
        driven.wait(OBJECTIVE_MS - 20.0)
        self.assertFalse(driven.answers)
        driven.wait(20.0)
        self.assertIsInstance(driven.answers[0], MergedAnswer)
        self.assertEqual(driven.answers[0].missing_count, 2)

    def test_coverage_below_the_least_share_fails(self):
        driven = Gather(least_share=0.75)
        driven.reply(0, record(1))
        driven.reply(1, record(2))
        driven.wait(TIMEOUT_MS)
        answer = driven.answers[0]
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.reason, Reason.DEADLINE)
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_unreachable_least_share_fails_at_once(self):
        driven = Gather(least_share=1.0, copies=1)
        driven.fail(0)
        driven.wait(20.0)
        driven.fail(4)
        answer = driven.answers[0]
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_newer_table_does_not_change_a_running_gather(self):
        driven = Gather()
        for number in range(4, 6):
            driven.emulator.put_replica(f's-{number}', f'shard-{number}', 'brum-a')
        driven.emulator.put_table([sweep_route(6)], version=9)
        self.assertEqual(driven.gateway.table.version, 9)
        for number in range(4):
            driven.reply(number, record(number))
        self.assertEqual(len(driven.answers[0].signatures), 4)


class RepeatsTest(unittest.TestCase):
    def test_lost_exchange_is_repeated_at_the_other_replica(self):
        driven = Gather()
        driven.fail(0)
        self.assertEqual(len(driven.sends), 5)
        self.assertNotEqual(driven.sends[4].instance_id, driven.sends[0].instance_id)

    def test_attempts_limit_the_replicas_that_may_have_run_it(self):
        driven = Gather()
        driven.fail(0)
        driven.fail(4)
        driven.wait(100.0)
        asked = [send for send in driven.sends if send.instance_id.startswith('r-0-')]
        self.assertLessEqual(len(asked), 2)

    def test_refused_connection_does_not_count_as_an_attempt(self):
        driven = Gather()
        driven.fail(0, LinkFault.CONNECT_FAILED, was_sent=False)
        driven.fail(4)
        self.assertEqual(len(driven.sends), 5)
        self.assertEqual(driven.gateway.works[7].tasks[0].run_count, 1)

    def test_caller_that_left_gets_no_answer(self):
        driven = Gather()
        driven.deliver(CallerDisconnected(7))
        driven.wait(TIMEOUT_MS)
        self.assertFalse(driven.answers)
        self.assertEqual(len(driven.sends), 4)
