"""The operators' commands, against a stand-in platform in this process."""

import asyncio
import json

import pytest

from egretford.cli.exits import ExitStatus
from egretford.cli.main import main
from egretford.cli.store import read_revision, write_merged
from egretford.errors import StoreUnavailableError, VersionConflictError
from egretford.models import Pool, PoolKind, Route, Tables
from egretford.standin.objects import ObjectStore
from egretford.tables import merge_rows

GOOD = Tables([Route("r", "p")], [Pool("p", PoolKind.ENGINE, [])])


class MemoryPlatform:
    """A platform that can lose the answer of a write that took effect."""

    def __init__(self, lose_answers: int = 0) -> None:
        self.store = ObjectStore()
        self.lose_answers = lose_answers

    async def get(self, key):
        return self.store.get(key)

    async def create(self, key, value):
        return self._answer(self.store.create(key, value))

    async def update(self, key, value, version):
        return self._answer(self.store.update(key, value, version))

    def _answer(self, version):
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailableError("lost")
        return version


def add_route(name):
    change = Tables([Route(name, "p")], [Pool("p", PoolKind.ENGINE, [])])
    return lambda current: merge_rows(current, change)


async def test_lost_answer_of_apply_counts_as_applied():
    platform = MemoryPlatform(lose_answers=1)
    revision = await write_merged(platform, add_route("a"), None)
    assert revision == (await read_revision(platform)).revision


async def test_racing_operators_with_a_revision_get_one_winner():
    platform = MemoryPlatform()
    base = await write_merged(platform, lambda current: GOOD, None)
    results = await asyncio.gather(
        *(write_merged(platform, add_route(name), base) for name in "ab"), return_exceptions=True
    )
    assert sum(isinstance(result, VersionConflictError) for result in results) == 1


async def test_racing_operators_without_a_revision_are_merged():
    platform = MemoryPlatform()
    await write_merged(platform, lambda current: GOOD, None)
    await asyncio.gather(*(write_merged(platform, add_route(name), None) for name in "ab"))
    names = [route.name for route in (await read_revision(platform)).tables.routes]
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
def test_check_tells_good_from_bad(tmp_path, text, status):
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
