"""What `pyproject.toml` declares and `constraints.txt` pins."""

import re
import tomllib
from pathlib import Path

PRODUCT = 'product'
"""The group of what runs the product; the others are the optional dependencies by name."""

CONSTRAINTS = 'constraints.txt'
REQUIREMENTS = 'requirements.txt'


class Project:
    """
    The declared ranges of a project.

    :param root: folder with `pyproject.toml`
    """

    __slots__ = ('build', 'groups', 'root', 'table')

    def __init__(self, root: Path):
        self.root = root
        document = tomllib.loads((root / 'pyproject.toml').read_text(encoding='utf-8'))
        self.table = document['project']
        self.build: list[str] = document['build-system']['requires']
        self.groups: dict[str, list[str]] = {
            PRODUCT: self.table['dependencies'],
            **self.table.get('optional-dependencies', {}),
        }

    def ranges(self, groups: list[str]) -> list[str]:
        """Return the ranges of some groups; the product's include what builds it."""
        ranges = list(self.build) if PRODUCT in groups else []
        for group in groups:
            ranges += self.groups[group]
        return ranges


def canonical_name(name: str) -> str:
    """Return the name of a package as indexes compare it."""
    return re.sub(r'[-_.]+', '-', name).lower()


def read_pins(path: Path) -> dict[str, str]:
    """Return the versions in a file of `name==version` lines, by canonical name."""
    pins = {}
    for line in path.read_text(encoding='utf-8').splitlines():
        if line.startswith('#') or not line:
            continue
        name, _, version = line.partition('==')
        pins[canonical_name(name)] = version
    return pins
