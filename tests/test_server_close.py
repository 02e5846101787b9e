"""Closing of the daemon's servers while their threads wait for connections."""

import select
import threading
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from .deployment import Deployment

GIVE_UP_S = 20.0


class ServerCloseTest(unittest.TestCase):
    # Guards against "Bad file descriptor" at a stop: another thread closed the listening socket
    # between the moment at which the server had listed it and its wait, which ended the thread.
    def test_server_ends_without_an_error_if_it_is_closed_before_its_wait(self):
        deployment = Deployment(('v1',))
        self.addCleanup(deployment.close)
        daemon = deployment.daemons['v1']
        server = daemon.caller_server
        listening = server.socket.fileno()
        errors = []
        threads = []
        has_listed = threading.Event()

        def wait(readable, writable, exceptional, timeout_s):
            """Wait for the sockets once the server was closed, or is asked to close itself."""
            if listening in readable and not has_listed.is_set():
                threads.append(threading.current_thread())
                has_listed.set()
                give_up_s = time.monotonic() + GIVE_UP_S
                while server.socket is not None and not server.trigger.thunks:
                    if time.monotonic() > give_up_s:
                        raise AssertionError('nobody closes the server')
                    time.sleep(0.001)
            return select.select(readable, writable, exceptional, timeout_s)

        waiting = SimpleNamespace(select=wait)
        with (
            mock.patch('waitress.wasyncore.select', waiting),
            mock.patch.object(threading, 'excepthook', errors.append),
        ):
            self.assertTrue(has_listed.wait(GIVE_UP_S))
            daemon.close()
            threads[0].join(GIVE_UP_S)
            self.assertFalse(threads[0].is_alive())
        self.assertEqual(errors, [])
        self.assertIsNone(server.socket)
