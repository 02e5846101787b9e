"""Parser of requests that rejects every head it cannot read."""

from waitress.parser import HTTPRequestParser, ParsingError


class RequestParser(HTTPRequestParser):
    """
    Parser of one request.

    waitress lets some exceptions of `int` and `urlsplit` pass, which end the connection with all
    requests on it that wait for their answers.
    """

    def parse_header(self, header_plus: bytes) -> None:
        """
        Parse the request line and the headers.

        :raises ParsingError: if any of it cannot be read
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError(f'unreadable request line or header: {error}') from error
