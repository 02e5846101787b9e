"""Answers that wait for slow callers: what is counted, and which of them are given up."""

import unittest

from nose2.tools import params

from beechbridge.daemon.unsent_answers import UnsentAnswer, UnsentAnswers


class UnsentAnswersTest(unittest.TestCase):
    # Few large answers that wait long are given up rather than many small or new ones.
    @params(
        ([('a', 40, 0), ('b', 40, 10)], ('c', 40, 20), ['a']),
        ([('a', 10, 0), ('b', 60, 10)], ('c', 40, 20), ['b']),
        ([('a', 50, 0), ('b', 50, 10)], ('c', 90, 20), ['a', 'b']),
        ([('a', 60, 0)], ('b', 500, 10), ['a']),
        ([], ('a', 500, 10), []),
        ([('a', 50, 0)], ('b', 50, 10), []),
        # The second answer over one connection waits as long as the first one.
        ([('a', 20, 0), ('b', 30, 10), ('a', 40, 20)], ('c', 40, 30), ['a']),
    )
    def test_costliest_answers_are_given_up(self, held, last, expected):
        unsent = UnsentAnswers(100)
        for one in held:
            self.assertEqual(unsent.hold(*one), [])
        given_up = unsent.hold(*last)
        self.assertEqual([channel for channel, _ in given_up], expected)
        left = {channel: count for channel, count, _ in (*held, last) if channel not in expected}
        self.assertEqual(unsent.held_bytes, sum(left.values()))

    def test_answers_that_were_sent_in_part_count_less(self):
        unsent = UnsentAnswers(100)
        unsent.hold('a', 90, 0)
        unsent.shrink('a', 30)
        unsent.shrink('b', 30)
        self.assertEqual((unsent.held_bytes, len(unsent.by_channel)), (30, 1))
        self.assertEqual(unsent.hold('b', 70, 10), [])

    def test_answers_that_were_sent_are_not_counted(self):
        unsent = UnsentAnswers(100)
        unsent.hold('a', 60, 0)
        unsent.hold('a', 70, 10)
        self.assertEqual(unsent.by_channel, {'a': UnsentAnswer(70, 0)})
        unsent.release('a')
        unsent.release('a')
        self.assertEqual((unsent.held_bytes, unsent.by_channel), (0, {}))
        self.assertEqual(unsent.hold('b', 90, 20), [])
