"""Metrics of the gateway, copied into `aioprometheus` collectors on each request."""

from ..core.counters import Counters
from ..gateway.latencies import BUCKETS_MS, Histogram
from ..gateway.node import Gateway

METRIC_PREFIX = 'beechbridge_'
ACCEPTED_TYPES = ('text/plain',)


def add_counters(counters: Counters, registry) -> None:
    """Copy counters into a registry, with one collector per name and one label per kind."""
    from aioprometheus import Counter

    collectors: dict[str, Counter] = {}
    for (name, label), value in sorted(counters.values.items()):
        collector = collectors.get(name)
        if collector is None:
            metric_name = f'{METRIC_PREFIX}{name}_total'
            collector = collectors[name] = Counter(metric_name, name, registry=registry)
        collector.set({'kind': label} if label else {}, value)


def add_histogram(name: str, histogram: Histogram, registry) -> None:
    """Copy a histogram into a registry, as cumulative counts per upper bound."""
    from aioprometheus import Gauge

    buckets = Gauge(f'{METRIC_PREFIX}{name}_bucket', name, registry=registry)
    cumulative_count = 0
    for bound, count in zip((*BUCKETS_MS, '+Inf'), histogram.counts, strict=True):
        cumulative_count += count
        buckets.set({'le': str(bound)}, cumulative_count)
    Gauge(f'{METRIC_PREFIX}{name}_sum', name, registry=registry).set({}, histogram.sum_ms)
    Gauge(f'{METRIC_PREFIX}{name}_count', name, registry=registry).set({}, cumulative_count)


def render_gateway(core: Gateway) -> tuple[str, bytes]:
    """Return the content type and body of the gateway's metrics."""
    # Imported on first use because the import would double the startup time.
    from aioprometheus import Gauge, Registry, render

    registry = Registry()
    add_counters(core.counters, registry)
    gauges = {
        'active_requests': len(core.works),
        'exchanges': len(core.upstreams.exchanges),
        'table_version': core.table.version if core.table else 0,
        'store_revision': core.view.revision,
        'store_reached': int(core.store.is_reached),
        'members': core.fleet.size,
        'replicas': len(core.upstreams.by_id),
        'unreadable_items': len(core.unreadable.current),
    }
    for name, value in gauges.items():
        Gauge(METRIC_PREFIX + name, name, registry=registry).set({}, value)
    for name, histogram in (
        ('exchange_latency_ms', core.latencies),
        ('request_latency_ms', core.request_latencies),
        ('pull_latency_ms', core.pull_latencies),
    ):
        add_histogram(name, histogram, registry)
    body, headers = render(registry, ACCEPTED_TYPES)
    return headers['Content-Type'], body
