"""VMs that have lost their links to all replicas, while callers and other VMs reach them."""

import unittest

from nose2.tools import params

from beechbridge.failures import Reason
from beechbridge.gateway.models import ForwardedAnswer, MergedAnswer
from measure.stand_ins import Cut

from .gateways import ZONES, single_route, start_fleet, sweep_route

STABLE_MS = 4_000.0
"""Time after the start of a cut from which the callers of the VMs that are cut count."""

CUT_MS = 12_000.0
RATE_PER_S = 30.0
LEAST_RATIO = 2 / 3
"""Least share of first attempts served at VMs that are cut, of the share at the others."""

KINDS = (
    ('gather', sweep_route(20), '/sweep/', 'GET', 1200.0),
    ('single', single_route('lookup'), '/lookup/', 'GET', 4000.0),
    ('write', single_route('file', is_idempotent=False), '/file/', 'POST', 4000.0),
)


def drive(emulator, kind, duration_ms, vms=None):
    """Send requests of one kind to VMs in turn; return (vm, key, asked_ms) of each."""
    _, _, path, method, timeout_ms = kind
    vms = vms or range(len(emulator.vms))
    until_ms = emulator.now_ms + duration_ms
    asked = []
    while emulator.now_ms < until_ms:
        number = len(asked)
        vm = vms[number % len(vms)]
        key = emulator.send_request(vm, f'{path}{number}', timeout_ms, method)
        asked.append((vm, key, emulator.now_ms))
        emulator.run(1000.0 / RATE_PER_S * emulator.rng.uniform(0.5, 1.5))
    return asked


def is_served(emulator, vm, key):
    """Return whether a request got a successful answer."""
    _, answer = emulator.vms[vm].answers.get(key, (0.0, None))
    if isinstance(answer, ForwardedAnswer):
        return answer.reply.is_success
    return isinstance(answer, MergedAnswer)


def served_share(emulator, asked):
    """Return the share of requests that were served."""
    return sum(is_served(emulator, vm, key) for vm, key, _ in asked) / max(1, len(asked))


def play_cut(kind, cut, cut_vms, seed=1):
    """Cut VMs off from all replicas; return the emulator, and the requests at them and others."""
    emulator = start_fleet(kind[1], ZONES, seed)
    drive(emulator, kind, 3_000.0)
    for number in cut_vms:
        emulator.cut_replicas(emulator.vms[number], cut)
    cut_ms = emulator.now_ms
    asked = drive(emulator, kind, CUT_MS)
    emulator.run(kind[4] + 500.0)
    counted = [row for row in asked if row[2] >= cut_ms + STABLE_MS]
    at_cut = [row for row in counted if row[0] in cut_vms]
    return emulator, at_cut, [row for row in counted if row[0] not in cut_vms]


class StrandedVmTest(unittest.TestCase):
    # Callers of VMs without a link to any replica were not served, while the other VMs were fine.
    @params(
        *[(kind[0], kind, cut) for kind in KINDS for cut in (Cut.SILENT, Cut.RESET, Cut.REFUSED)]
    )
    def test_callers_of_vms_without_replicas_are_served(self, name, kind, cut):
        emulator, at_cut, at_others = play_cut(kind, cut, (0, 1, 2, 4))
        self.assertGreaterEqual(
            served_share(emulator, at_cut), LEAST_RATIO * served_share(emulator, at_others)
        )

    # Connections lived on, new ones were refused: what needed one waited for its deadline.
    @params(*[(kind[0], kind) for kind in KINDS])
    def test_callers_are_served_if_only_open_connections_live_on(self, name, kind):
        emulator = start_fleet(kind[1], ZONES)
        drive(emulator, kind, 3_000.0)
        cut_vms = (0, 1, 2, 4)
        for number in cut_vms:
            emulator.cut_replicas(emulator.vms[number], Cut.REFUSED)
            emulator.reset_connections(emulator.vms[number], 0.6)
        drive(emulator, kind, STABLE_MS)
        asked = drive(emulator, kind, 6_000.0, vms=cut_vms)
        emulator.run(kind[4] + 500.0)
        self.assertGreaterEqual(served_share(emulator, asked), 0.99)

    # A VM that answered orders at once, with nothing, was asked again and again.
    def test_gathers_of_other_vms_do_not_fail_because_of_them(self):
        emulator, _, at_others = play_cut(KINDS[0], Cut.SILENT, (0, 1, 2, 4))
        self.assertGreaterEqual(served_share(emulator, at_others), 0.99)

    # A VM that loses connections, and is refused new ones, takes its replicas for ended; requests
    # that it then reports as deadly would be turned away everywhere.
    @params(((0,),), ((0, 1, 2, 4),))
    def test_no_request_is_taken_for_one_that_ends_replicas(self, cut_vms):
        emulator = start_fleet(KINDS[0][1], ZONES)
        drive(emulator, KINDS[0], 3_000.0)
        for number in cut_vms:
            emulator.cut_replicas(emulator.vms[number], Cut.REFUSED)
        for number in range(150):
            vm = emulator.rng.randrange(len(emulator.vms))
            emulator.send_request(vm, f'/sweep/again-{number % 3}', 1200.0)
            emulator.run(12.0)
            for cut_vm in cut_vms:
                emulator.reset_connections(emulator.vms[cut_vm], 0.8)
            emulator.run(30.0)
        emulator.run(2_000.0)
        for vm in emulator.vms:
            for line in vm.lines:
                if line.subject == 'request_judged':
                    self.assertNotEqual(line.fields['verdict'], 'convicted')
            for _, answer in vm.answers.values():
                self.assertIsNot(getattr(answer, 'reason', None), Reason.QUARANTINED)
