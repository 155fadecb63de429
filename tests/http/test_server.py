"""The HTTP server: limits, malformed and smuggled requests, slow and idle connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from egretford.clock import SystemClock
from egretford.http.limits import RequestLimits
from egretford.http.messages import Headers
from egretford.http.server import LINGER_SECONDS, MAX_PIPELINED, HttpServer
from tests.platform.standins import NullLog

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
async def server():
    requests = []

    async def handle(http, responder):
        requests.append(http)
        responder.send_response(200, Headers(), b"ok")

    limits = RequestLimits(
        header_bytes=1_000, body_bytes=1_000, header_timeout=0.2, idle_timeout=0.4
    )
    server = HttpServer(handle, limits, SystemClock(), NullLog())
    server.requests = requests
    await server.start("127.0.0.1:0")
    yield server
    await server.close()


async def exchange(server, data, *, timeout_seconds=1.0):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), timeout_seconds)
    except TimeoutError:
        return await asyncio.wait_for(reader.read(65_536), 0.01)
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


def parse_status(answer):
    return int(answer.split(b" ")[1])


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 2_000, 431),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5dc\r\n" + b"z" * 1_500 + b"\r\n0\r\n\r\n",
            413,
        ),
    ],
)
async def test_requests_that_break_protocol_or_limits_are_refused(server, request_bytes, status):
    answer = await exchange(server, request_bytes)
    assert parse_status(answer) == status
    assert not server.requests


async def test_a_header_that_takes_too_long_is_refused(server):
    assert parse_status(await exchange(server, b"GET / HTTP/1.1\r\nHo")) == 408


async def test_an_idle_connection_is_closed_and_a_request_before_is_answered(server):
    answer = await exchange(server, REQUEST)
    assert parse_status(answer) == 200


async def test_a_request_inside_a_body_stays_a_body(server):
    inner = b"GET /inner HTTP/1.1\r\nHost: a\r\n\r\n"
    outer = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(inner)
    await exchange(server, outer + inner)
    assert [http.body for http in server.requests] == [inner]


async def test_a_chunked_body_is_joined(server):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    await exchange(server, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert server.requests[0].body == b"abcde"


async def test_requests_sent_ahead_are_answered_in_order(server):
    answer = await exchange(server, REQUEST * 3)
    assert answer.count(b"200 OK") == 3


async def test_a_draining_server_asks_callers_to_close(server):
    server.draining = True
    assert b"Connection: close" in await exchange(server, REQUEST)


async def test_a_handler_is_cancelled_when_its_caller_leaves(server):
    cancelled = asyncio.Event()

    async def handle(http, responder):
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server.handle = handle
    _, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(REQUEST)
    await asyncio.sleep(0.05)
    writer.close()
    await asyncio.wait_for(cancelled.wait(), 1.0)


# Status 500 makes no statement on whether the request ran.
async def test_a_failing_handler_gives_status_500(server):
    async def handle(http, responder):
        raise ValueError("a fault")

    server.handle = handle
    assert parse_status(await exchange(server, REQUEST)) == 500


# Guards against "100 Continue" within the response to an earlier request on the same connection.
async def test_an_expectation_is_met_after_the_response_before_it(server):
    async def stream_slowly(http, responder):
        responder.start_stream(200, Headers())
        for _ in range(3):
            await responder.write(b"part")
            await asyncio.sleep(0.03)
        responder.finish_stream()

    server.handle = stream_slowly
    expecting = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(REQUEST + expecting)
    async with asyncio.timeout(1):
        first = await reader.readuntil(b"0\r\n\r\n")
        rest = await reader.readline()
    writer.close()
    assert first.count(b"part") == 3 and b"100 Continue" not in first
    assert rest == b"HTTP/1.1 100 Continue\r\n"


# Guards against whole requests left unanswered since a later one on the connection was refused.
@pytest.mark.parametrize(
    ("refused", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nHo", 408),
        (REQUEST * (MAX_PIPELINED + 2), 400),
    ],
    ids=["malformed", "large body", "late header", "too many"],
)
async def test_requests_before_a_refused_one_are_answered(server, refused, status):
    async def answer_late(http, responder):
        server.requests.append(http)
        if len(server.requests) == 1:
            await asyncio.sleep(0.3)
        responder.send_response(200, Headers(), b"ok")

    server.handle = answer_late
    answer = await exchange(server, REQUEST * 3 + refused)
    assert len(server.requests) >= 3
    assert answer.count(b"200 OK") == len(server.requests)
    assert parse_status(b"HTTP/1.1" + answer.split(b"HTTP/1.1")[-1]) == status
    assert answer.count(b"Connection: close") == 1


# Guards against a response cut short because its caller sent more before it had read the close.
@pytest.mark.parametrize("extra", [REQUEST, b"x" * 100_000], ids=["a request", "a body"])
async def test_a_response_before_a_close_arrives_whole_whatever_its_caller_sends(server, extra):
    body = b"y" * 1_000_000

    async def handle(http, responder):
        responder.send_response(200, Headers(), body)

    server.handle = handle
    server.draining = True
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", server.port))
        await loop.sock_sendall(caller, REQUEST)
        await asyncio.sleep(0.05)
        await loop.sock_sendall(caller, extra)
        await asyncio.sleep(0.05)
        received = b""
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(caller, 65_536):
                received += data
    assert received.endswith(b"\r\n\r\n" + body)


async def test_a_caller_that_does_not_close_is_not_kept(server):
    server.draining = True
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(REQUEST)
    async with asyncio.timeout(LINGER_SECONDS + 1):
        await reader.read()
        while server.connections:
            await asyncio.sleep(0.01)
    writer.close()
