"""Use of expected work: load header, settings, what is learned from replies, what is shown."""

import random
import unittest

from nose2.tools import params

from beechbridge.daemon.metrics import render_gateway
from beechbridge.gateway.events import SettingsReloaded
from beechbridge.gateway.models import Reply
from beechbridge.gateway.replicas import work_costs
from beechbridge.gateway.replicas.upstreams import Upstreams
from beechbridge.gateway.replicas.work_costs import Demand
from beechbridge.gateway.requests.hedges import hedge_delay_ms
from beechbridge.gateway.requests.work_estimates import switch_balancing
from beechbridge.gateway.statements import LoadReport, Notice
from beechbridge.platform.replicas import read_reply
from beechbridge.platform.settings import parse_settings, read_balancing
from measure.stand_ins import ReplicaSpec

from .gateways import ManualRequest, single_route, start_register
from .test_expected_work import NOW_MS, occupy, replica
from .test_platform_items import SETTINGS


class LoadHeaderTest(unittest.TestCase):
    # Replicas may send anything: an odd report is ignored as a whole, and no value is guessed.
    @params(
        ('1,2,3', LoadReport(1, 2, 3)),
        ('0, 0, 4, 250', LoadReport(0, 0, 4, 250.0)),
        ('1,2,3,87.5', LoadReport(1, 2, 3, 87.5)),
        ('1,2', None),
        ('1,2,0', None),
        ('1,2,3,0', None),
        ('1,2,3,fast', None),
        ('-1,2,3', None),
        ('1.5,2,3', None),
        ('1,2,3,100,5', None),
        ('\u0661,2,3', None),
        ('9' * 400 + ',1,1', None),
        ('', None),
    )
    def test_report(self, value, expected):
        notice = read_reply(200, [('Beechbridge-Server-Load', value)], b'', False).notice
        self.assertEqual(notice and notice.load, expected)


class SettingsTest(unittest.TestCase):
    # A deployment that does not ask for it must not get the new choice; a typing error is named.
    @params(
        ('', None, False),
        ('contracts = []', None, False),
        ('contracts = ["others"]', None, False),
        ('contracts = ["others", "places"]', None, True),
        ('contracts = ["pressure"]', None, True),
        ('contracts = ["pressure"]', 'latency', False),
        ('', 'work', True),
    )
    def test_switch(self, line, variable, expected):
        settings = parse_settings(
            f'{line}\n{SETTINGS}', 'file', balances_by_work=read_balancing(variable)
        )
        self.assertIs(settings.balances_by_work, expected)

    @params('', 'Work', 'yes')
    def test_odd_value_of_the_variable_is_an_error(self, value):
        failure = read_balancing(value)
        self.assertIn('BEECHBRIDGE_BALANCING', failure.detail)
        self.assertIn('`work`, `latency`', failure.detail)


class UseTest(unittest.TestCase):
    """Requests at a gateway that chooses by expected work."""

    def ask(self, specs=None):
        """Send a request to a gateway that knows the cost of its route."""
        self.emulator = start_register(single_route('lookup'), specs=specs)
        self.vm = self.emulator.vms[0]
        self.gateway = self.vm.gateway
        switch_balancing(True, self.gateway)
        for number in range(6):
            self.emulator.send_request(0, '/lookup/x', 4_000.0)
            self.emulator.run(400.0 + number)
        self.vm.lines.clear()
        return ManualRequest(self.emulator, 'request-x', '/lookup/x', 'GET', 4_000.0)

    def costs(self):
        return {key: cost.count for key, cost in self.gateway.upstreams.work_book.classes.items()}

    # Connection shares, earlier attempts and home regions bind this choice as they bind the other.
    @params(({}, 'b'), ({'share': 1}, 'c'), ({'zones': frozenset(('y',))}, 'd'))
    def test_excluded_replicas_are_not_chosen(self, fields, expected):
        upstreams = Upstreams()
        for name in 'abcd':
            upstreams.add(replica(name, distance='abcd'.index(name) // 2))
        upstreams.by_id['d'].entry.zone = 'y'
        upstreams.by_id['d'].work.learn(60.0, 10.0, NOW_MS)
        occupy(upstreams.by_id['b'], 10.0)
        exclude = {id(upstreams.by_id['a'])}
        arguments = {'share': 4, 'zones': None, **fields}
        chosen = upstreams.choose(
            's',
            'r',
            exclude,
            arguments['share'],
            500.0,
            NOW_MS,
            random.Random(1),
            lambda state: True,
            arguments['zones'],
            Demand(10.0, 0.0, 10.0),
        )
        self.assertEqual(chosen.entry.replica_id, expected)

    # Settings that were reloaded must not leave the choice of before in force.
    def test_reload_switches(self):
        self.ask()
        for contracts, is_by_work in (('[]', False), ('["places"]', True)):
            settings = parse_settings(f'contracts = {contracts}\n{SETTINGS}', 'file')
            self.gateway.handle(SettingsReloaded(settings), self.gateway.now_ms)
            self.assertEqual(self.gateway.upstreams.work_book is not None, is_by_work)

    # A choice that cannot be explained afterwards cannot be corrected.
    def test_estimate_is_in_the_log_the_metrics_and_the_state(self):
        def spec():
            return ReplicaSpec(reports_load=True)

        self.ask([spec(), spec()])
        self.emulator.send_request(0, '/lookup/x', 4_000.0)
        self.emulator.run(600.0)
        lines = [line for line in self.vm.lines if line.subject == 'request_ended']
        estimate = lines[-1].fields['estimate']
        self.assertEqual(len(estimate['choices']), 2)
        self.assertGreater(estimate['expected_ms'], estimate['cost_ms'] * 0.5)
        self.assertIsInstance(estimate['cost_age_ms'], int)
        page = render_gateway(self.gateway)[1].decode()
        for name in ('expected_exchange_ms', 'actual_exchange_ms', 'exchange_error_ms'):
            self.assertIn(f'beechbridge_{name}_total{{kind="register"}}', page)
        state = self.gateway.describe()
        self.assertEqual(set(state['work']['services']), {'register'})
        self.assertIn('lookup/0', state['work']['classes'])
        fields = {name for row in state['replicas'] for name in row}
        self.assertLessEqual({'load', 'load_age_ms', 'others', 'time_factor'}, fields)

    # What replicas did not do, or did after an unknown wait, says nothing about its cost.
    @params(
        (200, {}, None, 1),
        (200, {}, LoadReport(2, 1, 2), 1),
        (200, {}, LoadReport(2, 2, 2), 0),
        (503, {'is_rejected': True}, None, 0),
        (500, {}, None, 0),
        (200, {'is_encoded': True}, None, 0),
        (200, {'request_id': 'request-y'}, None, 0),
    )
    def test_only_telling_replies_are_learned_from(self, status, fields, load, learned):
        request = self.ask()
        before = self.costs()['lookup', 0]
        exchange = self.gateway.upstreams.exchanges[request.sends[0].exchange_id]
        exchange.is_new = False
        values = {'request_id': 'request-x', 'notice': Notice(load=load), **fields}
        request.wait(50.0)
        request.end(Reply(status, [], b'x', 's', **values))
        self.assertEqual(self.costs()['lookup', 0], before + learned)

    # A first sample below zero made every estimate of its class negative, or as low as can be.
    def test_reply_sooner_than_its_expected_wait_costs_something(self):
        request = self.ask()
        book = self.gateway.upstreams.work_book
        book.classes.clear()
        exchange = self.gateway.upstreams.exchanges[request.sends[0].exchange_id]
        exchange.is_new = False
        exchange.wait_ms = 900.0
        request.wait(20.0)
        request.end(Reply(200, [], b'x', 's', 'request-x'))
        least_ms = work_costs.MIN_SAMPLE_RATIO * exchange.cost_ms
        self.assertGreaterEqual(book.classes['lookup', 0].mean_ms, least_ms)

    # A hedge sent by the median of all replicas would double the work of those that are busy.
    def test_hedge_is_due_after_the_expected_wait(self):
        request = self.ask()
        exchange = self.gateway.upstreams.exchanges[request.sends[0].exchange_id]
        share = self.gateway.budget_share()
        before_ms = hedge_delay_ms(exchange, share, self.gateway)
        exchange.wait_ms += 70.0 * exchange.wait_factor
        self.assertAlmostEqual(hedge_delay_ms(exchange, share, self.gateway), before_ms + 70.0)
