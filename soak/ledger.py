"""What callers and replicas saw, and the promises that it is checked against."""

from collections import Counter, defaultdict

DRAIN_S = 3.0
APPLY_S = 3.0
SLACK_S = 1.0
"""Time in which a message under way and a busy machine may delay what is measured here."""

BUDGET_RATIO = 0.2
BUDGET_EXTRA = 56
BUDGET_WINDOW_S = 10.0
RECORD_BYTES = 16


class Arrival:
    """A request that reached a replica."""

    __slots__ = ('at_s', 'has_run', 'replica', 'request_id', 'service', 'vm')

    def __init__(
        self, at_s: float, request_id: str, replica: str, service: str, vm: str, has_run: bool
    ):
        self.at_s = at_s
        self.request_id = request_id
        self.replica = replica
        self.service = service
        self.vm = vm
        self.has_run = has_run


class Part:
    """A success that a replica signed."""

    __slots__ = ('body', 'request_id', 'service')

    def __init__(self, request_id: str, service: str, body: bytes):
        self.request_id = request_id
        self.service = service
        self.body = body


class Asked:
    """One attempt of a caller and its end."""

    __slots__ = ('body', 'ended_s', 'headers', 'kind', 'request_id', 'sent_s', 'status', 'vm')

    def __init__(self, request_id: str, kind: str, vm: str, sent_s: float):
        self.request_id = request_id
        self.kind = kind
        self.vm = vm
        self.sent_s = sent_s
        self.ended_s = sent_s
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b''


class Ledger:
    """
    Everything seen in one run.

    :param shard_sets: sets of shards that some configuration named
    :param gone_s: when a replica's end was acknowledged by the store, by its identifier
    :param disturbed: spans in which a VM was under an unplanned fault, by its name
    """

    def __init__(self):
        self.arrivals: list[Arrival] = []
        self.parts: dict[str, Part] = {}
        self.asked: list[Asked] = []
        self.shard_sets: list[frozenset[str]] = []
        self.gone_s: dict[str, float] = {}
        self.disturbed: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.table_acknowledged_s: dict[str, float] = {}
        self.least_share = 1.0
        self.top_records = 0

    def is_disturbed(self, vm: str, since_s: float, until_s: float) -> bool:
        """Tell whether a VM was under a fault in a span, or shortly before."""
        for start_s, end_s in (*self.disturbed[vm], *self.disturbed['all']):
            if start_s - SLACK_S <= until_s and since_s <= end_s + APPLY_S + SLACK_S:
                return True
        return False

    def check(self, is_timed: bool = True) -> list[str]:
        """Return every broken promise as a sentence, those with a time bound if asked for."""
        broken = []
        for asked in self.asked:
            if asked.status is None:
                continue
            if asked.kind == 'gather' and asked.status == 200:
                broken.extend(self.check_merged(asked))
            if asked.kind != 'gather' and asked.status == 200:
                broken.extend(self.check_passed(asked))
        broken.extend(self.check_runs())
        broken.extend(self.check_budget())
        broken.extend(self.check_denied())
        if is_timed:
            broken.extend(self.check_gone())
            broken.extend(self.check_routes())
            broken.extend(self.check_cut())
        return broken

    def check_merged(self, asked: Asked) -> list[str]:
        """Check that parts, coverage and records of a gather's answer are true."""
        name = f'gather {asked.request_id}'
        signatures = asked.headers.get('beechbridge-part-stamps', '').split(', ')
        parts = []
        for signature in signatures:
            part = self.parts.get(signature)
            if part is None or part.request_id != asked.request_id:
                return [f'{name}: {signature!r} signs no part of it']
            parts.append(part)
        services = {part.service for part in parts}
        if len(services) != len(parts):
            return [f'{name}: a shard is in twice']
        missing = int(asked.headers.get('beechbridge-missing-parts', 0))
        sets = [one for one in self.shard_sets if services <= one]
        if not any(len(one) == len(services) + missing for one in sets):
            return [f'{name}: {len(services)} parts and {missing} missing fit no set of shards']
        if len(services) < self.least_share * (len(services) + missing) - 1e-9:
            return [f'{name}: a success with {missing} shards missing']
        records = []
        for part in parts:
            for start in range(0, len(part.body) - RECORD_BYTES + 1, RECORD_BYTES):
                records.append(part.body[start : start + RECORD_BYTES])
        expected = b''.join(sorted(records, reverse=True)[: self.top_records])
        if asked.body != expected:
            return [f'{name}: the body is not the greatest records of its parts']
        return []

    def check_passed(self, asked: Asked) -> list[str]:
        """Check that a success is a replica's own whole answer."""
        part = self.parts.get(asked.headers.get('beechbridge-server-stamp', ''))
        if part is None or part.request_id != asked.request_id or part.body != asked.body:
            return [f"{asked.kind} {asked.request_id}: the answer is not its replica's"]
        return []

    def check_runs(self) -> list[str]:
        """Check that filings run at most once, and that refusals are true."""
        runs = Counter(arrival.request_id for arrival in self.arrivals if arrival.has_run)
        broken = []
        for asked in self.asked:
            if asked.kind == 'filing' and runs[asked.request_id] > 1:
                broken.append(f'filing {asked.request_id} ran {runs[asked.request_id]} times')
            if asked.status in (429, 503, 408, 421) and runs[asked.request_id]:
                broken.append(f'{asked.kind} {asked.request_id} was refused and has run')
        known = {asked.request_id for asked in self.asked}
        for arrival in self.arrivals:
            if arrival.request_id not in known:
                broken.append(f'{arrival.replica} got {arrival.request_id!r}, which nobody sent')
        return broken

    def check_gone(self) -> list[str]:
        """Check that nothing reaches a replica that is draining or gone for long."""
        broken = []
        for arrival in self.arrivals:
            gone_s = self.gone_s.get(arrival.replica)
            if gone_s is None or arrival.at_s < gone_s + DRAIN_S + SLACK_S or not arrival.has_run:
                continue
            if not self.is_disturbed(arrival.vm, gone_s, arrival.at_s):
                late_s = arrival.at_s - gone_s
                broken.append(f'{arrival.replica} got a request {late_s:.1f} s after it had left')
        return broken

    def check_budget(self) -> list[str]:
        """Check the repeats of each service in every window."""
        broken = []
        by_service = defaultdict(list)
        for arrival in self.arrivals:
            by_service[arrival.service].append(arrival)
        for service, arrivals in by_service.items():
            arrivals.sort(key=lambda arrival: arrival.at_s)
            for first in arrivals[::10]:
                span = (first.at_s, first.at_s + BUDGET_WINDOW_S)
                inside = [one for one in arrivals if span[0] <= one.at_s < span[1]]
                requests = len({one.request_id for one in inside})
                if len(inside) - requests > BUDGET_RATIO * requests + BUDGET_EXTRA:
                    broken.append(f'{service}: {len(inside) - requests} repeats of {requests}')
                    break
        return broken

    def check_denied(self) -> list[str]:
        """Check that a route which every configuration names is never denied."""
        broken = []
        for asked in self.asked:
            if asked.status in (400, 401, 403, 404) and asked.kind != 'new':
                broken.append(f'{asked.kind} {asked.request_id} was answered {asked.status}')
        return broken

    def check_routes(self) -> list[str]:
        """Check that a new route is known everywhere in time."""
        broken = []
        for asked in self.asked:
            if asked.kind != 'new' or asked.status != 404:
                continue
            since_s = self.table_acknowledged_s[asked.request_id.partition('.')[0]]
            if asked.sent_s < since_s + APPLY_S + SLACK_S:
                continue
            if not self.is_disturbed(asked.vm, since_s, asked.sent_s):
                broken.append(f'new route {asked.request_id} is unknown after {APPLY_S} s')
        return broken

    def check_cut(self) -> list[str]:
        """Check that no VM without an unplanned fault cuts off what it has passed on."""
        broken = []
        passed_on = {arrival.request_id for arrival in self.arrivals}
        for asked in self.asked:
            if asked.status is not None or asked.request_id not in passed_on:
                continue
            if not self.is_disturbed(asked.vm, asked.sent_s, asked.ended_s):
                broken.append(f'{asked.kind} {asked.request_id} was cut off by {asked.vm}')
        return broken

    def summary(self) -> str:
        """Return counts of what was seen."""
        statuses = Counter(f'{one.kind} {one.status}' for one in self.asked)
        counts = ', '.join(f'{name}: {count}' for name, count in sorted(statuses.items()))
        return f'{len(self.arrivals)} arrivals; {counts}'
