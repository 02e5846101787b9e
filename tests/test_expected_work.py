"""The choice of replicas by expected work: costs, load reports, completion times, scenarios."""

import random
import unittest
from collections import Counter

from nose2.tools import params

from beechbridge.gateway.models import ReplicaEntry
from beechbridge.gateway.replicas import work_costs
from beechbridge.gateway.replicas.connections import Exchange
from beechbridge.gateway.replicas.expected_work import (
    choose_least_completion,
    choose_soonest,
    estimate_completion_ms,
)
from beechbridge.gateway.replicas.load_reports import ReplicaLoad
from beechbridge.gateway.replicas.upstreams import ReplicaState
from beechbridge.gateway.replicas.work_costs import Demand, WorkBook
from beechbridge.gateway.statements import LoadReport

from .gateways import single_route, start_register

NOW_MS = 50_000.0
SOON_MS = 1e9


def replica(name='a', report=None, age_ms=0.0, slots=2, distance=0, own=0):
    entry = ReplicaEntry(name, 's', 'h', 1, 'z', slots)
    state = ReplicaState(entry, distance, NOW_MS)
    state.replied_ms = NOW_MS
    if report is not None:
        state.work.load = ReplicaLoad(LoadReport(*report), own, NOW_MS - age_ms)
    return state


def occupy(state, cost_ms, age_ms=0.0, expected_ms=None):
    number = len(state.busy) + 1
    exchange = Exchange(number, state, None, number, False, NOW_MS - age_ms, NOW_MS + 1e6)
    exchange.cost_ms = cost_ms
    exchange.expected_ms = cost_ms if expected_ms is None else expected_ms
    state.busy[number] = exchange
    return state


def completion_ms(state, cost_ms=10.0, mean_ms=10.0, **fields):
    return estimate_completion_ms(state, Demand(cost_ms, 0.0, mean_ms, **fields), NOW_MS)


def shares_of(candidates, count=400):
    """Return how often each replica is chosen, each time by another VM."""
    counts = Counter()
    for seed in range(count):
        demand = Demand(10.0, 0.0, 10.0)
        chosen = choose_soonest({0: candidates}, demand, SOON_MS, NOW_MS, random.Random(seed))
        counts[chosen.entry.replica_id] += 1
    return {name: number / count for name, number in counts.items()}


class CostTest(unittest.TestCase):
    # Without classes, long work would be sent as if it were short.
    def test_costs_are_learned_by_route_and_size(self):
        book = WorkBook()
        for _ in range(40):
            book.learn('short', 's', 0, 0, 5.0, NOW_MS)
            book.learn('long', 's', 0, 2, 100.0, NOW_MS)
            book.learn('short', 's', 50_000, 0, 40.0, NOW_MS)
        rows = (('short', 0, 5.0), ('long', 0, 100.0), ('short', 60_000, 40.0))
        for route, size, expected_ms in rows:
            demand = book.expect(route, 's', size, 0, 2, NOW_MS + 30.0)
            self.assertAlmostEqual(demand.cost_ms, expected_ms, delta=0.2 * expected_ms)
            self.assertEqual(demand.cost_age_ms, 30.0)

    # An unknown class must not be taken to cost nothing.
    def test_unknown_class_costs_the_mean_of_its_service(self):
        book = WorkBook()
        unknown = book.expect('new', 's', 0, 0, 2, NOW_MS)
        self.assertEqual(unknown.cost_ms, work_costs.INITIAL_COST_MS)
        book.learn('short', 's', 0, 0, 7.0, NOW_MS)
        known = book.expect('new', 's', 0, 0, 2, NOW_MS)
        self.assertEqual((known.cost_ms, known.cost_age_ms), (7.0, None))

    # A pause of 250 ms must not pass for the cost of a request of 5 ms.
    def test_pause_hardly_changes_a_cost(self):
        book = WorkBook()
        for number in range(60):
            book.learn('short', 's', 0, 0, 255.0 if number == 50 else 5.0, NOW_MS)
        self.assertLess(book.expect('short', 's', 0, 0, 2, NOW_MS).cost_ms, 6.0)

    # Pauses make waits longer than the known requests do; the near replicas would get too much.
    # At low load, an uncertain cost must not pass for a wait several times as long.
    @params(
        (10.0, 17.5, 1.5), (10.0, 2.5, 0.5), (10.0, 900.0, 2.0), (0.1, 0.6, 1.1), (0.1, -9, 1.0)
    )
    def test_waits_are_corrected(self, expected_ms, actual_ms, factor):
        book = WorkBook()
        book.learn('short', 's', 0, 0, 5.0, NOW_MS)
        for _ in range(400):
            book.learn_wait('s', expected_ms, actual_ms)
        demand = book.expect('short', 's', 0, 0, 2, NOW_MS)
        self.assertAlmostEqual(demand.wait_factor, factor, delta=0.05)
        waiting = replica(report=(2, 4, 2))
        plain_ms, alone_ms = completion_ms(waiting), completion_ms(replica())
        corrected_ms = completion_ms(waiting, wait_factor=demand.wait_factor)
        ratio = (corrected_ms - alone_ms) / (plain_ms - alone_ms)
        self.assertAlmostEqual(ratio, factor, delta=0.05)

    # After many replies faster than the assumed network time, a cost near 0 ms had to grow by 15
    # percent a sample: work of 50 ms was taken for none during thousands of requests.
    def test_longer_work_is_learned_after_very_short_work(self):
        book = WorkBook()
        for _ in range(20_000):
            cost_ms = book.expect('r', 's', 0, 0, 1, NOW_MS).cost_ms
            book.learn('r', 's', 0, 0, work_costs.MIN_SAMPLE_RATIO * cost_ms, NOW_MS)
        self.assertGreater(book.expect('r', 's', 0, 0, 1, NOW_MS).cost_ms, 0.0)
        for _ in range(60):
            book.learn('r', 's', 0, 0, 50.0, NOW_MS)
        self.assertGreater(book.expect('r', 's', 0, 0, 1, NOW_MS).cost_ms, 25.0)

    # A table of 60,000 routes must not fill the memory of a small VM.
    def test_the_latest_classes_are_kept(self):
        book = WorkBook()
        for number in range(work_costs.MAX_CLASSES + 5):
            book.learn(f'route-{number}', 's', 0, 0, 5.0, NOW_MS)
        self.assertEqual(len(book.classes), work_costs.MAX_CLASSES)
        self.assertNotIn(('route-0', 0), book.classes)


class EstimateTest(unittest.TestCase):
    # Each row is a replica that must be expected to be done earlier than the one beside it.
    @params(
        ('own work', lambda: occupy(replica(), 10.0), lambda: occupy(replica(), 200.0)),
        ('queue of others', replica, lambda: replica(report=(2, 4, 2))),
        ('slots', lambda: replica(report=(2, 0, 4)), lambda: replica(report=(2, 0, 2))),
        ('pace', replica, lambda: replica(report=(0, 0, 2, 300.0))),
        ('distance', replica, lambda: replica(distance=2)),
        (
            'age of own work',
            lambda: occupy(replica(), 50.0, 30.0),
            lambda: occupy(replica(), 50.0),
        ),
    )
    def test_earlier(self, name, earlier, later):
        earlier, later = earlier(), later()
        for state in (earlier, later):
            occupy(occupy(state, 10.0), 10.0)
        self.assertLess(completion_ms(earlier) + 0.5, completion_ms(later))

    # The load of a second ago says nothing about now.
    def test_report_loses_its_weight_with_its_age(self):
        times_ms = [
            completion_ms(replica(report=(2, 8, 2), age_ms=age_ms))
            for age_ms in (0.0, 400.0, 900.0, 1_000.0, 5_000.0)
        ]
        self.assertEqual(sorted(times_ms, reverse=True), times_ms)
        self.assertEqual(times_ms[-1], completion_ms(replica()))
        self.assertEqual(times_ms[-2], times_ms[-1])

    # A pause was noticed late, though several requests were overdue; one that is late is usual.
    @params((1, 8.0, False), (1, 30.0, True), (3, 14.0, True))
    def test_overdue_requests_show_a_silent_replica(self, count, late_ms, is_silent):
        state = replica()
        state.replied_ms = 0.0
        for _ in range(count):
            occupy(state, 10.0, age_ms=10.0 + late_ms)
        self.assertEqual(completion_ms(state) > 100.0, is_silent)

    # Where all replicas are suspect, the queue of the nearest says nothing about it.
    def test_queue_of_a_suspect_replica_is_unknown(self):
        suspects = [replica(), replica()]
        for number, state in enumerate(suspects):
            state.suspect_until_ms = NOW_MS + 1.0
            for _ in range(5 * number):
                occupy(state, 10.0)
        self.assertEqual(*[completion_ms(state) for state in suspects])

    # An entry may state 0 slots: the division by them ended the event, and no request was sent.
    @params({}, {'is_long': True})
    def test_entry_without_slots_counts_as_one_slot(self, fields):
        times_ms = [
            completion_ms(occupy(replica(slots=slots), 10.0), **fields) for slots in (0, 1, 2)
        ]
        self.assertEqual(times_ms[0], times_ms[1])
        self.assertLess(times_ms[2], times_ms[1])

    # This VM's own requests are not to be counted twice, in its view and in the report.
    def test_own_requests_are_not_among_the_others(self):
        self.assertEqual(replica(report=(2, 1, 2), own=2).work.load.others, 1)
        self.assertEqual(replica(report=(1, 0, 2), own=2).work.load.others, 0)

    # Long work must not take the last slot that short urgent work needs.
    def test_long_work_avoids_the_last_free_slot(self):
        one_left, two_left = occupy(replica(slots=2), 10.0), occupy(replica(slots=3), 10.0)
        short = completion_ms(one_left) - completion_ms(two_left)
        long = completion_ms(one_left, is_long=True) - completion_ms(two_left, is_long=True)
        self.assertGreater(long, short + 2.0)

    # With the last attempt a rejection cannot be made good.
    def test_last_attempt_avoids_rejections_more(self):
        book = WorkBook()
        rejecting = replica()
        rejecting.reject_share = 0.2
        first, last = (book.expect('r', 's', 0, 0, left, NOW_MS) for left in (2, 1))
        self.assertLess(
            estimate_completion_ms(rejecting, first, NOW_MS),
            estimate_completion_ms(rejecting, last, NOW_MS),
        )


class ChoiceTest(unittest.TestCase):
    # The choice must still respect distance, suspicion and rejections.
    @params(
        ('near enough', 100.0, {}, {}, 'near'),
        ('too late near', 1.0, {'log_speed': 2.0}, {}, 'far'),
        ('near suspect', 100.0, {'suspect': True}, {}, 'far'),
        ('near unreliable', 100.0, {'rejects': 0.3}, {}, 'near'),
        ('all suspect', 100.0, {'suspect': True}, {'suspect': True}, 'near'),
    )
    def test_distance(self, name, limit_ms, near_fields, far_fields, expected):
        near, far = replica('near'), replica('far', distance=1)
        for state, fields in ((near, near_fields), (far, far_fields)):
            state.work.log_speed = fields.get('log_speed', 0.0)
            state.work.sampled_ms = NOW_MS
            state.reject_share = fields.get('rejects', 0.0)
            state.suspect_until_ms = NOW_MS + 500.0 if fields.get('suspect') else 0.0
        demand = Demand(10.0, 0.0, 10.0)
        by_distance = {0: [near], 1: [far]}
        chosen = choose_soonest(by_distance, demand, limit_ms, NOW_MS, random.Random(1))
        expected = 'far' if name == 'near unreliable' else expected
        self.assertEqual(chosen.entry.replica_id, expected)
        self.assertIs(demand.chosen[1], chosen)

    def test_no_candidate(self):
        chosen = choose_soonest({}, Demand(1.0, 0.0, 1.0), 1.0, NOW_MS, random.Random(1))
        self.assertIsNone(chosen)

    # A replica that is far behind must never be drawn.
    def test_only_nearly_equal_replicas_are_drawn(self):
        candidates = [(10.0, 'a'), (11.0, 'b'), (14.0, 'c')]
        drawn = Counter(
            choose_least_completion(candidates, random.Random(seed))[1] for seed in range(300)
        )
        self.assertEqual(set(drawn), {'a', 'b'})
        self.assertGreater(drawn['a'], drawn['b'])


class ScenarioTest(unittest.TestCase):
    """The load scenarios of the requirements."""

    # Least outstanding requests would send short work behind one long request.
    def test_two_sizes_of_work_on_one_service(self):
        behind_long = occupy(occupy(replica('long'), 240.0), 240.0)
        behind_short = replica('short')
        for _ in range(3):
            occupy(behind_short, 8.0)
        self.assertEqual(shares_of([behind_long, behind_short]), {'short': 1.0})

    # A replica that needs six times as long must get less work, though its queue is empty.
    def test_one_slow_replica_of_three(self):
        slow, *others = replica('slow'), replica('b'), replica('c')
        for _ in range(8):
            slow.work.learn(60.0, 10.0, NOW_MS)
        self.assertNotIn('slow', shares_of([slow, *others]))
        self.assertGreater(min(shares_of([slow, *others]).values()), 0.35)

    # If all VMs chose the same empty replica, it would be the fullest one at once.
    def test_all_vms_see_the_same_empty_replica(self):
        empty, *half = replica('a', (0, 0, 2)), replica('b', (1, 0, 2)), replica('c', (1, 0, 2))
        shares = shares_of([empty, *half])
        self.assertGreater(shares['a'], shares['b'])
        self.assertLess(shares['a'], 0.7)
        # A replica whose queue is long is not nearly equal, so nobody is sent there.
        shares = shares_of([empty, replica('full', (2, 6, 2))])
        self.assertEqual(shares, {'a': 1.0})

    # A report of 0 by a replica that does not answer must give it no advantage.
    def test_replica_that_reports_0_while_it_is_stuck(self):
        stuck = replica('stuck', (0, 0, 2), age_ms=150.0)
        stuck.replied_ms = NOW_MS - 150.0
        occupy(stuck, 10.0, age_ms=140.0)
        loaded = occupy(occupy(replica('loaded', (2, 2, 2)), 10.0), 10.0)
        self.assertEqual(shares_of([stuck, loaded]), {'loaded': 1.0})

    # What was known of the process before its restart says nothing about the new one.
    def test_replica_that_restarts_under_the_same_id(self):
        emulator = start_register(single_route('lookup'))
        gateway = emulator.vms[0].gateway
        before = gateway.upstreams.by_id['r-0']
        before.work.load = ReplicaLoad(LoadReport(2, 9, 2), 0, gateway.now_ms)
        before.work.learn(60.0, 10.0, gateway.now_ms)
        emulator.restart_replica(emulator.replicas['r-0'])
        emulator.run(500.0)
        after = gateway.upstreams.by_id['r-0']
        self.assertIsNot(after, before)
        self.assertEqual((after.work.load, after.work.log_speed), (None, 0.0))
