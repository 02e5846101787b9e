"""Thread that follows the platform's store and reports what changes."""

import threading
from collections.abc import Callable

from ..failures import PlatformFailure
from ..gateway.events import ChangesReceived, StoreFailed
from ..gateway.models import Item
from ..platform.store import HistoryLost, StoreClient

WATCH_WAIT_MS = 2_500
"""Longest wait of one watch: a silent connection is noticed only after it."""

SETTLE_S = 0.15
"""Pause after a change, in which further ones gather for the next call."""

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 1.0


class StoreReader:
    """
    Follows some prefixes of the store.

    :param client: used by this reader alone
    :param prefixes: what is listed at the start and after a lost history
    :param watched: common prefix of them all
    :param post: takes the events
    """

    __slots__ = (
        'backoff_s',
        'client',
        'post',
        'prefixes',
        'revision',
        'stopped',
        'wanted',
        'watched',
    )

    def __init__(
        self,
        client: StoreClient,
        prefixes: tuple[str, ...],
        watched: str,
        post: Callable[[object], None],
    ):
        self.client = client
        self.prefixes = prefixes
        self.watched = watched
        self.post = post
        self.revision: int | None = None
        self.backoff_s = FIRST_BACKOFF_S
        self.stopped = threading.Event()
        self.wanted = threading.Event()

    def start(self) -> None:
        """Start reading."""
        threading.Thread(target=self.run, name=f'store-{self.watched}', daemon=True).start()

    def follow(self, is_wanted: bool, revision: int | None) -> None:
        """
        Start or stop following, from any thread.

        :param revision: revision up to which everything is known, None if nothing is
        """
        if not is_wanted:
            self.wanted.clear()
            return
        self.revision = revision
        self.wanted.set()

    def run(self) -> None:
        """Read until the process ends."""
        while not self.stopped.is_set():
            self.wanted.wait()
            failure = self.list_all() if self.revision is None else self.watch_once()
            if failure is None:
                self.backoff_s = FIRST_BACKOFF_S
                continue
            self.post(StoreFailed(failure.detail))
            self.stopped.wait(self.backoff_s)
            self.backoff_s = min(LONGEST_BACKOFF_S, 2 * self.backoff_s)

    def list_all(self) -> PlatformFailure | None:
        """Read everything anew."""
        items: list[Item] = []
        revision = None
        for prefix in self.prefixes:
            listing = self.client.list(prefix)
            if isinstance(listing, PlatformFailure):
                return listing
            items.extend(listing.items)
            # The oldest listing bounds what is known to be complete.
            revision = listing.revision if revision is None else min(revision, listing.revision)
        self.revision = revision
        self.post(ChangesReceived(items, revision, listed_prefixes=self.prefixes))
        return None

    def watch_once(self) -> PlatformFailure | None:
        """Wait for the next changes."""
        revision = self.revision
        listing = self.client.watch(self.watched, revision, WATCH_WAIT_MS)
        if isinstance(listing, PlatformFailure):
            return listing
        if isinstance(listing, HistoryLost):
            self.revision = None
            return None
        reached = max(revision, listing.revision)
        if self.revision == revision:
            # Otherwise the following began anew meanwhile, from another revision.
            self.revision = reached
        self.post(ChangesReceived(listing.items, reached))
        if listing.items:
            self.stopped.wait(SETTLE_S)
        return None

    def stop(self) -> None:
        """Let the thread end after its call."""
        self.stopped.set()
