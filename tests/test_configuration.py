"""An accepted configuration is in force everywhere soon and never goes back."""

import unittest

from nose2.tools import params

from beechbridge.actions import LogChange
from beechbridge.document import Document
from beechbridge.events import ConfigurationReceived, PeerMessageReceived
from beechbridge.messages import ConfigurationOffered

from .utils import World, make_document, make_entries

FORCE_MS = 6000
"""Time from the brief's size within which a configuration is in force on every VM."""

NAMES = ('v1', 'v2', 'v3', 'v4', 'v5', 'v6', 'v7', 'v8')


def fleet():
    world = World(NAMES)
    world.run(3000)
    return world


def generations(world):
    return {core.configuration.generation for core in world.cores.values()}


class ConfigurationTest(unittest.TestCase):
    def test_newer_document_reaches_all_by_one_reader(self):
        world = fleet()
        calls = sum(c.counters.get('service_calls', 'configuration') for c in world.cores.values())
        world.document = make_document(2, hard_deadline_ms=2000)
        world.run(FORCE_MS)
        self.assertEqual(generations(world), {2})
        later = sum(c.counters.get('service_calls', 'configuration') for c in world.cores.values())
        self.assertLess(later - calls, 2 * len(NAMES))
        sent = sum(c.counters.get('documents_sent', 'whole') for c in world.cores.values())
        self.assertEqual(sent, 0)

    def test_service_down_for_readers_but_one_vm_has_it(self):
        world = fleet()
        world.platform_down = True
        document = make_document(2)
        world.cores['v5'].configuration.offer(document, 'test', world.cores['v5'])
        world.perform('v5', world.cores['v5'].pop_actions())
        world.run(FORCE_MS)
        self.assertEqual(generations(world), {2})
        self.assertTrue(all(core.is_ready() for core in world.cores.values()))

    def test_service_down_keeps_the_document_in_force(self):
        world = fleet()
        world.platform_down = True
        world.list_down = True
        world.run(60_000)
        world.ask('v3')
        world.run(100)
        self.assertTrue(world.answer().coverage.complete)

    @params('service', 'peer')
    def test_older_document_is_refused(self, source):
        world = fleet()
        world.document = make_document(5)
        world.run(FORCE_MS)
        older = make_document(3)
        world.document = older
        for name in NAMES:
            if source == 'service':
                world.hand(name, ConfigurationReceived(older))
                continue
            identity = world.cores['v1'].identity
            world.hand(name, PeerMessageReceived(identity, ConfigurationOffered(older)))
        self.assertEqual(generations(world), {5})
        world.run(60_000)
        self.assertEqual(generations(world), {5})

    def test_restarted_vm_asks_peers_when_the_service_is_stale(self):
        world = fleet()
        world.document = make_document(5)
        world.run(FORCE_MS)
        world.document = make_document(3)
        world.kill('v2')
        world.start('v2')
        world.run(FORCE_MS)
        self.assertEqual(generations(world), {5})
        world.document = make_document(6)
        world.run(FORCE_MS + 5000)
        self.assertEqual(generations(world), {6})

    def test_two_documents_with_one_generation(self):
        world = fleet()
        first = make_document(2)
        second = make_document(2, hard_deadline_ms=3000)
        world.document = first
        world.run(FORCE_MS)
        refusal = world.cores['v1'].configuration.offer(second, 'test', world.cores['v1'])
        self.assertEqual(refusal.reason.value, 'generation_conflict')
        world.run(FORCE_MS)
        self.assertEqual({c.configuration.digest for c in world.cores.values()}, {first.digest})
        self.assertTrue(world.cores['v1'].configuration.conflict)
        world.document = make_document(3)
        world.run(FORCE_MS)
        self.assertEqual(generations(world), {3})
        self.assertFalse(world.cores['v1'].configuration.conflict)

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
        world = fleet()
        entries = make_entries()
        entries[key] = entry
        world.document = Document(2, entries)
        world.run(FORCE_MS)
        self.assertEqual(generations(world), {1})
        world.ask('v4')
        world.run(100)
        self.assertTrue(world.answer().coverage.complete)
        world.document = make_document(3)
        world.run(FORCE_MS + 5000)
        self.assertEqual(generations(world), {3})

    def test_change_travels_as_a_difference(self):
        world = fleet()
        world.document = make_document(2, hard_deadline_ms=2000)
        world.run(FORCE_MS)
        contents = [
            action.message.content
            for _, action in world.log
            if isinstance(getattr(action, 'message', None), ConfigurationOffered)
        ]
        changed = [content for content in contents if content.generation == 2]
        self.assertTrue(changed)
        self.assertEqual({tuple(content.changed) for content in changed}, {('class/c',)})

    def test_partition_heals_to_the_newest(self):
        world = fleet()
        left, right = set(NAMES[:4]), set(NAMES[4:])
        world.part(left, right)
        world.platform_down = True
        world.run(5000)
        core = world.cores['v1']
        core.configuration.offer(make_document(4), 'test', core)
        world.perform('v1', core.pop_actions())
        world.run(FORCE_MS)
        self.assertEqual({world.cores[n].configuration.generation for n in left}, {4})
        self.assertEqual({world.cores[n].configuration.generation for n in right}, {1})
        world.cut.clear()
        world.run(FORCE_MS)
        self.assertEqual(generations(world), {4})

    def test_failing_platform_is_logged_once(self):
        world = fleet()
        mark = len(world.log)
        world.platform_down = True
        world.list_down = True
        world.run(30_000)
        lines = [a for n, a in world.log[mark:] if n == 'v1' and isinstance(a, LogChange)]
        subjects = sorted(line.subject for line in lines)
        self.assertEqual(subjects, ['VM list service', 'configuration service'])
