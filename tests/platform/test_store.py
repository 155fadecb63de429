"""The client for the metadata store, against servers that send endless responses."""

from __future__ import annotations

import pytest

from egretford.clock import SystemClock
from egretford.errors import StoreUnavailableError
from egretford.platform.store import MetadataStore
from tests.endless import assert_memory_below, run_endless
from tests.platform.standins import NullLog

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "nonsense": (b"", b"nonsense"),
    "header list": (OK, b"X: x\r\n"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "until close": (OK + b"\r\n", b"x"),
    "chunks": (CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n"),
    "chunk extension": (CHUNKED + b"2;a=", b"x"),
    "trailer list": (CHUNKED + b"0\r\n", b"X: x\r\n"),
}


# Guards against a store that exhausts the memory of its clients or blocks their calls.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_an_endless_response_is_an_error_and_closes_its_connection(kind):
    async with run_endless(*ENDLESS[kind]) as server:
        store = MetadataStore(server.address, SystemClock(), NullLog())
        with assert_memory_below(24_000_000), pytest.raises(StoreUnavailableError):
            await store.get("config", "main")
        await server.wait_disconnected()
        assert len(server.requests) == 1
        await store.close()
