"""All VMs start at once, as after a power failure, while their callers come back."""

import unittest

from beechbridge.gateway.requests.budgets import MEMBER_PROPAGATION_MS
from beechbridge.gateway.routes import RoutingTable, ServiceRules

from .test_store_updates import LIMITS, Reader

CONNECTION_LIMIT = 25
FLEET_SIZE = 8
"""Largest small fleet of the users."""


class ConnectionsTest(unittest.TestCase):
    """Each VM at first knows only itself, and must leave connections to those it does not know."""

    def share_after(self, age_ms):
        reader = Reader()
        rules = {'s': ServiceRules('s', CONNECTION_LIMIT)}
        reader.put('table', RoutingTable(2, [], rules, LIMITS))
        reader.gateway.started_ms = reader.now_ms
        reader.wait(age_ms)
        return reader.gateway.connection_share('s')

    def test_vms_that_start_together_stay_under_the_limit(self):
        share = self.share_after(0.0)
        self.assertGreaterEqual(share, 1)
        self.assertLessEqual(FLEET_SIZE * share, CONNECTION_LIMIT)

    def test_share_grows_once_other_vms_would_be_known(self):
        self.assertEqual(self.share_after(MEMBER_PROPAGATION_MS), CONNECTION_LIMIT // 2)
