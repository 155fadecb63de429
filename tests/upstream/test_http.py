"""The HTTP client for engines and services, over real sockets with injected failures."""

import asyncio

import pytest

from egretford.errors import UpstreamLostError, UpstreamRefusedError, UpstreamRejectedError
from egretford.models import Worker
from egretford.settings import UpstreamSettings
from egretford.standin.batching import EngineProfile
from egretford.standin.engine import EngineStandin
from egretford.standin.service import ServiceStandin
from egretford.upstream.http import HttpUpstream
from egretford.upstream.interface import Finish, ModelDispatch, Token, ToolDispatch
from tests.servers import HOST, serve

MESSAGES = [{"role": "user", "content": "hello"}]


class Proxy:
    """A TCP proxy whose open connections can be made silent while new ones still work."""

    def __init__(self, port):
        self._port = port
        self._generation = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def silence_connections(self):
        self._generation += 1

    async def _accept(self, reader, writer):
        server_reader, server_writer = await asyncio.open_connection(HOST, self._port)
        generation = self._generation
        await asyncio.gather(
            self._copy_bytes(reader, server_writer, generation),
            self._copy_bytes(server_reader, writer, generation),
        )

    async def _copy_bytes(self, source, target, generation):
        while data := await source.read(65_536):
            if generation == self._generation:
                target.write(data)
        target.close()


@pytest.fixture
async def client():
    upstream = HttpUpstream(UpstreamSettings(silence=0.4, connect=0.5))
    await upstream.start()
    yield upstream
    await upstream.close()


@pytest.fixture
async def engine():
    standin = EngineStandin(EngineProfile(step=0.02))
    server, task, port = await serve(standin.app)
    standin.port = port
    yield standin
    server.should_exit = True
    await task


def make_worker(port):
    return Worker("worker", f"http://{HOST}:{port}", "domain")


def dispatch(skip=0, content="hello"):
    messages = [{"role": "user", "content": content}]
    return ModelDispatch("request-1", "program-1", "model", messages, 60, skip)


async def test_silent_connection_is_replaced_and_no_token_is_lost(client, engine):
    proxy = Proxy(engine.port)
    tokens, finished = [], False
    async for event in client.run_model(make_worker(await proxy.start()), dispatch()):
        if isinstance(event, Token):
            tokens.append(event.index)
            if len(tokens) == 5:
                proxy.silence_connections()
        finished = finished or isinstance(event, Finish)
    assert finished
    assert tokens == list(range(len(tokens)))
    assert len(tokens) >= 30


async def test_continuation_starts_after_the_delivered_tokens(client, engine):
    events = [event async for event in client.run_model(make_worker(engine.port), dispatch(skip=7))]
    assert events[0].index == 7


async def test_crash_mid_stream_is_distinguished_from_silence(client, engine):
    with pytest.raises(UpstreamLostError) as caught:
        async for event in client.run_model(make_worker(engine.port), dispatch()):
            if isinstance(event, Token) and event.index == 3:
                engine._crash()
    assert caught.value.crashed


async def test_unreachable_worker_raises_refused_error(client):
    with pytest.raises(UpstreamRefusedError):
        async for _ in client.run_model(make_worker(9), dispatch()):
            pass


async def test_leaving_worker_is_reported_in_its_refusal(client, engine):
    engine.leaving = True
    with pytest.raises(UpstreamRefusedError) as caught:
        async for _ in client.run_model(make_worker(engine.port), dispatch()):
            pass
    assert caught.value.leaving


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ("hang", UpstreamLostError),
        ("lost_reply", UpstreamLostError),
        ("refuse", UpstreamRefusedError),
    ],
)
async def test_tool_failure_raises_the_error_of_its_verdict(client, fault, error):
    standin = ServiceStandin()
    standin.faults[fault] = 1
    server, task, port = await serve(standin.app)
    call = ToolDispatch("program-1", 1, MESSAGES, repeatable=False)
    with pytest.raises(error):
        await client.run_tool(make_worker(port), call, seconds=0.5)
    effects = sum(standin.effect_counter.effects.values())
    server.should_exit = True
    await task
    assert effects == (1 if fault == "lost_reply" else 0)


async def test_malformed_call_is_rejected_permanently(client):
    server, task, port = await serve(ServiceStandin().app)
    with pytest.raises(UpstreamRejectedError):
        await client.run_tool(
            make_worker(port), ToolDispatch("p", "not a number", [], True), seconds=1.0
        )
    server.should_exit = True
    await task


# Guards against a response without a valid status that is taken for a result.
@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
async def test_a_response_with_no_valid_status_is_no_result(client, status):
    body = b'{"result": 1}'
    head = b"HTTP/1.1 %s Odd\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head % (status, len(body)) + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, HOST, 0)
    worker = make_worker(server.sockets[0].getsockname()[1])
    with pytest.raises(UpstreamLostError):
        await client.run_tool(worker, ToolDispatch("p", 1, MESSAGES, repeatable=False), seconds=1.0)
    server.close()
