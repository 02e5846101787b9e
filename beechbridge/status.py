"""Exit statuses of the programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a program."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    CANNOT_LISTEN = 4
    UNREACHABLE = 5
    REJECTED = 6
    INCOMPLETE = 7
    UNKNOWN_OUTCOME = 8
    DIFFERENT = 9
