"""The pins have wheels for every platform, fit the declared ranges and include all packages."""

import io
import json
import re
import subprocess
import sys
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path

from nose2.tools import params

from tools.constraints import Resolver, check_files, make_files, platform_tags
from tools.pip import MissingError, Pip, SetupError
from tools.project import CONSTRAINTS, PRODUCT, REQUIREMENTS, Project, read_pins

ROOT = Path(__file__).parent.parent
PYPROJECT = """\
[build-system]
requires = ["builder"]
[project]
dependencies = ["Web_Server"]
[project.optional-dependencies]
model = ["prover<=5"]
"""
BOTH = ('x86_64', 'aarch64')
NEEDS = {'web-server': ['codec'], 'builder': [], 'codec': [], 'prover': []}


class Index:
    """Stands in for pip: an index with wheels of some versions for some machines."""

    def __init__(self):
        self.wheels = {
            'builder': {'1': BOTH},
            'codec': {'2': BOTH},
            'prover': {'4': BOTH, '5': ('x86_64',), '6': BOTH},
            'web-server': {'3': BOTH},
        }
        self.marker = ''

    def __call__(self, command, **options):
        machine = re.search(r'_(x86_64|aarch64)', ' '.join(command))[1]
        bounds = []
        wanted = [word for word in command[command.index('--platform') :] if word[0] != '-']
        if '--constraint' in command:
            pins = read_pins(Path(command[command.index('--constraint') + 1]))
            bounds += [(name, '==', version) for name, version in pins.items()]
        roots = []
        for word in wanted:
            match = re.fullmatch(r'([A-Za-z_-]+)(<=|==)?(\d+)?', word)
            if match:
                name = match[1].replace('_', '-').lower()
                roots.append(name)
                bounds.append((name, match[2], match[3]))
        items = []
        while roots:
            name = roots.pop()
            fitting = [
                version
                for version, machines in self.wheels[name].items()
                if machine in machines and all(self.fits(version, name, b) for b in bounds)
            ]
            if not fitting:
                error = f'ERROR: No matching distribution found for {name}\n'
                return subprocess.CompletedProcess(command, 1, '', error)
            needs = [need + self.marker for need in NEEDS[name]]
            metadata = {'name': name, 'version': max(fitting), 'requires_dist': needs}
            items.append({'metadata': metadata})
            if '--no-deps' not in command:
                roots += NEEDS[name]
        report = Path(command[command.index('--report') + 1])
        report.write_text(json.dumps({'install': items}))
        return subprocess.CompletedProcess(command, 0, '', '')

    def fits(self, version, name, bound):
        other, operator, limit = bound
        if other != name or operator is None:
            return True
        return version <= limit if operator == '<=' else version == limit


class ConstraintsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        (self.root / 'pyproject.toml').write_text(PYPROJECT)
        self.project = Project(self.root)
        self.index = Index()
        pip = Pip(Path(sys.executable), self.root / 'pip.log', self.index)
        self.resolvers = [Resolver(machine, pip) for machine in BOTH]

    def make(self):
        with redirect_stdout(io.StringIO()):
            make_files(self.project, self.resolvers)

    def check(self):
        return check_files(self.project, self.resolvers)

    def test_pins_are_the_newest_that_all_machines_have(self):
        self.make()
        pins = read_pins(self.root / CONSTRAINTS)
        wanted = {'builder': '1', 'codec': '2', 'prover': '4', 'web-server': '3'}
        self.assertEqual(pins, wanted)
        self.assertEqual(read_pins(self.root / REQUIREMENTS), {'codec': '2', 'web-server': '3'})
        self.assertEqual(self.check(), [])

    def test_package_without_a_common_version_is_named(self):
        del self.index.wheels['prover']['4']
        with self.assertRaisesRegex(MissingError, 'prover .* linux-aarch64'):
            self.make()

    def test_each_package_without_a_wheel_is_named(self):
        self.make()
        self.index.wheels['codec']['2'] = ('x86_64',)
        self.index.wheels['prover']['4'] = ()
        machine = 'has no wheel for Python 3.11 on linux-{} (glibc 2.34)'.format
        self.assertEqual(
            self.check(),
            [
                f'prover==4 {machine("x86_64")}',
                f'codec==2 {machine("aarch64")}',
                f'prover==4 {machine("aarch64")}',
            ],
        )

    @params(
        (CONSTRAINTS, 'codec==2\n', '', 'constraints.txt has no pin for codec'),
        (CONSTRAINTS, 'codec', 'other==1\ncodec', 'constraints.txt pins other, which nothing'),
        (REQUIREMENTS, 'codec==2\n', '', 'requirements.txt has no pin for codec'),
        (REQUIREMENTS, 'codec==2', 'codec==1', 'requirements.txt pins codec==1, not 2'),
    )
    def test_pins_that_differ_from_what_is_resolved(self, file, old, new, fault):
        self.make()
        path = self.root / file
        path.write_text(path.read_text().replace(old, new))
        faults = self.check()
        self.assertEqual(len(faults), 1, faults)
        self.assertIn(fault, faults[0])

    def test_requirement_that_depends_on_the_machine_is_refused(self):
        self.index.marker = '; platform_machine == "x86_64"'
        with self.assertRaisesRegex(SetupError, 'web-server needs other packages'):
            self.make()

    def test_tags_are_those_of_one_machine(self):
        tags = platform_tags('aarch64')
        self.assertEqual(tags[0], 'manylinux_2_34_aarch64')
        self.assertTrue(all(tag.endswith('_aarch64') for tag in tags))


class RepositoryTest(unittest.TestCase):
    """The files of this repository, as far as they can be checked without an index."""

    def test_each_declared_package_is_pinned(self):
        project = Project(ROOT)
        pins = read_pins(ROOT / CONSTRAINTS)
        for range_ in project.ranges(list(project.groups)):
            name = re.match(r'[A-Za-z0-9_.-]+', range_)[0]
            self.assertIn(name, pins)

    def test_requirements_of_the_platform_are_among_the_pins(self):
        pins = read_pins(ROOT / CONSTRAINTS)
        needed = read_pins(ROOT / REQUIREMENTS)
        self.assertLessEqual(needed.items(), pins.items())
        for range_ in Project(ROOT).groups[PRODUCT]:
            self.assertIn(re.match(r'[A-Za-z0-9_.-]+', range_)[0], needed)
