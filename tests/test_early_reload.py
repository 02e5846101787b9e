"""A reload signal (SIGHUP) during startup does not end the program."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

from beechbridge.status import ExitStatus

ROOT = Path(__file__).parent.parent
RUN_WITH_RELOAD = """
import os, runpy, signal, sys

class ReloadDuringImports:
    def find_spec(self, name, path=None, target=None):
        if name == 'beechbridge.daemon.gateway':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, ReloadDuringImports())
runpy.run_module('beechbridge.platform', run_name='__main__')
"""


class EarlyReloadTest(unittest.TestCase):
    def test_reload_during_imports_is_ignored(self):
        environ = {**os.environ, 'BEECHBRIDGE_SETTINGS': '/nowhere/settings.toml'}
        done = subprocess.run(
            [sys.executable, '-c', RUN_WITH_RELOAD],
            cwd=ROOT,
            env=environ,
            capture_output=True,
            check=False,
        )
        self.assertEqual(done.returncode, ExitStatus.INVALID_SETTINGS)
