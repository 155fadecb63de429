"""Timeouts of replies while the process itself stands still."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from egretford.timeouts import ReplyTimeout
from tests.servers import stand_still


async def read_byte(receiver: socket.socket, seconds: float | None) -> bytes:
    async with ReplyTimeout(seconds):
        return await asyncio.get_running_loop().sock_recv(receiver, 1)


@pytest.fixture
def connection():
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    with receiver, sender:
        yield receiver, sender


async def stall(seconds: float) -> None:
    """Block the whole event loop, like a process that is stopped."""
    await asyncio.sleep(0.01)
    stand_still(seconds)


# Guards against peers that are blamed for a stall of this process: their reply had arrived.
async def test_a_reply_that_arrived_during_a_stall_counts(connection):
    receiver, sender = connection
    reading = asyncio.ensure_future(read_byte(receiver, 0.1))
    await asyncio.sleep(0)
    sender.send(b"x")
    await stall(0.4)
    assert await reading == b"x"


# Guards against peers that are blamed for a stall that delayed them too, as on one busy machine.
async def test_a_reply_soon_after_a_stall_counts(connection):
    receiver, sender = connection
    reading = asyncio.ensure_future(read_byte(receiver, 0.2))
    await stall(0.4)
    await asyncio.sleep(0.1)
    sender.send(b"x")
    assert await reading == b"x"


# Guards against stalls that end the watch over a peer that is silent.
async def test_silence_after_a_stall_ends_in_a_timeout(connection):
    reading = asyncio.ensure_future(read_byte(connection[0], 0.2))
    await stall(0.4)
    started = time.monotonic()
    with pytest.raises(TimeoutError):
        await reading
    assert 0.1 < time.monotonic() - started < 0.5


async def test_silence_ends_in_a_timeout(connection):
    started = time.monotonic()
    with pytest.raises(TimeoutError):
        await read_byte(connection[0], 0.2)
    assert 0.15 < time.monotonic() - started < 0.5


async def test_without_a_limit_there_is_no_timeout(connection):
    receiver, sender = connection
    reading = asyncio.ensure_future(read_byte(receiver, None))
    await asyncio.sleep(0.05)
    sender.send(b"x")
    assert await reading == b"x"


async def test_a_cancelled_task_ends_as_cancelled(connection):
    reading = asyncio.ensure_future(read_byte(connection[0], 5.0))
    await asyncio.sleep(0.01)
    reading.cancel()
    with pytest.raises(asyncio.CancelledError):
        await reading
