"""Store updates: routing tables, replica entries, expired entries, entries of other writers."""

import random
import unittest

from nose2.tools import params

from beechbridge.failures import InputFailure
from beechbridge.gateway.actions import SetCallerLimits
from beechbridge.gateway.events import ChangesReceived, HeartbeatReceived, StoreFailed, TimerDue
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import Item, ReplicaEntry
from beechbridge.gateway.node import Gateway
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.routes import CallerLimits, RoutingTable

LIMITS = CallerLimits(16_384, 262_144, 3_000.0, 15_000.0)
NARROW_LIMITS = CallerLimits(8_192, 65_536, 1_000.0, 15_000.0)
KEY = 'replica/r-1'
GRACE_MS = 2_000.0
"""Time within which expired entries of live replicas are written again, as the users specify."""

DRAIN_MS = 3_000.0
"""Time after which nothing may reach a removed replica, as the users specify."""


def entry(**fields):
    known = {'replica_id': 'r-1', 'service': 's', 'host': 'h', 'port': 80, 'zone': 'brum-a'}
    return ReplicaEntry(**{**known, **fields})


class EmptyReader:
    """One gateway that follows the store and has read nothing; the test supplies its events."""

    def __init__(self, decoded=None):
        self.decoded = {} if decoded is None else decoded
        own = Member('vm-0', 'vm-0', 'brum-a', 1)
        self.gateway = Gateway(
            own, (), {'brum-a': 'brum'}, self.decode, BudgetRules(), 6_000.0, random.Random(1)
        )
        self.now_ms = 0.0
        self.revision = 0
        self.gateway.start(0.0)
        self.wait(500.0)

    def decode(self, key, value):
        return self.decoded[value]

    def deliver(self, event):
        return self.gateway.handle(event, self.now_ms)

    def wait(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while (self.gateway.timers.next_due_ms() or until_ms + 1) <= until_ms:
            self.now_ms = max(self.now_ms, self.gateway.timers.next_due_ms())
            self.deliver(TimerDue())
        self.now_ms = until_ms

    @property
    def usable_count(self):
        return len(self.gateway.upstreams.usable('s'))


class Reader(EmptyReader):
    """One gateway with a table."""

    def __init__(self):
        super().__init__()
        self.put('table', RoutingTable(1, [], {}, LIMITS))
        self.wait(5_000.0)

    def item(self, key, decoded):
        self.revision += 1
        if decoded is None:
            return Item(key, None, self.revision)
        value = f'{key}@{self.revision}'.encode()
        self.decoded[value] = decoded
        return Item(key, value, self.revision)

    def put(self, key, decoded, **fields):
        return self.deliver(ChangesReceived([self.item(key, decoded)], self.revision, **fields))

    def list(self, items):
        self.revision += 1
        self.deliver(ChangesReceived(items, self.revision, listed_prefixes=('replica/',)))


class TableTest(unittest.TestCase):
    @params((5, 7, 7), (7, 5, 7), (7, 7, 7))
    def test_older_table_is_ignored(self, first, second, expected):
        reader = Reader()
        for version in (first, second):
            reader.put('table', RoutingTable(version, [], {}, LIMITS))
        self.assertEqual(reader.gateway.table.version, expected)

    def test_unreadable_table_keeps_the_current_one(self):
        reader = Reader()
        reader.put('table', InputFailure('table', 'routes', None, 'a list'))
        self.assertEqual(reader.gateway.table.version, 1)

    @params((LIMITS, []), (NARROW_LIMITS, [SetCallerLimits(NARROW_LIMITS)]))
    def test_changed_caller_limits_are_applied(self, limits, expected):
        reader = Reader()
        actions = reader.put('table', RoutingTable(2, [], {}, limits))
        self.assertEqual([a for a in actions if isinstance(a, SetCallerLimits)], expected)


class EntryTest(unittest.TestCase):
    def test_draining_replica_gets_no_new_requests(self):
        reader = Reader()
        reader.put(KEY, entry())
        self.assertEqual(reader.usable_count, 1)
        reader.put(KEY, entry(is_draining=True))
        self.assertEqual(reader.usable_count, 0)

    def test_removed_entry_drops_the_replica_at_once(self):
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
    def test_restarted_replica_gets_a_new_state(self, fields):
        reader = Reader()
        reader.put(KEY, entry(started_ms=1))
        before = reader.gateway.replica_by_key[KEY]
        reader.put(KEY, entry(**{'started_ms': 1, **fields}))
        after = reader.gateway.replica_by_key[KEY]
        self.assertIsNot(after, before)
        self.assertTrue(before.is_gone)
        self.assertEqual(reader.usable_count, 1)

    def test_changed_entry_keeps_the_state_of_the_same_replica(self):
        reader = Reader()
        reader.put(KEY, entry(cold_left_ms=900.0))
        before = reader.gateway.replica_by_key[KEY]
        reader.put(KEY, entry(cold_left_ms=0.0))
        self.assertIs(reader.gateway.replica_by_key[KEY], before)

    def test_unreadable_entry_adds_no_replica_and_keeps_the_others(self):
        reader = Reader()
        reader.put(KEY, entry())
        reader.put('replica/r-2', InputFailure('r-2', 'state', 'odd', 'ready'))
        self.assertEqual(reader.usable_count, 1)

    def test_entry_that_became_unreadable_drops_the_replica(self):
        reader = Reader()
        reader.put(KEY, entry())
        reader.put(KEY, InputFailure('r-1', 'addr', 7, 'text'))
        self.assertEqual(reader.usable_count, 0)


class ExpiredEntryTest(unittest.TestCase):
    def expire(self, reader):
        reader.put(KEY, entry())
        reader.deliver(StoreFailed('status 503'))
        reader.wait(1_000.0)

    def test_entry_that_expired_in_a_store_outage_is_kept_until_it_is_back(self):
        reader = Reader()
        self.expire(reader)
        reader.put(KEY, None)
        reader.wait(GRACE_MS)
        self.assertEqual(reader.usable_count, 1)
        reader.put(KEY, entry())
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 1)

    def test_entry_that_stays_missing_is_dropped_within_the_drain_time(self):
        reader = Reader()
        self.expire(reader)
        reader.put(KEY, None)
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 0)

    def test_listing_without_an_entry_drops_the_replica(self):
        reader = Reader()
        reader.put(KEY, entry())
        other = reader.item('replica/r-2', entry(replica_id='r-2'))
        reader.list([other])
        self.assertEqual(set(reader.gateway.replica_by_key), {'replica/r-2'})

    def test_listing_without_an_expired_entry_waits_for_its_return(self):
        reader = Reader()
        self.expire(reader)
        reader.list([])
        self.assertEqual(reader.usable_count, 1)
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 0)

    def test_older_copy_from_another_vm_does_not_restore_an_entry(self):
        reader = Reader()
        old = reader.item(KEY, entry())
        reader.deliver(ChangesReceived([old], reader.revision))
        reader.put(KEY, None)
        reader.deliver(ChangesReceived([old], old.revision, is_from_store=False))
        self.assertEqual(reader.usable_count, 0)


class FollowerTest(unittest.TestCase):
    def receive_heartbeat(self, reader, name, heartbeat, reaches_store):
        member = Member(name, name, 'brum-a', 1, heartbeat)
        member.reaches_store = reaches_store
        member.is_serving = True
        return reader.deliver(HeartbeatReceived([member], 1, reader.gateway.view.revision))

    def test_follower_yields_to_a_higher_ranked_one_and_takes_over_again(self):
        reader = Reader()
        names = [f'vm-{number}' for number in range(1, 9)]
        seen = set()
        for heartbeat in range(1, 16):
            for name in names:
                self.receive_heartbeat(reader, name, heartbeat, reaches_store=True)
            reader.wait(400.0)
            seen.add(reader.gateway.gossip.is_following)
        self.assertFalse(reader.gateway.gossip.is_following)
        reader.wait(12_000.0)
        self.assertTrue(reader.gateway.gossip.is_following)

    def test_vm_follows_the_store_while_no_other_reaches_it(self):
        reader = Reader()
        for heartbeat in range(1, 40):
            self.receive_heartbeat(reader, 'vm-1', heartbeat, reaches_store=False)
            reader.wait(400.0)
        self.assertTrue(reader.gateway.gossip.is_following)
