"""Reads the stored tables and changes them by compare-and-swap."""

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
MAX_MERGE_ATTEMPTS = 5


async def fetch_tables(url: str) -> TablesRevision:
    """Read the tables from the platform at `url`; revision 0 means that none are stored."""
    platform = HttpPlatform(url, TIMEOUT_SECONDS)
    await platform.start()
    try:
        return await read_stored_tables(platform)
    finally:
        await platform.close()


async def apply_tables(url: str, merge: Callable[[Tables], Tables], revision: int | None) -> int:
    """Update the tables of the platform at `url`; see `write_merged`."""
    platform = HttpPlatform(url, TIMEOUT_SECONDS)
    await platform.start()
    try:
        return await write_merged(platform, merge, revision)
    finally:
        await platform.close()


async def read_stored_tables(platform: Platform) -> TablesRevision:
    """Read the tables with their revision; rows that are not valid are left out."""
    try:
        stored = await platform.get(TABLES_KEY)
    except ObjectMissingError:
        return TablesRevision(0, Tables())
    parsed = parse_rows(orjson.loads(stored.value), source="stored tables")
    return TablesRevision(stored.version, parsed.tables)


async def write_merged(
    platform: Platform, merge: Callable[[Tables], Tables], revision: int | None
) -> int:
    """Apply `merge` to the stored tables and return the new revision.

    If another write came first, the merge is retried on its result, or, if an expected
    `revision` was given, VersionConflictError is raised. If the store fails during the write,
    StoreUnavailableError is raised unless reading the tables shows that the write took effect.
    """
    for _ in range(MAX_MERGE_ATTEMPTS):
        current = await read_stored_tables(platform)
        if revision is not None and current.revision != revision:
            raise VersionConflictError(
                f"the stored tables have revision {current.revision}, not {revision}; "
                "read the tables again and apply your change to them"
            )
        value = _encode(merge(current.tables))
        try:
            return await _write(platform, value, current.revision)
        except VersionConflictError:
            continue
    raise VersionConflictError("the tables kept changing during the update; apply again")


def _encode(tables: Tables) -> bytes:
    value = orjson.dumps(to_json(tables))
    if len(value) > MAX_TABLES_BYTES:
        raise InputError(
            [
                Problem(
                    "tables",
                    f"{len(value)} bytes",
                    f"reduce the tables to at most {MAX_TABLES_BYTES} bytes",
                )
            ]
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
        raise VersionConflictError(
            "the tables were deleted during the update; apply again"
        ) from error
