"""Request and reply over plain TCP: concurrent requests, timeouts, reconnects, bad frames."""

from __future__ import annotations

import asyncio

import pytest

from egretford.errors import PeerDownError, PeerUnreachableError
from egretford.keeper.messages import FetchTurns, KeeperReply, KeeperRequest, TurnPage
from egretford.peer.frames import LENGTH
from egretford.peer.streams import StreamPeerClient, StreamPeerServer
from tests.platform.deployment import find_free_port
from tests.platform.standins import NullLog


async def start_server(handle):
    address = f"tcp://127.0.0.1:{find_free_port()}"
    server = StreamPeerServer(address, handle, NullLog(), KeeperRequest, KeeperReply)
    await server.start()
    return address, server, StreamPeerClient(KeeperRequest, KeeperReply, NullLog())


async def answer(message):
    if message.ids:
        await asyncio.sleep(float(message.ids[0]))
    return TurnPage((), "d")


async def test_requests_share_a_connection_and_replies_may_be_out_of_order():
    address, server, client = await start_server(answer)
    slow = asyncio.create_task(client.ask(address, FetchTurns(("0.3",)), 1.0))
    assert isinstance(await client.ask(address, FetchTurns(()), 0.2), TurnPage)
    assert not slow.done()
    assert isinstance(await slow, TurnPage)
    await client.close()
    await server.close()


async def test_a_silent_connection_is_replaced():
    address, server, client = await start_server(answer)
    with pytest.raises(PeerUnreachableError):
        await client.ask(address, FetchTurns(("5",)), 0.1)
    assert isinstance(await client.ask(address, FetchTurns(()), 0.5), TurnPage)
    await client.close()
    await server.close()


# Guards against one late reply, as from a slow disk, failing all other requests on the
# connection (turns were refused).
async def test_a_request_that_times_out_fails_no_other_on_its_connection():
    address, server, client = await start_server(answer)
    late = asyncio.create_task(client.ask(address, FetchTurns(("5",)), 0.1))
    other = asyncio.create_task(client.ask(address, FetchTurns(("0.3",)), 1.0))
    with pytest.raises(PeerUnreachableError):
        await late
    assert isinstance(await client.ask(address, FetchTurns(()), 0.5), TurnPage)
    assert isinstance(await other, TurnPage)
    await client.close()
    await server.close()


# Guards against a descriptor leak: connections replaced after a timeout were never closed.
async def test_a_replaced_connection_is_closed_when_no_request_is_pending():
    address, server, client = await start_server(answer)
    for _ in range(3):
        with pytest.raises(PeerUnreachableError):
            await client.ask(address, FetchTurns(("5",)), 0.05)
    await client.ask(address, FetchTurns(()), 0.5)
    await asyncio.sleep(0.1)
    assert len(server._connections) == 1
    await client.close()
    await asyncio.sleep(0.1)
    assert not server._connections
    await server.close()


async def test_a_peer_that_is_gone_and_back_is_reached_again():
    address, server, client = await start_server(answer)
    await client.ask(address, FetchTurns(()), 0.5)
    await server.close()
    with pytest.raises(PeerUnreachableError):
        await client.ask(address, FetchTurns(()), 0.5)
    server = StreamPeerServer(address, answer, NullLog(), KeeperRequest, KeeperReply)
    await server.start()
    assert isinstance(await client.ask(address, FetchTurns(()), 0.5), TurnPage)
    await client.close()
    await server.close()


# Guards against a peer that is taken for down though others may reach it: only a refused connection
# says that no process is there.
async def test_only_a_peer_that_refuses_a_connection_is_down():
    address, server, client = await start_server(answer)
    await client.ask(address, FetchTurns(()), 0.5)
    with pytest.raises(PeerUnreachableError) as silent:
        await client.ask(address, FetchTurns(("1.0",)), 0.1)
    pending = asyncio.create_task(client.ask(address, FetchTurns(("1.0",)), 0.5))
    await asyncio.sleep(0.1)
    await server.close()
    with pytest.raises(PeerUnreachableError) as reset:
        await pending
    assert not isinstance(silent.value, PeerDownError) and not isinstance(
        reset.value, PeerDownError
    )
    with pytest.raises(PeerDownError):
        await client.ask(address, FetchTurns(()), 0.5)
    await client.close()


async def test_an_oversized_frame_closes_only_its_connection():
    address, server, client = await start_server(answer)
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(LENGTH.pack(2**31) + b"x")
    assert await reader.read() == b""
    writer.close()
    assert isinstance(await client.ask(address, FetchTurns(()), 0.5), TurnPage)
    await client.close()
    await server.close()


async def test_a_failing_handler_gives_an_error_reply():
    async def fail(message):
        raise ValueError("a fault")

    address, server, client = await start_server(fail)
    with pytest.raises(Exception, match="a fault"):
        await client.ask(address, FetchTurns(()), 0.5)
    await client.close()
    await server.close()


# Guards against days that cost too much processor time (SHORT): up to Python 3.11 each question for
# the running loop is a system call, and a request and its reply had eight.
async def test_requests_rarely_ask_for_the_running_loop(monkeypatch):
    address, server, client = await start_server(answer)
    await client.ask(address, FetchTurns(()), 1.0)
    asked = 0
    get_loop = asyncio.get_running_loop

    def count():
        nonlocal asked
        asked += 1
        return get_loop()

    monkeypatch.setattr(asyncio, "get_running_loop", count)
    monkeypatch.setattr(asyncio.events, "get_running_loop", count)
    for _ in range(20):
        await client.ask(address, FetchTurns(()), 1.0)
    monkeypatch.undo()
    await client.close()
    await server.close()
    assert asked <= 2 * 20
