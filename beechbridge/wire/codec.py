"""Frames between VMs: core messages to Thrift structs and back."""

from functools import singledispatch

import msgspec

from ..document import Delta, Document
from ..failures import Executed, Failure, InputFailure, Reason
from ..messages import (
    ConfigurationOffered,
    ConfigurationWanted,
    Gossip,
    MemberView,
    PeerMessage,
    RelayedOutcome,
    RelayedRequest,
    ReplicaSign,
)
from ..models import Done, Outcome, Ticket, TicketedRequest, VmIdentity
from ..record import Record
from .frames import DECODE_ERRORS, decode_struct, encode_struct
from .peer import ttypes

SOURCE = 'peer frame'
MAX_FRAME_BYTES = 8 * 1024 * 1024
FRAME_ERRORS = (*DECODE_ERRORS, msgspec.MsgspecError)
"""What Thrift and the conversion raise on frames that are not well formed."""


class Envelope(Record):
    """A message and the process that sent it."""

    __slots__ = ('message', 'sender')

    def __init__(self, sender: VmIdentity, message: PeerMessage):
        self.sender = sender
        self.message = message


def encode_frame(envelope: Envelope) -> bytes:
    """Return the bytes of one message."""
    sender = envelope.sender
    body = to_body(envelope.message)
    return encode_struct(ttypes.Envelope(sender.name, sender.incarnation, body))


def decode_frame(data: bytes) -> Envelope | InputFailure:
    """Read the bytes of one message."""
    if len(data) > MAX_FRAME_BYTES:
        return InputFailure(SOURCE, 'size', len(data), f'at most {MAX_FRAME_BYTES} bytes')
    try:
        return from_envelope(decode_struct(data, ttypes.Envelope))
    except FRAME_ERRORS as error:
        return InputFailure(SOURCE, 'frame', type(error).__name__, 'a well-formed envelope')


def from_envelope(frame: ttypes.Envelope) -> Envelope:
    """Convert a frame; raises one of DECODE_ERRORS where a part is missing or unknown."""
    sender = VmIdentity(frame.sender_name, frame.sender_incarnation)
    for name, read_part in BODY_READERS.items():
        part = getattr(frame.body, name)
        if part is None:
            continue
        part.validate()
        return Envelope(sender, read_part(part))
    raise ValueError('empty body')


@singledispatch
def to_body(message: object) -> ttypes.Body:
    """Convert a core message to the union of a frame."""
    raise TypeError(f'no frame for {type(message).__name__}')


@to_body.register
def gossip_to_body(message: Gossip) -> ttypes.Body:
    """Convert gossip."""
    members = []
    for view in message.members:
        identity = view.identity
        members.append(
            ttypes.MemberView(identity.name, identity.incarnation, view.heartbeat, view.leaving)
        )
    signs = []
    for sign in message.signs:
        signs.append(
            ttypes.ReplicaSign(
                sign.replica_id,
                sign.age_ms,
                sign.draining,
                sign.oldest_snapshot,
                sign.newest_snapshot,
            )
        )
    gossip = ttypes.Gossip(members, message.generation, message.digest, signs)
    return ttypes.Body(gossip=gossip)


def read_gossip(part: ttypes.Gossip) -> Gossip:
    """Convert gossip back."""
    members = []
    for view in part.members:
        view.validate()
        identity = VmIdentity(view.name, view.incarnation)
        members.append(MemberView(identity, view.heartbeat, view.leaving))
    signs = []
    for sign in part.signs:
        sign.validate()
        signs.append(
            ReplicaSign(
                sign.replica_id,
                sign.age_ms,
                sign.draining,
                sign.oldest_snapshot,
                sign.newest_snapshot,
            )
        )
    return Gossip(members, part.generation, part.digest, signs)


@to_body.register
def wanted_to_body(message: ConfigurationWanted) -> ttypes.Body:
    """Convert a request for configuration."""
    wanted = ttypes.ConfigurationWanted(message.generation, message.digest)
    return ttypes.Body(configuration_wanted=wanted)


def read_wanted(part: ttypes.ConfigurationWanted) -> ConfigurationWanted:
    """Convert a request for configuration back."""
    return ConfigurationWanted(part.generation, part.digest)


def encode_entries(entries: dict[str, dict]) -> dict[str, bytes]:
    """Return configuration entries as JSON by key."""
    return {key: msgspec.json.encode(value) for key, value in entries.items()}


def decode_entries(entries: dict[str, bytes]) -> dict[str, dict]:
    """Read configuration entries."""
    return {key: msgspec.json.decode(value, type=dict) for key, value in entries.items()}


@to_body.register
def offered_to_body(message: ConfigurationOffered) -> ttypes.Body:
    """Convert a whole document or a difference."""
    content = message.content
    if isinstance(content, Document):
        entries = encode_entries(content.entries)
        document = ttypes.Document(content.generation, content.digest, entries)
        return ttypes.Body(document=document)
    delta = ttypes.Delta(
        content.base_generation,
        content.base_digest,
        content.generation,
        content.digest,
        encode_entries(content.changed),
        content.removed,
    )
    return ttypes.Body(delta=delta)


def read_document(part: ttypes.Document) -> ConfigurationOffered:
    """Convert a whole document back; its digest is computed anew."""
    document = Document(part.generation, decode_entries(part.entries))
    if document.digest != part.digest:
        raise ValueError('digest does not match the entries')
    return ConfigurationOffered(document)


def read_delta(part: ttypes.Delta) -> ConfigurationOffered:
    """Convert a difference back."""
    delta = Delta(
        part.base_generation,
        part.base_digest,
        part.generation,
        part.digest,
        decode_entries(part.changed),
        list(part.removed),
    )
    return ConfigurationOffered(delta)


@to_body.register
def relayed_to_body(message: RelayedRequest) -> ttypes.Body:
    """Convert a relayed request."""
    request = message.request
    issuer = request.ticket.issuer
    part = ttypes.TicketedRequest(
        issuer.name,
        issuer.incarnation,
        request.ticket.number,
        request.back_end,
        request.key,
        request.body,
        int(request.deadline_ms),
    )
    return ttypes.Body(relayed_request=ttypes.RelayedRequest(message.relay_id, part))


def read_relayed(part: ttypes.RelayedRequest) -> RelayedRequest:
    """Convert a relayed request back."""
    request = part.request
    request.validate()
    ticket = Ticket(VmIdentity(request.issuer_name, request.issuer_incarnation), request.number)
    inner = TicketedRequest(
        ticket, request.back_end, request.key, request.body, request.deadline_ms
    )
    return RelayedRequest(part.relay_id, inner)


@to_body.register
def outcome_to_body(message: RelayedOutcome) -> ttypes.Body:
    """Convert the outcome of a relayed request."""
    outcome = to_outcome(message.outcome)
    return ttypes.Body(relayed_outcome=ttypes.RelayedOutcome(message.relay_id, outcome))


def to_outcome(outcome: Outcome) -> ttypes.Outcome:
    """Convert done, not run or unknown."""
    if isinstance(outcome, Done):
        result = msgspec.json.encode(outcome.result)
        return ttypes.Outcome(done=ttypes.Done(outcome.snapshot, result))
    failure = ttypes.Failure(
        outcome.reason.value, outcome.executed.value, outcome.detail, outcome.retry_after_ms
    )
    return ttypes.Outcome(failure=failure)


def read_outcome(part: ttypes.RelayedOutcome) -> RelayedOutcome:
    """Convert the outcome of a relayed request back."""
    done = part.outcome.done
    if done is not None:
        done.validate()
        result = msgspec.json.decode(done.result)
        return RelayedOutcome(part.relay_id, Done(done.snapshot, result))
    failure = part.outcome.failure
    failure.validate()
    outcome = Failure(
        Reason(failure.reason), Executed(failure.executed), failure.detail, failure.retry_after_ms
    )
    return RelayedOutcome(part.relay_id, outcome)


BODY_READERS = {
    'gossip': read_gossip,
    'configuration_wanted': read_wanted,
    'document': read_document,
    'delta': read_delta,
    'relayed_request': read_relayed,
    'relayed_outcome': read_outcome,
}
"""Field of the union to the function that converts it back."""
