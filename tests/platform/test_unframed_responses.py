"""Responses of workers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from egretford.http.messages import Headers, encode_head, encode_status_line
from tests.platform.deployment import run_deployment
from tests.platform.standins import join_events, make_event, send_raw
from tests.platform.test_serving import ask_turn

EVENTS = b"".join(make_event(number) for number in range(1, 5))


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


def respond_unframed(body: bytes, end: str, attempts: int = 100):
    """Return a script that sends `body` without framing, for the first `attempts` requests.

    `end` is "close" or "reset".
    """
    served = itertools.count(1)

    async def script(worker, arrival, responder):
        if next(served) > attempts:
            return False
        head = encode_head(encode_status_line(200), worker.sign(arrival.request_id))
        return send_raw(responder, head + body, end)

    return script


def respond_and_end(body: bytes, end: str):
    """Return a script that sends `body` without framing, and ends its process as if killed.

    `end` is "gone", or "restarted" if another process is at its address at once. Later requests
    are served.
    """
    served = itertools.count(1)

    async def script(worker, arrival, responder):
        if next(served) > 1:
            return False
        head = encode_head(encode_status_line(200), worker.sign(arrival.request_id))
        if end == "gone":
            worker.server.stop_listening()
        else:
            worker.born += 1
        return send_raw(responder, head + body, "close")

    return script


def set_script(deployment, script) -> None:
    for worker in deployment.workers:
        worker.script = script


async def test_a_body_that_ends_with_its_connection_is_passed_on_whole(deployment):
    set_script(deployment, respond_unframed(b"booked", "close"))
    answer = await deployment.callers[0].ask("/book/1", request_id="b1")
    assert (answer.status, answer.body, answer.is_complete) == (200, b"booked", True)


# Guards against a truncated body that looks whole, and against a call that runs twice.
async def test_a_body_that_is_reset_fails_and_is_not_sent_again(deployment):
    set_script(deployment, respond_unframed(b"booked", "reset"))
    answer = await deployment.callers[0].ask("/book/1", request_id="b1")
    assert answer.status == 502
    assert len(deployment.arrivals("b1")) == 1


async def test_a_repeatable_call_whose_body_is_reset_is_sent_again(deployment):
    set_script(deployment, respond_unframed(b"pong", "reset", attempts=1))
    answer = await deployment.callers[0].ask("/ping/1", method="GET", request_id="a1")
    assert (answer.status, answer.is_complete) == (200, True)


async def test_a_turn_that_ends_with_its_connection_is_kept(deployment):
    set_script(deployment, respond_unframed(EVENTS, "close", attempts=1))
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert (answer.body, answer.is_complete) == (EVENTS, True)
    assert (await ask_turn(deployment.callers[1], b"more", "t2", Previous_Turn="t1")).status == 200
    (arrival,) = deployment.arrivals("t2")
    assert arrival.body == b"hello " + join_events(4) + b"more"


# Guards against a turn that looks complete, or is continued, although its worker broke it off.
@pytest.mark.parametrize(
    ("body", "end"),
    [(EVENTS, "reset"), (EVENTS[:-1], "close"), (EVENTS + b"id: 5", "close")],
    ids=["reset", "cut in the last event", "cut in a further event"],
)
async def test_a_turn_that_was_broken_off_is_neither_complete_nor_kept(deployment, body, end):
    set_script(deployment, respond_unframed(body, end))
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert answer.status != 200 or not answer.is_complete
    set_script(deployment, None)
    again = await ask_turn(deployment.callers[0], b"more", "t2", Previous_Turn="t1")
    assert again.status == 404
    assert not deployment.arrivals("t2")


# Guards against a resumable stream with missing or repeated events.
@pytest.mark.parametrize("end", ["reset", "close"])
async def test_a_resumable_stream_that_was_broken_off_is_continued(deployment, end):
    body = EVENTS if end == "reset" else EVENTS[:-4]
    set_script(deployment, respond_unframed(body, end, attempts=1))
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.status, answer.body, answer.is_complete) == (200, EVENTS, True)


# Guards against a turn without its end that looks complete, or that the next turn runs on, since a
# killed process closes its connections in order.
@pytest.mark.parametrize("end", ["gone", "restarted"])
async def test_a_turn_whose_worker_was_killed_is_neither_complete_nor_kept(deployment, end):
    set_script(deployment, respond_and_end(make_event(1) + make_event(2), end))
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert answer.status != 200 or not answer.is_complete
    again = await ask_turn(deployment.callers[1], b"more", "t2", Previous_Turn="t1")
    assert again.status == 404
    assert not deployment.arrivals("t2")


# Guards against a stream without its end that looks complete.
@pytest.mark.parametrize("end", ["gone", "restarted"])
async def test_a_resumable_stream_whose_worker_was_killed_is_continued(deployment, end):
    set_script(deployment, respond_and_end(make_event(1) + make_event(2), end))
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.status, answer.body, answer.is_complete) == (200, EVENTS, True)


# Guards against a body without its end that looks whole, at a worker that reports no start.
async def test_a_body_whose_worker_was_killed_fails_and_is_not_sent_again(deployment):
    set_script(deployment, respond_and_end(b"boo", "gone"))
    answer = await deployment.callers[0].ask("/book/1", request_id="b1")
    assert answer.status == 502
    assert len(deployment.arrivals("b1")) == 1


# Guards against a whole turn that is broken off because its worker does not answer for a second.
async def test_a_turn_of_a_worker_that_is_silent_for_a_while_is_kept(deployment):
    async def script(worker, arrival, responder):
        worker.report_delay = 5.0
        asyncio.get_running_loop().call_later(1.0, setattr, worker, "report_delay", 0.0)
        head = encode_head(encode_status_line(200), worker.sign(arrival.request_id))
        return send_raw(responder, head + EVENTS, "close")

    set_script(deployment, script)
    started = time.monotonic()
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert (answer.body, answer.is_complete) == (EVENTS, True)
    assert time.monotonic() - started > 1.0
    set_script(deployment, None)
    assert (await ask_turn(deployment.callers[1], b"more", "t2", Previous_Turn="t1")).status == 200


def report_once_ended(deployment, respond) -> None:
    """Let workers that have ended answer questions for their state with `respond`."""
    for worker in deployment.workers:

        async def handle(http, responder, worker=worker, serve=worker.server.handle):
            if http.path == b"/v1/report" and worker.born != 1000:
                respond(responder)
            else:
                await serve(http, responder)

        worker.server.handle = handle


# Guards against a cut turn that looks whole because something answers at its worker's address.
@pytest.mark.parametrize("report", ["not ready", "cut off"])
async def test_an_unusable_report_does_not_show_that_a_worker_goes_on(deployment, report):
    def respond(responder):
        if report == "not ready":
            responder.send_response(503, Headers(), b"")
        else:
            send_raw(responder, encode_head(encode_status_line(200), []) + b'{"stage"', "close")

    report_once_ended(deployment, respond)
    set_script(deployment, respond_and_end(make_event(1) + make_event(2), "restarted"))
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert answer.status != 200 or not answer.is_complete


# Guards against a cut body that looks whole because another process answers at its address later.
async def test_a_body_whose_worker_was_replaced_during_the_question_fails(deployment):
    ended_at = time.monotonic()

    def respond(responder):
        if time.monotonic() - ended_at < 1.0:
            responder.abort()
        else:
            responder.send_response(400, Headers(), b"")

    report_once_ended(deployment, respond)
    set_script(deployment, respond_and_end(b"boo", "restarted"))
    ended_at = time.monotonic()
    answer = await deployment.callers[0].ask("/book/1", request_id="b1")
    assert answer.status == 504
    assert len(deployment.arrivals("b1")) == 1


# Guards against a whole body that is thrown away, and run again, because its worker is slow to
# report.
async def test_a_body_of_a_worker_that_reports_late_is_passed_on(deployment):
    set_script(deployment, respond_unframed(b"pong", "close"))
    for worker in deployment.workers:
        worker.report_delay = 0.4
    answer = await deployment.callers[0].ask("/ping/1", method="GET", request_id="a1")
    assert (answer.status, answer.body) == (200, b"pong")
    assert len(deployment.arrivals("a1")) == 1


# Guards against an unframed response that closes the idle connections to its worker.
async def test_an_unframed_response_leaves_other_connections_open(deployment):
    gate = asyncio.Event()

    async def script(worker, arrival, responder):
        if arrival.request_id.startswith("held"):
            await gate.wait()
            return False
        head = encode_head(encode_status_line(200), worker.sign(arrival.request_id))
        return send_raw(responder, head + b"booked", "close")

    def count_idle() -> int:
        workers = deployment.entries[0].workers.list_usable("booking")
        return sum(len(tracked.idle_connections) for tracked in workers)

    set_script(deployment, script)
    caller = deployment.callers[0]
    held = [asyncio.create_task(caller.ask("/book/1", request_id=f"held{n}")) for n in range(8)]
    await asyncio.sleep(0.2)
    gate.set()
    await asyncio.gather(*held)
    idle = count_idle()
    assert idle > 4 and (await caller.ask("/book/1", request_id="b1")).status == 200
    assert count_idle() >= idle - 1
