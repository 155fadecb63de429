"""Request and reply between entries over pynng, on real sockets."""

import asyncio
from datetime import UTC, datetime

import pytest
import structlog

from egretford.errors import ErrorKind, PeerUnreachableError, RequestError, Verdict
from egretford.models import Member, Urgency
from egretford.peer.messages import AcquireSlot, Ping, Pong, SlotProgress, ViewProgram
from egretford.peer.sockets import PeerClient, PeerServer
from egretford.policy.placement import PlacementRequest
from egretford.policy.queue import Waiting

MEMBER = Member("i", "i", "tcp://1", "d", "r", "n", datetime(2026, 1, 1, tzinfo=UTC))
CALL = Waiting(
    "t",
    "p",
    "tenant",
    Urgency.URGENT,
    -3.5,
    0.0,
    0.0,
    9.0,
    PlacementRequest("p", 10, {"w": 5}, "r", 1.0, frozenset({"x"})),
)


@pytest.fixture
async def peers():
    async def answer(message):
        match message:
            case Ping(member, revision):
                await asyncio.sleep((100 - revision) / 2_000)
                return Pong(member, revision)
            case AcquireSlot(call=call):
                return SlotProgress(worker="right" if call == CALL else "wrong")
            case ViewProgram(program="silent"):
                await asyncio.sleep(60)
            case ViewProgram():
                raise RequestError(ErrorKind.UNKNOWN_PROGRAM, "none", verdict=Verdict.MAY_HAVE_RUN)

    server = PeerServer("tcp://127.0.0.1:0", answer, structlog.get_logger())
    await server.start()
    client = PeerClient()
    yield client, server.address
    await client.close()
    await server.close()


async def test_out_of_order_replies_reach_their_own_requests(peers):
    client, address = peers
    requests = [client.ask(address, Ping(MEMBER, number), 5.0) for number in range(100)]
    replies = await asyncio.gather(*requests)
    assert [reply.revision for reply in replies] == list(range(100))


async def test_a_call_is_unchanged_by_transfer(peers):
    client, address = peers
    assert (await client.ask(address, AcquireSlot("pool", CALL, 5, 1.0), 5.0)).worker == "right"


async def test_error_of_a_peer_keeps_its_verdict(peers):
    client, address = peers
    with pytest.raises(RequestError) as caught:
        await client.ask(address, ViewProgram("p"), 5.0)
    assert (caught.value.kind, caught.value.verdict) == (
        ErrorKind.UNKNOWN_PROGRAM,
        Verdict.MAY_HAVE_RUN,
    )


async def test_silent_peer_is_unreachable_and_the_next_request_gets_through(peers):
    client, address = peers
    with pytest.raises(PeerUnreachableError):
        await client.ask(address, ViewProgram("silent"), 0.2)
    assert (await client.ask(address, Ping(MEMBER, 99), 5.0)).revision == 99


async def test_absent_peer_is_unreachable(peers):
    client, _ = peers
    with pytest.raises(PeerUnreachableError):
        await client.ask("tcp://127.0.0.1:9", Ping(MEMBER, 1), 0.3)
