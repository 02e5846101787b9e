"""Gather answers: one part per shard, correct coverage, the largest records, one table."""

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

    def __init__(self, shard_count=4, min_share=0.5, copies=2):
        emulator = start_sweeps(shard_count, min_share=min_share, copies=copies)
        super().__init__(emulator, REQUEST_ID, '/sweep/x', 'GET', TIMEOUT_MS)

    def reply(self, number, body=b'', request_id=REQUEST_ID, status=200, **fields):
        signature = fields.pop('signature', f'signature-{number}')
        self.end(Reply(status, [], body, signature, request_id, **fields), number)


def record(value):
    return bytes([value]) * 16


class MergeTest(unittest.TestCase):
    def test_answer_has_the_largest_records_of_all_parts(self):
        gather = Gather()
        gather.reply(0, record(1) + record(9) + b'rest')
        gather.reply(1, record(9) + record(5))
        gather.reply(2, b''.join(record(value) for value in range(10, 22)))
        self.assertFalse(gather.answers)
        gather.reply(3, b'')
        answer = gather.answers[0]
        expected = [record(value) for value in range(21, 11, -1)]
        self.assertEqual(answer.body, b''.join(expected))
        self.assertEqual(sorted(answer.signatures), [f'signature-{n}' for n in range(4)])
        self.assertEqual(answer.missing_count, 0)

    def test_equal_records_are_kept(self):
        gather = Gather()
        for number in range(4):
            gather.reply(number, record(3) * 2)
        self.assertEqual(gather.answers[0].body, record(3) * 8)

    @params(
        ({'request_id': 'another'},),
        ({'request_id': ''},),
        ({'signature': ''},),
        ({'status': 500},),
        ({'is_encoded': True},),
        ({'status': 503, 'is_rejected': True},),
    )
    def test_invalid_reply_is_not_merged(self, fields):
        gather = Gather(copies=1)
        for number in range(3):
            gather.reply(number, record(number))
        gather.reply(3, record(200), **fields)
        gather.wait(OBJECTIVE_MS)
        answer = gather.answers[0]
        self.assertEqual(answer.missing_count, 1)
        self.assertNotIn(record(200), answer.body)

    def test_hedge_of_a_shard_gives_one_part(self):
        gather = Gather()
        for number in range(3):
            gather.reply(number, record(number))
        gather.wait(80.0)
        self.assertEqual(len(gather.sends), 5)
        gather.reply(4, record(8))
        gather.reply(3, record(7))
        answer = gather.answers[0]
        self.assertEqual(len(gather.answers), 1)
        self.assertEqual(len(answer.signatures), 4)
        self.assertEqual(answer.missing_count, 0)

    def test_partial_answer_is_returned_at_the_latency_objective(self):
        gather = Gather()
        gather.reply(0, record(1))
        gather.reply(1, record(2))
        gather.wait(OBJECTIVE_MS - 20.0)
        self.assertFalse(gather.answers)
        gather.wait(20.0)
        self.assertIsInstance(gather.answers[0], MergedAnswer)
        self.assertEqual(gather.answers[0].missing_count, 2)

    def test_coverage_below_the_minimum_fails(self):
        gather = Gather(min_share=0.75)
        gather.reply(0, record(1))
        gather.reply(1, record(2))
        gather.wait(TIMEOUT_MS)
        answer = gather.answers[0]
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.reason, Reason.DEADLINE)
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_unreachable_minimum_coverage_fails_at_once(self):
        gather = Gather(min_share=1.0, copies=1)
        gather.reply(1, record(1))
        gather.fail(0)
        gather.wait(20.0)
        gather.fail(4)
        answer = gather.answers[0]
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_newer_table_does_not_change_a_running_gather(self):
        gather = Gather()
        for number in range(4, 6):
            gather.emulator.put_replica(f's-{number}', f'shard-{number}', 'brum-a')
        gather.emulator.put_table([sweep_route(6)], version=9)
        self.assertEqual(gather.gateway.table.version, 9)
        for number in range(4):
            gather.reply(number, record(number))
        self.assertEqual(len(gather.answers[0].signatures), 4)


class RepeatsTest(unittest.TestCase):
    def test_lost_exchange_is_repeated_at_the_other_replica(self):
        gather = Gather()
        gather.reply(1, record(1))
        gather.fail(0)
        self.assertEqual(len(gather.sends), 5)
        self.assertNotEqual(gather.sends[4].instance_id, gather.sends[0].instance_id)

    def test_exchange_lost_before_the_first_answer_is_repeated_after_it(self):
        gather = Gather()
        gather.fail(0)
        gather.wait(1.0)
        self.assertEqual(len(gather.sends), 4)
        gather.reply(1, record(1))
        gather.wait(1.0)
        self.assertEqual(len(gather.sends), 5)
        self.assertNotEqual(gather.sends[4].instance_id, gather.sends[0].instance_id)

    def test_no_more_replicas_are_asked_than_attempts_are_allowed(self):
        gather = Gather()
        gather.reply(1, record(1))
        gather.fail(0)
        gather.fail(4)
        gather.wait(100.0)
        asked = [send for send in gather.sends if send.instance_id.startswith('r-0-')]
        self.assertLessEqual(len(asked), 2)

    def test_refused_connection_does_not_count_as_an_attempt(self):
        gather = Gather()
        gather.fail(0, LinkFault.CONNECT_FAILED, was_sent=False)
        gather.fail(4)
        self.assertEqual(len(gather.sends), 5)
        self.assertEqual(gather.gateway.works[7].tasks[0].run_count, 1)

    def test_disconnected_caller_gets_no_answer(self):
        gather = Gather()
        gather.deliver(CallerDisconnected(7))
        gather.wait(TIMEOUT_MS)
        self.assertFalse(gather.answers)
        self.assertEqual(len(gather.sends), 4)
