"""Calls of the tool to VMs."""

import http.client

import msgspec

from ..failures import Failure, Reason, not_run, unknown
from ..record import Record

TIMEOUT_S = 60.0


class HttpReply(Record):
    """
    A VM's reply.

    :param body: its JSON object
    """

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: dict):
        self.status = status
        self.body = body


def call(address: str, method: str, path: str, body: dict | None = None) -> HttpReply | Failure:
    """Make one call to a VM."""
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        return not_run(Reason.INVALID_INPUT, f'{address!r} is not host:port')
    client = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        client.connect()
    except OSError as error:
        client.close()
        return not_run(Reason.CONNECT_FAILED, f'{address}: {error}')
    try:
        text = msgspec.json.encode(body) if body is not None else None
        client.request(method, path, text)
        response = client.getresponse()
        content = msgspec.json.decode(response.read(), type=dict)
    except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
        return unknown(Reason.CONNECTION_LOST, f'{address}: {type(error).__name__}')
    finally:
        client.close()
    return HttpReply(response.status, content)


def call_first(
    addresses: list[str], method: str, path: str, body: dict | None = None
) -> HttpReply | Failure:
    """Make a call to the first VM that can be reached."""
    result = not_run(Reason.INVALID_INPUT, 'no address given')
    for address in addresses:
        result = call(address, method, path, body)
        if isinstance(result, Failure) and result.reason is Reason.CONNECT_FAILED:
            continue
        return result
    return result


def find_entries(addresses: list[str], place: str | None) -> list[str] | Failure:
    """Ask which VMs to use; the addresses come best first."""
    path = '/v1/entry' if place is None else f'/v1/entry?place={place}'
    reply = call_first(addresses, 'GET', path)
    if isinstance(reply, Failure):
        return reply
    entries = [item['address'] for item in reply.body.get('addresses', [])]
    return entries or addresses
