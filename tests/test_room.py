"""Requests that compete for too few slots: which are sent, which wait, which are rejected."""

import itertools
import math
import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Reason
from beechbridge.gateway.models import ForwardedAnswer
from beechbridge.gateway.replicas.load_reports import ReplicaLoad
from beechbridge.gateway.requests.room import (
    FAIR_TURN,
    INTERVAL_REPLIES,
    MIN_RETURN_MS,
    Room,
    take_next,
)
from beechbridge.gateway.requests.room_queue import adjust_room, room_of
from beechbridge.gateway.requests.sending import dispatch_task
from beechbridge.gateway.statements import LoadReport

from .gateways import ManualRequest, single_route, start_register, start_sweeps

WORK_MS = 20.0


def room_with(limit, sent_count=0):
    """Return room for some requests, of which some are taken."""
    room = Room()
    room.limit = limit
    for _ in range(sent_count):
        room.begin()
    return room


def is_single(entry):
    """Return False: no entry is exempt from the limit."""
    return False


class LimitTest(unittest.TestCase):
    # Without a limit replicas queue all that comes, first come, first served; a limit that falls
    # without end leaves their slots empty.
    @params(
        (6.0, 6, 20.0, 0, 1.0, 6.5, 6.5),
        (6.0, 6, 28.0, 0, 1.0, 6.5, 6.5),
        (6.0, 6, 60.0, 0, 1.0, 3.0, 5.0),
        (6.0, 6, 5_000.0, 0, 5.0, 5.0, 5.0),
        (6.0, 6, 20.0, 8, 1.0, 3.0, 5.0),
        (6.0, 2, 20.0, 0, 1.0, 6.0, 6.0),
        (math.inf, 6, 60.0, 0, 1.0, 3.0, 5.0),
        (1.0, 1, 5_000.0, 0, 0.5, 1.0, 1.2),
    )
    def test_limit_follows_the_latency(
        self, limit, sent_count, latency_ms, rejected_count, floor, least, most
    ):
        room = room_with(limit, sent_count)
        for _ in range(rejected_count):
            room.record_rejection()
        while not room.is_due:
            room.record(latency_ms, WORK_MS)
        room.adjust(floor)
        self.assertGreaterEqual(room.limit, least)
        self.assertLessEqual(room.limit, most)

    # An urgent request that waits for the end of long work misses its goal.
    @params((3, False, False), (3, True, True), (5, True, False), (2, False, True))
    def test_most_urgent_class_has_room_beyond_the_limit(self, sent_count, is_urgent, has_room):
        self.assertEqual(room_with(3.0, sent_count).has_room(is_urgent), has_room)


class QueueTest(unittest.TestCase):
    # Requests were taken by their deadline alone once it had passed, and long ones never.
    def test_order_is_by_priority_then_by_goals_that_can_be_met(self):
        queue = [(1, 50.0, 0), (0, 300.0, 1), (1, 200.0, 2), (0, 250.0, 3), (1, 150.0, 4)]
        room = room_with(1.0)
        taken = [take_next(queue, room, is_single, 100.0) for _ in range(6)]
        self.assertEqual([entry and entry[2] for entry in taken], [3, 1, 4, 2, 0, None])

    # Sustained urgent load starved the other classes; more than 5 in 100 is too much for them.
    def test_less_urgent_class_gets_a_share_and_no_more(self):
        numbers = itertools.count()
        room = room_with(1.0)
        queue = [(1, 900.0, next(numbers)) for _ in range(50)]
        counts = [0, 0]
        for _ in range(20 * FAIR_TURN):
            queue.append((0, 500.0, next(numbers)))
            queue.append((0, 500.0, next(numbers)))
            counts[take_next(queue, room, is_single, 100.0)[0]] += 1
        self.assertGreater(counts[1], 0)
        self.assertLessEqual(counts[1], 0.05 * sum(counts))

    # While urgent requests used all room beyond the limit, the turn of another class found none:
    # it was queued again, the class starved, and the room stayed unused.
    def test_turn_of_a_less_urgent_class_includes_the_room(self):
        room = room_with(4.0, 4)
        room.most_urgent = 0
        queue = [(1, 900.0, 0), (1, 900.0, 1)]
        self.assertIsNone(take_next(queue, room, is_single, 100.0))
        for number in range(2, 2 + FAIR_TURN):
            queue.append((0, 500.0, number))
        taken = [take_next(queue, room, is_single, 100.0)[0] for _ in range(FAIR_TURN)]
        self.assertEqual(taken, [0] * (FAIR_TURN - 1) + [1])

    # Turns of a class that is served anyway delayed the more urgent ones without need.
    def test_class_that_is_served_anyway_gets_no_turn(self):
        numbers = itertools.count()
        room = room_with(4.0)
        queue = []
        for _ in range(FAIR_TURN):
            queue += [(1, 900.0, next(numbers)), (0, 500.0, next(numbers))]
            taken = [take_next(queue, room, is_single, 100.0)[0] for _ in range(2)]
            self.assertEqual(taken, [0, 1])

    # A gather's part, for which a connection had become free, waited for room that it needs not.
    def test_part_of_a_gather_does_not_wait_for_room(self):
        queue = [(0, 500.0, 0), (1, 900.0, 1)]
        room = room_with(1.0, 3)
        self.assertEqual(take_next(queue, room, lambda entry: entry[0] == 1, 100.0)[2], 1)
        self.assertIsNone(take_next(queue, room, lambda entry: entry[0] == 1, 100.0))


class ReturnTest(unittest.TestCase):
    # Rejected clients that all return at once are all rejected again.
    @params((2.0, 50.0), (4.0, 25.0))
    def test_clients_return_at_the_rate_that_can_be_served(self, limit, gap_ms):
        room = room_with(limit)
        returns_ms = [room.schedule_return_ms(1, 50.0, 4_000.0, 1_000.0) for _ in range(20)]
        self.assertEqual(returns_ms[0], MIN_RETURN_MS)
        for earlier_ms, later_ms in itertools.pairwise(returns_ms):
            self.assertAlmostEqual(later_ms - earlier_ms, gap_ms)
        self.assertEqual(room.schedule_return_ms(0, 50.0, 4_000.0, 1_000.0), MIN_RETURN_MS)

    # A client that is told to return when its time is over cannot be served any more.
    def test_client_returns_while_it_has_time(self):
        room = room_with(1.0)
        returns_ms = [room.schedule_return_ms(1, 100.0, 600.0, 0.0) for _ in range(50)]
        self.assertEqual(max(returns_ms), 300.0)


class GatewayTest(unittest.TestCase):
    def start(self, limit, sent_count, is_in_force=True):
        emulator = start_register(single_route('lookup'))
        gateway = emulator.vms[0].gateway
        gateway.answer_time.is_in_force = is_in_force
        gateway.rooms['register'] = room_with(limit, sent_count)
        gateway.rooms['register'].most_urgent = 0
        return emulator, gateway

    # A request waited for room until its deadline, which told its client too late.
    @params((3, 4_000.0, True, 'waits'), (3, 20.0, True, 'rejected'), (3, 4_000.0, False, 'sent'))
    def test_request_without_room_waits_or_is_rejected(
        self, sent_count, timeout_ms, is_in_force, outcome
    ):
        emulator, gateway = self.start(3.0, sent_count, is_in_force)
        request = ManualRequest(emulator, 'a', '/lookup/x', 'GET', timeout_ms)
        self.assertEqual(len(request.sends), int(outcome == 'sent'))
        self.assertEqual(len(gateway.waiting.get('register', ())), int(outcome == 'waits'))
        self.assertEqual(len(request.answers), int(outcome == 'rejected'))
        if request.answers:
            answer = request.answers[0]
            self.assertIs(answer.executed, Executed.NOT_RUN)
            self.assertIs(answer.reason, Reason.OVERLOADED)

    # Room that a client left behind stayed unused until the next reply.
    def test_room_of_a_client_that_left_is_given_on(self):
        emulator, gateway = self.start(1.0, 0)
        keys = [emulator.send_request(0, '/lookup/x', 4_000.0) for _ in range(2)]
        self.assertEqual(len(gateway.waiting['register']), 1)
        emulator.disconnect_caller(0, keys[0])
        self.assertEqual(gateway.waiting['register'], [])
        emulator.run(1_000.0)
        self.assertIsInstance(emulator.vms[0].answers[keys[1]][1], ForwardedAnswer)
        self.assertEqual(room_of('register', gateway).sent_count, 0)

    # A task that was sent while it was queued counted as waiting for ever: after a failure it was
    # neither sent again nor ended.
    def test_queued_task_that_was_sent_waits_no_longer(self):
        emulator, gateway = self.start(1.0, 1)
        emulator.send_request(0, '/lookup/x', 4_000.0)
        (entry,) = gateway.waiting['register']
        task = entry[3]
        task.is_next = True
        self.assertTrue(dispatch_task(task, gateway))
        task.is_next = False
        gateway.dispatch_waiting('register')
        self.assertEqual(gateway.waiting['register'], [])
        self.assertFalse(task.is_waiting)

    # A class that got its turn was held back by the limit.
    def test_turn_is_not_held_back_by_the_limit(self):
        emulator, gateway = self.start(1.0, 1)
        room = room_of('register', gateway)
        emulator.send_request(0, '/lookup/x', 4_000.0)
        (entry,) = gateway.waiting['register']
        room.turn = FAIR_TURN - 1
        urgent = emulator.send_request(0, '/lookup/y', 4_000.0)
        (other,) = [queued for queued in gateway.waiting['register'] if queued is not entry]
        gateway.waiting['register'].remove(other)
        gateway.waiting['register'].append((0, *other[1:]))
        gateway.dispatch_waiting('register')
        self.assertEqual(len(entry[3].exchanges), 1)
        self.assertEqual(gateway.works[urgent].exchanges, [])

    # Two slots a replica were assumed: where replicas have 8 and the work of a route varies, the
    # limit fell to 4 of 16 slots, and requests waited while 12 slots were free.
    @params((None, 1, 4.0), (None, 8, 16.0), (LoadReport(1, 0, 6), 8, 12.0))
    def test_limit_does_not_fall_below_the_slots(self, report, slots, floor):
        _, gateway = self.start(20.0, 20)
        room = room_of('register', gateway)
        for state in gateway.upstreams.usable('register'):
            state.entry.slots = slots
            if report is not None:
                state.work.load = ReplicaLoad(report, 0, gateway.now_ms)
        for _ in range(20 * INTERVAL_REPLIES):
            room.record(4.0 * WORK_MS, WORK_MS)
            room.sent_count = room.peak_count = int(room.limit)
            adjust_room('register', gateway)
        self.assertGreaterEqual(room.limit, floor)

    # If the request taken from the queue had to wait for a retry and was then ended, no reply was
    # outstanding that would have woken those behind it: they waited until their deadline.
    def test_queue_is_emptied_if_nothing_is_in_flight(self):
        emulator, gateway = self.start(1.0, 1)
        keys = [emulator.send_request(0, '/lookup/x', 4_000.0) for _ in range(3)]
        room_of('register', gateway).end()
        emulator.run(1_000.0)
        self.assertEqual(gateway.waiting['register'], [])
        for key in keys:
            self.assertIsInstance(emulator.vms[0].answers[key][1], ForwardedAnswer)

    # Rooms of services that a table no longer has were kept for good, and a class whose routes had
    # been removed kept the room beyond the limit from the one that was now the most urgent.
    @params((0, {'register'}), (1, {'register', 'gone'}))
    def test_new_table_drops_rooms(self, sent_count, left):
        emulator, gateway = self.start(1.0, 1)
        gateway.rooms['gone'] = room_with(1.0, sent_count)
        emulator.put_table([single_route('lookup')], version=2)
        emulator.run(1_000.0)
        self.assertEqual(set(gateway.rooms), left)
        self.assertEqual(room_of('register', gateway).sent_count, 1)
        emulator.send_request(0, '/lookup/x', 4_000.0)
        self.assertEqual(room_of('register', gateway).sent_count, 2)

    # Parts of gathers, which do not keep to the limit, used it up: other requests to the same
    # service waited until their deadline, and without their replies the limit never grew.
    def test_parts_of_gathers_take_no_room(self):
        emulator = start_sweeps(4)
        gateway = emulator.vms[0].gateway
        gateway.answer_time.is_in_force = True
        service = 'shard-0'
        gateway.rooms[service] = room_with(1.0)
        emulator.send_request(0, '/sweep/x', 4_000.0)
        self.assertTrue(gateway.upstreams.exchanges)
        self.assertEqual(room_of(service, gateway).sent_count, 0)
        room_of(service, gateway).begin()
        emulator.run(2_000.0)
        self.assertFalse(gateway.upstreams.exchanges)
        self.assertEqual(room_of(service, gateway).sent_count, 1)

    # A count that is not given back at each end would shut a service for good.
    def test_all_room_is_given_back(self):
        emulator, gateway = self.start(math.inf, 0)
        emulator.replicas['r-0'].spec.reject_share = 0.5
        emulator.replicas['r-1'].spec.queue_limit = 0
        for _ in range(20 * INTERVAL_REPLIES):
            emulator.send_request(0, '/lookup/x', 400.0)
            emulator.run(30.0)
        emulator.run(6_000.0)
        self.assertEqual(room_of('register', gateway).sent_count, 0)
        self.assertLess(room_of('register', gateway).limit, math.inf)
