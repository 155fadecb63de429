"""Responses of workers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import itertools

import pytest

from egretford.http.messages import encode_head, encode_status_line
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
