"""
Closing of the connections of callers and peers when a process stops.

Nothing that was read is left without its answer, and no answer on its way is broken off.
"""

import asyncio
import socket
from collections.abc import Callable

from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer

from .clock import read_clock_ms
from .early_listener import BACKLOG

SENT_CHECK_INTERVAL_S = 0.02


def list_listeners(server: object) -> list[BaseWSGIServer]:
    """Return the listening sockets of a server."""
    if isinstance(server, BaseWSGIServer):
        return [server]
    return [entry for entry in server.map.values() if isinstance(entry, BaseWSGIServer)]


def accept_backlog(listener: BaseWSGIServer) -> None:
    """Accept the connections that wait in the listener's queue: closing it would reset them."""
    for _ in range(BACKLOG):
        known_count = len(listener.active_channels)
        listener.handle_accept()
        if len(listener.active_channels) == known_count:
            return


def has_unread_data(channel: HTTPChannel) -> bool:
    """Return whether data of a caller has arrived that was not read yet."""
    try:
        return bool(channel.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # Nothing has arrived, or the connection is broken.
        return False


def describe_unsent(listeners: list[BaseWSGIServer]) -> dict[str, int]:
    """
    Return log fields that count the answers still being written and their unsent bytes.

    Requests that were received in part count as unanswered.
    """
    counts = {'connections': 0, 'bytes': 0, 'unanswered': 0}
    for listener in listeners:
        for channel in list(listener.active_channels.values()):
            counts['connections'] += bool(channel.total_outbufs_len)
            counts['bytes'] += channel.total_outbufs_len
            counts['unanswered'] += bool(channel.requests) or channel.request is not None
    return counts


def call_when_sent(
    listeners: list[BaseWSGIServer],
    loop: asyncio.AbstractEventLoop,
    deadline_ms: float,
    callback: Callable[[], None],
) -> None:
    """
    Call back once all requests that were read are answered and the answers are sent.

    The rest of a request that was received in part is waited for, too.

    :param deadline_ms: time in milliseconds at which to call back in any case
    """
    counts = describe_unsent(listeners)
    is_sent = not counts['connections'] and not counts['unanswered']
    if is_sent or read_clock_ms() >= deadline_ms:
        callback()
        return
    arguments = (listeners, loop, deadline_ms, callback)
    loop.call_later(SENT_CHECK_INTERVAL_S, call_when_sent, *arguments)


def close_idle_channels(listeners: list[BaseWSGIServer]) -> None:
    """
    Stop accepting connections and close idle ones; call in the server's thread.

    Requests that have arrived and were not read yet are answered first.
    """
    for listener in listeners:
        accept_backlog(listener)
        for channel in list(listener.active_channels.values()):
            if channel.requests or channel.request is not None or has_unread_data(channel):
                continue
            # An answer may still be on its way to a slow caller.
            channel.close_when_flushed = True
        listener.accepting = False
        listener.socket.close()
        listener.del_channel()
