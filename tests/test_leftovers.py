"""A writer that is still open when its event loop is closed fails the test that left it."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

ROOT = Path(__file__).parent.parent
TEST = """
import asyncio, unittest

class ServerTest(unittest.TestCase):
    def test_server(self):
        async def run():
            taken = asyncio.Event()

            async def serve(reader, writer):
                taken.set()
                {ending}

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            _, client = await asyncio.open_connection('127.0.0.1', port)
            await taken.wait()
            client.close()
            server.close()

        asyncio.run(run())

    def test_without_leftovers(self):
        pass
"""


class LeftoversTest(unittest.TestCase):
    @params(
        ('pass', 1, 'FAILED (failures=1)'),
        ('writer.close()', 0, 'OK'),
        ('raise ValueError', 1, 'FAILED (failures=1)'),
    )
    def test_writer(self, ending, status, verdict):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'test_server.py'
            path.write_text(TEST.format(ending=ending))
            config = str(ROOT / 'nose2.cfg')
            done = subprocess.run(
                [sys.executable, '-m', 'nose2', '-s', folder, '-c', config, 'test_server'],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
        self.assertEqual(done.returncode, status, done.stderr)
        self.assertIn('Ran 2 tests', done.stderr)
        self.assertEqual(done.stderr.rstrip().splitlines()[-1], verdict)
        self.assertEqual('when leftovers were collected' in done.stderr, bool(status))
