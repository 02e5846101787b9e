"""Experiments load from files, are reproducible and compare policies on the same seeds."""

import unittest
from pathlib import Path

import msgspec

from beechbridge.failures import Failure
from beechbridge.fields import decode_toml
from measure.experiment import Experiment, load_experiment, run_experiment

FILE = Path(__file__).parent.parent / 'measure' / 'experiments' / 'pauses.toml'


def short_experiment():
    experiment = load_experiment(FILE)
    return msgspec.structs.replace(experiment, seeds=[1], seconds=4.0, warm_s=2.0, shards=8)


class ExperimentTest(unittest.TestCase):
    def test_same_seeds_give_the_same_figures(self):
        first, second = run_experiment(short_experiment()), run_experiment(short_experiment())
        for name, outcome in first.items():
            self.assertEqual(outcome.row(name), second[name].row(name))

    def test_without_a_budget_there_are_no_extra_attempts(self):
        outcomes = run_experiment(short_experiment())
        self.assertEqual(outcomes['no repeats'].extra_attempts[0], 0)
        self.assertGreater(outcomes['as the users allow'].extra_attempts[0], 0)

    def test_unknown_field_is_named(self):
        text = FILE.read_text() + '\n[surprise]\nx = 1\n'
        failure = decode_toml(text, Experiment, 'file')
        self.assertIsInstance(failure, Failure)
        self.assertIn('surprise', failure.detail)
