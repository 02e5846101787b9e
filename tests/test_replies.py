"""Crossed, truncated or duplicated replies never end up in another caller's answer."""

import unittest

from nose2.tools import params

from .deployment import Deployment


class RepliesTest(unittest.TestCase):
    @params('truncate', 'duplicate', 'cross', 'drop')
    def test_answer_is_complete_or_reported_as_incomplete(self, fault):
        deployment = Deployment(hedge_percent=50.0, retries_per_shard=10)
        self.addCleanup(deployment.close)
        deployment.query()
        for letter in 'ab':
            for number in range(3):
                deployment.replicas[f'svc{number}-{letter}'].behaviour.fault = fault
            self.check_answers(deployment)
            deployment.set_fault('')
        status, answer = deployment.query()
        self.assertEqual((status, len(answer['rows'])), (200, 60))

    def check_answers(self, deployment):
        for _ in range(6):
            status, answer = deployment.query(match={'any': 1})
            if status == 200:
                self.assertTrue(answer['coverage']['complete'])
                self.assertEqual(len({row['key'] for row in answer['rows']}), 60)
                continue
            self.assertEqual(answer['failure']['reason'], 'coverage_too_low')
            self.assertFalse(answer['failure']['coverage']['complete'])

    def test_crossed_replies_are_counted_and_dropped(self):
        deployment = Deployment(retries_per_shard=10)
        self.addCleanup(deployment.close)
        for server in deployment.replicas.values():
            server.behaviour.fault = 'cross'
        for _ in range(5):
            deployment.query(deadline_ms=300)
        counters = deployment.daemons['v1'].core.counters
        self.assertGreater(counters.get('replies_mismatched'), 0)
