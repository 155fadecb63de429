"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command; the values are stable, so that scripts can use them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_INPUT = 3
    CONFLICT = 4
    UNREACHABLE = 5
    LOAD_FAILED = 6
