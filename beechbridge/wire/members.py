"""
Codec of the records of members that VMs hand each other in heartbeats.

A record travels from VM to VM, so that one that no VM can use must cost itself only.
"""

from ..failures import Failure, InputFailure
from ..gateway.member import Member
from ..hosts import is_host
from .peer import ttypes

MAX_NAME_LENGTH = 200
SOURCE = 'member'
MIN_LENGTHS = {'name': 1, 'zone': 0}
COUNTS = ('incarnation', 'heartbeat', 'capacity_millicores', 'requests_per_s')
MAX_AGE_MS = 600_000
"""Greatest age of a record: VMs that are silent for longer are not passed on."""


def encode_member(member: Member, sent_ms: float | None = None) -> ttypes.FleetMember:
    """
    Return the Thrift struct of a member.

    :param sent_ms: time in milliseconds for which its age is stated, None to state none
    """
    return ttypes.FleetMember(
        member.name,
        member.host,
        member.zone,
        member.incarnation,
        member.heartbeat,
        member.is_serving,
        member.capacity_millicores,
        member.reaches_store,
        round(member.rate_per_s),
        member.is_active,
        member.reaches_replicas,
        None if sent_ms is None else min(MAX_AGE_MS, round(member.age_at(sent_ms))),
    )


def decode_member(record: ttypes.FleetMember) -> Member | Failure:
    """Return the member of a Thrift struct, or a failure if a field is out of its bounds."""
    for field, least_length in MIN_LENGTHS.items():
        length = len(getattr(record, field))
        if not least_length <= length <= MAX_NAME_LENGTH:
            allowed = f'{least_length} to {MAX_NAME_LENGTH} characters'
            return refuse(record, field, f'{length} characters', allowed)
    if not is_host(record.host):
        return refuse(record, 'host', record.host[:MAX_NAME_LENGTH], 'a host name or address')
    for field in COUNTS:
        count = getattr(record, field)
        if count < 0:
            return refuse(record, field, count, 'no negative number')
    if record.age_ms is not None and not 0 <= record.age_ms <= MAX_AGE_MS:
        return refuse(record, 'age_ms', record.age_ms, f'0 to {MAX_AGE_MS}, or none')
    member = Member(record.name, record.host, record.zone, record.incarnation, record.heartbeat)
    member.is_serving = record.serving
    member.capacity_millicores = record.capacity_millicores
    member.is_active = record.active
    member.reaches_store = record.reaches_store
    member.rate_per_s = float(record.requests_per_s)
    # A VM that does not say so is one of an earlier release.
    member.reaches_replicas = record.reaches_replicas is not False
    member.age_ms = float(record.age_ms or 0)
    return member


def refuse(record: ttypes.FleetMember, field: str, value: object, allowed: str) -> InputFailure:
    """Return the failure of a record, which names the member."""
    return InputFailure(f'{SOURCE} {record.name[:MAX_NAME_LENGTH]!r}', field, value, allowed)
