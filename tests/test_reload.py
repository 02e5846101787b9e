"""Reloaded settings take effect without dropping requests."""

import unittest

from nose2.tools import params

from beechbridge.gateway.events import SettingsReloaded, StopRequested
from beechbridge.platform.settings import parse_settings

from .gateways import start_sweeps
from .test_platform_items import SETTINGS


class ReloadTest(unittest.TestCase):
    def test_budgets_and_seeds_take_effect(self):
        emulator = start_sweeps(2, zones=('brum-a',))
        gateway = emulator.vms[0].gateway
        key = emulator.send_request(0, '/sweep/x', 1_200.0)
        text = SETTINGS.replace('budgetExtra = 56', 'budgetExtra = 7')
        settings = parse_settings(text.replace('10.2.0.21', '10.3.0.9'), 'file')
        emulator.deliver_event(emulator.vms[0], SettingsReloaded(settings))
        emulator.run(500.0)
        self.assertEqual(gateway.budget('shard-0').rules.fixed_count, 7)
        self.assertEqual(gateway.fleet.seeds, ('10.1.0.9', '10.3.0.9'))
        self.assertIn(key, emulator.vms[0].answers)
        subjects = [line.subject for line in emulator.vms[0].lines]
        self.assertIn('reloaded', subjects)

    # A VM whose grace period grew during its stop was killed before it had answered.
    @params(2, 12)
    def test_grace_period_of_a_stop_in_progress_does_not_change(self, grace_s):
        emulator = start_sweeps(2, zones=('brum-a',))
        vm = emulator.vms[0]
        stopping = vm.gateway.stopping
        text = SETTINGS.replace('graceS = 6', f'graceS = {grace_s}')
        emulator.deliver_event(vm, StopRequested())
        emulator.deliver_event(vm, SettingsReloaded(parse_settings(text, 'file')))
        self.assertEqual(stopping.at_ms(1.0) - stopping.asked_ms, 6_000.0)

    def test_settings_compare_by_value(self):
        self.assertEqual(parse_settings(SETTINGS, 'file'), parse_settings(SETTINGS, 'file'))
