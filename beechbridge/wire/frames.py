"""Thrift structs and their bytes, as all messages between VMs use them."""

import struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    struct.error,
)
"""What Thrift raises on frames that are not well formed."""


def encode_struct(frame: object) -> bytes:
    """Return the bytes of a Thrift struct."""
    buffer = TMemoryBuffer()
    frame.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_struct(data: bytes, kind: type) -> object:
    """
    Read a Thrift struct.

    :raises: one of `DECODE_ERRORS` if the bytes are not a whole one
    """
    frame = kind()
    limits = {'string_length_limit': len(data), 'container_length_limit': len(data)}
    frame.read(TBinaryProtocolAccelerated(TMemoryBuffer(data), **limits))
    frame.validate()
    return frame
