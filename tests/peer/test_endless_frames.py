"""Peers that send bytes without end, or read no replies, over the plain TCP transport."""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager

import msgpack
import pytest

from egretford.codec import encode_bytes
from egretford.errors import PeerUnreachableError
from egretford.keeper.messages import FetchTurns, KeeperReply, KeeperRequest, TurnPage
from egretford.peer.frames import LENGTH
from egretford.peer.streams import StreamPeerClient, StreamPeerServer
from tests.endless import BLOCK_BYTES, FLOOD_BYTES, assert_memory_below
from tests.platform.deployment import find_free_port
from tests.platform.standins import NullLog

# Bound on traced memory: a frame of the largest size, and its copies.
MAX_MEMORY_BYTES = 56_000_000


def encode_frame(number: int, payload: bytes) -> bytes:
    frame = msgpack.packb((number, payload))
    return LENGTH.pack(len(frame)) + frame


def encode_request(ids: tuple[str, ...] = ()) -> bytes:
    return encode_frame(1, encode_bytes(FetchTurns(ids), KeeperRequest))


EMPTY_ARRAYS = b"\x92\x01\xdd" + LENGTH.pack(4_000_000) + b"\x90" * 4_000_000
ENDLESS = {
    "nonsense": (b"", b"nonsense"),
    "zeros": (b"", b"\0"),
    "a frame of the largest size": (LENGTH.pack(16_000_000), b"x"),
    "empty arrays": (LENGTH.pack(len(EMPTY_ARRAYS)) + EMPTY_ARRAYS, b"\0"),
    "a list as number": (b"", encode_frame([], b"x")),
    "no message": (b"", encode_frame(1, [1])),
}


class EndlessPeer:
    """Answers the first bytes of a connection without end; `sent` counts over all connections."""

    def __init__(self, prefix: bytes, unit: bytes) -> None:
        self._prefix = prefix
        self._unit = unit
        self._tasks: set[asyncio.Task] = set()
        self.sent = 0
        self.closed = asyncio.Event()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"tcp://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.read(1)
            self.sent += await flood(writer, self._prefix, self._unit)
        self.closed.set()
        writer.transport.abort()


async def flood(writer, prefix: bytes, unit: bytes) -> int:
    """Send without end until the connection is closed; returns the number of bytes sent."""
    block = unit * max(1, BLOCK_BYTES // max(1, len(unit)))
    sent = len(prefix)
    with contextlib.suppress(ConnectionError):
        writer.write(prefix)
        await writer.drain()
        while sent < FLOOD_BYTES:
            writer.write(block)
            sent += len(block)
            await writer.drain()
            await asyncio.sleep(0)
    return sent


@asynccontextmanager
async def run_server(handle):
    address = f"tcp://127.0.0.1:{find_free_port()}"
    server = StreamPeerServer(address, handle, NullLog(), KeeperRequest, KeeperReply)
    client = StreamPeerClient(KeeperRequest, KeeperReply, NullLog())
    await server.start()
    try:
        yield address, server, client
    finally:
        await client.close()
        await server.close()


async def connect(address: str):
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def answer(message):
    return TurnPage((), "d")


# Guards against an entry that exhausts its memory, or reads on, as a keeper sends no reply.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_a_keeper_that_sends_no_reply_is_cut_off_and_others_answer(kind):
    peer = EndlessPeer(*ENDLESS[kind])
    bad = await peer.start()
    async with run_server(answer) as (good, _, client):
        with assert_memory_below(MAX_MEMORY_BYTES):
            asking = asyncio.create_task(client.ask(bad, FetchTurns(()), 3.0))
            assert isinstance(await client.ask(good, FetchTurns(()), 1.0), TurnPage)
            with pytest.raises(PeerUnreachableError):
                await asking
            await asyncio.wait_for(peer.closed.wait(), 1.0)
        assert peer.sent < FLOOD_BYTES
    await peer.close()


# Guards against reading replies without end that belong to no request.
async def test_a_keeper_that_sends_more_replies_than_requests_is_cut_off():
    reply = encode_bytes(TurnPage((), "d"), KeeperReply)
    peer = EndlessPeer(encode_frame(1, reply), encode_frame(999, reply))
    address = await peer.start()
    client = StreamPeerClient(KeeperRequest, KeeperReply, NullLog())
    assert isinstance(await client.ask(address, FetchTurns(()), 1.0), TurnPage)
    await asyncio.wait_for(peer.closed.wait(), 0.5)
    await client.close()
    await peer.close()


# Guards against a keeper that exhausts its memory, or reads on, as a peer sends no request.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_a_peer_that_sends_no_request_is_cut_off_and_others_are_answered(kind):
    async with run_server(answer) as (address, server, client):
        with assert_memory_below(MAX_MEMORY_BYTES):
            reader, writer = await connect(address)
            flooding = asyncio.create_task(flood(writer, *ENDLESS[kind]))
            assert isinstance(await client.ask(address, FetchTurns(()), 1.0), TurnPage)
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 3.0) == b""
            flooding.cancel()
        assert len(server._connections) == 1
        writer.transport.abort()


# Guards against requests without end that are all handled at once.
async def test_requests_without_end_wait_at_the_peer():
    release = asyncio.Event()
    running = 0

    async def wait(message):
        nonlocal running
        if message.ids:
            running += 1
            await release.wait()
        return TurnPage((), "d")

    async with run_server(wait) as (address, _, client):
        _, writer = await connect(address)
        with assert_memory_below(MAX_MEMORY_BYTES):
            flooding = asyncio.create_task(flood(writer, b"", encode_request(("x" * 1_000,))))
            await asyncio.sleep(1.0)
            assert isinstance(await client.ask(address, FetchTurns(()), 1.0), TurnPage)
            assert running < 3_000
        flooding.cancel()
        writer.transport.abort()


# Guards against replies without end that are kept for a peer that does not read them.
async def test_requests_of_a_peer_that_reads_no_replies_wait_at_the_peer():
    served = 0

    async def answer_large(message):
        nonlocal served
        served += bool(message.ids)
        return TurnPage((), "x" * 100_000 if message.ids else "d")

    async with run_server(answer_large) as (address, _, client):
        _, writer = await connect(address)
        writer.transport.pause_reading()
        with assert_memory_below(MAX_MEMORY_BYTES):
            for _ in range(2_000):
                writer.write(encode_request(("x",)))
                await asyncio.sleep(0)
            assert isinstance(await client.ask(address, FetchTurns(()), 1.0), TurnPage)
            assert served < 500
        writer.transport.abort()
