"""Workers that answer with a status that HTTP does not have."""

from __future__ import annotations

import pytest

from tests.entry.test_forwarding import entry, list_worker  # noqa: F401
from tests.platform.standins import WorkerStandin, make_event, send_raw

PATHS = ["/book/1", "/tell/1", "/ping/1", "/plan/1"]


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


# Guards against a response without a valid status that callers get as the answer.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
@pytest.mark.parametrize("path", PATHS)
async def test_a_response_with_no_valid_status_is_no_answer(caller, worker, path, status):
    async def script(worker, arrival, responder) -> bool:
        body = make_event(1)
        head = b"HTTP/1.1 %s Odd\r\nRequest-Id: %s\r\nResponse-Signature: sig.w\r\n"
        head %= (status, arrival.request_id.encode())
        return send_raw(responder, head + b"Content-Length: %d\r\n\r\n" % len(body) + body, "close")

    worker.script = script
    answer = await caller.ask(path, body=b"x", request_id="q1")
    assert answer.status == 502
    assert answer.headers.get(b"Response-Signature") is None
    assert worker.arrivals
