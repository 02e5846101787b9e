"""Recorded traffic of callers and replicas, and the checks of what the product promises."""

import hashlib
import math
from collections import Counter, defaultdict

from .rules import Rules

DRAIN_S = 3.0
APPLY_S = 3.0
SLACK_S = 1.0
"""Tolerance for messages in flight and for delays on a busy machine."""

BUDGET_RATIO = 0.2
BUDGET_EXTRA = 56
BUDGET_WINDOW_S = 10.0
RECORD_BYTES = 16
LIMIT_STABLE_S = 4.0
"""Time after a replica first named a limit from which it must be kept."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
DEADLY_STABLE_S = 4.0
"""Time after the third end of a replica from which its request must be contained."""

MAX_DEADLY_ARRIVALS = 3
QUARANTINED = b'"quarantined"'
LIMIT_EXTRA = 5
LOSS_SLACK_S = 0.2
"""Age from which a request counts as read."""

LONG_REQUEST_S = 3.0
LONG_REQUEST_SLACK_S = 0.5
"""Time after a SIGTERM until which a VM may take requests that outlast it, and its tolerance."""

RESTART_S = 5.0

CONDENSED_BYTES = 65_536
"""Size above which only the hash of a body is kept."""


def condense(body: bytes) -> bytes:
    """Return a body, or its hash if it is large."""
    return body if len(body) <= CONDENSED_BYTES else hashlib.sha256(body).digest()


class Stop:
    """A planned stop of a VM."""

    __slots__ = ('exited_s', 'signalled_s')

    def __init__(self, signalled_s: float, exited_s: float = math.inf):
        self.signalled_s = signalled_s
        self.exited_s = exited_s


class Arrival:
    """
    A request that reached a replica.

    :param has_run: whether the replica did not reject it
    :param ended_s: when the replica had done its work, infinity if it broke off
    """

    __slots__ = ('at_s', 'ended_s', 'has_run', 'replica', 'request_id', 'service', 'vm')

    def __init__(
        self, at_s: float, request_id: str, replica: str, service: str, vm: str, has_run: bool
    ):
        self.at_s = at_s
        self.request_id = request_id
        self.replica = replica
        self.service = service
        self.vm = vm
        self.has_run = has_run
        self.ended_s = math.inf


class Part:
    """A successful response of a replica, kept by its signature."""

    __slots__ = ('body', 'request_id', 'service')

    def __init__(self, request_id: str, service: str, body: bytes):
        self.request_id = request_id
        self.service = service
        self.body = condense(body)


class NamedLimit:
    """A limit that a replica named for a while."""

    __slots__ = ('limit_per_s', 'replica', 'since_s', 'until_s')

    def __init__(self, replica: str, limit_per_s: float, since_s: float, until_s: float):
        self.replica = replica
        self.limit_per_s = limit_per_s
        self.since_s = since_s
        self.until_s = until_s


class CallerRequest:
    """
    A request of a caller and its response; `status` is None if there was no whole response.

    :param sent_s: when the caller began to connect or to send
    :param written_s: when all of the request was sent, infinity if it never was
    :param read_s: time over which the caller reads the body of the response
    :param has_left: whether the caller closed the connection while it waited
    :param is_overdue: whether it did so only long after its time limit
    """

    __slots__ = (
        'body',
        'ended_s',
        'has_left',
        'headers',
        'is_overdue',
        'kind',
        'read_s',
        'request_id',
        'sent_s',
        'status',
        'timeout_s',
        'vm',
        'written_s',
    )

    def __init__(self, request_id: str, kind: str, vm: str, sent_s: float):
        self.request_id = request_id
        self.kind = kind
        self.vm = vm
        self.sent_s = sent_s
        self.ended_s = sent_s
        self.written_s = math.inf
        self.timeout_s = math.inf
        self.read_s = 0.0
        self.has_left = False
        self.is_overdue = False
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b''


class Ledger:
    """
    Traffic and faults of one run.

    :param shard_sets: the set of shards of each published configuration
    :param named_limits: limits that replicas have named
    :param left_s: when a replica first said that it leaves, by replica id
    :param deadly_arrivals: time and VM of each arrival of a request that ends replicas, by target
    :param deadly_ends: times at which replicas ended under a request, by target
    :param stops: planned stops by the VM's name
    :param vm_count: number of VMs; each learns what a replica says only from a reply to itself
    :param rules: what is checked of cold replicas, home regions, evacuations and bursts
    :param withdrawn_s: when the store acknowledged a replica's draining or removal, by replica id
    :param frozen_spans: spans in which the soak itself got no processor and saw nothing in time
    :param fault_spans: spans in which an unplanned fault affected a VM, by its name or `all`
    """

    def __init__(self):
        self.arrivals: list[Arrival] = []
        self.parts: dict[str, Part] = {}
        self.requests: list[CallerRequest] = []
        self.shard_sets: list[frozenset[str]] = []
        self.withdrawn_s: dict[str, float] = {}
        self.named_limits: list[NamedLimit] = []
        self.left_s: dict[str, float] = {}
        self.deadly_arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.deadly_ends: dict[str, list[float]] = defaultdict(list)
        self.vm_count = 1
        self.stops: dict[str, list[Stop]] = defaultdict(list)
        self.fault_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.frozen_spans: list[tuple[float, float]] = []
        self.table_acknowledged_s: dict[str, float] = {}
        self.rules = Rules()
        self.min_share = 1.0
        self.top_records = 0

    def had_fault(self, vm: str, since_s: float, until_s: float) -> bool:
        """Return whether a fault affected a VM during a span or shortly before it."""
        faults = [*self.fault_spans.get(vm, ()), *self.fault_spans.get('all', ())]
        for start_s, end_s in (*faults, *self.frozen_spans):
            if start_s - SLACK_S <= until_s and since_s <= end_s + APPLY_S + SLACK_S:
                return True
        return False

    def check(self, include_timing: bool = True) -> list[str]:
        """Return a sentence for every broken promise; promises with a time limit are optional."""
        violations = []
        for request in self.requests:
            if request.status is None:
                continue
            if request.kind == 'gather' and request.status == 200:
                violations.extend(self.check_gather(request))
            if request.kind != 'gather' and request.status == 200:
                violations.extend(self.check_response(request))
        violations.extend(self.check_executions())
        violations.extend(self.check_budget())
        violations.extend(self.check_denied())
        violations.extend(self.check_quarantined())
        if include_timing or not any(self.fault_spans.values()):
            violations.extend(self.check_aborted(include_timing))
        if include_timing:
            violations.extend(self.check_withdrawn())
            violations.extend(self.check_limits())
            violations.extend(self.rules.check(self))
            violations.extend(self.check_left())
            violations.extend(self.check_deadly())
            violations.extend(self.check_routes())
            violations.extend(self.check_taken_late())
        return violations

    def check_gather(self, request: CallerRequest) -> list[str]:
        """Check the parts, coverage and records of a successful gather."""
        name = f'gather {request.request_id}'
        signatures = request.headers.get('beechbridge-part-stamps', '').split(', ')
        parts = []
        for signature in signatures:
            part = self.parts.get(signature)
            if part is None or part.request_id != request.request_id:
                return [f'{name}: signature {signature!r} belongs to no part of this request']
            parts.append(part)
        services = {part.service for part in parts}
        if len(services) != len(parts):
            return [f'{name}: the response contains two parts of one shard']
        missing = int(request.headers.get('beechbridge-missing-parts', 0))
        sets = [shard_set for shard_set in self.shard_sets if services <= shard_set]
        if not any(len(shard_set) == len(services) + missing for shard_set in sets):
            return [
                f'{name}: {len(services)} parts and {missing} '
                'missing match no published set of shards'
            ]
        if len(services) < self.min_share * (len(services) + missing) - 1e-9:
            return [f'{name}: succeeded below the minimum coverage with {missing} shards missing']
        records = []
        for part in parts:
            for start in range(0, len(part.body) - RECORD_BYTES + 1, RECORD_BYTES):
                records.append(part.body[start : start + RECORD_BYTES])
        expected = b''.join(sorted(records, reverse=True)[: self.top_records])
        if request.body != expected:
            return [f'{name}: the body does not hold the largest records of its parts']
        return []

    def check_response(self, request: CallerRequest) -> list[str]:
        """Check that a successful response is the one that a replica signed."""
        part = self.parts.get(request.headers.get('beechbridge-server-stamp', ''))
        if part is None or part.request_id != request.request_id or part.body != request.body:
            return [
                f'{request.kind} {request.request_id}: the response is not what its replica signed'
            ]
        return []

    def check_executions(self) -> list[str]:
        """Check that filings run at most once and that rejected requests have not run."""
        runs = Counter(arrival.request_id for arrival in self.arrivals if arrival.has_run)
        violations = []
        for request in self.requests:
            if request.kind == 'filing' and runs[request.request_id] > 1:
                violations.append(
                    f'filing {request.request_id} was executed '
                    f'{runs[request.request_id]} times instead of at most once'
                )
            if request.status in (429, 503, 408, 421) and runs[request.request_id]:
                violations.append(
                    f'{request.kind} {request.request_id} was rejected but had been executed'
                )
        known = {request.request_id for request in self.requests}
        for arrival in self.arrivals:
            if arrival.request_id not in known:
                violations.append(
                    f'{arrival.replica} received {arrival.request_id!r}, which no caller sent'
                )
        return violations

    def check_withdrawn(self) -> list[str]:
        """Check that replicas get no requests once they have had time to drain."""
        violations = []
        for arrival in self.arrivals:
            withdrawn_s = self.withdrawn_s.get(arrival.replica)
            if (
                withdrawn_s is None
                or arrival.at_s < withdrawn_s + DRAIN_S + SLACK_S
                or not arrival.has_run
            ):
                continue
            if not self.had_fault(arrival.vm, withdrawn_s, arrival.at_s):
                late_s = arrival.at_s - withdrawn_s
                violations.append(
                    f'{arrival.replica} received a request {late_s:.1f} s after it was withdrawn'
                )
        return violations

    def has_any_fault(self, since_s: float, until_s: float) -> bool:
        """Return whether a fault affected some VM during a span or shortly before it."""
        return any(self.had_fault(vm, since_s, until_s) for vm in ('all', *self.fault_spans))

    def check_limits(self) -> list[str]:
        """Check the limits that replicas named, in sliding windows; first requests are free."""
        violations = []
        for limit in self.named_limits:
            times = sorted(one.at_s for one in self.arrivals if one.replica == limit.replica)
            allowed = LIMIT_FACTOR * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
            for start_s in times:
                end_s = min(start_s + LIMIT_WINDOW_S, limit.until_s)
                count = sum(start_s <= at_s < end_s for at_s in times)
                is_in_force = limit.since_s + LIMIT_STABLE_S <= start_s < limit.until_s
                if not is_in_force or count <= allowed + self.vm_count:
                    continue
                if not self.has_any_fault(limit.since_s, end_s):
                    violations.append(
                        f'{limit.replica} received {count} requests in {LIMIT_WINDOW_S} s '
                        f'for a limit of {limit.limit_per_s} a second'
                    )
                    break
        return violations

    def check_left(self) -> list[str]:
        """Check that replicas that said they leave get no more than the VMs' first requests."""
        violations = []
        for replica, left_s in self.left_s.items():
            since_s = left_s + DRAIN_S + SLACK_S
            late = [one for one in self.arrivals if one.replica == replica and one.at_s > since_s]
            if len(late) > self.vm_count and not self.has_any_fault(left_s, late[-1].at_s):
                violations.append(
                    f'{replica} received {len(late)} requests over {DRAIN_S} s after it said '
                    'that it leaves'
                )
        return violations

    def check_deadly(self) -> list[str]:
        """Check that requests that have ended three replicas reach hardly any more."""
        violations = []
        for target, ends in self.deadly_ends.items():
            if len(ends) < 3:
                continue
            third_s = sorted(ends)[2]
            late = []
            for at_s, vm in self.deadly_arrivals[target]:
                is_late = at_s > third_s + DEADLY_STABLE_S + SLACK_S
                if is_late and not self.had_fault(vm, third_s, at_s):
                    late.append(at_s)
            if len(late) > MAX_DEADLY_ARRIVALS:
                violations.append(
                    f'{target} reached replicas {len(late)} times over {DEADLY_STABLE_S} s after '
                    'it had ended the third'
                )
        return violations

    def check_quarantined(self) -> list[str]:
        """Check that only requests that end replicas are turned away for that reason."""
        violations = []
        for request in self.requests:
            if QUARANTINED in request.body and request.kind != 'deadly':
                name = f'{request.kind} {request.request_id}'
                violations.append(f'{name} was turned away though it ends no replica')
        return violations

    def check_budget(self) -> list[str]:
        """Check the retry budget of each service in sliding windows."""
        violations = []
        by_service = defaultdict(list)
        for arrival in self.arrivals:
            by_service[arrival.service].append(arrival)
        for service, arrivals in by_service.items():
            arrivals.sort(key=lambda arrival: arrival.at_s)
            for first in arrivals[::10]:
                span = (first.at_s, first.at_s + BUDGET_WINDOW_S)
                in_window = [one for one in arrivals if span[0] <= one.at_s < span[1]]
                requests = len({one.request_id for one in in_window})
                if len(in_window) - requests > BUDGET_RATIO * requests + BUDGET_EXTRA:
                    violations.append(
                        f'{service}: {len(in_window) - requests} extra attempts '
                        f'for {requests} requests exceed the budget'
                    )
                    break
        return violations

    def check_denied(self) -> list[str]:
        """Check that no request is denied whose route is in every configuration."""
        violations = []
        for request in self.requests:
            if request.status in (400, 401, 403, 404) and request.kind != 'new':
                violations.append(
                    f'{request.kind} {request.request_id} has a configured route '
                    f'but was answered {request.status}'
                )
        return violations

    def check_routes(self) -> list[str]:
        """Check that every VM serves a new route in time."""
        violations = []
        for request in self.requests:
            if request.kind != 'new' or request.status != 404:
                continue
            since_s = self.table_acknowledged_s[request.request_id.partition('.')[0]]
            if request.sent_s < since_s + APPLY_S + SLACK_S:
                continue
            if not self.had_fault(request.vm, since_s, request.sent_s):
                violations.append(
                    f'new route {request.request_id} is still not served after {APPLY_S} s'
                )
        return violations

    def check_aborted(self, include_timing: bool = True) -> list[str]:
        """
        Check that requests get a response if they were forwarded, or if their VM has read them.

        No unplanned fault may have affected the VM.

        :param include_timing: whether responses count as missing that are overdue
        """
        violations = []
        work_ends_s = self.map_work_ends()
        for request in self.requests:
            if request.status is not None or request.has_left:
                continue
            if request.is_overdue and not include_timing:
                continue
            if self.had_fault(request.vm, request.sent_s, request.ended_s):
                continue
            name = f'{request.kind} {request.request_id}'
            place = f'by {request.vm}, {self.describe_times(request)}'
            work_ended_s = work_ends_s.get(request.request_id)
            if work_ended_s is None:
                if request.ended_s > request.written_s + LOSS_SLACK_S:
                    violations.append(f'{name} was sent but not answered {place}')
                continue
            if request.read_s and request.ended_s > request.sent_s + request.timeout_s:
                continue
            work = 'had done its work' if work_ended_s < request.ended_s else 'was at work'
            violations.append(f'{name} was forwarded but aborted {place}; the replica {work}')
        return violations

    def map_work_ends(self) -> dict[str, float]:
        """Return when a replica first had done its work, by the request's id."""
        ended_s: dict[str, float] = {}
        for arrival in self.arrivals:
            earlier_s = ended_s.get(arrival.request_id, math.inf)
            ended_s[arrival.request_id] = min(arrival.ended_s, earlier_s)
        return ended_s

    def is_alone(self, vm: str, at_s: float) -> bool:
        """Return whether all other VMs were stopping or starting at a time."""
        for number in range(self.vm_count):
            other = f'vm-{number}'
            spans = [(one.signalled_s, one.exited_s + RESTART_S) for one in self.stops[other]]
            if other != vm and not any(start_s <= at_s <= end_s for start_s, end_s in spans):
                return False
        return True

    def check_taken_late(self) -> list[str]:
        """Check that late in a stop no request is taken that the VM then gives up."""
        violations = []
        ended_s = self.map_work_ends()
        for request in self.requests:
            if request.status != 502 or request.ended_s > request.sent_s + request.timeout_s:
                continue
            work_ended_s = ended_s.get(request.request_id, 0.0)
            if not request.ended_s < work_ended_s < math.inf:
                continue
            if not self.has_taken_late(request):
                continue
            violations.append(
                f'{request.kind} {request.request_id} was given up by {request.vm} while '
                f'its replica was at work, {self.describe_times(request)}'
            )
        return violations

    def has_taken_late(self, request: CallerRequest) -> bool:
        """Return whether a VM without a fault took a request that it should have rejected."""
        # Requests that may be repeated are taken while no other VM serves.
        if request.kind != 'filing' and self.is_alone(request.vm, request.sent_s):
            return False
        for stop in self.stops[request.vm]:
            since_s = stop.signalled_s + LONG_REQUEST_S + LONG_REQUEST_SLACK_S
            if since_s < request.sent_s < stop.exited_s:
                return not self.had_fault(request.vm, stop.signalled_s, request.ended_s)
        return False

    def describe_times(self, request: CallerRequest) -> str:
        """Return when a request was sent and ended, after the latest SIGTERM of its VM."""
        stops = [one for one in self.stops[request.vm] if one.signalled_s <= request.ended_s]
        if not stops:
            return f'{request.ended_s - request.sent_s:.2f} s after it was sent'
        times = (request.sent_s, request.ended_s, stops[-1].exited_s)
        sent_s, ended_s, exited_s = (at_s - stops[-1].signalled_s for at_s in times)
        return f'sent {sent_s:.2f}, ended {ended_s:.2f}, exit {exited_s:.2f} s after SIGTERM'

    def summary(self) -> str:
        """Return the numbers of arrivals, of stops, and of responses by kind and status."""
        statuses = Counter(f'{one.kind} {one.status}' for one in self.requests)
        counts = ', '.join(f'{name}: {count}' for name, count in sorted(statuses.items()))
        stops = [one.exited_s - one.signalled_s for spans in self.stops.values() for one in spans]
        took = f'{len(stops)} stops, {max(stops, default=0.0):.2f} s at most'
        return f'{len(self.arrivals)} arrivals; {took}; {counts}'
