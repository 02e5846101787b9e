"""Tests of the command-line tool, run in the test process."""

import io
import tempfile
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from beechbridge.cli.main import main
from beechbridge.context import Environment
from beechbridge.status import ExitStatus

from .deployment import HOST, Deployment

EXAMPLES = Path(__file__).parent.parent / 'examples'


def run_tool(*arguments, is_terminal=False):
    environment = Environment(io.StringIO(), io.StringIO(), is_terminal)
    status = main(list(arguments), environment)
    return status, environment.stdout.getvalue(), environment.stderr.getvalue()


def example(name):
    return str(EXAMPLES / name / 'inventory.csv'), str(EXAMPLES / name / 'rules.toml')


class UsageTest(unittest.TestCase):
    @params(
        ((), ExitStatus.USAGE),
        (('help',), ExitStatus.OK),
        (('query', '--help'), ExitStatus.OK),
        (('nonsense',), ExitStatus.USAGE),
        (('query',), ExitStatus.USAGE),
        (('query', '--nonsense=1'), ExitStatus.USAGE),
        (('config', 'check', 'one'), ExitStatus.USAGE),
        (('config', 'check', 'no-file', 'no-file'), ExitStatus.INVALID_SETTINGS),
        (('entry', '--entry=nonsense'), ExitStatus.UNREACHABLE),
        (('query', '--entry=a:1', '--back_end=b', '--class=c', '--match=['), ExitStatus.USAGE),
    )
    def test_exit_status_tells_the_kind_of_error(self, arguments, status):
        self.assertEqual(run_tool(*arguments)[0], status)


class ConfigTest(unittest.TestCase):
    @params(('liftwatch', 107), ('notaries', 108))
    def test_examples_have_expected_replica_counts(self, name, count):
        status, text, _ = run_tool('config', 'check', *example(name))
        rows = msgspec.json.decode(text)['back_ends']
        self.assertEqual(status, ExitStatus.OK)
        self.assertEqual(sum(row['replicas'] for row in rows), count)

    def test_diff_of_built_documents_lists_changed_entries(self):
        folder = Path(tempfile.mkdtemp())
        inventory, rules = example('notaries')
        changed = folder / 'inventory.csv'
        text = Path(inventory).read_text()
        changed.write_text(text.replace('8400,3,40,1,in_service', '8400,3,40,1,draining', 1))
        old, new = str(folder / 'old.json'), str(folder / 'new.json')
        for path, source, generation in ((old, inventory, 1), (new, str(changed), 2)):
            arguments = (source, rules, f'--generation={generation}', f'--output={path}')
            self.assertEqual(run_tool('config', 'build', *arguments)[0], ExitStatus.OK)
        status, text, _ = run_tool('config', 'diff', old, new)
        self.assertEqual(status, ExitStatus.DIFFERENT)
        entries = msgspec.json.decode(text)['entries']
        self.assertEqual(
            entries, [{'entry': 'service/deed-register/deed-register', 'change': 'changed'}]
        )
        self.assertEqual(run_tool('config', 'diff', old, old)[0], ExitStatus.OK)

    def test_invalid_inventory_value_names_line_and_column(self):
        folder = Path(tempfile.mkdtemp())
        inventory, rules = example('liftwatch')
        broken = folder / 'inventory.csv'
        broken.write_text(Path(inventory).read_text().replace('8400', '84000', 1))
        status, _, error = run_tool('config', 'check', str(broken), rules)
        self.assertEqual(status, ExitStatus.INVALID_SETTINGS)
        self.assertIn("line 2.port is '84000'", error)


class CallTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(('v1', 'v2'))
        daemons = cls.deployment.daemons
        cls.entry = f'--entry={HOST}:1,{HOST}:{daemons["v1"].caller_port}'
        cls.operations = f'--operations={HOST}:{daemons["v1"].operations_port}'

    @classmethod
    def tearDownClass(cls):
        cls.deployment.close()

    def test_query_prints_json_or_a_summary_for_terminals(self):
        arguments = ('query', self.entry, '--back_end=b', '--class=c')
        status, text, _ = run_tool(*arguments)
        self.assertEqual(status, ExitStatus.OK)
        self.assertEqual(len(msgspec.json.decode(text)['rows']), 60)
        _, text, _ = run_tool(*arguments, is_terminal=True)
        self.assertIn('3 of 3 shards', text)

    def test_query_of_unknown_class_is_rejected(self):
        arguments = ('query', self.entry, '--back_end=b', '--class=none')
        status, text, _ = run_tool(*arguments)
        self.assertEqual(status, ExitStatus.REJECTED)
        self.assertEqual(msgspec.json.decode(text)['failure']['reason'], 'unknown_class')

    def test_retry_with_the_ticket_gets_the_first_outcome(self):
        arguments = ('submit', self.entry, '--back_end=b', '--key=k')
        status, text, _ = run_tool(*arguments)
        self.assertEqual(status, ExitStatus.OK)
        outcome = msgspec.json.decode(text)
        status, text, _ = run_tool(*arguments, f'--ticket={outcome["ticket"]}')
        retried = msgspec.json.decode(text)
        self.assertEqual(retried['snapshot'], outcome['snapshot'])
        self.assertEqual(set(self.deployment.index.executions.values()), {1})

    def test_entry_lists_the_vms(self):
        status, text, _ = run_tool('entry', self.entry, '--place=p')
        self.assertEqual(status, ExitStatus.OK)
        self.assertEqual(len(msgspec.json.decode(text)['addresses']), 2)

    def test_state_covers_all_vms(self):
        status, text, _ = run_tool('state', self.operations, '--all')
        state = msgspec.json.decode(text)
        self.assertEqual((status, state['differences']), (ExitStatus.OK, []))
        self.assertEqual([vm['vm'] for vm in state['vms']], ['v1', 'v2'])
        _, text, _ = run_tool('state', self.operations, '--full', is_terminal=True)
        self.assertIn('svc0-a', text)

    def test_differences_are_reported(self):
        core = self.deployment.daemons['v2'].core
        state = core.upstreams.states['svc0-a']
        state.drain_seen_ms = core.now_ms - 59_000
        status, text, _ = run_tool('state', self.operations, '--all')
        state.drain_seen_ms = None
        for daemon in self.deployment.daemons.values():
            daemon.core.upstreams.states['svc0-a'].drain_seen_ms = None
        self.assertEqual(status, ExitStatus.DIFFERENT)
        differing = {row['differs'] for row in msgspec.json.decode(text)['differences']}
        self.assertEqual(differing, {'replicas draining'})
