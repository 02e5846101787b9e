"""Tables of docs/CAPACITY.md from the journal entry of a sweep."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from measure.sweep_tables import format_sweep, read_sweep

DIGEST = """day                  own/srv  score
sweep-30               30/51   0.89

middle / busiest or longest, by own machines
                                                          30             100  power  at 6594
gateway: processor %                               1.7 / 6.0       2.8 / 6.6   0.37  44.3
gateway: memory MB                               16.9 / 20.5     17.5 / 21.2   0.14  31.5
config acked, ms                                 60.0 / 62.0     83.0 / 84.0   0.38  480
power: the busiest grows as machines to this power
"""


def read(digest):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'entry.json'
        path.write_bytes(msgspec.json.encode({'digest': digest}))
        return read_sweep(path)


class SweepTablesTest(unittest.TestCase):
    def test_sizes_and_rows_are_read(self):
        sweep = read(DIGEST)
        self.assertEqual((sweep.sizes, sweep.planned_size), ([30, 100], 6594))
        self.assertEqual(
            [row.name for row in sweep.rows],
            ['gateway: processor %', 'gateway: memory MB', 'config acked, ms'],
        )
        self.assertEqual(sweep.rows[0].values, ['1.7 / 6.0', '2.8 / 6.6'])

    @params((0, '**does not fit**, 13x over 3.3'), (1, 'fits into 32'), (2, ''))
    def test_verdict_names_what_does_not_fit(self, number, verdict):
        self.assertEqual(read(DIGEST).rows[number].verdict, verdict)

    def test_older_sweep_stands_beside(self):
        table = format_sweep(read(DIGEST), read(DIGEST.replace('480', '900')))
        self.assertIn('| config acked, ms | 60.0 / 62.0 | 83.0 / 84.0 | 0.38 | 480 | 900 |', table)

    def test_other_entry_is_rejected(self):
        with self.assertRaises(SystemExit):
            read('day own/srv score')
