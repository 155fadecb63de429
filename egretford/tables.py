"""Reading and checking of the two tables, with problems that name file, row and field."""

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
MAX_TABLES_BYTES = 900_000
_ROW_KINDS = {"routes": Route, "pools": Pool}


@define
class ParsedTables:
    """Good rows, and the problems of the others."""

    tables: Tables
    problems: list[Problem] = Factory(list)
    bad_names: tuple[set[str], set[str]] = Factory(lambda: (set(), set()))


def read_json(path: Path) -> Any:
    """Read a JSON file with comments; raises InputError naming the file."""
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
    """Read and check a tables file as a whole; raises InputError listing every problem."""
    parsed = parse_rows(read_json(path), source=str(path))
    if parsed.problems:
        raise InputError(parsed.problems)
    return parsed.tables


def parse_rows(raw: Any, source: str) -> ParsedTables:
    """Parse rows one by one, then check the joins between the tables."""
    parsed = ParsedTables(Tables())
    if not isinstance(raw, Mapping):
        parsed.problems.append(
            Problem(source, "expected an object", "give 'routes' and 'pools' as lists")
        )
        return parsed
    for name in raw:
        if name not in _ROW_KINDS:
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
    taken: list = getattr(parsed.tables, table)
    for index, row in enumerate(rows):
        where = f"{source}: {table}[{index}]{_label(row)}"
        problems = _parse_row(row, table, where, taken)
        if problems:
            parsed.problems.extend(problems)
            _note_bad(row, table, parsed)


def _parse_row(row: Any, table: str, where: str, taken: list) -> list[Problem]:
    try:
        value = from_json(row, _ROW_KINDS[table])
    except Exception as error:
        return [
            Problem(f"{where}.{path}", what, "correct this field")
            for path, what in explain_error(error)
        ]
    if any(other.name == value.name for other in taken):
        return [Problem(f"{where}.name", "the name stands twice", "rename one of the rows")]
    taken.append(value)
    return []


def _label(row: Any) -> str:
    name = row.get("name") if isinstance(row, Mapping) else None
    return f" ({name})" if isinstance(name, str) else ""


def _note_bad(row: Any, table: str, parsed: ParsedTables) -> None:
    name = row.get("name") if isinstance(row, Mapping) else None
    if isinstance(name, str):
        parsed.bad_names[0 if table == "routes" else 1].add(name)


def check_joins(tables: Tables, source: str) -> list[Problem]:
    """Check that each route's pool exists and that its match fits the pool's kind."""
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
    """Return the tables with the rows of `change` added or replaced by name."""
    return Tables(
        _replace_by_name(current.routes, change.routes),
        _replace_by_name(current.pools, change.pools),
    )


def _replace_by_name(rows: list, changed: list) -> list:
    new = {row.name: row for row in changed}
    kept = [new.pop(row.name, row) for row in rows]
    return kept + list(new.values())
