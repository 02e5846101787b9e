"""
Compression of messages between VMs with Zstandard.

A dictionary is a value that both ends have; a message with a newer version of it takes little
more than the difference. Encodings and their framing are those of RFC 9842.
"""

import base64
import binascii

from ..failures import InputFailure
from ..gateway.replicas.dictionaries import Dictionary

ZSTD = 'zstd'
DICTIONARY_ZSTD = 'dcz'
IDENTITY = 'identity'
DICTIONARY_FRAME_MAGIC = bytes.fromhex('5e2a4d1820000000')
"""Start of a message in `dcz`; the dictionary's digest follows."""

DIGEST_BYTES = 32
MIN_COMPRESSED_BYTES = 512
"""Size below which compression saves next to nothing."""

LEVEL = 3
WINDOW_LOG = 23
"""Binary logarithm of the window, which must span the dictionary and the message."""

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Largest message, compressed or not: the store's items of a hundred thousand replicas."""


def write_digest(digest: bytes) -> str:
    """Return the header value that names a dictionary."""
    return f':{base64.b64encode(digest).decode()}:'


def read_digest(text: str) -> bytes:
    """Return the digest in a header value, empty if there is none."""
    try:
        return base64.b64decode(text.strip().strip(':'), validate=True)
    except (binascii.Error, ValueError):
        return b''


def compress(message: bytes, dictionary: Dictionary | None) -> tuple[bytes, str]:
    """Return a compressed message and its encoding."""
    if len(message) < MIN_COMPRESSED_BYTES:
        return message, IDENTITY
    # Imported on first use because the start of the process needs no compression.
    import zstandard

    if dictionary is None:
        return zstandard.ZstdCompressor(level=LEVEL).compress(message), ZSTD
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(message),
        dict_size=len(dictionary.value),
        window_log=WINDOW_LOG,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=to_raw_dictionary(dictionary), compression_params=parameters
    )
    header = DICTIONARY_FRAME_MAGIC + dictionary.digest
    return header + compressor.compress(message), DICTIONARY_ZSTD


def decompress(data: bytes, encoding: str, dictionary: Dictionary | None) -> bytes | InputFailure:
    """Return the message; a failure if it is malformed or needs another dictionary."""
    if encoding == IDENTITY:
        return data
    import zstandard

    raw_dictionary = None
    if encoding == DICTIONARY_ZSTD:
        header = DICTIONARY_FRAME_MAGIC + (dictionary.digest if dictionary else b'')
        if dictionary is None or not data.startswith(header):
            return reject(encoding, 'compressed with another dictionary')
        data = data[len(header) :]
        raw_dictionary = to_raw_dictionary(dictionary)
    elif encoding != ZSTD:
        return reject(encoding, 'of an unknown encoding')
    try:
        if not 0 <= zstandard.frame_content_size(data) <= MAX_MESSAGE_BYTES:
            return reject(encoding, f'larger than {MAX_MESSAGE_BYTES} bytes, or of unknown size')
        decompressor = zstandard.ZstdDecompressor(dict_data=raw_dictionary)
        return decompressor.decompress(data, max_output_size=MAX_MESSAGE_BYTES)
    except zstandard.ZstdError as error:
        return reject(encoding, str(error))


def to_raw_dictionary(dictionary: Dictionary) -> object:
    """Return the library's form of a dictionary."""
    import zstandard

    return zstandard.ZstdCompressionDict(
        dictionary.value, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def reject(encoding: str, problem: str) -> InputFailure:
    """Return the failure of a message that cannot be decompressed."""
    return InputFailure('peer message', encoding, problem, 'a complete Zstandard frame')
