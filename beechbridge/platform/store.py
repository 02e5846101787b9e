"""Read-only client of the platform's store."""

import base64
import binascii
import http.client
import re
from typing import Annotated
from urllib.parse import urlencode

import msgspec
from msgspec import UNSET, Meta, UnsetType

from ..failures import InputFailure, PlatformFailure, Reason
from ..gateway.models import Item
from ..gateway.replicas.store_view import MAX_KEY_LENGTH, MAX_REVISION
from ..gateway.settings import Address
from ..record import Record
from ..wire.bounded_http import LimitedConnection, OversizedResponseError, read_body
from .items import MAX_ENTRY_BYTES, Count, is_used
from .names import STORE_EPOCH, TABLE_KEY

HISTORY_LOST_STATUS = 410
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest response: a page has about 1 MB, the changes of a burst several."""

EPOCH = re.compile(r'[0-9]{1,15}')
ANSWER_TIME_FACTOR = 5.0
"""Multiple of the timeout within which a response that has begun must end."""


Revision = Annotated[int, Meta(ge=1, le=MAX_REVISION)]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_LENGTH)]


class ItemBody(msgspec.Struct):
    """Wire format of one item, or of its deletion, which has a key and a revision only."""

    key: Key
    rev: Revision
    value: str | UnsetType = UNSET
    """The item's bytes, Base64-encoded."""

    created: Revision | UnsetType = UNSET
    lease: Count | UnsetType = UNSET
    tombstone: bool = False
    """Whether the item was deleted at `rev`."""

    def __post_init__(self) -> None:
        """
        Check which fields are there together.

        :raises ValueError: if it is neither an item as it was written nor a deletion
        """
        if not self.tombstone and UNSET in (self.value, self.created, self.lease):
            raise ValueError('Expected `value`, `created` and `lease`, or `tombstone`')


class KeyBody(msgspec.Struct):
    """The key of an item of which nothing else can be read."""

    key: Key


class RangeBody(msgspec.Struct):
    """Wire format of a page of items, which are decoded one by one."""

    items: list[msgspec.Raw]
    current_rev: Revision = msgspec.field(name='currentRev')
    """Revision of the store, not of these items."""

    has_more: bool = msgspec.field(name='hasMore')


class WatchBody(msgspec.Struct):
    """Wire format of the changes after a revision, which are decoded one by one."""

    events: list[msgspec.Raw]
    current_rev: Revision = msgspec.field(name='currentRev')


DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
ITEM_DECODER = msgspec.json.Decoder(ItemBody)
KEY_DECODER = msgspec.json.Decoder(KeyBody)


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
    :param last_key: key after which further items follow, empty if there are none
    :param unreadable: failures of items whose keys cannot be read
    """

    __slots__ = ('epoch', 'items', 'last_key', 'revision', 'unreadable')

    def __init__(
        self,
        items: list[Item],
        revision: int,
        epoch: int,
        last_key: str = '',
        unreadable: list[InputFailure] | None = None,
    ):
        self.items = items
        self.revision = revision
        self.epoch = epoch
        self.last_key = last_key
        self.unreadable = unreadable or []


class Changes(Record):
    """
    Changes up to a revision, in one epoch of the store.

    :param unreadable: failures of changes whose keys cannot be read
    """

    __slots__ = ('epoch', 'items', 'revision', 'unreadable')

    def __init__(
        self,
        items: list[Item],
        revision: int,
        epoch: int = 0,
        unreadable: list[InputFailure] | None = None,
    ):
        self.items = items
        self.revision = revision
        self.epoch = epoch
        self.unreadable = unreadable or []


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
        items, unreadable = read_items(body.items, body.current_rev)
        last_key = items[-1].key if items and body.has_more else ''
        if body.has_more and not last_key:
            return PlatformFailure(Reason.INVALID_DOCUMENT, detail='a page without a key')
        return Page(items, body.current_rev, answer.epoch, last_key, unreadable)

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
        items, unreadable = read_items(found.events, found.current_rev)
        changes = [item for item in items if is_used(item.key)]
        return Changes(changes, found.current_rev, answer.epoch, unreadable)

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
        except OversizedResponseError as error:
            self.close()
            return PlatformFailure(Reason.TOO_LARGE, detail=type(error).__name__)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=type(error).__name__)
        if response.will_close:
            self.close()
        epoch = read_epoch(response.getheader(STORE_EPOCH))
        if epoch is None:
            return PlatformFailure(Reason.INVALID_DOCUMENT, detail=f'unreadable {STORE_EPOCH}')
        return StoreAnswer(response.status, body, epoch)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def read_epoch(text: str | None) -> int | None:
    """Return the epoch in a response header: 0 if there is none, None if it is no number."""
    if text is None:
        return 0
    return int(text) if EPOCH.fullmatch(text) else None


def decode_body(answer: StoreAnswer, body_type: type) -> object | PlatformFailure:
    """Decode the body of a successful response."""
    if answer.status != http.client.OK:
        # The detail is a metric label.
        return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=f'status {answer.status}')
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except DECODE_ERRORS as error:
        return PlatformFailure(Reason.INVALID_DOCUMENT, detail=str(error))


def read_items(bodies: list[msgspec.Raw], revision: int) -> tuple[list[Item], list[InputFailure]]:
    """
    Decode the items of a list, each on its own.

    :param revision: revision of the store when it sent them
    :return: the items, and failures of those whose keys cannot be read
    """
    items = []
    unreadable = []
    for body in bodies:
        item = read_item(body, revision)
        if isinstance(item, InputFailure):
            unreadable.append(item)
            continue
        items.append(item)
    return items, unreadable


def read_item(body: msgspec.Raw, revision: int) -> Item | InputFailure:
    """Decode one item; one of which only the key can be read has an empty value."""
    try:
        item = ITEM_DECODER.decode(body)
    except DECODE_ERRORS as error:
        cause = str(error)
    else:
        return to_item(item)
    try:
        return Item(KEY_DECODER.decode(body).key, b'', revision)
    except DECODE_ERRORS:
        return InputFailure('store', 'item', cause, 'an item or its deletion')


def to_item(body: ItemBody) -> Item:
    """
    Convert a wire item to a store item.

    A value that is not valid Base64 is empty. Of an entry that is too large only so much is kept
    that it still is: each VM has a copy.
    """
    if body.tombstone:
        return Item(body.key, None, body.rev)
    try:
        value = base64.b64decode(body.value, validate=True)
    except (binascii.Error, ValueError):
        value = b''
    if body.key != TABLE_KEY:
        value = value[: MAX_ENTRY_BYTES + 1]
    return Item(body.key, value, body.rev)
