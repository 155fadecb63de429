"""The client for the metadata store, against servers that send endless responses."""

from __future__ import annotations

import asyncio

import pytest

from egretford.clock import SystemClock
from egretford.errors import StoreUnavailableError
from egretford.http.messages import Headers
from egretford.platform.store import MetadataStore
from tests.endless import assert_memory_below, run_endless
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


class SlowServer(ListeningStandin):
    """Sends an object's parts with a pause of some seconds between them."""

    def __init__(self, pauses) -> None:
        self.pauses = pauses
        super().__init__()

    async def handle(self, http, responder):
        responder.start_stream(200, Headers())
        for part, pause in zip(
            (b'{"metadata":{"name":"m",', b'"revision":1}}'), self.pauses, strict=True
        ):
            await asyncio.sleep(pause)
            await responder.write(part)
        responder.finish_stream()


# Guards against large responses that are thrown away and begun again although they arrive, and
# against calls that never end.
@pytest.mark.parametrize(("pauses", "arrives"), [((0.9, 0.9), True), ((0.1, 3.0), False)])
async def test_a_response_may_take_long_while_it_arrives(pauses, arrives):
    server = SlowServer(pauses)
    await server.start()
    store = MetadataStore(server.address, SystemClock(), NullLog())
    try:
        if arrives:
            assert (await store.get("config", "main")).name == "m"
        else:
            with pytest.raises(StoreUnavailableError):
                await store.get("config", "main")
    finally:
        await store.close()
        await server.close()
