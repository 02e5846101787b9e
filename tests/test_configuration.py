"""An accepted configuration soon applies on every VM, and an older one never replaces it."""

import unittest

from nose2.tools import params

from beechbridge.actions import LogChange, SendPeer
from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived, PeerMessageReceived
from beechbridge.messages import ConfigurationOffered, ConfigurationWanted

from .utils import Simulation, make_document, make_entries

MAX_PROPAGATION_MS = 6000
"""Time within which an accepted configuration must be in force on every VM."""

NAMES = ('v1', 'v2', 'v3', 'v4', 'v5', 'v6', 'v7', 'v8')


def start_fleet():
    sim = Simulation(NAMES)
    sim.run(3000)
    return sim


def generations(sim):
    return {core.configuration.generation for core in sim.cores.values()}


class ConfigurationTest(unittest.TestCase):
    def test_newer_document_spreads_with_few_reads_of_the_service(self):
        sim = start_fleet()
        calls_before = sum(
            c.counters.get('service_calls', 'configuration') for c in sim.cores.values()
        )
        sim.document = make_document(2, hard_deadline_ms=2000)
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual(generations(sim), {2})
        calls_after = sum(
            c.counters.get('service_calls', 'configuration') for c in sim.cores.values()
        )
        self.assertLess(calls_after - calls_before, 2 * len(NAMES))
        whole_sent = sum(c.counters.get('documents_sent', 'whole') for c in sim.cores.values())
        self.assertEqual(whole_sent, 0)

    def test_document_of_one_vm_spreads_while_the_service_is_down(self):
        sim = start_fleet()
        sim.platform_down = True
        document = make_document(2)
        sim.cores['v5'].configuration.try_activate(document, 'test', sim.cores['v5'])
        sim.perform('v5', sim.cores['v5'].pop_actions())
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual(generations(sim), {2})
        self.assertTrue(all(core.is_ready() for core in sim.cores.values()))

    def test_queries_continue_while_the_platform_is_down(self):
        sim = start_fleet()
        sim.platform_down = True
        sim.vm_list_down = True
        sim.run(60_000)
        sim.ask('v3')
        sim.run(100)
        self.assertTrue(sim.answer().coverage.complete)

    @params('service', 'peer')
    def test_older_document_is_rejected(self, source):
        sim = start_fleet()
        sim.document = make_document(5)
        sim.run(MAX_PROPAGATION_MS)
        older = make_document(3)
        sim.document = older
        for name in NAMES:
            if source == 'service':
                sim.handle(name, ConfigurationReceived(older))
                continue
            identity = sim.cores['v1'].identity
            sim.handle(name, PeerMessageReceived(identity, ConfigurationOffered(older)))
        self.assertEqual(generations(sim), {5})
        sim.run(60_000)
        self.assertEqual(generations(sim), {5})

    def test_restarted_vm_asks_peers_when_the_service_is_stale(self):
        sim = start_fleet()
        sim.document = make_document(5)
        sim.run(MAX_PROPAGATION_MS)
        sim.document = make_document(3)
        sim.kill('v2')
        sim.start('v2')
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual(generations(sim), {5})
        sim.document = make_document(6)
        sim.run(MAX_PROPAGATION_MS + 5000)
        self.assertEqual(generations(sim), {6})

    def test_second_document_of_a_generation_is_a_conflict_until_a_newer_one(self):
        sim = start_fleet()
        first = make_document(2)
        second = make_document(2, hard_deadline_ms=3000)
        sim.document = first
        sim.run(MAX_PROPAGATION_MS)
        failure = sim.cores['v1'].configuration.try_activate(second, 'test', sim.cores['v1'])
        self.assertEqual(failure.reason.value, 'generation_conflict')
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual({c.configuration.digest for c in sim.cores.values()}, {first.digest})
        self.assertTrue(sim.cores['v1'].configuration.conflict)
        sim.document = make_document(3)
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual(generations(sim), {3})
        self.assertFalse(sim.cores['v1'].configuration.conflict)

    @params(
        ('unknown field', 'class/c', {'urgncy': 1}),
        ('unknown entry', 'clas/c', {}),
        (
            'gap in the map',
            'map/b/1',
            {'shards': [{'shard_id': 's', 'low': 0, 'high': 9, 'service': 'svc0'}]},
        ),
        ('unknown place', 'service/b/svc9', make_entries()['service/b/svc0']),
    )
    def test_invalid_newer_document_changes_nothing(self, _, key, entry):
        sim = start_fleet()
        entries = make_entries()
        entries[key] = entry
        sim.document = Document(2, entries)
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual(generations(sim), {1})
        sim.ask('v4')
        sim.run(100)
        self.assertTrue(sim.answer().coverage.complete)
        sim.document = make_document(3)
        sim.run(MAX_PROPAGATION_MS + 5000)
        self.assertEqual(generations(sim), {3})

    def test_change_is_sent_as_a_difference(self):
        sim = start_fleet()
        sim.document = make_document(2, hard_deadline_ms=2000)
        sim.run(MAX_PROPAGATION_MS)
        offered = [
            action.message.content
            for _, action in sim.log
            if isinstance(getattr(action, 'message', None), ConfigurationOffered)
        ]
        changed = [content for content in offered if content.generation == 2]
        self.assertTrue(changed)
        self.assertEqual({tuple(content.changed) for content in changed}, {('class/c',)})

    # Guards against a large document that is asked for again and again while it is on its way.
    @params((1, 1_900.0, 1), (3, 1_900.0, 1), (1, 4_500.0, 3))
    def test_document_is_asked_for_once_while_it_is_on_its_way(self, peers, wait_ms, expected):
        sim = start_fleet()
        sim.partition({'v1'}, set(NAMES[1:]))
        log_start = len(sim.log)
        until_ms = sim.now_ms + wait_ms
        while sim.now_ms < until_ms:
            for name in NAMES[1 : 1 + peers]:
                core = sim.cores[name]
                gossip = core.membership.build_gossip(core)
                gossip.generation, gossip.digest = 9, 'digest'
                sim.handle('v1', PeerMessageReceived(core.identity, gossip))
            sim.run(100.0)
        asked = [
            action
            for name, action in sim.log[log_start:]
            if name == 'v1'
            and isinstance(action, SendPeer)
            and isinstance(action.message, ConfigurationWanted)
        ]
        self.assertEqual(len(asked), expected)

    def test_newest_document_spreads_after_a_partition(self):
        sim = start_fleet()
        left, right = set(NAMES[:4]), set(NAMES[4:])
        sim.partition(left, right)
        sim.platform_down = True
        sim.run(5000)
        core = sim.cores['v1']
        core.configuration.try_activate(make_document(4), 'test', core)
        sim.perform('v1', core.pop_actions())
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual({sim.cores[n].configuration.generation for n in left}, {4})
        self.assertEqual({sim.cores[n].configuration.generation for n in right}, {1})
        sim.blocked_links.clear()
        sim.run(MAX_PROPAGATION_MS)
        self.assertEqual(generations(sim), {4})

    def test_failing_platform_is_logged_once(self):
        sim = start_fleet()
        log_start = len(sim.log)
        sim.platform_down = True
        sim.vm_list_down = True
        sim.run(30_000)
        lines = [a for n, a in sim.log[log_start:] if n == 'v1' and isinstance(a, LogChange)]
        subjects = sorted(line.subject for line in lines)
        self.assertEqual(subjects, ['VM list service', 'configuration service'])
