"""Client connections: only whole responses count, and nothing left over is trusted."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError, read_whole


async def answer_with(data: bytes, *, reset: bool = False, stay: bool = False):
    """Serve one connection: read a request, send bytes, close."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if stay:
            await asyncio.sleep(5)
        if reset:
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


async def ask(data: bytes, **how):
    server = await answer_with(data, **how)
    port = server.sockets[0].getsockname()[1]
    connection = await ClientConnection.open(f"127.0.0.1:{port}", 1.0)
    connection.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    try:
        return connection, await asyncio.wait_for(read_whole(connection, 1_000), 2.0)
    finally:
        connection.finish(0.0)
        server.close()


async def test_a_whole_response_leaves_a_connection_to_reuse():
    connection, (head, body) = await ask(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", stay=True
    )
    assert (head.status, body) == (200, b"hi")
    assert connection.is_usable(0.0)
    connection.close()


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
        b"SSH-2.0-whatever\r\n",
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2_000,
    ],
)
async def test_what_is_no_whole_response_is_an_error(data):
    with pytest.raises(BrokenResponseError):
        await ask(data)


async def test_a_response_without_length_ends_with_its_connection():
    connection, (_, body) = await ask(b"HTTP/1.1 200 OK\r\n\r\nhi")
    assert body == b"hi"
    assert not connection.reusable


async def test_a_response_without_length_that_is_reset_is_not_whole():
    with pytest.raises(BrokenResponseError):
        await ask(b"HTTP/1.1 200 OK\r\n\r\nhi", reset=True)


async def test_bytes_left_over_end_the_connection():
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
    connection, _ = await ask(whole + b"HTTP/1.1 200 OK\r\n\r\nextra", stay=True)
    assert not connection.is_usable(0.0)
    connection.close()


async def test_a_closed_port_is_told_apart_from_a_lost_response():
    with pytest.raises(ConnectError):
        await ClientConnection.open("127.0.0.1:1", 1.0)


async def test_a_waiting_read_ends_when_it_is_cancelled():
    server = await answer_with(b"", stay=True)
    port = server.sockets[0].getsockname()[1]
    connection = await ClientConnection.open(f"127.0.0.1:{port}", 1.0)
    connection.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(connection.read(), 0.05)
    connection.close()
    server.close()
