"""The digest of a document is the same whether it was received whole or built from a delta."""

import unittest

from beechbridge.document import Document, apply_delta, compute_delta


class DocumentDigestTest(unittest.TestCase):
    def test_delta_gives_the_digest_of_the_whole_document(self):
        old = Document(1, {'place/a': {'region': 'x'}, 'place/b': {'region': 'x'}})
        new = Document(2, {'place/b': {'region': 'y'}, 'place/c': {'region': 'x'}})
        result = apply_delta(old, compute_delta(old, new))
        self.assertEqual((result.generation, result.entries), (2, new.entries))
        self.assertEqual(result.digest, new.digest)
