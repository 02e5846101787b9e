"""Compression of messages between VMs, with and without a dictionary."""

import unittest

from nose2.tools import params

from beechbridge.failures import Failure
from beechbridge.gateway.replicas.dictionaries import MAX_DICTIONARIES, Dictionaries, Dictionary
from beechbridge.wire import compression
from beechbridge.wire.compression import (
    DICTIONARY_ZSTD,
    IDENTITY,
    ZSTD,
    compress,
    decompress,
    read_digest,
    write_digest,
)

from .test_table_load import make_document

SMALL = b'{}'
DOCUMENT = make_document(200)
OLDER = Dictionary(make_document(200, seed=2))


class CompressionTest(unittest.TestCase):
    @params((SMALL, OLDER, IDENTITY), (DOCUMENT, None, ZSTD), (DOCUMENT, OLDER, DICTIONARY_ZSTD))
    def test_message_is_restored(self, message, dictionary, expected):
        data, encoding = compress(message, dictionary)
        self.assertEqual(encoding, expected)
        self.assertEqual(decompress(data, encoding, dictionary), message)

    @params((None,), (Dictionary(DOCUMENT),))
    def test_message_for_another_dictionary_is_a_failure(self, dictionary):
        data, encoding = compress(DOCUMENT, OLDER)
        self.assertIsInstance(decompress(data, encoding, dictionary), Failure)

    @params((ZSTD, b'not a frame'), (ZSTD, b''), ('br', DOCUMENT), (DICTIONARY_ZSTD, DOCUMENT))
    def test_malformed_message_is_a_failure(self, encoding, data):
        self.assertIsInstance(decompress(data, encoding, OLDER), Failure)

    @params((1,), (40,), (200,))
    def test_truncated_message_is_a_failure(self, missing):
        data, encoding = compress(DOCUMENT, OLDER)
        self.assertIsInstance(decompress(data[:-missing], encoding, OLDER), Failure)

    def test_message_that_would_expand_beyond_the_limit_is_a_failure(self):
        data, encoding = compress(bytes(compression.MAX_MESSAGE_BYTES + 1), None)
        self.assertIsInstance(decompress(data, encoding, None), Failure)

    @params((OLDER.digest, OLDER.digest), (b'', b''))
    def test_digest_is_restored_from_its_header(self, digest, expected):
        self.assertEqual(read_digest(write_digest(digest)), expected)

    @params(('',), (':not base64:',))
    def test_malformed_digest_names_no_dictionary(self, text):
        self.assertIsNone(Dictionaries().find(read_digest(text)))


class DictionariesTest(unittest.TestCase):
    def test_latest_large_values_are_kept(self):
        dictionaries = Dictionaries()
        values = [make_document(50, seed) for seed in range(MAX_DICTIONARIES + 1)]
        for value in values:
            dictionaries.add(value)
            dictionaries.add(SMALL)
        self.assertEqual(dictionaries.latest.value, values[-1])
        found = [dictionaries.find(Dictionary(value).digest) is not None for value in values]
        self.assertEqual(found, [False] + [True] * MAX_DICTIONARIES)
