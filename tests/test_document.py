"""The digest of a document is the same whether it was received whole or built from a delta."""

import unittest

from beechbridge.document import Document, apply_delta, difference


class DocumentDigestTest(unittest.TestCase):
    def test_delta_gives_the_digest_of_the_whole_document(self):
        old = Document(1, {'place/a': {'region': 'x'}, 'place/b': {'region': 'x'}})
        new = Document(2, {'place/b': {'region': 'y'}, 'place/c': {'region': 'x'}})
        reached = apply_delta(old, difference(old, new))
        self.assertEqual((reached.generation, reached.entries), (2, new.entries))
        self.assertEqual(reached.digest, new.digest)
