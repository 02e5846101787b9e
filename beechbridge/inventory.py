"""Inventory of upstreams, a CSV export from an asset register."""

import csv
import io

import msgspec

from .failures import Failure, InputFailure
from .fields import describe_error
from .models import Count, Name, Port, PositiveCount, Replica

COLUMNS = (
    'back_end',
    'service',
    'replica',
    'place',
    'host',
    'port',
    'slots',
    'connection_limit',
    'connection_cost_ms',
    'status',
)
STATUSES = ('in_service', 'draining')


class InventoryRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row of the inventory: a replica."""

    back_end: Name
    service: Name
    replica: Name
    place: Name
    host: str
    port: Port
    slots: PositiveCount
    connection_limit: PositiveCount
    connection_cost_ms: Count
    status: str

    def to_replica(self) -> Replica:
        """Return the replica in the form that the configuration uses."""
        return Replica(
            self.replica,
            self.place,
            self.host,
            self.port,
            self.slots,
            self.connection_limit,
            self.connection_cost_ms,
            self.status == 'draining',
        )


def parse_inventory(text: str, source: str) -> list[InventoryRow] | InputFailure:
    """Parse an inventory; a failure names the line and column."""
    try:
        lines = list(csv.reader(io.StringIO(text), strict=True))
    except csv.Error as error:
        return InputFailure(source, 'file', str(error), 'CSV')
    if not lines or tuple(lines[0]) != COLUMNS:
        found = ','.join(lines[0]) if lines else ''
        return InputFailure(source, 'line 1', found, ','.join(COLUMNS))
    rows = []
    for number, values in enumerate(lines[1:], start=2):
        if not values:
            continue
        row = parse_row(values, number, source)
        if isinstance(row, Failure):
            return row
        rows.append(row)
    if not rows:
        return InputFailure(source, 'file', 'no replicas', 'at least one line after the header')
    return rows


def parse_row(values: list[str], number: int, source: str) -> InventoryRow | InputFailure:
    """Parse one line."""
    where = f'line {number}'
    if len(values) != len(COLUMNS):
        return InputFailure(source, where, f'{len(values)} values', f'{len(COLUMNS)} values')
    fields = {}
    for name, value in zip(COLUMNS, values, strict=True):
        fields[name] = value.strip()
    try:
        row = msgspec.convert(fields, InventoryRow, strict=False)
    except msgspec.ValidationError as error:
        return describe_error(error, source, fields, where)
    if row.status not in STATUSES:
        return InputFailure(source, f'{where}.status', row.status, ' or '.join(STATUSES))
    return row
