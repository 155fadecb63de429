"""Workers that send endless responses until the client closes the connection."""

import asyncio
import contextlib

import pytest

from egretford.errors import UpstreamLostError, UpstreamRefusedError
from egretford.models import Worker
from egretford.settings import UpstreamSettings
from egretford.upstream.http import MAX_RESUMES, HttpUpstream
from egretford.upstream.interface import ModelDispatch, ToolDispatch
from tests.endless import EndlessServer

OK = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LOAD = b'HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{"running":0,"waiting":0}'
EVENT = b'data: {"token": 0, "choices": [{"delta": {"content": "a"}}]}\n\n'
# Upper bound in bytes on what a worker can send before it is cut off: more than the limit on a
# tool's reply plus socket buffers, and far less than the whole flood.
MAX_SENT_BYTES = 24_000_000
# A test that takes longer has a response that was never cut off.
TEST_TIMEOUT_SECONDS = 10.0


@pytest.fixture
async def client():
    upstream = HttpUpstream(UpstreamSettings(silence=0.4, connect=0.5))
    await upstream.start()
    yield upstream
    await upstream.close()


@contextlib.asynccontextmanager
async def run_worker(prefix, unit, pause=0.0, load=LOAD):
    """Run a worker whose responses are endless, except its load report if `load` is given."""

    def answer(request):
        return (load, b"") if load and b" /load " in request else (prefix, unit)

    server = EndlessServer(answer, pause)
    await server.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            yield server
    finally:
        await server.close()


def make_worker(server):
    return Worker("worker", f"http://{server.address}", "domain")


def run_tool(client, server):
    return client.run_tool(
        make_worker(server), ToolDispatch("p", 1, [], repeatable=False), seconds=3.0
    )


async def run_model(client, server, events=None):
    dispatch = ModelDispatch("request-1", "program-1", "model", [], 60, 0)
    async with contextlib.aclosing(client.run_model(make_worker(server), dispatch)) as stream:
        received = 0
        async for _ in stream:
            received += 1
            if received == events:
                return


def count_streams(server):
    return sum(b" /load " not in request for request in server.requests)


# Guards against buffering a tool's endless reply until the timeout or until memory is exhausted.
async def test_endless_reply_of_a_tool_is_cut_off(client):
    async with run_worker(OK, b"x") as server:
        with pytest.raises(UpstreamLostError) as caught:
            await run_tool(client, server)
        await server.wait_disconnected()
    assert not caught.value.crashed
    assert server.sent < MAX_SENT_BYTES


# Guards against counting a crash, and quarantining the request, though the worker is still sending.
async def test_endless_head_of_a_tool_reply_is_no_crash(client):
    async with run_worker(b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x") as server:
        with pytest.raises(UpstreamLostError) as caught:
            await run_tool(client, server)
        await server.wait_disconnected()
    assert not caught.value.crashed
    assert server.sent < MAX_SENT_BYTES


# Guards against buffering an endless load report in the entry's memory.
async def test_endless_control_reply_is_cut_off(client):
    async with run_worker(OK, b" ", load=None) as server:
        with pytest.raises(UpstreamLostError) as caught:
            await client.read_load(make_worker(server))
        await server.wait_disconnected()
    assert not caught.value.crashed
    assert server.sent < MAX_SENT_BYTES


# Guards against an endless error body that delays a model call until its deadline.
@pytest.mark.parametrize("pause", [0.0, 0.05])
@pytest.mark.parametrize(
    ("status", "error"), [(b"503 Busy", UpstreamRefusedError), (b"500 Odd", UpstreamLostError)]
)
async def test_endless_error_of_a_model_call_is_judged_by_its_status(client, status, error, pause):
    prefix = b"HTTP/1.1 " + status + b"\r\nConnection: close\r\n\r\nfull"
    async with run_worker(prefix, b"x", pause) as server:
        with pytest.raises(error, match="full"):
            await run_model(client, server)
        await server.wait_disconnected()
    assert count_streams(server) == 1
    assert server.sent < MAX_SENT_BYTES


# Guards against bytes outside of events that reset the silence timeout forever.
@pytest.mark.parametrize(
    ("prefix", "unit"),
    [
        (OK, b": ping\n\n"),
        (OK, b"\n"),
        (OK + b"data: ", b"x"),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ],
    ids=["comments", "blank lines", "a line", "a head", "heads"],
)
async def test_stream_without_events_is_silent_and_resumed(client, prefix, unit):
    async with run_worker(prefix, unit, pause=0.05) as server:
        with pytest.raises(UpstreamLostError) as caught:
            await run_model(client, server)
    assert not caught.value.crashed
    assert count_streams(server) == 1 + MAX_RESUMES


# Guards against a flood that keeps an entry busy, and against an overlong line that makes a call
# fail with an internal error.
@pytest.mark.parametrize(
    ("prefix", "unit"),
    [(OK, b": ping\n\n"), (OK, b"\n"), (OK + b"data: ", b"x")],
    ids=["comments", "blank lines", "a line"],
)
async def test_flood_without_events_is_cut_off(client, prefix, unit):
    async with run_worker(prefix, unit) as server:
        with pytest.raises(UpstreamLostError) as caught:
            await run_model(client, server)
        await server.wait_disconnected()
    assert not caught.value.crashed
    assert count_streams(server) == 1
    assert server.sent < MAX_SENT_BYTES


# Guards against counting a crash because the load report has an endless head as well.
async def test_endless_heads_everywhere_are_no_crash(client):
    async with run_worker(b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x", load=None) as server:
        with pytest.raises(UpstreamLostError) as caught:
            await run_model(client, server)
    assert not caught.value.crashed


# Guards against limits that accumulate over a whole stream and cut off a valid one.
async def test_healthy_stream_with_comments_goes_on():
    client = HttpUpstream(UpstreamSettings(silence=2.0))
    await client.start()
    unit = b": ping\n" * 2_000 + EVENT
    async with run_worker(OK, unit, pause=0.1) as server:
        await run_model(client, server, events=25)
    await client.close()
    assert len(server.requests) == 1
    assert server.sent > 2 * 65_536
