"""Operators' commands: tables, status, metrics, load tests and log analysis."""

from __future__ import annotations

import asyncio
import json
from importlib import metadata
from pathlib import Path
from typing import Annotated

import typer

from egretford.cli.account import read_statistics, render_breakdown
from egretford.cli.daemons import DAEMONS, run_daemon
from egretford.cli.exits import ExitStatus
from egretford.cli.explain import explain_request, read_lines
from egretford.cli.requests import fetch_json
from egretford.cli.store import apply_tables, fetch_tables
from egretford.codec import to_json
from egretford.errors import InputError
from egretford.models import Tables
from egretford.platform.report import decode_report
from egretford.tables import check_references, merge_rows, read_json, read_tables

# typer brings its own copy of click, or uses an installed one, and does not export this class.
UsageError = typer.BadParameter.__bases__[0]
PLATFORM = Annotated[
    str, typer.Option(envvar="EGRETFORD_PLATFORM", help="URL of the platform's object API")
]
ENTRY = Annotated[str, typer.Option(envvar="EGRETFORD_ENTRY", help="URL of an entry")]
DEFAULT_PLATFORM = "http://127.0.0.1:7100"
DEFAULT_ENTRY = "http://127.0.0.1:7200"

app = typer.Typer(
    add_completion=False, no_args_is_help=True, help="Configure, inspect and test egretford."
)


def run_command(args: list[str]) -> int:
    """Run an operators' command and return its exit status; egretford's errors are raised."""
    try:
        result = app(args, standalone_mode=False)
    except UsageError as error:
        error.show()
        return ExitStatus.USAGE
    except (typer.Abort, typer.Exit) as stop:
        return getattr(stop, "exit_code", ExitStatus.FAILED)
    return result if isinstance(result, int) else ExitStatus.OK


def _print_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(f"egretford {metadata.version('egretford')}")
        raise typer.Exit


@app.callback()
def set_options(
    version: Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True, help="print the version"),
    ] = False,
) -> None:
    """Configure, inspect and test egretford."""


@app.command()
def check(file: Path) -> int:
    """Validate a tables file, including references between tables, without applying it."""
    tables = read_tables(file)
    problems = check_references(tables, str(file))
    if problems:
        raise InputError(problems)
    typer.echo(f"{file}: {len(tables.routes)} routes and {len(tables.pools)} pools are valid")
    return ExitStatus.OK


@app.command()
def apply(
    file: Path,
    platform: PLATFORM = DEFAULT_PLATFORM,
    revision: Annotated[
        int | None, typer.Option(help="apply only if the stored tables have this revision")
    ] = None,
    replace: Annotated[
        bool, typer.Option(help="remove stored rows that are not in the file")
    ] = False,
) -> int:
    """Apply a tables file; if any row is invalid, nothing is changed."""
    change = read_tables(file)

    def merge(current: Tables) -> Tables:
        merged = change if replace else merge_rows(current, change)
        problems = check_references(merged, str(file))
        if problems:
            raise InputError(problems)
        return merged

    applied = asyncio.run(apply_tables(platform, merge, revision))
    typer.echo(f"applied as revision {applied}")
    return ExitStatus.OK


@app.command()
def get(
    table: Annotated[str, typer.Argument(help="routes or pools")],
    platform: PLATFORM = DEFAULT_PLATFORM,
) -> int:
    """Print a table as stored, with its revision."""
    if table not in ("routes", "pools"):
        raise UsageError(f"no table {table!r}; use 'routes' or 'pools'")
    stored = asyncio.run(fetch_tables(platform))
    rows = getattr(stored.tables, table)
    _print_json({"revision": stored.revision, table: to_json(rows)})
    return ExitStatus.OK


@app.command()
def status(entry: ENTRY = DEFAULT_ENTRY) -> int:
    """Print an entry's status as JSON."""
    _print_json(asyncio.run(fetch_json(f"{entry}/v1/status")))
    return ExitStatus.OK


@app.command()
def histograms(entry: ENTRY = DEFAULT_ENTRY) -> int:
    """Print latency histograms by tenant and urgency class."""
    rows = asyncio.run(fetch_json(f"{entry}/v1/histograms"))
    typer.echo(
        f"{'name':<10}{'tenant':<28}{'class':<13}{'count':>8}"
        f"{'p50 s':>9}{'p95 s':>9}{'p99 s':>9}{'max s':>9}"
    )
    for row in rows:
        times = "".join(f"{row['percentiles'][p]:>9.3f}" for p in ("p50", "p95", "p99"))
        typer.echo(
            f"{row['name']:<10}{row['tenant']:<28}{row['urgency']:<13}{row['count']:>8}"
            f"{times}{row['maximum']:>9.3f}"
        )
    return ExitStatus.OK


@app.command()
def load(
    workload: Path,
    entry: Annotated[list[str], typer.Option(help="URL of an entry; may be repeated")],
    programs: Annotated[int, typer.Option(min=1, max=100_000)] = 20,
    concurrency: Annotated[int, typer.Option(min=1, max=2_000)] = 8,
    seed: int = 1,
    service: Annotated[
        list[str] | None, typer.Option(help="URL of a service whose effects are checked")
    ] = None,
    report: Annotated[
        Path | None, typer.Option(help="also write the report to this JSON file")
    ] = None,
    quiet: bool = False,
) -> int:
    """Run a workload against running entries and print a report."""
    from egretford.cli.load import run_load
    from egretford.cli.workload import read_workload

    result = asyncio.run(
        run_load(
            read_workload(workload),
            entries=entry,
            services=service or [],
            programs=programs,
            concurrency=concurrency,
            seed=seed,
            show_progress=not quiet,
        )
    )
    _print_json(to_json(result))
    if report is not None:
        report.write_text(json.dumps(to_json(result), indent=2) + "\n")
    return ExitStatus.OK if result.is_successful else ExitStatus.LOAD_FAILED


def _run_daemon(context: typer.Context) -> int:
    return run_daemon([context.info_name, *context.args])


# `main` starts daemons without typer; these commands only list them in the help.
for name, description in DAEMONS.items():
    app.command(name, help=description)(_run_daemon)


def _print_json(value: object) -> None:
    typer.echo(json.dumps(value, indent=2))


@app.command()
def explain(
    request: Annotated[str, typer.Argument(help="id of the request")],
    logs: Annotated[
        list[Path], typer.Argument(help="log files of entries and keepers", exists=True)
    ],
) -> int:
    """Print the log lines of one request in order, and the state that decisions were based on."""
    explanation = explain_request(request, read_lines(logs))
    typer.echo(explanation.render())
    return ExitStatus.OK if explanation.lines else ExitStatus.FAILED


@app.command()
def account(
    report: Annotated[Path, typer.Argument(help="JSON report of a bench day", exists=True)],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="log files of that day's entries")
    ] = None,
) -> int:
    """Print what a bench day lost, largest loss first, and request times from its logs."""
    day = decode_report(read_json(report))
    typer.echo(render_breakdown(day, read_statistics(read_lines(logs or []))))
    return ExitStatus.OK
