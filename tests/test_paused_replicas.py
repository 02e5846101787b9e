"""Replicas that reject a request and say for how long they want none of that VM."""

import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.models import MergedAnswer, Reply
from beechbridge.gateway.statements import Notice
from measure.stand_ins import ReplicaSpec

from .gateways import (
    OBJECTIVE_MS,
    REGIONS,
    ManualRequest,
    answer_of,
    drive,
    in_time_count,
    single_route,
    start_register,
    start_sweeps,
)

PAUSE_MS = 3_000.0
GRACE_MS = 500.0
MAX_REQUESTS = 2
"""Requests that may reach a replica between `GRACE_MS` after its rejection and the pause's end."""


def list_arrivals(emulator, replica_id):
    """Return the times at which requests reached a replica."""
    return [arrived_ms for arrived_ms, _ in emulator.replicas[replica_id].arrivals]


def pause(state, until_ms):
    """Let a replica want no requests until a time."""
    state.notices.paused_until_ms = until_ms
    state.notices.is_restricted = True


def reject(request, retry_after_ms, status=503):
    """Answer a request with a rejection that asks for a pause."""
    notice = Notice(retry_after_ms=retry_after_ms)
    request_id = request.sends[-1].request_id
    request.end(Reply(status, [], b'', request_id=request_id, is_rejected=True, notice=notice))


class PauseTest(unittest.TestCase):
    # A replica that asked for three seconds without requests got the next one at once.
    def test_replica_that_asks_for_a_pause_gets_one(self):
        emulator = start_sweeps(20, zones=REGIONS[:1])
        drive(emulator, '/sweep/x', 45, 3)
        spec = emulator.replicas['r-0-0'].spec
        spec.reject_share, spec.retry_after_ms = 1.0, PAUSE_MS
        emulator.replicas['r-0-0'].arrivals.clear()
        asked = drive(emulator, '/sweep/x', 45, 12)
        arrivals = list_arrivals(emulator, 'r-0-0')
        self.assertGreaterEqual(len(arrivals), 4)
        for rejected_ms in arrivals:
            paused = range(round(rejected_ms + GRACE_MS), round(rejected_ms + PAUSE_MS))
            count = sum(round(arrived_ms) in paused for arrived_ms in arrivals)
            self.assertLessEqual(count, MAX_REQUESTS)
        self.assertGreaterEqual(in_time_count(emulator, asked, MergedAnswer), 0.95 * len(asked))

    # A pause is for the VM that was rejected, not for the others.
    def test_pause_concerns_only_the_vm_that_was_rejected(self):
        emulator = start_sweeps(10, zones=(REGIONS[0], REGIONS[0]))
        drive(emulator, '/sweep/x', 20, 2)
        state = emulator.vms[0].gateway.upstreams.by_id['r-0-0']
        pause(state, emulator.now_ms + 5_000.0)
        emulator.replicas['r-0-0'].arrivals.clear()
        drive(emulator, '/sweep/x', 20, 3)
        self.assertGreater(len(list_arrivals(emulator, 'r-0-0')), 10)

    # Nothing can be sent before the first pause ends: the caller learns when that is, at once.
    @params((1_000.0, 4_000.0), (4_000.0, 2_000.0))
    def test_request_is_rejected_until_the_first_replica_takes_requests_again(self, *pauses_ms):
        emulator = start_register(single_route('lookup'))
        gateway = emulator.vms[0].gateway
        for number, pause_ms in enumerate(pauses_ms):
            state = gateway.upstreams.by_id[f'r-{number}']
            pause(state, emulator.now_ms + pause_ms)
        request = ManualRequest(emulator, 'a', '/lookup/x', 'GET', 4_000.0)
        self.assertEqual(request.sends, [])
        answer = request.answers[0]
        self.assertEqual(
            (answer.executed, answer.reason), (Executed.NOT_RUN, Reason.REPLICAS_BUSY)
        )
        self.assertGreaterEqual(answer.retry_after_ms, min(pauses_ms))
        self.assertLessEqual(answer.retry_after_ms, 2 * min(pauses_ms))

    # Both replicas reject one request: it is not sent again to either, nor held back.
    def test_request_that_all_replicas_paused_is_answered_at_once(self):
        emulator = start_register(single_route('lookup'))
        request = ManualRequest(emulator, 'a', '/lookup/x', 'GET', 4_000.0)
        reject(request, 2_000.0)
        self.assertEqual(len(request.sends), 2)
        reject(request, 3_000.0)
        self.assertEqual(len(request.sends), 2)
        answer = request.answers[0]
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertGreaterEqual(answer.retry_after_ms, 2_000.0)

    def test_pause_of_no_time_is_none(self):
        emulator = start_register(single_route('lookup'), replica_count=1)
        request = ManualRequest(emulator, 'a', '/lookup/x', 'GET', 4_000.0)
        reject(request, 0.0)
        self.assertFalse(emulator.vms[0].gateway.notices.changes)
        self.assertEqual(request.answers, [])

    # A pause of a year must not lock a replica out.
    def test_long_pause_is_cut(self):
        emulator = start_register(single_route('lookup'), replica_count=1)
        request = ManualRequest(emulator, 'a', '/lookup/x', 'GET', 4_000.0)
        reject(request, 3e10)
        emulator.run(61_000.0)
        later = ManualRequest(emulator, 'b', '/lookup/x', 'GET', 4_000.0)
        self.assertEqual(len(later.sends), 1)

    # Shards whose copies all ask for a pause are missing from the start; nobody waits for them.
    @params((1, MergedAnswer), (3, Failure))
    def test_gather_does_not_wait_for_paused_shards(self, shard_count, answer_type):
        emulator = start_sweeps(10, zones=REGIONS[:1], min_share=0.85)
        drive(emulator, '/sweep/x', 20, 2)
        states = emulator.vms[0].gateway.upstreams.by_id
        for shard in range(shard_count):
            for number in range(2):
                state = states[f'r-{shard}-{number}']
                pause(state, emulator.now_ms + 60_000.0)
        for vm, key, asked_ms in drive(emulator, '/sweep/x', 20, 2):
            answered_ms, answer = answer_of(emulator, vm, key)
            self.assertIsInstance(answer, answer_type)
            if answer_type is Failure:
                self.assertEqual(answered_ms, asked_ms)
                continue
            self.assertEqual(answer.missing_count, shard_count)
            self.assertLessEqual(answered_ms - asked_ms, OBJECTIVE_MS * 2 / 3)


class SpecTest(unittest.TestCase):
    def test_only_rejections_ask_for_a_pause(self):
        spec = ReplicaSpec(retry_after_ms=100.0)
        self.assertIsNone(spec.make_notice(is_rejection=False))
        self.assertEqual(spec.make_notice(is_rejection=True), Notice(retry_after_ms=100.0))
