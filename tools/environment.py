"""
Make `.venv` and install the pinned packages of the groups that a target needs.

Does nothing if they are there already. An environment that another kind of machine, interpreter or
set of versions made is removed and made again.
"""

import hashlib
import json
import platform
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Callable
from pathlib import Path

from .pip import Pip, SetupError, last_line
from .project import CONSTRAINTS, PRODUCT, Project


class Environment:
    """
    The virtual environment of a clone.

    :param project: what the clone declares
    :param run: runs a command, as `subprocess.run` does
    """

    __slots__ = ('path', 'project', 'run')

    def __init__(self, project: Project, run: Callable = subprocess.run):
        self.project = project
        self.path = project.root / '.venv'
        self.run = run

    @property
    def python(self) -> Path:
        """The interpreter of the environment."""
        return self.path / 'bin' / 'python'

    @property
    def stamp(self) -> Path:
        """The file that says for what the environment was made and which groups it has."""
        return self.path / '.ready'

    def key(self) -> str:
        """Return what has to be the same for the environment to be used: machine and versions."""
        digest = hashlib.sha256((self.project.root / CONSTRAINTS).read_bytes())
        declared = [self.project.table, self.project.build]
        digest.update(json.dumps(declared, sort_keys=True).encode())
        return ' '.join(
            (
                sysconfig.get_config_var('EXT_SUFFIX'),
                platform.python_version(),
                digest.hexdigest()[:16],
                str(self.path),
            )
        )

    def installed_groups(self) -> list[str] | None:
        """Return the groups that are installed, None if the environment has to be made."""
        try:
            key, *groups = self.stamp.read_text(encoding='utf-8').splitlines()
        except (OSError, ValueError):
            return None
        if key != self.key() or not self.python.exists():
            return None
        return groups

    def ensure(self, groups: list[str]) -> None:
        """Make the environment if it has to be made, and install the groups that it lacks."""
        installed = self.installed_groups()
        if installed is None:
            self.create()
            installed = []
            self.write_stamp(installed)
        missing = [group for group in groups if group not in installed]
        if not missing:
            return
        print(f'installing into .venv: {", ".join(missing)}', flush=True)
        self.install_groups(missing)
        self.write_stamp([*installed, *missing])

    def write_stamp(self, groups: list[str]) -> None:
        """Record that the environment is there and has some groups."""
        self.stamp.write_text('\n'.join((self.key(), *groups)) + '\n', encoding='utf-8')

    def create(self) -> None:
        """Make an environment that has pip and nothing else."""
        shutil.rmtree(self.path, ignore_errors=True)
        command = [sys.executable, '-m', 'venv', str(self.path)]
        made = self.run(command, capture_output=True, text=True)
        if made.returncode == 0:
            return
        output = made.stdout + made.stderr
        if 'ensurepip' in output:
            raise SetupError(
                f'{sys.executable} has no ensurepip: install it (on Debian and Ubuntu the package'
                ' python3.11-venv)'
            )
        raise SetupError(f'`{" ".join(command)}` failed: {last_line(output)}')

    def install_groups(self, groups: list[str]) -> None:
        """Install the pinned versions of groups from wheels only, and the project itself."""
        pip = Pip(self.python, self.path / 'install.log', self.run)
        ranges = self.project.ranges(groups)
        constraint = ('--constraint', CONSTRAINTS)
        root = self.project.root
        pip.install('--only-binary', ':all:', *constraint, *ranges, cwd=root)
        if PRODUCT in groups:
            pip.install('--no-deps', '--no-build-isolation', '--editable', '.', cwd=root)


def main(arguments: list[str]) -> int:
    """Install the groups that the arguments name."""
    try:
        Environment(Project(Path.cwd())).ensure(arguments)
    except SetupError as error:
        print(f'error: {error}, then run make again', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
