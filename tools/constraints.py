"""
Pin the declared ranges to versions that have wheels for every platform, or check the pins.

`make` writes `constraints.txt`, with every package of all groups, and `requirements.txt`, with
what runs the product. `check` resolves the ranges with these pins for each platform, from wheels
only, and names each package that has none.
"""

import json
import re
import sys
from pathlib import Path

from .pip import MissingError, Pip, SetupError
from .project import CONSTRAINTS, PRODUCT, REQUIREMENTS, Project, canonical_name, read_pins

PYTHON_VERSION = '3.11'
MACHINES = ('x86_64', 'aarch64')
GLIBC_MINORS = range(17, 35)
"""Minor versions of the C library whose wheels are allowed; the last one is the oldest system."""

MACHINE_MARKER = re.compile(r'platform_machine|platform_version|platform_release')
HEADER = '# Made by `make constraints` from pyproject.toml; `make check-constraints` checks it.\n'


def platform_tags(machine: str) -> list[str]:
    """Return the tags of the wheels that a kind of machine can install, newest first."""
    tags = [f'manylinux_2_{minor}_{machine}' for minor in reversed(GLIBC_MINORS)]
    return [*tags, f'manylinux2014_{machine}']


class Resolver:
    """
    Resolves requirements for one kind of machine as pip does, from wheels only.

    :param machine: kind of machine, as in the tags of wheels
    :param pip: the pip that resolves; it installs nothing
    """

    __slots__ = ('machine', 'pip')

    def __init__(self, machine: str, pip: Pip):
        self.machine = machine
        self.pip = pip

    def report(self, requirements: list[str], *options: str) -> list[dict]:
        """Return pip's report of what it would install."""
        path = self.pip.log.with_name('report.json')
        arguments = ['--dry-run', '--ignore-installed', '--report', str(path)]
        arguments += ['--target', 'build/wheels', '--only-binary', ':all:']
        arguments += ['--python-version', PYTHON_VERSION]
        for tag in platform_tags(self.machine):
            arguments += ['--platform', tag]
        self.pip.install(*arguments, *options, *requirements, machine=self.describe())
        return json.loads(path.read_text(encoding='utf-8'))['install']

    def resolve(self, requirements: list[str], *options: str) -> dict[str, str]:
        """Return the version of each package that pip would install, by canonical name."""
        versions = {}
        for item in self.report(requirements, *options):
            metadata = item['metadata']
            name = canonical_name(metadata['name'])
            # pip evaluates markers for the machine on which it runs, not for the one asked for.
            for requirement in metadata.get('requires_dist', ()):
                marker = requirement.partition(';')[2]
                if MACHINE_MARKER.search(marker) and 'extra' not in marker:
                    raise SetupError(f'{name} needs other packages on other machines: {marker}')
            versions[name] = metadata['version']
        return versions

    def find_lacking(self, pins: dict[str, str]) -> list[str]:
        """Return a line for each pinned package of which the index has no wheel."""
        lacking = []
        for name, version in pins.items():
            try:
                self.report([f'{name}=={version}'], '--no-deps')
            except MissingError:
                lacking.append(f'{name}=={version} has no wheel for {self.describe()}')
        return lacking

    def describe(self) -> str:
        """Return the interpreter, the platform and the C library that a wheel has to fit."""
        return f'Python {PYTHON_VERSION} on linux-{self.machine} (glibc 2.{GLIBC_MINORS[-1]})'


def resolve_common(requirements: list[str], resolvers: list[Resolver]) -> dict[str, str]:
    """Return the newest versions that every kind of machine has, which bound each other."""
    bounds: dict[str, str] = {}
    while True:
        before = dict(bounds)
        for resolver in resolvers:
            capped = [f'{name}<={version}' for name, version in sorted(bounds.items())]
            bounds = resolver.resolve([*requirements, *capped])
        if bounds == before:
            return bounds


def format_pins(versions: dict[str, str]) -> str:
    """Return the lines of a file of pins."""
    pins = ''.join(f'{name}=={version}\n' for name, version in sorted(versions.items()))
    return HEADER + pins


def make_files(project: Project, resolvers: list[Resolver]) -> None:
    """Write the files of pins from the declared ranges."""
    versions = resolve_common(project.ranges(list(project.groups)), resolvers)
    (project.root / CONSTRAINTS).write_text(format_pins(versions), encoding='utf-8')
    pinned = ['--constraint', str(project.root / CONSTRAINTS)]
    needed = resolvers[0].resolve(project.groups[PRODUCT], *pinned)
    (project.root / REQUIREMENTS).write_text(format_pins(needed), encoding='utf-8')


def check_files(project: Project, resolvers: list[Resolver]) -> list[str]:
    """Return what is wrong with the files of pins, one line for each package."""
    path = project.root / CONSTRAINTS
    pins = read_pins(path)
    faults = []
    for resolver in resolvers:
        constraint = ('--constraint', str(path))
        try:
            everything = resolver.resolve(project.ranges(list(project.groups)), *constraint)
            needed = resolver.resolve(project.groups[PRODUCT], *constraint)
        except MissingError as error:
            # pip stops at the first package; the others that have no wheel are named as well.
            faults += resolver.find_lacking(pins) or [str(error)]
            continue
        faults += compare_pins(CONSTRAINTS, pins, everything)
        faults += compare_pins(REQUIREMENTS, read_pins(project.root / REQUIREMENTS), needed)
    return list(dict.fromkeys(faults))


def compare_pins(file: str, pins: dict[str, str], resolved: dict[str, str]) -> list[str]:
    """Return a line for each package that a file of pins and the resolved ranges do not share."""
    faults = []
    for name in sorted(pins.keys() | resolved.keys()):
        pin, version = pins.get(name), resolved.get(name)
        if pin is None:
            faults.append(f'{file} has no pin for {name}: run `make constraints`')
        elif version is None:
            faults.append(f'{file} pins {name}, which nothing needs: run `make constraints`')
        elif pin != version:
            faults.append(f'{file} pins {name}=={pin}, not {version}: run `make constraints`')
    return faults


def main(arguments: list[str]) -> int:
    """Run one of the commands `make` and `check`."""
    project = Project(Path.cwd())
    pip = Pip(Path(sys.executable), Path('build/pip.log'))
    resolvers = [Resolver(machine, pip) for machine in MACHINES]
    try:
        if arguments == ['make']:
            make_files(project, resolvers)
            faults = []
        else:
            faults = check_files(project, resolvers)
    except SetupError as error:
        faults = [str(error)]
    for fault in faults:
        print(f'error: {fault}', file=sys.stderr)
    if faults:
        return 1
    names = ' and '.join(f'linux-{machine}' for machine in MACHINES)
    count = len(read_pins(project.root / CONSTRAINTS))
    print(f'{count} packages have wheels for Python {PYTHON_VERSION} on {names}')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
