"""Items of other writers that cannot be read, beside a routing table and entries of replicas."""

import itertools
import unittest
from types import SimpleNamespace
from urllib.parse import quote

import msgspec
from nose2.tools import params

from beechbridge.daemon.metrics import render_gateway
from beechbridge.failures import Failure
from beechbridge.gateway.actions import PullChanges, WriteLine
from beechbridge.gateway.events import ChangesReceived, PullEnded
from beechbridge.gateway.models import Item
from beechbridge.gateway.replicas.decoding import (
    MAX_REASON_CHARACTERS,
    MAX_REMEMBERED,
    MAX_SHOWN,
    MAX_SINGLE_LINES,
)
from beechbridge.gateway.replicas.notices import NoticeBook
from beechbridge.gateway.requests.evidence import Loss, count_restarts, incarnation_of
from beechbridge.platform.items import decode_item
from beechbridge.platform.names import REPLICAS_PREFIX, TABLE_KEY
from beechbridge.wire.changes import read_pull
from beechbridge.wire.fleet import decode_changes, encode_changes

from .odd_items import (
    ENTRY,
    REQUIRED_FIELDS,
    TABLE,
    UNREADABLE_ENTRIES,
    UNREADABLE_HOSTS,
    UNREADABLE_IDS,
    UNREADABLE_TABLES,
    encode,
    name_entry,
    omit,
)
from .test_store_updates import EmptyReader

KEY = f'{REPLICAS_PREFIX}i-1'
LATE_KEY = f'{REPLICAS_PREFIX}i-2'
PREFIXES = (REPLICAS_PREFIX, TABLE_KEY)


class PlatformReader(EmptyReader):
    """One gateway that reads the platform's items; the test supplies its events."""

    def __init__(self):
        self.lines = []
        super().__init__()

    def decode(self, key, value):
        return decode_item(key, value)

    def deliver(self, event):
        actions = super().deliver(event)
        self.lines += [action for action in actions if isinstance(action, WriteLine)]
        return actions

    def make_items(self, values):
        """Return items with rising revisions from pairs of key and value."""
        items = []
        for key, value in values:
            self.revision += 1
            items.append(Item(key, value, self.revision))
        return items

    def make_event(self, values, prefixes=()):
        """Return the event that brings items in the store's epoch."""
        items = self.make_items(values)
        return ChangesReceived(items, self.revision, prefixes, epoch=self.gateway.view.epoch)

    def change(self, values):
        """Deliver changes of the store."""
        self.deliver(self.make_event(values))

    def list(self, values):
        """Deliver a listing of the store."""
        self.deliver(self.make_event(values, PREFIXES))

    def pull(self, values):
        """Deliver what another VM sends."""
        pulled = decode_changes(encode_changes(self.make_event(values)))
        self.deliver(PullEnded(PullChanges('vm-1', 0, 0, None), pulled, 1, 1.0))

    def restore(self, values):
        """Deliver the listing of a store that was restored from a copy."""
        epoch = self.gateway.view.epoch + 1
        self.deliver(
            ChangesReceived(self.make_items(values), self.revision, PREFIXES, epoch=epoch)
        )

    def find_lines(self, subject):
        """Return the fields of the log lines with a subject."""
        return [line.fields for line in self.lines if line.subject == subject]


def surround(odd_values):
    """Return items of which the odd ones come first: a table and an entry stand behind them."""
    values = [(name_entry(number), value) for number, value in enumerate(odd_values)]
    return [*values, (KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))]


WAYS = ['list', 'change', 'pull', 'restore']
CASES = [(way, [value]) for way in WAYS for value in UNREADABLE_ENTRIES]
CASES += [(way, UNREADABLE_ENTRIES) for way in WAYS]


class UnreadableEntryTest(unittest.TestCase):
    # Guards against VMs that start and never get ready, because an entry of another writer ends
    # the event that brings the routing table behind it.
    @params(*CASES)
    def test_items_behind_an_unreadable_entry_are_applied_at_a_start(self, way, odd_values):
        reader = PlatformReader()
        getattr(reader, way)(surround(odd_values))
        self.assertTrue(reader.gateway.is_ready())
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})

    # Guards against VMs that run and stop following the list beside such an entry.
    @params(*CASES)
    def test_items_behind_an_unreadable_entry_are_applied_later(self, way, odd_values):
        reader = PlatformReader()
        reader.list([(KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))])
        behind = [(LATE_KEY, encode(ENTRY, addr='10.0.0.8:80'))]
        getattr(reader, way)([*surround(odd_values), *behind])
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY, LATE_KEY})


class OverwrittenEntryTest(unittest.TestCase):
    # Guards against requests that run at a replica of another service, since another writer wrote
    # an entry under its ID that lacks fields.
    @params(*[(way, name) for way in ('change', 'pull') for name in REQUIRED_FIELDS])
    def test_entry_that_lacks_a_field_names_no_replica(self, way, name):
        reader = PlatformReader()
        reader.list([(KEY, encode(ENTRY, service='other')), (TABLE_KEY, encode(TABLE))])
        getattr(reader, way)([(KEY, omit(ENTRY, name))])
        self.assertEqual(reader.usable_count, 0)
        self.assertEqual(reader.gateway.upstreams.usable('other'), [])
        getattr(reader, way)([(KEY, encode(ENTRY, service='other'))])
        self.assertEqual(len(reader.gateway.upstreams.usable('other')), 1)

    # A replica that has named its start names it in all that it says of itself.
    @params(*itertools.product(('list', 'change', 'pull', 'restore'), (1, 2)))
    def test_entry_that_no_longer_names_its_start_names_no_replica(self, way, count):
        reader = PlatformReader()
        reader.list([(KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))])
        for _ in range(count):
            values = [(KEY, omit(ENTRY, 'born')), (TABLE_KEY, encode(TABLE))]
            getattr(reader, way)(values)
            self.assertEqual(reader.gateway.replica_by_key, {})
        self.assertEqual(reader.find_lines('item_unreadable')[0]['key'], KEY)
        reader.change([(KEY, encode(ENTRY))])
        self.assertEqual(reader.usable_count, 1)

    # There are installations whose replicas do not name it, as they have a new ID at each start.
    @params('list', 'change', 'pull')
    def test_replicas_that_never_name_their_start_are_used(self, way):
        reader = PlatformReader()
        for state in ('ready', 'draining', 'ready'):
            value = msgspec.json.decode(omit(ENTRY, 'born'))
            getattr(reader, way)([(KEY, encode(value, state=state)), (TABLE_KEY, encode(TABLE))])
            self.assertEqual(reader.usable_count, int(state == 'ready'))


class UnsendableReplicaTest(unittest.TestCase):
    # Guards against requests that fail with an exception, or carry headers of another writer,
    # since the ID or the host of an entry cannot be written or connected to.
    @params(*itertools.product(WAYS, UNREADABLE_HOSTS))
    def test_entry_with_an_unusable_host_names_no_replica(self, way, host):
        reader = PlatformReader()
        getattr(reader, way)(surround([encode(ENTRY, addr=f'{host}:8080')]))
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})

    @params(*itertools.product(WAYS, UNREADABLE_IDS))
    def test_entry_with_an_id_that_no_header_carries_names_no_replica(self, way, replica_id):
        reader = PlatformReader()
        values = [(REPLICAS_PREFIX + replica_id, encode(ENTRY, addr='10.0.0.8:80'))]
        getattr(reader, way)([*values, *surround([])])
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})
        self.assertTrue(reader.gateway.is_ready())

    @params('10.0.0.9', 'localhost', 'r-1.svc.example', 'h' * 63, 'a_b')
    def test_usual_hosts_are_read(self, host):
        entry = decode_item(KEY, encode(ENTRY, addr=f'{host}:8080'))
        self.assertEqual((entry.host, entry.port), (host, 8080))


class UnreadableTableTest(unittest.TestCase):
    # Guards against a table that can be read in part, and then fails the requests of its routes or
    # the messages to other VMs that name its version.
    @params(*itertools.product(WAYS, UNREADABLE_TABLES))
    def test_unreadable_table_leaves_the_one_in_force_and_the_entries(self, way, value):
        reader = PlatformReader()
        reader.list([(KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))])
        behind = [(LATE_KEY, encode(ENTRY, addr='10.0.0.8:80'))]
        getattr(reader, way)([(KEY, encode(ENTRY)), (TABLE_KEY, value), *behind])
        self.assertEqual(reader.gateway.table.version, TABLE['version'])
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY, LATE_KEY})
        reader.change([(TABLE_KEY, encode(TABLE, version=9))])
        self.assertEqual(reader.gateway.table.version, 9)

    @params(*itertools.product(WAYS, UNREADABLE_TABLES))
    def test_vm_that_starts_with_an_unreadable_table_waits_for_the_next(self, way, value):
        reader = PlatformReader()
        getattr(reader, way)([(KEY, encode(ENTRY)), (TABLE_KEY, value)])
        self.assertFalse(reader.gateway.is_ready())
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})
        reader.change([(TABLE_KEY, encode(TABLE))])
        self.assertTrue(reader.gateway.is_ready())


class DefectiveReader(PlatformReader):
    """A reader whose decoder raises an exception for one key."""

    def decode(self, key, value):
        if key == name_entry(0):
            raise ZeroDivisionError('division by zero')
        return super().decode(key, value)


class DefectiveNotices(NoticeBook):
    """Notices that raise an exception for one replica."""

    __slots__ = ()

    def find(self, entry):
        if entry.replica_id == 'i-0-00':
            raise ZeroDivisionError('division by zero')
        return super().find(entry)


class DefectTest(unittest.TestCase):
    # Guards against an exception in the decoder that costs all items of an event: none of them
    # would ever be applied, since the copy of the store already has them.
    @params(*WAYS)
    def test_exception_for_one_item_costs_this_item_only(self, way):
        reader = DefectiveReader()
        getattr(reader, way)(surround([b'{}']))
        self.assertTrue(reader.gateway.is_ready())
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})
        self.assertEqual(reader.gateway.counters.get('defects', 'ZeroDivisionError'), 1)
        (line,) = reader.find_lines('item_failed')
        self.assertEqual((line['key'], line['error']), (name_entry(0), 'ZeroDivisionError'))

    # The same in the handler that applies a decoded item.
    def test_exception_while_one_item_is_applied_costs_this_item_only(self):
        reader = PlatformReader()
        reader.gateway.notices = DefectiveNotices()
        reader.list(surround([encode(ENTRY)]))
        self.assertTrue(reader.gateway.is_ready())
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})
        self.assertEqual(reader.find_lines('item_failed')[0]['key'], name_entry(0))

    # An entry that was applied before and whose change then fails must not be used on.
    def test_replica_whose_new_entry_fails_is_dropped(self):
        reader = PlatformReader()
        reader.list(surround([encode(ENTRY)]))
        self.assertIn(name_entry(0), reader.gateway.replica_by_key)
        reader.gateway.decode_item = DefectiveReader().decode
        reader.change([(name_entry(0), encode(ENTRY, state='draining'))])
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})


class EvidenceTest(unittest.TestCase):
    # Guards against requests that are rejected for ten minutes as those that end replicas, since
    # another writer has overwritten entries: that ends no replica.
    @params((omit(ENTRY, 'zone'), False), (b'\xff', False), (None, True))
    def test_unreadable_entry_is_no_end_of_its_replica(self, value, is_end):
        reader = PlatformReader()
        reader.list([(KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))])
        reader.wait(4_000.0)
        gateway = reader.gateway
        route = gateway.table.find_route('h.example', '/a/')
        work = SimpleNamespace(is_vindicated=False, digest='d', route=route)
        loss = Loss(work, 'q1:0', reader.now_ms, True)
        gateway.evidence.losses[incarnation_of(gateway.replica_by_key[KEY])] = [loss]
        reader.change([(KEY, value)])
        self.assertEqual('d' in gateway.suspicions.by_digest, is_end)

    # Guards against gathers that are held back after a start since all replicas seem to have
    # started again: an entry that does not name its start is no older than the others.
    @params(0, 3)
    def test_entry_without_a_start_is_not_the_oldest(self, later_count):
        reader = PlatformReader()
        odd = [(f'{KEY}-odd', omit(ENTRY, 'born'))]
        for number in range(5):
            born = 1_780_000_000_000 + (60_000 if number < later_count else 0)
            odd.append((f'{KEY}-{number}', encode(ENTRY, born=born)))
        reader.list([*odd, (TABLE_KEY, encode(TABLE))])
        count_restarts(reader.gateway)
        self.assertEqual(reader.gateway.evidence.restarts['s'], later_count)


class ReportTest(unittest.TestCase):
    # Guards against a log that one writer fills with the same line at each of its beats.
    def test_item_is_logged_once_with_its_reason(self):
        reader = PlatformReader()
        for _ in range(5):
            reader.change([(KEY, encode(ENTRY, state='odd'))])
        (line,) = reader.find_lines('item_unreadable')
        self.assertEqual(line['key'], KEY)
        self.assertIn('odd', line['detail'])
        self.assertEqual(reader.gateway.counters.get('items_unreadable'), 5)
        reader.change([(KEY, omit(ENTRY, 'zone'))])
        self.assertEqual(len(reader.find_lines('item_unreadable')), 2)

    def test_writers_that_take_turns_are_logged_once(self):
        reader = PlatformReader()
        for _ in range(5):
            reader.change([(KEY, encode(ENTRY))])
            reader.change([(KEY, omit(ENTRY, 'zone'))])
        self.assertEqual(len(reader.find_lines('item_unreadable')), 1)

    @params(encode(ENTRY), None)
    def test_operators_see_what_cannot_be_read_now(self, after):
        reader = PlatformReader()
        reader.change([(KEY, omit(ENTRY, 'zone')), (LATE_KEY, b'\xff')])
        described = reader.gateway.describe()['unreadable']
        self.assertEqual(described['count'], 2)
        self.assertEqual(set(described['items']), {KEY, LATE_KEY})
        self.assertIn('zone', described['items'][KEY])
        reader.change([(KEY, after)])
        self.assertEqual(set(reader.gateway.describe()['unreadable']['items']), {LATE_KEY})
        self.assertIn(b'beechbridge_unreadable_items', render_gateway(reader.gateway)[1])

    @params(*WAYS)
    def test_thousands_of_items_take_few_lines_and_little_memory(self, way):
        reader = PlatformReader()
        values = [(f'{KEY}-{number}', b'') for number in range(5_000)]
        getattr(reader, way)([*values, *surround([])])
        self.assertLessEqual(len(reader.find_lines('item_unreadable')), MAX_SINGLE_LINES)
        (line,) = reader.find_lines('items_unreadable')
        self.assertEqual(line['items'], 5_000)
        described = reader.gateway.describe()['unreadable']
        self.assertEqual(described['count'], MAX_REMEMBERED)
        self.assertLessEqual(len(described['items']), MAX_SHOWN)
        self.assertTrue(reader.gateway.is_ready())

    # Guards against a line of a megabyte: an item may have that many bytes.
    @params(
        (KEY, encode(ENTRY, state='s' * 100_000)),
        (KEY, encode(ENTRY, addr='h' * 100_000)),
        (KEY, encode(ENTRY, addr='10.0.0.9:' + '\u0000' * 150)),
        (REPLICAS_PREFIX + '\u20ac' * 190, encode(ENTRY)),
    )
    def test_reason_is_short(self, key, value):
        reader = PlatformReader()
        reader.change([(key, value)])
        (line,) = reader.find_lines('item_unreadable')
        self.assertLessEqual(len(line['detail']), MAX_REASON_CHARACTERS)


class PeerTest(unittest.TestCase):
    # Guards against changes of another VM that cannot be handed on, or after which no change of
    # the store is new any more.
    @params(
        {'revision': -1},
        {'revision': 2**53 + 1},
        {'epoch': -1},
        {'epoch': 2**63 - 1},
    )
    def test_changes_out_of_bounds_are_a_failed_pull(self, fields):
        values = {'changes': [Item(KEY, encode(ENTRY), 3)], 'revision': 4, 'epoch': 1, **fields}
        found = decode_changes(encode_changes(ChangesReceived(**values)))
        self.assertIsInstance(found, Failure)
        reader = PlatformReader()
        reader.deliver(PullEnded(PullChanges('vm-1', 0, 0, None), found, 1, 1.0))
        self.assertEqual(reader.gateway.view.position, (0, 0))

    # An odd item costs itself, not the pull that a VM needs to get ready.
    @params(
        Item(LATE_KEY, encode(ENTRY), -1),
        Item(LATE_KEY, encode(ENTRY), 2**53 + 1),
        Item('', encode(ENTRY), 3),
        Item(LATE_KEY + 'i' * 200, encode(ENTRY), 3),
    )
    def test_item_out_of_bounds_costs_no_other_item(self, odd):
        items = [odd, Item(KEY, encode(ENTRY), 9), Item(TABLE_KEY, encode(TABLE), 2)]
        # A listing may have items that are newer than its first page.
        found = decode_changes(encode_changes(ChangesReceived(items, 4, epoch=1)))
        reader = PlatformReader()
        reader.deliver(PullEnded(PullChanges('vm-1', 0, 0, None), found, 1, 1.0))
        self.assertEqual(set(reader.gateway.replica_by_key), {KEY})
        self.assertTrue(reader.gateway.is_ready())
        self.assertEqual(len(reader.find_lines('item_unreadable')), 1)

    @params(*itertools.product(('after', 'epoch'), ('9' * 5_000, '-1', 'x', '1e3', '\u0669', '')))
    def test_request_with_an_odd_position_asks_for_all_changes(self, name, value):
        request = read_pull(f'{name}={quote(value)}', {})
        self.assertEqual((request.revision, request.epoch), (0, 0))
