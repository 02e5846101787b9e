"""Keepers of limits: VMs that grant the others permits to send to replicas that name a limit."""

import math
import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.actions import SendPermits
from beechbridge.gateway.events import PermitsReceived
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import ForwardedAnswer, MergedAnswer, Reply
from beechbridge.gateway.permits import PermitsAnswered, PermitsWanted
from beechbridge.gateway.replicas.limits import find_keeper, is_open
from beechbridge.wire.fleet import decode_datagram, encode_permits

from .gateways import (
    OBJECTIVE_MS,
    REGIONS,
    ZONES,
    ManualRequest,
    answer_of,
    drive,
    in_time_count,
    single_route,
    start_register,
    start_sweeps,
)
from .test_replica_limits import (
    LOOKUP_OBJECTIVE_MS,
    STABLE_MS,
    assert_kept,
    name_limits,
    start_lookups,
)

MIN_USED_FRACTION = 0.85
"""Fraction of a named limit that the fleet is to use where there is work for it."""

EVEN = 'even'
ONE_VM = 'one VM'


def drive_lookups(emulator, per_s, duration_s, pattern=EVEN):
    """Send lookups to all VMs at random, or to one; return (vm, key, asked_ms) of each."""
    asked = []
    for _ in range(int(per_s * duration_s)):
        vm = emulator.rng.randrange(len(emulator.vms)) if pattern == EVEN else 1
        if emulator.vms[vm].is_up:
            asked.append((vm, emulator.send_request(vm, '/lookup/x', 4_000.0), emulator.now_ms))
        emulator.run(emulator.rng.expovariate(per_s / 1000.0))
    emulator.run(1_000.0)
    return asked


def used_fraction(log, since_ms, until_ms):
    """Return the requests that reached a replica as a fraction of what its limit allows."""
    count = sum(since_ms <= arrived_ms < until_ms for arrived_ms, _ in log.arrivals)
    return count / (log.limit_per_s * (until_ms - since_ms) / 1000.0)


def keeper_of(emulator, zone):
    """Return the VM that keeps the limits of a data centre, as the first VM that is up sees it."""
    gateway = next(vm.gateway for vm in emulator.vms if vm.is_up)
    keeper = find_keeper(zone, gateway)
    return next(vm for vm in emulator.vms if vm.gateway.fleet.own.name == keeper.name)


class FleetTest(unittest.TestCase):
    # A limit of one request a second for all VMs: equal shares starve it, full buckets break it.
    @params(
        (8, EVEN, 1.1),
        (8, ONE_VM, 1.1),
        (8, EVEN, 10.0),
        (30, EVEN, 0.5),
        (30, ONE_VM, 3.0),
        (30, EVEN, 40.0),
        (120, EVEN, 2.0),
    )
    def test_limits_are_kept_and_used(self, vm_count, pattern, limit_per_s):
        emulator = start_lookups(vm_count, 3, REGIONS if vm_count < 12 else ZONES)
        emulator.work_ms['lookup'] = 5.0
        limits = {f'r-{number}': limit_per_s for number in range(3)}
        name_limits(emulator, limits)
        asked_ms = emulator.now_ms
        drive_lookups(emulator, 9 * limit_per_s, max(12.0, 30.0 / limit_per_s), pattern)
        assert_kept(self, emulator, limits)
        for replica_id in limits:
            log = emulator.replicas[replica_id].notice_log
            used = used_fraction(log, asked_ms + STABLE_MS, emulator.now_ms - 1_000.0)
            self.assertGreaterEqual(used, MIN_USED_FRACTION, replica_id)

    # Requests beyond the limits of all replicas wait for nothing: they are rejected at once.
    def test_requests_beyond_all_limits_are_rejected_at_once(self):
        emulator = start_lookups(8, 3)
        name_limits(emulator, {f'r-{number}': 2.0 for number in range(3)})
        drive_lookups(emulator, 20, 5)
        asked = drive_lookups(emulator, 20, 10)
        rejected_count = 0
        for vm, key, asked_ms in asked:
            answered_ms, answer = answer_of(emulator, vm, key)
            if isinstance(answer, ForwardedAnswer):
                continue
            rejected_count += 1
            self.assertEqual(answer.executed, Executed.NOT_RUN)
            self.assertGreater(answer.retry_after_ms, 0)
            self.assertLessEqual(answered_ms - asked_ms, LOOKUP_OBJECTIVE_MS / 4)
        self.assertGreater(rejected_count, 0.5 * len(asked))

    # A new keeper knows nothing of what its predecessor granted.
    def test_limit_is_kept_when_its_keeper_dies(self):
        emulator = start_lookups(8, 3)
        limits = {f'r-{number}': 5.0 for number in range(3)}
        name_limits(emulator, limits)
        drive_lookups(emulator, 40, 6)
        keeper_of(emulator, REGIONS[0]).is_up = False
        emulator.run(3_000.0)
        since_ms = emulator.now_ms
        drive_lookups(emulator, 40, 8)
        assert_kept(self, emulator, limits)
        log = emulator.replicas['r-0'].notice_log
        used = used_fraction(log, since_ms, emulator.now_ms - 1_000.0)
        self.assertGreaterEqual(used, MIN_USED_FRACTION)

    # While a dead keeper still counts as alive, work goes to a copy that has no limit.
    def test_work_goes_elsewhere_while_a_keeper_is_dead(self):
        emulator = start_sweeps(20, zones=tuple(REGIONS[number % 3] for number in range(8)))
        drive(emulator, '/sweep/x', 45, 3)
        name_limits(emulator, {f'r-{shard}-0': 5.0 for shard in range(0, 20, 3)})
        drive(emulator, '/sweep/x', 45, 3)
        dead = keeper_of(emulator, REGIONS[0])
        dead.is_up = False
        asked = []
        for _ in range(60):
            vm = emulator.rng.choice([one for one in range(8) if emulator.vms[one] is not dead])
            asked.append((vm, emulator.send_request(vm, '/sweep/x', 1_200.0), emulator.now_ms))
            emulator.run(22.0)
        emulator.run(2_000.0)
        self.assertGreaterEqual(in_time_count(emulator, asked, MergedAnswer), 0.75 * len(asked))

    # All copies of all shards name limits: a gather gets enough of its shards, or is rejected at
    # once and takes no tokens from the others.
    @params(1, 3, 8)
    def test_gathers_over_limited_shards_are_whole_or_rejected(self, vm_count):
        zones = tuple(REGIONS[number % len(REGIONS)] for number in range(vm_count))
        emulator = start_sweeps(10, zones=zones, min_share=0.89)
        limits = {f'r-{s}-{c}': 8.0 + s % 3 for s in range(10) for c in range(2)}
        name_limits(emulator, limits)
        drive(emulator, '/sweep/x', 40, 6)
        asked = drive(emulator, '/sweep/x', 40, 12)
        assert_kept(self, emulator, limits)
        served = in_time_count(emulator, asked, MergedAnswer)
        # The replicas of the weakest shard take 16 of 40 requests a second.
        self.assertGreaterEqual(served, MIN_USED_FRACTION * 16 / 40 * len(asked))
        started_count = 0
        for vm, key, asked_ms in asked:
            answered_ms, answer = answer_of(emulator, vm, key)
            if isinstance(answer, MergedAnswer):
                continue
            if answer.executed is Executed.NOT_RUN:
                self.assertGreater(answer.retry_after_ms, 0)
                self.assertLessEqual(answered_ms - asked_ms, OBJECTIVE_MS / 4)
                continue
            started_count += 1
        self.assertLessEqual(started_count, 0.1 * len(asked))

    # All replicas drop their limits: nobody goes on asking for permits.
    def test_load_comes_back_when_limits_are_lifted(self):
        emulator = start_lookups(8, 3)
        name_limits(emulator, {f'r-{number}': 1.0 for number in range(3)})
        drive_lookups(emulator, 20, 6)
        name_limits(emulator, {f'r-{number}': None for number in range(3)})
        drive_lookups(emulator, 20, 4)
        asked = drive_lookups(emulator, 20, 6)
        in_time = in_time_count(emulator, asked, ForwardedAnswer, LOOKUP_OBJECTIVE_MS)
        self.assertGreaterEqual(in_time, 0.95 * len(asked))


class MessageTest(unittest.TestCase):
    def start(self):
        self.emulator = start_lookups(1, 1)
        self.gateway = self.emulator.vms[0].gateway
        self.sender = Member('vm-9', 'vm-9', REGIONS[0], incarnation=1)

    def receive(self, message):
        event = PermitsReceived(self.sender, message)
        actions = self.gateway.handle(event, self.emulator.now_ms)
        return [action.message for action in actions if isinstance(action, SendPermits)]

    @params(
        PermitsWanted(7, [('r-0', 1.5), ('r-1', 0.25)], 1),
        PermitsWanted(1 << 61, [], 0),
        PermitsAnswered(7, [0, 250]),
        PermitsAnswered(1 << 61, []),
    )
    def test_messages_survive_the_wire(self, message):
        self.start()
        data = encode_permits(SendPermits('vm-1', self.sender, message))
        event = decode_datagram(data)
        self.assertEqual((event.sender.name, event.message), ('vm-9', message))

    # Other VMs may send anything; it must neither raise nor grant more than the limit.
    @params(
        ([('r-0', math.nan)], 0),
        ([('r-0', math.inf)], 0),
        ([('r-0', -1.0)], 0),
        ([('r-0', 1e300)], 0),
    )
    def test_unreadable_limits_grant_nothing(self, limits, least_count):
        self.start()
        self.assertEqual(self.receive(PermitsWanted(1, limits, least_count)), [])

    # An odd rank would go before all others.
    @params(math.nan, -0.1, 1.1, math.inf, -math.inf)
    def test_unreadable_rank_grants_nothing(self, rank):
        self.start()
        self.assertEqual(self.receive(PermitsWanted(1, [('r-0', 10.0)], 0, rank)), [])

    @params(-5, 0, 1, 2, 1 << 30)
    def test_fewer_permits_than_are_of_use_take_no_token(self, least_count):
        self.start()
        self.receive(PermitsWanted(1, [('a', 10.0), ('b', 0.1)], 0))
        self.emulator.run(500.0)
        waits_ms = self.receive(PermitsWanted(2, [('a', 10.0), ('b', 0.1)], least_count))[
            0
        ].waits_ms
        is_granted = least_count < 2
        self.assertEqual(waits_ms[0] == 0, is_granted)
        self.assertGreater(waits_ms[1], 0)
        tokens = self.gateway.limits.buckets['a'].tokens
        self.assertAlmostEqual(tokens, 4.0 if is_granted else 5.0, places=3)

    def test_the_same_replica_twice_costs_two_tokens(self):
        self.start()
        self.receive(PermitsWanted(1, [('a', 1.0)], 0))
        self.emulator.run(1_500.0)
        answer = self.receive(PermitsWanted(2, [('a', 1.0), ('a', 1.0)], 0))[0]
        self.assertEqual([wait_ms == 0 for wait_ms in answer.waits_ms], [True, False])

    @params([], [0, 0, 0], [-1], [1 << 31])
    def test_answer_to_no_batch_is_ignored(self, waits_ms):
        self.start()
        self.receive(PermitsAnswered(1, waits_ms))
        self.assertEqual(self.gateway.counters.get('permits_late'), 1)


class LateAnswerTest(unittest.TestCase):
    # A permit that comes after its task went elsewhere must not be kept for later.
    def test_permit_that_comes_late_becomes_void(self):
        emulator = start_lookups(2, 1)
        name_limits(emulator, {'r-0': 5.0})
        drive_lookups(emulator, 20, 2)
        keeper = keeper_of(emulator, REGIONS[0])
        gateway = next(vm.gateway for vm in emulator.vms if vm is not keeper)
        state = gateway.upstreams.by_id['r-0']
        emulator.run(10_000.0)
        state.notices.permits.grant(gateway.now_ms)
        self.assertTrue(is_open(state, gateway))
        emulator.run(10_000.0)
        self.assertFalse(is_open(state, gateway))
        state.notices.permits.grant(gateway.now_ms)
        self.assertEqual(state.notices.permits.count, 1)


class HugeLimitTest(unittest.TestCase):
    # A keeper ignores messages with limits that it cannot read: nobody may send it one.
    def test_huge_limit_does_not_lock_a_replica_out(self):
        emulator = start_lookups(4, 1)
        name_limits(emulator, {'r-0': 999_999_999.0})
        drive_lookups(emulator, 10, 2)
        asked = drive_lookups(emulator, 10, 4)
        in_time = in_time_count(emulator, asked, ForwardedAnswer, LOOKUP_OBJECTIVE_MS)
        self.assertGreaterEqual(in_time, 0.95 * len(asked))


class QueueTest(unittest.TestCase):
    # The other copy is only busy: a task without a permit waits for a connection to it.
    def test_denied_task_waits_for_a_connection_to_another_copy(self):
        emulator = start_register(single_route('lookup'))
        emulator.put_table([single_route('lookup')], connection_limit=2, version=2)
        gateway = emulator.vms[0].gateway
        limited, other = (gateway.upstreams.by_id[f'r-{number}'] for number in range(2))
        limited.notices.limit_per_s = 0.1
        limited.notices.is_restricted = True
        first = ManualRequest(emulator, 'a', '/lookup/x', 'GET', 4_000.0)
        self.assertEqual(first.sends[0].instance_id, other.entry.replica_id)
        second = ManualRequest(emulator, 'b', '/lookup/x', 'GET', 4_000.0)
        self.assertEqual((second.sends, second.answers), ([], []))
        first.end(Reply(200, [], b'', signature='s', request_id='a'))
        sent = [one for one in gateway.upstreams.exchanges.values() if one.replica is other]
        self.assertEqual([one.owner.work.request.request_id for one in sent], ['b'])


class RejectionTest(unittest.TestCase):
    def test_rejection_names_the_cause(self):
        emulator = start_lookups(1, 1)
        name_limits(emulator, {'r-0': 0.2})
        drive_lookups(emulator, 5, 2)
        vm, key, _ = drive_lookups(emulator, 5, 1)[-1]
        answer = answer_of(emulator, vm, key)[1]
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.reason, Reason.REPLICAS_BUSY)
        self.assertLess(OBJECTIVE_MS, answer.retry_after_ms)
