"""Identity of a request: what stays the same when a caller sends it again."""

import hashlib

from ..models import CallerRequest, RequestIdentity

DIGEST_BYTES = 16


def identify_request(request: CallerRequest) -> RequestIdentity:
    """Return the identity of a request; its ID differs with each attempt."""
    content = digest(request.method, request.host, request.target, request.body)
    return RequestIdentity(digest(content, request.caller), content)


def digest(*fields: str | bytes) -> str:
    """Return the digest of fields, which their lengths keep apart."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        data = field if isinstance(field, bytes) else field.encode('utf-8', 'surrogateescape')
        hasher.update(len(data).to_bytes(8))
        hasher.update(data)
    return hasher.hexdigest()
