"""Without balancing by work, every decision and every random draw is as it was before it."""

import hashlib
import unittest

from nose2.tools import params

from beechbridge.gateway.requests.work_estimates import switch_balancing
from measure.stand_ins import ReplicaSpec

from .gateways import drive, start_sweeps

SENDS_BEFORE = '4413bd21e8b7a475b28a92c0394dae091f55f08379b18aa3e7b9ee3745a3e06e'
"""Digest of all sends of the run below at 1bdaeca, the commit before balancing by work."""


def play(is_by_work=False, reports_load=False):
    """Return a digest of time, VM, replica and request of each send, and the sources' states."""

    def make_spec():
        spec = ReplicaSpec(pause_ms=200.0, pause_every_ms=4_000.0, reject_share=0.02)
        if reports_load:
            spec.reports_load = True
        return spec

    emulator = start_sweeps(12, spec=make_spec, seed=5)
    for vm in emulator.vms:
        if is_by_work:
            switch_balancing(True, vm.gateway)
    drive(emulator, '/sweep/x', 40, 6)
    rows = []
    for name, replica in sorted(emulator.replicas.items()):
        for at_ms, request in replica.arrivals:
            rows.append(f'{name} {at_ms!r} {request.request_id}')
    for vm in emulator.vms:
        rows.append(repr(vm.gateway.rng.getstate()))
    return hashlib.sha256('\n'.join(rows).encode()).hexdigest()


class UnchangedChoiceTest(unittest.TestCase):
    # A deployment without the new contracts must not behave differently after an update.
    @params(False, True)
    def test_same_sends_as_before(self, reports_load):
        self.assertEqual(play(reports_load=reports_load), SENDS_BEFORE)

    # If the run did not depend on the choice, the test above would show nothing.
    def test_balancing_by_work_sends_otherwise(self):
        self.assertNotEqual(play(is_by_work=True), SENDS_BEFORE)
