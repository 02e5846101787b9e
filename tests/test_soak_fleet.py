"""Start of the soak: its addresses must be free."""

import socket
import unittest

from nose2.tools import params

from soak.fleet import PORTS, AddressInUseError, check_addresses

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
