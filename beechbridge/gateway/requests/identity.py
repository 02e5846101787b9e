"""Identity of a request: what stays the same when a caller sends it again."""

import hashlib

from ..models import CallerRequest

DIGEST_BYTES = 16
CREDENTIAL_HEADERS = frozenset(('authorization', 'cookie'))
"""Headers that tell callers apart. An address does not: callers share some, and use several."""


def compute_digest(request: CallerRequest) -> str:
    """Return the digest by which all VMs recognise a request; its ID differs with each attempt."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (request.method, request.host, request.target, *list_credentials(request)):
        add_field(hasher, field.encode('utf-8', 'surrogateescape'))
    add_field(hasher, request.body)
    return hasher.hexdigest()


def list_credentials(request: CallerRequest) -> list[str]:
    """Return what names the caller, in a fixed order."""
    found = []
    for name, value in request.headers:
        if name.lower() in CREDENTIAL_HEADERS:
            found.append(f'{name.lower()}: {value}')
    return sorted(found)


def add_field(hasher: 'hashlib._Hash', data: bytes) -> None:
    """Add a field, which its length keeps apart from the next one."""
    hasher.update(len(data).to_bytes(8))
    hasher.update(data)
