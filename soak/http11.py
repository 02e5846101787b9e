"""Minimal HTTP/1.1 messages for the stand-ins and callers."""

import asyncio

READ_STEPS = 20


class Message:
    """A request or response; header names are in lower case."""

    __slots__ = ('body', 'first_line', 'headers')

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader, read_s: float = 0.0) -> Message:
    """
    Read a whole message; raise `IncompleteReadError` if the connection ends first.

    :param read_s: time over which the body is read, 0 if at once
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    left_bytes = int(headers.get('content-length', 0))
    step_bytes = left_bytes // READ_STEPS + 1 if read_s else left_bytes
    pieces = []
    while left_bytes:
        pieces.append(await reader.readexactly(min(step_bytes, left_bytes)))
        left_bytes -= len(pieces[-1])
        await asyncio.sleep(read_s / READ_STEPS)
    return Message(first_line, headers, b''.join(pieces))


def write_message(first_line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message with its content length."""
    lines = [first_line]
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    lines.append(f'Content-Length: {len(body)}\r\n\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body


def write_chunked(
    first_line: str, headers: dict[str, str], body: bytes, chunk_bytes: int
) -> bytes:
    """Encode a message in chunks of a size."""
    lines = [first_line]
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    lines.append('Transfer-Encoding: chunked\r\n\r\n')
    pieces = ['\r\n'.join(lines).encode('latin-1')]
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        pieces.append(b'%x\r\n%s\r\n' % (len(chunk), chunk))
    return b''.join(pieces) + b'0\r\n\r\n'
