"""Encodes messages between daemons as Thrift frames and decodes them."""

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
from ..models import MAX_DURATION_MS, Done, Outcome, Ticket, TicketedRequest, VmIdentity
from ..record import Record
from .frames import DECODE_ERRORS, decode_struct, encode_struct
from .peer import ttypes

SOURCE = 'peer frame'
MAX_FRAME_BYTES = 8 * 1024 * 1024
FRAME_ERRORS = (*DECODE_ERRORS, msgspec.MsgspecError)
"""Exceptions that Thrift and the conversion raise for malformed frames."""


class Envelope(Record):
    """Message with the identity of the process that sent it."""

    __slots__ = ('message', 'sender')

    def __init__(self, sender: VmIdentity, message: PeerMessage):
        self.sender = sender
        self.message = message


def encode_frame(envelope: Envelope) -> bytes:
    """Encode one message."""
    sender = envelope.sender
    body = to_body(envelope.message)
    return encode_struct(ttypes.Envelope(sender.name, sender.incarnation, body))


def decode_frame(data: bytes) -> Envelope | InputFailure:
    """Decode one message."""
    if len(data) > MAX_FRAME_BYTES:
        return InputFailure(SOURCE, 'size', len(data), f'at most {MAX_FRAME_BYTES} bytes')
    try:
        return from_envelope(decode_struct(data, ttypes.Envelope))
    except FRAME_ERRORS as error:
        return InputFailure(
            SOURCE, 'frame', f'malformed ({type(error).__name__})', 'a complete envelope'
        )


def from_envelope(frame: ttypes.Envelope) -> Envelope:
    """
    Convert a frame.

    :raises: one of `FRAME_ERRORS` if a field is missing or the type of message is unknown
    """
    sender = VmIdentity(frame.sender_name, frame.sender_incarnation)
    for name, convert in BODY_CONVERTERS.items():
        payload = getattr(frame.body, name)
        if payload is None:
            continue
        payload.validate()
        return Envelope(sender, convert(payload))
    raise ValueError('body has no known message')


@singledispatch
def to_body(message: object) -> ttypes.Body:
    """Convert a message to the body of a frame."""
    raise TypeError(f'no frame for {type(message).__name__}')


@to_body.register
def gossip_to_body(message: Gossip) -> ttypes.Body:
    """Convert gossip to a body."""
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


def gossip_from_body(payload: ttypes.Gossip) -> Gossip:
    """Convert a body to gossip."""
    members = []
    for view in payload.members:
        view.validate()
        identity = VmIdentity(view.name, view.incarnation)
        members.append(MemberView(identity, view.heartbeat, view.leaving))
    signs = []
    for sign in payload.signs:
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
    return Gossip(members, payload.generation, payload.digest, signs)


@to_body.register
def configuration_wanted_to_body(message: ConfigurationWanted) -> ttypes.Body:
    """Convert a request for the configuration to a body."""
    wanted = ttypes.ConfigurationWanted(message.generation, message.digest)
    return ttypes.Body(configuration_wanted=wanted)


def configuration_wanted_from_body(payload: ttypes.ConfigurationWanted) -> ConfigurationWanted:
    """Convert a body to a request for the configuration."""
    return ConfigurationWanted(payload.generation, payload.digest)


def encode_entries(entries: dict[str, dict]) -> dict[str, bytes]:
    """Encode configuration entries as JSON, by key."""
    return {key: msgspec.json.encode(value) for key, value in entries.items()}


def decode_entries(entries: dict[str, bytes]) -> dict[str, dict]:
    """Decode configuration entries from JSON, by key."""
    return {key: msgspec.json.decode(value, type=dict) for key, value in entries.items()}


@to_body.register
def configuration_offered_to_body(message: ConfigurationOffered) -> ttypes.Body:
    """Convert a whole document or a delta to a body."""
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


def document_from_body(payload: ttypes.Document) -> ConfigurationOffered:
    """Convert a body to a whole document; verify its digest."""
    document = Document(payload.generation, decode_entries(payload.entries))
    if document.digest != payload.digest:
        raise ValueError('digest does not match the entries')
    return ConfigurationOffered(document)


def delta_from_body(payload: ttypes.Delta) -> ConfigurationOffered:
    """Convert a body to a delta."""
    delta = Delta(
        payload.base_generation,
        payload.base_digest,
        payload.generation,
        payload.digest,
        decode_entries(payload.changed),
        list(payload.removed),
    )
    return ConfigurationOffered(delta)


@to_body.register
def relayed_request_to_body(message: RelayedRequest) -> ttypes.Body:
    """Convert a relayed request to a body."""
    request = message.request
    issuer = request.ticket.issuer
    payload = ttypes.TicketedRequest(
        issuer.name,
        issuer.incarnation,
        request.ticket.number,
        request.back_end,
        request.key,
        request.body,
        int(request.deadline_ms),
    )
    return ttypes.Body(relayed_request=ttypes.RelayedRequest(message.relay_id, payload))


def relayed_request_from_body(payload: ttypes.RelayedRequest) -> RelayedRequest:
    """
    Convert a body to a relayed request.

    :raises ValueError: if its deadline is none that a caller can have set
    """
    request = payload.request
    request.validate()
    if not 1 <= request.deadline_ms <= MAX_DURATION_MS:
        raise ValueError('deadline is out of bounds')
    ticket = Ticket(VmIdentity(request.issuer_name, request.issuer_incarnation), request.number)
    inner = TicketedRequest(
        ticket, request.back_end, request.key, request.body, request.deadline_ms
    )
    return RelayedRequest(payload.relay_id, inner)


@to_body.register
def relayed_outcome_to_body(message: RelayedOutcome) -> ttypes.Body:
    """Convert the outcome of a relayed request to a body."""
    outcome = to_outcome(message.outcome)
    return ttypes.Body(relayed_outcome=ttypes.RelayedOutcome(message.relay_id, outcome))


def to_outcome(outcome: Outcome) -> ttypes.Outcome:
    """Convert a result, or a failure with its `executed` state."""
    if isinstance(outcome, Done):
        result = msgspec.json.encode(outcome.result)
        return ttypes.Outcome(done=ttypes.Done(outcome.snapshot, result))
    failure = ttypes.Failure(
        outcome.reason.value, outcome.executed.value, outcome.detail, outcome.retry_after_ms
    )
    return ttypes.Outcome(failure=failure)


def relayed_outcome_from_body(payload: ttypes.RelayedOutcome) -> RelayedOutcome:
    """Convert a body to the outcome of a relayed request."""
    done = payload.outcome.done
    if done is not None:
        done.validate()
        result = msgspec.json.decode(done.result)
        return RelayedOutcome(payload.relay_id, Done(done.snapshot, result))
    failure = payload.outcome.failure
    failure.validate()
    retry_after_ms = failure.retry_after_ms
    if retry_after_ms is not None and not 0 <= retry_after_ms <= MAX_DURATION_MS:
        retry_after_ms = None
    outcome = Failure(
        Reason(failure.reason), Executed(failure.executed), failure.detail, retry_after_ms
    )
    return RelayedOutcome(payload.relay_id, outcome)


BODY_CONVERTERS = {
    'gossip': gossip_from_body,
    'configuration_wanted': configuration_wanted_from_body,
    'document': document_from_body,
    'delta': delta_from_body,
    'relayed_request': relayed_request_from_body,
    'relayed_outcome': relayed_outcome_from_body,
}
"""Functions that convert a body to a message, by field of the union."""
