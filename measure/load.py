"""Open-loop load generator: callers that choose VMs by the entry endpoint, and their results."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from demo.fleet import call

CALLER_THREADS = 500
CALLERS = 16
CALL_SLACK_MS = 30.0
"""Allowance beyond the deadline for the round trip to the VM on loopback."""


class Call:
    """
    One planned request.

    :param at_s: scheduled time in seconds, from the start of the load
    :param hard_ms: hard deadline in milliseconds
    :param key: key of a non-idempotent request, or None for a query
    """

    __slots__ = ('at_s', 'caller', 'hard_ms', 'key', 'query_class', 'urgency')

    def __init__(
        self,
        at_s: float,
        query_class: str,
        urgency: int,
        hard_ms: int,
        caller: int,
        key: str | None = None,
    ):
        self.at_s = at_s
        self.query_class = query_class
        self.urgency = urgency
        self.hard_ms = hard_ms
        self.caller = caller
        self.key = key


class Result:
    """
    Result of one request.

    :param latency_ms: time from its scheduled time to its complete answer
    :param status: HTTP status, or 0 if the connection failed after the request was sent
    :param share: share of shards that answered
    :param is_cut_off: whether the connection failed after the request was sent
    :param has_mixed_snapshots: whether a partial answer is not from the answer's snapshot
    :param false_coverage: whether the coverage differs from the partial answers in the answer
    """

    __slots__ = (
        'at_s',
        'call',
        'executed',
        'false_coverage',
        'has_mixed_snapshots',
        'is_cut_off',
        'latency_ms',
        'outcome',
        'reason',
        'request_id',
        'share',
        'snapshot',
        'status',
        'ticket_number',
    )

    def __init__(self, call: Call):
        self.call = call
        self.at_s = call.at_s
        self.latency_ms = 0.0
        self.status = 0
        self.is_cut_off = False
        self.reason = ''
        self.executed = ''
        self.share = 0.0
        self.has_mixed_snapshots = False
        self.false_coverage = False
        self.request_id = ''
        self.snapshot = 0
        self.outcome = ''
        self.ticket_number = ''

    @property
    def is_in_time(self) -> bool:
        """Return whether the request was answered by its deadline."""
        return self.status == 200 and self.latency_ms <= self.call.hard_ms + CALL_SLACK_MS


class EntryCache:
    """Cached answer of the entry endpoint for one caller."""

    __slots__ = ('cached_ports', 'caller', 'expiry_s', 'lock', 'ports')

    def __init__(self, caller: int, ports: list[int]):
        self.caller = caller
        self.ports = ports
        self.cached_ports: list[int] = []
        self.expiry_s = 0.0
        self.lock = threading.Lock()

    def get_ports(self) -> list[int]:
        """Return the ports of the VMs to use, best first, refreshed once expired."""
        with self.lock:
            if time.monotonic() >= self.expiry_s:
                self.refresh()
            return self.cached_ports

    def refresh(self) -> None:
        """Refresh the ports from the first reachable VM."""
        for port in [*self.cached_ports, *self.ports]:
            try:
                status, entry = call(port, 'GET', f'/v1/entry?caller=caller-{self.caller}')
            except OSError:
                continue
            if status != 200 or not entry['addresses']:
                continue
            self.cached_ports = [
                int(item['address'].rpartition(':')[2]) for item in entry['addresses']
            ]
            self.expiry_s = time.monotonic() + entry['keep_ms'] / 1000.0
            return


class LoadGenerator:
    """Makes planned calls at their scheduled times and collects their results."""

    def __init__(self, back_end: str, ports: list[int]):
        self.back_end = back_end
        self.ports = ports
        self.caches = [EntryCache(number, ports) for number in range(CALLERS)]
        self.results: list[Result] = []

    def run(self, calls: list[Call]) -> list[Result]:
        """Make all calls, each at its scheduled time, and return their results."""
        start_s = time.monotonic()
        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            futures = []
            for planned in calls:
                delay_s = start_s + planned.at_s - time.monotonic()
                if delay_s > 0:
                    time.sleep(delay_s)
                futures.append(executor.submit(self.make_call, planned, start_s))
            return [future.result() for future in futures]

    def make_call(self, planned: Call, start_s: float) -> Result:
        """Make one call and return its result."""
        result = Result(planned)
        if planned.key is not None:
            self.submit(planned, result)
        else:
            self.query(planned, result)
        result.latency_ms = (time.monotonic() - start_s - planned.at_s) * 1000.0
        return result

    def query(self, planned: Call, result: Result) -> None:
        """Send one query to the best reachable VM."""
        body = {'back_end': self.back_end, 'class': planned.query_class, 'limit': 100_000}
        answer = self.post(planned, '/v1/query', body, result)
        if answer is None:
            return
        result.request_id = answer['request_id']
        if 'failure' in answer:
            record_failure(answer, result)
            coverage = answer['failure'].get('coverage')
        else:
            coverage = answer['coverage']
            check_answer(answer, result)
        if coverage is not None:
            result.share = coverage['shards_answered'] / coverage['shards_total']

    def submit(self, planned: Call, result: Result) -> None:
        """Obtain a ticket and submit the request, retrying at other VMs until it is done."""
        grant = self.post(planned, '/v1/tickets', {'back_end': self.back_end}, result)
        if grant is None or 'failure' in grant:
            if grant is not None:
                record_failure(grant, result)
            return
        result.ticket_number = grant['ticket'].rpartition(':')[2]
        body = {
            'ticket': grant['ticket'],
            'back_end': self.back_end,
            'key': planned.key,
            'deadline_ms': planned.hard_ms,
        }
        for port in self.caches[planned.caller].get_ports():
            try:
                result.status, answer = call(port, 'POST', '/v1/requests', body)
            except OSError:
                continue
            result.outcome = answer['outcome']
            if result.outcome == 'done':
                return
            record_failure(answer, result)

    def post(self, planned: Call, path: str, body: dict, result: Result) -> dict | None:
        """Post to the best reachable VM; return None if no complete answer was received."""
        for port in self.caches[planned.caller].get_ports():
            try:
                result.status, answer = call(port, 'POST', path, body)
            except ConnectionRefusedError:
                continue
            except Exception as error:
                result.status = 0
                result.is_cut_off = True
                result.reason = type(error).__name__
                return None
            return answer
        result.reason = 'no VM reachable'
        return None


def record_failure(answer: dict, result: Result) -> None:
    """Record why a request failed."""
    result.reason = answer['failure']['reason']
    result.executed = answer['failure']['executed']


def check_answer(answer: dict, result: Result) -> None:
    """Check an answer against the snapshot number that stand-ins put into each partial answer."""
    result.snapshot = answer['snapshot']
    snapshots = [row['value']['snapshot'] for row in answer['rows'] if row['key'][0] == '~']
    result.has_mixed_snapshots = any(snapshot != answer['snapshot'] for snapshot in snapshots)
    coverage = answer['coverage']
    answered_matches = len(snapshots) == coverage['shards_answered']
    missing_matches = len(coverage['missing']) == coverage['shards_total'] - len(snapshots)
    result.false_coverage = not (answered_matches and missing_matches)


def plan_calls(
    classes: list[tuple[str, int, int]],
    phases: list[tuple[float, float]],
    rng: random.Random,
) -> list[Call]:
    """
    Plan calls with exponentially distributed intervals.

    :param classes: name, urgency and hard deadline in milliseconds of each class, chosen uniformly
    :param phases: duration in seconds and calls per second of each phase
    """
    calls = []
    phase_start_s = 0.0
    for duration_s, rate in phases:
        at_s = phase_start_s + rng.expovariate(rate)
        while at_s < phase_start_s + duration_s:
            name, urgency, hard_ms = rng.choice(classes)
            calls.append(Call(at_s, name, urgency, hard_ms, rng.randrange(CALLERS)))
            at_s += rng.expovariate(rate)
        phase_start_s += duration_s
    return calls
