"""HTTP client of the command-line tool."""

import http.client

import msgspec

from ..failures import Failure, Reason, not_run, unknown
from ..hosts import is_address
from ..record import Record

TIMEOUT_S = 60.0
UNSENT_REASONS = (Reason.CONNECT_FAILED, Reason.INVALID_INPUT)
"""Reasons for which nothing was sent, so that the next VM is tried."""


class HttpReply(Record):
    """
    A VM's reply.

    :param status: HTTP status
    :param body: decoded JSON object
    """

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: dict):
        self.status = status
        self.body = body


def send_request(
    address: str, method: str, path: str, body: dict | None = None
) -> HttpReply | Failure:
    """Send a request to a VM."""
    host, _, port = address.rpartition(':')
    if not is_address(address) or not int(port):
        return not_run(
            Reason.INVALID_INPUT, f'{address!r} is not an address of the form host:port'
        )
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
    except (
        OSError,
        http.client.HTTPException,
        msgspec.MsgspecError,
        ValueError,
        OverflowError,
    ) as error:
        # The last two are those of chunk sizes below zero or of thousands of digits.
        return unknown(
            Reason.CONNECTION_LOST, f'{address}: no usable reply, {type(error).__name__}'
        )
    finally:
        client.close()
    return HttpReply(response.status, content)


def send_to_first_reachable(
    addresses: list[str], method: str, path: str, body: dict | None = None
) -> HttpReply | Failure:
    """Send a request to the first VM that has a usable address and accepts a connection."""
    result = not_run(Reason.INVALID_INPUT, 'no VM address given')
    for address in addresses:
        result = send_request(address, method, path, body)
        if isinstance(result, Failure) and result.reason in UNSENT_REASONS:
            continue
        return result
    return result


def find_entry_addresses(addresses: list[str], place: str | None) -> list[str] | Failure:
    """Return the addresses of the VMs to use, best first."""
    path = '/v1/entry' if place is None else f'/v1/entry?place={place}'
    reply = send_to_first_reachable(addresses, 'GET', path)
    if isinstance(reply, Failure):
        return reply
    return read_addresses(reply.body) or addresses


def read_addresses(body: dict) -> list[str]:
    """Return the addresses in an answer of the directory; what is none fails when it is tried."""
    items = body.get('addresses')
    if not isinstance(items, list):
        return []
    return [str(item.get('address') if isinstance(item, dict) else item) for item in items]
