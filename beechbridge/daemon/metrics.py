"""Metrics of the gateway, copied into `prometheus_client` families on each request."""

from ..gateway.latencies import BUCKETS_MS, Histogram
from ..gateway.node import Gateway
from ..gateway.replicas.evacuations import count_exchanges
from .front import FrontApp

METRIC_PREFIX = 'beechbridge_'


class Families:
    """
    Collector of metric families, in the order in which they are added.

    `prometheus_client` is imported on first use because the import would double the startup time.

    :param families: the families to be exposed
    """

    __slots__ = ('families',)

    def __init__(self):
        self.families: list = []

    def collect(self) -> list:
        """Return the families; the exposition formats call this."""
        return self.families

    def add_gauge(self, name: str, value: float) -> None:
        """Add a gauge without labels."""
        from prometheus_client.core import GaugeMetricFamily

        self.families.append(GaugeMetricFamily(METRIC_PREFIX + name, name, value=value))

    def add_gauges(self, name: str, label: str, values: dict[str, float]) -> None:
        """Add a gauge with one value for each value of a label."""
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(METRIC_PREFIX + name, name, labels=[label])
        self.families.append(family)
        for key, value in values.items():
            family.add_metric([key], value)

    def add_counters(self, values: dict[tuple[str, str], float]) -> None:
        """Add counters, with one family per name and one label per kind."""
        from prometheus_client.core import CounterMetricFamily

        by_name: dict[str, CounterMetricFamily] = {}
        for (name, label), value in sorted(values.items()):
            family = by_name.get(name)
            if family is None:
                metric_name = f'{METRIC_PREFIX}{name}_total'
                family = by_name[name] = CounterMetricFamily(metric_name, name, labels=['kind'])
                self.families.append(family)
            family.add_metric([label] if label else [], value)

    def add_histogram(self, name: str, histogram: Histogram) -> None:
        """Add a histogram, as cumulative counts per upper bound."""
        from prometheus_client.core import GaugeMetricFamily

        buckets = GaugeMetricFamily(f'{METRIC_PREFIX}{name}_bucket', name, labels=['le'])
        self.families.append(buckets)
        cumulative_count = 0
        for bound, count in zip((*BUCKETS_MS, '+Inf'), histogram.counts, strict=True):
            cumulative_count += count
            buckets.add_metric([str(bound)], cumulative_count)
        self.add_gauge(f'{name}_sum', histogram.sum_ms)
        self.add_gauge(f'{name}_count', cumulative_count)


def render_families(families: Families, accepted: str = '') -> tuple[str, bytes]:
    """
    Return the content type and body of metric families.

    :param accepted: the client's `Accept` header
    """
    from prometheus_client.exposition import choose_encoder

    encode, content_type = choose_encoder(accepted)
    return content_type, encode(families)


def render_gateway(core: Gateway, front: FrontApp | None = None) -> tuple[str, bytes]:
    """
    Return the content type and body of the gateway's metrics.

    :param front: server whose memory, connections and refusals are shown, None: without them
    """
    families = Families()
    families.add_counters(core.counters.values)
    if front is not None:
        account = front.memory.account
        families.add_gauges('memory_held_bytes', 'purpose', account.held_bytes)
        families.add_gauge('memory_limit_bytes', account.limit_bytes)
        families.add_gauge('client_connections', len(front.connections.channels))
        families.add_gauge('client_connections_limit', front.connections.limit)
        refusals = front.refusals.counts.copy()
        families.add_counters({('clients_refused', one): n for one, n in refusals.items()})
    gauges = {
        'active_requests': len(core.works),
        'exchanges': len(core.upstreams.exchanges),
        'table_version': core.table.version if core.table else 0,
        'store_revision': core.view.revision,
        'store_reached': int(core.store.is_reached),
        'members': core.fleet.size,
        'replicas': len(core.upstreams.by_id),
        'unreadable_items': len(core.unreadable.current),
        'evacuated_zones': len(core.evacuations.since_ms),
        'evacuated_exchanges': count_exchanges(core),
    }
    for name, value in gauges.items():
        families.add_gauge(name, value)
    for name, histogram in (
        ('exchange_latency_ms', core.latencies),
        ('request_latency_ms', core.request_latencies),
        ('pull_latency_ms', core.pull_latencies),
    ):
        families.add_histogram(name, histogram)
    return render_families(families)
