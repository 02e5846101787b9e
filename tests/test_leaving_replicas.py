"""Replicas that state in their replies that they are about to stop."""

import copy
import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.models import MergedAnswer
from measure.stand_ins import ReplicaSpec

from .gateways import REGIONS, answer_of, drive, in_time_count, start_sweeps

DRAIN_MS = 3_000.0
"""Time after a VM was told from which no request of it may reach the replica."""


def leave(emulator, *replica_ids):
    """Make replicas state that they leave; their entries in the store say nothing of it."""
    for replica_id in replica_ids:
        emulator.replicas[replica_id].leave(emulator.now_ms)


class LeavingTest(unittest.TestCase):
    # The store may be silent about a replica that leaves for as long as it likes.
    @params(1, 3, 8)
    def test_replica_that_says_it_leaves_gets_no_more_requests(self, vm_count):
        zones = tuple(REGIONS[number % 3] for number in range(vm_count))
        emulator = start_sweeps(20, zones=zones)
        drive(emulator, '/sweep/x', 45, 3)
        leaving = ('r-0-0', 'r-5-1', 'r-7-0')
        leave(emulator, *leaving)
        asked = drive(emulator, '/sweep/x', 45, 14)
        for replica_id in leaving:
            log = emulator.replicas[replica_id].notice_log
            self.assertTrue(log.told_ms)
            self.assertEqual(log.list_informed(DRAIN_MS), [])
        self.assertGreaterEqual(in_time_count(emulator, asked, MergedAnswer), 0.95 * len(asked))

    # What a replica said holds for its incarnation; its entry may vanish and return.
    @params(('same', False), ('restarted', True))
    def test_leaving_holds_until_the_replica_starts_again(self, name, is_used):
        emulator = start_sweeps(5, zones=REGIONS[:1])
        drive(emulator, '/sweep/x', 20, 2)
        leave(emulator, 'r-0-0')
        drive(emulator, '/sweep/x', 20, 2)
        replica = emulator.replicas['r-0-0']
        replica.spec.is_leaving = False
        entry = copy.copy(replica.entry)
        if name == 'restarted':
            entry.started_ms += 1
        emulator.remove_entry('r-0-0')
        emulator.run(100.0)
        emulator.publish_entry(entry)
        replica.arrivals.clear()
        drive(emulator, '/sweep/x', 20, 3)
        self.assertEqual(bool(replica.arrivals), is_used)

    # With no other copy left a request cannot be served: its caller is told so at once.
    def test_request_is_rejected_at_once_when_all_copies_leave(self):
        emulator = start_sweeps(10, spec=ReplicaSpec)
        drive(emulator, '/sweep/x', 45, 2)
        leave(emulator, 'r-0-0', 'r-0-1', 'r-1-0', 'r-1-1')
        drive(emulator, '/sweep/x', 45, 4)
        for vm, key, asked_ms in drive(emulator, '/sweep/x', 20, 2):
            answered_ms, answer = answer_of(emulator, vm, key)
            self.assertIsInstance(answer, Failure)
            self.assertEqual(
                (answer.executed, answer.reason), (Executed.NOT_RUN, Reason.NO_REPLICA)
            )
            self.assertIsNotNone(answer.retry_after_ms)
            self.assertEqual(answered_ms, asked_ms)
