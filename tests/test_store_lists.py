"""Lists of the store with one odd item: the others are read, and the list goes on."""

import base64
import itertools
import json
import unittest
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from beechbridge.daemon.store_reader import PartialListing, StoreReader
from beechbridge.failures import PlatformFailure, Reason
from beechbridge.gateway.events import ChangesReceived
from beechbridge.gateway.models import Item
from beechbridge.gateway.replicas.dictionaries import Dictionary
from beechbridge.platform import store
from beechbridge.platform.items import MAX_ENTRY_BYTES
from beechbridge.platform.names import REPLICAS_PREFIX, TABLE_KEY
from beechbridge.platform.store import Changes, Page, StoreAnswer, StoreClient
from beechbridge.wire.fleet import decode_changes, encode_changes

from .odd_items import ENTRY, TABLE, UNREADABLE_ENTRIES, encode, nest
from .test_broken_replies import call_with, list_store, watch_store
from .test_odd_items import PlatformReader
from .utils import FUZZ

BEHIND_KEY = f'{REPLICAS_PREFIX}i-9'
ODD_KEY = f'{REPLICAS_PREFIX}i-1'
REVISION = 90


def body_of(key, content, **changes):
    """Return an item as the store writes it, with some fields changed."""
    text = base64.b64encode(content).decode()
    return {'key': key, 'rev': 5, 'value': text, 'created': 1, 'lease': 0, **changes}


def lacking(name):
    """Return an item without one of its fields."""
    body = body_of(ODD_KEY, encode(ENTRY))
    del body[name]
    return body


def dump(body):
    """Return the JSON text of an item that is odd in any way."""
    return body if isinstance(body, bytes) else json.dumps(body).encode()


GOOD = body_of(BEHIND_KEY, encode(ENTRY))
NAMED = [
    *[lacking(name) for name in ('rev', 'value', 'created', 'lease')],
    *[
        body_of(ODD_KEY, encode(ENTRY), rev=value)
        for value in ('5', None, 0, -1, 5.5, True, 2**63, 10**30, [])
    ],
    *[
        body_of(ODD_KEY, b'', value=value)
        for value in (5, None, '!', 'e30', 'e30==', '\u00fc', [])
    ],
    body_of(ODD_KEY, b'', value=encode(ENTRY).decode()),
    body_of(ODD_KEY, encode(ENTRY), created='x'),
    body_of(ODD_KEY, encode(ENTRY), lease=-1),
    body_of(ODD_KEY, encode(ENTRY), tombstone='no'),
    b'{"key":"%b","rev":%b}' % (ODD_KEY.encode(), b'9' * 5_000),
    b'{"key":"%b","later":%b}' % (ODD_KEY.encode(), nest(500)),
]
"""Items of which the key can be read and something else cannot."""

NAMELESS = [
    lacking('key'),
    *[body_of(key, encode(ENTRY)) for key in (5, None, '', 'k' * 201, [])],
    5,
    None,
    'text',
    [],
    {},
    nest(500),
]
"""Items whose key cannot be read."""


def list_body(name, bodies, **changes):
    """Return the body of a page or a watch."""
    fields = {'currentRev': b'%d' % REVISION, **changes}
    if name == 'items':
        fields.setdefault('hasMore', b'false')
    texts = [b'"%b":%b' % (key.encode(), value) for key, value in fields.items()]
    return b'{"%b":[%b],%b}' % (
        name.encode(),
        b','.join(dump(body) for body in bodies),
        b','.join(texts),
    )


class ScriptedClient(StoreClient):
    """A store client whose answers are those of a function of path and parameters."""

    def __init__(self, answer):
        super().__init__(None, 1.0)
        self.answer = answer

    def call(self, path, parameters, wait_s):
        answer = self.answer(path, parameters)
        return answer if isinstance(answer, PlatformFailure) else StoreAnswer(200, answer, 1)


def read_list(name, bodies, **changes):
    """Return what the client makes of a page or a watch."""
    client = ScriptedClient(lambda path, parameters: list_body(name, bodies, **changes))
    if name == 'items':
        return client.list_page(REPLICAS_PREFIX, '')
    return client.watch('', 3, 10)


class ItemTest(unittest.TestCase):
    # Guards against a store that is no longer followed, or is not read at a start, because the
    # list in which it sends an odd item fails as a whole, again and again.
    @params(*itertools.product(('items', 'events'), NAMED))
    def test_odd_item_with_a_key_names_nothing(self, name, odd):
        found = read_list(name, [odd, GOOD])
        self.assertEqual([item.key for item in found.items], [ODD_KEY, BEHIND_KEY])
        self.assertEqual(found.items[0].value, b'')
        self.assertEqual(found.items[1], Item(BEHIND_KEY, encode(ENTRY), 5))

    @params(*itertools.product(('items', 'events'), NAMELESS))
    def test_odd_item_without_a_key_is_reported(self, name, odd):
        found = read_list(name, [odd, GOOD])
        self.assertEqual(found.items, [Item(BEHIND_KEY, encode(ENTRY), 5)])
        self.assertEqual(len(found.unreadable), 1)

    def test_deletion_has_no_value(self):
        found = read_list('events', [{'key': ODD_KEY, 'rev': 7, 'tombstone': True}])
        self.assertEqual(found.items, [Item(ODD_KEY, None, 7)])

    # An entry that was good before must not be used on as if it had not been overwritten.
    @params(*itertools.product(('items', 'events'), NAMED))
    def test_replica_whose_entry_is_overwritten_is_dropped(self, name, odd):
        reader = PlatformReader()
        reader.list([(ODD_KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))])
        found = read_list(name, [odd, GOOD])
        prefixes = (REPLICAS_PREFIX,) if name == 'items' else ()
        reader.deliver(ChangesReceived(found.items, found.revision, prefixes))
        self.assertEqual(set(reader.gateway.replica_by_key), {BEHIND_KEY})
        self.assertTrue(reader.gateway.is_ready())
        copied = decode_changes(encode_changes(reader.gateway.view.forward_changes(0, 7)))
        self.assertEqual(copied.revision, reader.gateway.view.revision)

    @params(*itertools.product(('items', 'events'), NAMELESS))
    def test_item_without_a_key_is_logged_and_counted(self, name, odd):
        reader = PlatformReader()
        found = read_list(name, [odd, GOOD])
        reader.deliver(ChangesReceived(found.items, found.revision, unreadable=found.unreadable))
        self.assertEqual(set(reader.gateway.replica_by_key), {BEHIND_KEY})
        self.assertEqual(reader.gateway.counters.get('items_unreadable'), 1)
        self.assertEqual(len(reader.find_lines('item_unreadable')), 1)
        self.assertEqual(reader.gateway.describe()['unreadable']['count'], 0)

    # Keys that no VM uses are not kept: anybody may write large values there.
    def test_changes_of_unused_keys_are_left_out(self):
        found = read_list('events', [body_of('other/key', b'x' * 99), GOOD])
        self.assertEqual([item.key for item in found.items], [BEHIND_KEY])


class ListTest(unittest.TestCase):
    # What is missing from a list must not be filled in: a revision of 0 would be read again from
    # the start, and a page without `hasMore` would end the listing.
    @params(
        ('items', b'{"items":[],"hasMore":false}'),
        ('items', b'{"items":[],"currentRev":4}'),
        ('items', b'{"hasMore":false,"currentRev":4}'),
        ('items', b'{"items":null,"hasMore":false,"currentRev":4}'),
        ('items', b'{"items":[],"hasMore":true,"currentRev":4}'),
        ('items', b'{"items":[],"hasMore":false,"currentRev":-4}'),
        ('items', b'{"items":[],"hasMore":false,"currentRev":%b}' % (b'9' * 30)),
        ('items', b'{}'),
        ('items', nest(100_000)),
        ('events', b'{"events":[]}'),
        ('events', b'{"currentRev":4}'),
        ('events', b'{"events":[],"currentRev":"4"}'),
        ('events', b'[]'),
        ('events', b''),
    )
    def test_list_that_lacks_a_field_is_a_failed_call(self, name, body):
        client = ScriptedClient(lambda path, parameters: body)
        found = client.list_page('', '') if name == 'items' else client.watch('', 3, 10)
        self.assertIsInstance(found, PlatformFailure)

    # Guards against a listing that ends at a page of which no item can be read.
    @params(*NAMED)
    def test_listing_goes_on_after_a_page_of_odd_items(self, odd):
        def answer(path, parameters):
            if 'after' not in parameters:
                return list_body('items', [odd], hasMore=b'true')
            self.assertEqual(parameters['after'], ODD_KEY)
            return list_body('items', [GOOD])

        client = ScriptedClient(answer)
        listing = PartialListing((REPLICAS_PREFIX,))
        while not listing.is_complete:
            listing.add(client.list_page(listing.prefix, listing.after))
        self.assertEqual([item.key for item in listing.items], [ODD_KEY, BEHIND_KEY])

    # Guards against a store that is no longer followed since the changes that it sends are larger
    # than an answer may be, as after many large entries at once: they would be asked for again
    # and again.
    def test_changes_that_are_too_large_cause_a_listing(self):
        def answer(path, parameters):
            if path == '/kv-watch':
                return PlatformFailure(Reason.TOO_LARGE, detail='too large')
            return list_body('items', [GOOD])

        events = []
        reader = StoreReader(ScriptedClient(answer), (REPLICAS_PREFIX,), '', events.append)
        reader.follow(True, 3, 1)
        self.assertIsInstance(reader.read_next(), PlatformFailure)
        self.assertIsNone(reader.read_next())
        self.assertEqual(events[0].listed_prefixes, (REPLICAS_PREFIX,))
        self.assertEqual(events[0].revision, REVISION)


class LargeItemTest(unittest.TestCase):
    # Guards against entries of a megabyte, of which each VM keeps a copy, and which all have to be
    # pulled by a VM that starts.
    @params('items', 'events')
    def test_of_a_large_entry_only_the_start_is_kept(self, name):
        odd = encode(ENTRY, later='x' * 1_000_000)
        found = read_list(name, [body_of(ODD_KEY, odd), GOOD])
        self.assertEqual([item.key for item in found.items], [ODD_KEY, BEHIND_KEY])
        self.assertLessEqual(len(found.items[0].value), MAX_ENTRY_BYTES + 1)
        reader = PlatformReader()
        reader.list([(ODD_KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))])
        reader.deliver(ChangesReceived(found.items, found.revision))
        self.assertEqual(set(reader.gateway.replica_by_key), {BEHIND_KEY})
        (line,) = reader.find_lines('item_unreadable')
        self.assertIn(str(MAX_ENTRY_BYTES), line['detail'])

    @params((0, 1), (1, 0))
    def test_entry_is_limited_to_the_byte(self, excess_bytes, expected):
        plain = encode(ENTRY, later='')
        value = encode(ENTRY, later='x' * (MAX_ENTRY_BYTES + excess_bytes - len(plain)))
        found = read_list('items', [body_of(ODD_KEY, value)])
        reader = PlatformReader()
        reader.deliver(ChangesReceived(found.items, found.revision))
        self.assertEqual(len(reader.gateway.replica_by_key), expected)

    def test_large_table_is_kept_whole(self):
        value = encode(TABLE, later='x' * 900_000)
        found = read_list('items', [body_of(TABLE_KEY, value)])
        self.assertEqual(found.items[0].value, value)

    # Guards against tables that cross a narrow link whole since odd entries have taken the place
    # of the last table as the dictionary.
    def test_only_tables_are_dictionaries(self):
        reader = PlatformReader()
        table = encode(TABLE, later='x' * 5_000)
        reader.list([(TABLE_KEY, table)])
        reader.change([(f'{ODD_KEY}{n}', encode(ENTRY, later='x' * 5_000)) for n in range(9)])
        reader.change([(f'{ODD_KEY}{n}', b'x' * 5_000) for n in range(9)])
        reader.change([(TABLE_KEY, b'x' * 5_000)])
        self.assertEqual(reader.gateway.view.dictionaries.latest, Dictionary(table))


class HeaderTest(unittest.TestCase):
    # Guards against a store that is no longer followed: the number of its epoch is converted
    # outside of any check.
    @params(('9' * 5_000,), ('-1',), ('1.5',), ('x',), ('',), ('\u0661',))
    def test_odd_epoch_is_a_failed_call(self, epoch):
        head = f'HTTP/1.1 200 OK\r\nStore-Era: {epoch}\r\nContent-Length: %d\r\n\r\n'
        body = list_body('items', [GOOD])
        data = head.encode('utf-8') % len(body) + body
        self.assertIsInstance(call_with(data, list_store), PlatformFailure)

    @params((b'Store-Era: 7\r\n', 7), (b'', 0))
    def test_epoch_is_read(self, header, epoch):
        body = list_body('items', [GOOD])
        data = b'HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b' % (header, len(body), body)
        self.assertEqual(call_with(data, list_store).epoch, epoch)

    def test_answer_that_is_too_large_is_told_from_others(self):
        data = b'HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n' + b' ' * 3000
        with mock.patch.object(store, 'MAX_ANSWER_BYTES', 1000):
            self.assertIs(call_with(data, watch_store).reason, Reason.TOO_LARGE)


JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(10**30), 10**30),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def odd_objects(base):
    """Return a strategy for objects with some fields of another value, or missing."""
    changes = st.dictionaries(st.sampled_from(list(base)), JSON, max_size=3)
    missing = st.sets(st.sampled_from(list(base)), max_size=2)
    return st.tuples(changes, missing).map(
        lambda drawn: {
            name: value for name, value in {**base, **drawn[0]}.items() if name not in drawn[1]
        }
    )


ODD_VALUES = st.one_of(
    st.sampled_from(UNREADABLE_ENTRIES),
    st.binary(max_size=40),
    JSON.map(dump),
    odd_objects(ENTRY).map(dump),
    odd_objects(TABLE).map(dump),
)
ODD_BODIES = st.one_of(
    JSON.map(dump),
    odd_objects(body_of(ODD_KEY, encode(ENTRY))).map(dump),
)


class ListFuzzTest(unittest.TestCase):
    # Whatever stands in a list, before or behind, the good entry is read from it.
    @FUZZ
    @given(
        st.lists(ODD_BODIES, max_size=4),
        st.lists(ODD_BODIES, max_size=4),
        st.sampled_from(['items', 'events']),
    )
    def test_good_item_is_read_from_any_list(self, before, behind, name):
        found = read_list(name, [*before, GOOD, *behind])
        self.assertIsInstance(found, Page | Changes)
        self.assertIn(Item(BEHIND_KEY, encode(ENTRY), 5), found.items)

    # Whatever other writers leave, and however it comes, it raises nothing in the gateway, and
    # keeps neither the table nor the entry of a replica from being applied.
    @FUZZ
    @given(
        st.lists(st.tuples(st.text(max_size=6), ODD_VALUES), max_size=6),
        st.sampled_from(['list', 'change', 'pull', 'restore']),
        st.randoms(use_true_random=False),
    )
    def test_good_items_are_applied_from_any_list(self, odd, way, rng):
        values = [(f'{REPLICAS_PREFIX}o-{key}', value) for key, value in odd]
        values += [(BEHIND_KEY, encode(ENTRY)), (TABLE_KEY, encode(TABLE))]
        rng.shuffle(values)
        reader = PlatformReader()
        getattr(reader, way)(values)
        reader.wait(1_000.0)
        self.assertTrue(reader.gateway.is_ready())
        self.assertIn(BEHIND_KEY, reader.gateway.replica_by_key)
        self.assertEqual(reader.find_lines('item_failed'), [])
        msgspec.json.encode(reader.gateway.describe())
