"""Copy of the platform's store that a VM works from, fed by the store or by other VMs."""

from ..models import Item

TOMBSTONES = 4_000
"""Deletions that are remembered, so that an older copy cannot bring an item back."""


class StoreView:
    """
    Items by key, each at its newest revision.

    :param revision: revision up to which every change is in
    """

    __slots__ = ('items', 'revision', 'tombstones')

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.tombstones: dict[str, int] = {}
        self.revision = 0

    def apply_changes(self, changes: list[Item], revision: int) -> list[Item]:
        """Take changes in; return those that were news."""
        news = []
        for change in changes:
            known = self.items.get(change.key)
            known_revision = known.revision if known else self.tombstones.get(change.key, 0)
            if change.revision <= known_revision:
                continue
            news.append(change)
            if change.value is None:
                self.items.pop(change.key, None)
                self.tombstones[change.key] = change.revision
                continue
            self.tombstones.pop(change.key, None)
            self.items[change.key] = change
        self.revision = max(self.revision, revision)
        while len(self.tombstones) > TOMBSTONES:
            self.tombstones.pop(next(iter(self.tombstones)))
        return news

    def find_missing(self, prefix: str, keys: set[str], revision: int) -> list[Item]:
        """Return deletions for items that a listing as of a revision no longer has."""
        missing = []
        for key, item in self.items.items():
            if key.startswith(prefix) and key not in keys and item.revision <= revision:
                missing.append(Item(key, None, revision))
        return missing

    def changes_after(self, revision: int) -> list[Item]:
        """Return what changed after a revision, deletions included."""
        changes = [item for item in self.items.values() if item.revision > revision]
        for key, deleted_revision in self.tombstones.items():
            if deleted_revision > revision:
                changes.append(Item(key, None, deleted_revision))
        return changes
