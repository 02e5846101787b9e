"""What a replica says about being cold, and what its keeper grants."""

import math
import unittest

import msgspec
from nose2.tools import params

from beechbridge.failures import Failure
from beechbridge.gateway.actions import SendColdReplicas, SendPermits
from beechbridge.gateway.events import ColdReplicasReceived, PermitsReceived
from beechbridge.gateway.member import Member
from beechbridge.gateway.permits import ColdReplica, ColdTerms, PermitsWanted
from beechbridge.gateway.replicas.cold import (
    SPREAD_S,
    ColdLimit,
    Coldness,
    ColdRules,
    bound_per_second,
    make_limit,
)
from beechbridge.gateway.replicas.limits import LimitBucket
from beechbridge.gateway.replicas.notices import Permits
from beechbridge.platform.items import decode_item
from beechbridge.platform.replicas import read_reply
from beechbridge.platform.settings import parse_settings
from beechbridge.wire.fleet import decode_datagram, encode_cold_replicas, encode_permits

from .gateways import REGIONS
from .test_cold_replicas import start_cold_fleet
from .test_member_age import SETTINGS
from .test_platform_items import TABLE

SENDER = Member('vm-9', 'vm-9', REGIONS[0], incarnation=1)


class RateTest(unittest.TestCase):
    # More permits in the time whose requests arrive together than a replica tolerates in a second.
    @params(
        *(
            (r, excess, slack)
            for r in (0.1, 1, 7, 40, 1e4)
            for excess, slack in ((1.5, 5.0), (1.0, 1.0), (1.0, 0.0), (2.0, 0.0), (1.0, 100.0))
        )
    )
    def test_permits_of_a_second_stay_under_the_bound(self, cold_rate_per_s, excess, slack):
        rules = ColdRules(excess, slack)
        limit = make_limit(cold_rate_per_s, rules)
        # A bucket that holds less than one permit grants none, and the replica would stay cold.
        bound = max(1.1, bound_per_second(cold_rate_per_s, rules))
        self.assertLessEqual(limit.burst + SPREAD_S * limit.rate_per_s, bound + 1e-6)
        self.assertGreaterEqual(limit.burst, 1.0)
        self.assertLessEqual(limit.rate_per_s, max(cold_rate_per_s, 0.05))
        self.assertGreater(limit.rate_per_s, 0.0)

    def test_a_replica_gets_the_rate_that_it_tolerates_if_the_slack_permits(self):
        self.assertEqual(make_limit(10.0, ColdRules(1.5, 5.0)), ColdLimit(10.0, 4.0))


class ColdnessTest(unittest.TestCase):
    # Replies overtake each other, and an entry may be older than a reply.
    @params(
        ([('entry', 500.0, 0)], 500.0),
        ([('entry', 500.0, 0), ('entry', 0.0, 100)], 100.0),
        ([('reply', 500.0, 0, 0)], 500.0),
        ([('reply', 500.0, 10, 0), ('reply', 0.0, 20, 5)], 510.0),
        ([('reply', 500.0, 10, 0), ('reply', 0.0, 20, 15)], 20.0),
        ([('reply', 500.0, 10, 0), ('reply', 100.0, 20, 15)], 120.0),
        ([('reply', 500.0, 10, 0), ('reply', 100.0, 20, 5)], 510.0),
        ([('reply', 500.0, 10, 0), ('entry', 0.0, 20)], 510.0),
        ([('entry', 500.0, 0), ('reply', 0.0, 20, 5)], 20.0),
        ([('report', 300.0, 0), ('reply', 0.0, 20, 5)], 20.0),
        ([('reply', 500.0, 10, 0), ('report', 100.0, 20)], 510.0),
    )
    def test_latest_statement_counts(self, steps, until_ms):
        coldness = Coldness()
        for kind, left_ms, now_ms, *sent_ms in steps:
            getattr(coldness, f'record_{kind}')(left_ms, *sent_ms, now_ms)
        self.assertEqual(coldness.until_ms, until_ms)

    # A report may be lost, and its keeper may have ended; it must not be sent with every reply.
    def test_reports_are_repeated_for_a_while(self):
        coldness = Coldness()
        reported = []
        for now_ms in range(1_000, 9_000, 100):
            coldness.record_reply(5_000.0, now_ms - 50.0, now_ms)
            if coldness.is_report_due(now_ms):
                coldness.reported_ms = now_ms
                reported.append(now_ms)
        self.assertEqual(reported, [1_000, 1_500, 2_000, 2_500, 3_000])


class PermitsTest(unittest.TestCase):
    # A permit that was not used was renewed by each later one, so that more than the bound were
    # valid at once; that of a stated limit is, as before.
    @params((True, [500.0, 500.0, 950.0]), (False, [500.0, 900.0, 950.0]))
    def test_permits_for_a_cold_replica_are_not_renewed(self, is_cold, valid_until_ms):
        permits = Permits()
        found = []
        for now_ms, used_count in ((0.0, 0), (400.0, 2), (450.0, 0)):
            permits.grant(now_ms, is_cold)
            found.append(permits.valid_until_ms)
            permits.count -= used_count
        self.assertEqual(found, valid_until_ms)
        self.assertEqual(permits.count, 1)


class BucketTest(unittest.TestCase):
    # Tokens of the time in which the replica was warm would be a burst on top of warm traffic.
    @params((200.0, 0.0), (20_000.0, 4.0))
    def test_bucket_starts_empty_once_its_replica_has_turned_cold(self, age_ms, tokens):
        bucket = LimitBucket(10.0, 0.0)
        bucket.fill(10.0, 5_000.0, ColdTerms(4.0, 5_000.0))
        bucket.fill(10.0, 15_000.0, ColdTerms(4.0, age_ms))
        self.assertEqual(bucket.tokens, tokens)


class PlatformTest(unittest.TestCase):
    @params(
        ('0', 0.0), ('2500', 2_500.0), ('12.5', 12.5), ('100, 70', 100.0), ('-1', None),
        ('soon', None), ('', None), ('1e9', None), ('86400001', None), ('nan', None),
    )  # fmt: skip
    def test_header(self, value, cold_ms):
        reply = read_reply(200, [('Beechbridge-Cold-Ms', value)], b'', False)
        found = None if reply.notice is None else reply.notice.cold_ms
        self.assertEqual(found, cold_ms)

    @params(
        ({}, 0.0, 0.0),
        ({'coldRateS': 0}, 0.0, 0.0),
        ({'coldRateS': None, 'warmupS': None}, 0.0, 0.0),
        ({'coldRateS': 2.5, 'warmupS': 30}, 2.5, 30_000.0),
    )
    def test_service(self, fields, cold_rate_per_s, warmup_ms):
        rules = decode_item('op/config', self.write(fields)).services['s1']
        self.assertEqual((rules.cold_rate_per_s, rules.warmup_ms), (cold_rate_per_s, warmup_ms))

    # A table that cannot be read leaves the one in force; nothing is guessed.
    @params({'coldRateS': -1}, {'coldRateS': '5'}, {'coldRateS': 1e9}, {'warmupS': -1})
    def test_odd_service_makes_the_table_unreadable(self, fields):
        self.assertIsInstance(decode_item('op/config', self.write(fields)), Failure)

    def write(self, fields):
        """Return a table whose service has more fields."""
        service = {**TABLE['services'][0], **fields}
        return msgspec.json.encode({**TABLE, 'services': [service]})

    @params(('', ColdRules(1.0, 1.0)), ('coldExcess = 1.5\ncoldSlack = 5', ColdRules(1.5, 5.0)))
    def test_settings(self, lines, rules):
        self.assertEqual(parse_settings(SETTINGS + lines, 'test').cold_rules, rules)


class MessageTest(unittest.TestCase):
    def test_messages_survive_the_wire(self):
        terms = {'r-1': ColdTerms(4.5, 250.0)}
        wanted = PermitsWanted(7, [('r-0', 1.5), ('r-1', 9.0)], 1, 0.5, terms)
        self.assertEqual(
            decode_datagram(encode_permits(SendPermits('h', SENDER, wanted))).message, wanted
        )
        replicas = [ColdReplica('r-0', 5, 700.0), ColdReplica('r-1', 0, 1.0)]
        data = encode_cold_replicas(SendColdReplicas([], SENDER, replicas))
        self.assertEqual(decode_datagram(data).replicas, replicas)

    # Terms out of their bounds would lift the limit of a replica.
    @params(
        (math.nan, 0.0),
        (-1.0, 0.0),
        (0.5, 0.0),
        (math.inf, 0.0),
        (4.0, -1.0),
        (4.0, math.nan),
        (4.0, 1e12),
    )
    def test_odd_terms_grant_nothing(self, burst, age_ms):
        emulator = start_cold_fleet(1, 5.0)
        message = PermitsWanted(1, [('r-0', 5.0)], 0, 0.0, {'r-0': ColdTerms(burst, age_ms)})
        gateway = emulator.vms[0].gateway
        actions = gateway.handle(PermitsReceived(SENDER, message), emulator.now_ms)
        self.assertFalse([action for action in actions if isinstance(action, SendPermits)])

    # A report on another incarnation, or an odd one, must not bind a replica.
    @params(('r-9', 1, 50.0), ('r-0', 2, 50.0), ('r-0', 1, -1.0), ('r-0', 1, 0.0), ('r-0', 1, 1e9))
    def test_odd_reports_are_ignored(self, replica_id, started_ms, left_ms):
        emulator = start_cold_fleet(1, 5.0)
        gateway = emulator.vms[0].gateway
        event = ColdReplicasReceived(SENDER, [ColdReplica(replica_id, started_ms, left_ms)])
        gateway.handle(event, emulator.now_ms)
        self.assertFalse(gateway.upstreams.by_id['r-0'].notices.is_restricted)
        self.assertEqual(gateway.counters.get('cold_reports_ignored'), 1)

    # Only one VM may grant permits: one that stops has a successor already.
    def test_vm_that_is_not_the_keeper_grants_no_permit_for_a_cold_replica(self):
        emulator = start_cold_fleet(6, 5.0)
        waits = []
        for vm in emulator.vms:
            message = PermitsWanted(1, [('r-0', 5.0)], 0, 0.0, {'r-0': ColdTerms(4.0, 9e5)})
            for _ in range(2):
                emulator.run(500.0)
                actions = vm.gateway.handle(PermitsReceived(SENDER, message), emulator.now_ms)
            sent = [action for action in actions if isinstance(action, SendPermits)]
            waits.append(sent[-1].message.waits_ms[0])
        self.assertEqual(sorted(waits), [0] + [200] * 5)
