"""Settings with values that cannot be used: at a reload the ones in force stay."""

import unittest
from types import SimpleNamespace

import logbook
from nose2.tools import params

from beechbridge.daemon.gateway import GatewayProcess
from beechbridge.failures import InputFailure
from beechbridge.platform.settings import parse_settings, read_max_reply_bytes

from .test_platform_items import SETTINGS

LONG_NUMBER = '9' * 5_000
ODD_NUMBERS = [
    (old, f'{name} = {number}')
    for old, name in (
        ('graceS = 6', 'graceS'),
        ('budgetRatio = 0.2', 'budgetRatio'),
        ('budgetWindowS = 10', 'budgetWindowS'),
        ('budgetExtra = 56', 'budgetExtra'),
        ('ttl_max_s = 5', 'ttl_max_s'),
        ('cpuShare = 0.5', 'cpuShare'),
        ('cores = 2', 'cores'),
        ('cores = 2', 'memoryMb'),
    )
    for number in (LONG_NUMBER, '9' * 400, 'nan', 'inf', '-1')
]
ODD_ADDRESSES = [
    *[
        (f'"{old}"', f'"{host}:80"')
        for old in ('10.200.1.7:8102', '10.2.0.21:8106', '10.1.0.9:8104')
        for host in ('h\\u0000', 'a..b', 'h' * 64, 'h h', 'h\\u00fc')
    ],
    *[('10.200.1.7:8102', f'10.200.1.7:{port}') for port in ('65536', '99999', LONG_NUMBER)],
    *[('ip = "10.1.0.9"', f'ip = "{host}"') for host in ('h\\u0000', '10.1.0.9 ', '::1')],
    *[('[7380,', f'[{port},') for port in ('0', '-1', '65536', LONG_NUMBER)],
]
UNKNOWN_FIELDS = [('later = "a field', f'soon = {LONG_NUMBER}\nlater = "a field')]
ODD_SETTINGS = [*ODD_NUMBERS, *ODD_ADDRESSES, *UNKNOWN_FIELDS]


class OddSettingsTest(unittest.TestCase):
    # Guards against a process that ends, or never starts, without a word on the field, and against
    # one that goes on with a grace period or a budget that is no number.
    @params(*ODD_SETTINGS)
    def test_odd_value_is_a_failure_that_names_the_file(self, old, new):
        self.assertIn(old, SETTINGS)
        failure = parse_settings(SETTINGS.replace(old, new), 'a.toml')
        self.assertIsInstance(failure, InputFailure)
        self.assertEqual(failure.source, 'a.toml')

    # Guards against a reload that raises: neither its failure nor the next settings are seen then.
    @params(*ODD_SETTINGS)
    def test_settings_in_force_stay_at_a_reload(self, old, new):
        settings = parse_settings(SETTINGS, 'a.toml')
        events = []
        process = SimpleNamespace(
            load_settings=lambda: parse_settings(SETTINGS.replace(old, new), 'a.toml'),
            settings=settings,
            pages=SimpleNamespace(settings=settings),
            handle=events.append,
        )
        with logbook.TestHandler() as handler:
            GatewayProcess.reload(process)
        self.assertEqual([record.message for record in handler.records], ['reload_failed'])
        self.assertIs(process.settings, settings)
        self.assertFalse(events)

    @params('0', '-1', LONG_NUMBER, '\u0664', '', '5.5')
    def test_odd_limit_of_the_environment_is_a_failure(self, text):
        self.assertIsInstance(read_max_reply_bytes(text), InputFailure)

    @params((None, 8 * 1024 * 1024), ('4096', 4096))
    def test_sound_limit_of_the_environment_holds(self, text, expected_bytes):
        self.assertEqual(read_max_reply_bytes(text), expected_bytes)
