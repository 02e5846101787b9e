"""Minimal HTTP/1.1 messages."""

import asyncio


class Message:
    """A request or response; header names are in lower case."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split()[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raise `IncompleteReadError` if the connection ends first."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(first_line, headers, b'')


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message; raise `IncompleteReadError` if the connection ends first."""
    message = await read_head(reader)
    message.body = await reader.readexactly(int(message.headers.get('content-length', 0)))
    return message


def write_message(first_line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message with its content length."""
    lines = [first_line]
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    lines.append(f'Content-Length: {len(body)}\r\n\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body
