"""Commands of the command-line tool."""

from pathlib import Path
from urllib.parse import quote

import msgspec

from ..context import Environment
from ..daemon.settings import load_settings
from ..document import Document, check_document, compute_delta, decode_document, encode_document
from ..failures import Failure, InputFailure, Reason, not_run
from ..fields import describe_read_error
from ..inventory import parse_inventory
from ..output.states import compare_states, summarise_state
from ..output.writer import colourise, format_table, write_failure, write_result
from ..rules import build_document, parse_rules
from ..status import ExitStatus
from .client import HttpReply, find_entry_addresses, send_request, send_to_first_reachable
from .evacuations import run_evacuations

UNREACHABLE_HINT = 'check the address, or try other VMs with --entry=host:port,host:port'
FIRST_GENERATION = 1


def run_query(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Run a query."""
    match = read_object(options.match, '--match')
    if isinstance(match, Failure):
        return report_failure(environment, match, ExitStatus.USAGE)
    body = {
        'back_end': options.back_end,
        'class': options['class'].value,
        'match': match,
        'limit': options.limit,
        'minimum_snapshot': options.minimum_snapshot,
    }
    if options.deadline_ms is not None:
        body['deadline_ms'] = options.deadline_ms
    if options.urgency is not None:
        body['urgency'] = options.urgency
    reply = post_to_entry_vm(options, '/v1/query', body)
    if isinstance(reply, Failure):
        return report_failure(environment, reply, ExitStatus.UNREACHABLE, UNREACHABLE_HINT)
    answer = reply.body
    if 'failure' in answer:
        return show_outcome(environment, answer)
    rows = [{'key': row['key'], 'value': row['value']} for row in answer['rows']]
    write_result(
        environment, answer, f'{format_table(rows)}\n\n{format_coverage(answer, environment)}'
    )
    return ExitStatus.OK if answer['coverage']['complete'] else ExitStatus.INCOMPLETE


def format_coverage(answer: dict, environment: Environment) -> str:
    """Return a description of an answer's coverage."""
    coverage = answer['coverage']
    text = f'{coverage["shards_answered"]} of {coverage["shards_total"]} shards'
    lines = [
        f'snapshot {answer["snapshot"]}, {colourise(text, coverage["complete"], environment)}, '
        f'{answer["elapsed_ms"]} ms'
    ]
    for missing in coverage['missing']:
        lines.append(f'missing {missing["shard"]}: {missing["reason"]}')
    if answer['truncated']:
        lines.append('more rows matched; increase --limit to see them')
    return '\n'.join(lines)


def run_submit(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Run a non-idempotent request; obtain a ticket first unless one is given."""
    content = read_object(options.body, '--body')
    if isinstance(content, Failure):
        return report_failure(environment, content, ExitStatus.USAGE)
    ticket = options.ticket
    if ticket is None:
        grant = post_to_entry_vm(options, '/v1/tickets', {'back_end': options.back_end})
        if isinstance(grant, Failure):
            return report_failure(environment, grant, ExitStatus.UNREACHABLE, UNREACHABLE_HINT)
        if 'failure' in grant.body:
            return show_outcome(environment, grant.body)
        ticket = grant.body['ticket']
    body = {
        'ticket': ticket,
        'back_end': options.back_end,
        'key': options.key,
        'body': content,
    }
    if options.deadline_ms is not None:
        body['deadline_ms'] = options.deadline_ms
    reply = post_to_entry_vm(options, '/v1/requests', body)
    if isinstance(reply, Failure):
        hint = f'the request may have run; retry it with --ticket={ticket}'
        return report_failure(environment, reply, ExitStatus.UNKNOWN_OUTCOME, hint)
    return show_outcome(environment, {**reply.body, 'ticket': ticket})


def show_outcome(environment: Environment, answer: dict) -> ExitStatus:
    """Show the outcome of a request, or the reason why a query was not answered."""
    outcome = answer['outcome']
    if outcome == 'done':
        text = (
            f'{colourise("done", True, environment)}, visible from snapshot {answer["snapshot"]}'
        )
        write_result(environment, answer, text)
        return ExitStatus.OK
    failure = answer['failure']
    lines = [f'{colourise(outcome, False, environment)}: {failure["reason"]}, {failure["detail"]}']
    if 'retry_after_ms' in failure:
        lines.append(f'retry after {failure["retry_after_ms"]} ms')
    if outcome == 'unknown' and 'ticket' in answer:
        lines.append(f'the request may have run; retry it with --ticket={answer["ticket"]}')
    write_result(environment, answer, '\n'.join(lines))
    return ExitStatus.UNKNOWN_OUTCOME if outcome == 'unknown' else ExitStatus.REJECTED


def post_to_entry_vm(options, path: str, body: dict) -> HttpReply | Failure:
    """Look up the VMs to use and send a POST request to the first that accepts a connection."""
    entries = find_entry_addresses(options.entry, options.place and quote(options.place))
    if isinstance(entries, Failure):
        return entries
    return send_to_first_reachable(entries, 'POST', path, body)


def run_entry(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Show the VMs that callers should use."""
    path = '/v1/entry'
    if options.place is not None:
        path += f'?place={quote(options.place)}'
    reply = send_to_first_reachable(options.entry, 'GET', path)
    if isinstance(reply, Failure):
        return report_failure(environment, reply, ExitStatus.UNREACHABLE, UNREACHABLE_HINT)
    if 'failure' in reply.body:
        return show_outcome(environment, reply.body)
    table = format_table(reply.body['addresses'])
    write_result(environment, reply.body, f'{table}\n\nvalid for {reply.body["keep_ms"]} ms')
    return ExitStatus.OK


def run_state(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Show the state of VMs and where they differ."""
    addresses = list(options.operations)
    states = {}
    is_reachable = True
    while addresses:
        address = addresses.pop(0)
        reply = send_request(address, 'GET', '/v1/state')
        if isinstance(reply, Failure):
            write_failure(
                environment,
                reply,
                'check that the VM is running and that this is its operations address',
            )
            is_reachable = False
            continue
        states[reply.body['vm']] = reply.body
        if not options.all or len(states) > 1:
            continue
        for name, view in reply.body['membership']['vms'].items():
            if name != reply.body['vm']:
                addresses.append(view['operations'])
    differences = compare_states(list(states.values()))
    show_states(environment, states, differences, options.full)
    if not is_reachable:
        return ExitStatus.UNREACHABLE
    return ExitStatus.DIFFERENT if differences else ExitStatus.OK


def show_states(
    environment: Environment, states: dict, differences: list[dict], is_full: bool
) -> None:
    """Show states and the differences between them."""
    summaries = [summarise_state(state) for state in states.values()]
    shown = list(states.values()) if is_full else summaries
    lines = [format_table(summaries)]
    if is_full:
        for state in states.values():
            lines += ['', f'replicas as {state["vm"]} sees them', format_table(state['replicas'])]
    if differences:
        lines += ['', colourise('differences', False, environment), format_table(differences)]
    write_result(environment, {'vms': shown, 'differences': differences}, '\n'.join(lines))


def run_config_check(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Check an inventory and a rules file."""
    document = load_document(operands, FIRST_GENERATION)
    if isinstance(document, Failure):
        return report_failure(environment, document, ExitStatus.INVALID_SETTINGS)
    configuration = check_document(document)
    rows = []
    for name, back_end in sorted(configuration.back_ends.items()):
        replicas = sum(len(service.replicas) for service in back_end.services.values())
        shards = len(back_end.shard_maps[0][1].shards)
        services = len(back_end.services)
        rows.append(
            {'back end': name, 'services': services, 'replicas': replicas, 'shards': shards}
        )
    write_result(environment, {'valid': True, 'back_ends': rows}, format_table(rows))
    return ExitStatus.OK


def run_config_build(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Build the document to publish."""
    document = load_document(operands, options.generation)
    if isinstance(document, Failure):
        return report_failure(environment, document, ExitStatus.INVALID_SETTINGS)
    text = encode_document(document)
    if options.output is None:
        environment.stdout.write(text.decode() + '\n')
        return ExitStatus.OK
    try:
        Path(options.output).write_bytes(text)
    except OSError as error:
        failure = not_run(
            Reason.INVALID_INPUT,
            f'cannot write file {options.output!r}: {error.strerror}; give a writable path',
        )
        return report_failure(environment, failure, ExitStatus.ERROR)
    result = {'output': options.output, 'bytes': len(text), 'digest': document.digest}
    write_result(environment, result, f'{len(text)} bytes, digest {document.digest[:16]}')
    return ExitStatus.OK


def run_config_diff(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Show the differences between two documents."""
    documents = []
    for path in operands:
        text = read_file(path)
        document = text if isinstance(text, Failure) else decode_document(text, path)
        if isinstance(document, Failure):
            return report_failure(environment, document, ExitStatus.INVALID_SETTINGS)
        documents.append(document)
    old, new = documents
    delta = compute_delta(old, new)
    rows = [{'entry': key, 'change': 'removed'} for key in sorted(delta.removed)]
    for key in sorted(delta.changed):
        rows.append({'entry': key, 'change': 'changed' if key in old.entries else 'added'})
    result = {'from': old.generation, 'to': new.generation, 'entries': rows}
    text = f'generation {old.generation} -> {new.generation}\n{format_table(rows)}'
    write_result(environment, result, text)
    return ExitStatus.DIFFERENT if rows else ExitStatus.OK


def run_settings_check(environment: Environment, options, operands: list[str]) -> ExitStatus:
    """Check a daemon's settings file."""
    settings = load_settings(Path(operands[0]))
    if isinstance(settings, Failure):
        return report_failure(environment, settings, ExitStatus.INVALID_SETTINGS)
    write_result(environment, settings, f'{operands[0]} is valid')
    return ExitStatus.OK


def load_document(operands: list[str], generation: int) -> Document | Failure:
    """Read an inventory and a rules file and build the document."""
    inventory_path, rules_path = operands
    inventory_text = read_file(inventory_path)
    if isinstance(inventory_text, Failure):
        return inventory_text
    rules_text = read_file(rules_path)
    if isinstance(rules_text, Failure):
        return rules_text
    rows = parse_inventory(inventory_text.decode('utf-8', 'replace'), inventory_path)
    if isinstance(rows, Failure):
        return rows
    rules = parse_rules(rules_text.decode('utf-8', 'replace'), rules_path)
    if isinstance(rules, Failure):
        return rules
    return build_document(rows, rules, generation)


def read_file(path: str) -> bytes | Failure:
    """Read a file."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        return describe_read_error(error, f'file {path!r}', 'give the path of a readable file')


def read_object(text: str, option: str) -> dict | InputFailure:
    """Decode an option's value as a JSON object."""
    try:
        return msgspec.json.decode(text.encode(), type=dict)
    except msgspec.MsgspecError:
        return InputFailure('command line', option, text, 'a JSON object')


def report_failure(
    environment: Environment, failure: Failure, status: ExitStatus, hint: str = ''
) -> ExitStatus:
    """Write a failure to standard error and return the exit status."""
    write_failure(environment, failure, hint)
    return status


COMMAND_HANDLERS = {
    ('evacuations',): run_evacuations,
    ('query',): run_query,
    ('submit',): run_submit,
    ('entry',): run_entry,
    ('state',): run_state,
    ('config', 'check'): run_config_check,
    ('config', 'build'): run_config_build,
    ('config', 'diff'): run_config_diff,
    ('settings', 'check'): run_settings_check,
}
