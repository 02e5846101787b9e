"""Answers lost across many replicas: those that lose them are asked last."""

import unittest

from nose2.tools import params

from beechbridge.gateway.models import LinkFault

from .gateways import ManualRequest, drive, single_route, start_register


def start_lookup(emulator):
    return ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)


class LostAnswersTest(unittest.TestCase):
    # A replica that resets answers over kept connections must not stay as reliable as any; one
    # that closed a connection while it was idle has lost nothing.
    @params((60.0, True), (0.5, False))
    def test_loss_counts_only_if_the_replica_had_the_request(self, age_ms, is_counted):
        emulator = start_register(single_route('lookup'))
        drive(emulator, '/lookup/x', 10, 1, 4000.0)
        lookup = start_lookup(emulator)
        self.assertFalse(lookup.sends[0].is_new)
        state = lookup.gateway.upstreams.by_id[lookup.sends[0].instance_id]
        lookup.wait(age_ms)
        lookup.fail(0, LinkFault.LOST)
        self.assertEqual(state.loss_share > 0.0, is_counted)
        self.assertFalse(state.is_suspect(lookup.now_ms))

    # The next requests go to the replica that answers, although the other is as fast.
    def test_replica_that_loses_answers_is_asked_last(self):
        emulator = start_register(single_route('lookup'))
        drive(emulator, '/lookup/x', 10, 1, 4000.0)
        lookup = start_lookup(emulator)
        loser = lookup.sends[0].instance_id
        lookup.wait(60.0)
        lookup.fail(0, LinkFault.LOST)
        lookup.fail(1, LinkFault.CONNECT_FAILED, was_sent=False)
        self.assertNotEqual(start_lookup(emulator).sends[0].instance_id, loser)
