"""Definitions of commands and options."""

import enum

from absl import flags

from ..record import Record


class OptionKind(enum.Enum):
    """Type of an option's value."""

    TEXT = 'text'
    NUMBER = 'number'
    LIST = 'list'
    SWITCH = 'switch'


class Option(Record):
    """
    A command-line option.

    :param default: value if the option is not given, or None
    :param required: whether the option must be given
    """

    __slots__ = ('default', 'help_text', 'kind', 'name', 'required')

    def __init__(
        self,
        name: str,
        kind: OptionKind,
        help_text: str,
        default: object = None,
        required: bool = False,
    ):
        self.name = name
        self.kind = kind
        self.help_text = help_text
        self.default = default
        self.required = required


class Command(Record):
    """
    A command.

    :param words: name of the command, one or two words
    :param operands: names of the positional arguments, in order
    """

    __slots__ = ('operands', 'options', 'summary', 'words')

    def __init__(
        self,
        words: tuple[str, ...],
        summary: str,
        options: tuple[Option, ...] = (),
        operands: tuple[str, ...] = (),
    ):
        self.words = words
        self.summary = summary
        self.options = options
        self.operands = operands

    @property
    def usage(self) -> str:
        """Return the usage line."""
        parts = ['beechbridge', *self.words, *self.operands]
        parts += [f'--{option.name}=...' for option in self.options if option.required]
        if any(not option.required for option in self.options):
            parts.append('[options]')
        return ' '.join(parts)


TEXT = OptionKind.TEXT
NUMBER = OptionKind.NUMBER
LIST = OptionKind.LIST
SWITCH = OptionKind.SWITCH

ENTRY = Option('entry', LIST, 'host:port of VMs to contact, tried in order', required=True)
BACK_END = Option('back_end', TEXT, 'back end', required=True)
DEADLINE = Option('deadline_ms', NUMBER, 'deadline in milliseconds')
PLACE = Option('place', TEXT, 'data centre of the caller')

COMMANDS = (
    Command(
        ('query',),
        'run a query and show its rows and coverage',
        (
            ENTRY,
            BACK_END,
            Option('class', TEXT, 'query class, as defined in the rules', required=True),
            Option('match', TEXT, 'search criteria, a JSON object', '{}'),
            DEADLINE,
            Option('urgency', NUMBER, 'urgency; cannot exceed that of the class'),
            Option('minimum_snapshot', NUMBER, 'oldest snapshot to accept', 0),
            Option('limit', NUMBER, 'maximum number of rows', 100),
            PLACE,
        ),
    ),
    Command(
        ('submit',),
        'run a non-idempotent request with a ticket',
        (
            ENTRY,
            BACK_END,
            Option('key', TEXT, 'key that selects the shard', required=True),
            Option('body', TEXT, 'request body, a JSON object', '{}'),
            Option('ticket', TEXT, 'ticket of an earlier attempt to retry'),
            DEADLINE,
            PLACE,
        ),
    ),
    Command(('entry',), 'show the VMs that callers should use', (ENTRY, PLACE)),
    Command(
        ('state',),
        'show the state of VMs and where they differ',
        (
            Option('operations', LIST, 'host:port of operations addresses', required=True),
            Option('all', SWITCH, 'also query every VM that the first one lists', False),
            Option('full', SWITCH, 'show the full state instead of a summary', False),
        ),
    ),
    Command(
        ('evacuations',),
        'show the evacuated data centres',
        (Option('operations', LIST, 'host:port of operations addresses', required=True),),
    ),
    Command(
        ('config', 'check'),
        'check an inventory and a rules file',
        operands=('INVENTORY', 'RULES'),
    ),
    Command(
        ('config', 'build'),
        'build the document to publish from an inventory and rules',
        (
            Option(
                'generation',
                NUMBER,
                'generation; must be higher than any published one',
                required=True,
            ),
            Option('output', TEXT, 'output file; standard output if not given'),
        ),
        ('INVENTORY', 'RULES'),
    ),
    Command(
        ('config', 'diff'),
        'show the differences between two documents',
        operands=('OLD', 'NEW'),
    ),
    Command(('settings', 'check'), "check a daemon's settings file", operands=('SETTINGS',)),
)

FLAG_DEFINERS = {
    OptionKind.TEXT: flags.DEFINE_string,
    OptionKind.NUMBER: flags.DEFINE_integer,
    OptionKind.LIST: flags.DEFINE_list,
    OptionKind.SWITCH: flags.DEFINE_boolean,
}


def find_command(arguments: list[str]) -> Command | None:
    """Return the command that the first arguments name, or None."""
    for command in COMMANDS:
        if tuple(arguments[: len(command.words)]) == command.words:
            return command
    return None


def define_options(command: Command) -> flags.FlagValues:
    """Return the flag parser of a command's options."""
    values = flags.FlagValues()
    for option in command.options:
        define = FLAG_DEFINERS[option.kind]
        define(option.name, option.default, option.help_text, flag_values=values)
        if option.required:
            flags.mark_flag_as_required(option.name, values)
    return values


def describe_commands() -> str:
    """Return the help text of the program."""
    lines = ['usage: beechbridge COMMAND [options]', '']
    for command in COMMANDS:
        lines.append(f'  {" ".join(command.words):<16}{command.summary}')
    lines += ['', 'run beechbridge COMMAND --help for the options of a command']
    return '\n'.join(lines)


def describe_command(command: Command) -> str:
    """Return the help text of one command."""
    lines = [f'usage: {command.usage}', '', f'  {command.summary}', '']
    for option in command.options:
        default = '' if option.default is None else f' (default: {option.default})'
        lines.append(f'  --{option.name:<18}{option.help_text}{default}')
    return '\n'.join(lines)
