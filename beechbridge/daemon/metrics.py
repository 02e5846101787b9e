"""Metrics of the gateway as `aioprometheus` collectors, copied when they are read."""

from ..core.counters import Counters
from ..gateway.latencies import BUCKETS_MS
from ..gateway.node import Gateway

METRIC_PREFIX = 'beechbridge_'
ACCEPTED = ('text/plain',)


def add_counters(counters: Counters, registry) -> None:
    """Copy counters into a registry, one collector a name, one label a kind."""
    from aioprometheus import Counter

    collectors: dict[str, Counter] = {}
    for (name, label), value in sorted(counters.values.items()):
        collector = collectors.get(name)
        if collector is None:
            metric_name = f'{METRIC_PREFIX}{name}_total'
            collector = collectors[name] = Counter(metric_name, name, registry=registry)
        collector.set({'kind': label} if label else {}, value)


def render_gateway(core: Gateway) -> tuple[str, bytes]:
    """Return content type and body of the gateway's metrics."""
    # Imported on the first reading: it would double the time that a start takes.
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
    }
    for name, value in gauges.items():
        Gauge(METRIC_PREFIX + name, name, registry=registry).set({}, value)
    buckets = Gauge(
        METRIC_PREFIX + 'exchange_latency_ms_bucket',
        'Exchanges that took at most so many milliseconds',
        registry=registry,
    )
    total = 0
    for bound, count in zip((*BUCKETS_MS, 'inf'), core.latencies.counts, strict=True):
        total += count
        buckets.set({'le': str(bound)}, total)
    body, headers = render(registry, ACCEPTED)
    return headers['Content-Type'], body
