"""Parsing and validation of the routes and pools tables; problems name file, row and field."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import json5
from attrs import Factory, define

from egretford.codec import explain_error, from_json
from egretford.errors import InputError, Problem
from egretford.models import Pool, PoolKind, Route, Tables

TABLES_KEY = "config/tables"
# Both tables are one object in the store, which limits objects to 1 MB.
MAX_TABLES_BYTES = 900_000
_ROW_TYPES = {"routes": Route, "pools": Pool}


@define
class ParsedTables:
    """The valid rows, and the problems and names (of routes, of pools) of the invalid ones."""

    tables: Tables
    problems: list[Problem] = Factory(list)
    invalid_names: tuple[set[str], set[str]] = Factory(lambda: (set(), set()))


def read_json(path: Path) -> Any:
    """Read a JSON5 file; raises InputError, naming the file, if it is unreadable or invalid."""
    try:
        return json5.loads(path.read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except OSError as error:
        raise InputError(
            [Problem(str(path), error.strerror or str(error), "check the path")]
        ) from error
    except (ValueError, RecursionError) as error:
        raise InputError(
            [Problem(str(path), f"not JSON with comments: {error}", "correct the syntax")]
        ) from error


def read_tables(path: Path) -> Tables:
    """Read a tables file; raises InputError with all problems if any row is invalid."""
    parsed = parse_rows(read_json(path), source=str(path))
    if parsed.problems:
        raise InputError(parsed.problems)
    return parsed.tables


def parse_rows(raw: Any, source: str) -> ParsedTables:
    """Parse each row independently; see `check_references` for checks between the tables."""
    parsed = ParsedTables(Tables())
    if not isinstance(raw, Mapping):
        parsed.problems.append(
            Problem(source, "expected an object", "give 'routes' and 'pools' as lists")
        )
        return parsed
    for name in raw:
        if name not in _ROW_TYPES:
            parsed.problems.append(
                Problem(f"{source}: {name}", "unknown table", "use 'routes' or 'pools'")
            )
    _parse_table(raw, "routes", source, parsed)
    _parse_table(raw, "pools", source, parsed)
    return parsed


def _parse_table(raw: Mapping[str, Any], table: str, source: str, parsed: ParsedTables) -> None:
    rows = raw.get(table, [])
    if not isinstance(rows, list):
        parsed.problems.append(Problem(f"{source}: {table}", "expected a list", "give rows"))
        return
    accepted: list = getattr(parsed.tables, table)
    for index, row in enumerate(rows):
        where = f"{source}: {table}[{index}]{_format_name(row)}"
        problems = _parse_row(row, table, where, accepted)
        if problems:
            parsed.problems.extend(problems)
            _record_bad_name(row, table, parsed)


def _parse_row(row: Any, table: str, where: str, accepted: list) -> list[Problem]:
    try:
        value = from_json(row, _ROW_TYPES[table])
    except Exception as error:
        return [
            Problem(f"{where}.{path}", what, "correct this field")
            for path, what in explain_error(error)
        ]
    if any(other.name == value.name for other in accepted):
        return [Problem(f"{where}.name", "the name stands twice", "rename one of the rows")]
    accepted.append(value)
    return []


def _format_name(row: Any) -> str:
    name = row.get("name") if isinstance(row, Mapping) else None
    return f" ({name})" if isinstance(name, str) else ""


def _record_bad_name(row: Any, table: str, parsed: ParsedTables) -> None:
    name = row.get("name") if isinstance(row, Mapping) else None
    if isinstance(name, str):
        parsed.invalid_names[0 if table == "routes" else 1].add(name)


def check_references(tables: Tables, source: str) -> list[Problem]:
    """Check that each route's pool exists, and that routes with a model have no service pool."""
    pools = {pool.name: pool for pool in tables.pools}
    problems = []
    for route in tables.routes:
        where = f"{source}: routes ({route.name})"
        pool = pools.get(route.pool)
        if pool is None:
            problems.append(
                Problem(f"{where}.pool", f"no pool '{route.pool}'", "add the pool or rename it")
            )
        elif route.match.model and pool.kind is PoolKind.SERVICE:
            problems.append(
                Problem(f"{where}.match.model", "the pool is a service", "drop the model")
            )
    return problems


def merge_rows(current: Tables, change: Tables) -> Tables:
    """Return `current` with the rows of `change` added, or replacing rows of the same name."""
    return Tables(
        _replace_by_name(current.routes, change.routes),
        _replace_by_name(current.pools, change.pools),
    )


def _replace_by_name(rows: list, changed: list) -> list:
    new = {row.name: row for row in changed}
    kept = [new.pop(row.name, row) for row in rows]
    return kept + list(new.values())
