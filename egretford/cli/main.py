"""Entry point of the `egretford` command.

Daemon commands do not import the command-line libraries, typer and click, which would
increase their resident memory.
"""

from __future__ import annotations

import sys

from egretford.cli.daemons import DAEMONS, run_daemon
from egretford.cli.exits import ExitStatus
from egretford.errors import EgretfordError, InputError, PlatformError, VersionConflictError


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status; errors have a traceback only with --debug."""
    args = sys.argv[1:] if arguments is None else arguments
    debug = "--debug" in args
    args = [arg for arg in args if arg != "--debug"]
    try:
        return _run(args)
    except EgretfordError as error:
        if debug:
            raise
        print(f"egretford: {error}", file=sys.stderr)
        return get_exit_status(error)
    except KeyboardInterrupt:
        return ExitStatus.FAILED


def _run(args: list[str]) -> int:
    if args and args[0] in DAEMONS:
        return run_daemon(args)
    from egretford.cli.operators import run_command

    return run_command(args)


def get_exit_status(error: EgretfordError) -> ExitStatus:
    """Return the exit status for an error of a command."""
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
    """Run `main` and exit with its status; called by the console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
