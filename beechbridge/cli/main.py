"""The program `beechbridge`."""

import sys

from absl import flags

from ..context import Environment
from ..status import ExitStatus
from .commands import RUNNERS
from .options import (
    Command,
    define_options,
    describe_command,
    describe_commands,
    find_command,
)

HELP_WORDS = ('', 'help', '--help', '-h')


def main(arguments: list[str], environment: Environment) -> ExitStatus:
    """
    Run one command.

    :param arguments: words after the program's name
    """
    if (arguments or [''])[0] in HELP_WORDS:
        environment.stdout.write(describe_commands() + '\n')
        return ExitStatus.OK if arguments else ExitStatus.USAGE
    command = find_command(arguments)
    if command is None:
        environment.stderr.write(f'beechbridge: no command {arguments[0]!r}\n\n')
        environment.stderr.write(describe_commands() + '\n')
        return ExitStatus.USAGE
    rest = arguments[len(command.words) :]
    if any(word in HELP_WORDS for word in rest):
        environment.stdout.write(describe_command(command) + '\n')
        return ExitStatus.OK
    options = define_options(command)
    try:
        operands = options([' '.join(command.words), *rest])[1:]
    except flags.Error as error:
        return refuse_usage(environment, command, str(error))
    if len(operands) != len(command.operands):
        expected = ' '.join(command.operands) or 'no operands'
        return refuse_usage(environment, command, f'expected {expected}')
    return RUNNERS[command.words](environment, options, operands)


def refuse_usage(environment: Environment, command: Command, problem: str) -> ExitStatus:
    """Say what is wrong with a command line and how it should look."""
    environment.stderr.write(f'beechbridge: {problem}\n{describe_command(command)}\n')
    return ExitStatus.USAGE


def run() -> None:
    """Run as a program."""
    sys.exit(main(sys.argv[1:], Environment()))
