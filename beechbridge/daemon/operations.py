"""WSGI application of the operators' interface: metrics, state dump and health."""

import msgspec
from aioprometheus import Counter, Gauge, Registry, render

from .driver import Driver

METRIC_PREFIX = 'beechbridge_'


class OperationsApp:
    """Serves `/metrics`, `/v1/state` and `/v1/health`."""

    __slots__ = ('driver', 'peer_counts')

    def __init__(self, driver: Driver, peer_counts: dict):
        self.driver = driver
        self.peer_counts = peer_counts

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Serve one request."""
        serve = OPERATIONS.get(environ.get('PATH_INFO', ''))
        if serve is None:
            known = ', '.join(sorted(OPERATIONS))
            body = msgspec.json.encode({'detail': f'known paths: {known}'})
            start_response('404 Not Found', [('Content-Type', 'application/json')])
            return [body]
        status, content_type, body = serve(self, environ)
        start_response(status, [('Content-Type', content_type)])
        return [body]

    def show_state(self, environ: dict) -> tuple[str, str, bytes]:
        """Dump the process's state."""
        state = self.driver.describe()
        state['peer_link'] = dict(self.peer_counts)
        return '200 OK', 'application/json', msgspec.json.encode(state)

    def show_health(self, environ: dict) -> tuple[str, str, bytes]:
        """Tell whether new work is taken."""
        core = self.driver.core
        with self.driver.lock:
            refusal = core.refuse_if_not_ready()
        if refusal is None:
            return '200 OK', 'application/json', b'{"ready":true}'
        body = {'ready': False, 'reason': refusal.reason.value, 'detail': refusal.detail}
        return '503 Service Unavailable', 'application/json', msgspec.json.encode(body)

    def show_metrics(self, environ: dict) -> tuple[str, str, bytes]:
        """Render the counters and gauges."""
        accepted = tuple(environ.get('HTTP_ACCEPT', 'text/plain').split(','))
        body, headers = render(self.build_registry(), accepted)
        return '200 OK', headers['Content-Type'], body

    def build_registry(self) -> Registry:
        """Copy the core's counters and gauges into collectors."""
        registry = Registry()
        with self.driver.lock:
            core = self.driver.core
            values = dict(core.counters.values)
            gauges = {
                'active_queries': len(core.plans),
                'configuration_generation': core.configuration.generation,
                'connections_open': sum(
                    state.pool.open_count(core.now_ms) for state in core.upstreams.states.values()
                ),
                'replicas_draining': sum(
                    state.is_draining for state in core.upstreams.states.values()
                ),
                'replicas_ejected': sum(
                    state.is_ejected for state in core.upstreams.states.values()
                ),
                'vms_serving': len(core.membership.serving_names(core.now_ms)),
            }
        counters: dict[str, Counter] = {}
        for (name, label), value in sorted(values.items()):
            metric_name = f'{METRIC_PREFIX}{name}_total'
            counter = counters.get(name)
            if counter is None:
                counter = counters[name] = Counter(metric_name, name, registry=registry)
            counter.set({'kind': label} if label else {}, value)
        for name, value in gauges.items():
            Gauge(METRIC_PREFIX + name, name, registry=registry).set({}, value)
        return registry


OPERATIONS = {
    '/metrics': OperationsApp.show_metrics,
    '/v1/state': OperationsApp.show_state,
    '/v1/health': OperationsApp.show_health,
}
