"""Writes results: tables and colours on a terminal, JSON otherwise."""

import msgspec
from tabulate import tabulate

from ..context import Environment
from ..failures import Failure

RED = '\x1b[31m'
GREEN = '\x1b[32m'
RESET = '\x1b[0m'


def write_result(environment: Environment, result: object, text: str) -> None:
    """
    Write a result to standard output.

    :param result: value to write as JSON if the output is not a terminal
    :param text: text to write on a terminal
    """
    if not environment.is_terminal:
        text = msgspec.json.format(msgspec.json.encode(result), indent=2).decode()
    environment.stdout.write(text + '\n')


def write_failure(environment: Environment, failure: Failure, hint: str = '') -> None:
    """Write a failure to standard error, with a hint on what to do next."""
    message = f'{failure.reason.value}: {failure.detail}'
    if environment.is_terminal:
        message = f'{RED}{message}{RESET}'
    environment.stderr.write(f'beechbridge: {message}\n')
    if hint:
        environment.stderr.write(f'  {hint}\n')


def format_table(rows: list[dict]) -> str:
    """Return rows that have the same keys as a table."""
    return tabulate(rows, headers='keys', tablefmt='simple', disable_numparse=True)


def colourise(text: str, is_success: bool, environment: Environment) -> str:
    """Return text in green for success or red for failure, uncoloured off a terminal."""
    if not environment.is_terminal:
        return text
    return f'{GREEN if is_success else RED}{text}{RESET}'
