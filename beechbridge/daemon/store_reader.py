"""Thread that follows the platform's store and posts its changes as events."""

import threading
from collections.abc import Callable

from ..defects import describe_defect
from ..failures import Failure, PlatformFailure, Reason
from ..gateway.events import ChangesReceived, StoreFailed
from ..gateway.models import Item
from ..platform.store import HistoryLost, Page, StoreClient
from ..record import Record
from .log_lines import write_line

WATCH_TIMEOUT_MS = 2_500
"""Long-poll timeout of one watch; a dead connection is detected only after this time."""

BATCH_DELAY_S = 0.15
"""Pause after a change, so that the next call returns further changes as one batch."""

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0


class PartialListing(Record):
    """
    The items under some prefixes as far as they have been read; a failed call loses none of them.

    :param prefixes: prefixes that are not yet listed in full
    :param after: last key read under the first of them
    :param revision: revision of the oldest page: later changes may be missing
    :param unreadable: failures of items whose keys cannot be read
    """

    __slots__ = ('after', 'epoch', 'items', 'prefixes', 'revision', 'unreadable')

    def __init__(self, prefixes: tuple[str, ...]):
        self.prefixes = list(prefixes)
        self.after = ''
        self.items: list[Item] = []
        self.unreadable: list[Failure] = []
        self.revision: int | None = None
        self.epoch: int | None = None

    @property
    def prefix(self) -> str:
        """Return the prefix to read next."""
        return self.prefixes[0]

    @property
    def is_complete(self) -> bool:
        """Return whether all prefixes are listed."""
        return not self.prefixes

    def add(self, page: Page) -> None:
        """Add the next page."""
        self.epoch = page.epoch
        self.revision = min(page.revision, self.revision or page.revision)
        self.items.extend(page.items)
        self.unreadable.extend(page.unreadable)
        if page.last_key:
            self.after = page.last_key
            return
        self.prefixes.pop(0)
        self.after = ''


class StoreReader:
    """
    Follows the items under some prefixes of the store.

    :param client: client for the exclusive use of this reader
    :param prefixes: prefixes to list at the start and after the store has lost its history
    :param watched_prefix: common prefix of all prefixes, under which changes are watched
    :param post: receives the events
    """

    __slots__ = (
        'backoff_s',
        'client',
        'epoch',
        'following',
        'listing',
        'post',
        'prefixes',
        'revision',
        'stopped',
        'watched_prefix',
    )

    def __init__(
        self,
        client: StoreClient,
        prefixes: tuple[str, ...],
        watched_prefix: str,
        post: Callable[[object], None],
    ):
        self.client = client
        self.prefixes = prefixes
        self.watched_prefix = watched_prefix
        self.post = post
        self.revision: int | None = None
        self.listing = PartialListing(prefixes)
        self.epoch = 0
        self.backoff_s = INITIAL_BACKOFF_S
        self.stopped = threading.Event()
        self.following = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, name=f'store-{self.watched_prefix}', daemon=True).start()

    def follow(self, should_follow: bool, revision: int | None, epoch: int = 0) -> None:
        """
        Start or stop following the store; thread-safe.

        :param revision: revision up to which all changes are known, None to start with a listing
        :param epoch: epoch of the store that the revision belongs to
        """
        if not should_follow:
            self.following.clear()
            return
        self.epoch = epoch
        self.listing = PartialListing(self.prefixes)
        self.revision = revision
        self.following.set()

    def run(self) -> None:
        """Read the store until stopped."""
        while not self.stopped.is_set():
            self.following.wait()
            failure = self.read_next()
            if failure is None:
                self.backoff_s = INITIAL_BACKOFF_S
                continue
            self.post(StoreFailed(failure.detail))
            self.stopped.wait(self.backoff_s)
            self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)

    def read_next(self) -> PlatformFailure | None:
        """Read the next page or wait for changes; a defect counts as a failed call."""
        try:
            return self.list_next_page() if self.revision is None else self.watch_once()
        except Exception as error:
            fields = describe_defect(error)
            write_line('thread_failed', {'thread': 'store', **fields})
            self.client.close()
            return PlatformFailure(Reason.INTERNAL, detail=fields['error'])

    def list_next_page(self) -> PlatformFailure | None:
        """Read the next page of the listing; post the items after the last one."""
        listing = self.listing
        page = self.client.list_page(listing.prefix, listing.after)
        if isinstance(page, PlatformFailure):
            return page
        if self.listing is not listing:
            # `follow` has begun another listing in the meantime.
            return None
        if listing.epoch not in (None, page.epoch):
            # Pages of two epochs do not belong together.
            self.listing = PartialListing(self.prefixes)
            return None
        listing.add(page)
        if not listing.is_complete:
            return None
        self.listing = PartialListing(self.prefixes)
        self.epoch = listing.epoch
        self.revision = listing.revision
        self.post(
            ChangesReceived(
                listing.items,
                listing.revision,
                self.prefixes,
                epoch=listing.epoch,
                unreadable=listing.unreadable,
            )
        )
        return None

    def watch_once(self) -> PlatformFailure | None:
        """Wait for changes and post them."""
        revision = self.revision
        changes = self.client.watch(self.watched_prefix, revision, WATCH_TIMEOUT_MS)
        if isinstance(changes, PlatformFailure):
            if changes.reason is Reason.TOO_LARGE and self.revision == revision:
                # The same changes would be too large again; a listing comes in pages.
                self.revision = None
            return changes
        if isinstance(changes, HistoryLost) or changes.epoch != self.epoch:
            # After a restoration the store counts its revisions anew, so that it may have this one
            # again with other changes behind it.
            self.revision = None
            return None
        new_revision = max(revision, changes.revision)
        if self.revision == revision:
            # Otherwise `follow` has set another revision in the meantime.
            self.revision = new_revision
        self.post(
            ChangesReceived(
                changes.items,
                new_revision,
                epoch=changes.epoch,
                unreadable=changes.unreadable,
            )
        )
        if changes.items:
            self.stopped.wait(BATCH_DELAY_S)
        return None

    def stop(self) -> None:
        """End the thread after its current call."""
        self.stopped.set()
