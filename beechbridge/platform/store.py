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
from ..wire.bounded_http import LimitedConnection, read_body
from .names import STORE_EPOCH

HISTORY_LOST_STATUS = 410
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest response: a page has about 1 MB, the changes of a burst several."""

ANSWER_TIME_FACTOR = 5.0
"""Multiple of the timeout within which a response that has begun must end."""


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


class StoreAnswer(Record):
    """
    One response of the store.

    :param epoch: number of restorations of the store from an older copy; revisions of different
        epochs cannot be compared
    """

    __slots__ = ('body', 'epoch', 'status')

    def __init__(self, status: int, body: bytes, epoch: int):
        self.status = status
        self.body = body
        self.epoch = epoch


class Page(Record):
    """
    Some of the items under a prefix.

    :param revision: revision of the store when it sent them
    :param has_more: whether further items follow
    """

    __slots__ = ('epoch', 'has_more', 'items', 'revision')

    def __init__(self, items: list[Item], revision: int, epoch: int, has_more: bool):
        self.items = items
        self.revision = revision
        self.epoch = epoch
        self.has_more = has_more


class Changes(Record):
    """Changes up to a revision, in one epoch of the store."""

    __slots__ = ('epoch', 'items', 'revision')

    def __init__(self, items: list[Item], revision: int, epoch: int = 0):
        self.items = items
        self.revision = revision
        self.epoch = epoch


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
        self.connection: LimitedConnection | None = None

    def list_page(self, prefix: str, after: str) -> Page | PlatformFailure:
        """Read the items under a prefix that follow a key, as many as the store sends at once."""
        parameters = {'prefix': prefix}
        if after:
            parameters['after'] = after
        answer = self.call('/kv-range', parameters, 0.0)
        if isinstance(answer, PlatformFailure):
            return answer
        body = decode_body(answer, RangeBody)
        if isinstance(body, PlatformFailure):
            return body
        items = [to_item(item) for item in body.items]
        return Page(items, body.current_rev, answer.epoch, body.has_more)

    def watch(
        self, prefix: str, revision: int, wait_ms: int
    ) -> Changes | HistoryLost | PlatformFailure:
        """Long-poll for changes under a prefix after a revision."""
        parameters = {'prefix': prefix, 'after': revision, 'waitMs': wait_ms}
        answer = self.call('/kv-watch', parameters, wait_ms / 1000.0)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status == HISTORY_LOST_STATUS:
            return HistoryLost()
        found = decode_body(answer, WatchBody)
        if isinstance(found, PlatformFailure):
            return found
        events = [to_item(event) for event in found.events]
        return Changes(events, found.current_rev, answer.epoch)

    def call(self, path: str, parameters: dict, wait_s: float) -> StoreAnswer | PlatformFailure:
        """Send one request; a connection that failed is closed and not reused."""
        if self.connection is None:
            self.connection = LimitedConnection(
                self.address.host, self.address.port, self.timeout_s, MAX_ANSWER_BYTES
            )
        connection = self.connection
        try:
            if connection.sock is None:
                connection.connect()
            connection.timeout = self.timeout_s + wait_s
            connection.limit_time(ANSWER_TIME_FACTOR * self.timeout_s + wait_s)
            connection.request('GET', f'{path}?{urlencode(parameters)}')
            response = connection.getresponse()
            body = read_body(response)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=type(error).__name__)
        if response.will_close:
            self.close()
        epoch = read_epoch(response.getheader(STORE_EPOCH))
        return StoreAnswer(response.status, body, epoch)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def read_epoch(text: str | None) -> int:
    """Return the epoch in a response header, 0 if the store sends none."""
    return int(text) if text is not None and text.isdecimal() else 0


def decode_body(answer: StoreAnswer, body_type: type) -> object | PlatformFailure:
    """Decode the body of a successful response."""
    if answer.status != http.client.OK:
        # The detail is a metric label.
        return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=f'status {answer.status}')
    try:
        return msgspec.json.decode(answer.body, type=body_type)
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
