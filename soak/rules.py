"""Checks of cold replicas, home regions, evacuations and bursts, beside those of the ledger."""

import math
from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ledger import Ledger

COLD_EXCESS = 1.5
COLD_SLACK = 5.0
COLD_WINDOW_S = 1.0
NOTICE_S = 1.0
"""Time after a replica first said that it is cold from which its bound is checked: what VMs sent
before they could know is on its way until then."""

MOVE_S = 5.0
"""Time within which a table or an evacuation is in force at every VM."""

SLACK_S = 1.0
"""Tolerance for messages in flight and for delays on a busy machine."""

MIN_BURST_COUNT = 20
"""Requests of a class during a burst from which some of them have to be served."""

REJECTED_STATUSES = (429, 503)
RETRY_AFTER = 'retry-after'


class ColdSpan:
    """A time in which a replica was cold."""

    __slots__ = ('rate_per_s', 'replica', 'since_s', 'until_s')

    def __init__(self, replica: str, rate_per_s: float, since_s: float, until_s: float):
        self.replica = replica
        self.rate_per_s = rate_per_s
        self.since_s = since_s
        self.until_s = until_s


class HomeSpan:
    """A time in which a route had home regions, from the store's acknowledgement."""

    __slots__ = ('regions', 'route', 'since_s', 'until_s')

    def __init__(self, route: str, regions: list[str], since_s: float):
        self.route = route
        self.regions = regions
        self.since_s = since_s
        self.until_s = math.inf


class EvacuationSpan:
    """A time in which a data centre was evacuated, from the store's acknowledgement."""

    __slots__ = ('since_s', 'until_s', 'zone')

    def __init__(self, zone: str, since_s: float):
        self.zone = zone
        self.since_s = since_s
        self.until_s = math.inf


class Burst:
    """A time in which there were more requests of one kind than the replicas took."""

    __slots__ = ('kinds', 'since_s', 'until_s')

    def __init__(self, kinds: tuple[str, ...], since_s: float, until_s: float):
        self.kinds = kinds
        self.since_s = since_s
        self.until_s = until_s


class Rules:
    """
    What the checks need to know of a run.

    :param zones: data centre by replica ID
    """

    __slots__ = ('bursts', 'cold_spans', 'evacuations', 'home_spans', 'zones')

    def __init__(self):
        self.zones: dict[str, str] = {}
        self.cold_spans: list[ColdSpan] = []
        self.home_spans: list[HomeSpan] = []
        self.evacuations: list[EvacuationSpan] = []
        self.bursts: list[Burst] = []

    def check(self, ledger: 'Ledger') -> list[str]:
        """Return a sentence for every broken promise."""
        violations = [*self.check_cold(ledger), *self.check_homes(ledger)]
        violations.extend(self.check_bursts(ledger))
        violations.extend(self.check_evacuations(ledger))
        return violations

    def check_cold(self, ledger: 'Ledger') -> list[str]:
        """Check the requests that cold replicas got, in sliding seconds."""
        violations = []
        for span in self.cold_spans:
            allowed = COLD_EXCESS * span.rate_per_s + COLD_SLACK
            times = []
            for arrival in ledger.arrivals:
                is_cold = span.since_s + NOTICE_S <= arrival.at_s < span.until_s
                if arrival.replica == span.replica and arrival.has_run and is_cold:
                    times.append(arrival.at_s)
            times.sort()
            for number, start_s in enumerate(times):
                count = bisect_left(times, start_s + COLD_WINDOW_S) - number
                if count <= allowed or ledger.has_any_fault(span.since_s, start_s + COLD_WINDOW_S):
                    continue
                violations.append(
                    f'{span.replica} received {count} requests in {COLD_WINDOW_S} s while it was '
                    f'cold, for a rate of {span.rate_per_s} a second'
                )
                break
        return violations

    def check_homes(self, ledger: 'Ledger') -> list[str]:
        """Check that no replica outside the home regions of a route gets its requests."""
        violations = []
        kinds = {request.request_id: request.kind for request in ledger.requests}
        for span in self.home_spans:
            for arrival in ledger.arrivals:
                zone = self.zones.get(arrival.replica, '')
                is_home = zone.partition('-')[0] in span.regions
                if is_home or kinds.get(arrival.request_id) != span.route or not arrival.has_run:
                    continue
                if self.is_broken(span.since_s, span.until_s, arrival, ledger):
                    violations.append(
                        f'{arrival.replica} in {zone} received {arrival.request_id} of the route '
                        f'{span.route} outside its home regions'
                    )
        return violations

    def check_evacuations(self, ledger: 'Ledger') -> list[str]:
        """Check that no replica of an evacuated data centre gets requests."""
        violations = []
        for span in self.evacuations:
            for arrival in ledger.arrivals:
                if self.zones.get(arrival.replica) != span.zone:
                    continue
                if self.is_broken(span.since_s, span.until_s, arrival, ledger):
                    violations.append(
                        f'{arrival.replica} received a request while {span.zone} was evacuated'
                    )
        return violations

    def is_broken(self, since_s: float, until_s: float, arrival, ledger: 'Ledger') -> bool:
        """Return whether a request arrived while a rule held for it, and no fault excuses it."""
        if not since_s + MOVE_S + SLACK_S <= arrival.at_s < until_s:
            return False
        return not ledger.had_fault(arrival.vm, since_s, arrival.at_s)

    def is_in_burst(self, request) -> bool:
        """Return whether a caller sent a request during a burst."""
        return any(burst.since_s <= request.sent_s < burst.until_s for burst in self.bursts)

    def check_bursts(self, ledger: 'Ledger') -> list[str]:
        """Check that rejections say when to retry, and that no kind of request is starved."""
        violations = []
        for burst in self.bursts:
            counts = Counter()
            served = Counter()
            for request in ledger.requests:
                if not burst.since_s <= request.sent_s < burst.until_s:
                    continue
                counts[request.kind] += 1
                served[request.kind] += request.status == 200
                is_rejected = request.status in REJECTED_STATUSES
                if is_rejected and RETRY_AFTER not in request.headers:
                    name = f'{request.kind} {request.request_id}'
                    violations.append(f'{name} was rejected without a time to retry')
            if ledger.has_any_fault(burst.since_s, burst.until_s):
                continue
            for kind in burst.kinds:
                if counts[kind] >= MIN_BURST_COUNT and not served[kind]:
                    violations.append(f'none of {counts[kind]} {kind} was served during a burst')
        return violations
