"""A gather's answer: one part a shard, true coverage, the greatest records, one table."""

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

from .gateways import GOAL_MS, TIMEOUT_MS, HandDriven, start_sweeps, sweep_route

REQUEST_ID = 'request-of-the-test'


class Gather(HandDriven):
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
    def test_greatest_records_of_all_parts_with_equal_ones_counted(self):
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

    def test_equal_records_all_count(self):
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
    def test_what_is_no_answer_to_this_request_is_no_part(self, fields):
        driven = Gather(copies=1)
        for number in range(3):
            driven.reply(number, record(number))
        driven.reply(3, record(200), **fields)
        driven.wait(GOAL_MS)
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

    def test_answer_waits_for_the_goal_and_not_beyond(self):
        driven = Gather()
        driven.reply(0, record(1))
        driven.reply(1, record(2))
        driven.wait(GOAL_MS - 20.0)
        self.assertFalse(driven.answers)
        driven.wait(20.0)
        self.assertIsInstance(driven.answers[0], MergedAnswer)
        self.assertEqual(driven.answers[0].missing_count, 2)

    def test_below_the_least_share_nothing_is_a_success(self):
        driven = Gather(least_share=0.75)
        driven.reply(0, record(1))
        driven.reply(1, record(2))
        driven.wait(TIMEOUT_MS)
        answer = driven.answers[0]
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.reason, Reason.DEADLINE)
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_share_that_cannot_be_reached_fails_at_once(self):
        driven = Gather(least_share=1.0, copies=1)
        driven.fail(0)
        driven.wait(20.0)
        driven.fail(4)
        answer = driven.answers[0]
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_newer_table_leaves_a_running_gather_its_shards(self):
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

    def test_attempts_bound_the_replicas_that_may_have_run_it(self):
        driven = Gather()
        driven.fail(0)
        driven.fail(4)
        driven.wait(100.0)
        asked = [send for send in driven.sends if send.instance_id.startswith('r-0-')]
        self.assertLessEqual(len(asked), 2)

    def test_refused_connection_is_no_attempt(self):
        driven = Gather()
        driven.fail(0, LinkFault.CONNECT_FAILED, was_sent=False)
        driven.fail(4)
        self.assertEqual(len(driven.sends), 5)
        self.assertEqual(driven.gateway.works[7].tasks[0].run_count, 1)

    def test_caller_that_left_gets_nothing_more(self):
        driven = Gather()
        driven.tell(CallerDisconnected(7))
        driven.wait(TIMEOUT_MS)
        self.assertFalse(driven.answers)
        self.assertEqual(len(driven.sends), 4)
