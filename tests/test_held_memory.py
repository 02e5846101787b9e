"""Memory that callers' connections hold: what is counted, and what is given up."""

import unittest

from nose2.tools import params

from beechbridge.daemon.held_memory import HeldMemory, Holding


class HeldMemoryTest(unittest.TestCase):
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
        memory = HeldMemory(100)
        for one in held:
            self.assertEqual(memory.hold(*one), [])
        given_up = memory.hold(*last)
        self.assertEqual([channel for channel, _ in given_up], expected)
        left = {channel: count for channel, count, _ in (*held, last) if channel not in expected}
        self.assertEqual(memory.held_bytes, sum(left.values()))

    def test_answers_that_were_sent_in_part_count_less(self):
        memory = HeldMemory(100)
        memory.hold('a', 90, 0)
        memory.shrink('a', 30)
        memory.shrink('b', 30)
        self.assertEqual((memory.held_bytes, len(memory.by_channel)), (30, 1))
        self.assertEqual(memory.hold('b', 70, 10), [])

    def test_answers_that_were_sent_are_not_counted(self):
        memory = HeldMemory(100)
        memory.hold('a', 60, 0)
        memory.hold('a', 70, 10)
        self.assertEqual(memory.by_channel, {'a': Holding(70, 0)})
        memory.release('a')
        memory.release('a')
        self.assertEqual((memory.held_bytes, memory.by_channel), (0, {}))
        self.assertEqual(memory.hold('b', 90, 20), [])

    # A request that was received in full may have run, so it must not be answered as not run.
    @params(('bc', ['b', 'c']), ('c', ['c']), ('', []))
    def test_only_what_may_be_is_given_up(self, allowed, expected):
        memory = HeldMemory(100, lambda channel: channel in allowed)
        memory.hold('a', 90, 0)
        memory.hold('b', 5, 10)
        given_up = memory.hold('c', 50, 20)
        self.assertEqual([channel for channel, _ in given_up], expected)
