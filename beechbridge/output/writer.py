"""Writes results: tables and colours on a terminal, JSON everywhere else."""

import msgspec
from tabulate import tabulate

from ..context import Environment
from ..failures import Failure

RED = '\x1b[31m'
GREEN = '\x1b[32m'
RESET = '\x1b[0m'


def write_result(environment: Environment, result: object, text: str) -> None:
    """
    Write one result.

    :param result: what a program reads, as JSON
    :param text: what a person reads
    """
    if not environment.is_terminal:
        text = msgspec.json.format(msgspec.json.encode(result), indent=2).decode()
    environment.stdout.write(text + '\n')


def write_failure(environment: Environment, failure: Failure, hint: str = '') -> None:
    """Write what went wrong and what to do next."""
    message = f'{failure.reason.value}: {failure.detail}'
    if environment.is_terminal:
        message = f'{RED}{message}{RESET}'
    environment.stderr.write(f'beechbridge: {message}\n')
    if hint:
        environment.stderr.write(f'  {hint}\n')


def format_table(rows: list[dict]) -> str:
    """Return rows with the same keys as a table."""
    return tabulate(rows, headers='keys', tablefmt='simple', disable_numparse=True)


def mark(text: str, is_good: bool, environment: Environment) -> str:
    """Colour a word by whether it is good news."""
    if not environment.is_terminal:
        return text
    return f'{GREEN if is_good else RED}{text}{RESET}'
