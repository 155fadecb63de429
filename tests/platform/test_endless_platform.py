"""Platforms and stores that send responses or listings without end."""

from __future__ import annotations

import asyncio
import itertools

import orjson
import pytest

from egretford.clock import SystemClock
from egretford.errors import StoreUnavailableError
from egretford.http.messages import Headers
from egretford.platform.http import HttpPlatform
from egretford.platform.store import MetadataStore
from tests.endless import FLOOD_BYTES, assert_memory_below, run_endless
from tests.platform.standins import ListeningStandin, NullLog

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "nonsense": (b"", b"nonsense"),
    "header list": (OK, b"X: x\r\n"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "until close": (OK + b"\r\n", b"x"),
    "chunks": (CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n"),
    "failure": (b"HTTP/1.1 500 No\r\n\r\n", b"x"),
    "trailer list": (CHUNKED + b"0\r\n", b"X: x\r\n"),
}


# Guards against an object API that exhausts the memory of its clients.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_an_endless_response_of_the_object_api_is_cut_off(kind):
    async with run_endless(*ENDLESS[kind]) as server:
        platform = HttpPlatform(f"http://{server.address}", timeout=3.0)
        await platform.start()
        with assert_memory_below(64_000_000), pytest.raises(StoreUnavailableError):
            await platform.get("a/1")
        await asyncio.wait_for(server.disconnected.wait(), 1.0)
        assert server.sent < FLOOD_BYTES
        await platform.close()


# Guards against reading a chunk extension for longer than the time of the call.
async def test_an_endless_chunk_extension_ends_with_the_call():
    async with run_endless(CHUNKED + b"2;a=", b"x") as server:
        platform = HttpPlatform(f"http://{server.address}", timeout=0.5)
        await platform.start()
        with assert_memory_below(8_000_000), pytest.raises(StoreUnavailableError):
            await platform.get("a/1")
        await asyncio.wait_for(server.disconnected.wait(), 1.0)
        await platform.close()


class EndlessListing(ListeningStandin):
    """A store whose listing has always one more page, of `count` objects of `size` bytes."""

    def __init__(self, count: int, size: int) -> None:
        self._names = (f"n{number:09}" for number in itertools.count())
        self._count = count
        self._content = "x" * size
        self.pages = 0
        super().__init__()

    async def handle(self, http, responder):
        self.pages += 1
        items = [
            {"metadata": {"name": next(self._names), "revision": 1}, "spec": self._content}
            for _ in range(self._count)
        ]
        page = {"items": items, "store_revision": 1, "more_pages": True}
        responder.send_response(200, Headers(), orjson.dumps(page))


# Guards against a listing that goes on until the memory is exhausted.
@pytest.mark.parametrize(("count", "size"), [(1, 1_000_000), (1_000, 10)], ids=["large", "small"])
async def test_a_listing_without_end_fails(count, size):
    server = EndlessListing(count, size)
    await server.start()
    store = MetadataStore(server.address, SystemClock(), NullLog())
    try:
        with assert_memory_below(48_000_000), pytest.raises(StoreUnavailableError):
            async with asyncio.timeout(5.0):
                await store.list_all("workers")
        assert server.pages < 40
    finally:
        await store.close()
        await server.close()
