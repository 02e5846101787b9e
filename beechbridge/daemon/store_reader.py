"""Thread that follows the platform's store and posts its changes as events."""

import threading
from collections.abc import Callable

from ..failures import PlatformFailure
from ..gateway.events import ChangesReceived, StoreFailed
from ..gateway.models import Item
from ..platform.store import HistoryLost, StoreClient

WATCH_TIMEOUT_MS = 2_500
"""Long-poll timeout of one watch; a dead connection is detected only after this time."""

BATCH_DELAY_S = 0.15
"""Pause after a change, so that the next call returns further changes as one batch."""

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0


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
        self.revision = revision
        self.following.set()

    def run(self) -> None:
        """Read the store until stopped."""
        while not self.stopped.is_set():
            self.following.wait()
            failure = self.list_all() if self.revision is None else self.watch_once()
            if failure is None:
                self.backoff_s = INITIAL_BACKOFF_S
                continue
            self.post(StoreFailed(failure.detail))
            self.stopped.wait(self.backoff_s)
            self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)

    def list_all(self) -> PlatformFailure | None:
        """List all prefixes and post their items; start over if the epoch changes meanwhile."""
        items: list[Item] = []
        revision = epoch = None
        for prefix in self.prefixes:
            listing = self.client.list(prefix)
            if isinstance(listing, PlatformFailure):
                return listing
            if isinstance(listing, HistoryLost) or epoch not in (None, listing.epoch):
                return None
            epoch = listing.epoch
            items.extend(listing.items)
            # Changes are known to be complete only up to the oldest listing.
            revision = listing.revision if revision is None else min(revision, listing.revision)
        self.epoch = epoch
        self.revision = revision
        self.post(ChangesReceived(items, revision, self.prefixes, epoch=epoch))
        return None

    def watch_once(self) -> PlatformFailure | None:
        """Wait for changes and post them."""
        revision = self.revision
        listing = self.client.watch(self.watched_prefix, revision, WATCH_TIMEOUT_MS)
        if isinstance(listing, PlatformFailure):
            return listing
        if isinstance(listing, HistoryLost) or listing.epoch != self.epoch:
            # After a restoration the store counts its revisions anew, so that it may have this one
            # again with other changes behind it.
            self.revision = None
            return None
        new_revision = max(revision, listing.revision)
        if self.revision == revision:
            # Otherwise `follow` has set another revision in the meantime.
            self.revision = new_revision
        self.post(ChangesReceived(listing.items, new_revision, epoch=listing.epoch))
        if listing.items:
            self.stopped.wait(BATCH_DELAY_S)
        return None

    def stop(self) -> None:
        """End the thread after its current call."""
        self.stopped.set()
