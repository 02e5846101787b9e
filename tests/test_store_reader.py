"""The store's client and its reader against a stand-in store, over loopback."""

import asyncio
import queue
import threading
import unittest

from nose2.tools import params

from beechbridge.daemon.store_reader import StoreReader
from beechbridge.failures import PlatformFailure
from beechbridge.gateway.events import ChangesReceived, StoreFailed
from beechbridge.gateway.settings import Address
from beechbridge.platform.store import HistoryLost, StoreClient
from soak.standins import Store

WAIT_S = 5.0
TIMEOUT_S = 0.5


class StoreThread:
    """A stand-in store in a loop of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.store = Store('127.0.0.1')
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.call(self.store.start())

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(WAIT_S)

    def do(self, action, *arguments):
        async def run():
            return action(*arguments)

        return self.call(run())

    @property
    def address(self):
        return Address('127.0.0.1', self.store.port)

    def close(self):
        self.call(self.end())
        self.loop.call_soon_threadsafe(self.loop.stop)

    async def end(self):
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
    def test_listing_takes_every_page(self, count):
        for number in range(count):
            self.thread.do(self.thread.store.put, f'servers/i-{number:03}', number)
        self.thread.do(self.thread.store.put, 'op/config', {})
        listing = self.client.list('servers/')
        self.assertEqual(len(listing.items), count)
        self.assertEqual(listing.revision, self.thread.store.revision)

    def test_watch_tells_changes_and_deletions_in_order(self):
        self.thread.do(self.thread.store.put, 'servers/a', 1)
        self.thread.do(self.thread.store.remove, 'servers/a')
        listing = self.client.watch('', 1, 100)
        self.assertEqual([item.value for item in listing.items], [b'1', None])
        self.assertEqual(listing.revision, 3)

    def test_watch_without_news_ends_after_its_wait(self):
        listing = self.client.watch('', self.thread.store.revision, 50)
        self.assertEqual((listing.items, listing.revision), ([], 1))

    def test_lost_history_is_told_apart_from_a_failure(self):
        self.thread.do(self.thread.store.put, 'op/config', {})
        self.thread.do(self.thread.store.compact)
        self.assertIsInstance(self.client.watch('', 1, 50), HistoryLost)

    def test_refusal_is_a_failure(self):
        self.thread.store.is_refusing = True
        self.assertIsInstance(self.client.list(''), PlatformFailure)

    def test_silent_store_is_a_failure_and_its_connection_is_not_used_again(self):
        self.client.list('')
        self.thread.store.delay_s = 3 * TIMEOUT_S
        self.assertIsInstance(self.client.list(''), PlatformFailure)
        self.assertIsNone(self.client.connection)
        self.thread.store.delay_s = 0.0
        self.assertNotIsInstance(self.client.list(''), PlatformFailure)


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
        while True:
            event = self.events.get(timeout=WAIT_S)
            if matches(event):
                return event

    def test_reader_says_nothing_until_it_is_told_to_follow(self):
        with self.assertRaises(queue.Empty):
            self.events.get(timeout=0.2)

    def test_listing_comes_first_and_then_each_change(self):
        self.thread.do(self.thread.store.put, 'servers/a', 1)
        self.reader.follow(True, None)
        first = self.events.get(timeout=WAIT_S)
        self.assertEqual(first.listed_prefixes, ('servers/', 'op/'))
        self.assertEqual([item.key for item in first.changes], ['servers/a'])
        self.thread.do(self.thread.store.put, 'op/config', {})
        event = self.wait_for(lambda event: event.changes)
        self.assertEqual([item.key for item in event.changes], ['op/config'])

    def test_following_from_a_revision_needs_no_listing(self):
        revision = self.thread.store.revision
        self.thread.do(self.thread.store.put, 'servers/a', 1)
        self.reader.follow(True, revision)
        event = self.events.get(timeout=WAIT_S)
        self.assertEqual(event.listed_prefixes, ())
        self.assertEqual([item.key for item in event.changes], ['servers/a'])

    def test_lost_history_is_followed_by_a_listing(self):
        self.thread.do(self.thread.store.put, 'servers/a', 1)
        self.thread.do(self.thread.store.compact)
        self.reader.follow(True, 1)
        event = self.wait_for(lambda event: isinstance(event, ChangesReceived))
        self.assertTrue(event.listed_prefixes)

    def test_failures_are_told_and_the_return_too(self):
        self.thread.store.is_refusing = True
        self.reader.follow(True, None)
        self.assertIsInstance(self.events.get(timeout=WAIT_S), StoreFailed)
        self.thread.store.is_refusing = False
        self.wait_for(lambda event: isinstance(event, ChangesReceived))
