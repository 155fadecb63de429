"""Callers that send endless requests until the server closes the connection."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from egretford.clock import SystemClock
from egretford.http.limits import RequestLimits
from egretford.http.messages import Headers
from egretford.http.server import HttpServer, ServerConnection
from tests.endless import BLOCK_BYTES, FLOOD_BYTES, assert_memory_below
from tests.platform.standins import NullLog

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "blank lines": (b"", b"\r\n"),
    "target": (b"GET /", b"x"),
    "header field": (b"GET / HTTP/1.1\r\nHost: a\r\nX: ", b"x"),
    "header list": (b"GET / HTTP/1.1\r\nHost: a\r\n", b"X: x\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"2;a=", b"x"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 4_000 + b"\r\nx\r\n"),
    "chunks": (CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n"),
    "trailer field": (CHUNKED + b"0\r\nX: ", b"x"),
    "trailer list": (CHUNKED + b"0\r\n", b"X: x\r\n"),
}
# Upper bound in bytes on what a caller can send before it is cut off: the limit on a body with its
# framing, plus socket buffers.
MAX_SENT_BYTES = 16_000_000
# The most that a server reads from a connection at once.
READ_BYTES = 262_144


@contextlib.asynccontextmanager
async def run_server(handle=None):
    async def answer(http, responder):
        responder.send_response(200, Headers(), b"ok")

    server = HttpServer(handle or answer, RequestLimits(), SystemClock(), NullLog())
    await server.start("127.0.0.1:0")
    try:
        yield server
    finally:
        await server.close()


async def flood(server, prefix: bytes, unit: bytes) -> int:
    """Send without end until the connection is closed; returns the number of bytes sent."""
    _, writer = await asyncio.open_connection("127.0.0.1", server.port)
    block = unit * max(1, BLOCK_BYTES // len(unit))
    sent = 0
    try:
        writer.write(prefix)
        with contextlib.suppress(ConnectionError):
            while sent < FLOOD_BYTES:
                writer.write(block)
                sent += len(block)
                await writer.drain()
                await asyncio.sleep(0)
    finally:
        writer.transport.abort()
    return sent


async def ask(server) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(GET)
    try:
        return await asyncio.wait_for(reader.readuntil(b"ok"), 1.0)
    finally:
        writer.close()


# Guards against buffering a request without end, and against reading it until a timeout.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_an_endless_request_is_cut_off_and_others_are_answered(kind):
    async with run_server() as server:
        with assert_memory_below(16_000_000):
            flooding = asyncio.create_task(flood(server, *ENDLESS[kind]))
            await asyncio.sleep(0)
            assert await ask(server)
            sent = await asyncio.wait_for(flooding, 5.0)
        assert sent < MAX_SENT_BYTES
        await asyncio.sleep(0.05)
        assert not server.connections


# Guards against a body within the limit that takes many times its size in small chunks.
async def test_a_body_in_small_chunks_takes_little_more_memory_than_its_size():
    body = b"xy" * 1_000_000
    bodies = []

    async def keep(http, responder):
        bodies.append(http.body)
        responder.send_response(200, Headers(), b"ok")

    async with run_server(keep) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        chunks = b"2\r\nxy\r\n" * (len(body) // 2) + b"0\r\n\r\n"
        with assert_memory_below(len(body) * 4 + len(chunks)):
            writer.write(CHUNKED + chunks)
            await asyncio.wait_for(reader.readuntil(b"ok"), 5.0)
        writer.close()
    assert bodies == [body]


# Guards against trailers that change the fields of a request whose head was already checked.
async def test_trailers_do_not_become_header_fields():
    requests = []

    async def keep(http, responder):
        requests.append(http)
        responder.send_response(200, Headers(), b"ok")

    async with run_server(keep) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(CHUNKED + b"1\r\nx\r\n0\r\nX: x\r\n\r\n")
        await asyncio.wait_for(reader.readuntil(b"ok"), 1.0)
        writer.close()
    assert requests[0].body == b"x"
    assert requests[0].headers.get(b"x") is None


# Guards against responses that pile up for a caller that sends requests and reads nothing, and
# against a connection that it holds for good.
async def test_unread_responses_hold_up_the_requests_after_them():
    served = 0

    async def answer(http, responder):
        nonlocal served
        served += 1
        responder.send_response(200, Headers(), b"x" * 500_000)

    async with run_server(answer) as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.transport.pause_reading()
        with assert_memory_below(8_000_000):
            for _ in range(200):
                writer.write(GET)
                await asyncio.sleep(0.002)
            assert served < 30
            async with asyncio.timeout(6.0):
                while server.connections:
                    await asyncio.sleep(0.1)
        writer.transport.abort()


# Guards against many large bodies that are kept while the request before them is handled.
async def test_bodies_sent_ahead_wait_at_the_caller(monkeypatch):
    release = asyncio.Event()
    bodies = []
    received = 0

    def count_received(connection, data):
        nonlocal received
        received += len(data)
        receive(connection, data)

    receive = ServerConnection.data_received
    monkeypatch.setattr(ServerConnection, "data_received", count_received)

    async def wait(http, responder):
        await release.wait()
        bodies.append(len(http.body))
        responder.send_response(200, Headers(), b"ok")

    size = 3_000_000
    request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size
    async with run_server(wait) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request * 10)
        await asyncio.sleep(0.5)
        # The body in work, as many bytes ahead as one body may have, and one read.
        assert size < received <= size + RequestLimits().body_bytes + READ_BYTES
        release.set()
        for _ in range(10):
            await asyncio.wait_for(reader.readuntil(b"ok"), 2.0)
        writer.close()
    assert bodies == [size] * 10
