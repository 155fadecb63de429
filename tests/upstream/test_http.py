"""The client of engines and services, over real sockets that fail in real ways."""

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


class Relay:
    """Passes bytes on; when told, forgets its open connections while new ones work."""

    def __init__(self, port):
        self._port = port
        self._generation = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def forget_connections(self):
        self._generation += 1

    async def _accept(self, reader, writer):
        there, back = await asyncio.open_connection(HOST, self._port)
        born = self._generation
        await asyncio.gather(self._pump(reader, back, born), self._pump(there, writer, born))

    async def _pump(self, source, target, born):
        while data := await source.read(65_536):
            if born == self._generation:
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


def at(port):
    return Worker("worker", f"http://{HOST}:{port}", "domain")


def dispatch(skip=0, content="hello"):
    messages = [{"role": "user", "content": content}]
    return ModelDispatch("request-1", "program-1", "model", messages, 60, skip)


async def test_silent_connection_is_replaced_and_no_token_is_lost(client, engine):
    relay = Relay(engine.port)
    tokens, finished = [], False
    async for event in client.run_model(at(await relay.start()), dispatch()):
        if isinstance(event, Token):
            tokens.append(event.index)
            if len(tokens) == 5:
                relay.forget_connections()
        finished = finished or isinstance(event, Finish)
    assert finished
    assert tokens == list(range(len(tokens)))
    assert len(tokens) >= 30


async def test_continuation_starts_after_the_delivered_tokens(client, engine):
    events = [event async for event in client.run_model(at(engine.port), dispatch(skip=7))]
    assert events[0].index == 7


async def test_crash_in_the_middle_is_told_from_silence(client, engine):
    with pytest.raises(UpstreamLostError) as caught:
        async for event in client.run_model(at(engine.port), dispatch()):
            if isinstance(event, Token) and event.index == 3:
                engine._crash()
    assert caught.value.crashed


async def test_worker_that_was_never_reached_refused(client):
    with pytest.raises(UpstreamRefusedError):
        async for _ in client.run_model(at(9), dispatch()):
            pass


async def test_leaving_worker_refuses_and_says_so(client, engine):
    engine.leaving = True
    with pytest.raises(UpstreamRefusedError) as caught:
        async for _ in client.run_model(at(engine.port), dispatch()):
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
async def test_tool_failures_have_their_verdicts(client, fault, error):
    standin = ServiceStandin()
    standin.faults[fault] = 1
    server, task, port = await serve(standin.app)
    call = ToolDispatch("program-1", 1, MESSAGES, repeatable=False)
    with pytest.raises(error):
        await client.run_tool(at(port), call, seconds=0.5)
    effects = sum(standin.ledger.effects.values())
    server.should_exit = True
    await task
    assert effects == (1 if fault == "lost_reply" else 0)


async def test_malformed_call_is_rejected_for_good(client):
    server, task, port = await serve(ServiceStandin().app)
    with pytest.raises(UpstreamRejectedError):
        await client.run_tool(at(port), ToolDispatch("p", "not a number", [], True), seconds=1.0)
    server.should_exit = True
    await task
