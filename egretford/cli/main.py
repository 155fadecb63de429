"""Entry point of the `egretford` command.

Daemons are started without importing the command-line libraries, which would cost them
resident memory.
"""

from __future__ import annotations

import sys

from egretford.cli.exits import ExitStatus
from egretford.errors import EgretfordError, InputError, PlatformError, VersionConflictError

DAEMONS = ("entry", "keeper", "standin")


def main(arguments: list[str] | None = None) -> int:
    """Run one command; returns its exit status."""
    words = sys.argv[1:] if arguments is None else arguments
    debug = "--debug" in words
    words = [word for word in words if word != "--debug"]
    try:
        return _run(words)
    except EgretfordError as error:
        if debug:
            raise
        print(f"egretford: {error}", file=sys.stderr)
        return choose_status(error)
    except KeyboardInterrupt:
        return ExitStatus.FAILED


def _run(words: list[str]) -> int:
    if words and words[0] in DAEMONS and "--help" not in words:
        from egretford.cli.daemons import run_daemon

        return run_daemon(words)
    from egretford.cli.operators import run_command

    return run_command(words)


def choose_status(error: EgretfordError) -> ExitStatus:
    """Map an error to the exit status that scripts can rely on."""
    match error:
        case InputError():
            return ExitStatus.BAD_INPUT
        case VersionConflictError():
            return ExitStatus.CONFLICT
        case PlatformError():
            return ExitStatus.UNREACHABLE
        case _:
            return ExitStatus.FAILED


def run() -> None:
    """Exit with the status of `main`; the console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
