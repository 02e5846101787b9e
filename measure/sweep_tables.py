"""
Generates the tables of the gateway in docs/CAPACITY.md from a sweep of the users' bench.

`python -m measure.sweep_tables journal/ID.json [journal/OLDER.json]` takes the journal entries of
one sweep or two, the older one last.
"""

import re
import sys
from pathlib import Path

import msgspec

from beechbridge.record import Record

from .capacity import CONTROL_BYTES_PER_S, CONTROL_CORE_SHARE, CONTROL_MB, PAGE, replace_tables

ROW_PATTERN = re.compile(
    r'^(?P<name>\S.*?)\s{2,}(?P<values>[\d.]+ / [\d.]+(?:\s{2,}[\d.]+ / [\d.]+)*)'
    r'\s{2,}(?P<power>-?[\d.]+)\s{2,}(?P<planned>[\d.]+)$'
)
SIZES_PATTERN = re.compile(r'by own machines\n\s+(?P<sizes>[\d ]+?)\s+power\s+at (?P<planned>\d+)')
LIMITS = {
    'gateway: processor %': 100 * CONTROL_CORE_SHARE,
    'gateway: memory MB': CONTROL_MB,
    'gateway: kB a second': CONTROL_BYTES_PER_S / 1000,
}
"""What control may take of a node at the planned size; the figures here include callers' work."""


class Row(Record):
    """
    One figure of a sweep.

    :param values: median and busiest VM at each size, as text
    :param power: power of the number of VMs with which the busiest grows
    :param planned: the busiest at the planned size, carried on by that power
    """

    __slots__ = ('name', 'planned', 'power', 'values')

    def __init__(self, name: str, values: list[str], power: float, planned: float):
        self.name = name
        self.values = values
        self.power = power
        self.planned = planned

    @property
    def verdict(self) -> str:
        """Return whether the figure fits into its limit at the planned size."""
        limit = LIMITS.get(self.name)
        if limit is None:
            return ''
        if self.planned <= limit:
            return f'fits into {limit:g}'
        excess = self.planned / limit
        digits = 0 if excess >= 10 else 1
        return f'**does not fit**, {excess:.{digits}f}x over {limit:g}'


class Sweep(Record):
    """
    The figures of one sweep.

    :param sizes: numbers of VMs that were played
    :param planned_size: number of VMs that the figures are carried on to
    """

    __slots__ = ('planned_size', 'rows', 'sizes')

    def __init__(self, sizes: list[int], planned_size: int, rows: list[Row]):
        self.sizes = sizes
        self.planned_size = planned_size
        self.rows = rows


def read_sweep(path: Path) -> Sweep:
    """
    Read the journal entry of a sweep.

    :raises SystemExit: if the entry has no table of a sweep
    """
    text = msgspec.json.decode(path.read_bytes())['digest']
    found = SIZES_PATTERN.search(text)
    if found is None:
        raise SystemExit(f'{path} is not the journal entry of a finished sweep')
    rows = []
    for line in text.splitlines():
        match = ROW_PATTERN.match(line)
        if match is None:
            continue
        values = re.split(r'\s{2,}', match['values'])
        rows.append(Row(match['name'], values, float(match['power']), float(match['planned'])))
    sizes = [int(size) for size in found['sizes'].split()]
    return Sweep(sizes, int(found['planned']), rows)


def format_sweep(sweep: Sweep, older: Sweep | None = None) -> str:
    """Return a sweep as a table, with the planned figure of an older sweep beside it."""
    sizes = ' | '.join(f'{size} VMs' for size in sweep.sizes)
    before = ' before |' if older else ''
    lines = [
        f'| figure of a VM | {sizes} | power | at {sweep.planned_size} VMs |{before} fits |',
        '|---' * (len(sweep.sizes) + 4 + bool(older)) + '|',
    ]
    planned_before = {row.name: row.planned for row in older.rows} if older else {}
    for row in sweep.rows:
        cells = [row.name, *row.values, f'{row.power:g}', f'{row.planned:g}']
        if older:
            known = planned_before.get(row.name)
            cells.append('' if known is None else f'{known:g}')
        cells.append(row.verdict)
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join(lines)


def main(arguments: list[str]) -> int:
    """Replace the table on the page."""
    if len(arguments) not in (1, 2):
        print('usage: python -m measure.sweep_tables ENTRY [OLDER_ENTRY]', file=sys.stderr)
        return 2
    sweeps = [read_sweep(Path(argument)) for argument in arguments]
    table = format_sweep(*sweeps)
    PAGE.write_text(replace_tables(PAGE.read_text(), {'gateway': table}))
    print(f'{PAGE.name} written')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
