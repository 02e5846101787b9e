"""Real processes beside all odd items at once: at a start, after a kill of all, and later."""

import asyncio
import http.client
import json
import os
import shutil
import time
import unittest

from beechbridge.platform.names import READINESS_PATH, REPLICAS_PREFIX, TABLE_KEY
from soak.fleet import PORTS, Vm, make_folder
from soak.standins import Store

from .odd_items import ENTRY, TABLE, UNREADABLE_ENTRIES, UNREADABLE_IDS, encode, name_entry

GIVE_UP_S = 60.0
"""Time after which a process that does not get so far is taken for stuck."""

VMS = 2


def odd_keys_and_values():
    """Return all odd entries, each under a key of its own."""
    items = [(name_entry(number), value) for number, value in enumerate(UNREADABLE_ENTRIES)]
    for replica_id in UNREADABLE_IDS:
        key = REPLICAS_PREFIX + replica_id
        if len(key) <= 200:
            items.append((key, encode(ENTRY)))
    return items


def get(host, port, path):
    """Return status and body of a request to a process, None if it does not listen."""
    client = http.client.HTTPConnection(host, port, timeout=5.0)
    try:
        client.request('GET', path)
        response = client.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        client.close()


class Fleet:
    """Two VMs and their store."""

    def __init__(self):
        network = f'127.{10 + os.getpid() % 100}.{1 + os.getpid() // 100 % 250}'
        self.hosts = [f'{network}.{number + 1}' for number in range(VMS)]
        self.store = Store('127.0.0.1')
        self.folder = make_folder()
        self.vms = []

    async def start(self):
        await self.store.start()
        address = f'127.0.0.1:{self.store.port}'
        self.vms = [Vm(number, self.hosts, address, self.folder) for number in range(VMS)]
        for vm in self.vms:
            vm.start()

    def stop(self):
        for vm in self.vms:
            vm.kill()
        self.store.stop()
        shutil.rmtree(self.folder)

    async def wait_for(self, matches):
        """Wait until all VMs are ready and their state matches; return the states."""
        give_up_s = time.monotonic() + GIVE_UP_S
        states = []
        while time.monotonic() < give_up_s:
            states = [await asyncio.to_thread(self.read_state, vm) for vm in self.vms]
            if all(state is not None and matches(state) for state in states):
                return states
            await asyncio.sleep(0.1)
        raise AssertionError(f'not so after {GIVE_UP_S} s: {states}')

    def read_state(self, vm):
        """Return the state of a VM that is ready, else None."""
        ready = get(vm.host, PORTS['ready'], READINESS_PATH)
        state = get(vm.host, PORTS['control'], '/v1/state')
        if ready is None or ready[0] != 200 or state is None:
            return None
        return json.loads(state[1])


def ids_of(state):
    """Return the IDs of the replicas that a VM knows."""
    return {replica['id'] for replica in state['replicas']}


class OddItemsFleetTest(unittest.TestCase):
    # Guards against VMs that never get ready, end by themselves or stop following the store since
    # another writer has left odd entries in the list of the replicas.
    def test_fleet_starts_starts_again_and_goes_on_beside_all_odd_items(self):
        odd = odd_keys_and_values()

        async def run():
            fleet = Fleet()
            store = fleet.store
            for key, value in odd:
                store.put_bytes(key, value)
            store.put(f'{REPLICAS_PREFIX}i-1', ENTRY)
            store.put(TABLE_KEY, TABLE)
            try:
                await fleet.start()
                states = await fleet.wait_for(lambda state: ids_of(state) == {'i-1'})
                for state in states:
                    self.assertEqual(state['unreadable']['count'], len(odd))
                for vm in fleet.vms:
                    vm.kill()
                for vm in fleet.vms:
                    vm.start()
                await fleet.wait_for(lambda state: ids_of(state) == {'i-1'})
                for key, value in odd:
                    store.put_bytes(key, value)
                store.put(f'{REPLICAS_PREFIX}i-2', {**ENTRY, 'addr': '10.0.0.8:80'})
                await fleet.wait_for(lambda state: ids_of(state) == {'i-1', 'i-2'})
                store.put(TABLE_KEY, {**TABLE, 'version': 9})
                states = await fleet.wait_for(lambda state: state['table'] == 9)
                for vm, state in zip(fleet.vms, states, strict=True):
                    self.assertIsNone(vm.process.poll())
                    self.assertFalse([name for name in state['counters'] if 'defects' in name])
            finally:
                fleet.stop()

        asyncio.run(run())
