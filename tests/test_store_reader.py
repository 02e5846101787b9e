"""Store client and store reader against a fake store over loopback."""

import asyncio
import queue
import threading
import time
import unittest

from nose2.tools import params

from beechbridge.daemon.store_reader import PartialListing, StoreReader
from beechbridge.failures import PlatformFailure
from beechbridge.gateway.events import ChangesReceived, StoreFailed
from beechbridge.gateway.settings import Address
from beechbridge.platform.store import HistoryLost, StoreClient
from soak.standins import Store

WAIT_S = 5.0
TIMEOUT_S = 0.5


class StoreThread:
    """A fake store in its own thread and event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.store = Store('127.0.0.1')
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.run(self.store.start())

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(WAIT_S)

    def call(self, function, *arguments):
        async def run():
            return function(*arguments)

        return self.run(run())

    @property
    def address(self):
        return Address('127.0.0.1', self.store.port)

    def close(self):
        self.run(self.shut_down())
        self.loop.call_soon_threadsafe(self.loop.stop)

    async def shut_down(self):
        self.store.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.thread = StoreThread()
        self.addCleanup(self.thread.close)
        self.client = StoreClient(self.thread.address, TIMEOUT_S)
        self.addCleanup(self.client.close)

    @params(0, 1, 20, 21, 65)
    def test_listing_reads_all_pages(self, count):
        for number in range(count):
            self.thread.call(self.thread.store.put, f'servers/i-{number:03}', number)
        self.thread.call(self.thread.store.put, 'op/config', {})
        listing = PartialListing(('servers/',))
        while not listing.is_complete:
            listing.add(self.client.list_page(listing.prefix, listing.after))
        self.assertEqual(len(listing.items), count)
        self.assertEqual(listing.revision, self.thread.store.revision)

    def test_watch_returns_changes_and_deletions_in_order(self):
        self.thread.call(self.thread.store.put, 'servers/a', 1)
        self.thread.call(self.thread.store.remove, 'servers/a')
        listing = self.client.watch('', 1, 100)
        self.assertEqual([item.value for item in listing.items], [b'1', None])
        self.assertEqual(listing.revision, 3)

    def test_watch_without_changes_times_out(self):
        listing = self.client.watch('', self.thread.store.revision, 50)
        self.assertEqual((listing.items, listing.revision), ([], 1))

    def test_lost_history_is_not_a_failure(self):
        self.thread.call(self.thread.store.put, 'op/config', {})
        self.thread.call(self.thread.store.compact)
        self.assertIsInstance(self.client.watch('', 1, 50), HistoryLost)

    def test_unavailable_store_is_a_failure(self):
        self.thread.store.is_unavailable = True
        self.assertIsInstance(self.client.list_page('', ''), PlatformFailure)

    def test_timeout_is_a_failure_and_closes_the_connection(self):
        self.client.list_page('', '')
        self.thread.store.delay_s = 3 * TIMEOUT_S
        self.assertIsInstance(self.client.list_page('', ''), PlatformFailure)
        self.assertIsNone(self.client.connection)
        self.thread.store.delay_s = 0.0
        self.assertNotIsInstance(self.client.list_page('', ''), PlatformFailure)


class ReaderTest(unittest.TestCase):
    def setUp(self):
        self.thread = StoreThread()
        self.addCleanup(self.thread.close)
        self.events = queue.Queue()
        client = StoreClient(self.thread.address, TIMEOUT_S)
        self.reader = StoreReader(client, ('servers/', 'op/'), '', self.events.put)
        self.reader.start()
        self.addCleanup(self.reader.stop)

    def wait_for(self, matches):
        deadline_s = time.monotonic() + WAIT_S
        while time.monotonic() < deadline_s:
            event = self.events.get(timeout=WAIT_S)
            if matches(event):
                return event
        raise AssertionError(f'no such event within {WAIT_S} s')

    def test_reader_is_idle_until_told_to_follow(self):
        with self.assertRaises(queue.Empty):
            self.events.get(timeout=0.2)

    def test_listing_is_followed_by_changes(self):
        self.thread.call(self.thread.store.put, 'servers/a', 1)
        self.reader.follow(True, None)
        first = self.events.get(timeout=WAIT_S)
        self.assertEqual(first.listed_prefixes, ('servers/', 'op/'))
        self.assertEqual([item.key for item in first.changes], ['servers/a'])
        self.thread.call(self.thread.store.put, 'op/config', {})
        event = self.wait_for(lambda event: event.changes)
        self.assertEqual([item.key for item in event.changes], ['op/config'])

    # Guards against a listing that starts over at each lost response, and so never ends.
    def test_listing_goes_on_at_the_page_whose_response_was_lost(self):
        store = self.thread.store
        for number in range(100):
            self.thread.call(store.put, f'servers/i-{number:03}', number)
        store.lose_every = 3
        self.reader.follow(True, None)
        event = self.wait_for(lambda event: isinstance(event, ChangesReceived))
        self.assertEqual(len(event.changes), 100)
        self.assertEqual(event.revision, store.revision)

    def test_listing_that_went_on_misses_no_change(self):
        store = self.thread.store
        for number in range(60):
            self.thread.call(store.put, f'servers/i-{number:03}', number)
        store.lose_every = 2
        self.reader.follow(True, None)
        self.wait_for(lambda event: isinstance(event, StoreFailed))
        self.thread.call(store.put, 'servers/i-000', 'changed')
        self.thread.call(store.remove, 'servers/i-001')
        store.lose_every = 0
        items = {}
        while items.get('servers/i-001', b'') is not None or items['servers/i-000'] == b'0':
            event = self.wait_for(lambda event: isinstance(event, ChangesReceived))
            items.update((item.key, item.value) for item in event.changes)
        self.assertEqual(items['servers/i-000'], b'"changed"')

    def test_listing_starts_over_if_the_store_is_restored_meanwhile(self):
        store = self.thread.store
        for number in range(60):
            self.thread.call(store.put, f'servers/i-{number:03}', number)
        copied = self.thread.call(store.copy_state)
        self.thread.call(store.put, 'servers/a', 1)
        store.lose_every = 2
        self.reader.follow(True, None)
        self.wait_for(lambda event: isinstance(event, StoreFailed))
        self.thread.call(store.restore, copied)
        store.lose_every = 0
        event = self.wait_for(lambda event: isinstance(event, ChangesReceived))
        self.assertEqual(event.epoch, store.epoch)
        self.assertNotIn('servers/a', {item.key for item in event.changes})

    def test_following_from_a_revision_skips_the_listing(self):
        revision = self.thread.store.revision
        self.thread.call(self.thread.store.put, 'servers/a', 1)
        self.reader.follow(True, revision, self.thread.store.epoch)
        event = self.events.get(timeout=WAIT_S)
        self.assertEqual(event.listed_prefixes, ())
        self.assertEqual([item.key for item in event.changes], ['servers/a'])

    def test_lost_history_causes_a_listing(self):
        self.thread.call(self.thread.store.put, 'servers/a', 1)
        self.thread.call(self.thread.store.compact)
        self.reader.follow(True, 1)
        event = self.wait_for(lambda event: isinstance(event, ChangesReceived))
        self.assertTrue(event.listed_prefixes)

    def test_restored_store_is_listed_although_it_has_the_revision_again(self):
        store = self.thread.store
        self.reader.follow(True, None)
        copied = self.thread.call(store.copy_state)
        self.thread.call(store.put, 'servers/a', 1)
        self.wait_for(lambda event: isinstance(event, ChangesReceived) and event.changes)

        def restore():
            store.restore(copied)
            for number in range(3):
                store.put('servers/b', number)

        self.thread.call(restore)
        event = self.wait_for(lambda event: isinstance(event, ChangesReceived) and event.epoch > 1)
        self.assertTrue(event.listed_prefixes)
        self.assertEqual([item.key for item in event.changes], ['servers/b'])

    def test_failure_and_recovery_are_reported(self):
        self.thread.store.is_unavailable = True
        self.reader.follow(True, None)
        self.assertIsInstance(self.events.get(timeout=WAIT_S), StoreFailed)
        self.thread.store.is_unavailable = False
        self.wait_for(lambda event: isinstance(event, ChangesReceived))
