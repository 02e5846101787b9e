"""One process of the gateway with stand-ins for store and replicas, and crowds of clients."""

import asyncio
import contextlib
import http.client
import os
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from beechbridge.record import Record
from soak.standins import Server, Store, respond

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = 'crowd.example'
PORTS = {'front': 18204, 'ready': 18208, 'control': 18206, 'directory': 18200, 'peer': 18280}
METRICS_PORT = 9464


def find_host():
    """
    Return a loopback address whose ports are free: another run may use some of them.

    The third byte differs by process, since two runs that begin at once see the same free ports.
    """
    network = 1 + os.getpid() % 250
    for number in range(1, 250):
        host = f'127.9.{network}.{number}'
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in (*PORTS.values(), METRICS_PORT):
                probe = stack.enter_context(socket.socket())
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((host, port))
            return host
    raise AssertionError('no loopback address has free ports')


HOST = find_host()
LOOKUP = f'/lookup?name={HOST_NAME}&region=brum&zone=brum-a'
PLACES = {
    'route': ('front', '/work/slow'),
    'large': ('front', '/work/large'),
    'no route': ('front', '/nowhere/x'),
    'readiness': ('ready', '/readyz'),
    'directory': ('directory', LOOKUP),
    'control': ('control', '/metrics'),
}
"""Port and path of the requests of a crowd."""

LARGE_BYTES = 1024 * 1024
SLOW_S = 0.5
START_S = 20.0
ANSWER_S = 120.0
"""Time after which a process is taken to hang: far more than it needs on a busy machine."""

SETTLE_S = 1.0
SETTLE_STEP_S = 0.1
IDLE_TICKS = 2
"""Processor time in a step, in hundredths of a second, below which a process has settled."""

SETTINGS = """
nodeName = "vm-0"
role = "gateway"
ip = "{host}"
zone = "brum-a"
region = "brum"
peerPortRange = [{peer}, {peer}]
seeds = ["{host}:{control}"]
[zones]
brum-a = "brum"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}
[platform]
addr = "{store}"
"""


class QuickReplica(Server):
    """A replica that answers by path: slowly, with a large body, or at once."""

    async def answer(self, message, reader):
        target = message.first_line.split()[1]
        if target == '/work/slow':
            await asyncio.sleep(SLOW_S)
        body = b'x' * (LARGE_BYTES if target == '/work/large' else 4)
        request_id = message.headers.get('beechbridge-request-id', '')
        headers = {'Beechbridge-Server-Stamp': 's1', 'Beechbridge-Request-Id': request_id}
        return respond(200, {**headers, 'Keep-Alive': 'timeout=10'}, body)


class CrowdedVm:
    """A process with lowered limits, the stand-ins that it uses, and a sampler of descriptors."""

    def __init__(self, memory_mb, max_fds):
        self.folder = tempfile.TemporaryDirectory(prefix='beechbridge-crowd-')
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.peak_fds = 0
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store = Store(HOST)
        self.servers = [self.store, QuickReplica(HOST), QuickReplica(HOST)]
        for server in self.servers:
            asyncio.run_coroutine_threadsafe(server.start(), self.loop).result()
        self.loop.call_soon_threadsafe(self.publish)
        self.process = self.start()
        self.is_closed = False
        self.sampler = threading.Thread(target=self.sample, daemon=True)
        self.sampler.start()

    def publish(self):
        common = {'host': HOST_NAME, 'attempts': 1, 'goalMs': 4000, 'timeoutMs': 4000}
        routes = []
        for priority, name in enumerate(('plain', 'work')):
            route = {'name': name, 'prefix': f'/{name}/', 'service': name, 'priority': priority}
            routes.append({**common, **route, 'kind': 'idempotent'})
            address = f'{HOST}:{self.servers[1 + priority].port}'
            entry = {'service': name, 'addr': address, 'zone': 'brum-a', 'version': '1'}
            state = {'slots': 64, 'state': 'ready', 'coldLeftMs': 0, 'seq': 1, 'born': 1}
            self.store.put(f'servers/{name}', {**entry, **state})
        services = [{'name': name, 'maxConns': 64} for name in ('plain', 'work')]
        limits = {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 30000, 'idleMs': 60000}
        table = {'version': 1, 'routes': routes, 'services': services, 'limits': limits}
        self.store.put('op/config', table)

    def start(self):
        path = Path(self.folder.name) / 'vm.toml'
        store = f'{HOST}:{self.store.port}'
        limits = {'memory_mb': self.memory_mb, 'max_fds': self.max_fds}
        path.write_text(SETTINGS.format(host=HOST, store=store, **limits, **PORTS))
        packages = os.pathsep.join(one for one in sys.path if one.endswith('site-packages'))
        environ = {**os.environ, 'BEECHBRIDGE_SETTINGS': str(path), 'PYTHONPATH': packages}
        with (Path(self.folder.name) / 'vm.log').open('ab') as log:
            command = [sys.executable, '-S', '-m', 'beechbridge.platform']
            return subprocess.Popen(command, cwd=ROOT, env=environ, stdout=log, stderr=log)

    def sample(self):
        while not self.is_closed:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f'/proc/{self.process.pid}/fd'))
                self.peak_fds = max(self.peak_fds, count)
            time.sleep(0.01)

    def is_alive(self):
        return self.process.poll() is None

    def peak_mb(self):
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+) kB', text)[1]) / 1024.0

    def read_log(self):
        return (Path(self.folder.name) / 'vm.log').read_text()

    def settle(self):
        """Wait until the process no longer works on what was sent to it, within limits."""
        limit_s = time.monotonic() + SETTLE_S
        before = self.count_ticks()
        while time.monotonic() < limit_s:
            time.sleep(SETTLE_STEP_S)
            after = self.count_ticks()
            if after - before < IDLE_TICKS:
                return
            before = after

    def count_ticks(self):
        fields = Path(f'/proc/{self.process.pid}/stat').read_text().rpartition(')')[2].split()
        return int(fields[11]) + int(fields[12])

    def send_ordinary(self, limit_s=ANSWER_S, headers=None, body=b'x'):
        """Send an ordinary request until it is served; return its last status, 0 if none."""
        status = 0
        limit_s += time.monotonic()
        while status != 200 and time.monotonic() < limit_s and self.is_alive():
            client = http.client.HTTPConnection(HOST, PORTS['front'], timeout=5.0)
            with contextlib.suppress(OSError, http.client.HTTPException):
                fixed = {'Host': HOST_NAME, 'Beechbridge-Request-Id': 'ordinary'}
                client.request('POST', '/plain/x', body, {**fixed, **(headers or {})})
                status = client.getresponse().status
            client.close()
            time.sleep(0.02)
        return status

    def close(self):
        self.is_closed = True
        self.sampler.join()
        if self.is_alive():
            self.process.kill()
        self.process.wait()
        asyncio.run_coroutine_threadsafe(self.stop_servers(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
        self.folder.cleanup()

    async def stop_servers(self):
        for server in self.servers:
            server.stop()
            server.reserved.close()
        tasks = [one for one in asyncio.all_tasks() if one is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # The transports are closed in the loop's next round.
        await asyncio.sleep(0)


class Crowd(Record):
    """
    Clients that send the same bytes and keep their connections open.

    :param data: what each sends to a place, given its path
    :param step_bytes: size of the pieces in which it is sent, in turn with the other clients
    :param read_bytes: bytes of the answer that each reads, in pieces of `step_bytes`
    """

    __slots__ = ('count', 'data', 'name', 'read_bytes', 'step_bytes')

    def __init__(self, name, count, data, step_bytes=1 << 20, read_bytes=0):
        self.name = name
        self.count = count
        self.data = data
        self.step_bytes = step_bytes
        self.read_bytes = read_bytes

    def send(self, place):
        """Send everything that the server takes; return the connections, to be closed."""
        port, path = PLACES[place]
        data = self.data(path)
        left = {}
        for _ in range(self.count):
            sock = socket.socket()
            if self.read_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            sock.connect_ex((HOST, PORTS[port]))
            left[sock] = 0
        socks = list(left)
        take_turns(left, lambda sock, start: self.send_piece(sock, data, start))
        take_turns(dict.fromkeys(socks, 0) if self.read_bytes else {}, self.read_piece)
        return socks

    def send_piece(self, sock, data, start):
        """Send a piece from a position; return the next one, None at the end."""
        start += sock.send(data[start : start + self.step_bytes])
        return start if start < len(data) else None

    def read_piece(self, sock, start):
        """Read a piece; return the number of bytes read so far, None at the end."""
        start += len(sock.recv(min(self.step_bytes, self.read_bytes - start))) or self.read_bytes
        return start if start < self.read_bytes else None


STALL_S = 0.2
"""Time without progress of any client after which the server is taken not to take more."""


def take_turns(left, take):
    """Let each client act in turn until all are done, refused, or none gets further."""
    moved_s = time.monotonic()
    while left and time.monotonic() < moved_s + STALL_S:
        has_moved = False
        for sock, position in list(left.items()):
            try:
                following = take(sock, position)
            except BlockingIOError:
                continue
            except OSError:
                # A client that is not connected yet stays; one that was turned away leaves.
                is_refused = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or position
                following = None if is_refused else position
                if following is not None:
                    continue
            has_moved = True
            left[sock] = following
            if following is None:
                del left[sock]
        if has_moved:
            moved_s = time.monotonic()
        else:
            time.sleep(0.005)


def describe_vm(vm):
    """Return what was measured, for messages and the record of a run."""
    return msgspec.json.encode(
        {'peak_mb': round(vm.peak_mb(), 1) if vm.is_alive() else None, 'peak_fds': vm.peak_fds}
    ).decode()
