"""
Listens for clients before the imports, which take most of the time of a start.

The load that this answers: all VMs lost power and start together, and clients connect with the
addresses that they know. A connection that the kernel accepts waits in the listener's queue until
the server runs, where a closed port would cost its client an attempt. Imports of this module are
few on purpose.
"""

import os
import socket
import tomllib

from ..platform.names import SETTINGS_VARIABLE, UNEVEN_LOAD_CONTRACTS

BACKLOG = 512
"""Connections that may wait in a listener's queue."""


class EarlyListener:
    """
    A listening socket.

    :param address: `host:port` as in the settings
    """

    __slots__ = ('address', 'socket')

    def __init__(self, address: str, listening: socket.socket):
        self.address = address
        self.socket = listening


def listen_early() -> EarlyListener | None:
    """
    Listen on the clients' address if the settings call for it.

    Whatever fails here fails again when the settings are read in full, and is reported there.
    """
    try:
        with open(os.environ[SETTINGS_VARIABLE], 'rb') as file:
            settings = tomllib.load(file)
        if UNEVEN_LOAD_CONTRACTS.isdisjoint(settings['contracts']):
            return None
        address = settings['listen']['front']
        return EarlyListener(address, open_listener(address))
    except (OSError, KeyError, ValueError, OverflowError, TypeError, AttributeError):
        return None


def open_listener(address: str) -> socket.socket:
    """
    Return a listening socket.

    :raises OSError: if the address cannot be listened on
    :raises ValueError: if it is none
    """
    host, _, port = address.rpartition(':')
    listening = socket.socket()
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except (OSError, OverflowError, ValueError):
        listening.close()
        raise
    return listening


def list_sockets(addresses: list[str], early: EarlyListener | None) -> dict:
    """
    Return the option of the server for its addresses, of which one may be listened on already.

    :raises OSError: if another address cannot be listened on
    """
    if early is None:
        return {'listen': ' '.join(addresses)}
    if early.address not in addresses:
        # The settings have changed in the meantime.
        early.socket.close()
        return {'listen': ' '.join(addresses)}
    sockets = []
    for address in addresses:
        is_open = address == early.address
        sockets.append(early.socket if is_open else open_listener(address))
    return {'sockets': sockets}
