"""Home regions: where requests of routes and teams may be served."""

import io
import unittest

import msgspec
from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.actions import SendOrder, SendRequest, WithdrawExchange
from beechbridge.gateway.events import (
    ChangesReceived,
    ExchangeWithdrawn,
    OrderReceived,
    RequestReceived,
)
from beechbridge.gateway.models import (
    CallerRequest,
    ForwardedAnswer,
    Item,
    LinkFault,
    PartsOrder,
)
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.requests.relays import relay_all
from beechbridge.gateway.routes import CallerLimits, Route, RoutingTable
from beechbridge.platform.directory import read_lookup
from beechbridge.platform.items import decode_item
from beechbridge.wire.fleet import PARTS_PATH, read_order, write_order
from measure.emulator import HOST, Emulator
from measure.stand_ins import Cut, ReplicaSpec, region_of

from .gateways import START_MS, WORK_MS, ZONES, ManualRequest, single_route, sweep_route
from .test_platform_items import TABLE

HOME = frozenset(('notts',))
SHARDS = 4
SOON_MS = 20.0
"""Time within which a request is rejected that no home can serve."""


def bind(route, *homes):
    route.home_regions = frozenset(homes) if homes else None
    return route


def free_route():
    """Return a route to the same service without homes."""
    return Route(
        'free',
        HOST,
        '/file/',
        ('register',),
        attempts=2,
        timeout_ms=4_000.0,
        objective_ms=400.0,
        priority=2,
    )


def start(routes, zones=ZONES, replica_zones=ZONES, spec=ReplicaSpec, limit=26):
    """Return an emulator with a replica of each service in each of some data centres."""
    emulator = Emulator(zones, WORK_MS, BudgetRules(0.2, 56.0))
    services = {service for route in routes for service in route.services}
    for service in sorted(services):
        for zone in replica_zones:
            emulator.put_replica(f'{service}-{zone}', service, zone, spec())
    emulator.put_table(routes, limit)
    emulator.run(START_MS)
    return emulator


def regions_reached(emulator, path):
    """Return the regions whose replicas got a request of a path."""
    found = set()
    for replica in emulator.replicas.values():
        if any(request.path.startswith(path) for _, request in replica.arrivals):
            found.add(region_of(replica.entry.zone))
    return found


def regions_taking(emulator, counter):
    """Return the regions whose VMs have counted something."""
    found = set()
    for vm in emulator.vms:
        if vm.gateway.counters.get(counter):
            found.add(region_of(vm.gateway.fleet.own.zone))
    return found


def total(emulator, name, label=''):
    return sum(vm.gateway.counters.get(name, label) for vm in emulator.vms)


class DecodingTest(unittest.TestCase):
    # Guards against homes that are read wrongly: a request would be served anywhere, or nowhere.
    @params(
        ({}, None, None),
        ({'homeRegions': []}, None, None),
        ({'homeRegions': None, 'tenant': None}, None, None),
        ({'homeRegions': ['a', 'b', 'a']}, None, {'a', 'b'}),
        ({'tenant': 't'}, None, None),
        ({'tenant': 't'}, [{'name': 't'}], None),
        ({'tenant': 't'}, [{'name': 't', 'homeRegions': []}], None),
        ({'tenant': 't'}, [{'name': 't', 'homeRegions': ['a']}], {'a'}),
        ({'tenant': 'u', 'homeRegions': ['b']}, [{'name': 't', 'homeRegions': ['a']}], {'b'}),
        ({'tenant': 't', 'homeRegions': ['a', 'b']}, [{'name': 't', 'homeRegions': ['b']}], {'b'}),
        ({'tenant': 't', 'homeRegions': ['a']}, [{'name': 't', 'homeRegions': ['b']}], set()),
    )
    def test_homes_of_route_and_team_are_intersected(self, fields, teams, homes):
        table = {**TABLE, 'routes': [{**TABLE['routes'][0], **fields}]}
        if teams is not None:
            table['tenants'] = teams
        route = decode_item('op/config', msgspec.json.encode(table)).routes_by_name['all']
        self.assertEqual(route.home_regions, homes)

    # Guards against a table of which a part is guessed: the current one stays in force.
    @params(
        ({'homeRegions': 'a'}, []),
        ({'homeRegions': ['a', 5]}, []),
        ({'homeRegions': ['']}, []),
        ({'tenant': 5}, []),
        ({}, [{'homeRegions': ['a']}]),
        ({}, [{'name': 't', 'homeRegions': {'a': 1}}]),
        ({}, {'t': ['a']}),
    )
    def test_odd_values_make_the_table_unreadable(self, fields, teams):
        table = {**TABLE, 'routes': [{**TABLE['routes'][0], **fields}], 'tenants': teams}
        self.assertIsInstance(decode_item('op/config', msgspec.json.encode(table)), Failure)


class FleetTest(unittest.TestCase):
    # Guards against an attempt that leaves the homes: first ones, hedges, retries, orders.
    @params(
        {'reject_share': 0.3}, {'slow_factor': 4.0, 'pause_ms': 250.0, 'pause_every_ms': 900.0}
    )
    def test_no_attempt_leaves_the_homes(self, fields):
        routes = [bind(sweep_route(SHARDS), 'notts'), bind(single_route('lookup'), 'notts')]
        emulator = start(routes, spec=lambda: ReplicaSpec(**fields))
        for number in range(120):
            for path in ('/sweep/x', '/lookup/x'):
                emulator.send_request(number % len(emulator.vms), path, 1_200.0)
            emulator.run(40.0)
        emulator.run(2_000.0)
        self.assertEqual(regions_reached(emulator, '/sweep/'), HOME)
        self.assertEqual(regions_reached(emulator, '/lookup/'), HOME)
        self.assertEqual(regions_taking(emulator, 'orders_taken'), HOME)
        kind = 'retry' if 'reject_share' in fields else 'hedge'
        self.assertGreater(total(emulator, 'repeats', kind), 0)

    # Guards against a canary outside of the homes.
    def test_canaries_stay_in_the_homes(self):
        emulator = start([bind(sweep_route(SHARDS), 'notts')])
        emulator.deadly_targets.add('/sweep/deadly')
        for _ in range(3):
            emulator.send_request(0, '/sweep/deadly', 1_200.0)
            emulator.run(4_000.0)
        self.assertGreater(total(emulator, 'canaries'), 0)
        self.assertEqual(regions_reached(emulator, '/sweep/'), HOME)

    # Guards against a relay to a VM outside of the homes, and against a VM that rejects what a VM
    # of a home could serve.
    @params(*ZONES[:1], *ZONES[2:3])
    def test_relays_go_to_vms_in_the_homes(self, zone):
        emulator = start([bind(single_route('lookup'), 'notts'), free_route()])
        vm = emulator.vms[ZONES.index(zone)]
        emulator.cut_replicas(vm, Cut.SILENT)
        keys = []
        for number in range(200):
            path = '/lookup/x' if number % 2 else '/file/x'
            keys.append((path, emulator.send_request(emulator.vms.index(vm), path, 1_200.0)))
            emulator.run(50.0)
        emulator.run(2_000.0)
        self.assertTrue(vm.gateway.reach.is_lost)
        late = [vm.answers[key][1] for path, key in keys[100:] if path == '/lookup/x']
        served = sum(isinstance(answer, ForwardedAnswer) for answer in late)
        self.assertGreaterEqual(served, 0.9 * len(late))
        self.assertEqual(regions_reached(emulator, '/lookup/'), HOME)
        self.assertIn('notts', regions_taking(emulator, 'relays_taken'))
        for state in vm.gateway.upstreams.by_id.values():
            state.mark_suspect(emulator.now_ms)
        key = emulator.send_request(emulator.vms.index(vm), '/lookup/x', 1_200.0)
        emulator.run(1_200.0)
        self.assertIsInstance(vm.answers[key][1], ForwardedAnswer)

    # Guards against a request that waits for its deadline, or is aborted, since this VM reaches no
    # replica and no VM of a home is there.
    def test_request_without_a_relay_is_rejected_at_once(self):
        zones = (*ZONES[:2], ZONES[4])
        emulator = start([bind(single_route('lookup'), 'notts'), free_route()], zones)
        for vm in emulator.vms:
            vm.gateway.fleet.regions['notts-a'] = 'notts'
        vm = emulator.vms[0]
        emulator.cut_replicas(vm, Cut.SILENT)
        for _ in range(80):
            emulator.send_request(0, '/file/x', 1_200.0)
            emulator.run(50.0)
        self.assertTrue(vm.gateway.reach.is_lost)
        key = emulator.send_request(0, '/lookup/x', 1_200.0)
        emulator.run(SOON_MS)
        answer = vm.answers[key][1]
        self.assertEqual(answer.executed, Executed.NOT_RUN)
        self.assertGreater(answer.retry_after_ms, 0)
        self.assertEqual(regions_reached(emulator, '/lookup/'), set())

    # Guards against a request in flight that is given up when this VM loses its replicas, although
    # no VM of a home can take it: its reply may still come.
    @params((('notts',), 1), ((), 0))
    def test_request_in_flight_is_kept_without_a_relay(self, homes, kept):
        emulator = start([bind(single_route('lookup'), *homes)], ZONES[:2], ZONES[:3])
        emulator.vms[0].gateway.fleet.regions['notts-a'] = 'notts'
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 1_200.0)
        self.assertEqual(len(asked.sends), 1)
        relay_all(asked.gateway)
        self.assertEqual(sum(work.may_send for work in asked.gateway.works.values()), kept)


class RejectionTest(unittest.TestCase):
    # Guards against a request that waits although no home has a replica.
    @params(('nowhere',), ('wolves',), ('disjoint',))
    def test_request_without_a_replica_in_a_home_is_rejected_at_once(self, home):
        route = bind(single_route('lookup'), home)
        if home == 'disjoint':
            route.home_regions = frozenset()
        emulator = start([route], replica_zones=ZONES[:4])
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 1_200.0)
        (answer,) = asked.answers
        self.assertEqual((answer.reason, asked.sends), (Reason.NO_REPLICA, []))
        self.assertGreater(answer.retry_after_ms, 0)

    # Guards against requests that wait for their deadlines while a home region is cut off, against
    # other routes that fail with them, and against a region that nobody tries once it is back.
    def test_cut_off_home_region_is_noticed_and_used_again(self):
        emulator = start([bind(single_route('lookup'), 'notts'), free_route()])

        def drive(count):
            asked = []
            for number in range(count):
                path = '/lookup/x' if number % 2 else '/file/x'
                key = emulator.send_request(0, path, 1_200.0)
                asked.append((path, key, emulator.now_ms))
                emulator.run(40.0)
            emulator.run(2_000.0)
            return [(path, *emulator.vms[0].answers[key], at_ms) for path, key, at_ms in asked]

        def set_dark(is_dark):
            for replica in emulator.replicas.values():
                if region_of(replica.entry.zone) == 'notts':
                    replica.spec.is_dark = is_dark

        drive(20)
        set_dark(True)
        drive(100)
        answers = drive(200)
        quick = [
            at_ms - asked_ms <= SOON_MS for path, at_ms, _, asked_ms in answers if 'look' in path
        ]
        self.assertGreaterEqual(sum(quick), 0.9 * len(quick))
        free = [
            isinstance(answer, ForwardedAnswer) for path, _, answer, _ in answers if 'file' in path
        ]
        self.assertGreaterEqual(sum(free), 0.95 * len(free))
        set_dark(False)
        emulator.run(2_000.0)
        drive(20)
        back = [isinstance(answer, ForwardedAnswer) for _, _, answer, _ in drive(40)]
        self.assertGreaterEqual(sum(back), 0.95 * len(back))

    # Guards against a lost connection to a home's only replica that has all requests rejected.
    def test_single_lost_connection_rejects_nothing(self):
        emulator = start([bind(single_route('lookup'), 'notts')], replica_zones=('notts-a',))
        emulator.send_request(0, '/lookup/x', 1_200.0)
        emulator.run(500.0)
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'POST', 1_200.0)
        state = asked.gateway.upstreams.by_id['register-notts-a']
        state.mark_suspect(asked.now_ms)
        request = CallerRequest('q2', 'GET', '/lookup/y', HOST, '/lookup/y', [], b'', 1_200.0)
        asked.deliver(RequestReceived(8, request))
        self.assertEqual((len(asked.sends), asked.answers), (2, []))


class TableTest(unittest.TestCase):
    def apply(self, asked, routes, version=2):
        """Bring a newer table into force; return the actions."""
        emulator = asked.emulator
        value = f'table {version}'.encode()
        services = asked.gateway.table.services
        limits = CallerLimits(16_384, 262_144, 3_000.0, 15_000.0)
        emulator.tables[value] = RoutingTable(version, routes, services, limits)
        revision = asked.gateway.view.revision + 1
        event = ChangesReceived([Item('table', value, revision)], revision)
        actions = asked.gateway.handle(event, asked.now_ms)
        for action in actions:
            if isinstance(action, SendRequest):
                asked.sends.append(action)
            if isinstance(action, WithdrawExchange):
                asked.deliver(ExchangeWithdrawn(action.exchange_id))
        return actions

    # Guards against a later attempt that obeys the homes of the table with which the request was
    # taken; a route that is gone keeps its homes.
    @params(
        ('wolves', 'wolves'),
        ('notts', 'notts'),
        (None, 'brum'),
        ('removed', 'notts'),
        ('far', None),
    )
    def test_retry_obeys_the_newest_table(self, home, region):
        zones = ('brum-a', 'notts-a', 'notts-b', 'wolves-a')
        emulator = start([bind(single_route('lookup'), 'notts')], ZONES, zones)
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 1_200.0)
        self.assertEqual(asked.sends[0].host[:16], 'register-notts-a'[:16])
        route = bind(single_route('lookup'), *([home] if home else []))
        self.apply(asked, [] if home == 'removed' else [route])
        asked.fail(0)
        asked.wait(300.0)
        later = {region_of(send.host.removeprefix('register-')) for send in asked.sends[1:]}
        self.assertEqual(later, {region} if region else set())
        self.assertEqual(len(asked.answers), region is None)

    # Guards against a request that leaves for a replica which the newest table no longer permits,
    # once its connection opens.
    def test_unsent_request_is_withdrawn_from_a_former_home(self):
        emulator = start([bind(single_route('lookup'), 'notts')])
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'POST', 1_200.0, is_sending=False)
        self.apply(asked, [bind(single_route('lookup'), 'wolves')])
        regions = [region_of(send.host.removeprefix('register-')) for send in asked.sends]
        self.assertEqual(regions, ['notts', 'wolves'])

    # Guards against a table that leaves queued requests waiting although it permits others.
    def test_queued_request_is_sent_where_the_newest_table_permits(self):
        emulator = start(
            [bind(single_route('lookup'), 'notts')], replica_zones=('brum-a', 'notts-a'), limit=1
        )
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 1_200.0)
        request = CallerRequest('q2', 'GET', '/lookup/y', HOST, '/lookup/y', [], b'', 1_200.0)
        asked.deliver(RequestReceived(8, request))
        self.assertEqual(len(asked.sends), 1)
        self.apply(asked, [single_route('lookup')])
        self.assertEqual([send.host for send in asked.sends[1:]], ['register-brum-a'])

    # Guards against a request bound to a busy home that holds up requests which may go elsewhere.
    def test_queued_request_of_a_home_holds_up_no_other(self):
        routes = [bind(single_route('lookup'), 'notts'), free_route()]
        emulator = start(routes, replica_zones=('brum-a', 'notts-a'), limit=1)
        asked = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 1_200.0)
        for number, path in enumerate(('/file/a', '/lookup/b', '/file/c', '/file/d')):
            request = CallerRequest(f'q-{path}', 'GET', path, HOST, path, [], b'', 1_200.0)
            asked.deliver(RequestReceived(8 + number, request))
        self.assertEqual(
            [send.host for send in asked.sends], ['register-notts-a', 'register-brum-a']
        )
        asked.fail(1, LinkFault.MALFORMED)
        sent = [(send.request.path, send.host) for send in asked.sends[2:]]
        self.assertIn(('/file/c', 'register-brum-a'), sent)
        self.assertNotIn('/lookup/b', [path for path, _ in sent])


class OrderTest(unittest.TestCase):
    def take(self, emulator, homes, route_name='sweep'):
        """Let the VM of a home receive an order as another VM has written it."""
        gateway = emulator.vms[0].gateway
        request = CallerRequest('q', 'GET', '/sweep/x', HOST, '/sweep/x', [])
        services = tuple(f'shard-{number}' for number in range(SHARDS))
        order = PartsOrder(request, route_name, 1, services, 2, 10, 90.0, 900.0, 'digest', homes)
        data = write_order(SendOrder(1, 1, True, 'vm-0', order)).partition(b'\r\n\r\n')[2]
        read = read_order({'PATH_INFO': PARTS_PATH, 'wsgi.input': io.BytesIO(data)})
        self.assertEqual(read.home_regions, homes)
        return gateway.handle(OrderReceived(9, read), emulator.now_ms)

    # Guards against a VM that trusts an order: one of an earlier build has no homes, and the VM
    # that sent it may have an older table, or a newer one.
    @params(
        (None, 'brum', 'sweep', 'brum'),
        (None, 'notts', 'sweep', 'notts'),
        (frozenset(('brum', 'notts')), 'notts', 'sweep', 'notts'),
        (frozenset(('notts',)), None, 'sweep', 'notts'),
        (frozenset(('notts',)), 'brum', 'later', 'notts'),
        (frozenset(('notts',)), 'brum', 'sweep', None),
        (frozenset(), None, 'sweep', None),
        (None, 'wolves', 'sweep', None),
    )
    def test_order_obeys_its_homes_and_those_of_the_own_table(self, homes, own, name, region):
        route = bind(sweep_route(SHARDS), *([own] if own else []))
        emulator = start([route], ZONES, ZONES[:4])
        actions = self.take(emulator, homes, name)
        sends = [action for action in actions if isinstance(action, SendRequest)]
        regions = {region_of('-'.join(send.host.split('-')[2:])) for send in sends}
        self.assertEqual(regions, {region} if region else set())
        refused = [action.answer for action in actions if hasattr(action, 'answer')]
        self.assertEqual(len(refused), region is None)
        for answer in refused:
            self.assertEqual(
                (answer.reason, answer.executed), (Reason.NO_REPLICA, Executed.NOT_RUN)
            )

    # Guards against an order that does not carry the homes.
    def test_order_carries_the_homes(self):
        emulator = start([bind(sweep_route(SHARDS), 'notts', 'wolves')], replica_zones=ZONES[2:])
        asked = ManualRequest(emulator, 'q1', '/sweep/x', 'GET', 1_200.0)
        self.assertEqual(asked.orders[0].order.home_regions, frozenset(('notts', 'wolves')))


class DirectoryTest(unittest.TestCase):
    # Guards against callers that are sent to a VM outside of their own region and of the homes.
    @params(
        ('brum-a', 'brum', HOST, {'brum'}),
        ('brum-a', '', HOST, {'brum'}),
        ('far', 'far', HOST, {'notts'}),
        ('', '', HOST, {'notts'}),
        ('wolves-a', 'wolves', HOST, {'notts'}),
        ('far', 'far', HOST.upper(), {'notts'}),
    )
    def test_caller_is_sent_to_its_own_region_or_a_home(self, zone, region, host, regions):
        emulator = start([bind(single_route('lookup'), 'notts')], ZONES[:4], ZONES[:4])
        lookup = read_lookup(f'name={host}&region={region}&zone={zone}')
        gateway = emulator.vms[0].gateway
        members = gateway.best_members(lookup.zone, lookup.region, emulator.now_ms, lookup.host)
        self.assertEqual({region_of(member.zone) for member in members}, regions)
