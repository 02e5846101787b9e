"""Daemons on real sockets in the test process, with the demo platform and upstreams."""

import http.client
import time

import msgspec

from beechbridge.daemon.server import Daemon
from beechbridge.daemon.settings import LimitSettings, PlatformSettings, Settings, VmSettings
from beechbridge.document import Document, check_document
from beechbridge.models import Vm
from demo.platform import PlatformServer
from demo.upstream import Behaviour, Index, ReplicaServer

from .utils import make_entries

HOST = '127.0.0.1'
WAIT_S = 30.0
LIMITS = LimitSettings(ticket_keep_ms=1000, caller_threads=16, upstream_threads=64)


class Deployment:
    def __init__(self, names=('v1',), services=3, limits=LIMITS, behave=None, **rules):
        self.platform = PlatformServer()
        self.platform.start()
        self.limits = limits
        entries = make_entries(services=services, **rules)
        entries['fleet'] = {'entry_keep_ms': 500}
        configuration = check_document(Document(1, entries))
        back_end = configuration.back_ends['b']
        self.index = Index(back_end.shard_maps, 60)
        self.replicas = {}
        for name, service in back_end.services.items():
            for number, replica in enumerate(service.replicas):
                behaviour = Behaviour(service_ms=1.0)
                server = ReplicaServer(self.index, name, 2, 25, 0, behaviour, seed=number)
                server.start()
                self.replicas[replica.replica_id] = server
                replica_entry = entries[f'service/b/{name}']['replicas'][number]
                replica_entry['port'] = server.port
        self.entries = entries
        self.platform.publish(Document(1, entries))
        self.daemons = {}
        for name in names:
            self.add_daemon(name)
        for daemon in self.daemons.values():
            daemon.start()
        self.wait_until_ready()

    def add_daemon(self, name):
        vm = VmSettings(name, 'p', HOST, 0, 0, 0)
        settings = Settings(vm, PlatformSettings(HOST, self.platform.port), self.limits)
        daemon = Daemon(settings)
        ports = (daemon.caller_port, daemon.peers.port, daemon.operations_port)
        self.platform.list_vm(Vm(name, 'p', HOST, *ports))
        self.daemons[name] = daemon
        return daemon

    def wait_until_ready(self):
        def is_ready():
            for daemon in self.daemons.values():
                core = daemon.core
                names = core.membership.serving_names(core.now_ms)
                if not core.is_ready() or len(names) < len(self.daemons):
                    return False
            return True

        wait_for(is_ready)

    def call(self, method, path, body=None, name='v1', operations=False):
        daemon = self.daemons[name]
        port = daemon.operations_port if operations else daemon.caller_port
        return call(port, method, path, body)

    def query(self, name='v1', **fields):
        return self.call('POST', '/v1/query', {'back_end': 'b', 'class': 'c', **fields}, name)

    def set_fault(self, fault):
        for server in self.replicas.values():
            server.behaviour.fault = fault

    def close(self):
        for daemon in self.daemons.values():
            daemon.close()
        for server in self.replicas.values():
            server.shutdown()
            server.server_close()
        self.platform.shutdown()
        self.platform.server_close()


def call(port, method, path, body=None):
    """Send one HTTP request; a body of bytes is sent unchanged, any other as JSON."""
    client = http.client.HTTPConnection(HOST, port, timeout=WAIT_S)
    payload = body if isinstance(body, (bytes, type(None))) else msgspec.json.encode(body)
    try:
        client.request(method, path, payload)
        response = client.getresponse()
        content = response.read()
    finally:
        client.close()
    if 'json' in response.headers.get('Content-Type', ''):
        content = msgspec.json.decode(content)
    return response.status, content


def wait_for(condition):
    """Wait until a condition holds; only a defect makes this reach its limit of `WAIT_S`."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f'condition did not hold within {WAIT_S:.0f} s')
        time.sleep(0.01)
