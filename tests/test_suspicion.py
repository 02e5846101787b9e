"""What counts as evidence that a request ends replicas, and how VMs share it."""

import itertools
import unittest

from nose2.tools import params

from beechbridge.failures import Executed, Reason
from beechbridge.gateway.actions import SendSuspects
from beechbridge.gateway.events import ExchangeEnded, ProbeEnded, SuspectsReceived, TimerDue
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import CallerRequest, LinkFailure, LinkFault, Reply
from beechbridge.gateway.requests.identity import compute_digest
from beechbridge.gateway.requests.suspicion import (
    CONVICTION_MS,
    MAX_NAME_LENGTH,
    MAX_SUSPICIONS,
    ReplicaEnd,
    Suspicion,
    SuspicionBook,
    Verdict,
)
from beechbridge.gateway.suspects import EndReport, SuspectReport, SuspectsReport
from measure.emulator import FIRST_START_MS, HOST

from .gateways import ManualRequest, single_route, start_register, start_sweeps

NOW_MS = 50_000.0
DIGEST = 'digest'
TARGET = '/sweep/x'
LOST = LinkFailure(LinkFault.LOST, was_sent=True)


def make_caller_request(**fields):
    values = {
        'request_id': 'q',
        'method': 'GET',
        'target': TARGET,
        'host': HOST,
        'path': TARGET,
        'headers': [('User-Agent', 'client'), ('Authorization', 'caller')],
        'body': b'',
        'timeout_ms': 1200.0,
    }
    values.update(fields)
    if ('Authorization', 'caller') not in values['headers'] and 'Authorization' not in dict(
        values['headers']
    ):
        values['headers'] = [*values['headers'], ('Authorization', 'caller')]
    return CallerRequest(**values)


def make_end(replica='r-0-0', round_id='q:0', at_ms=NOW_MS, is_alone=False, started_ms=0):
    return ReplicaEnd(replica, started_ms, round_id, at_ms, is_alone)


def judge_ends(*ends, now_ms=NOW_MS):
    """Return the verdict after some ends, given as (replica, round, is_alone)."""
    book = SuspicionBook()
    for replica, round_id, is_alone in ends:
        book.add_end(DIGEST, 'sweep', make_end(replica, round_id, NOW_MS, is_alone))
    return book.judge(DIGEST, now_ms)


class VerdictTest(unittest.TestCase):
    @params(
        ((), Verdict.CLEAR),
        ((('a', 'q:0', False),), Verdict.SUSPECT),
        ((('a', 'q:0', False), ('b', 'q:0', False), ('c', 'q:0', False)), Verdict.SUSPECT),
        ((('a', 'q:0', False), ('b', 'q:0', False), ('c', 'q:1', True)), Verdict.CONVICTED),
        ((('a', 'q:0', False), ('b', 'q:1', True)), Verdict.SUSPECT),
        ((('a', 'q:0', False), ('b', 'q:1', True), ('c', 'r:0', False)), Verdict.CONVICTED),
        ((('a', 'q:0', False), ('b', 'r:0', False), ('c', 's:0', False)), Verdict.CONVICTED),
        ((('a', 'q:0', True), ('b', 'q:1', True)), Verdict.CONVICTED),
        ((('a', 'q:0', True),), Verdict.SUSPECT),
    )
    def test_ends_of_several_rounds_convict(self, ends, verdict):
        self.assertIs(judge_ends(*ends), verdict)

    def test_conviction_ends_after_its_time(self):
        ends = (('a', 'q:0', True), ('b', 'q:1', True))
        self.assertIs(judge_ends(*ends, now_ms=NOW_MS + CONVICTION_MS), Verdict.CLEAR)

    def test_order_of_the_ends_does_not_matter(self):
        ends = [
            make_end('a', 'q:0', NOW_MS),
            make_end('b', 'q:0', NOW_MS + 1.0),
            make_end('c', 'q:1', NOW_MS + 20.0, is_alone=True),
            make_end('a', 'q:0', NOW_MS),
        ]
        for order in itertools.permutations(ends):
            book = SuspicionBook()
            for end in order:
                book.add_end(DIGEST, 'sweep', end)
            self.assertEqual(len(book.by_digest[DIGEST].ends), 3)
            self.assertIs(book.judge(DIGEST, NOW_MS), Verdict.CONVICTED)

    # Two requests were sent alone to the same replica by two VMs; one of them ended it.
    def test_end_counts_for_the_request_with_more_rounds(self):
        book = SuspicionBook()
        for digest in ('guilty', 'innocent'):
            for replica, round_id in (('a', '0'), ('b', '0'), ('c', '1')):
                end = make_end(replica, f'{digest}:{round_id}', NOW_MS, round_id == '1')
                book.add_end(digest, 'sweep', end)
        self.assertIs(book.judge('guilty', NOW_MS), Verdict.SUSPECT)
        self.assertIs(book.judge('innocent', NOW_MS), Verdict.SUSPECT)
        book.add_end('guilty', 'sweep', make_end('d', 'guilty:2', NOW_MS, True))
        self.assertIs(book.judge('guilty', NOW_MS), Verdict.CONVICTED)
        self.assertIs(book.judge('innocent', NOW_MS), Verdict.SUSPECT)
        book.clear('innocent', NOW_MS)
        self.assertIs(book.judge('innocent', NOW_MS), Verdict.CLEAR)
        self.assertEqual(book.holders[('a', 0)], {'guilty'})

    def test_answer_drops_the_ends_before_it(self):
        suspicion = Suspicion(DIGEST)
        suspicion.add_end(make_end('a', 'q:0', NOW_MS, is_alone=True))
        suspicion.clear(NOW_MS + 5.0)
        self.assertFalse(suspicion.add_end(make_end('b', 'q:1', NOW_MS + 1.0, is_alone=True)))
        self.assertFalse(suspicion.ends)

    def test_memory_is_bounded(self):
        book = SuspicionBook()
        for number in range(MAX_SUSPICIONS + 500):
            for round_number in range(20):
                end = make_end(f'r-{number}-{round_number}', f'q:{round_number}', NOW_MS + number)
                book.add_end(f'digest-{number}', 'sweep', end)
        self.assertEqual(len(book.by_digest), MAX_SUSPICIONS)
        self.assertLessEqual(max(len(found.ends) for found in book.by_digest.values()), 4)
        self.assertNotIn('digest-0', book.by_digest)


class IdentityTest(unittest.TestCase):
    @params(
        ({'request_id': 'another'}, True),
        ({'timeout_ms': 3.0}, True),
        ({'headers': [('User-Agent', 'another')]}, True),
        ({'method': 'POST'}, False),
        ({'host': 'another'}, False),
        ({'target': '/sweep/y'}, False),
        ({'body': b'x'}, False),
        ({'target': '/sweep/xd', 'body': b'eed'}, False),
        ({'headers': [('Authorization', 'another caller')]}, False),
    )
    def test_request_is_the_same_if_replica_and_caller_see_it_so(self, fields, is_same):
        digests = {compute_digest(make_caller_request(**one)) for one in ({}, fields)}
        self.assertEqual(len(digests) == 1, is_same)


class LossTest(unittest.TestCase):
    """A gather over four shards whose sends are all lost."""

    def start(self):
        emulator = start_sweeps(4, zones=('brum-a',), copies=2, min_share=0.5)
        return ManualRequest(emulator, 'q', TARGET, 'GET', 1200.0)

    def lose_all(self, request):
        for number in range(4):
            request.end(LOST, number)

    def verdict(self, request):
        digest = compute_digest(CallerRequest('q', 'GET', TARGET, HOST, TARGET, [], b''))
        return request.gateway.suspicions.judge(digest, request.now_ms)

    def test_nothing_is_sent_before_the_first_answer_and_one_canary_after_all_are_lost(self):
        request = self.start()
        for number in range(3):
            request.end(LOST, number)
            request.wait(1.0)
        self.assertEqual(len(request.sends), 4)

    @params(
        ('open', Verdict.CLEAR),
        ('silent', Verdict.CLEAR),
        ('refused', Verdict.SUSPECT),
        ('entry removed', Verdict.SUSPECT),
        ('refused request', Verdict.SUSPECT),
    )
    def test_loss_counts_once_the_replica_is_known_to_have_ended(self, what, verdict):
        request = self.start()
        self.lose_all(request)
        self.assertTrue(request.probes)
        if what in ('open', 'silent', 'refused'):
            self.end_probes(request, is_open=what == 'open', is_refused=what == 'refused')
        states = [request.gateway.upstreams.by_id[send.instance_id] for send in request.sends]
        if what == 'entry removed':
            for state in states:
                request.gateway.forget_replica(state, 'entry removed')
        if what == 'refused request':
            self.refuse_connections(request)
        self.assertIs(self.verdict(request), verdict)

    def refuse_connections(self, request):
        """Let another request find that nothing listens at the replicas' addresses."""
        other = ManualRequest(request.emulator, 'other', '/sweep/other', 'GET', 1200.0, False)
        failure = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False, is_refused=True)
        # The list grows: a refused task goes to the other replica of its shard.
        for send in other.sends:
            other.deliver(ExchangeEnded(send.exchange_id, failure))
            if len(other.sends) > 8:
                return

    def end_probes(self, request, is_open=False, is_refused=True):
        for probe in request.probes:
            request.deliver(ProbeEnded(probe.probe_id, is_open, is_refused))
        request.probes.clear()
        request.wait(1.0)

    # A caller chooses the ID of its request, and reports of it must fit into a datagram.
    def test_long_request_id_makes_no_long_report(self):
        emulator = start_sweeps(4, zones=('brum-a',), copies=2, min_share=0.5)
        request = ManualRequest(emulator, 'q' * 10_000, TARGET, 'GET', 1200.0)
        self.lose_all(request)
        self.end_probes(request)
        for suspicion in request.gateway.suspicions.by_digest.values():
            for end in suspicion.ends.values():
                self.assertLessEqual(len(end.round_id), MAX_NAME_LENGTH)
        self.assertTrue(request.gateway.suspicions.by_digest)

    def test_canary_that_answers_lets_the_rest_follow(self):
        request = self.start()
        self.lose_all(request)
        self.end_probes(request)
        self.assertEqual(len(request.sends), 5)
        request.end(Reply(200, [], b'', 'signature', 'q'), 4)
        request.wait(1.0)
        self.assertEqual(len(request.sends), 8)
        self.assertIs(self.verdict(request), Verdict.CLEAR)

    def convict(self):
        request = self.start()
        self.lose_all(request)
        self.end_probes(request)
        request.end(LOST, 4)
        self.end_probes(request)
        return request

    def test_canary_that_is_lost_convicts(self):
        request = self.convict()
        self.assertEqual(len(request.sends), 5)
        answer = request.answers[0]
        self.assertIs(answer.reason, Reason.QUARANTINED)
        self.assertIs(answer.executed, Executed.UNKNOWN)

    def test_convicted_request_is_rejected_at_once(self):
        request = self.convict()
        again = ManualRequest(request.emulator, 'again', TARGET, 'GET', 1200.0)
        self.assertFalse(again.sends)
        answer = again.answers[0]
        self.assertIs(answer.reason, Reason.QUARANTINED)
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertGreaterEqual(answer.retry_after_ms, 0.9 * CONVICTION_MS)

    def test_suspect_of_another_vm_starts_with_a_canary(self):
        emulator = start_sweeps(4, zones=('brum-a',), copies=2)
        gateway = emulator.vms[0].gateway
        request = CallerRequest('q', 'GET', TARGET, HOST, TARGET, [], b'', 1200.0)
        end = make_end(at_ms=emulator.now_ms)
        gateway.suspicions.add_end(compute_digest(request), 'sweep', end)
        sends = ManualRequest(emulator, 'q', TARGET, 'GET', 1200.0).sends
        self.assertEqual(len(sends), 1)


class ReportTest(unittest.TestCase):
    """Evidence of other VMs."""

    def start(self):
        emulator = start_sweeps(4, zones=('brum-a', 'notts-a'), copies=2)
        gateway = emulator.vms[0].gateway
        sender = emulator.vms[1].gateway.fleet.own
        return emulator, gateway, sender

    def report(self, gateway, sender, ends, at_ms):
        report = SuspectsReport([SuspectReport(DIGEST, 'sweep', ends)], 0)
        gateway.handle(SuspectsReceived(sender, report), at_ms)
        return gateway.suspicions.judge(DIGEST, at_ms)

    def convicting_ends(self, **fields):
        values = {'started_ms': FIRST_START_MS, 'age_ms': 20, 'is_alone': True, **fields}
        return [
            EndReport('r-0-0', round_id='q:0', **values),
            EndReport('r-1-0', round_id='q:1', **values),
        ]

    def test_evidence_of_a_member_convicts(self):
        emulator, gateway, sender = self.start()
        verdict = self.report(gateway, sender, self.convicting_ends(), emulator.now_ms)
        self.assertIs(verdict, Verdict.CONVICTED)

    # A VM acquitted a request milliseconds after it had reported the ends that convicted it; the
    # others went on turning it away for ten minutes.
    def test_acquittal_soon_after_the_ends_counts(self):
        emulator, gateway, sender = self.start()
        now_ms = emulator.now_ms
        self.report(gateway, sender, self.convicting_ends(), now_ms)
        report = SuspectsReport([SuspectReport(DIGEST, 'sweep', [], 0)], 0)
        gateway.handle(SuspectsReceived(sender, report), now_ms + 15.0)
        self.assertIs(gateway.suspicions.judge(DIGEST, now_ms + 15.0), Verdict.CLEAR)

    # A forged or damaged report must not turn an innocent request away.
    @params(
        ('unknown sender', {}),
        ('other host', {}),
        ('negative age', {'age_ms': -5}),
        ('outdated', {'age_ms': int(CONVICTION_MS) + 1}),
        ('replica answers', {}),
        ('invented replica', {}),
        ('long round', {}),
        ('long route', {}),
        ('long digest', {}),
    )
    def test_report_that_cannot_be_true_is_ignored(self, what, fields):
        emulator, gateway, sender = self.start()
        emulator.run(6_000.0)
        ends = self.convicting_ends(**fields)
        if what == 'unknown sender':
            sender = Member('stranger', 'vm-1', 'brum-a', 1)
        if what == 'other host':
            sender = Member(sender.name, 'elsewhere', sender.zone, 1)
        if what == 'replica answers':
            for state in gateway.upstreams.by_id.values():
                state.replied_ms = emulator.now_ms + 200.0
        if what == 'invented replica':
            for end in ends:
                end.replica_id = f'invented-{end.replica_id}'
        if what == 'long round':
            for end in ends:
                end.round_id = end.round_id * 1000
        route_name = 'sweep' * 1000 if what == 'long route' else 'sweep'
        digest = DIGEST * 1000 if what == 'long digest' else DIGEST
        report = SuspectsReport([SuspectReport(digest, route_name, ends)], 0)
        gateway.handle(SuspectsReceived(sender, report), emulator.now_ms)
        self.assertIs(gateway.suspicions.judge(digest, emulator.now_ms), Verdict.CLEAR)

    # A VM that had started after a replica was gone did not believe that it had ended.
    def test_vm_that_starts_is_told(self):
        emulator, gateway, sender = self.start()
        for replica_id in ('r-0-0', 'r-1-0'):
            emulator.remove_entry(replica_id)
        emulator.run(500.0)
        self.report(gateway, sender, self.convicting_ends(), emulator.now_ms)
        emulator.restart_vm(emulator.vms[1], 500.0)
        emulator.run(3_000.0)
        restarted = emulator.vms[1].gateway
        self.assertIs(restarted.suspicions.judge(DIGEST, emulator.now_ms), Verdict.CONVICTED)
        self.assertFalse(restarted.suspicions.is_cautious(emulator.now_ms))

    def test_fleet_that_has_forgotten_is_cautious(self):
        emulator, _, _ = self.start()
        for vm in emulator.vms:
            emulator.restart_vm(vm, 500.0)
        emulator.run(3_000.0)
        for vm in emulator.vms:
            self.assertTrue(vm.gateway.suspicions.is_cautious(emulator.now_ms))

    # Each VM that another one tells about an end must hear of it before the request comes again.
    @params((8, 1.0), (30, 1.0), (100, 1.0))
    def test_conviction_is_in_force_everywhere_within_a_second(self, vm_count, within_s):
        zones = tuple(('brum-a', 'notts-a', 'wolves-a')[n % 3] for n in range(vm_count))
        emulator = start_sweeps(4, zones=zones, copies=2)
        emulator.run(8_000.0)
        gateway = emulator.vms[0].gateway
        for end in self.convicting_ends():
            found = ReplicaEnd(end.replica_id, 0, end.round_id, emulator.now_ms, True)
            gateway.suspicions.add_end(DIGEST, 'sweep', found)
        gateway.evidence.unreported[DIGEST] = 3
        emulator.run(1000.0 * within_s)
        for vm in emulator.vms:
            verdict = vm.gateway.suspicions.judge(DIGEST, emulator.now_ms)
            self.assertIs(verdict, Verdict.CONVICTED, vm.gateway.fleet.own.name)

    def test_change_is_reported_three_times(self):
        emulator, gateway, _ = self.start()
        gateway.suspicions.add_end(DIGEST, 'sweep', make_end(at_ms=emulator.now_ms))
        gateway.evidence.unreported[DIGEST] = 3
        count = 0
        for step in range(200):
            actions = gateway.handle(TimerDue(), emulator.now_ms + 10.0 * step)
            count += sum(isinstance(action, SendSuspects) for action in actions)
        self.assertEqual(count, 3)


class SingleTest(unittest.TestCase):
    def test_request_that_must_not_run_twice_is_not_sent_again(self):
        emulator = start_register(single_route('file', is_idempotent=False))
        request = ManualRequest(emulator, 'q', '/file/x', 'POST', 4000.0)
        request.end(LOST, 0)
        request.wait(100.0)
        self.assertEqual(len(request.sends), 1)
        self.assertIs(request.answers[0].executed, Executed.UNKNOWN)
