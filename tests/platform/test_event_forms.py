"""Streams whose events have unusual forms, arrive in pieces, and break off anywhere.

Runs that follow another one have other weights, which the platform allows.
"""

from __future__ import annotations

import pytest

from egretford.http.messages import Headers
from tests.platform.deployment import run_deployment
from tests.platform.test_event_order import keep_turns_of_plans, set_script
from tests.platform.test_serving import ask_turn
from tests.platform.test_software_versions import begin_stream

# By form: the events 1 to 3 of a stream, and the text that is kept of each.
FORMS = {
    "changed weights": (
        [b"id: 1\ndata: a\n\n", b"weight-versions: 2\nid: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"],
        [b"a", b"b", b"c"],
    ),
    "CRLF": (
        [b"id: 1\r\ndata: a\r\n\r\n", b"id: 2\r\ndata: b\r\n\r\n", b"id: 3\r\ndata: c\r\n\r\n"],
        [b"a", b"b", b"c"],
    ),
    "CRLF, changed weights": (
        [
            b"id: 1\r\ndata: a\r\n\r\n",
            b"weight-versions: 2\r\nid: 2\r\ndata: b\r\n\r\n",
            b"id: 3\r\ndata: c\r\n\r\n",
        ],
        [b"a", b"b", b"c"],
    ),
    "several data lines": (
        [b"id: 1\ndata: a\ndata: A\n\n", b"id: 2\ndata: b\ndata:\n\n", b"id: 3\ndata:c\n\n"],
        [b"a\nA", b"b\n", b"c"],
    ),
    "no data": (
        [b"id: 1\ndata: a\n\n", b"id: 2\n\n", b"id: 3\ndata: c\n\n"],
        [b"a", b"", b"c"],
    ),
    "id after the data": (
        [b"data: a\nid: 1\n\n", b"data: b\nid: 2\n\n", b"data: c\nid: 3\n\n"],
        [b"a", b"b", b"c"],
    ),
    "comments": (
        [b": x\n\nid: 1\ndata: a\n\n", b": y\nid: 2\ndata: b\n\n", b"\nid: 3\ndata: c\n\n"],
        [b"a", b"b", b"c"],
    ),
}
EACH_FORM = pytest.mark.parametrize("form", FORMS)


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


def sign(worker, arrival, version: int = 1) -> Headers:
    fields = [(b"Weight-Versions", b"%d" % version), (b"Content-Type", b"text/event-stream")]
    return Headers([*worker.sign(arrival.request_id), *fields])


def send_events(events: list[bytes], size: int, cut: int | None = None):
    """Return a script that sends `events` in writes of `size` bytes.

    The first run breaks off after `cut` bytes; the next one goes on at other weights.
    """
    runs = []

    async def script(worker, arrival, responder):
        runs.append(arrival)
        last = int(arrival.headers.get_text(b"Last-Event-Id") or 0)
        data = b"".join(events[last:])
        breaks_off = cut is not None and len(runs) == 1
        responder.start_stream(200, sign(worker, arrival, version=len(runs)))
        for start in range(0, len(data), size):
            if breaks_off and start >= cut:
                break
            await responder.write(data[start : start + size])
        if breaks_off:
            await responder._connection.drain()
            responder._connection._transport.close()
            responder.finished = True
        else:
            responder.finish_stream()
        return True

    return script


# Guards against events that are changed, lost, or not counted or kept as their worker sent them.
@EACH_FORM
@pytest.mark.parametrize("size", [1, 1000])
async def test_events_of_any_form_pass_unchanged_and_are_kept(deployment, form, size):
    events, texts = FORMS[form]
    set_script(deployment, send_events(events, size))
    for path in ("/plan/1", "/tell/1"):
        answer = await deployment.callers[0].ask(path, body=b"x")
        assert (answer.body, answer.is_complete) == (b"".join(events), True)
    # Three events of 10 tokens: a second turn of 50 fits the budget only if each counts once.
    fields = {"Token_Budget": "80"}
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1", **fields)
    assert (answer.body, answer.is_complete) == (b"".join(events), True)
    answer = await ask_turn(deployment.callers[1], b"more", "t2", Previous_Turn="t1", **fields)
    assert answer.is_complete
    (arrival,) = deployment.arrivals("t2")
    assert arrival.body == b"hello " + b"".join(text + b"\n" for text in texts) + b"more"
    answer = await ask_turn(deployment.callers[1], b"more", "t3", Previous_Turn="t2", **fields)
    assert answer.status == 402


# Guards against events that come twice, or are missing, where a stream breaks off inside of one.
@EACH_FORM
async def test_a_stream_that_breaks_off_at_any_byte_goes_on(deployment, form):
    await keep_turns_of_plans(deployment)
    events, texts = FORMS[form]
    for cut in range(1, len(b"".join(events)) + 1):
        set_script(deployment, send_events(events, 1, cut))
        caller, name = deployment.callers[0], f"p{cut}"
        answer = await caller.ask("/plan/1", body=name.encode(), request_id=name)
        assert (answer.body, answer.is_complete) == (b"".join(events), True), cut
        assert len(deployment.arrivals(name)) == 2
        set_script(deployment, None)
        await caller.ask("/plan/1", body=b"y", request_id=f"q{cut}", Previous_Turn=name)
        (arrival,) = deployment.arrivals(f"q{cut}")
        assert arrival.body == name.encode() + b"".join(text + b"\n" for text in texts) + b"y"


# Guards against a rest that is taken for text as its events have another form.
@EACH_FORM
async def test_the_rest_that_a_caller_asks_for_passes_unchanged(deployment, form):
    events, _ = FORMS[form]
    caller, other = deployment.callers
    set_script(deployment, send_events([event.replace(b"\r", b"") for event in events], 1))
    await begin_stream(deployment, caller, "p1")
    for last in (1, 2, 3):
        set_script(deployment, send_events(events, 1))
        answer = await other.ask(
            "/plan/1", body=b"p1", request_id=f"q{last}", Last_Event_Id=str(last)
        )
        assert (answer.body, answer.is_complete) == (b"".join(events[last:]), True)
