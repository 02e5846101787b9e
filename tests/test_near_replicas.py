"""Expensive links between regions: the nearest replica that is fast enough gets the work."""

import unittest

from nose2.tools import params

from beechbridge.gateway.models import MergedAnswer
from measure.stand_ins import ReplicaSpec, region_of

from .gateways import ZONES, drive, in_time_count, start_sweeps, sweep_route

MIN_IN_TIME_SHARE = 0.95
MAX_REMOTE_SHARE = 0.05
"""Largest share of sub-requests that may cross between regions while all replicas do well."""


class NearReplicasTest(unittest.TestCase):
    """All callers use the VM of one region, which has a replica of each shard; so has another."""

    def start(self, near_spec=ReplicaSpec, far_spec=ReplicaSpec):
        emulator = start_sweeps(0, zones=ZONES[:2])
        for shard in range(10):
            for zone, spec in (('brum-a', near_spec), ('notts-a', far_spec)):
                emulator.put_replica(f'r-{shard}-{zone}', f'shard-{shard}', zone, spec())
        emulator.put_table([sweep_route(10)], version=2)
        emulator.run(500.0)
        drive(emulator, '/sweep/x', 20, 4)
        for replica in emulator.replicas.values():
            replica.arrivals.clear()
        return emulator

    def remote_share(self, emulator):
        counts = {'brum': 0, 'notts': 0}
        for replica in emulator.replicas.values():
            counts[region_of(replica.entry.zone)] += len(replica.arrivals)
        return counts['notts'] / sum(counts.values())

    def test_noise_and_short_queues_send_no_work_to_another_region(self):
        emulator = self.start(near_spec=lambda: ReplicaSpec(slow_factor=1.6))
        emulator.vms = emulator.vms[:1]
        asked = drive(emulator, '/sweep/x', 40, 10)
        self.assertLessEqual(self.remote_share(emulator), MAX_REMOTE_SHARE)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, MIN_IN_TIME_SHARE * len(asked))

    @params(({'slow_factor': 8.0},), ({'reject_share': 0.6},), ({'is_dark': True},))
    def test_near_replica_in_trouble_loses_its_work(self, fields):
        emulator = self.start()
        emulator.vms = emulator.vms[:1]
        for shard in range(0, 10, 2):
            for name, value in fields.items():
                setattr(emulator.replicas[f'r-{shard}-brum-a'].spec, name, value)
        drive(emulator, '/sweep/x', 40, 4)
        for replica in emulator.replicas.values():
            replica.arrivals.clear()
        asked = drive(emulator, '/sweep/x', 40, 10)
        self.assertGreaterEqual(self.remote_share(emulator), 0.4)
        in_time = in_time_count(emulator, asked, MergedAnswer)
        self.assertGreaterEqual(in_time, MIN_IN_TIME_SHARE * len(asked))
