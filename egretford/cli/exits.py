"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the process tells its shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_INPUT = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_WHOLE = 6
