"""Read-only client of the platform's store."""

import base64
import binascii
import http.client
from urllib.parse import urlencode

import msgspec

from ..failures import PlatformFailure, Reason
from ..gateway.models import Item
from ..gateway.settings import Address
from ..record import Record

HISTORY_LOST_STATUS = 410
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class ItemBody(msgspec.Struct):
    """Wire format of one item or its deletion."""

    key: str
    rev: int
    value: str = ''
    """The item's bytes, Base64-encoded."""

    tombstone: bool = False
    """Whether the item was deleted at `rev`."""


class RangeBody(msgspec.Struct):
    """Wire format of a page of items."""

    items: list[ItemBody] = []
    current_rev: int = msgspec.field(name='currentRev', default=0)
    """Revision of the store, not of these items."""

    has_more: bool = msgspec.field(name='hasMore', default=False)


class WatchBody(msgspec.Struct):
    """Wire format of the changes after a revision."""

    events: list[ItemBody] = []
    current_rev: int = msgspec.field(name='currentRev', default=0)


class KeyBody(msgspec.Struct):
    """Wire format of one item and the revision of the store."""

    key: str
    rev: int
    value: str = ''
    current_rev: int = msgspec.field(name='currentRev', default=0)


class Listing(Record):
    """Items as of a revision, or the changes up to it."""

    __slots__ = ('items', 'revision')

    def __init__(self, items: list[Item], revision: int):
        self.items = items
        self.revision = revision


class HistoryLost(Record):
    """The store no longer has the requested changes: the items must be listed again."""

    __slots__ = ()


class StoreClient:
    """
    One connection to the store. Not thread-safe.

    :param timeout_s: response timeout in seconds, in addition to the wait time of a watch
    """

    __slots__ = ('address', 'connection', 'timeout_s')

    def __init__(self, address: Address, timeout_s: float):
        self.address = address
        self.timeout_s = timeout_s
        self.connection: http.client.HTTPConnection | None = None

    def get(self, key: str) -> Listing | PlatformFailure:
        """Read one item; return an empty listing if it does not exist."""
        answer = self.call('/kv-key', {'key': key}, 0.0)
        if isinstance(answer, PlatformFailure):
            return answer
        status, body = answer
        if status == http.client.NOT_FOUND:
            return Listing([], 0)
        found = decode_body(status, body, KeyBody)
        if isinstance(found, PlatformFailure):
            return found
        item = to_item(ItemBody(found.key, found.rev, found.value))
        return Listing([item], found.current_rev)

    def list(self, prefix: str) -> Listing | PlatformFailure:
        """Read all items under a prefix; the revision is that of the first page."""
        items: list[Item] = []
        revision = None
        parameters = {'prefix': prefix}
        while True:
            answer = self.call('/kv-range', parameters, 0.0)
            if isinstance(answer, PlatformFailure):
                return answer
            page = decode_body(*answer, RangeBody)
            if isinstance(page, PlatformFailure):
                return page
            items.extend(to_item(item) for item in page.items)
            if revision is None:
                revision = page.current_rev
            if not page.has_more or not page.items:
                return Listing(items, revision)
            parameters['after'] = page.items[-1].key

    def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Listing | HistoryLost | PlatformFailure:
        """Long-poll for changes under a prefix after a revision."""
        parameters = {'prefix': prefix, 'after': revision, 'waitMs': wait_ms}
        answer = self.call('/kv-watch', parameters, wait_ms / 1000.0)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer[0] == HISTORY_LOST_STATUS:
            return HistoryLost()
        found = decode_body(*answer, WatchBody)
        if isinstance(found, PlatformFailure):
            return found
        return Listing([to_item(event) for event in found.events], found.current_rev)

    def call(
        self, path: str, parameters: dict, wait_s: float
    ) -> tuple[int, bytes] | PlatformFailure:
        """Send one request; a connection that failed is closed and not reused."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.address.host, self.address.port, timeout=self.timeout_s
            )
        connection = self.connection
        try:
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(self.timeout_s + wait_s)
            connection.request('GET', f'{path}?{urlencode(parameters)}')
            response = connection.getresponse()
            body = response.read(MAX_ANSWER_BYTES)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=type(error).__name__)
        if response.will_close:
            self.close()
        return response.status, body

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def decode_body(status: int, body: bytes, body_type: type) -> object | PlatformFailure:
    """Decode the body of a successful response."""
    if status != http.client.OK:
        # The detail is a metric label.
        return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=f'status {status}')
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return PlatformFailure(Reason.INVALID_DOCUMENT, detail=str(error))


def to_item(body: ItemBody) -> Item:
    """
    Convert a wire item to a store item.

    A value that is not valid Base64 is kept as it is; decoding the item reports it later.
    """
    if body.tombstone:
        return Item(body.key, None, body.rev)
    try:
        value = base64.b64decode(body.value, validate=True)
    except (binascii.Error, ValueError):
        value = body.value.encode()
    return Item(body.key, value, body.rev)
