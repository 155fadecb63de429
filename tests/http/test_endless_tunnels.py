"""Tunnels whose ends or servers send bytes without end."""

from __future__ import annotations

import asyncio

import pytest

from egretford.entry.tunnels import MAX_TUNNELS
from egretford.http.bodies import read_response
from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError
from tests.endless import FLOOD_BYTES, assert_memory_below, run_endless
from tests.http.test_tunnel import OPENED, REQUEST, open_tunnel, run_tunnels

REFUSED = b"HTTP/1.1 503 Service Unavailable\r\n"
# Upper bound on the bytes that wait in all tunnels of one entry.
MAX_BUFFERED_BYTES = 24_000_000
ENDLESS_ANSWERS = {
    "nonsense": (b"", b"nonsense"),
    "header list": (b"HTTP/1.1 200 OK\r\n", b"X: x\r\n"),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "switching protocols": (b"HTTP/1.1 101 Go\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", b"x"),
    "after the head": (OPENED, b"x"),
    "refusal": (REFUSED + b"\r\n", b"x"),
}


# Guards against reading an answer without end, or taking it for a tunnel.
@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
async def test_an_endless_answer_is_no_tunnel_and_is_cut_off(kind):
    async with run_endless(*ENDLESS_ANSWERS[kind]) as server:
        with assert_memory_below(8_000_000), pytest.raises((ConnectError, BrokenResponseError)):
            connection = await ClientConnection.open_tunnel(server.address, "127.0.0.1:1", 0.5)
            # The bytes may come after the head that opens the tunnel.
            connection.send(REQUEST)
            await asyncio.wait_for(read_response(connection, 1_000), 1.0)
        await server.wait_disconnected()
        assert server.sent < FLOOD_BYTES


def measure_buffered(caller) -> int:
    ends = (caller, caller.other)
    return sum(end._transport.get_write_buffer_size() for end in ends)


# Guards against the memory that many tunnels take if both ends send and neither reads.
async def test_many_tunnels_between_ends_that_do_not_read_take_bounded_memory():
    async def flood(reader, writer) -> None:
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()

    async with run_tunnels(flood) as (server, upstream):
        ends = [await open_tunnel(server, upstream) for _ in range(MAX_TUNNELS)]
        for _, writer in ends:
            writer.transport.pause_reading()
            writer.write(b"x" * 4_000_000)
        most = 0
        for _ in range(40):
            await asyncio.sleep(0.05)
            most = max(most, sum(measure_buffered(caller) for caller in server.tunnels))
        assert 0 < most < MAX_BUFFERED_BYTES
        for _, writer in ends:
            writer.transport.abort()
        await asyncio.sleep(0.05)
