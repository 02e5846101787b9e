"""Settings are validated; a failure names the file, the field, its value and what is allowed."""

import unittest
from pathlib import Path

from nose2.tools import params

from beechbridge.daemon.settings import load_settings, parse_settings
from beechbridge.failures import InputFailure, Reason

VALID = """
[vm]
name = "vm-1"
place = "utrecht"
host = "127.0.0.1"
caller_port = 8080
peer_port = 8081
operations_port = 8082

[platform]
host = "127.0.0.1"
port = 9000
"""


class SettingsTest(unittest.TestCase):
    def test_valid_settings_are_completed_by_defaults(self):
        settings = parse_settings(VALID, 'a.toml')
        self.assertEqual((settings.vm.name, settings.platform.port), ('vm-1', 9000))
        self.assertEqual(settings.limits.caller_threads, 128)

    @params(
        ('8080', '80800', 'vm.caller_port', 80800, 'Expected `int` <= 65535'),
        ('8080', '"x"', 'vm.caller_port', 'x', 'Expected `int`, got `str`'),
        ('"vm-1"', '""', 'vm.name', '', 'Expected `str` of length >= 1'),
        ('port = 9000', 'prt = 9000', 'platform.prt', 9000, 'no field of this name'),
        ('port = 9000', '', 'platform.port', None, 'a value; the field is required'),
        ('[platform]', '[x]\n[platform]', 'x', 'dict', 'no field of this name'),
    )
    def test_invalid_field_is_named_with_value_and_allowed_values(
        self, old, new, field, value, allowed
    ):
        failure = parse_settings(VALID.replace(old, new), 'a.toml')
        self.assertIsInstance(failure, InputFailure)
        self.assertEqual((failure.source, failure.field), ('a.toml', field))
        self.assertEqual((failure.value, failure.allowed), (value, allowed))

    @params('[vm', 'x = ', '\x00')
    def test_malformed_toml_is_a_failure(self, text):
        self.assertEqual(parse_settings(text, 'a.toml').field, 'file')

    def test_unreadable_file_is_a_failure(self):
        failure = load_settings(Path('/nonexistent/a.toml'))
        self.assertEqual(failure.reason, Reason.INVALID_INPUT)
        self.assertEqual(
            failure.detail,
            "cannot read settings file '/nonexistent/a.toml': No such file or directory; "
            'give the path of a readable UTF-8 file',
        )
