"""Started responses continue until the caller's deadline."""

from __future__ import annotations

import asyncio

import pytest

from egretford.http.messages import Headers
from tests.platform.deployment import run_deployment
from tests.platform.standins import make_event

COMPLETE_BODY = b"".join(make_event(number) for number in range(1, 5))


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


async def stream_slowly(worker, arrival, responder):
    """Wait 0.7 s before each event but event 1; a resumed stream waits before its first one too."""
    first = int(arrival.headers.get_text(b"Last-Event-Id") or 0) + 1
    responder.start_stream(200, worker.sign(arrival.request_id))
    for number in range(first, worker.events + 1):
        if number > 1:
            await asyncio.sleep(0.7)
        await responder.write(make_event(number))
    responder.finish_stream()
    return True


# Guards against a response that is cut off before its deadline because its worker is slow.
async def test_a_slow_worker_does_not_end_a_response(deployment):
    for worker in deployment.workers[:2]:
        worker.script = stream_slowly
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    seconds = loop.time() - started
    sent = len(deployment.arrivals("p1"))
    assert (
        answer.is_complete and answer.body == COMPLETE_BODY
    ), f"ended after {seconds:.2f} s, sent {sent} times"


# Guards against a response that is cut off after a silence because its worker is leaving
# and gets no new requests.
async def test_a_stream_stays_at_a_slow_worker_that_is_leaving(deployment):
    async def announce_leaving_and_pause(worker, arrival, responder):
        responder.start_stream(200, worker.sign(arrival.request_id))
        await responder.write(make_event(1))
        deployment.store.put("servers", worker.id, worker.describe("draining"))
        await asyncio.sleep(1.0)
        for number in range(2, worker.events + 1):
            await responder.write(make_event(number))
        responder.finish_stream()
        return True

    for worker in deployment.workers[:2]:
        worker.script = announce_leaving_and_pause
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete and answer.body == COMPLETE_BODY
    assert len(deployment.arrivals("p1")) == 1


# Guards against late streams: the connection that replaces a dead one may be dead as well, and
# must not be waited for until the deadline.
async def test_a_stream_leaves_connections_that_went_silent_for_good(deployment):
    async def go_silent_twice(worker, arrival, responder):
        if len(deployment.arrivals("p1")) > 2:
            return False
        responder.start_stream(200, worker.sign(arrival.request_id))
        if len(deployment.arrivals("p1")) == 1:
            await responder.write(make_event(1))
        await asyncio.sleep(10)
        return True

    for worker in deployment.workers[:2]:
        worker.script = go_silent_twice
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete and answer.body == COMPLETE_BODY
    assert sum(any(a.request_id == "p1" for a in w.arrivals) for w in deployment.workers) == 1


# Guards against a response that is cut off because no worker had a free slot at that moment.
async def test_a_started_stream_is_offered_again_after_a_refusal(deployment):
    crashed, refused = [], []

    async def crash_once_refuse_once(worker, arrival, responder):
        if not crashed:
            crashed.append(worker.id)
            await worker.stream(arrival, responder, upto=3)
            await worker.close()
            return True
        if not refused:
            refused.append(worker.id)
            responder.send_response(503, Headers([(b"Not-Executed", b"1")]), b"")
            return True
        return False

    for worker in deployment.workers[:2]:
        worker.script = crash_once_refuse_once
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    seconds = loop.time() - started
    assert (
        refused and answer.is_complete and answer.body == COMPLETE_BODY
    ), f"ended after {seconds:.2f} s"


def refuse(responder):
    responder.send_response(503, Headers([(b"Not-Executed", b"1")]), b"")
    return True


# Guards against a response that is cut off because the only worker that may resume it had no free
# slot at that moment.
async def test_a_started_stream_waits_for_the_only_worker_that_may_run_it(deployment):
    async def abort_and_refuse(worker, arrival, responder):
        count = len(deployment.arrivals("p1"))
        if count == 1:
            await worker.stream(arrival, responder, upto=3)
            return True
        return count <= 6 and refuse(responder)

    for worker in deployment.workers[:2]:
        worker.script = abort_and_refuse
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete and answer.body == COMPLETE_BODY
    assert sum(any(a.request_id == "p1" for a in w.arrivals) for w in deployment.workers) == 1


# Guards against flooding workers with retries of a stream that all refuse, and against retries
# after the caller's deadline.
async def test_a_started_stream_that_no_worker_takes_ends_with_its_callers_time(deployment):
    async def abort_and_refuse(worker, arrival, responder):
        if len(deployment.arrivals("p1")) == 1:
            await worker.stream(arrival, responder, upto=3)
            return True
        return refuse(responder)

    for worker in deployment.workers[:2]:
        worker.script = abort_and_refuse
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert not answer.is_complete and answer.body == b"".join(make_event(n) for n in (1, 2))
    assert 2.9 < loop.time() - started < 3.5
    assert len(deployment.arrivals("p1")) <= 12


# Guards against holding a caller whose request can still be refused: it gets Retry-After at once.
async def test_a_request_without_a_started_response_is_refused_at_once(deployment):
    async def refuse_all(worker, arrival, responder):
        return refuse(responder)

    for worker in deployment.workers[:2]:
        worker.script = refuse_all
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.status == 503 and float(answer.headers.get_text(b"Retry-After")) > 0
    assert loop.time() - started < 0.5
