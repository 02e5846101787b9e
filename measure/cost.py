"""
Benchmarks CPU time and memory of one daemon against a bare loop over the same libraries.

Both send the same sub-requests to the same stand-in replicas, one after the other in one run.
"""

import http.client
import os
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import local

import msgspec

from beechbridge.messages import Reply
from demo.fleet import HOST, Fleet, call

FOLDER = Path(__file__).parent.parent / 'examples' / 'liftwatch'
BACK_END = 'alert-feed'
QUERY_CLASS = 'passenger-alert'
QUERIES = 400
CALLERS = 4
IDLE_S = 20.0
MAX_RATIO = 2.0
MAX_IDLE_MB = 60.0
MAX_IDLE_SHARE = 0.01

SHARD_HEADERS = {
    'X-Request-Id': 'bare',
    'X-Attempt-Id': 'bare',
    'X-Back-End': BACK_END,
    'X-Snapshot': '1',
    'X-Deadline-Ms': '1000',
}


def cpu_s(process_id: int) -> float:
    """Return the CPU time of a process, in seconds."""
    fields = Path(f'/proc/{process_id}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


class BareLoop:
    """Baseline: sub-requests over `http.client` in a thread pool, without any policy."""

    __slots__ = ('connections', 'decoder', 'targets')

    def __init__(self, fleet: Fleet):
        configuration = fleet.build(1)
        shards = configuration.entries[f'map/{BACK_END}/1']['shards']
        ports = {row.service: row.port for row in fleet.rows}
        self.targets = [(ports[shard['service']], shard) for shard in shards]
        self.connections = local()
        self.decoder = msgspec.json.Decoder(Reply)

    def send(self, number: int) -> None:
        """Send one sub-request and read its reply."""
        port, shard = self.targets[number % len(self.targets)]
        by_port = self.connections.__dict__
        client = by_port.get(port)
        if client is None:
            client = by_port[port] = http.client.HTTPConnection(HOST, port)
        headers = {
            **SHARD_HEADERS,
            'X-Shard': shard['shard_id'],
            'X-Range': f'{shard["low"]}-{shard["high"]}',
        }
        client.request('POST', '/v1/shard-query', b'{}', headers)
        self.decoder.decode(client.getresponse().read())

    def run(self) -> float:
        """Return the CPU time per sub-request, in microseconds."""
        with ThreadPoolExecutor(2) as executor:
            list(executor.map(self.send, range(len(self.targets) * 10)))
            count = QUERIES * len(self.targets)
            start_s = time.process_time()
            list(executor.map(self.send, range(count)))
            return (time.process_time() - start_s) / count * 1e6


def measure_daemon(fleet: Fleet) -> float:
    """Return the daemon's CPU time per sub-request, in microseconds."""
    vm = fleet.vms[0]
    body = {'back_end': BACK_END, 'class': QUERY_CLASS}

    def send_query(_: int) -> None:
        call(vm.vm.caller_port, 'POST', '/v1/query', body)

    def count_exchanges() -> int:
        _, state = call(vm.vm.operations_port, 'GET', '/v1/state')
        return state['counters'].get('exchanges.ShardQuery', 0)

    with ThreadPoolExecutor(CALLERS) as executor:
        list(executor.map(send_query, range(20)))
        before = count_exchanges()
        start_s = cpu_s(vm.process.pid)
        list(executor.map(send_query, range(QUERIES)))
        used_s = cpu_s(vm.process.pid) - start_s
    return used_s / (count_exchanges() - before) * 1e6


def print_result(label: str, value: str, is_within: bool) -> bool:
    """Print one line of the report; return whether the value is within its bound."""
    print(f'{label:<46}{value:>14}  {"within" if is_within else "OUTSIDE"} its bound', flush=True)
    return is_within


def measure(wait: Callable[[float], None] = time.sleep) -> bool:
    """Run all measurements; return whether each is within its bound."""
    fleet = Fleet(FOLDER, 1)
    try:
        fleet.wait_ready()
        process_id = fleet.vms[0].process.pid
        wait(5.0)
        start_s = cpu_s(process_id)
        wait(IDLE_S)
        idle_share = (cpu_s(process_id) - start_s) / IDLE_S
        idle_mb = resident_mb(process_id)
        bare_us = BareLoop(fleet).run()
        tier_us = measure_daemon(fleet)
        loaded_mb = resident_mb(process_id)
    finally:
        fleet.close()
    print(f'bare loop: {bare_us:.0f} us a sub-request; tier: {tier_us:.0f} us a sub-request')
    print(f'resident after the load: {loaded_mb:.1f} MB')
    ratio = tier_us / bare_us
    results = [
        print_result('processor time, tier over bare loop', f'{ratio:.2f}', ratio <= MAX_RATIO),
        print_result('idle, resident', f'{idle_mb:.1f} MB', idle_mb <= MAX_IDLE_MB),
        print_result('idle, share of a core', f'{idle_share:.2%}', idle_share <= MAX_IDLE_SHARE),
    ]
    return all(results)


if __name__ == '__main__':
    sys.exit(0 if measure() else 1)
