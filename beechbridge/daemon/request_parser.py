"""Parser of requests that rejects every head it cannot read, or for which there is no room."""

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error

HEAD_COPIES = 3
"""A head is held as it was received, in the fields, and to be sent to a replica."""

FIELD_BYTES = 600
"""
Memory of one header field beside its characters: names and values are objects of their own, in the
parsed head, in the environment of WSGI and in the request of the gateway. Parsing alone takes 92.
"""

REQUEST_BYTES = 1_500
"""Memory of the parser of one request without a head and a body."""

PARTIAL_HEAD_COPIES = 2
"""An incomplete head is copied whenever more of it arrives."""


class RequestParser(HTTPRequestParser):
    """
    Parser of one request.

    waitress lets some exceptions of `int` and `urlsplit` pass, which end the connection with all
    requests on it that wait for their answers.

    :param channel: connection on which the request arrives, None: it is not limited
    :param head_cost_bytes: memory that the complete head takes, 0 while it is incomplete
    """

    def __init__(self, adj: Adjustments, channel: object = None):
        super().__init__(adj)
        self.channel = channel
        self.head_cost_bytes = 0

    def received(self, data: bytes) -> int:
        """Parse received data, unless it has to wait for earlier requests of its connection."""
        channel = self.channel
        if channel is not None and not self.header_bytes_received and channel.is_full():
            channel.unparsed = data
            return len(data)
        return super().received(data)

    def parse_header(self, header_plus: bytes) -> None:
        """
        Parse the request line and the headers, unless the connection has no room for them.

        :raises ParsingError: if any of it cannot be read
        """
        if self.channel is not None and self.error is None:
            field_count = max(0, header_plus.count(b'\r\n') - 1)
            self.head_cost_bytes = (
                REQUEST_BYTES + HEAD_COPIES * len(header_plus) + FIELD_BYTES * field_count
            )
            self.error = self.channel.check_head(field_count)
        if self.error is not None:
            header_plus = b'GET / HTTP/1.0\r\n'
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError(f'unreadable request line or header: {error}') from error

    def head_bytes(self) -> int:
        """Return the memory that the head takes, as far as it has arrived."""
        return self.head_cost_bytes or PARTIAL_HEAD_COPIES * self.header_bytes_received

    def abandon(self, error: Error) -> None:
        """End the request with an error, and free what was received of it."""
        self.error = error
        if not self.headers_finished:
            self.parse_header(b'')
        self.headers.clear()
        self.header_plus = b''
        self.close()
        self.head_cost_bytes = self.header_bytes_received = self.body_bytes_received = 0
        self.completed = True
