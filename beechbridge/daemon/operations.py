"""WSGI application for operators: metrics, state dump and health check."""

import msgspec

from .driver import Driver
from .metrics import Families, render_families


class OperationsApp:
    """
    Serves `/metrics`, `/v1/state` and `/v1/health`.

    :param driver: driver of the core whose state is shown
    :param peer_counts: message counters of the peer link
    """

    __slots__ = ('driver', 'peer_counts')

    def __init__(self, driver: Driver, peer_counts: dict):
        self.driver = driver
        self.peer_counts = peer_counts

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Handle one HTTP request."""
        handler = HANDLERS.get(environ.get('PATH_INFO', ''))
        if handler is None:
            known = ', '.join(sorted(HANDLERS))
            body = msgspec.json.encode({'detail': f'unknown path; use one of {known}'})
            start_response('404 Not Found', [('Content-Type', 'application/json')])
            return [body]
        status, content_type, body = handler(self, environ)
        start_response(status, [('Content-Type', content_type)])
        return [body]

    def show_state(self, environ: dict) -> tuple[str, str, bytes]:
        """Return a dump of the state as JSON."""
        state = self.driver.describe()
        state['peer_link'] = dict(self.peer_counts)
        return '200 OK', 'application/json', msgspec.json.encode(state)

    def show_health(self, environ: dict) -> tuple[str, str, bytes]:
        """Return 200 if new requests are accepted, else 503 with the reason."""
        core = self.driver.core
        with self.driver.lock:
            failure = core.reject_if_not_ready()
        if failure is None:
            return '200 OK', 'application/json', b'{"ready":true}'
        body = {'ready': False, 'reason': failure.reason.value, 'detail': failure.detail}
        return '503 Service Unavailable', 'application/json', msgspec.json.encode(body)

    def show_metrics(self, environ: dict) -> tuple[str, str, bytes]:
        """Return the counters and gauges in the format that the client accepts."""
        accepted = environ.get('HTTP_ACCEPT', '')
        content_type, body = render_families(self.collect_families(), accepted)
        return '200 OK', content_type, body

    def collect_families(self) -> Families:
        """Copy the core's counters and gauges to new metric families."""
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
        families = Families()
        families.add_counters(values)
        for name, value in gauges.items():
            families.add_gauge(name, value)
        return families


HANDLERS = {
    '/metrics': OperationsApp.show_metrics,
    '/v1/state': OperationsApp.show_state,
    '/v1/health': OperationsApp.show_health,
}
