"""The command that shows which data centres are evacuated."""

import time

from ..context import Environment
from ..failures import Failure, Reason, not_run
from ..output.writer import format_table, write_failure, write_result
from ..status import ExitStatus
from .client import send_request

ADDRESS_HINT = 'give the address of a VM that serves routed requests, such as HOST:9464'


def run_evacuations(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Show the evacuated data centres as each VM sees them."""
    rows = []
    status = ExitStatus.OK
    for address in options.operations:
        found = read_evacuations(address)
        if isinstance(found, Failure):
            write_failure(environment, found, ADDRESS_HINT)
            status = ExitStatus.UNREACHABLE
            continue
        rows.extend(found)
    text = format_table(rows) if rows else 'no data centre is evacuated'
    write_result(environment, {'evacuations': rows}, text)
    return status


def read_evacuations(address: str) -> list[dict] | Failure:
    """Return one row for each data centre that a VM knows to be evacuated."""
    reply = send_request(address, 'GET', '/v1/state')
    if isinstance(reply, Failure):
        return reply
    evacuations = reply.body.get('evacuations')
    if not isinstance(evacuations, dict):
        return not_run(Reason.INVALID_INPUT, f'{address} reports no evacuations')
    rows = []
    for zone, state in evacuations.items():
        rows.append(
            {
                'vm': reply.body['vm'],
                'zone': zone,
                'since': format_time(time.time() - state['for_ms'] / 1000.0),
                'replicas': state['replicas'],
                'exchanges': state['exchanges'],
            }
        )
    return rows


def format_time(seconds: float) -> str:
    """Return a Unix time as UTC in the format of RFC 3339."""
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))
