"""Local copy of the platform's store, updated from the store itself or from other VMs."""

from ..models import Item

MAX_TOMBSTONES = 4_000
"""Deletions kept so that an older copy from another VM cannot restore a deleted item."""


class StoreView:
    """
    Items by key, each at its latest revision.

    :param revision: revision up to which all changes have been applied
    """

    __slots__ = ('items', 'revision', 'tombstones')

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.tombstones: dict[str, int] = {}
        self.revision = 0

    def apply_changes(self, changes: list[Item], revision: int) -> list[Item]:
        """Apply changes; return those that were new."""
        applied = []
        for change in changes:
            known = self.items.get(change.key)
            known_revision = known.revision if known else self.tombstones.get(change.key, 0)
            if change.revision <= known_revision:
                continue
            applied.append(change)
            if change.value is None:
                self.items.pop(change.key, None)
                self.tombstones[change.key] = change.revision
                continue
            self.tombstones.pop(change.key, None)
            self.items[change.key] = change
        self.revision = max(self.revision, revision)
        while len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.pop(next(iter(self.tombstones)))
        return applied

    def find_missing(self, prefix: str, keys: set[str], revision: int) -> list[Item]:
        """Return deletions of the items that are absent from a listing at a revision."""
        missing = []
        for key, item in self.items.items():
            if key.startswith(prefix) and key not in keys and item.revision <= revision:
                missing.append(Item(key, None, revision))
        return missing

    def changes_after(self, revision: int) -> list[Item]:
        """Return the changes after a revision, including deletions."""
        changes = [item for item in self.items.values() if item.revision > revision]
        for key, deleted_revision in self.tombstones.items():
            if deleted_revision > revision:
                changes.append(Item(key, None, deleted_revision))
        return changes
