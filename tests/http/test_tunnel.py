"""Tunnels over real sockets: bytes both ways, ends and resets, and requests that are refused."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from egretford.http import tunnel
from egretford.http.bodies import read_response
from egretford.http.client import (
    BrokenResponseError,
    ClientConnection,
    ConnectError,
    TargetUnreachableError,
)
from egretford.http.tunnel import TunnelRefusedError, TunnelServer
from tests.platform.standins import NullLog

LARGE = bytes(range(256)) * 32_768
OPENED = b"HTTP/1.1 200 OK\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def reset(writer) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Upstream:
    """A server that passes each connection to `handle`, and records how it ended."""

    def __init__(self, handle=None) -> None:
        self._handle = handle
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.connections = 0
        self.received = bytearray()
        self.ended = asyncio.Event()
        self.was_reset = False

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        try:
            if self._handle is not None:
                await self._handle(reader, writer)
            while data := await reader.read(65_536):
                self.received += data
        except ConnectionError:
            self.was_reset = True
        finally:
            self.ended.set()
            writer.close()

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def admit_all(ip: str, target: str) -> None:
    return


@asynccontextmanager
async def run_tunnels(handle=None, admit=admit_all, connect_timeout=0.5):
    """Yield a tunnel server with its address, and an upstream."""
    upstream = Upstream(handle)
    server = TunnelServer(admit, connect_timeout, NullLog())
    await upstream.start()
    await server.start("127.0.0.1:0")
    server.address = f"127.0.0.1:{server._server.sockets[0].getsockname()[1]}"
    try:
        yield server, upstream
    finally:
        await server.close()
        await upstream.close()


async def connect(server):
    host, _, port = server.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def make_request(target: str) -> bytes:
    return f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n".encode()


async def open_tunnel(server, upstream):
    reader, writer = await connect(server)
    writer.write(make_request(upstream.address))
    assert await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1) == OPENED
    return reader, writer


async def read_outcome(reader) -> bytes | None:
    """Return all bytes up to the end of the connection, or None if it was reset."""
    try:
        return await asyncio.wait_for(reader.read(), 1)
    except ConnectionError:
        return None


async def echo(reader, writer) -> None:
    while data := await reader.read(65_536):
        writer.write(data)
        await writer.drain()


# Guards against bytes that are lost, changed or out of order in either direction, such as in bodies
# larger than all buffers.
@pytest.mark.parametrize("data", [b"x", b"\r\n\r\nCONNECT a:1 HTTP/1.1\r\n\r\n\0\xff", LARGE])
async def test_bytes_pass_unchanged_both_ways(data):
    async with run_tunnels(echo) as (server, upstream):
        reader, writer = await open_tunnel(server, upstream)
        writer.write(data)
        assert await asyncio.wait_for(reader.readexactly(len(data)), 5) == data
        writer.close()


# Guards against a peer that buffers without limit for an end that does not read.
@pytest.mark.parametrize("slow_end", ["upstream", "caller"])
async def test_a_slow_reader_pauses_the_sender(slow_end):
    resume = asyncio.Event()
    sent = 0

    async def flood(writer) -> None:
        nonlocal sent
        with contextlib.suppress(ConnectionError):
            for _ in range(1_000):
                writer.write(b"x" * 65_536)
                await writer.drain()
                sent += 65_536

    async def handle(reader, writer) -> None:
        if slow_end == "caller":
            await flood(writer)
        else:
            await resume.wait()

    async with run_tunnels(handle) as (server, upstream):
        reader, writer = await open_tunnel(server, upstream)
        sending = asyncio.create_task(flood(writer)) if slow_end == "upstream" else None
        await asyncio.sleep(0.5)
        before = sent
        await asyncio.sleep(0.2)
        assert before == sent < 40_000_000
        buffered = max(
            end._transport.get_write_buffer_size()
            for caller in server.tunnels
            for end in (caller, caller.other)
        )
        assert 0 < buffered < 1_000_000
        resume.set()
        if slow_end == "caller":
            received = 0
            while received < 65_536_000:
                received += len(await asyncio.wait_for(reader.read(1_000_000), 2))
        else:
            await asyncio.wait_for(sending, 5)
        assert sent == 65_536_000
        writer.close()


# Guards against the end of a response that is lost or cut, and against upstreams that do not learn
# that a caller is done.
async def test_an_end_at_either_side_arrives_after_all_data():
    async def answer_and_end(reader, writer) -> None:
        writer.write(LARGE)
        writer.close()

    async with run_tunnels(answer_and_end) as (server, upstream):
        reader, _writer = await open_tunnel(server, upstream)
        assert await asyncio.wait_for(reader.read(), 5) == LARGE
        assert not server.tunnels

    async with run_tunnels() as (server, upstream):
        _, writer = await open_tunnel(server, upstream)
        writer.write(LARGE)
        await writer.drain()
        writer.close()
        await asyncio.wait_for(upstream.ended.wait(), 2)
        assert upstream.received == LARGE and not upstream.was_reset


# Guards against a response that is taken for complete although its upstream broke off.
async def test_a_reset_at_the_upstream_resets_the_caller():
    async def answer_and_reset(reader, writer) -> None:
        writer.write(b"part")
        await asyncio.sleep(0.05)
        reset(writer)

    async with run_tunnels(answer_and_reset) as (server, upstream):
        reader, _writer = await open_tunnel(server, upstream)
        assert await read_outcome(reader) is None
        assert not server.tunnels


# Guards against workers that go on for callers that are gone: they must learn it at once.
@pytest.mark.parametrize("leave", [reset, lambda writer: writer.close()], ids=["reset", "end"])
@pytest.mark.parametrize("is_flooded", [False, True], ids=["silent", "while data is sent"])
async def test_a_caller_that_leaves_closes_the_upstream_connection_at_once(leave, is_flooded):
    async def handle(reader, writer) -> None:
        while is_flooded:
            writer.write(b"x" * 65_536)
            await writer.drain()

    async with run_tunnels(handle) as (server, upstream):
        _, writer = await open_tunnel(server, upstream)
        await asyncio.sleep(0.1)
        leave(writer)
        await asyncio.wait_for(upstream.ended.wait(), 0.3)
        assert upstream.was_reset == (is_flooded or leave is reset)
        assert not server.tunnels


# Guards against upstream connections that are left open for a caller that left meanwhile.
async def test_a_caller_that_leaves_while_its_tunnel_is_opened_leaves_no_connection():
    admitted = asyncio.Event()

    async def admit_late(ip: str, target: str) -> None:
        await admitted.wait()

    async with run_tunnels(admit=admit_late) as (server, upstream):
        _, writer = await connect(server)
        writer.write(make_request(upstream.address))
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        admitted.set()
        await asyncio.sleep(0.05)
        assert not server.tunnels
        assert not upstream.connections or upstream.ended.is_set()


REFUSED = {
    "another method": (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 405),
    "another method with a body": (b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", 405),
    "upgrade": (b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", 405),
    "garbage": (b"\x00\x00\x00\x20\x82\xa5_type", 400),
    "garbage in a field": (b"CONNECT a:1 HTTP/1.1\r\nHo st: a\r\n\r\n", 400),
    "oversized head": (b"CONNECT a:1 HTTP/1.1\r\nX: " + b"x" * 5_000, None),
    "oversized target": (b"CONNECT " + b"a" * 5_000 + b":1 HTTP/1.1\r\n\r\n", None),
    "no port": (make_request("127.0.0.1"), 502),
    "port out of range": (make_request("127.0.0.1:70000"), 502),
    "empty host": (make_request(":80"), 502),
    "refused connection": (make_request("127.0.0.1:1"), 502),
}


# Guards against a server that hangs or does anything but tunnels, whatever it is sent.
@pytest.mark.parametrize("kind", REFUSED)
async def test_other_requests_are_refused(kind):
    data, status = REFUSED[kind]
    async with run_tunnels() as (server, upstream):
        reader, writer = await connect(server)
        writer.write(data)
        answer = await read_outcome(reader)
        if status is None:
            assert answer is None
        else:
            assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert not upstream.connections and not server.tunnels
        writer.close()


# Guards against connections that are held open by a request that never ends.
@pytest.mark.parametrize("data", [b"", b"CONNECT a:1 HTTP/1.1\r\nHost: "], ids=["none", "part"])
async def test_a_slow_request_is_reset(monkeypatch, data):
    monkeypatch.setattr(tunnel, "HEAD_TIMEOUT_SECONDS", 0.2)
    async with run_tunnels() as (server, _):
        reader, writer = await connect(server)
        writer.write(data)
        assert await read_outcome(reader) is None
        assert not server.tunnels


# Guards against a limit on the time of the request that ends open tunnels as well.
async def test_a_tunnel_outlives_the_time_of_its_request(monkeypatch):
    monkeypatch.setattr(tunnel, "HEAD_TIMEOUT_SECONDS", 0.1)
    async with run_tunnels(echo) as (server, upstream):
        reader, writer = await open_tunnel(server, upstream)
        await asyncio.sleep(0.2)
        writer.write(b"still open")
        assert await asyncio.wait_for(reader.readexactly(10), 1) == b"still open"
        writer.close()


# Guards against bytes that are lost without a sign because the tunnel was not open yet.
@pytest.mark.parametrize("pause", [0.0, 0.05], ids=["with the request", "after it"])
async def test_data_before_the_tunnel_is_open_resets_it(pause):
    admitted = asyncio.Event()

    async def admit_late(ip: str, target: str) -> None:
        await admitted.wait()

    async with run_tunnels(admit=admit_late) as (server, upstream):
        reader, writer = await connect(server)
        if pause:
            writer.write(make_request(upstream.address))
            await asyncio.sleep(pause)
            writer.write(b"early")
        else:
            writer.write(make_request(upstream.address) + b"early")
        await asyncio.sleep(0.05)
        admitted.set()
        assert await read_outcome(reader) is None
        assert not server.tunnels and not upstream.received


# Guards against a target whose status is not the one that its refusal was given.
async def test_a_request_that_is_not_admitted_gets_the_status_of_its_refusal():
    async def refuse(ip: str, target: str) -> None:
        assert ip == "127.0.0.1" and target == upstream.address
        raise TunnelRefusedError(403, "no")

    async with run_tunnels(admit=refuse) as (server, upstream):
        with pytest.raises(ConnectError, match="403"):
            await ClientConnection.open_tunnel(server.address, upstream.address, 1.0)
        assert not upstream.connections


# Guards against tunnels that are held, on any side, once their server is closed.
async def test_close_resets_all_tunnels():
    async with run_tunnels() as (server, upstream):
        ends = [await open_tunnel(server, upstream), await connect(server)]
        await asyncio.sleep(0.05)
        await server.close()
        assert [await read_outcome(reader) for reader, _ in ends] == [None, None]
        await asyncio.wait_for(upstream.ended.wait(), 0.5)
        with pytest.raises(ConnectionError):
            await connect(server)


# Guards against tunnels that are held for good because a machine at one end fell silent.
async def test_both_ends_of_a_tunnel_are_probed():
    async with run_tunnels() as (server, upstream):
        _, writer = await open_tunnel(server, upstream)
        (caller,) = server.tunnels
        for end in (caller, caller.other):
            sock = end._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 3_000
        writer.close()


# The client


COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def make_answering(data: bytes, end=None):
    async def answer(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if end is not None:
            await asyncio.sleep(0.05)
            end(writer)

    return answer


async def ask(server, upstream):
    connection = await ClientConnection.open_tunnel(server.address, upstream.address, 1.0)
    connection.send(REQUEST)
    try:
        return connection, await asyncio.wait_for(read_response(connection, 1_000), 1)
    finally:
        connection.close()


# Guards against a tunnel that changes what the caller sees of a response.
async def test_a_response_is_read_over_a_tunnel():
    async with run_tunnels(make_answering(COMPLETE)) as (server, upstream):
        connection, (head, body) = await ask(server, upstream)
        assert (head.status, body) == (200, b"hi")
        assert connection.tunnelled and connection.address == upstream.address


BROKEN = {
    "without a length": (b"HTTP/1.1 200 OK\r\n\r\nhi", lambda writer: writer.close()),
    "without a length, reset": (b"HTTP/1.1 200 OK\r\n\r\nhi", reset),
    "truncated": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", lambda w: w.close()),
    "reset": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", reset),
    "no response": (b"", lambda writer: writer.close()),
}


# Guards against a response that is taken for complete because a tunnel ended.
@pytest.mark.parametrize("kind", BROKEN)
async def test_a_response_that_ends_with_its_tunnel_is_not_complete(kind):
    async with run_tunnels(make_answering(*BROKEN[kind])) as (server, upstream):
        with pytest.raises(BrokenResponseError):
            await ask(server, upstream)


async def test_an_unreachable_target_is_told_from_other_refusals():
    async with run_tunnels() as (server, _):
        with pytest.raises(TargetUnreachableError):
            await ClientConnection.open_tunnel(server.address, "127.0.0.1:1", 1.0)


ANSWERS = {
    "status 503": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "another protocol": b"\x00\x00\x00\x05hello",
    "end": b"",
    "surplus bytes": OPENED + b"early",
}


# Guards against a request that is sent although no tunnel is open.
@pytest.mark.parametrize("kind", ANSWERS)
async def test_any_other_answer_is_no_tunnel(kind):
    async with run_tunnels(make_answering(ANSWERS[kind], lambda w: w.close())) as (_, other):
        with pytest.raises(ConnectError) as caught:
            await ClientConnection.open_tunnel(other.address, "127.0.0.1:1", 1.0)
        assert not isinstance(caught.value, TargetUnreachableError)


# Guards against waiting for longer than asked for a server that does not answer.
async def test_opening_a_tunnel_ends_in_time_and_leaves_no_connection():
    async with run_tunnels(make_answering(b"")) as (_, silent):
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(ConnectError):
            await ClientConnection.open_tunnel(silent.address, "127.0.0.1:1", 0.2)
        assert loop.time() - started < 0.4
        await asyncio.wait_for(silent.ended.wait(), 0.5)
