"""Starts daemons; uses argparse only, as importing typer and click would cost them memory."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from egretford import event_loop
from egretford.cli.exits import ExitStatus

# Optional dependencies of structlog and blacksheep, for features that egretford does not use.
BLOCKED_LIBRARIES = ("rich", "pydantic")
# The daemon commands, and what they run.
DAEMONS = {
    "entry": "Run an entry, which takes callers' requests.",
    "keeper": "Run a keeper of turns and token budgets on the users' platform.",
    "standin": "Run a stand-in of the platform, of an engine or of a service.",
}


def run_daemon(args: list[str]) -> int:
    """Run `entry`, `keeper` or `standin` until it is stopped by a signal."""
    block_optional_imports()
    options = build_parser().parse_args(args)
    from egretford.logs import configure_logs

    configure_logs(options.log_level)
    if options.command == "standin":
        return _run_standin(options)
    if options.command == "entry" and options.settings is not None:
        return _run_entry(options.settings)
    from egretford.cli.platform_daemons import run_platform_daemon

    advertised = getattr(options, "advertise", "")
    return run_platform_daemon(options.command, options.metrics_port, advertised)


def block_optional_imports() -> None:
    """Make imports of optional dependencies fail even if installed, to save memory."""
    for name in BLOCKED_LIBRARIES:
        sys.modules.setdefault(name, None)


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the daemon commands."""
    parser = argparse.ArgumentParser(prog="egretford")
    commands = parser.add_subparsers(dest="command", required=True)
    entry = commands.add_parser("entry", help=DAEMONS["entry"])
    entry.add_argument(
        "--settings",
        type=Path,
        help="JSON5 settings file, for egretford's own API;"
        " if omitted, the settings file that the platform names is used",
    )
    keeper = commands.add_parser("keeper", help=DAEMONS["keeper"])
    keeper.add_argument(
        "--advertise",
        default="",
        metavar="IP:PORT",
        help="address at which other instances reach this keeper, if not the one it listens on",
    )
    for command in (entry, keeper):
        command.add_argument(
            "--metrics-port", type=int, default=0, help="port for metrics; 0 disables them"
        )
    standin = commands.add_parser("standin", help="run a stand-in: platform, engine or service")
    standin.add_argument("kind", choices=("platform", "engine", "service"))
    standin.add_argument("--port", type=int, required=True)
    standin.add_argument("--host", default="127.0.0.1")
    standin.add_argument("--slots", type=int, default=8)
    standin.add_argument("--cache-tokens", type=int, default=60_000)
    standin.add_argument("--step-seconds", type=float, default=0.010)
    standin.add_argument("--call-seconds", type=float, default=0.02)
    standin.add_argument("--fencing", choices=("checked", "ignored"), default="ignored")
    for command in (entry, keeper, standin):
        command.add_argument("--log-level", default="INFO")
    return parser


def _run_entry(path: Path) -> int:
    from egretford.context import build_context
    from egretford.daemon import serve_entry
    from egretford.settings import read_settings

    event_loop.run(serve_entry(build_context(read_settings(path))))
    return ExitStatus.OK


def _run_standin(options: argparse.Namespace) -> int:
    import uvicorn

    app = _build_standin(options)
    uvicorn.run(
        app,
        host=options.host,
        port=options.port,
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    return ExitStatus.OK


def _build_standin(options: argparse.Namespace):
    match options.kind:
        case "platform":
            from egretford.standin.platform import PlatformStandin

            return PlatformStandin().app
        case "engine":
            from egretford.standin.batching import EngineProfile
            from egretford.standin.engine import EngineStandin

            profile = EngineProfile(
                slots=options.slots,
                step=options.step_seconds,
                cache_tokens=options.cache_tokens,
            )
            return EngineStandin(profile, fencing_checked=options.fencing == "checked").app
        case _:
            from egretford.standin.service import ServiceStandin

            return ServiceStandin(options.call_seconds).app
