"""Addresses in lists of others that nothing can be sent to, beside those that are sound."""

import unittest
from unittest import mock

import logbook
import msgspec
from nose2.tools import params

from beechbridge.cli.client import HttpReply, find_entry_addresses, send_to_first_reachable
from beechbridge.daemon import platform
from beechbridge.daemon.platform import HttpVmListService
from beechbridge.failures import Failure, Reason, unknown
from beechbridge.models import Vm, VmList

ODD_HOSTS = [
    'h\0',
    '',
    'a..b',
    'h' * 64,
    'h.' * 200 + 'h',
    'h\u00fc',
    'h h',
    '127.0.0.1\n',
    7,
    None,
]
ODD_PORTS = [0, -1, 65_536, 10**30, '80', None, 1.5]
VM = Vm('vm-1', 'utrecht', '127.0.0.1', 8080, 8081, 8082)
OTHER = msgspec.to_builtins(Vm('vm-2', 'utrecht', '127.0.0.2', 8080, 8081, 8082))
ODD_VMS = [
    *[{**OTHER, 'host': host} for host in ODD_HOSTS],
    *[{**OTHER, 'peer_port': port} for port in ODD_PORTS],
    {**OTHER, 'state': 'odd'},
    {name: value for name, value in OTHER.items() if name != 'place'},
    {**OTHER, 'later': [[]]},
    7,
    None,
]


def read_list(service, vms):
    """Let a service read a VM list."""
    body = msgspec.json.encode({'vms': vms})
    with mock.patch.object(platform, 'get', lambda *arguments: body):
        return service.read()


class OddVmTest(unittest.TestCase):
    # Guards against a VM that starts and never gets ready, or whose timers end with the first
    # message to a host that cannot be written, since the platform's list has one odd VM.
    @params(*ODD_VMS)
    def test_odd_vm_costs_no_other_vm_and_is_logged_once(self, odd):
        service = HttpVmListService('127.0.0.1', 1)
        with logbook.TestHandler() as handler:
            for _ in range(3):
                self.assertEqual(read_list(service, [odd, VM]), VmList((VM,)))
        self.assertEqual(len(handler.records), 1)
        self.assertIn('vms[0]', handler.records[0].message)

    def test_list_without_a_sound_vm_is_a_failure(self):
        result = read_list(HttpVmListService('127.0.0.1', 1), [{**OTHER, 'host': ''}])
        self.assertIsInstance(result, Failure)
        self.assertIn('vms[0].host', result.detail)

    def test_empty_list_is_a_list(self):
        self.assertEqual(read_list(HttpVmListService('127.0.0.1', 1), []), VmList(()))


SOUND = '127.0.0.1:8080'
ODD_ADDRESSES = [
    *[f'{host}:8080' for host in ODD_HOSTS if isinstance(host, str)],
    *[f'127.0.0.1:{port}' for port in ('0', '65536', '9' * 5_000, '\u0664', '-1', '')],
]
ODD_ITEMS = [
    7,
    None,
    [],
    {},
    'text',
    {'address': 7},
    *[{'address': text} for text in ODD_ADDRESSES],
]


class OddDirectoryAnswerTest(unittest.TestCase):
    # Guards against a command that fails although other VMs serve, since the directory's answer
    # has an item that is no address.
    @params(*ODD_ITEMS)
    def test_odd_item_of_a_directory_is_passed_over(self, item):
        items = [item, {'address': SOUND}]

        def answer(address, method, path, body=None):
            return HttpReply(200, {'addresses': items})

        with mock.patch('beechbridge.cli.client.send_request', answer):
            addresses = find_entry_addresses([SOUND], None)
        self.assertEqual(addresses[-1], SOUND)
        connection = mock.Mock()
        connection.return_value.getresponse.return_value.read.return_value = b'{}'
        with mock.patch('http.client.HTTPConnection', connection):
            reply = send_to_first_reachable(addresses, 'GET', '/v1/entry')
        self.assertIsInstance(reply, HttpReply)
        connection.assert_called_once()

    @params(*ODD_ADDRESSES)
    def test_odd_address_alone_is_an_error_that_names_it(self, address):
        failure = send_to_first_reachable([address], 'GET', '/v1/entry')
        self.assertIs(failure.reason, Reason.INVALID_INPUT)
        self.assertIn(repr(address), failure.detail)

    def test_request_that_may_have_run_is_sent_to_no_other_vm(self):
        results = [unknown(Reason.CONNECTION_LOST), HttpReply(200, {})]
        with mock.patch('beechbridge.cli.client.send_request', lambda *rest: results.pop(0)):
            result = send_to_first_reachable([SOUND, SOUND], 'POST', '/v1/requests', {})
        self.assertIsInstance(result, Failure)
