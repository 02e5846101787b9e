"""Rendezvous hashing: assigns keys to names without coordination."""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8
MAX_RANK_SCORE = 2 ** (8 * SCORE_BYTES) - 1


def rank_score(key: str, name: str) -> int:
    """Return a name's score for a key; the highest score owns the key."""
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, 'big')


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their score for a key."""
    return sorted(names, key=lambda name: (-rank_score(key, name), name))
