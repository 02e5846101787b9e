"""Quarantine of queries that end each upstream that runs them, in the product's own interface."""

import unittest

from nose2.tools import params

from beechbridge.actions import LogChange, Send
from beechbridge.core.requests.suspects import (
    CONVICTING_REPLICAS,
    EVIDENCE_MS,
    MAX_SUSPECTS,
    QUARANTINE_MS,
)
from beechbridge.daemon.bodies import status_of
from beechbridge.failures import AttemptFailure, Executed, Failure, Reason
from beechbridge.messages import ShardQuery
from beechbridge.models import Answer

from .utils import LOST, Simulation, make_document

DEADLY = b'{"a":"deadly"}'
OTHER = b'{"a":"other"}'
QUEUED = 40
"""More copies of a query than a VM sends to the replicas at once."""

REPLICAS = [f'svc{number}-{copy}' for number in range(3) for copy in 'ab']


class Fleet:
    """VMs whose upstreams end under some queries."""

    def __init__(self, result=LOST, **rules):
        self.sim = Simulation(('v1',), make_document(**rules))
        self.sim.run(500)
        self.deadly_count = 0
        self.is_deadly = True
        self.result = result
        self.numbers = iter(range(100_000))
        self.sim.upstreams.script = dict.fromkeys(REPLICAS, self.run_query)

    def run_query(self, action):
        is_deadly = isinstance(action.message, ShardQuery) and action.message.body == DEADLY
        if not is_deadly:
            return self.sim.upstreams
        self.deadly_count += 1
        return self.result if self.is_deadly else self.sim.upstreams

    def ask(self, body=DEADLY, name='v1'):
        """Send a query, wait for its end, and return its answer."""
        request_id = f'q{next(self.numbers)}'
        self.sim.ask(name, request_id, body=body, deadline_ms=500)
        self.sim.run(600)
        return self.sim.answers[request_id][0]

    def convict(self):
        for _ in range(10):
            answer = self.ask()
            if isinstance(answer, Failure) and answer.reason is Reason.QUARANTINED:
                return answer
        raise AssertionError('the query is not quarantined')


class QuarantineTest(unittest.TestCase):
    # Guards against a query that ends upstreams being carried to all of them as often as it comes.
    def test_query_that_ends_upstreams_is_rejected_at_once_and_not_sent(self):
        fleet = Fleet()
        answer = fleet.convict()
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertEqual(status_of(answer)[:3], '503')
        self.assertLessEqual(answer.retry_after_ms, QUARANTINE_MS)
        sent_count = fleet.deadly_count
        for _ in range(20):
            self.assertIs(fleet.ask().reason, Reason.QUARANTINED)
        self.assertEqual(fleet.deadly_count, sent_count)

    # Guards against copies of the query that are in progress, and wait for their next try, being
    # sent on once one of them has shown what it does.
    @params(1.0, 0.3)
    def test_convicted_query_in_progress_is_sent_no_more(self, minimum_coverage):
        fleet = Fleet(minimum_coverage=minimum_coverage)
        for number in range(QUEUED):
            fleet.sim.ask('v1', f'q{number}', body=DEADLY, deadline_ms=500)
        fleet.sim.run(600)
        actions = [action for _, action in fleet.sim.log]
        convictions = [
            number
            for number, action in enumerate(actions)
            if isinstance(action, LogChange) and action.after.startswith('quarantined')
        ]
        self.assertEqual(len(convictions), 1)
        for action in actions[convictions[0] :]:
            self.assertFalse(isinstance(action, Send) and isinstance(action.message, ShardQuery))

    def test_other_queries_are_answered_meanwhile(self):
        fleet = Fleet()
        fleet.convict()
        self.assertIsInstance(fleet.ask(OTHER), Answer)

    def test_quarantine_ends_and_an_answer_acquits(self):
        fleet = Fleet()
        fleet.convict()
        fleet.is_deadly = False
        fleet.sim.run(QUARANTINE_MS)
        self.assertIsInstance(fleet.ask(), Answer)
        self.assertFalse(fleet.sim.cores['v1'].suspects.by_digest)

    # Guards against an innocent query being rejected because all connections were reset once, or
    # again and again with answers in between.
    def test_query_whose_replies_are_lost_once_is_not_suspected_for_long(self):
        fleet = Fleet()
        for _ in range(10):
            fleet.is_deadly = True
            fleet.sim.ask('v1', f'q{next(fleet.numbers)}', body=DEADLY, deadline_ms=500)
            fleet.is_deadly = False
            fleet.sim.run(600)
            self.assertIsInstance(fleet.ask(), Answer)
        self.assertFalse(fleet.sim.cores['v1'].suspects.by_digest)

    # Guards against failures that say nothing of the end of a process being held against a query.
    @params(
        AttemptFailure(Reason.NO_PROGRESS, Executed.UNKNOWN),
        AttemptFailure(Reason.TRUNCATED, Executed.UNKNOWN),
        AttemptFailure(Reason.UPSTREAM_ERROR, Executed.UNKNOWN),
        AttemptFailure(Reason.CONNECT_FAILED, Executed.NOT_RUN),
    )
    def test_other_failures_convict_no_query(self, failure):
        fleet = Fleet(failure)
        for _ in range(10):
            self.assertIsNot(fleet.ask().reason, Reason.QUARANTINED)
        self.assertFalse(fleet.sim.cores['v1'].suspects.by_digest)

    def test_old_losses_do_not_count(self):
        fleet = Fleet()
        suspects = fleet.sim.cores['v1'].suspects
        fleet.ask()
        suspect = next(iter(suspects.by_digest.values()))
        self.assertLessEqual(len(suspect.replica_ids), CONVICTING_REPLICAS)
        self.assertTrue(suspect.is_outdated(fleet.sim.now_ms + EVIDENCE_MS + QUARANTINE_MS + 1.0))

    def test_memory_is_bounded(self):
        fleet = Fleet()
        suspects = fleet.sim.cores['v1'].suspects
        fleet.ask()
        suspect = next(iter(suspects.by_digest.values()))
        for number in range(MAX_SUSPECTS):
            suspects.by_digest[f'd{number}'] = suspect
        fleet.ask()
        self.assertLessEqual(len(suspects.by_digest), MAX_SUSPECTS + 1)
