"""
Generates the tables of docs/CAPACITY.md: resource usage at the planned size against the budget.

Measures the slopes, writes them as JSON next to the page, and replaces the tables between the
markers of the page. The text outside the markers is left unchanged.
"""

import math
import re
import sys
from pathlib import Path

import msgspec

from beechbridge.core.fleet.configuration import WATCH_TIMEOUT_MS
from beechbridge.core.fleet.membership import (
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_MS,
    MAX_SHARED_VIEWS,
    SUSPECT_AFTER_MS,
    list_interval_ms,
)
from beechbridge.record import Record

from .slopes import Slope, measure_all

DOCS = Path(__file__).parent.parent / 'docs'
PAGE = DOCS / 'CAPACITY.md'
RESULTS = DOCS / 'capacity.json'
MARKER = '<!-- table: {name} -->\n{table}\n<!-- end -->'

NODES = 6_600
REPLICAS = 49_000
QUERIES_PER_S = 1.6e6
SHARDS_PER_QUERY = 610
P99_MS = 59.0
PLACES = 14
CHANGES_PER_DAY = 4_700
MAX_PROPAGATION_S = 6.0
CONTROL_CORE_SHARE = 0.033
CONTROL_MB = 32.0
CONTROL_BYTES_PER_S = 22_000.0
SERVICE_CALLS_PER_S = 2_000.0
REPLACED_PER_DAY = 4_000
VALUE_BYTES = 1_000_000
REPLICAS_PER_SERVICE = 2
CONNECTION_LIMIT = 25
DAY_S = 86_400.0
EXCHANGE_US = 480.0
"""CPU time of a bare exchange over http.client in microseconds, from `make cost`."""

ONE_WAY_MS = 1.5
BETWEEN_REGIONS_MS = 8.0
STRAGGLER_SHARE = 0.05
BATCH = 64


class Line(Record):
    """
    One row of a table on the page.

    :param role: component or task that uses the resource
    :param figure: name of the calculated quantity
    :param formula: how the value is calculated
    :param value: calculated value, in the same unit as the bound
    :param bound: budget, or None if there is none
    """

    __slots__ = ('bound', 'figure', 'formula', 'role', 'unit', 'value')

    def __init__(
        self, role: str, figure: str, formula: str, value: float, unit: str, bound: float | None
    ):
        self.role = role
        self.figure = figure
        self.formula = formula
        self.value = value
        self.unit = unit
        self.bound = bound

    @property
    def verdict(self) -> str:
        """Return whether the value is within its bound, and by what factor."""
        if self.bound is None:
            return ''
        if self.value <= 0:
            return 'fits'
        factor = self.bound / self.value
        if factor >= 1:
            return f'fits, {factor:.1f}x'
        return f'**does not fit**, {1 / factor:.1f}x over'


def control_lines(slopes: dict[str, Slope]) -> list[Line]:
    """Return the control-plane rows: membership, configuration, replicas and service calls."""
    rounds_per_s = 1000.0 / GOSSIP_INTERVAL_MS
    message_bytes = slopes['view_bytes'].base + MAX_SHARED_VIEWS * slopes['view_bytes'].slope
    received_per_s = rounds_per_s * GOSSIP_FANOUT
    round_us = slopes['gossip_round'].base + NODES * slopes['gossip_round'].slope
    receive_us = slopes['heartbeat'].base + MAX_SHARED_VIEWS * slopes['heartbeat'].slope
    entries = REPLICAS / REPLICAS_PER_SERVICE
    changes_per_s = CHANGES_PER_DAY / DAY_S
    check_us = slopes['document_check'].slope * entries
    delta_us = slopes['delta_apply'].base + slopes['delta_apply'].slope * entries
    entry_bytes = slopes['document_bytes'].slope
    replicas_per_node = REPLICAS / NODES
    sign_bytes = slopes['sign_bytes'].slope * replicas_per_node
    budget_us = CONTROL_CORE_SHARE * 1e6
    hops = math.log(NODES) / math.log(GOSSIP_FANOUT + 1)
    refresh_s = NODES / (received_per_s * MAX_SHARED_VIEWS)
    return [
        Line('membership', 'gossip sent', 'rounds x fan-out x bytes', received_per_s * message_bytes, 'B/s', CONTROL_BYTES_PER_S),
        Line('membership', 'processor, sending', 'rounds x us a round at 6,600 VMs', rounds_per_s * round_us, 'us/s', budget_us),
        Line('membership', 'processor, receiving', 'messages x us a message', received_per_s * receive_us, 'us/s', budget_us),
        Line('membership', 'memory of the view', '6,600 x bytes a VM', NODES * slopes['view_memory'].slope / 1e6, 'MB', CONTROL_MB),
        Line('membership', 'mean time between news of one VM', 'VMs / (messages x 16 views)', refresh_s, 's', SUSPECT_AFTER_MS / 1000),
        Line('configuration reader', 'calls on the service', '14 places x 1 reader x watches of 10 s, and one a change', PLACES * (1000.0 / WATCH_TIMEOUT_MS + changes_per_s), '/s', SERVICE_CALLS_PER_S),
        Line('VM list', 'calls on the service', 'every VM once in 6.6 s', NODES * 1000.0 / list_interval_ms(NODES), '/s', SERVICE_CALLS_PER_S),
        Line('configuration', 'whole document', 'entries x bytes', entries * entry_bytes, 'B', VALUE_BYTES),
        Line('configuration', 'changes sent whole', 'changes x value of 1 MB', changes_per_s * VALUE_BYTES, 'B/s', CONTROL_BYTES_PER_S),
        Line('configuration', 'changes sent as differences', 'changes x fan-out x bytes an entry', changes_per_s * GOSSIP_FANOUT * entry_bytes, 'B/s', CONTROL_BYTES_PER_S),
        Line('configuration', 'processor, applying', 'changes x (whole check + difference)', changes_per_s * (check_us + delta_us), 'us/s', budget_us),
        Line('configuration', 'one change, check on one VM', 'entries x us', check_us / 1e6, 's', MAX_PROPAGATION_S),
        Line('configuration', 'hops to all VMs', 'log(6,600) / log(fan-out + 1), each 20 ms to 500 ms', hops * GOSSIP_INTERVAL_MS / 1000, 's', MAX_PROPAGATION_S),
        Line('replicas', 'memory, every replica on every node', '49,000 x bytes', REPLICAS * slopes['replica_memory'].slope / 1e6, 'MB', CONTROL_MB),
        Line('replicas', 'memory, with its owners only', f'{replicas_per_node:.1f} x bytes', replicas_per_node * slopes['replica_memory'].slope / 1e6, 'MB', CONTROL_MB),
        Line('replicas', 'signs of the watched, each round', 'rounds x fan-out x bytes', received_per_s * sign_bytes, 'B/s', CONTROL_BYTES_PER_S),
        Line('tickets', 'processes that end', 'replacements a day', REPLACED_PER_DAY / DAY_S, '/s', None),
    ]  # fmt: skip


def data_lines(slopes: dict[str, Slope]) -> list[Line]:
    """Return the rows for the query path."""
    per_node = QUERIES_PER_S * SHARDS_PER_QUERY / NODES
    core_us = slopes['sub_request'].slope
    merged_us = slopes['merged_row'].slope
    owners = math.ceil(SHARDS_PER_QUERY / BATCH)
    queries_per_node = QUERIES_PER_S / NODES
    direct_cores = per_node * (EXCHANGE_US + core_us) / 1e6
    batched_cores = per_node * core_us / 1e6 + per_node / BATCH * EXCHANGE_US / 1e6
    two_level = batched_cores + queries_per_node * owners * EXCHANGE_US / 1e6
    return [
        Line('entry', 'queries on a node', '1.6 M / 6,600', queries_per_node, '/s', None),
        Line('fan-out', 'sub-requests on a node', '1.6 M x 610 / 6,600', per_node, '/s', None),
        Line('fan-out', 'cores a node, one exchange each', 'sub-requests x (exchange + core)', direct_cores, 'cores', 1.0),
        Line('fan-out', f'cores a node, {BATCH} in an exchange', 'the exchange divided by the batch', batched_cores, 'cores', 1.0),
        Line('fan-out', 'cores a node, batched and over owners', f'and {owners} exchanges a query to owners', two_level, 'cores', 1.0),
        Line('merge', 'cores a node, 1 row a sub-request', 'sub-requests x us a row', per_node * merged_us / 1e6, 'cores', 1.0),
        Line('fan-out', 'time of one query in one core', '610 x us', SHARDS_PER_QUERY * core_us / 1000, 'ms', P99_MS),
        Line('fan-out', 'network, direct in a region', '2 x 1.5 ms', 2 * ONE_WAY_MS, 'ms', P99_MS),
        Line('fan-out', 'network, over owners in a region', '4 x 1.5 ms', 4 * ONE_WAY_MS, 'ms', P99_MS),
        Line('fan-out', 'network, over owners in another region', '2 x (8 + 1.5) ms', 2 * (BETWEEN_REGIONS_MS + ONE_WAY_MS), 'ms', P99_MS),
        Line('connections', 'connections a replica, every node direct', '6,600', NODES, '', CONNECTION_LIMIT),
        Line('connections', 'connections a replica, owners only', '25 - 2 spare', CONNECTION_LIMIT - 2, '', CONNECTION_LIMIT),
        Line('all', 'a full collection, 49,000 replicas', 'replicas x us', (slopes['collection'].base + REPLICAS * slopes['collection'].slope) / 1000, 'ms', P99_MS),
        Line('all', 'a full collection, owners only', '7.4 x us', (slopes['collection'].base + REPLICAS / NODES * slopes['collection'].slope) / 1000, 'ms', P99_MS),
        Line('stragglers', 'queries with one at 5% of calls', '1 - 0.95^610', 1 - (1 - STRAGGLER_SHARE) ** SHARDS_PER_QUERY, '', 0.01),
        Line('stragglers', 'queries with one after one hedge', '1 - (1 - 0.05^2)^610', 1 - (1 - STRAGGLER_SHARE**2) ** SHARDS_PER_QUERY, '', 0.01),
        Line('stragglers', 'queries with one after three hedges', '1 - (1 - 0.05^4)^610', 1 - (1 - STRAGGLER_SHARE**4) ** SHARDS_PER_QUERY, '', 0.01),
        Line('stragglers', 'share of calls that may straggle, no hedge', '1 - 0.99^(1/610)', 1 - 0.99 ** (1 / SHARDS_PER_QUERY), '', None),
    ]  # fmt: skip


def format_lines(lines: list[Line]) -> str:
    """Format rows as a Markdown table."""
    rows = ['| role | figure | formula | value | budget | fits |', '|---|---|---|---|---|---|']
    for line in lines:
        bound = '' if line.bound is None else f'{line.bound:,.4g} {line.unit}'
        value = f'{line.value:,.4g} {line.unit}'
        rows.append(
            f'| {line.role} | {line.figure} | {line.formula} | {value} | {bound} | {line.verdict} |'
        )
    return '\n'.join(rows)


def format_slopes(slopes: dict[str, Slope]) -> str:
    """Format the slopes as a Markdown table."""
    rows = ['| slope | unit | base | a unit | residual | measured |', '|---|---|---|---|---|---|']
    for slope in slopes.values():
        points = ', '.join(f'{size}: {value:,.0f}' for size, value in slope.points)
        rows.append(
            f'| {slope.name} | {slope.unit} | {slope.base:,.1f} | {slope.slope:,.4g} '
            f'| {slope.residual:.1%} | {points} |'
        )
    return '\n'.join(rows)


def replace_tables(page: str, tables: dict[str, str]) -> str:
    """Replace the tables between the markers of the page."""
    for name, table in tables.items():
        pattern = re.escape(f'<!-- table: {name} -->') + r'.*?' + re.escape('<!-- end -->')
        replacement = MARKER.format(name=name, table=table)
        page, count = re.subn(pattern, lambda _, text=replacement: text, page, flags=re.DOTALL)
        if count != 1:
            raise SystemExit(f'{PAGE}: expected one marker for the table {name}, found {count}')
    return page


def main() -> int:
    """Measure the slopes and regenerate the tables of the page."""
    slopes = measure_all()
    RESULTS.write_bytes(
        msgspec.json.format(
            msgspec.json.encode([slope.to_json() for slope in slopes.values()]), indent=1
        )
        + b'\n'
    )
    tables = {
        'slopes': format_slopes(slopes),
        'control': format_lines(control_lines(slopes)),
        'data': format_lines(data_lines(slopes)),
    }
    PAGE.write_text(replace_tables(PAGE.read_text(), tables))
    print(f'{PAGE.name} and {RESULTS.name} written')
    return 0


if __name__ == '__main__':
    sys.exit(main())
