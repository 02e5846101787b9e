"""Messages between gateways as Thrift frames: heartbeats and changes of the store."""

import struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ..failures import Failure, InputFailure
from ..gateway.actions import SendHeartbeat
from ..gateway.events import ChangesRead, HeartbeatArrived
from ..gateway.models import Item, Member
from .peer import ttypes

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


def encode(frame: object) -> bytes:
    """Return the bytes of a Thrift struct."""
    buffer = TMemoryBuffer()
    frame.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(data: bytes, kind: type) -> object | Failure:
    """Read a Thrift struct, or return why it cannot be read."""
    frame = kind()
    try:
        frame.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
        frame.validate()
    except DECODE_ERRORS as error:
        return InputFailure('peer frame', kind.__name__, type(error).__name__, 'a whole struct')
    return frame


def encode_heartbeat(action: SendHeartbeat) -> bytes:
    """Return the bytes of a heartbeat."""
    members = []
    for member in action.members:
        members.append(
            ttypes.FleetMember(
                member.name,
                member.host,
                member.zone,
                member.incarnation,
                member.heartbeat,
                member.is_serving,
                member.capacity_millicores,
                member.reaches_store,
                round(member.rate_per_s),
            )
        )
    frame = ttypes.Heartbeat(members, action.table_version, action.revision, action.wants_members)
    return encode(frame)


def decode_heartbeat(data: bytes) -> HeartbeatArrived | Failure:
    """Read a heartbeat."""
    frame = decode(data, ttypes.Heartbeat)
    if isinstance(frame, Failure):
        return frame
    members = []
    for view in frame.members:
        member = Member(view.name, view.host, view.zone, view.incarnation, view.heartbeat)
        member.is_serving = view.serving
        member.capacity_millicores = view.capacity_millicores
        member.reaches_store = view.reaches_store
        member.rate_per_s = float(view.requests_per_s)
        members.append(member)
    return HeartbeatArrived(members, frame.table_version, frame.revision, frame.wants_members)


def encode_changes(changes: list[Item], revision: int) -> bytes:
    """Return the bytes of changes of the store."""
    items = [ttypes.StoreItem(item.key, item.value, item.revision) for item in changes]
    return encode(ttypes.StoreChanges(revision, items))


def decode_changes(data: bytes) -> ChangesRead | Failure:
    """Read changes of the store that another VM tells of."""
    frame = decode(data, ttypes.StoreChanges)
    if isinstance(frame, Failure):
        return frame
    changes = [Item(item.key, item.value, item.revision) for item in frame.items]
    return ChangesRead(changes, frame.revision, is_from_store=False)
