"""Operators' commands, against an in-memory platform."""

import asyncio
import json

import pytest

from egretford.cli.exits import ExitStatus
from egretford.cli.main import main
from egretford.cli.store import read_stored_tables, write_merged
from egretford.errors import StoreUnavailableError, VersionConflictError
from egretford.models import Pool, PoolKind, Route, Tables
from egretford.standin.objects import ObjectStore
from egretford.tables import merge_rows

VALID_TABLES = Tables([Route("r", "p")], [Pool("p", PoolKind.ENGINE, [])])


class InMemoryPlatform:
    """Platform that can apply a write and then fail as if its response was lost."""

    def __init__(self, lost_responses: int = 0) -> None:
        self.store = ObjectStore()
        self.lost_responses = lost_responses

    async def get(self, key):
        return self.store.get(key)

    async def create(self, key, value):
        return self._respond(self.store.create(key, value))

    async def update(self, key, value, version):
        return self._respond(self.store.update(key, value, version))

    def _respond(self, version):
        if self.lost_responses:
            self.lost_responses -= 1
            raise StoreUnavailableError("response lost")
        return version


def add_route(name):
    change = Tables([Route(name, "p")], [Pool("p", PoolKind.ENGINE, [])])
    return lambda current: merge_rows(current, change)


async def test_lost_answer_of_apply_counts_as_applied():
    platform = InMemoryPlatform(lost_responses=1)
    revision = await write_merged(platform, add_route("a"), None)
    assert revision == (await read_stored_tables(platform)).revision


async def test_racing_operators_with_a_revision_get_one_winner():
    platform = InMemoryPlatform()
    base = await write_merged(platform, lambda current: VALID_TABLES, None)
    results = await asyncio.gather(
        *(write_merged(platform, add_route(name), base) for name in "ab"), return_exceptions=True
    )
    assert sum(isinstance(result, VersionConflictError) for result in results) == 1


async def test_racing_operators_without_a_revision_are_merged():
    platform = InMemoryPlatform()
    await write_merged(platform, lambda current: VALID_TABLES, None)
    await asyncio.gather(*(write_merged(platform, add_route(name), None) for name in "ab"))
    names = [route.name for route in (await read_stored_tables(platform)).tables.routes]
    assert sorted(names) == ["a", "b", "r"]


@pytest.mark.parametrize(
    ("text", "status"),
    [
        ('{"routes": [], "pools": []}', ExitStatus.OK),
        ('{"routes": [{"name": "r"}]}', ExitStatus.BAD_INPUT),
        ('{"routes": [{"name": "r", "pool": "gone"}]}', ExitStatus.BAD_INPUT),
        ("nonsense", ExitStatus.BAD_INPUT),
    ],
)
def test_check_accepts_valid_and_refuses_invalid_tables(tmp_path, text, status):
    path = tmp_path / "tables.json"
    path.write_text(text)
    assert main(["check", str(path)]) == status


def test_errors_have_no_traceback_without_debug(tmp_path, capsys):
    assert main(["check", str(tmp_path / "gone.json")]) == ExitStatus.BAD_INPUT
    printed = capsys.readouterr().err
    assert "gone.json" in printed and "Traceback" not in printed


def test_unreachable_platform_has_its_own_status(tmp_path):
    path = tmp_path / "tables.json"
    path.write_text(json.dumps({"routes": [], "pools": []}))
    assert main(["apply", str(path), "--platform", "http://127.0.0.1:9"]) == (
        ExitStatus.UNREACHABLE
    )


def test_unknown_table_is_a_usage_error():
    assert main(["get", "tables"]) == ExitStatus.USAGE
