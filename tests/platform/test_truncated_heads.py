"""Workers that stop in the middle of a response, from its status line to its body."""

from __future__ import annotations

import pytest

from egretford.clock import SystemClock
from egretford.errors import StoreUnavailableError
from egretford.platform.store import MetadataStore
from tests.entry.test_forwarding import entry, list_worker  # noqa: F401
from tests.http.test_client import serve_response
from tests.platform.standins import NullLog, WorkerStandin, make_event, send_raw

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.w\r\n"
BODY = make_event(1)
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The bytes that a worker sends before it stops; %s stands for the request id.
CUTS = {
    "nothing": b"",
    "version": b"HTTP/1.1",
    "status": b"HTTP/1.1 20",
    "reason": b"HTTP/1.1 200 O",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "header name": HEAD + b"Content-Le",
    "header value": HEAD + b"Content-Length: 2",
    "header line": HEAD + b"Content-Length: 22\r",
    "last header": LENGTH[:-2],
    "blank line": LENGTH[:-1],
    "unframed last header": HEAD,
    "unframed blank line": HEAD + b"\r",
    "chunked last header": CHUNKED[:-2],
    "no length": HEAD + b"Content-Length: 0\r\n",
    "no length, blank line": HEAD + b"Content-Length: 0\r\n\r",
    "head": LENGTH,
    "body": LENGTH + BODY[:-1],
    "chunked head": CHUNKED,
    "chunk size": CHUNKED + b"1",
    "chunk size line": CHUNKED + b"14\r",
    "chunk": CHUNKED + b"14\r\n" + BODY[:5],
    "chunk end": CHUNKED + b"%x\r\n" % len(BODY) + BODY,
    "between chunks": CHUNKED + b"%x\r\n" % len(BODY) + BODY + b"\r\n",
    "last chunk": CHUNKED + b"%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n",
}
# Sends of a request to the only worker; safe calls are repeated at other workers, streams there.
SENDS = {"/book/1": 1, "/tell/1": 1, "/ping/1": 1, "/plan/1": 3}


@pytest.fixture
def caller(entry):  # noqa: F811
    return entry.caller


@pytest.fixture
async def worker(entry, path):  # noqa: F811
    is_engine = path in ("/tell/1", "/plan/1")
    standin = WorkerStandin("w", "any", "north-a", engine=is_engine)
    await standin.start()
    list_worker(entry, standin, "w", "models" if is_engine else "booking")
    yield standin
    await standin.close()


def truncate(data: bytes, end: str, connections: list):
    """Return a script that stops after `data`, and adds its connection to `connections`."""

    async def script(worker, arrival, responder):
        connections.append(responder._connection)
        return send_raw(responder, data.replace(b"%s", arrival.request_id.encode()), end)

    return script


# Guards against a truncated response that gets a success, or that runs once more where it may not.
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("reused", [False, True], ids=["fresh", "reused"])
@pytest.mark.parametrize("path", SENDS)
async def test_a_truncated_response_is_no_success(caller, worker, path, reused, end, cut):
    if reused:
        assert (await caller.ask(path, request_id="r1")).is_complete
    (served,) = worker.server.connections or (None,)
    connections: list = []
    worker.script = truncate(CUTS[cut], end, connections)
    answer = await caller.ask(path, request_id="r2")
    if worker.engine and BODY in CUTS[cut]:
        assert (answer.status, answer.body, answer.is_complete) == (200, BODY, False)
    else:
        assert answer.status == 502 and answer.headers.get(b"Response-Signature") is None
    assert len(connections) == SENDS[path]
    assert (connections[0] is served) == reused


# Guards against a call that fails although another attempt is allowed.
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("path", ["/ping/1", "/plan/1"])
async def test_a_truncated_response_is_asked_for_again(entry, worker, path, cut):  # noqa: F811
    connections: list = []
    stop = truncate(CUTS[cut], "close", connections)

    async def stop_once(worker, arrival, responder):
        return not connections and await stop(worker, arrival, responder)

    worker.script = entry.good.script = stop_once
    entry.good.engine = worker.engine
    list_worker(entry, entry.good, "good", "models" if worker.engine else "booking")
    answer = await entry.caller.ask(path, request_id="r1")
    whole = b"".join(make_event(n) for n in range(1, 5)) if worker.engine else b"done r1"
    assert (answer.status, answer.body, answer.is_complete) == (200, whole, True)
    assert len(worker.arrivals) + len(entry.good.arrivals) == 2


# Guards against an empty stream that looks whole, as its worker was lost after its unframed head.
@pytest.mark.parametrize("path", ["/tell/1", "/plan/1"])
async def test_a_stream_that_ends_with_its_connection_before_an_event_is_no_success(
    caller, worker, path
):
    worker.script = truncate(HEAD + b"\r\n", "close", [])
    assert (await caller.ask(path, request_id="r1")).status == 502


STORE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
STORE_BODY = b'{"items": [], "store_revision": 7}'
STORE_RESPONSE = STORE_HEAD + b"Content-Length: %d\r\n\r\n" % len(STORE_BODY) + STORE_BODY


# Guards against an empty or older listing that is taken from a response that the store cut off.
@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("length", range(0, len(STORE_RESPONSE), 5))
async def test_a_truncated_response_of_the_store_is_none(length, reset):
    server = await serve_response(STORE_RESPONSE[:length], reset=reset)
    port = server.sockets[0].getsockname()[1]
    store = MetadataStore(f"127.0.0.1:{port}", SystemClock(), NullLog())
    with pytest.raises(StoreUnavailableError):
        await store.list_all("servers")
    await store.close()
    server.close()


# Guards against a missing or changed object that the store never said: only whole heads count.
@pytest.mark.parametrize("status", [b"404 Not Found", b"409 Conflict", b"410 Gone"])
async def test_a_truncated_failure_of_the_store_says_nothing(status):
    server = await serve_response(b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n")
    port = server.sockets[0].getsockname()[1]
    store = MetadataStore(f"127.0.0.1:{port}", SystemClock(), NullLog())
    with pytest.raises(StoreUnavailableError):
        await store.get("config", "main")
    await store.close()
    server.close()
