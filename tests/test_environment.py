"""Make installs what a target needs, anew on another machine; failures take one line."""

import io
import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path

from nose2.tools import params

from tools.environment import Environment
from tools.pip import MissingError, Pip, SetupError, UnreachableError
from tools.project import PRODUCT, Project

ROOT = Path(__file__).parent.parent
NOT_FOUND = 'ERROR: No matching distribution found for thrift==0.25.0\n'


class Commands:
    """Stands in for `subprocess.run`; fails with some output if a command has a given word."""

    def __init__(self, failing='', output=''):
        self.failing = failing
        self.output = output
        self.commands = []

    def __call__(self, command, **options):
        self.commands.append(command)
        if '-m venv' in ' '.join(command):
            (Path(command[-1]) / 'bin').mkdir(parents=True)
            (Path(command[-1]) / 'bin' / 'python').touch()
        failed = bool(self.failing) and self.failing in command
        return subprocess.CompletedProcess(command, int(failed), '', self.output if failed else '')

    def count(self, word):
        return sum(word in command for command in self.commands)


class EnvironmentTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        for name in ('pyproject.toml', 'constraints.txt'):
            shutil.copy(ROOT / name, self.root)

    def ensure(self, *groups, commands=None):
        commands = commands or Commands()
        environment = Environment(Project(self.root), commands)
        with redirect_stdout(io.StringIO()):
            environment.ensure(list(groups))
        return commands

    def test_product_gets_its_own_packages_in_pinned_wheels(self):
        commands = self.ensure(PRODUCT)
        packages = next(command for command in commands.commands if '--constraint' in command)
        self.assertIn('constraints.txt', packages)
        self.assertEqual(packages[packages.index('--only-binary') + 1], ':all:')
        names = ' '.join(packages)
        self.assertIn('waitress', names)
        for name in ('z3', 'hypothesis', 'ruff', 'nose2', 'matplotlib'):
            self.assertNotIn(name, names)
        self.assertEqual(commands.count('--editable'), 1)

    def test_nothing_is_run_for_what_is_there(self):
        self.ensure(PRODUCT, 'test')
        self.assertEqual(self.ensure('test', PRODUCT).commands, [])

    def test_group_is_added_to_what_is_there(self):
        self.ensure(PRODUCT)
        commands = self.ensure(PRODUCT, 'test')
        self.assertEqual((commands.count('venv'), commands.count('--editable')), (0, 0))
        self.assertEqual(len(commands.commands), 1)
        self.assertEqual(self.ensure(PRODUCT, 'test').commands, [])

    @params(
        (0, '.cpython-311-s390x-linux-gnu.so'),
        (1, '3.11.0rc1'),
        (2, '0' * 16),
        (3, '/elsewhere/.venv'),
    )
    def test_environment_for_something_else_is_made_anew(self, position, other):
        self.ensure(PRODUCT)
        stamp = self.root / '.venv' / '.ready'
        own = stamp.read_text()
        words = own.split(' ', 3)
        words[position] = other if position < 3 else f'{other}\n{PRODUCT}\n'
        stamp.write_text(' '.join(words))
        leftover = self.root / '.venv' / 'leftover'
        leftover.touch()
        commands = self.ensure(PRODUCT)
        self.assertEqual((commands.count('venv'), commands.count('--editable')), (1, 1))
        self.assertFalse(leftover.exists())
        self.assertEqual(stamp.read_text(), own)

    @params('', 'x')
    def test_environment_without_a_valid_stamp_is_made_anew(self, text):
        self.ensure(PRODUCT)
        (self.root / '.venv' / '.ready').write_text(text)
        self.assertEqual(self.ensure(PRODUCT).count('venv'), 1)

    def test_environment_whose_interpreter_is_gone_is_made_anew(self):
        self.ensure(PRODUCT)
        (self.root / '.venv' / 'bin' / 'python').unlink()
        self.assertEqual(self.ensure(PRODUCT).count('venv'), 1)

    def test_environment_of_other_versions_is_made_anew(self):
        self.ensure(PRODUCT)
        with (self.root / 'constraints.txt').open('a') as stream:
            stream.write('other==1\n')
        self.assertEqual(self.ensure(PRODUCT).count('venv'), 1)

    def test_failed_installation_is_tried_again(self):
        with self.assertRaises(SetupError):
            self.ensure(PRODUCT, commands=Commands('--constraint', NOT_FOUND))
        self.assertEqual(self.ensure(PRODUCT).count('--constraint'), 1)

    @params(
        ('Error: ensurepip is not available', 'python3.11-venv'),
        ('Error: [Errno 28] No space left on device\n', 'No space left on device'),
    )
    def test_interpreter_without_venv(self, output, advice):
        with self.assertRaisesRegex(SetupError, advice):
            self.ensure(PRODUCT, commands=Commands('venv', output))


class ExplanationTest(unittest.TestCase):
    def explain(self, output, log=None):
        with tempfile.TemporaryDirectory() as folder:
            pip = Pip(Path(sys.executable), Path(folder) / 'pip.log')
            if log is not None:
                pip.log.write_text(log)
            error = pip.explain(output, 'this machine')
        self.assertNotIn('\n', str(error))
        return error

    @params(
        ('connection error: ... (Caused by NewConnectionError(...))\n', 'cannot be reached'),
        ("Caused by ProxyError('Cannot connect to proxy')\n", 'cannot be reached'),
        ("after connection broken by 'SSLError(...)'\n", 'PIP_CERT'),
    )
    def test_network_goes_before_the_missing_version(self, cause, advice):
        for error in (self.explain(cause + NOT_FOUND), self.explain(NOT_FOUND, log=cause)):
            self.assertIsInstance(error, UnreachableError)
            self.assertIn(advice, str(error))

    @params(NOT_FOUND, '    The user requested (constraint) thrift==0.25.0\n')
    def test_missing_version_is_named(self, log):
        error = self.explain('ERROR: ResolutionImpossible: for help visit ...\n', log)
        self.assertIsInstance(error, MissingError)
        self.assertIn('no wheel of thrift==0.25.0 that fits this machine', str(error))

    @params(
        ('Traceback\n  File\nOSError: No space left on device\n\n', 'No space left on device'),
        ('', 'no output'),
    )
    def test_other_failures(self, output, advice):
        self.assertIn(advice, str(self.explain(output)))


class MakeTest(unittest.TestCase):
    """The set-up as users run it, in a copy of what it reads."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        for name in ('Makefile', 'pyproject.toml', 'constraints.txt'):
            shutil.copy(ROOT / name, self.root)
        shutil.copytree(ROOT / 'tools', self.root / 'tools')

    def make(self, *arguments, **variables):
        environment = {name: value for name, value in os.environ.items() if name[:4] != 'PIP_'}
        environment |= {'PIP_CONFIG_FILE': os.devnull, 'PIP_RETRIES': '0', **variables}
        python = f'PYTHON={sys.executable}'
        done = subprocess.run(
            ['make', '--no-print-directory', 'demo', python, *arguments],
            cwd=self.root,
            env=environment,
            capture_output=True,
            text=True,
        )
        self.assertNotEqual(done.returncode, 0)
        lines = done.stderr.splitlines()
        self.assertNotIn('Traceback', done.stderr)
        return [line for line in lines if not line.startswith('make')]

    @params('python3.11-absent', 'false')
    def test_interpreter_that_is_not_3_11(self, python):
        lines = self.make(f'PYTHON={python}')
        self.assertEqual(len(lines), 1, lines)
        self.assertIn(f'{python} is not a Python 3.11: install Python 3.11', lines[0])
        self.assertFalse((self.root / '.venv').exists())

    def test_no_network(self):
        lines = self.make(PIP_INDEX_URL='http://127.0.0.1:1/simple')
        self.assertEqual(len(lines), 1, lines)
        self.assertIn('the package index cannot be reached', lines[0])

    def test_index_that_lacks_a_package(self):
        (self.root / 'index').mkdir()
        lines = self.make(PIP_INDEX_URL=(self.root / 'index').as_uri())
        self.assertEqual(len(lines), 1, lines)
        self.assertRegex(lines[0], 'no wheel of setuptools==[0-9.]+ that fits Python 3.11')
