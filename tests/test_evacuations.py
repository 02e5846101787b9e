"""Evacuations: how they travel, and that no request reaches the replicas of an evacuated zone."""

import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
from nose2.tools import params

from beechbridge.cli import evacuations as evacuations_command
from beechbridge.cli.client import HttpReply
from beechbridge.daemon.gateway import LISTED_PREFIXES
from beechbridge.daemon.metrics import render_gateway
from beechbridge.daemon.store_reader import StoreReader
from beechbridge.failures import Executed, Failure, InputFailure
from beechbridge.gateway.actions import DropConnection, WithdrawExchange
from beechbridge.gateway.events import (
    ChangesReceived,
    ExchangeEnded,
    ExchangeWithdrawn,
    PullEnded,
    RequestReceived,
    StoreFailed,
)
from beechbridge.gateway.models import CallerRequest, Item, Reply
from beechbridge.gateway.replicas.evacuations import Evacuation
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.platform.items import decode_item
from beechbridge.platform.store import StoreClient
from beechbridge.status import ExitStatus
from beechbridge.wire.fleet import decode_changes, encode_changes
from measure.emulator import HOST, WATCH_TIMEOUT_MS, Emulator

from .gateways import START_MS, WORK_MS, ManualRequest, single_route, sweep_route
from .test_cli import run_tool
from .test_pulls import PulledReader
from .test_store_reader import TIMEOUT_S, StoreThread
from .test_store_updates import KEY, EmptyReader, Reader, entry

EVACUATION = 'evacuate/brum-a'
ZONES = ('brum-a', 'brum-b', 'notts-a')
EVAC_MS = 5_000.0
"""Time after which an evacuation is in force at every VM, as the users specify."""

STORE_TIMEOUT_MS = 800.0
PREFIXES = ('evacuate/', 'replica/', 'table')
LOOKUP = single_route('lookup')


class DecodingTest(unittest.TestCase):
    # Guards against a zone that is evacuated by a key or a value that names none, or is not
    # evacuated because of a field that is not known yet.
    @params(
        ('brum-a', b'{}', 'brum-a'),
        ('brum-a', b'{"by":"ops"}', 'brum-a'),
        ('z' * 188, b'{}', 'z' * 188),
        ('z' * 189, b'{}', None),
        ('', b'{}', None),
        ('a/b', b'{}', None),
        ('a b', b'{}', None),
        ('a\n', b'{}', None),
        ('br\u00fcm', b'{}', None),
        ('brum-a', b'', None),
        ('brum-a', b'[]', None),
        ('brum-a', b'\xff', None),
        ('brum-a', b'{' + b' ' * 16_384 + b'}', None),
    )
    def test_zone_is_named_by_a_valid_key_with_an_object(self, name, value, zone):
        decoded = decode_item(f'op/evacuate/{name}', value)
        if zone is None:
            self.assertIsInstance(decoded, Failure)
            return
        self.assertEqual(decoded.zone, zone)


class FreshReader(Reader):
    """A VM that has just started and has no table."""

    def __init__(self, decoded):
        EmptyReader.__init__(self, decoded)


def send_to_fresh(reader):
    """Return a VM that has started and got all that another one knows."""
    fresh = FreshReader(reader.decoded)
    event = decode_changes(encode_changes(reader.gateway.view.forward_changes(0, 0)))
    fresh.deliver(PullEnded(SimpleNamespace(host='vm-1', revision=0, epoch=0), event))
    return fresh


def list_store(reader, epoch=0, evacuation=None):
    """Deliver the listing of a store with a replica, the table and perhaps an evacuation."""
    items = [reader.item(KEY, entry()), *reader.gateway.view.items.values()]
    items = [item for item in items if item.key != EVACUATION]
    if evacuation is not None:
        items.append(reader.item(EVACUATION, evacuation))
    reader.deliver(ChangesReceived(items, reader.revision, PREFIXES, epoch=epoch))
    return reader


def pull(reader, evacuation):
    """Deliver the item as another VM that has it sends it, beside a store that is down."""
    reader.deliver(StoreFailed('status 503'))
    other = Reader()
    other.revision = reader.revision
    other.put(EVACUATION, Evacuation('brum-a'))
    if evacuation is None:
        other.put(EVACUATION, None)
    reader.decoded.update(other.decoded)
    reader.revision = other.revision
    event = other.gateway.view.forward_changes(other.revision - 2, 0)
    reader.deliver(decode_changes(encode_changes(event)))
    return reader


def write(reader, evacuation):
    reader.put(EVACUATION, evacuation)
    return reader


STARTS = {
    'watch': lambda reader: write(reader, Evacuation('brum-a')),
    'pull beside a store that is down': lambda reader: pull(reader, Evacuation('brum-a')),
    'listing': lambda reader: list_store(reader, 0, Evacuation('brum-a')),
    'restored store': lambda reader: list_store(reader, 1, Evacuation('brum-a')),
    'start beside a neighbour': lambda reader: send_to_fresh(write(reader, Evacuation('brum-a'))),
    'start beside the store': lambda reader: list_store(
        FreshReader(reader.decoded), 0, Evacuation('brum-a')
    ),
}
ENDS = {
    'watch': lambda reader: write(reader, None),
    'pull beside a store that is down': lambda reader: pull(reader, None),
    'listing': list_store,
    'restored store': lambda reader: list_store(reader, 1),
    'unreadable value': lambda reader: write(reader, InputFailure('k', 'value', '', 'an object')),
    'start beside a neighbour': lambda reader: send_to_fresh(write(reader, None)),
}


class PathsTest(unittest.TestCase):
    # Guards against a path on which an evacuation does not arrive: it would be in force at some
    # VMs only, or not for replicas that register later.
    @params(*STARTS)
    def test_evacuation_arrives(self, path):
        reader = Reader()
        reader.put(KEY, entry())
        reader = STARTS[path](reader)
        self.assertEqual(reader.usable_count, 0)
        epoch = reader.gateway.view.epoch
        reader.revision = reader.gateway.view.revision
        reader.put('replica/r-2', entry(replica_id='r-2'), epoch=epoch)
        self.assertEqual(reader.usable_count, 0)
        reader.put('replica/r-3', entry(replica_id='r-3', zone='other'), epoch=epoch)
        self.assertEqual(reader.usable_count, 1)

    # Guards against a path on which the end of an evacuation does not arrive.
    @params(*ENDS)
    def test_end_arrives(self, path):
        reader = Reader()
        reader.put(KEY, entry())
        reader.put(EVACUATION, Evacuation('brum-a'))
        reader = ENDS[path](reader)
        self.assertEqual(reader.usable_count, 1)
        self.assertFalse(reader.gateway.evacuations.is_evacuated('brum-a'))

    # Guards against an outage of the store that ends an evacuation, and against a second item of
    # the same evacuation that starts it anew.
    def test_evacuation_outlives_the_store_and_keeps_its_time(self):
        reader = Reader()
        reader.put(EVACUATION, Evacuation('brum-a'))
        since_ms = reader.now_ms
        reader.wait(1_000.0)
        reader.deliver(StoreFailed('status 503'))
        reader.put(EVACUATION, Evacuation('brum-a'))
        reader.wait(20_000.0)
        self.assertEqual(reader.gateway.evacuations.since_ms, {'brum-a': since_ms})
        self.assertEqual(reader.gateway.counters.get('evacuation_started'), 1)

    # Guards against an entry that moves its replica into an evacuated zone, or out of it.
    def test_zone_of_a_changed_entry_counts(self):
        reader = Reader()
        reader.put(EVACUATION, Evacuation('brum-a'))
        for zone, expected in (('brum-a', 0), ('other', 1), ('brum-a', 0)):
            reader.put(KEY, entry(zone=zone))
            self.assertEqual(reader.usable_count, expected)

    # Guards against a VM that does not pull an evacuation, since no table or replica changes.
    def test_evacuation_is_pulled_from_the_follower(self):
        reader = PulledReader()
        (action,) = reader.hear('vm-4', 1)
        item = reader.item(EVACUATION, Evacuation('brum-a'))
        event = ChangesReceived([item], reader.revision, is_from_store=False)
        reader.deliver(PullEnded(action, event))
        self.assertTrue(reader.gateway.evacuations.is_evacuated('brum-a'))

    # Guards against a reader of the store that does not list or watch the items.
    def test_store_reader_brings_items_of_listing_and_watch(self):
        thread = StoreThread()
        self.addCleanup(thread.close)
        thread.call(thread.store.put, 'op/evacuate/one', {})
        events = []
        reader = StoreReader(
            StoreClient(thread.address, TIMEOUT_S), LISTED_PREFIXES, '', events.append
        )
        for _ in LISTED_PREFIXES:
            reader.read_next()
        thread.call(thread.store.put, 'op/evacuate/two', {})
        reader.read_next()
        keys = [[item.key for item in event.changes] for event in events]
        self.assertEqual(keys, [['op/evacuate/one'], ['op/evacuate/two']])
        self.assertIn('op/evacuate/', events[0].listed_prefixes)


def start(
    zones=ZONES,
    replica_zones=('brum-a', 'brum-b'),
    route=LOOKUP,
    limit=26,
    seed=1,
    start_ms=START_MS,
):
    """Return an emulator with one replica of a service in each of some zones."""
    emulator = Store(zones, WORK_MS, BudgetRules(0.2, 56.0), seed)
    for number, zone in enumerate(replica_zones):
        for service in route.services:
            emulator.put_replica(f'{service}-{number}', service, zone)
    emulator.put_table([route], limit)
    emulator.run(start_ms)
    return emulator


class Store(Emulator):
    """A deployment in which the connections of some VMs to the store are silent."""

    def __init__(self, *arguments):
        self.cut_names = set()
        super().__init__(*arguments)

    def is_cut(self, vm):
        return vm.gateway.fleet.own.name in self.cut_names

    def deliver_from_store(self, vm, event):
        if not self.is_cut(vm):
            super().deliver_from_store(vm, event)

    def end_watches(self):
        """A VM notices that its connection is silent once its watch is over."""
        for vm in self.vms:
            event = ChangesReceived([], self.revision)
            delay_ms = 0.0
            if self.is_cut(vm):
                event = StoreFailed('TimeoutError')
                delay_ms = STORE_TIMEOUT_MS
            if vm.is_following:
                self.schedule(delay_ms, lambda v=vm, e=event: self.deliver_event(v, e))
        self.schedule(WATCH_TIMEOUT_MS, self.end_watches)

    def count_after(self, zone, start_ms):
        """Return how many requests have reached the replicas of a zone since a time."""
        count = 0
        for replica in self.replicas.values():
            if replica.entry.zone == zone:
                count += sum(at_ms >= start_ms for at_ms, _ in replica.arrivals)
        return count

    def drive(self, count=40, gap_ms=50.0):
        for number in range(count):
            self.send_request(number % len(self.vms), '/lookup/x', 1_000.0)
            self.run(gap_ms)


class FleetTest(unittest.TestCase):
    # Guards against a request that reaches the zone later than 5 s after the item was written:
    # from a VM without the store, and from one that starts in the meantime beside neighbours only.
    @params((), ('vm-1',), ('vm-1', 'vm-2'), ('vm-0', 'vm-2'))
    def test_no_request_arrives_once_the_evacuation_is_in_force(self, *cut_names):
        emulator = start()
        emulator.drive(20)
        self.assertGreater(emulator.count_after('brum-a', 0.0), 0)
        emulator.cut_names.update(cut_names)
        emulator.start_evacuation('brum-a')
        written_ms = emulator.now_ms
        emulator.cut_names.update(('vm-0', 'vm-1', 'vm-2'))
        emulator.restart_vm(emulator.vms[2], 500.0)
        emulator.drive(100)
        emulator.drive(100)
        self.assertEqual(emulator.count_after('brum-a', written_ms + EVAC_MS), 0)
        served = emulator.count_after('brum-b', written_ms + EVAC_MS)
        self.assertGreater(served, 50)
        emulator.cut_names.clear()
        emulator.end_evacuation('brum-a')
        emulator.run(EVAC_MS)
        ended_ms = emulator.now_ms
        emulator.drive(40)
        self.assertGreater(emulator.count_after('brum-a', ended_ms), 0)

    # Guards against an evacuation that is late in a region which has just lost the store: in a
    # large fleet each message of another region reaches one VM only.
    @params(1, 2, 3, 4)
    def test_evacuation_reaches_a_region_without_the_store(self, seed):
        emulator = start(('brum-a',) * 8 + ('notts-a',) * 8, seed=seed, start_ms=12_000.0)
        emulator.drive(30, 20.0)
        for vm in emulator.vms[:8]:
            emulator.cut_names.add(vm.gateway.fleet.own.name)
        emulator.start_evacuation('brum-a')
        emulator.run(EVAC_MS)
        late = [vm for vm in emulator.vms if not vm.gateway.evacuations.is_evacuated('brum-a')]
        self.assertEqual(late, [])


class SendingTest(unittest.TestCase):
    def ask(self, emulator, method='GET', is_sending=True, path='/lookup/x'):
        return ManualRequest(emulator, 'q1', path, method, 1_000.0, is_sending)

    def evacuate(self, asked, zone='brum-a', evacuation=True):
        gateway = asked.gateway
        revision = gateway.view.revision + 1
        value = b'{}' if evacuation else None
        item = Item(f'evacuate/{zone}', value, revision)
        asked.actions = gateway.handle(ChangesReceived([item], revision), asked.now_ms)
        return asked.actions

    def reply_to(self, asked, number=-1):
        asked.end(Reply(200, [], b'deed', 'signature', 'q1'), number)

    # Guards against a request in flight that is aborted, a connection that stays open after it,
    # and idle connections that stay open.
    def test_request_in_flight_ends_normally_and_connections_close(self):
        emulator = start(ZONES[:1], ('brum-a',))
        emulator.drive(1, 500.0)
        asked = self.ask(emulator)
        state = asked.gateway.upstreams.by_id['register-0']
        emulator.send_request(0, '/lookup/x', 1_000.0)
        self.assertEqual(len(state.busy), 2)
        before = self.evacuate(asked)
        self.assertFalse([a for a in before if isinstance(a, DropConnection)])
        actions = asked.gateway.handle(
            ExchangeEnded(asked.sends[0].exchange_id, Reply(200, [], b'', 's', 'q1')), asked.now_ms
        )
        dropped = [a.connection_id for a in actions if isinstance(a, DropConnection)]
        self.assertEqual(dropped, [asked.sends[0].connection_id])
        self.assertEqual(state.idle, [])

    def test_idle_connections_close_at_once(self):
        emulator = start(ZONES[:1], ('brum-a',))
        emulator.drive(1, 500.0)
        asked = self.ask(emulator)
        self.reply_to(asked)
        state = asked.gateway.upstreams.by_id['register-0']
        idle = [connection.connection_id for connection in state.idle]
        dropped = [a.connection_id for a in self.evacuate(asked) if isinstance(a, DropConnection)]
        self.assertTrue(idle)
        self.assertEqual(dropped, idle)

    # Guards against a retry or a hedge that goes to the zone although the first attempt did not.
    @params('retry', 'hedge', 'backoff')
    def test_later_attempt_does_not_go_to_the_zone(self, kind):
        emulator = start(ZONES[:1], ('brum-b', 'brum-a'))
        asked = self.ask(emulator)
        first = asked.sends[0].host
        other = ({'register-0', 'register-1'} - {first}).pop()
        zone = emulator.replicas[other].entry.zone
        if kind == 'backoff':
            asked.end(Reply(503, [], b'', is_rejected=True, request_id='q1'))
            asked.end(Reply(503, [], b'', is_rejected=True, request_id='q1'))
        self.evacuate(asked, zone)
        if kind == 'retry':
            asked.fail(0)
        asked.wait(900.0)
        later = [send.host for send in asked.sends[2 if kind == 'backoff' else 1 :]]
        self.assertNotIn(other, later)

    # Guards against a request that leaves once its connection opens, after the evacuation began.
    @params((('brum-a', 'brum-b'), 1, 0), (('brum-a',), 0, 1))
    def test_unsent_request_is_withdrawn_and_sent_elsewhere(self, zones, resent, rejected):
        emulator = start(ZONES[:1], zones)
        asked = self.ask(emulator, 'POST', is_sending=False)
        sent = asked.sends[0]
        for action in self.evacuate(asked):
            if isinstance(action, WithdrawExchange):
                asked.deliver(ExchangeWithdrawn(action.exchange_id))
        self.assertEqual(len(asked.sends) - 1, resent)
        self.assertEqual(len(asked.answers), rejected)
        self.assertTrue(all(send.host != sent.host for send in asked.sends[1:]))
        for answer in asked.answers:
            self.assertGreater(answer.retry_after_ms, 0)

    # Guards against queued requests that are sent to the zone as connections become free, or wait
    # for their deadline although no replica is left.
    def test_queued_request_is_rejected_when_no_replica_is_left(self):
        emulator = start(ZONES[:1], ('brum-a',), limit=1)
        asked = self.ask(emulator)
        request = CallerRequest('q2', 'GET', '/lookup/y', HOST, '/lookup/y', [], b'', 1_000.0)
        asked.deliver(RequestReceived(8, request))
        self.assertEqual((len(asked.sends), len(asked.gateway.works)), (1, 2))
        answers = [a.answer for a in self.evacuate(asked) if hasattr(a, 'answer')]
        self.assertEqual([answer.executed for answer in answers], [Executed.NOT_RUN])
        self.assertGreater(answers[0].retry_after_ms, 0)
        self.reply_to(asked)
        self.assertEqual(len(asked.sends), 1)

    # Guards against a queued request that is sent to a new replica of a zone which a later item
    # of the batch evacuates, and against its rejection although the batch brings another replica.
    @params(('brum-a', 0), ('brum-b', 1))
    def test_batch_applies_evacuations_before_entries(self, zone, sent):
        emulator = start(ZONES[:1], ('brum-a',), limit=1)
        asked = self.ask(emulator)
        request = CallerRequest('q2', 'GET', '/lookup/y', HOST, '/lookup/y', [], b'', 1_000.0)
        asked.deliver(RequestReceived(8, request))
        new = entry(replica_id='new', service='register', zone=zone)
        emulator.entries['new'] = new
        revision = asked.gateway.view.revision
        items = [
            Item('replica/new', b'new', revision + 1),
            Item('evacuate/brum-a', b'{}', revision + 2),
        ]
        asked.deliver(ChangesReceived(items, revision + 2))
        self.assertEqual([send.host for send in asked.sends[1:]], ['h'] * sent)

    # Guards against an order to a VM beside replicas that may not be used, and against a directory
    # that sends callers to VMs for the sake of such replicas.
    def test_zone_gets_no_orders_and_attracts_no_callers(self):
        emulator = start(
            ('brum-a', 'notts-a', 'wolves-a'), ('notts-a', 'wolves-a'), sweep_route(4)
        )
        gateway = emulator.vms[0].gateway
        placement = gateway.placement
        asked = self.ask(emulator, path='/sweep/x')
        self.assertEqual(len(asked.orders), 1)
        for zone in ('notts-a', 'wolves-a'):
            self.evacuate(asked, zone)
            placement.computed_ms = -placement.computed_ms
            placement.refresh(gateway.table, gateway.upstreams, asked.now_ms)
            asked = ManualRequest(emulator, f'q-{zone}', '/sweep/y', 'GET', 1_000.0)
            other = 'wolves-a' if zone == 'notts-a' else 'notts-a'
            self.assertEqual(
                [order.host for order in asked.orders],
                [
                    vm.gateway.fleet.own.host
                    for vm in emulator.vms
                    if vm.gateway.fleet.own.zone == other
                ],
            )
            self.assertLess(placement.fanout_costs[other], placement.fanout_costs[zone])
            self.evacuate(asked, zone, evacuation=False)


class OperatorTest(unittest.TestCase):
    # Guards against an evacuation that operators do not see: whether it is in force, and whether
    # requests are still in flight.
    def test_lines_state_and_metrics_show_the_evacuation(self):
        emulator = start(ZONES[:1], ('brum-a', 'brum-a'))
        vm = emulator.vms[0]
        emulator.send_request(0, '/lookup/x', 1_000.0)
        emulator.run(20.0)
        emulator.start_evacuation('brum-a')
        _, metrics = render_gateway(vm.gateway)
        self.assertIn(b'beechbridge_evacuated_zones 1.0', metrics)
        self.assertIn(b'beechbridge_evacuated_exchanges 1.0', metrics)
        described = vm.gateway.describe()['evacuations']
        self.assertEqual(described, {'brum-a': {'for_ms': 0, 'replicas': 2, 'exchanges': 1}})
        emulator.run(500.0)
        emulator.end_evacuation('brum-a')
        self.assertEqual(vm.gateway.describe()['evacuations'], {})
        lines = [line for line in vm.lines if line.subject.startswith('evacuation_')]
        known = {'zone': 'brum-a', 'replicas': 2}
        revision = emulator.revision
        self.assertEqual(
            [(line.subject, line.fields) for line in lines],
            [
                ('evacuation_started', {**known, 'revision': revision - 1, 'exchanges': 1}),
                (
                    'evacuation_ended',
                    {**known, 'revision': revision, 'exchanges': 0, 'for_ms': 500},
                ),
            ],
        )

    # Guards against a command that shows no evacuation where the address is wrong.
    @params(
        ({'evacuations': {'z': {'for_ms': 5, 'replicas': 2, 'exchanges': 1}}}, 0, ['z']),
        ({'evacuations': {}}, 0, []),
        ({}, 1, []),
    )
    def test_command_shows_zones(self, state, failures, zones):
        reply = HttpReply(200, {'vm': 'vm-1', **state})
        with mock.patch.object(evacuations_command, 'send_request', return_value=reply):
            status, text, error = run_tool('evacuations', '--operations=h:9464')
        rows = msgspec.json.decode(text)['evacuations']
        self.assertEqual([row['zone'] for row in rows], zones)
        self.assertEqual(status is ExitStatus.UNREACHABLE, bool(failures))
        self.assertEqual(bool(error), bool(failures))
        for row in rows:
            self.assertEqual((row['vm'], row['replicas'], row['exchanges']), ('vm-1', 2, 1))
            self.assertRegex(row['since'], r'[0-9-]{10}T[0-9:]{8}Z')
