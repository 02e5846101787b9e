"""Restoration of the store from an older copy: epochs, outdated items, replicas that have left."""

import unittest

from nose2.tools import params

from beechbridge.gateway.actions import PullChanges
from beechbridge.gateway.events import ChangesReceived, HeartbeatReceived
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import Item
from beechbridge.gateway.replicas.restoration import CONFIRMATION_DELAY_MS
from beechbridge.gateway.routes import RoutingTable
from beechbridge.gateway.settings import Address
from beechbridge.platform.store import Changes, HistoryLost, StoreClient
from beechbridge.wire.fleet import decode_changes, encode_changes

from .test_store_reader import TIMEOUT_S, StoreThread
from .test_store_updates import DRAIN_MS, GRACE_MS, KEY, LIMITS, Reader, entry

EPOCH = 1


class RestoredReader(Reader):
    """A gateway with a replica and the tables 1 and 7; `restore` takes its store back."""

    def __init__(self):
        super().__init__()
        self.epoch = EPOCH
        self.put('table', RoutingTable(7, [], {}, LIMITS), epoch=EPOCH)
        self.wait(DRAIN_MS)

    def write(self, key, decoded):
        return self.put(key, decoded, epoch=self.epoch)

    def restore(self, copy, revision=3):
        """Deliver the listing of a copy, a dictionary of decoded items by key."""
        self.epoch += 1
        self.revision = revision
        items = [self.item(key, decoded) for key, decoded in copy.items()]
        return self.deliver(
            ChangesReceived(items, self.revision, ('replica/', 'table'), epoch=self.epoch)
        )


class OutdatedItemsTest(unittest.TestCase):
    def test_older_table_of_the_copy_does_not_come_into_force(self):
        reader = RestoredReader()
        reader.restore({'table': RoutingTable(1, [], {}, LIMITS)})
        self.assertEqual(reader.gateway.table.version, 7)
        reader.write('table', RoutingTable(9, [], {}, LIMITS))
        self.assertEqual(reader.gateway.table.version, 9)

    def test_vm_that_starts_gets_the_newer_table_from_its_peers(self):
        reader = RestoredReader()
        reader.restore({'table': RoutingTable(1, [], {}, LIMITS)})
        event = decode_changes(encode_changes(reader.gateway.view.forward_changes(0, 0)))
        fresh = Reader()
        fresh.decoded = reader.decoded
        fresh.deliver(event)
        self.assertEqual(fresh.gateway.table.version, 7)

    def test_draining_replica_is_not_ready_again(self):
        reader = RestoredReader()
        reader.write(KEY, entry(is_draining=True, started_ms=5))
        reader.restore({KEY: entry(started_ms=5)})
        self.assertEqual(reader.usable_count, 0)
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 0)

    @params((4, 5, 5), (5, 4, 5), (5, 5, 5))
    def test_later_incarnation_of_a_replica_is_used(self, known, listed, expected):
        reader = RestoredReader()
        reader.write(KEY, entry(started_ms=known))
        reader.restore({KEY: entry(started_ms=listed)})
        self.assertEqual(reader.gateway.replica_by_key[KEY].entry.started_ms, expected)

    def test_copy_in_force_is_replaced_by_lower_revisions(self):
        reader = RestoredReader()
        for port in range(81, 91):
            reader.write(KEY, entry(port=port))
        reader.restore({KEY: entry(port=90)})
        reader.write(KEY, entry(port=91))
        self.assertLess(reader.revision, 10)
        self.assertEqual(reader.gateway.replica_by_key[KEY].entry.port, 91)


class MissingEntriesTest(unittest.TestCase):
    @params((True, 1), (False, 0))
    def test_entry_that_the_copy_lacks_waits_for_its_return(self, is_back, expected):
        reader = RestoredReader()
        reader.write(KEY, entry())
        reader.restore({})
        reader.wait(GRACE_MS)
        self.assertEqual(reader.usable_count, 1)
        if is_back:
            reader.write(KEY, entry())
        reader.wait(DRAIN_MS - GRACE_MS)
        self.assertEqual(reader.usable_count, expected)

    # Guards against a replica that takes work again after its drain, because the store was
    # restored once without its entry and once more with an entry from before the drain.
    @params(
        ({'is_draining': True, 'started_ms': 5}, {}),
        ({'started_ms': 6}, {}),
        ({'started_ms': 6}, {'table': RoutingTable(1, [], {}, LIMITS)}),
    )
    def test_older_entry_does_not_come_back_in_a_second_restoration(self, fields, first_copy):
        reader = RestoredReader()
        reader.write(KEY, entry(**fields))
        reader.restore(first_copy)
        reader.restore({KEY: entry(started_ms=5)})
        known = reader.gateway.replica_by_key[KEY].entry
        self.assertEqual(known, entry(**fields))
        reader.wait(DRAIN_MS)
        self.assertEqual(reader.usable_count, 0)
        reader.write(KEY, entry(**fields))
        self.assertEqual(reader.gateway.replica_by_key[KEY].entry, entry(**fields))


class RemovedReplicasTest(unittest.TestCase):
    def remove(self, reader):
        reader.write(KEY, entry(started_ms=5))
        reader.write(KEY, None)
        reader.restore({KEY: entry(started_ms=5)})

    def test_replica_that_has_left_is_not_used(self):
        reader = RestoredReader()
        self.remove(reader)
        reader.wait(CONFIRMATION_DELAY_MS / 2)
        self.assertEqual(reader.usable_count, 0)
        reader.write(KEY, None)
        reader.wait(CONFIRMATION_DELAY_MS)
        self.assertEqual(reader.usable_count, 0)

    @params((5, 1), (6, 1))
    def test_replica_that_writes_again_is_used_at_once(self, started_ms, expected):
        reader = RestoredReader()
        self.remove(reader)
        reader.write(KEY, entry(started_ms=started_ms))
        self.assertEqual(reader.usable_count, expected)

    def test_entry_that_does_not_expire_is_used(self):
        reader = RestoredReader()
        self.remove(reader)
        reader.wait(CONFIRMATION_DELAY_MS)
        self.assertEqual(reader.usable_count, 1)

    def test_confirmation_of_an_earlier_epoch_is_ignored(self):
        reader = RestoredReader()
        self.remove(reader)
        reader.restore({})
        reader.wait(CONFIRMATION_DELAY_MS)
        self.assertEqual(reader.usable_count, 0)


class PeersTest(unittest.TestCase):
    def test_changes_of_an_earlier_epoch_are_ignored(self):
        reader = RestoredReader()
        reader.restore({})
        old = reader.item(KEY, entry())
        reader.deliver(ChangesReceived([Item(KEY, old.value, 99)], 99, epoch=EPOCH))
        self.assertEqual(reader.usable_count, 0)
        self.assertLess(reader.gateway.view.revision, 99)

    @params((EPOCH, 1, True), (EPOCH + 1, -5, True), (EPOCH, 0, False), (EPOCH - 1, 5, False))
    def test_peer_with_a_later_position_is_asked(self, epoch, revision_ahead, is_asked):
        reader = RestoredReader()
        view = reader.gateway.view
        pulls = []
        for heartbeat in range(1, 6):
            member = Member('vm-1', 'vm-1', 'other', 1, heartbeat)
            event = HeartbeatReceived([member], 7, view.revision + revision_ahead, epoch=epoch)
            pulls.extend(a for a in reader.deliver(event) if isinstance(a, PullChanges))
            reader.wait(400.0)
        self.assertEqual(bool(pulls), is_asked)

    @params((EPOCH, False), (EPOCH + 1, True), (0, True))
    def test_peer_of_another_epoch_gets_all_items(self, epoch, is_complete):
        reader = RestoredReader()
        reader.write(KEY, entry())
        event = reader.gateway.view.forward_changes(reader.revision, epoch)
        decoded = decode_changes(encode_changes(event))
        self.assertEqual(bool(decoded.listed_prefixes), is_complete)
        self.assertEqual(len(decoded.changes), 2 if is_complete else 0)
        self.assertEqual(decoded.epoch, EPOCH)


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.thread = StoreThread()
        self.addCleanup(self.thread.close)
        self.client = StoreClient(Address('127.0.0.1', self.thread.store.port), TIMEOUT_S)
        self.addCleanup(self.client.close)

    def test_answers_carry_the_epoch(self):
        store = self.thread.store
        copied = self.thread.call(store.copy_state)
        self.thread.call(store.put, 'servers/a', 1)
        self.thread.call(store.restore, copied)
        self.client.close()
        listing = self.client.list_page('', '')
        self.assertEqual((listing.epoch, listing.items), (2, []))
        self.assertIsInstance(self.client.watch('', 2, 10), HistoryLost)
        watched = self.client.watch('', 1, 10)
        self.assertIsInstance(watched, Changes)
        self.assertEqual(watched.epoch, 2)
