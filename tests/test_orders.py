"""Gathers with shards that have no replica in the region of the gateway's VM."""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from beechbridge.daemon.gateway import perform
from beechbridge.failures import Failure, Reason, not_run
from beechbridge.gateway.events import CallerDisconnected, ExchangeEnded
from beechbridge.gateway.models import (
    LinkFailure,
    LinkFault,
    MergedAnswer,
    PartsAnswer,
    PartsOrder,
    PartsReply,
    Reply,
)
from beechbridge.wire.fleet import (
    ORDER_ID_HEADER,
    PARTS_PATH,
    read_order,
    read_parts,
    write_order,
    write_parts,
)
from measure.emulated_actions import REGION_DELAY_MS
from measure.stand_ins import ReplicaSpec, region_of

from .gateways import (
    OBJECTIVE_MS,
    ZONES,
    ManualRequest,
    answer_of,
    drive,
    in_time_count,
    start_sweeps,
)

SHARDS = 20
RECORD = b'0123456789abcdef'
UNSENT = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False)
OVERDUE_MS = 2 * OBJECTIVE_MS
LOST = LinkFailure(LinkFault.LOST, was_sent=True)
UNKNOWN_RESULTS = (
    LOST,
    PartsReply(PartsAnswer({}, {}, b'', 1.0), 'q1', False),
    PartsReply(PartsAnswer({'shard-0': 's'}, {}, b'', 1.0), 'other', False),
    # A 503 without the ID of the order, as the HTTP server of a VM writes on its own.
    PartsReply(None, '', False),
)
"""Results of an order after which its shards may have run."""


def far_services(emulator, zone='brum-a'):
    """Return the services that have no replica in a data centre's region."""
    near = set()
    services = set()
    for replica in emulator.replicas.values():
        services.add(replica.entry.service)
        if region_of(replica.entry.zone) == region_of(zone):
            near.add(replica.entry.service)
    return services - near


def lines_of(emulator, subject):
    return [line for vm in emulator.vms for line in vm.lines if line.subject == subject]


class OrderedGatherTest(unittest.TestCase):
    def test_shards_of_other_regions_are_ordered_once_from_vms_near_them(self):
        emulator = start_sweeps(SHARDS, zones=ZONES)
        asked = drive(emulator, '/sweep/x', 30, 10)
        self.assertGreaterEqual(in_time_count(emulator, asked, MergedAnswer), 0.95 * len(asked))
        orders = lines_of(emulator, 'order_ended')
        self.assertGreaterEqual(len(orders), 0.95 * len(asked))
        crossing = 0
        for vm in emulator.vms:
            crossing += vm.gateway.counters.get('sub_requests', 'other_region')
        self.assertLess(crossing, 0.1 * SHARDS * len(asked))

    def test_answer_holds_the_largest_records_of_all_regions(self):
        emulator = start_sweeps(SHARDS, zones=ZONES)
        vm, key, _ = drive(emulator, '/sweep/x', 1, 1)[0]
        _, answer = answer_of(emulator, vm, key)
        self.assertEqual(answer.missing_count, 0)
        self.assertEqual(len(set(answer.signatures)), SHARDS)
        self.assertEqual(len(answer.body), 10 * 16)

    def test_latency_objective_is_met_across_pauses_of_replicas(self):
        emulator = start_sweeps(
            SHARDS,
            zones=ZONES,
            spec=lambda: ReplicaSpec(pause_ms=150.0, pause_every_ms=3_600.0),
        )
        drive(emulator, '/sweep/x', 30, 5)
        asked = drive(emulator, '/sweep/x', 30, 10)
        self.assertGreaterEqual(in_time_count(emulator, asked, MergedAnswer), 0.95 * len(asked))

    def test_no_record_is_counted_twice_while_orders_are_late(self):
        emulator = start_sweeps(
            SHARDS,
            zones=ZONES,
            spec=lambda: ReplicaSpec(pause_ms=250.0, pause_every_ms=1_000.0),
            min_share=1.0,
        )
        asked = drive(emulator, '/sweep/x', 30, 10)
        merged_count = 0
        for vm, key, _ in asked:
            _, answer = answer_of(emulator, vm, key)
            if not isinstance(answer, MergedAnswer):
                continue
            merged_count += 1
            records = [answer.body[at : at + 16] for at in range(0, len(answer.body), 16)]
            self.assertEqual(len(set(records)), len(records))
        self.assertGreater(merged_count, 0)

    def test_silent_vm_is_avoided_after_the_first_requests(self):
        emulator = start_sweeps(SHARDS, zones=ZONES)
        drive(emulator, '/sweep/x', 30, 5)
        emulator.vms[2].is_up = False
        asked = drive(emulator, '/sweep/x', 30, 10)
        alive = [one for one in asked if one[0] != 2]
        answered = [one for one in alive if one[1] in emulator.vms[one[0]].answers]
        self.assertEqual(len(answered), len(alive))
        for vm, key, _ in alive:
            self.assertIsInstance(answer_of(emulator, vm, key)[1], MergedAnswer)
        self.assertGreaterEqual(in_time_count(emulator, alive, MergedAnswer), 0.9 * len(alive))

    def test_no_replica_gets_a_request_more_often_than_its_route_allows(self):
        emulator = start_sweeps(
            SHARDS,
            zones=ZONES,
            spec=lambda: ReplicaSpec(pause_ms=150.0, pause_every_ms=1_000.0, reject_share=0.02),
        )
        drive(emulator, '/sweep/x', 30, 10)
        arrivals = {}
        for replica in emulator.replicas.values():
            for _, request in replica.arrivals:
                key = (replica.entry.service, request.request_id)
                arrivals.setdefault(key, set()).add(replica.entry.replica_id)
        self.assertLessEqual(max(len(replicas) for replicas in arrivals.values()), 2)

    def test_disconnect_cancels_the_request_in_all_regions(self):
        emulator = start_sweeps(SHARDS, zones=ZONES, spec=lambda: ReplicaSpec(slow_factor=20.0))
        key = emulator.send_request(0, '/sweep/x', 1_200.0)
        emulator.run(60.0)
        emulator.disconnect_caller(0, key)
        emulator.run(REGION_DELAY_MS)
        for vm in emulator.vms:
            self.assertFalse(vm.gateway.upstreams.exchanges)
            self.assertFalse(vm.gateway.works)


class OrderEndTest(unittest.TestCase):
    """One gather; the test ends its order and its exchanges."""

    def setUp(self):
        self.emulator = start_sweeps(SHARDS, zones=ZONES)
        self.far = far_services(self.emulator)
        self.request = ManualRequest(self.emulator, 'q1', '/sweep/x', 'GET', 1_200.0)
        self.order = self.request.orders[0]
        self.sent = len(self.request.sends)

    def end(self, result):
        self.request.deliver(ExchangeEnded(self.order.exchange_id, result))

    def services_asked_since(self):
        hosts = [send.host for send in self.request.sends[self.sent :]]
        return {self.emulator.replicas[host].entry.service for host in hosts}

    def answer_near(self):
        for send in self.request.sends[: self.sent]:
            reply = Reply(200, [], RECORD, f's-{send.host}', 'q1')
            self.request.deliver(ExchangeEnded(send.exchange_id, reply))

    def test_order_lists_the_shards_without_a_replica_in_the_region(self):
        self.assertEqual(set(self.order.order.services), self.far)
        self.assertEqual(self.sent, SHARDS - len(self.far))
        self.assertLess(self.order.order.soft_ms, OBJECTIVE_MS)

    @params(UNSENT, PartsReply(None, 'q1', False))
    def test_order_that_was_not_accepted_is_replaced_by_requests_to_replicas(self, result):
        self.end(result)
        self.assertEqual(self.services_asked_since(), self.far)

    @params(*UNKNOWN_RESULTS)
    def test_failed_order_is_replaced_where_attempts_remain(self, result):
        self.end(result)
        self.assertEqual(self.services_asked_since(), self.far)

    def test_late_order_is_hedged_once(self):
        self.answer_near()
        self.request.wait(OVERDUE_MS)
        self.assertEqual(self.services_asked_since(), self.far)
        self.assertEqual(len(self.request.sends), SHARDS)
        self.end(PartsReply(PartsAnswer(dict.fromkeys(self.far, 's'), {}, b'', 1.0), 'q1', False))
        self.assertEqual(self.request.answers[0].missing_count, 0)

    def test_duplicate_part_of_a_shard_is_merged_once(self):
        self.answer_near()
        self.request.wait(OVERDUE_MS)
        twice = self.request.sends[self.sent]
        own = b'z' * 16
        self.request.deliver(ExchangeEnded(twice.exchange_id, Reply(200, [], own, 's-own', 'q1')))
        signatures = dict.fromkeys(self.far, 's-ordered')
        self.end(PartsReply(PartsAnswer(signatures, {}, own, 1.0), 'q1', False))
        answer = self.request.answers[0]
        self.assertEqual(answer.body.count(own), 1)
        self.assertEqual(answer.signatures.count('s-ordered'), len(self.far))
        self.assertNotIn('s-own', answer.signatures)

    def test_attempts_of_an_order_count_towards_the_limit(self):
        self.answer_near()
        self.request.wait(OVERDUE_MS)
        for send in self.request.sends[self.sent :]:
            self.request.deliver(ExchangeEnded(send.exchange_id, LOST))
        self.end(PartsReply(PartsAnswer({}, dict.fromkeys(self.far, 2), b'', 1.0), 'q1', False))
        self.assertEqual(len(self.request.sends), SHARDS)

    def test_only_missing_shards_that_did_not_run_are_retried(self):
        self.answer_near()
        ran, unrun, *answered = sorted(self.far)
        signatures = dict.fromkeys(answered, 's')
        body = RECORD * 2
        self.end(PartsReply(PartsAnswer(signatures, {ran: 1, unrun: 0}, body, 20.0), 'q1', False))
        self.assertEqual(self.services_asked_since(), {unrun})
        send = self.request.sends[-1]
        self.request.deliver(ExchangeEnded(send.exchange_id, Reply(200, [], RECORD, 's9', 'q1')))
        answer = self.request.answers[0]
        self.assertEqual((answer.missing_count, len(answer.signatures)), (1, SHARDS - 1))
        self.assertEqual(len(answer.body), 10 * 16)

    @params((True, 1), (False, 0))
    def test_attempt_after_a_rejection_in_the_other_region_is_an_extra_one(self, was_tried, count):
        service = min(self.far)
        signatures = {name: f's-{name}' for name in self.far - {service}}
        tried = frozenset({service} if was_tried else ())
        answer = PartsAnswer(signatures, {service: 0}, b'', 20.0, tried)
        budget = self.request.gateway.budget(service)
        before = budget.extra_count
        self.end(PartsReply(answer, 'q1', False))
        self.assertEqual(self.services_asked_since(), {service})
        self.assertEqual(budget.extra_count - before, count)

    def test_late_parts_are_ignored_after_a_disconnect(self):
        self.request.deliver(CallerDisconnected(self.request.key))
        self.end(PartsReply(PartsAnswer(dict.fromkeys(self.far, 's'), {}, b'', 1.0), 'q1', False))
        self.assertFalse(self.request.answers)


class EmptyAnswerTest(unittest.TestCase):
    """Two VMs of a data centre, one of which answers at once and brings nothing."""

    def ask(self, emulator, number, answer):
        """Send a gather, answer its orders to the data centre; return the VMs that got them."""
        request = ManualRequest(emulator, f'q{number}', '/sweep/x', 'GET', 1200.0)
        request.now_ms += 5.0
        hosts = []
        for order in request.orders:
            services = order.order.services
            if order.host not in ('vm-1', 'vm-2'):
                parts = PartsAnswer(dict.fromkeys(services, 's'), {}, b'', 1.0)
                result = PartsReply(parts, f'q{number}', False)
            else:
                hosts.append(order.host)
                result = answer(order.host, services, f'q{number}')
            request.deliver(ExchangeEnded(order.exchange_id, result))
        request.deliver(CallerDisconnected(request.key))
        emulator.run(50.0)
        return hosts

    # A VM that had lost its replicas answered orders first, and got all the more of them.
    @params(
        ('nothing', lambda services, name: PartsAnswer({}, dict.fromkeys(services, 0), b'', 0.0)),
        ('refusal', lambda services, name: None),
    )
    def test_vm_that_brings_nothing_is_not_preferred(self, name, make_parts):
        emulator = start_sweeps(SHARDS, zones=('brum-a', 'notts-a', 'notts-a', 'wolves-a'))

        def answer(host, services, request_id):
            if host == 'vm-1':
                refusal = Reason.UNREACHABLE.value
                return PartsReply(make_parts(services, request_id), request_id, False, refusal)
            parts = PartsAnswer(dict.fromkeys(services, 's'), {}, b'', 1.0)
            return PartsReply(parts, request_id, False)

        for number in range(10):
            self.ask(emulator, number, answer)
        hosts = []
        for number in range(10, 70):
            hosts.extend(self.ask(emulator, number, answer))
        self.assertGreater(len(hosts), 10)
        self.assertLess(hosts.count('vm-1'), len(hosts) / 4)


class ScarceAttemptsTest(unittest.TestCase):
    """Shards with more replicas than a request has attempts."""

    @params(*UNKNOWN_RESULTS)
    def test_order_that_may_have_used_all_attempts_is_not_retried(self, result):
        emulator = start_sweeps(SHARDS, zones=('brum-a', 'notts-a', 'wolves-a'), copies=2)
        for shard in range(SHARDS):
            zone = emulator.replicas[f'r-{shard}-1'].entry.zone
            emulator.put_replica(f'r-{shard}-2', f'shard-{shard}', zone)
        emulator.run(1_000.0)
        request = ManualRequest(emulator, 'q1', '/sweep/x', 'GET', 1_200.0)
        sent = len(request.sends)
        for send in list(request.sends):
            reply = Reply(200, [], RECORD, f's-{send.host}', 'q1')
            request.deliver(ExchangeEnded(send.exchange_id, reply))
        request.wait(OVERDUE_MS)
        request.deliver(ExchangeEnded(request.orders[0].exchange_id, result))
        self.assertEqual(len(request.sends), sent)
        self.assertIsInstance(request.answers[0], Failure)


class NoPeersTest(unittest.TestCase):
    """VMs without a configured address for other VMs."""

    def test_order_without_a_peer_address_counts_as_not_sent(self):
        emulator = start_sweeps(SHARDS, zones=ZONES)
        order = ManualRequest(emulator, 'q1', '/sweep/x', 'GET', 1_200.0).orders[0]
        events = []
        process = SimpleNamespace(settings=SimpleNamespace(peers=None), post=events.append)
        perform(order, process)
        self.assertEqual(events, [ExchangeEnded(order.exchange_id, UNSENT)])


class OrderWireTest(unittest.TestCase):
    def setUp(self):
        emulator = start_sweeps(SHARDS, zones=ZONES)
        self.action = ManualRequest(emulator, 'q1', '/sweep/x?a=1', 'GET', 1_200.0).orders[0]

    def test_order_survives_a_round_trip(self):
        data = write_order(self.action)
        head, _, body = data.partition(b'\r\n\r\n')
        self.assertIn(b'Content-Length: %d' % len(body), head)
        order = read_order({'PATH_INFO': PARTS_PATH, 'wsgi.input': Body(body)})
        for name in PartsOrder.__slots__:
            if name != 'request':
                self.assertEqual(getattr(order, name), getattr(self.action.order, name))
        self.assertEqual(order.request.target, '/sweep/x?a=1')
        self.assertEqual(order.request_id, 'q1')

    def test_answer_survives_a_round_trip(self):
        answer = PartsAnswer({'a': 's'}, {'b': 2, 'c': 0}, RECORD, 12.5, frozenset({'b'}))
        wire = write_parts(answer, 'q1')
        reply = read_parts(200, wire.headers, wire.body, False)
        self.assertEqual(reply, PartsReply(answer, 'q1', False))

    def test_rejection_states_that_nothing_has_run(self):
        wire = write_parts(not_run(Reason.NOT_READY, 'no table', 300), 'q1')
        status = int(wire.status.split()[0])
        self.assertEqual(read_parts(status, wire.headers, wire.body, True).answer, None)

    @params(b'', b'\x00', b'\xff' * 40)
    def test_malformed_order_is_rejected(self, body):
        order = read_order({'PATH_INFO': PARTS_PATH, 'wsgi.input': Body(body)})
        self.assertIsInstance(order, Failure)

    def test_other_paths_are_not_read_as_orders(self):
        self.assertIsNone(read_order({'PATH_INFO': '/v1/changes'}))

    def test_malformed_answer_has_no_parts(self):
        reply = read_parts(200, [(ORDER_ID_HEADER, 'q1')], b'\x00\x01', False)
        self.assertEqual(reply.answer.signatures, {})


class Body:
    def __init__(self, data):
        self.data = data

    def read(self):
        return self.data
