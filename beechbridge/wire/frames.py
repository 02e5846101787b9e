"""Encoding and decoding of the Thrift structs that VMs exchange."""

import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
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
"""Exceptions that Thrift raises for malformed frames."""


def encode_struct(frame: object) -> bytes:
    """Encode a Thrift struct."""
    buffer = TMemoryBuffer()
    frame.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_struct(data: bytes, struct_type: type) -> object:
    """
    Decode a Thrift struct.

    :raises: one of `DECODE_ERRORS` if the bytes are not one complete struct
    """
    frame = struct_type()
    limits = {'string_length_limit': len(data), 'container_length_limit': len(data)}
    frame.read(TCompactProtocolAccelerated(TMemoryBuffer(data), **limits))
    validate_struct(frame)
    return frame


def validate_struct(frame: object) -> None:
    """
    Check that a struct and those in it have all required fields.

    :raises TException: if one is missing
    """
    frame.validate()
    for name in frame.__slots__:
        value = getattr(frame, name)
        if hasattr(value, 'validate'):
            validate_struct(value)
        if not isinstance(value, list) or not value or not hasattr(value[0], 'validate'):
            continue
        for item in value:
            validate_struct(item)
