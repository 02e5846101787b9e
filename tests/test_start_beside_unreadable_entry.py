"""
VMs that start while the list of replicas has an entry that cannot be read.

docs/incidents/liftwatch-unreadable-entry.md tells what callers saw.
"""

import itertools
import unittest

from nose2.tools import params

from beechbridge.gateway.actions import PullChanges
from beechbridge.gateway.events import ChangesReceived, PullEnded
from beechbridge.gateway.models import Item
from beechbridge.platform.items import decode_item
from beechbridge.platform.names import REPLICAS_PREFIX, TABLE_KEY
from beechbridge.wire.fleet import decode_changes, encode_changes

from .odd_items import ENTRY, TABLE, encode
from .test_store_updates import EmptyReader

ODD_KEY = f'{REPLICAS_PREFIX}i-0000'
KEY = f'{REPLICAS_PREFIX}i-0001'
PREFIXES = (REPLICAS_PREFIX, TABLE_KEY)
LONG_PORT = '9' * 5_000
"""The port of review/4: Python converts no text of more than 4,300 digits to a number."""

PORTS = [LONG_PORT, '1' * 4_301, '0' * 4_301 + '80', '\u0669' * 5_000, '65536']


class StartingVm(EmptyReader):
    """A gateway that has read nothing yet; as in its process, a defect costs an event."""

    def decode(self, key, value):
        return decode_item(key, value)

    def deliver(self, event):
        try:
            return super().deliver(event)
        except Exception as error:
            return self.gateway.recover(event, {'error': type(error).__name__})

    def read_store(self, items):
        """Read a listing of the store."""
        self.deliver(ChangesReceived(items, len(items), PREFIXES))

    def ask_vm(self, items):
        """Get the changes from another VM, which has them already."""
        pulled = decode_changes(encode_changes(ChangesReceived(items, len(items))))
        self.deliver(PullEnded(PullChanges('vm-1', 0, 0, None), pulled, 1, 1.0))


SOURCES = [StartingVm.read_store, StartingVm.ask_vm]


class StartBesideUnreadableEntryTest(unittest.TestCase):
    # Guards against review/4: beside one entry whose port has 5,000 digits no VM that starts gets
    # ready, since the routing table behind it is dropped with the event that brings both.
    @params(*itertools.product(SOURCES, PORTS))
    def test_vm_gets_ready_beside_an_entry_whose_port_cannot_be_read(self, read, port):
        vm = StartingVm()
        values = [
            (ODD_KEY, encode(ENTRY, addr=f'127.0.0.1:{port}')),
            (KEY, encode(ENTRY)),
            (TABLE_KEY, encode(TABLE)),
        ]
        read(vm, [Item(key, value, number) for number, (key, value) in enumerate(values, 1)])
        self.assertTrue(vm.gateway.is_ready())
        self.assertEqual(set(vm.gateway.replica_by_key), {KEY})
        self.assertEqual(vm.gateway.table.version, TABLE['version'])
