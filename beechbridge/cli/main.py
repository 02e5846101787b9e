"""Entry point of the `beechbridge` program."""

import sys

from absl import flags

from ..context import Environment
from ..status import ExitStatus
from .commands import COMMAND_HANDLERS
from .options import (
    Command,
    define_options,
    describe_command,
    describe_commands,
    find_command,
)

HELP_ARGUMENTS = ('', 'help', '--help', '-h')


def main(arguments: list[str], environment: Environment) -> ExitStatus:
    """
    Run one command.

    :param arguments: command-line arguments without the program's name
    """
    if (arguments or [''])[0] in HELP_ARGUMENTS:
        environment.stdout.write(describe_commands() + '\n')
        return ExitStatus.OK if arguments else ExitStatus.USAGE
    command = find_command(arguments)
    if command is None:
        environment.stderr.write(f'beechbridge: unknown command {arguments[0]!r}\n\n')
        environment.stderr.write(describe_commands() + '\n')
        return ExitStatus.USAGE
    rest = arguments[len(command.words) :]
    if any(word in HELP_ARGUMENTS for word in rest):
        environment.stdout.write(describe_command(command) + '\n')
        return ExitStatus.OK
    options = define_options(command)
    try:
        operands = options([' '.join(command.words), *rest])[1:]
    except flags.Error as error:
        return report_usage_error(environment, command, str(error))
    if len(operands) != len(command.operands):
        expected = ' '.join(command.operands) or 'no operands'
        return report_usage_error(environment, command, f'expected {expected}')
    return COMMAND_HANDLERS[command.words](environment, options, operands)


def report_usage_error(environment: Environment, command: Command, problem: str) -> ExitStatus:
    """Write a usage error and the help text of the command to standard error."""
    environment.stderr.write(f'beechbridge: {problem}\n{describe_command(command)}\n')
    return ExitStatus.USAGE


def run() -> None:
    """Run the program and exit with its status."""
    sys.exit(main(sys.argv[1:], Environment()))
