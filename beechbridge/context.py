"""Environment of the command-line tool, passed explicitly so that tests can supply their own."""

import sys
from typing import TextIO


class Environment:
    """
    Output streams of one run.

    :param stdout: where results go
    :param stderr: where errors go
    :param is_terminal: whether standard output is a terminal; None asks the stream
    """

    __slots__ = ('is_terminal', 'stderr', 'stdout')

    def __init__(
        self,
        stdout: TextIO | None = None,
        stderr: TextIO | None = None,
        is_terminal: bool | None = None,
    ):
        self.stdout = stdout if stdout is not None else sys.stdout
        self.stderr = stderr if stderr is not None else sys.stderr
        self.is_terminal = self.stdout.isatty() if is_terminal is None else is_terminal
