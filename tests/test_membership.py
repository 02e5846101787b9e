"""Which VMs count as reachable, and which process a VM's name stands for."""

import unittest

from nose2.tools import params

from beechbridge.core.fleet.membership import list_interval_ms
from beechbridge.events import PeerMessageReceived
from beechbridge.messages import Gossip, MemberView
from beechbridge.models import VmIdentity

from .utils import Simulation

MAX_LIST_READS_PER_S = 2000
"""Calls per second that the platform accepts from all readers together."""


class MembershipTest(unittest.TestCase):
    def start(self):
        sim = Simulation(('v1', 'v2', 'v3'))
        sim.run(3000)
        return sim

    def serving_names(self, sim, name='v1'):
        return set(sim.cores[name].membership.serving_names(sim.now_ms))

    def test_silent_vm_is_suspected_until_it_answers_again(self):
        sim = self.start()
        sim.paused.add('v3')
        sim.run(4000)
        self.assertEqual(self.serving_names(sim), {'v1', 'v2'})
        sim.paused.clear()
        sim.run(2000)
        self.assertEqual(self.serving_names(sim), {'v1', 'v2', 'v3'})

    def test_heartbeats_are_relayed_around_a_broken_link(self):
        sim = self.start()
        sim.partition({'v1'}, {'v3'})
        sim.run(10_000)
        self.assertEqual(self.serving_names(sim), {'v1', 'v2', 'v3'})

    @params((-1, False, 2), (-1, True, -1), (5, False, 5))
    def test_older_incarnation_replaces_only_a_silent_one(self, incarnation, is_silent, expected):
        sim = self.start()
        core = sim.cores['v1']
        if is_silent:
            sim.blocked_links = {(a, 'v1') for a in ('v2', 'v3')}
            sim.run(4000)
        sender = VmIdentity('v2', incarnation)
        gossip = Gossip([MemberView(sender, 1, False)], 1, core.configuration.digest, [])
        sim.handle('v1', PeerMessageReceived(sender, gossip))
        self.assertEqual(core.membership.members['v2'].identity.incarnation, expected)

    @params(1, 8, 1000, 6600, 20_000)
    def test_list_is_read_within_the_call_limit_of_the_platform(self, count):
        calls_per_s = count * 1000.0 / list_interval_ms(count)
        self.assertLessEqual(calls_per_s, MAX_LIST_READS_PER_S)
