"""What a VM believes of its links to replicas: lost when they are, and not otherwise."""

import unittest

from nose2.tools import params

from beechbridge.failures import Failure, Reason
from beechbridge.gateway.replicas.reach import PROBE_INTERVAL_MS
from measure.stand_ins import Cut, ReplicaSpec

from .gateways import ZONES, start_fleet, start_sweeps
from .test_stranded_vms import KINDS, drive, is_served, served_share

GATHER, SINGLE, _ = KINDS
TROUBLE_COUNT = 8
TROUBLE_EVERY_MS = 3_000.0
BELIEF_TARGET_MS = 300.0
"""Target for the time from the first silence at ten requests a second until it is believed."""

ANNOUNCEMENT_MS = 20.0
"""Time that one message takes to any VM."""

RETURN_TARGET_MS = 1_000.0


def lines_of(emulator, subject, vms=None):
    """Return the log lines about a subject at some VMs, at all if none is given."""
    numbers = range(len(emulator.vms)) if vms is None else vms
    return [
        line
        for number in numbers
        for line in emulator.vms[number].lines
        if line.subject == subject
    ]


def believed_at_ms(emulator, vm, is_lost, until_ms):
    """Run until a VM's belief is as given; return the time, None if it does not come to that."""
    end_ms = emulator.now_ms + until_ms
    while emulator.now_ms < end_ms:
        if emulator.vms[vm].gateway.reach.is_lost is is_lost:
            return emulator.now_ms
        emulator.run(5.0)
    return None


def play_trouble(emulator, trouble, count=TROUBLE_COUNT):
    """Send gathers for a while, with some trouble every three seconds."""
    for _ in range(count):
        trouble(emulator)
        drive(emulator, GATHER, TROUBLE_EVERY_MS)


def end_one(emulator):
    emulator.end_replica(emulator.replicas[emulator.rng.choice(sorted(emulator.replicas))])


def end_shard(emulator):
    for copy in range(2):
        emulator.end_replica(emulator.replicas[f'r-7-{copy}'])


def end_region(emulator):
    for replica in emulator.replicas.values():
        if replica.entry.zone == ZONES[0]:
            emulator.end_replica(replica)


def darken_one(emulator):
    for replica in emulator.replicas.values():
        replica.spec.is_dark = False
    emulator.replicas[emulator.rng.choice(sorted(emulator.replicas))].spec.is_dark = True


def slow_some(emulator):
    for replica in emulator.replicas.values():
        replica.spec.slow_factor = emulator.rng.choice((1.0, 1.0, 8.0))


def slow_all(emulator):
    for replica in emulator.replicas.values():
        replica.spec.slow_factor = emulator.rng.choice((1.0, 6.0))


def reject_some(emulator):
    for replica in emulator.replicas.values():
        replica.spec.reject_share = emulator.rng.choice((0.0, 0.9))


def freeze_one(emulator):
    emulator.rng.choice(emulator.vms).frozen_until_ms = emulator.now_ms + 2_500.0


def starve_one(emulator):
    emulator.rng.choice(emulator.vms).frozen_until_ms = emulator.now_ms + 400.0


def restart_one(emulator):
    vm = emulator.rng.choice(emulator.vms)
    if vm.is_up:
        emulator.restart_vm(vm, 500.0)


def stay_idle(emulator):
    emulator.run(5_000.0)


class ReachTest(unittest.TestCase):
    # Trouble of replicas, or of the VM's process, taken for the loss of its links.
    @params(
        ('one replica ends', end_one),
        ('all copies of a shard end', end_shard),
        ('the replicas of a region end', end_region),
        ('one replica goes dark', darken_one),
        ('some are slow', slow_some),
        ('half of all are slow', slow_all),
        ('half of them reject', reject_some),
        ('a VM stands still', freeze_one),
        ('a VM gets no processor time', starve_one),
        ('a VM starts', restart_one),
        ('no traffic', stay_idle),
    )
    def test_links_are_not_believed_lost_when(self, name, trouble):
        emulator = start_sweeps(20, zones=ZONES)
        play_trouble(emulator, trouble)
        self.assertEqual(lines_of(emulator, 'reach_lost'), [])

    def test_pauses_of_replicas_cost_hardly_any_probes(self):
        emulator = start_sweeps(
            20, zones=ZONES, spec=lambda: ReplicaSpec(pause_ms=250.0, pause_every_ms=3_600.0)
        )
        play_trouble(emulator, lambda emulator: None)
        probes = sum(vm.gateway.counters.get('reach_probes') for vm in emulator.vms)
        self.assertEqual(lines_of(emulator, 'reach_lost'), [])
        self.assertLess(probes, 10 * len(emulator.vms))

    # A VM went on sending to replicas that it could not reach.
    @params((Cut.SILENT,), (Cut.RESET,))
    def test_loss_is_believed_soon_after_the_first_silence(self, cut):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        emulator.cut_replicas(emulator.vms[0], cut)
        first_ms = emulator.now_ms
        emulator.send_request(0, '/sweep/first', 1200.0)
        for number in range(3):
            emulator.run(100.0)
            emulator.send_request(0, f'/sweep/{number}', 1200.0)
        lost_ms = believed_at_ms(emulator, 0, True, 3_000.0)
        self.assertIsNotNone(lost_ms)
        self.assertLessEqual(lost_ms - first_ms, BELIEF_TARGET_MS)

    def test_others_are_told_at_once(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
        drive(emulator, GATHER, 2_000.0)
        self.assertIsNotNone(believed_at_ms(emulator, 0, True, 2_000.0))
        emulator.run(20.0)
        for vm in emulator.vms[1:]:
            self.assertFalse(vm.gateway.fleet.members['vm-0'].reaches_replicas)

    # Callers waited for VMs whose links had long been back.
    def test_links_that_are_back_are_used_within_a_second(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
        drive(emulator, GATHER, 5_000.0)
        emulator.cut_replicas(emulator.vms[0], None)
        mended_ms = emulator.now_ms
        back_ms = believed_at_ms(emulator, 0, False, 3_000.0)
        self.assertLessEqual(back_ms - mended_ms, RETURN_TARGET_MS)
        asked = drive(emulator, GATHER, 3_000.0, vms=(0,))
        emulator.run(2_000.0)
        self.assertGreaterEqual(served_share(emulator, asked), 0.99)
        self.assertEqual(lines_of(emulator, 'reach_lost')[1:], [])

    # Links that came and went took each request that was sent in between.
    def test_links_that_come_and_go_are_trusted_later_each_time(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        for relapse in range(4):
            emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
            while not emulator.vms[0].gateway.reach.is_lost:
                drive(emulator, GATHER, 50.0, vms=(0,))
            emulator.run(1_000.0)
            emulator.cut_replicas(emulator.vms[0], None)
            mended_ms = emulator.now_ms
            back_ms = believed_at_ms(emulator, 0, False, 5_000.0)
            needed_ms = (2**relapse - 1) * PROBE_INTERVAL_MS
            self.assertGreaterEqual(back_ms - mended_ms, needed_ms)
            self.assertLessEqual(back_ms - mended_ms, needed_ms + RETURN_TARGET_MS)

    # After a pause a VM sees all its exchanges overdue before it has read the replies.
    def test_pause_amid_a_request_is_not_doubted(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        for number in range(5):
            emulator.send_request(0, f'/sweep/{number}', 1200.0)
            emulator.run(1.0)
            emulator.vms[0].frozen_until_ms = emulator.now_ms + 400.0
            emulator.run(1_000.0)
        self.assertEqual(emulator.vms[0].gateway.counters.get('reach_doubts'), 0)

    # Requests waited for their deadline at VMs none of which could serve them.
    @params((Cut.SILENT,), (Cut.RESET,))
    def test_requests_are_rejected_at_once_if_no_vm_reaches_replicas(self, cut):
        emulator = start_fleet(SINGLE[1], ZONES)
        drive(emulator, SINGLE, 3_000.0)
        for vm in emulator.vms:
            emulator.cut_replicas(vm, cut)
        drive(emulator, SINGLE, 4_000.0)
        asked = drive(emulator, SINGLE, 3_000.0)
        emulator.run(100.0)
        for vm, key, asked_ms in asked:
            answered_ms, answer = emulator.vms[vm].answers[key]
            self.assertIsInstance(answer, Failure)
            self.assertIs(answer.reason, Reason.UNREACHABLE)
            self.assertGreater(answer.retry_after_ms, 0)
            self.assertLess(answered_ms - asked_ms, 60.0)
        for vm in emulator.vms:
            emulator.cut_replicas(vm, None)
        emulator.run(RETURN_TARGET_MS)
        asked = drive(emulator, SINGLE, 2_000.0)
        emulator.run(4_000.0)
        self.assertTrue(all(is_served(emulator, vm, key) for vm, key, _ in asked))

    # All replicas end at once, and are back three seconds later.
    def test_service_resumes_when_all_replicas_are_back(self):
        emulator = start_sweeps(20, zones=ZONES)
        drive(emulator, GATHER, 3_000.0)
        for replica in emulator.replicas.values():
            emulator.end_replica(replica)
        drive(emulator, GATHER, 3_000.0)
        emulator.run(RETURN_TARGET_MS)
        asked = drive(emulator, GATHER, 2_000.0)
        emulator.run(2_000.0)
        self.assertGreaterEqual(served_share(emulator, asked), 0.95)


class StartTest(unittest.TestCase):
    # VMs without replicas turned their callers away while one that could serve them was ready, and
    # nobody knew.
    def test_others_know_at_once_when_a_vm_is_ready(self):
        for seed in (1, 2, 3):
            emulator = start_fleet(GATHER[1], ZONES, seed)
            emulator.restart_vm(emulator.vms[3], 500.0)
            emulator.run(500.0)
            while not emulator.vms[3].gateway.is_ready():
                emulator.run(1.0)
            emulator.run(ANNOUNCEMENT_MS)
            for vm in emulator.vms:
                if vm is not emulator.vms[3]:
                    member = vm.gateway.fleet.members['vm-3']
                    self.assertEqual((member.incarnation, member.is_serving), (2, True))


class DirectoryTest(unittest.TestCase):
    # The directory went on sending callers to VMs that had lost their replicas.
    @params(((0, 1, 2, 4),), ((0, 1),), ((0,),))
    def test_callers_are_sent_to_vms_that_reach_replicas(self, cut_vms):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        for number in cut_vms:
            emulator.cut_replicas(emulator.vms[number], Cut.SILENT)
        drive(emulator, GATHER, 3_000.0)
        cut_names = {f'vm-{number}' for number in cut_vms}
        for vm in emulator.vms:
            for zone in ZONES:
                found = vm.gateway.best_members(zone, zone.partition('-')[0], emulator.now_ms)
                self.assertTrue(found)
                self.assertFalse(cut_names & {member.name for member in found})

    # If replicas are gone for everybody, no VM is better than another.
    def test_directory_is_never_empty(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        before = emulator.vms[0].gateway.best_members(ZONES[0], 'brum', emulator.now_ms)
        for vm in emulator.vms:
            emulator.cut_replicas(vm, Cut.SILENT)
        drive(emulator, GATHER, 3_000.0)
        found = emulator.vms[0].gateway.best_members(ZONES[0], 'brum', emulator.now_ms)
        self.assertEqual({one.name for one in found}, {one.name for one in before})

    def test_vm_without_replicas_stays_ready(self):
        emulator = start_fleet(GATHER[1], ZONES)
        drive(emulator, GATHER, 3_000.0)
        emulator.cut_replicas(emulator.vms[0], Cut.SILENT)
        drive(emulator, GATHER, 3_000.0)
        self.assertTrue(emulator.vms[0].gateway.is_ready())
