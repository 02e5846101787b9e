"""HTTP response that a server sends."""

from ..record import Record


class HttpResponse(Record):
    """Status line, headers and body of an HTTP response."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: str, headers: list[tuple[str, str]], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body
