"""Start of the soak: its addresses must be free."""

import os
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path

from nose2.tools import params

from soak.fleet import BOOT_S, PORTS, AddressInUseError, Vm, check_addresses

HOSTS = ['127.9.2.1', '127.9.2.2']


class AddressesTest(unittest.TestCase):
    # Guards against two runs at once, whose callers and VMs use each other's fleet.
    @params(*((host, name) for host in HOSTS for name in PORTS))
    def test_address_in_use_is_an_error_that_names_it(self, host, name):
        with socket.create_server((host, PORTS[name])):
            with self.assertRaises(AddressInUseError) as raised:
                check_addresses(HOSTS)
            self.assertIn(f'{host}:{PORTS[name]}', str(raised.exception))
        check_addresses(HOSTS)


class BootTest(unittest.TestCase):
    # A reload ends any process whose interpreter still starts; one that is never handled is due.
    @params(
        (signal.SIG_DFL, False, True),
        (signal.SIG_IGN, False, False),
        (signal.SIG_IGN, True, False),
        (lambda *_: None, False, False),
        (signal.SIG_DFL, True, False),
    )
    def test_booting_process_is_told_from_one_that_handles_reloads(
        self, handler, include_timing, expected
    ):
        with tempfile.TemporaryDirectory() as folder:
            vm = Vm(0, HOSTS, '127.9.0.1:1', Path(folder))
        vm.process = OwnProcess()
        vm.started_s = time.monotonic() - 2 * BOOT_S
        earlier = signal.signal(signal.SIGHUP, handler)
        self.addCleanup(signal.signal, signal.SIGHUP, earlier)
        self.assertEqual(vm.is_booting(include_timing), expected)


class OwnProcess:
    """This process, in place of that of a VM."""

    pid = os.getpid()

    def poll(self):
        return None
