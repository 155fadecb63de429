"""Successful responses of workers that are framed and have no event."""

from __future__ import annotations

import pytest

from egretford.http.messages import Headers
from tests.platform.deployment import run_deployment
from tests.platform.standins import make_event
from tests.platform.test_serving import ask_turn
from tests.platform.test_software_versions import begin_stream, resume, send_two_events


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


def respond_empty(body: bytes, *, chunked: bool):
    """Return a script that sends a signed, framed response without an event."""

    async def script(worker, arrival, responder):
        headers = Headers(
            [*worker.sign(arrival.request_id), (b"Content-Type", b"text/event-stream")]
        )
        if not chunked:
            responder.send_response(200, headers, body)
            return True
        responder.start_stream(200, headers)
        if body:
            await responder.write(body)
        responder.finish_stream()
        return True

    return script


EMPTY = pytest.mark.parametrize("body", [b"", b"\n", b": no event\n\n"])
CHUNKED = pytest.mark.parametrize("chunked", [True, False])


# Guards against a truncated stream that passes for a whole one without events.
@EMPTY
@CHUNKED
@pytest.mark.parametrize("path", ["/plan/1", "/tell/1"])
async def test_a_stream_without_an_event_is_not_whole(deployment, path, body, chunked):
    for worker in deployment.workers:
        worker.script = respond_empty(body, chunked=chunked)
    answer = await deployment.callers[0].ask(path, body=b"x", request_id="p1")
    assert answer.status == 502


# Guards against a turn that is kept, and continued, without an answer.
@EMPTY
@CHUNKED
async def test_a_turn_without_an_event_is_not_kept(deployment, body, chunked):
    for worker in deployment.workers:
        worker.script = respond_empty(body, chunked=chunked)
    assert (await ask_turn(deployment.callers[0], b"hello ", "t1")).status == 502
    for worker in deployment.workers:
        worker.script = None
    answer = await ask_turn(deployment.callers[1], b"more ", "t2", Previous_Turn="t1")
    assert answer.status == 404 and not deployment.arrivals("t2")


# Guards against a stream that fails although its caller has all its events, but not its end.
@CHUNKED
async def test_the_rest_of_a_stream_may_be_empty(deployment, chunked):
    for worker in deployment.workers:
        worker.script = send_two_events
    await begin_stream(deployment, deployment.callers[0], "p1")
    for worker in deployment.workers:
        worker.script = respond_empty(b"", chunked=chunked)
    answer = await resume(deployment.callers[1], "q1", "p1")
    assert (answer.status, answer.body, answer.is_complete) == (200, b"", True)


async def test_an_empty_stream_is_sent_again(deployment):
    served = []

    async def serve_second(worker, arrival, responder):
        served.append(worker.id)
        if len(served) > 1:
            return False
        return await respond_empty(b"", chunked=True)(worker, arrival, responder)

    for worker in deployment.workers:
        worker.script = serve_second
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.body, answer.is_complete) == (b"".join(map(make_event, range(1, 5))), True)
