"""Decorator for tests of known faults, which are skipped while KNOWN-RED.txt lists them."""

import os
import unittest
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red(test):
    """Skip a test that is listed, unless RUN_KNOWN_RED is set."""
    is_listed = (
        KNOWN_RED_FILE.exists() and f'test: {test.__qualname__}\n' in KNOWN_RED_FILE.read_text()
    )
    is_requested = bool(os.environ.get('RUN_KNOWN_RED'))
    return unittest.skipIf(is_listed and not is_requested, 'listed in KNOWN-RED.txt')(test)
