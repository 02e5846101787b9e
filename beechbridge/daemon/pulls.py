"""Client for the store changes that another VM has."""

import http.client
import time

from ..failures import Failure, Reason
from ..gateway.actions import PullChanges
from ..gateway.events import PullEnded
from ..gateway.settings import Address
from ..wire.bounded_http import LimitedConnection, read_chunks
from ..wire.changes import ENCODING_HEADER, read_changes, write_pull
from ..wire.compression import IDENTITY, MAX_MESSAGE_BYTES

PROGRESS_TIMEOUT_S = 0.8
"""Longest time in which nothing of an answer arrives."""

PULL_TIMEOUT_S = 3.0
"""Longest duration of a pull: another VM may answer sooner."""


def pull_changes(
    pull: PullChanges, peers: Address | None, timeout_s: float = PULL_TIMEOUT_S
) -> PullEnded:
    """
    Pull store changes from another VM; blocks.

    :param peers: address on which VMs serve each other; its port is the same on all of them
    :param timeout_s: longest duration in seconds
    """
    if peers is None:
        return PullEnded(pull, Failure(Reason.CONNECT_FAILED, detail='no peer address configured'))
    started_s = time.monotonic()
    client = LimitedConnection(pull.host, peers.port, PROGRESS_TIMEOUT_S, MAX_MESSAGE_BYTES)
    client.limit_time(timeout_s)
    body = bytearray()
    try:
        target, headers = write_pull(pull)
        client.request('GET', target, headers=headers)
        response = client.getresponse()
        for chunk in read_chunks(response):
            body += chunk
        encoding = response.getheader(ENCODING_HEADER, IDENTITY)
        result = read_changes(bytes(body), encoding, pull.dictionary)
    except (OSError, http.client.HTTPException) as error:
        result = Failure(Reason.CONNECTION_LOST, detail=type(error).__name__)
    finally:
        client.close()
    elapsed_ms = (time.monotonic() - started_s) * 1000.0
    return PullEnded(pull, result, len(body), elapsed_ms)
