"""Metrics keep their names, labels and values in the formats that scrapers ask for."""

import unittest

from nose2.tools import params

from beechbridge.daemon.metrics import Families, render_families, render_gateway
from beechbridge.gateway.latencies import BUCKETS_MS, Histogram

from .gateways import drive, start_sweeps

PLAIN = 'text/plain; version=0.0.4; charset=utf-8'
OPEN = 'application/openmetrics-text; version=1.0.0; charset=utf-8'


def samples_of(body):
    samples = {}
    for line in body.decode().splitlines():
        if line.startswith('#'):
            continue
        name, _, value = line.rpartition(' ')
        samples[name] = float(value)
    return samples


class MetricsTest(unittest.TestCase):
    def setUp(self):
        histogram = Histogram()
        for latency_ms in (3, 7, 5000):
            histogram.add(latency_ms)
        self.families = Families()
        self.families.add_counters(
            {('answers', 'partial'): 2, ('answers', ''): 1, ('polls', ''): 7}
        )
        self.families.add_gauge('members', 4)
        self.families.add_histogram('latency_ms', histogram)

    def test_samples_have_the_names_and_values_of_the_core(self):
        _, body = render_families(self.families)
        wanted = {
            'beechbridge_answers_total': 1,
            'beechbridge_answers_total{kind="partial"}': 2,
            'beechbridge_polls_total': 7,
            'beechbridge_members': 4,
            'beechbridge_latency_ms_sum': 5010,
            'beechbridge_latency_ms_count': 3,
        }
        for bound, count in zip((*BUCKETS_MS, '+Inf'), (1, *[2] * 12, 3), strict=True):
            wanted[f'beechbridge_latency_ms_bucket{{le="{bound}"}}'] = count
        self.assertEqual(samples_of(body), wanted)

    def test_types_are_stated_once_for_each_name(self):
        _, body = render_families(self.families)
        types = [line for line in body.decode().splitlines() if line.startswith('# TYPE')]
        self.assertEqual(
            types,
            [
                '# TYPE beechbridge_answers_total counter',
                '# TYPE beechbridge_polls_total counter',
                '# TYPE beechbridge_members gauge',
                '# TYPE beechbridge_latency_ms_bucket gauge',
                '# TYPE beechbridge_latency_ms_sum gauge',
                '# TYPE beechbridge_latency_ms_count gauge',
            ],
        )

    @params(
        ('', PLAIN),
        ('*/*', PLAIN),
        ('text/plain', PLAIN),
        ('text/plain;version=0.0.4', PLAIN),
        ('application/openmetrics-text;version=1.0.0,text/plain;version=0.0.4;q=0.5', OPEN),
    )
    def test_format_is_the_one_asked_for(self, accepted, wanted):
        content_type, body = render_families(self.families, accepted)
        self.assertTrue(content_type.startswith(wanted), content_type)
        self.assertEqual(body.endswith(b'# EOF\n'), wanted == OPEN)
        self.assertEqual(samples_of(body)['beechbridge_members'], 4)

    def test_gateway_exposes_counters_gauges_and_histograms(self):
        emulator = start_sweeps(3)
        drive(emulator, '/sweep/x', 20.0, 1.0)
        core = emulator.vms[0].gateway
        content_type, body = render_gateway(core)
        samples = samples_of(body)
        self.assertEqual(content_type, PLAIN)
        self.assertEqual(samples['beechbridge_replicas'], 6)
        self.assertEqual(samples['beechbridge_members'], core.fleet.size)
        self.assertGreater(samples['beechbridge_request_latency_ms_count'], 0)
        for (name, label), value in core.counters.values.items():
            kind = f'{{kind="{label}"}}' if label else ''
            self.assertEqual(samples[f'beechbridge_{name}_total{kind}'], value)
