"""Who is taken for alive, and which process a VM's name stands for."""

import unittest

from nose2.tools import params

from beechbridge.core.fleet.membership import list_interval_ms
from beechbridge.events import PeerMessageReceived
from beechbridge.messages import Gossip, MemberView
from beechbridge.models import VmIdentity

from .utils import World

SERVICE_CALLS_PER_S = 2000
"""Calls that the platform takes from all readers together."""


class MembershipTest(unittest.TestCase):
    def start(self):
        world = World(('v1', 'v2', 'v3'))
        world.run(3000)
        return world

    def serving(self, world, name='v1'):
        return set(world.cores[name].membership.serving_names(world.now_ms))

    def test_silent_vm_is_suspected_and_taken_back(self):
        world = self.start()
        world.paused.add('v3')
        world.run(4000)
        self.assertEqual(self.serving(world), {'v1', 'v2'})
        world.paused.clear()
        world.run(2000)
        self.assertEqual(self.serving(world), {'v1', 'v2', 'v3'})

    def test_heartbeats_reach_a_vm_that_cannot_hear_the_sender(self):
        world = self.start()
        world.part({'v1'}, {'v3'})
        world.run(10_000)
        self.assertEqual(self.serving(world), {'v1', 'v2', 'v3'})

    @params((-1, False, 2), (-1, True, -1), (5, False, 5))
    def test_process_of_a_name(self, incarnation, is_silent, expected):
        world = self.start()
        core = world.cores['v1']
        if is_silent:
            world.cut = {(a, 'v1') for a in ('v2', 'v3')}
            world.run(4000)
        sender = VmIdentity('v2', incarnation)
        gossip = Gossip([MemberView(sender, 1, False)], 1, core.configuration.digest, [])
        world.hand('v1', PeerMessageReceived(sender, gossip))
        self.assertEqual(core.membership.members['v2'].identity.incarnation, expected)

    @params(1, 8, 1000, 6600, 20_000)
    def test_list_is_read_within_the_budget_of_the_platform(self, count):
        calls_per_s = count * 1000.0 / list_interval_ms(count)
        self.assertLessEqual(calls_per_s, SERVICE_CALLS_PER_S)
