"""Local copy of the platform's store, updated from the store itself or from other VMs."""

from ..events import ChangesReceived
from ..models import Item
from .dictionaries import Dictionaries

MAX_TOMBSTONES = 4_000
"""Deletions kept so that an older copy from another VM cannot restore a deleted item."""

MAX_REVISION = 2**53
"""Greatest revision and epoch: JSON numbers are exact up to here, and messages carry them."""

MAX_KEY_LENGTH = 200
ALL_PREFIXES = ('',)
"""Listed prefixes of a copy of all items."""


class StoreView:
    """
    Items by key, each at its latest revision.

    :param revision: revision up to which all changes have been applied
    :param epoch: epoch of the store that the revisions belong to
    :param update_count: number of updates applied so far
    """

    __slots__ = ('dictionaries', 'epoch', 'items', 'revision', 'tombstones', 'update_count')

    def __init__(self):
        self.epoch = 0
        self.items: dict[str, Item] = {}
        self.tombstones: dict[str, int] = {}
        self.revision = 0
        self.update_count = 0
        self.dictionaries = Dictionaries()

    @property
    def position(self) -> tuple[int, int]:
        """Return epoch and revision, which order the views of all VMs."""
        return self.epoch, self.revision

    def start_epoch(self, epoch: int) -> None:
        """Keep the items, but let any revision of the new epoch replace them."""
        self.epoch = epoch
        self.revision = 0
        self.tombstones.clear()
        for key, item in self.items.items():
            self.items[key] = Item(key, item.value, 0)

    def apply_changes(self, changes: list[Item], revision: int) -> list[Item]:
        """Apply changes; return those that were new."""
        applied = []
        self.update_count += 1
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

    def forward_changes(self, revision: int, epoch: int) -> ChangesReceived:
        """Return what another VM lacks that has applied all changes up to a position."""
        if epoch == self.epoch:
            changes = self.changes_after(revision)
            return ChangesReceived(changes, self.revision, is_from_store=False, epoch=epoch)
        items = list(self.items.values())
        return ChangesReceived(
            items, self.revision, ALL_PREFIXES, is_from_store=False, epoch=self.epoch
        )
