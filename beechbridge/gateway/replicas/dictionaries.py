"""Large tables of the store that two VMs both have, as dictionaries to compress newer ones."""

import hashlib

from ...record import Record

MIN_DICTIONARY_BYTES = 2_048
MAX_DICTIONARIES = 4
"""Values kept: the current routing table and those that slower VMs may still have."""


class Dictionary(Record):
    """
    A value of the store as a compression dictionary.

    :param digest: SHA-256 digest of the value
    """

    __slots__ = ('digest', 'value')

    def __init__(self, value: bytes):
        self.value = value
        self.digest = hashlib.sha256(value).digest()


class Dictionaries:
    """Latest large tables of a VM's copy of the store, the newest last."""

    __slots__ = ('entries',)

    def __init__(self):
        self.entries: list[Dictionary] = []

    @property
    def latest(self) -> Dictionary | None:
        """Return the newest dictionary, None if there is none."""
        return self.entries[-1] if self.entries else None

    def add(self, value: bytes) -> None:
        """Keep a value if it is large, and forget the oldest one."""
        if len(value) < MIN_DICTIONARY_BYTES:
            return
        self.entries.append(Dictionary(value))
        del self.entries[:-MAX_DICTIONARIES]

    def find(self, digest: bytes) -> Dictionary | None:
        """Return the dictionary with a digest, None if it is not held."""
        for entry in self.entries:
            if entry.digest == digest:
                return entry
        return None
