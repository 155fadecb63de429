"""How often a daemon's event loop asks the system for events."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time

import pytest

from egretford.event_loop import MAX_SKIPPED_POLLS, make_loop


@pytest.fixture
def count_polls(monkeypatch):
    polls = []
    select = selectors.DefaultSelector.select

    def count(self, timeout=None):
        polls.append(timeout)
        return select(self, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", count)
    return polls


def run(coroutine):
    loop = make_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


async def pass_on(hops):
    """Wait for a chain of tasks of which each awaits the next one."""
    if hops:
        await asyncio.create_task(pass_on(hops - 1))


# Guards against days that cost too much processor time (SHORT): two in three polls of a daemon
# found nothing, as they only came between two callbacks.
def test_a_chain_of_callbacks_is_not_interrupted_by_polls(count_polls):
    async def run_chains():
        await asyncio.sleep(0.01)
        count_polls.clear()
        for _ in range(10):
            await pass_on(5)
            await asyncio.sleep(0.002)

    run(run_chains())
    assert len(count_polls) <= 2 * 10


# Guards against sockets that are not served while callbacks never run out.
def test_sockets_are_polled_while_callbacks_never_run_out():
    async def read_beside_callbacks():
        loop = asyncio.get_running_loop()
        rounds = 0

        def go_on():
            nonlocal rounds
            rounds += 1
            loop.call_soon(go_on)

        go_on()
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        with reader, writer:
            reading = asyncio.ensure_future(loop.sock_recv(reader, 1))
            await asyncio.sleep(0)
            started = rounds
            writer.send(b"x")
            await reading
            return rounds - started

    assert run(read_beside_callbacks()) <= 2 * MAX_SKIPPED_POLLS


# Guards against a process that takes its peers for silent after it stood still: what has arrived
# by then is handled before timers.
def test_sockets_are_polled_before_timers_after_a_stall():
    async def stall():
        loop = asyncio.get_running_loop()
        order = []
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        with reader, writer:
            loop.add_reader(reader, lambda: (order.append("socket"), loop.remove_reader(reader)))
            loop.call_later(0.02, order.append, "timer")
            loop.call_soon(lambda: (writer.send(b"x"), time.sleep(0.05)))
            await asyncio.sleep(0.06)
        return order

    assert run(stall()) == ["socket", "timer"]
