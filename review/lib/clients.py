"""Stand-in for a client."""

import asyncio
import itertools

from .http11 import Message, read_message, write_message
from .record import Record

HOST = 'liftwatch.example'


class Answer:
    """The end of one client attempt: a message, or None if its connection ended without one."""

    def __init__(self, request_id: str, message: Message | None):
        self.request_id = request_id
        self.message = message

    @property
    def status(self) -> int:
        """Return the status, 0 if there was no whole answer."""
        return self.message.status if self.message is not None else 0


class Client:
    """A client with connections of its own."""

    numbers = itertools.count(1)

    def __init__(self, record: Record, prefix: str = 'c'):
        self.record = record
        self.prefix = prefix

    def new_id(self) -> str:
        """Return the ID of a new attempt."""
        return f'{self.prefix}{next(Client.numbers):08x}'

    def encode(
        self, method: str, path: str, timeout_ms: int, body: bytes, request_id: str, **headers: str
    ) -> bytes:
        """Encode a request."""
        fields = {
            'Host': HOST,
            'Beechbridge-Request-Id': request_id,
            'Beechbridge-Deadline-Ms': str(timeout_ms),
        }
        fields.update({name.replace('_', '-'): value for name, value in headers.items()})
        return write_message(f'{method} {path} HTTP/1.1', fields, body)

    async def send(
        self,
        address: tuple[str, int],
        path: str,
        timeout_ms: int,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> Answer:
        """Send a request over a new connection; leave when its time limit is over."""
        request_id = self.new_id()
        data = self.encode(method, path, timeout_ms, body, request_id, **headers)
        message = None
        cause = ''
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    self.record.write('sent', request_id, method, path, to=address[0])
                    writer.write(data)
                    message = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            cause = type(error).__name__
        answer = Answer(request_id, message)
        self.record.write('answered', request_id, status=answer.status, cause=cause)
        return answer
