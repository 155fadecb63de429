"""Workers that send bytes without end: what callers get, and what such a worker is sent."""

from __future__ import annotations

import asyncio
import random
import re
import time

import pytest
from attrs import define

from egretford.clock import SystemClock
from egretford.entry.crashes import SharedCrashes
from egretford.entry.forwarding import Forwarder
from egretford.entry.gateway import Gateway
from egretford.entry.models import Worker
from egretford.entry.turns import Turns
from egretford.entry.workers import WorkerTable
from egretford.http.limits import RequestLimits
from egretford.http.server import HttpServer
from egretford.metrics import Metrics
from egretford.platform.documents import decode_configuration
from egretford.policy.placement import Placement
from tests.endless import EndlessServer, bound_memory
from tests.entry.test_workers import FakeRecovery
from tests.platform.deployment import ZONES, make_configuration
from tests.platform.standins import Caller, NullLog, WorkerStandin, make_event

SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\n"
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = SIGNED + b"\r\n"
EARLIER = b"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\n"
# What no route can take for an answer: the response's beginning, and what follows without end.
NO_ANSWER = {
    "nonsense": (b"", b"nonsense"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header list": (SIGNED, b"X: x\r\n"),
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunk extension": (CHUNKED + b"2;a=", b"x"),
    "trailer list": (CHUNKED + b"0\r\n", b"X: x\r\n"),
    "empty earlier responses": (b"", EARLIER + b"Content-Length: 0\r\n\r\n"),
    "earlier responses": (b"", EARLIER + b"Content-Length: 100\r\n\r\n" + b"x" * 100),
    "body of an earlier response": (EARLIER + b"\r\n", b"x"),
}
BODIES = {
    "length": (SIGNED + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "until close": (UNTIL_CLOSE, b"x"),
    "chunks": (CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n"),
    "failure": (b"HTTP/1.1 500 No\r\nRequest-Id: %s\r\n\r\n", b"x"),
}
NO_EVENTS = {
    "comments": (UNTIL_CLOSE, b": nothing\n\n"),
    "blank lines": (UNTIL_CLOSE, b"\n"),
    "event": (UNTIL_CLOSE + b"id: 1\ndata: ", b"x"),
    "event in small chunks": (CHUNKED, b"1\r\nx\r\n"),
}


def answer_as(begin: bytes, unit: bytes):
    def answer(request: bytes) -> tuple[bytes, bytes]:
        (request_id,) = re.findall(rb"(?i)Request-Id: (\S+)", request)
        return begin.replace(b"%s", request_id), unit

    return answer


@define
class Entry:
    """An entry without store and keepers; the first worker it chooses is `bad`."""

    workers: WorkerTable
    server: HttpServer
    bad: EndlessServer
    good: WorkerStandin

    @property
    def caller(self) -> Caller:
        return Caller(f"127.0.0.1:{self.server.port}")

    def learn(self, upstream: str, *, good: bool = True) -> None:
        self.workers.learn_worker(
            Worker("bad", upstream, self.bad.address, "north-a", 8, leaving=False)
        )
        if good:
            self.workers.learn_worker(
                Worker("good", upstream, self.good.address, "south-a", 8, leaving=False)
            )

    async def ask(self, path: str):
        """Ask with the time that the route allows, which no answer but a 504 may use up."""
        with bound_memory(40_000_000):
            return await self.caller.ask(path, body=b"x", request_id="r1")


@pytest.fixture
async def entry():
    clock, log = SystemClock(), NullLog()
    workers = WorkerTable(clock, FakeRecovery(), log)
    forwarder = Forwarder(workers, Placement(ZONES), "north", clock, log)
    turns, crashes = Turns(None, clock, log), SharedCrashes(None, clock, log)
    gateway = Gateway(workers, forwarder, turns, crashes, Metrics(), clock, random.Random(5), log)
    configuration = make_configuration()
    for route in configuration["routes"]:
        if route["name"] == "plan":
            route["attempts"] = 2
    gateway.learn_configuration(decode_configuration(configuration))
    server = HttpServer(gateway.handle, RequestLimits(), clock, log)
    await server.start("127.0.0.1:0")
    bad = EndlessServer(answer_as(b"", b""))
    await bad.start()
    good = WorkerStandin("good", "any", "south-a", engine=False)
    await good.start()
    yield Entry(workers, server, bad, good)
    await server.close()
    workers.close()
    await bad.close()
    await good.close()


# Guards against a repeatable call that is held, or lost, by a worker that sends without end.
@pytest.mark.parametrize("kind", NO_ANSWER | BODIES)
async def test_a_repeatable_call_is_answered_by_another_worker(entry, kind):
    entry.bad.answer = answer_as(*(NO_ANSWER | BODIES)[kind])
    entry.learn("booking")
    answer = await entry.ask("/ping/1")
    assert (answer.status, answer.body) == (200, b"done r1")
    assert len(entry.bad.requests) == 1
    await entry.bad.wait_cut()


# Guards against a repeatable call that is held by a body that trickles without end.
@pytest.mark.parametrize("kind", BODIES)
async def test_a_repeatable_call_does_not_wait_for_a_body_that_trickles(entry, kind):
    entry.bad.answer = answer_as(*BODIES[kind])
    entry.bad.pause = 0.1
    entry.learn("booking")
    answer = await entry.ask("/ping/1")
    assert (answer.status, answer.body) == (200, b"done r1")
    assert len(entry.bad.requests) == 1
    await entry.bad.wait_cut()


# Guards against a call that is sent twice, or said not to have run, after bytes without end.
@pytest.mark.parametrize("kind", NO_ANSWER | BODIES)
async def test_a_call_that_may_have_run_fails_and_is_not_sent_again(entry, kind):
    entry.bad.answer = answer_as(*(NO_ANSWER | BODIES)[kind])
    entry.learn("booking")
    answer = await entry.ask("/book/1")
    assert answer.status == 502
    assert (len(entry.bad.requests), entry.good.arrivals) == (1, [])
    await entry.bad.wait_cut()


# Guards against a stream that is held, or begun for the caller, by bytes that are no event.
@pytest.mark.parametrize("kind", NO_ANSWER | NO_EVENTS)
async def test_a_stream_without_an_event_fails_before_it_began(entry, kind):
    entry.bad.answer = answer_as(*(NO_ANSWER | NO_EVENTS)[kind])
    entry.learn("models")
    answer = await entry.ask("/chat/1")
    assert answer.status == 502
    assert (len(entry.bad.requests), entry.good.arrivals) == (1, [])
    await entry.bad.wait_cut()


# Guards against a resumable stream that is not taken to another worker, or not byte for byte.
@pytest.mark.parametrize(
    ("kind", "pause"),
    [*((kind, 0.0) for kind in NO_ANSWER | NO_EVENTS), *((kind, 0.1) for kind in NO_EVENTS)],
)
async def test_a_resumable_stream_goes_on_at_another_worker(entry, kind, pause):
    entry.bad.answer = answer_as(*(NO_ANSWER | NO_EVENTS)[kind])
    entry.bad.pause = pause
    entry.good.engine = True
    entry.learn("models")
    answer = await entry.ask("/plan/1")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == b"".join(make_event(number) for number in range(1, 5))
    assert 1 <= len(entry.bad.requests) <= 3
    await entry.bad.wait_cut()


# Guards against an answer that looks complete though its worker never ended it.
async def test_a_kept_stream_that_never_ends_is_broken_off_and_takes_bounded_memory(entry):
    entry.bad.answer = answer_as(UNTIL_CLOSE, b"data: " + b"x" * 1_000 + b"\n\n")
    entry.learn("models")
    host, port = "127.0.0.1", entry.server.port
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(
        b"POST /chat/1 HTTP/1.1\r\nHost: farm.example\r\nRequest-Id: r1\r\n"
        b"Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    )
    last, began = b"", time.monotonic()
    with bound_memory(40_000_000):
        while data := await reader.read(65_536):
            last = (last + data)[-5:]
    assert time.monotonic() - began < 2.5
    assert last != b"0\r\n\r\n"
    writer.close()
    await entry.bad.wait_cut()


# Guards against a worker that is blamed on the request it got, which is then refused for good.
async def test_a_request_is_not_quarantined_for_bytes_without_end(entry):
    entry.bad.answer = answer_as(*BODIES["until close"])
    for number in range(4):
        entry.workers.learn_worker(
            Worker(f"bad-{number}", "booking", entry.bad.address, "north-a", 8, leaving=False)
        )
        assert (await entry.ask("/book/1")).status == 502
