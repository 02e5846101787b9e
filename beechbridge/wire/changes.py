"""HTTP messages of a pull: the request for store changes, and the changes."""

import re
from collections.abc import Mapping
from urllib.parse import parse_qsl, urlencode

from ..failures import Failure
from ..gateway.actions import PullChanges
from ..gateway.events import ChangesReceived
from ..gateway.replicas.dictionaries import Dictionary
from ..gateway.replicas.store_view import StoreView
from ..record import Record
from .compression import (
    DICTIONARY_ZSTD,
    IDENTITY,
    ZSTD,
    compress,
    decompress,
    read_digest,
    write_digest,
)
from .fleet import decode_changes, encode_changes
from .http import HttpResponse

COUNT = re.compile(r'[0-9]{1,16}')
CHANGES_PATH = '/v1/changes'
ACCEPTED_HEADER = 'Accept-Encoding'
DICTIONARY_HEADER = 'Available-Dictionary'
ENCODING_HEADER = 'Content-Encoding'


class ChangesRequest(Record):
    """
    A request of another VM for the changes after a position.

    :param accepts_zstd: whether that VM can decompress
    :param digest: digest of the dictionary that it has, empty if it has none
    """

    __slots__ = ('accepts_zstd', 'digest', 'epoch', 'revision')

    def __init__(self, revision: int, epoch: int, accepts_zstd: bool = False, digest: bytes = b''):
        self.revision = revision
        self.epoch = epoch
        self.accepts_zstd = accepts_zstd
        self.digest = digest

    @property
    def key(self) -> tuple:
        """Return what two requests with the same response have in common."""
        return self.revision, self.epoch, self.accepts_zstd, self.digest


def write_pull(pull: PullChanges) -> tuple[str, dict[str, str]]:
    """Return target and headers of the request that a pull sends."""
    query = urlencode({'after': pull.revision, 'epoch': pull.epoch})
    headers = {ACCEPTED_HEADER: ZSTD}
    if pull.dictionary is not None:
        headers = {
            ACCEPTED_HEADER: f'{DICTIONARY_ZSTD}, {ZSTD}',
            DICTIONARY_HEADER: write_digest(pull.dictionary.digest),
        }
    return f'{CHANGES_PATH}?{query}', headers


def read_pull(query_text: str, headers: Mapping[str, str]) -> ChangesRequest:
    """
    Return the request of another VM; an older one accepts no compression.

    :param headers: header values by name
    """
    query = dict(parse_qsl(query_text))
    revision, epoch = (read_count(query.get(name, '')) for name in ('after', 'epoch'))
    accepted = {name.strip() for name in headers.get(ACCEPTED_HEADER, '').split(',')}
    digest = read_digest(headers.get(DICTIONARY_HEADER, ''))
    if DICTIONARY_ZSTD not in accepted:
        digest = b''
    return ChangesRequest(revision, epoch, ZSTD in accepted, digest)


def read_count(text: str) -> int:
    """Return a non-negative number from a query string, 0 if it is none."""
    return int(text) if COUNT.fullmatch(text) else 0


def write_changes(
    changes: ChangesReceived, request: ChangesRequest, view: StoreView
) -> HttpResponse:
    """Return the response with changes, compressed as well as the other VM understands it."""
    body = encode_changes(changes)
    encoding = IDENTITY
    if request.accepts_zstd:
        dictionary = view.dictionaries.find(request.digest)
        body, encoding = compress(body, dictionary)
    headers = [('Content-Type', 'application/octet-stream'), ('Content-Length', str(len(body)))]
    if encoding != IDENTITY:
        headers.append((ENCODING_HEADER, encoding))
    return HttpResponse('200 OK', headers, body)


def read_changes(
    body: bytes, encoding: str, dictionary: Dictionary | None
) -> ChangesReceived | Failure:
    """Return the changes in the response to a pull."""
    message = decompress(body, encoding, dictionary)
    if isinstance(message, Failure):
        return message
    return decode_changes(message)
