"""Demonstration of both example deployments on loopback, with three VMs each."""

import statistics
import sys
import time
from pathlib import Path

from .fleet import Fleet, call

EXAMPLES = Path(__file__).parent.parent / 'examples'
VM_COUNT = 3
QUERIES = 60
BATCH_SIZE = 40


class Example:
    """An example deployment and the requests that the demonstration sends to it."""

    __slots__ = ('back_end', 'folder', 'query_class', 'title', 'write_back_end', 'write_key')

    def __init__(self, folder, title, query_class, back_end, write_back_end, write_key):
        self.folder = folder
        self.title = title
        self.query_class = query_class
        self.back_end = back_end
        self.write_back_end = write_back_end
        self.write_key = write_key


DEPLOYMENTS = (
    Example(
        'liftwatch',
        'Midlands Metro Lift Status Authority',
        'passenger-alert',
        'alert-feed',
        'fault-intake',
        'lift-nottingham-station-2',
    ),
    Example(
        'notaries',
        'Van Heerden & Brouwer Notarissen',
        'estate-search',
        'estate-desk',
        'deed-register',
        'deed-2026-1203',
    ),
)


def show(label: str, text: str) -> None:
    """Print one line of the report."""
    print(f'  {label:<22}{text}', flush=True)


def show_entry(fleet: Fleet) -> None:
    """Show the VMs that a caller is told to use."""
    place = fleet.vms[0].vm.place
    _, entry = call(fleet.vms[1].vm.caller_port, 'GET', f'/v1/entry?place={place}')
    names = ', '.join(f'{item["vm"]} ({item["place"]})' for item in entry['addresses'])
    show('entry', f'from {place}: {names}; keep {entry["keep_ms"]} ms')


def show_queries(fleet: Fleet, example: Example) -> None:
    """Send queries in sequence and show their latency and coverage."""
    latencies_ms = []
    complete = 0
    answer = {}
    for number in range(QUERIES):
        port = fleet.vms[number % VM_COUNT].vm.caller_port
        body = {'back_end': example.back_end, 'class': example.query_class, 'limit': 1000}
        start_s = time.perf_counter()
        _, answer = call(port, 'POST', '/v1/query', body)
        latencies_ms.append((time.perf_counter() - start_s) * 1000)
        complete += answer.get('coverage', {}).get('complete', False)
    coverage = answer['coverage']
    show('last query', f'{len(answer["rows"])} rows from snapshot {answer["snapshot"]}')
    show('query coverage', f'{coverage["shards_answered"]} of {coverage["shards_total"]} shards')
    percentiles_ms = statistics.quantiles(latencies_ms, n=100, method='inclusive')
    p50_ms, p99_ms = percentiles_ms[49], percentiles_ms[98]
    show(f'{QUERIES} queries', f'{complete} complete, p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms')


def show_batch(fleet: Fleet, example: Example) -> None:
    """Send a batch of queries and show how many were complete, partial or rejected."""
    query = {'back_end': example.back_end, 'class': example.query_class, 'limit': 5}
    body = {'queries': [query] * BATCH_SIZE}
    start_s = time.perf_counter()
    _, reply = call(fleet.vms[0].vm.caller_port, 'POST', '/v1/queries', body)
    elapsed_ms = (time.perf_counter() - start_s) * 1000
    complete = sum(item.get('coverage', {}).get('complete', False) for item in reply['answers'])
    rejected = sum('failure' in item for item in reply['answers'])
    partial = BATCH_SIZE - complete - rejected
    text = f'{complete} complete, {partial} partial, {rejected} rejected in {elapsed_ms:.0f} ms'
    show(f'batch of {BATCH_SIZE}', text)


def show_ticket(fleet: Fleet, example: Example) -> bool:
    """Send a request with a ticket twice, to two VMs; return whether it ran exactly once."""
    first, second = fleet.vms[0].vm.caller_port, fleet.vms[1].vm.caller_port
    back_end = example.write_back_end
    _, grant = call(first, 'POST', '/v1/tickets', {'back_end': back_end})
    body = {
        'ticket': grant['ticket'],
        'back_end': back_end,
        'key': example.write_key,
        'body': {'reported': True},
    }
    _, outcome = call(first, 'POST', '/v1/requests', body)
    _, retried = call(second, 'POST', '/v1/requests', body)
    (executions,) = fleet.command_back_end(back_end, 'executions')
    runs = sum(executions.values())
    show('request with ticket', f'{example.write_key}: {outcome["outcome"]}')
    show('retry at another VM', f'{retried["outcome"]}; the upstream ran it {runs} time(s)')
    return runs == 1 and outcome['outcome'] == retried['outcome'] == 'done'


def show_load(fleet: Fleet) -> None:
    """Show the load on the upstreams and the share of extra attempts in it."""
    totals = {}
    for process in fleet.vms:
        _, state = call(process.vm.operations_port, 'GET', '/v1/state')
        for name, value in state['counters'].items():
            totals[name] = totals.get(name, 0) + value
    primaries = sum(value for name, value in totals.items() if name.startswith('primaries.'))
    retries = sum(value for name, value in totals.items() if name.startswith('retries.'))
    extra = totals.get('hedges', 0) + retries
    share = 100 * extra / max(1, primaries)
    sent = totals.get('exchanges.ShardQuery', 0)
    show(
        'sub-requests',
        f'{primaries} primaries, {extra} extra ({share:.1f}%), {sent} sent in total',
    )
    show('connections opened', str(totals.get('connections_opened', 0)))


def run_example(example: Example) -> bool:
    """Run one deployment; return whether the request ran once and all VMs stopped cleanly."""
    print(f'\n{example.title}', flush=True)
    start_s = time.monotonic()
    fleet = Fleet(EXAMPLES / example.folder, VM_COUNT)
    try:
        fleet.wait_ready()
        show('started', f'{VM_COUNT} VMs, {len(fleet.rows)} stand-in replicas')
        show_entry(fleet)
        show_queries(fleet, example)
        show_batch(fleet, example)
        ran_once = show_ticket(fleet, example)
        show_load(fleet)
        statuses = fleet.stop()
        seconds = time.monotonic() - start_s
        show('stopped', f'exit statuses {statuses} after {seconds:.0f} s in total')
        return ran_once and not any(statuses)
    finally:
        fleet.close()


def main() -> int:
    """Run both deployments."""
    results = [run_example(example) for example in DEPLOYMENTS]
    print('\nall checks passed' if all(results) else '\na check failed, see above')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
