"""What the gateway takes from the store: tables, entries, lapses, and entries of other writers."""

import random
import unittest

from nose2.tools import params

from beechbridge.failures import InputFailure
from beechbridge.gateway.actions import SetCallerLimits
from beechbridge.gateway.events import ChangesReceived, HeartbeatReceived, StoreFailed, TimerDue
from beechbridge.gateway.models import Item, Member, ReplicaEntry
from beechbridge.gateway.node import Gateway
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import CallerLimits, RoutingTable

LIMITS = CallerLimits(16_384, 262_144, 3_000.0, 15_000.0)
NARROW_LIMITS = CallerLimits(8_192, 65_536, 1_000.0, 15_000.0)
KEY = 'replica/r-1'
GRACE_MS = 2_000.0
"""Time in which lapsed entries of live replicas are back, as the users state it."""

DRAIN_MS = 3_000.0
"""Time after which nothing may reach a replica that is gone, as the users state it."""


def entry(**fields):
    known = {'replica_id': 'r-1', 'service': 's', 'host': 'h', 'port': 80, 'zone': 'brum-a'}
    return ReplicaEntry(**{**known, **fields})


class Reader:
    """One gateway that follows the store, told by the test what it says."""

    def __init__(self):
        self.decoded = {}
        own = Member('vm-0', 'vm-0', 'brum-a', 1)
        self.gateway = Gateway(
            own, (), {'brum-a': 'brum'}, self.decode, BudgetRules(), 6_000.0, random.Random(1)
        )
        self.now_ms = 0.0
        self.revision = 0
        self.gateway.start(0.0)
        self.wait(500.0)
        self.put('table', RoutingTable(1, [], {}, LIMITS))
        self.wait(5_000.0)

    def decode(self, key, value):
        return self.decoded[value]

    def tell(self, event):
        return self.gateway.handle(event, self.now_ms)

    def wait(self, for_ms):
        until_ms = self.now_ms + for_ms
        while (self.gateway.timers.next_due_ms() or until_ms + 1) <= until_ms:
            self.now_ms = max(self.now_ms, self.gateway.timers.next_due_ms())
            self.tell(TimerDue())
        self.now_ms = until_ms

    def item(self, key, decoded):
        self.revision += 1
        if decoded is None:
            return Item(key, None, self.revision)
        value = f'{key}@{self.revision}'.encode()
        self.decoded[value] = decoded
        return Item(key, value, self.revision)

    def put(self, key, decoded, **fields):
        return self.tell(ChangesReceived([self.item(key, decoded)], self.revision, **fields))

    def list(self, items):
        self.revision += 1
        self.tell(ChangesReceived(items, self.revision, listed_prefixes=('replica/',)))

    @property
    def usable_count(self):
        return len(self.gateway.upstreams.usable('s'))


class TableTest(unittest.TestCase):
    @params((5, 7, 7), (7, 5, 7), (7, 7, 7))
    def test_table_never_goes_back(self, first, second, expected):
        reader = Reader()
        for version in (first, second):
            reader.put('table', RoutingTable(version, [], {}, LIMITS))
        self.assertEqual(reader.gateway.table.version, expected)

    def test_unreadable_table_leaves_the_one_in_force(self):
        reader = Reader()
        reader.put('table', InputFailure('table', 'routes', None, 'a list'))
        self.assertEqual(reader.gateway.table.version, 1)

    @params((LIMITS, []), (NARROW_LIMITS, [SetCallerLimits(NARROW_LIMITS)]))
    def test_callers_are_held_to_new_limits(self, limits, expected):
        reader = Reader()
        actions = reader.put('table', RoutingTable(2, [], {}, limits))
        self.assertEqual([a for a in actions if isinstance(a, SetCallerLimits)], expected)


class EntryTest(unittest.TestCase):
    def test_draining_replica_gets_nothing_new_at_once(self):
        reader = Reader()
        reader.put(KEY, entry())
        self.assertEqual(reader.usable_count, 1)
        reader.put(KEY, entry(is_draining=True))
        self.assertEqual(reader.usable_count, 0)

    def test_removed_entry_is_gone_at_once(self):
        reader = Reader()
        reader.put(KEY, entry())
        reader.put(KEY, None)
        self.assertEqual(reader.usable_count, 0)

    @params(
        ({'started_ms': 2},),
        ({'host': 'other'},),
        ({'port': 81},),
        ({'service': 's', 'port': 82, 'started_ms': 9},),
    )
    def test_replica_that_started_again_is_a_new_one(self, fields):
        reader = Reader()
        reader.put(KEY, entry(started_ms=1))
        before = reader.gateway.replica_by_key[KEY]
        reader.put(KEY, entry(**{'started_ms': 1, **fields}))
        after = reader.gateway.replica_by_key[KEY]
        self.assertIsNot(after, before)
        self.assertTrue(before.is_gone)
        self.assertEqual(reader.usable_count, 1)

    def test_same_replica_is_kept_over_a_change_of_its_entry(self):
        reader = Reader()
        reader.put(KEY, entry(cold_left_ms=900.0))
        before = reader.gateway.replica_by_key[KEY]
        reader.put(KEY, entry(cold_left_ms=0.0))
        self.assertIs(reader.gateway.replica_by_key[KEY], before)

    def test_entry_of_another_writer_names_no_replica_and_harms_no_other(self):
        reader = Reader()
        reader.put(KEY, entry())
        reader.put('replica/r-2', InputFailure('r-2', 'state', 'odd', 'ready'))
        self.assertEqual(reader.usable_count, 1)

    def test_entry_that_became_unreadable_names_no_replica(self):
        reader = Reader()
        reader.put(KEY, entry())
        reader.put(KEY, InputFailure('r-1', 'addr', 7, 'text'))
        self.assertEqual(reader.usable_count, 0)


class LapseTest(unittest.TestCase):
    def lapse(self, reader):
        reader.put(KEY, entry())
        reader.tell(StoreFailed('status 503'))
        reader.wait(1_000.0)

    def test_entry_that_lapsed_with_the_store_is_kept_for_its_return(self):
        reader = Reader()
        self.lapse(reader)
        reader.put(KEY, None)
        reader.wait(GRACE_MS)
        self.assertEqual(reader.usable_count, 1)
        reader.put(KEY, entry())
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 1)

    def test_entry_that_stays_away_is_gone_before_the_drain_time_ends(self):
        reader = Reader()
        self.lapse(reader)
        reader.put(KEY, None)
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 0)

    def test_listing_without_an_entry_is_a_removal(self):
        reader = Reader()
        reader.put(KEY, entry())
        other = reader.item('replica/r-2', entry(replica_id='r-2'))
        reader.list([other])
        self.assertEqual(set(reader.gateway.replica_by_key), {'replica/r-2'})

    def test_listing_without_a_lapsed_entry_waits_for_its_return(self):
        reader = Reader()
        self.lapse(reader)
        reader.list([])
        self.assertEqual(reader.usable_count, 1)
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 0)

    def test_older_copy_of_another_vm_does_not_bring_an_entry_back(self):
        reader = Reader()
        old = reader.item(KEY, entry())
        reader.tell(ChangesReceived([old], reader.revision))
        reader.put(KEY, None)
        reader.tell(ChangesReceived([old], old.revision, is_from_store=False))
        self.assertEqual(reader.usable_count, 0)


class FollowerTest(unittest.TestCase):
    def beat(self, reader, name, beat, reaches_store):
        member = Member(name, name, 'brum-a', 1, beat)
        member.reaches_store = reaches_store
        member.is_serving = True
        return reader.tell(HeartbeatReceived([member], 1, reader.gateway.view.revision))

    def test_follower_leaves_the_store_to_a_better_one_and_takes_it_up_again(self):
        reader = Reader()
        names = [f'vm-{number}' for number in range(1, 9)]
        seen = set()
        for beat in range(1, 16):
            for name in names:
                self.beat(reader, name, beat, reaches_store=True)
            reader.wait(400.0)
            seen.add(reader.gateway.gossip.is_following)
        self.assertFalse(reader.gateway.gossip.is_following)
        reader.wait(12_000.0)
        self.assertTrue(reader.gateway.gossip.is_following)

    def test_no_vm_that_reaches_the_store_makes_this_one_follow_it(self):
        reader = Reader()
        for beat in range(1, 40):
            self.beat(reader, 'vm-1', beat, reaches_store=False)
            reader.wait(400.0)
        self.assertTrue(reader.gateway.gossip.is_following)
