"""Clients that connect while a VM imports its modules wait for it rather than being refused."""

import os
import socket
import tempfile
import unittest
from unittest import mock

from nose2.tools import params

from beechbridge.daemon.early_listener import listen_early
from beechbridge.gateway.models import MergedAnswer
from beechbridge.platform.names import SETTINGS_VARIABLE

from . import test_front
from .test_front import HEAD, Front, free_ports, read_response

LISTEN = 'contracts = {}\n[listen]\nfront = "127.0.0.1:{}"\n'


def listen(text):
    """Listen early with settings of a text."""
    with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
        file.write(text)
        file.flush()
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: file.name}):
            return listen_early()


class EarlyListenerTest(unittest.TestCase):
    # A client that came back during the imports had no connection, at all VMs.
    def test_request_sent_before_the_server_runs_is_served(self):
        port, other_port = free_ports(2)
        early = listen(LISTEN.format('["places"]', port))
        sock = socket.create_connection(('127.0.0.1', port), timeout=5.0)
        self.addCleanup(sock.close)
        sock.sendall(f'{HEAD}\r\n'.encode())
        create = test_front.create_front
        with (
            mock.patch.object(test_front, 'free_ports', lambda count: [port, other_port]),
            mock.patch.object(
                test_front, 'create_front', lambda app, addresses: create(app, addresses, early)
            ),
        ):
            front = Front()
        self.addCleanup(front.close)
        front.app.deliver(front.next_event().key, MergedAnswer(b'', ['s'], 0))
        self.assertEqual(read_response(sock)[0].status, 200)

    # Settings that do not call for it, or cannot be read, are left to the regular start.
    @params(
        LISTEN.format('["other"]', 1),
        LISTEN.format('7', 1),
        LISTEN.format('["places"]', 70_000),
        '[listen]\nfront = "127.0.0.1:1"\n',
        'contracts = ["places"]\n',
        'contracts = ["places"]\n[listen]\nfront = 7\n',
        '= no settings',
    )
    def test_other_settings_open_nothing(self, text):
        self.assertIsNone(listen(text))
