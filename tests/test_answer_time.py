"""Gathers with short goals: when they are answered, hedged, and which replicas are avoided."""

import hashlib
import unittest

from nose2.tools import params

from beechbridge.daemon.answer_clock import time_answer
from beechbridge.gateway.actions import AnswerRequest
from beechbridge.gateway.events import (
    AnswerWritten,
    RequestReceived,
    SettingsReloaded,
    TimerDue,
)
from beechbridge.gateway.models import CallerRequest, MergedAnswer, Reply
from beechbridge.gateway.requests.answer_time import (
    CLIENT_LINK_MS,
    SAMPLE_COUNT,
    AnswerTime,
    Attempt,
    choose_wait_ms,
    part_chance,
)
from beechbridge.gateway.requests.gather_timing import (
    ANSWER_MARGIN_MS,
    is_hopeless,
    timely_delay_ms,
)
from beechbridge.gateway.requests.pauses import avoided_replicas
from beechbridge.platform.settings import parse_settings
from measure.stand_ins import ReplicaSpec

from .gateways import HOST, OBJECTIVE_MS, REGIONS, TIMEOUT_MS, ManualRequest, drive, start_sweeps
from .test_front import HEAD, Front, read_response
from .test_gather import Gather
from .test_platform_items import SETTINGS

PAUSED = Attempt(80.0, 25.0, 40.0)
FRESH = Attempt(20.0, 25.0, 40.0)
UNKNOWN = Attempt(400.0, 25.0, 40.0)
UNTIMED_DIGEST = '64b6a3dd9f669b70'
"""Answers of the seed below as they were before answers could be timed."""


def learned(*delays_ms):
    """Return delays of which each occurs equally often."""
    times = AnswerTime(is_in_force=True)
    for number in range(SAMPLE_COUNT):
        times.add(delays_ms[number % len(delays_ms)])
    return times


class ChooseWaitTest(unittest.TestCase):
    # Waiting for parts of paused replicas until the last moment lost half of all answers, and
    # answering at once would lose the parts that are about to arrive.
    @params(
        (86, [[PAUSED]] * 4, 10.0, (2.0, 6.0, 10.0), 0.0, 0.0),
        (86, [[UNKNOWN]] * 4, 10.0, (2.0, 6.0, 10.0), 0.0, 0.0),
        (86, [[PAUSED]] * 4, 30.0, (2.0, 6.0, 10.0), 2.0, 20.0),
        (86, [[PAUSED]] * 4, 10.0, (2.0,), 2.0, 8.0),
        (86, [[PAUSED, FRESH]] * 4, 6.0, (2.0, 6.0, 10.0), 0.0, 0.0),
        (60, [[FRESH]] * 30, 18.0, (2.0, 6.0, 10.0), 6.0, 16.0),
        (90, [], 30.0, (2.0,), 0.0, 0.0),
        (86, [[FRESH]] * 4, -1.0, (2.0,), 0.0, 0.0),
    )
    def test_wait_weighs_parts_to_come_against_a_late_answer(
        self, part_count, open_parts, left_ms, delays_ms, least_ms, most_ms
    ):
        wait_ms = choose_wait_ms(part_count, open_parts, 90, left_ms, learned(*delays_ms))
        self.assertGreaterEqual(wait_ms, least_ms)
        self.assertLessEqual(wait_ms, most_ms)

    # A silent replica must not be expected to answer as soon as one that was just asked.
    @params((FRESH, 10.0, 0.4, 0.6), (PAUSED, 10.0, 0.0, 0.1), (UNKNOWN, 10.0, 0.0, 0.1))
    def test_silent_attempt_is_expected_late(self, attempt, wait_ms, least, most):
        chance = part_chance([attempt], wait_ms)
        self.assertGreaterEqual(chance, least)
        self.assertLessEqual(chance, most)
        self.assertGreater(part_chance([attempt, FRESH], wait_ms), chance)

    # The delays of a busy minute must not shorten the goals of the idle hour after it.
    def test_old_delays_are_forgotten(self):
        times = learned(40.0)
        self.assertEqual(times.quantile_ms(0.95), 40.0)
        for _ in range(SAMPLE_COUNT):
            times.add(3.0)
        self.assertEqual((times.quantile_ms(0.95), times.share_within(3.0)), (3.0, 1.0))


def ask(emulator, read_ms):
    """Send one gather whose first byte was read at a time; return its work."""
    gateway = emulator.vms[0].gateway
    request = CallerRequest('a', 'GET', '/sweep/x', HOST, '/sweep/x', [], b'', TIMEOUT_MS)
    gateway.handle(RequestReceived(7, request, read_ms), emulator.now_ms)
    return gateway.works[7]


class DeadlineTest(unittest.TestCase):
    # An answer that was due at the goal less a fixed 12 ms came too late from a busy VM.
    @params((0.0, 5.0), (0.0, 30.0), (20.0, 5.0))
    def test_deadline_leaves_the_measured_time(self, unread_ms, delay_ms):
        emulator = start_sweeps(4)
        gateway = emulator.vms[0].gateway
        gateway.answer_time.is_in_force = True
        for _ in range(SAMPLE_COUNT):
            gateway.handle(AnswerWritten(delay_ms), emulator.now_ms)
        work = ask(emulator, emulator.now_ms - unread_ms)
        left_ms = work.soft_at_ms - emulator.now_ms
        self.assertAlmostEqual(left_ms, OBJECTIVE_MS - CLIENT_LINK_MS - unread_ms - delay_ms)

    # Without the rules in force, deadlines stay at the fixed margin, whatever was measured.
    def test_deadline_is_fixed_elsewhere(self):
        emulator = start_sweeps(4)
        work = ask(emulator, emulator.now_ms - 20.0)
        self.assertAlmostEqual(work.soft_at_ms - emulator.now_ms, OBJECTIVE_MS - ANSWER_MARGIN_MS)
        self.assertIsNone(work.written_by_ms)

    # A gather that waited for two paused shards of twenty until the last moment came too late.
    def test_gather_is_answered_before_the_risk(self):
        emulator = start_sweeps(20, zones=REGIONS[:1], min_share=0.5)
        gather = ManualRequest(emulator, 'a', '/sweep/x', 'GET', TIMEOUT_MS)
        gather.gateway.answer_time = learned(2.0, 6.0, 10.0, 14.0)
        work = gather.gateway.works[gather.key]
        work.written_by_ms = work.arrived_ms + 100.0
        for number in range(18):
            gather.end(Reply(200, [], b'', f's{number}', 'a'), number)
        answered_ms = None
        while answered_ms is None and gather.now_ms < work.written_by_ms:
            gather.now_ms += 1.0
            for action in gather.gateway.handle(TimerDue(), gather.now_ms):
                if isinstance(action, AnswerRequest):
                    answered_ms, answer = gather.now_ms, action
        self.assertLess(answered_ms, work.written_by_ms - 10.0)
        self.assertGreater(answered_ms, work.written_by_ms - 25.0)
        self.assertLessEqual(answer.due_ms, answered_ms)

    # Without the rules in force, every decision of a seed stays as it was.
    def test_untimed_answers_are_unchanged(self):
        emulator = start_sweeps(
            20, spec=lambda: ReplicaSpec(pause_ms=250.0, pause_every_ms=6_000.0), seed=11
        )
        drive(emulator, '/sweep/x', 30, 8)
        digest = hashlib.sha256()
        for vm in emulator.vms:
            for key, (at_ms, answer) in sorted(vm.answers.items()):
                digest.update(repr((key, round(at_ms, 6), answer.signatures)).encode())
            counters = vm.gateway.counters
            digest.update(repr((counters.total('repeats'), counters.get('hedges'))).encode())
        self.assertEqual(digest.hexdigest()[:16], UNTIMED_DIGEST)


class HedgeTest(unittest.TestCase):
    def setUp(self):
        self.gather = Gather(4, min_share=0.5)
        self.gateway = self.gather.gateway
        self.gateway.answer_time.is_in_force = True
        self.work = self.gateway.works[self.gather.key]
        self.task = next(task for task in self.work.tasks if task.exchanges)
        self.exchange = self.task.exchanges[0]

    # A hedge after twice the typical latency, or later for want of budget, missed the goal.
    @params((200.0, 200.0), (60.0, 200.0), (30.0, 200.0), (60.0, 20.0))
    def test_hedge_leaves_time_for_its_answer(self, left_ms, usual_ms):
        self.work.soft_at_ms = self.exchange.sent_ms + left_ms
        name, distance = self.work.route.name, self.exchange.replica.distance
        delay_ms = timely_delay_ms(self.exchange, usual_ms, self.gateway)
        typical_ms = self.gateway.upstreams.typical_ms(name, distance)
        late_ms = self.gateway.upstreams.late_ms(name, distance)
        self.assertLessEqual(delay_ms, min(usual_ms, late_ms))
        self.assertGreaterEqual(delay_ms, min(usual_ms, typical_ms))

    # Budget spent on a hedge that comes after the answer is missing for the next request.
    @params((5.0, 4, True), (200.0, 4, False), (5.0, 0, False))
    def test_hedge_that_comes_too_late_is_not_sent(self, left_ms, part_count, is_late):
        self.work.soft_at_ms = self.gateway.now_ms + left_ms
        self.work.written_by_ms = None
        self.work.answered_count = part_count
        self.assertEqual(is_hopeless(self.task, self.gateway), is_late)

    # Requests went on to a replica in its pause until it was suspect, when the pause was over.
    @params((10.0, False), (100.0, True), (360.0, False))
    def test_silent_replica_is_avoided_while_it_pauses(self, silent_ms, is_avoided):
        self.gateway.now_ms = self.exchange.sent_ms + silent_ms
        self.exchange.stalled_at_ms = self.gateway.now_ms + 1_000.0
        avoided = avoided_replicas(self.task, self.gateway)
        self.assertEqual(id(self.exchange.replica) in avoided, is_avoided)

    # A replica that accepts no request now is no alternative: the task was sent to neither one.
    def test_replica_is_not_avoided_for_one_that_accepts_nothing(self):
        self.gateway.now_ms = self.exchange.sent_ms + 100.0
        self.exchange.stalled_at_ms = self.gateway.now_ms + 1_000.0
        for state in self.gateway.upstreams.by_service[self.task.service]:
            if state is not self.exchange.replica:
                state.notices.is_restricted = True
                state.notices.paused_until_ms = self.gateway.now_ms + 500.0
        self.assertNotIn(id(self.exchange.replica), avoided_replicas(self.task, self.gateway))

    # A replica without an alternative is used, and one that has answered is not avoided.
    def test_replica_is_not_avoided_in_vain(self):
        self.gateway.now_ms = self.exchange.sent_ms + 100.0
        others = [
            state
            for state in self.gateway.upstreams.by_service[self.task.service]
            if state is not self.exchange.replica
        ]
        self.task.excluded_replicas.update(id(state) for state in others)
        self.assertNotIn(id(self.exchange.replica), avoided_replicas(self.task, self.gateway))
        self.task.excluded_replicas.clear()
        self.exchange.replica.replied_ms = self.gateway.now_ms - 1.0
        self.assertEqual(avoided_replicas(self.task, self.gateway), set())


class DriverTest(unittest.TestCase):
    # The time until an answer's bytes are written was assumed rather than measured.
    def test_server_reports_when_it_read_and_wrote(self):
        front = Front()
        self.addCleanup(front.close)
        with front.connect() as sock:
            sock.sendall(f'{HEAD}\r\n'.encode())
            event = front.next_event()
            answer = MergedAnswer(b'', ['s'], 0)
            action = AnswerRequest(event.key, answer, event.read_ms - 1_000.0)
            time_answer(action, front.app)
            front.app.deliver(action.key, answer)
            read_response(sock)
            written = front.next_event()
        self.assertIsInstance(written, AnswerWritten)
        self.assertGreaterEqual(written.delay_ms, 1_000.0)

    @params(
        ('contracts = ["places"]\n', True),
        ('contracts = ["a", "pressure"]\n', True),
        ('contracts = ["a"]\n', False),
        ('', False),
    )
    def test_contracts_put_the_rules_in_force(self, line, is_in_force):
        settings = parse_settings(line + SETTINGS, 'a.toml')
        self.assertEqual(settings.has_short_goals, is_in_force)
        gateway = start_sweeps(2).vms[0].gateway
        gateway.answer_time.is_in_force = not is_in_force
        gateway.handle(SettingsReloaded(settings), gateway.now_ms)
        self.assertEqual(gateway.answer_time.is_in_force, is_in_force)
