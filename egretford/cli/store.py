"""Operators' access to the tables in the store, by conditional update."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from egretford.codec import to_json
from egretford.errors import (
    InputError,
    ObjectMissingError,
    Problem,
    StoreUnavailableError,
    VersionConflictError,
)
from egretford.models import Tables, TablesRevision
from egretford.platform.http import HttpPlatform
from egretford.platform.objects import Platform
from egretford.tables import MAX_TABLES_BYTES, TABLES_KEY, parse_rows

TIMEOUT_SECONDS = 5.0
MERGE_TRIES = 5


async def read_stored(url: str) -> TablesRevision:
    """Read the tables with their revision; revision 0 is an empty store."""
    platform = HttpPlatform(url, TIMEOUT_SECONDS)
    await platform.start()
    try:
        return await read_revision(platform)
    finally:
        await platform.close()


async def apply_tables(url: str, merge: Callable[[Tables], Tables], revision: int | None) -> int:
    """Merge a change into the stored tables; see `write_merged`."""
    platform = HttpPlatform(url, TIMEOUT_SECONDS)
    await platform.start()
    try:
        return await write_merged(platform, merge, revision)
    finally:
        await platform.close()


async def read_revision(platform: Platform) -> TablesRevision:
    """Read the tables from a platform."""
    try:
        stored = await platform.get(TABLES_KEY)
    except ObjectMissingError:
        return TablesRevision(0, Tables())
    parsed = parse_rows(orjson.loads(stored.value), source="stored tables")
    return TablesRevision(stored.version, parsed.tables)


async def write_merged(
    platform: Platform, merge: Callable[[Tables], Tables], revision: int | None
) -> int:
    """Write merged tables and return their revision.

    Without an expected `revision` a lost race is merged again on top of the winner;
    with one it raises VersionConflictError. An outage raises StoreUnavailableError unless the
    write can be shown to have taken effect.
    """
    for _ in range(MERGE_TRIES):
        current = await read_revision(platform)
        if revision is not None and current.revision != revision:
            raise VersionConflictError(
                f"the store holds revision {current.revision}, not {revision}; "
                "read the tables again, then apply your change to them"
            )
        value = _encode(merge(current.tables))
        try:
            return await _write(platform, value, current.revision)
        except VersionConflictError:
            continue
    raise VersionConflictError("other operators kept changing the tables; apply again")


def _encode(tables: Tables) -> bytes:
    value = orjson.dumps(to_json(tables))
    if len(value) > MAX_TABLES_BYTES:
        raise InputError(
            [Problem("tables", f"{len(value)} bytes", f"stay under {MAX_TABLES_BYTES}")]
        )
    return value


async def _write(platform: Platform, value: bytes, revision: int) -> int:
    try:
        if revision == 0:
            return await platform.create(TABLES_KEY, value)
        return await platform.update(TABLES_KEY, value, revision)
    except StoreUnavailableError:
        stored = await platform.get(TABLES_KEY)
        if stored.value == value and stored.version > revision:
            return stored.version
        raise
    except ObjectMissingError as error:
        raise VersionConflictError("the tables were deleted meanwhile") from error
