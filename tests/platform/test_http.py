"""The HTTP client for the object API, against the stand-in platform."""

import asyncio

import pytest

from egretford.errors import ObjectMissingError, StoreUnavailableError, VersionConflictError
from egretford.platform.http import HttpPlatform
from egretford.standin.faults import FaultKind, FaultRequest
from egretford.standin.platform import PlatformStandin
from tests.servers import HOST, serve


@pytest.fixture
async def standin():
    platform = PlatformStandin()
    server, task, port = await serve(platform.app)
    platform.port = port
    yield platform
    server.should_exit = True
    await task


@pytest.fixture
async def client(standin):
    platform = HttpPlatform(f"http://{HOST}:{standin.port}", timeout=1.0)
    await platform.start()
    yield platform
    await platform.close()


async def test_objects_are_created_once_and_updated_by_version(client):
    version = await client.create("a/1", b"\x00one")
    with pytest.raises(VersionConflictError):
        await client.create("a/1", b"two")
    newer = await client.update("a/1", b"two", version)
    with pytest.raises(VersionConflictError):
        await client.update("a/1", b"three", version)
    stored = await client.get("a/1")
    assert (stored.value, stored.version) == (b"two", newer)


async def test_deleted_object_is_missing(client):
    version = await client.create("a/1", b"one")
    with pytest.raises(VersionConflictError):
        await client.delete("a/1", version + 1)
    await client.delete("a/1", version)
    with pytest.raises(ObjectMissingError):
        await client.get("a/1")


async def test_listing_goes_over_pages_in_order(client, monkeypatch):
    monkeypatch.setattr("egretford.standin.objects.PAGE_BYTES", 10)
    for number in range(5):
        await client.create(f"a/{number}", b"12345678")
    await client.create("b/1", b"other")
    assert [item.key for item in await client.list("a/")] == [f"a/{n}" for n in range(5)]


async def test_watch_wakes_at_a_change_under_its_prefix(client):
    watch_task = asyncio.create_task(client.watch("a/", 0, 5.0))
    await asyncio.sleep(0.1)
    await client.create("b/1", b"other")
    await client.create("a/1", b"one")
    changes = await watch_task
    assert [item.key for item in changes.changed] == ["a/1"]


@pytest.mark.parametrize("kind", [FaultKind.DOWN, FaultKind.LOST_ANSWERS])
async def test_outage_and_lost_responses_raise_the_same_error(client, standin, kind):
    standin.faults.set(FaultRequest(kind, 5.0, seed=4), now=asyncio.get_running_loop().time())
    with pytest.raises(StoreUnavailableError):
        for number in range(10):
            await client.create(f"a/{number}", b"one")
    assert (len(standin.store.objects) > 0) is (kind is FaultKind.LOST_ANSWERS)


async def test_value_over_a_megabyte_is_refused(client):
    with pytest.raises(StoreUnavailableError):
        await client.create("a/1", b"x" * 1_000_001)
