"""Streams that broke off and whose next worker answers with something else than the rest."""

from __future__ import annotations

import itertools

import pytest

from tests.entry.test_forwarding import entry, list_worker  # noqa: F401
from tests.platform.deployment import make_configuration, run_deployment
from tests.platform.standins import WorkerStandin, join_events, make_event, send_raw
from tests.platform.test_serving import ask_turn

TEXT = b"upstream failure"
BEGINNING = make_event(1) + make_event(2)
WHOLE = BEGINNING + make_event(3) + make_event(4)
OWN = b"Request-Id: %s\r\nResponse-Signature: sig.other\r\n"
# What follows the first header fields; %d stands for the length of the text, %b for the text.
FRAMINGS = {
    "length": b"Content-Length: %d\r\n\r\n%b",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n",
    "until close": b"\r\n%b",
    "head only": b"Content-Length: %d\r\n\r\n",
}
ERROR_FIELDS = {"signed": OWN, "anonymous": b"", "not run": OWN + b"Not-Executed: 1\r\n"}


def frame(first: bytes, kind: str, text: bytes = TEXT) -> bytes:
    values = {"length": (len(text), text), "chunks": (len(text), text), "until close": (text,)}
    return first + FRAMINGS[kind] % values.get(kind, (len(text),))


ERRORS = {
    f"{status} {fields} {framing}": (
        b"HTTP/1.1 %d Error\r\n" % status + ERROR_FIELDS[fields],
        framing,
        TEXT,
    )
    for status, fields, framing in itertools.product((404, 500, 502, 503), ERROR_FIELDS, FRAMINGS)
}
OK = b"HTTP/1.1 200 OK\r\n"
PLAIN = OWN + b"Content-Type: text/plain\r\n"
EVENT = b"id: 3\ndata: upstream failure\n\n"
WRONG_SUCCESSES = {
    "no signature": (OK + b"Request-Id: %s\r\n", "length", EVENT),
    "no id": (OK + b"Response-Signature: sig\r\n", "length", EVENT),
    "other id": (OK + b"Request-Id: other\r\nResponse-Signature: s\r\n", "length", EVENT),
    "encoded": (OK + OWN + b"Content-Encoding: gzip\r\n", "length", EVENT),
    "text": (OK + PLAIN, "length", TEXT),
    "line": (OK + PLAIN, "length", TEXT + b"\n"),
    "paragraph": (OK + OWN, "length", TEXT + b"\n\n"),
    "paragraph in chunks": (OK + OWN, "chunks", TEXT + b"\n\n"),
    "paragraph until close": (OK + OWN, "until close", TEXT + b"\n\n"),
    "paragraph, then an event": (OK + OWN, "length", TEXT + b"\n\n" + EVENT),
    "other type": (OK + PLAIN, "length", b"data: " + TEXT + b"\n\n"),
    "nothing until close": (OK + OWN, "until close", b""),
    "head only": (OK + OWN, "head only", TEXT),
}
WRONG_ANSWERS = ERRORS | WRONG_SUCCESSES


def break_off_then(name: str, answers: int):
    """Return a script that breaks off after event 2 and then gives wrong answers."""
    first, framing, text = WRONG_ANSWERS[name]
    served = itertools.count()

    async def script(worker, arrival, responder):
        number = next(served)
        if number == 0:
            await worker.stream(arrival, responder, upto=3)
            return True
        if number > answers:
            return False
        data = frame(first.replace(b"%s", arrival.request_id.encode()), framing, text)
        return send_raw(responder, data, "close")

    return script


@pytest.fixture
def caller(entry):  # noqa: F811
    return entry.caller


@pytest.fixture
async def workers(entry):  # noqa: F811
    found = [WorkerStandin(f"w-{n}", "models", "north-a", engine=True) for n in range(2)]
    for worker in found:
        await worker.start()
        list_worker(entry, worker, worker.id, "models")
    yield found
    for worker in found:
        await worker.close()


def set_script(workers, script) -> None:
    for worker in workers:
        worker.script = script


# Guards against an error's bytes within a stream, and against a stream that ends with them.
@pytest.mark.parametrize("name", WRONG_ANSWERS)
async def test_a_stream_goes_on_with_its_rest_after_a_wrong_answer(caller, workers, name):
    set_script(workers, break_off_then(name, 1))
    answer = await caller.ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)


@pytest.mark.parametrize("name", WRONG_ANSWERS)
async def test_a_stream_without_its_rest_is_visibly_broken_off(caller, workers, name):
    set_script(workers, break_off_then(name, 100))
    answer = await caller.ask("/plan/1", body=b"x", request_id="p1", deadline_ms=1000)
    assert (answer.status, answer.body, answer.is_complete) == (200, BEGINNING, False)


# Guards against a rest that is refused because its type is written in another way.
async def test_a_rest_of_the_same_type_is_passed_on(caller, workers):
    async def name_type(worker, arrival, responder):
        is_rest = arrival.headers.get(b"Last-Event-Id") is not None
        media_type = b"Text/Event-Stream" if is_rest else b"text/event-stream; charset=utf-8"
        first = OK + OWN.replace(b"%s", arrival.request_id.encode())
        first += b"Content-Type: " + media_type + b"\r\n"
        text = WHOLE.removeprefix(BEGINNING) if is_rest else BEGINNING + b"id: 3"
        return send_raw(responder, frame(first, "length", text), "close")

    set_script(workers, name_type)
    answer = await caller.ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)


# Guards against a second run of a stream that may not be resumed.
async def test_a_stream_that_may_not_be_resumed_is_broken_off_at_once(caller, workers):
    set_script(workers, break_off_then("500 signed length", 100))
    answer = await caller.ask("/chat/1", body=b"x", request_id="c1")
    assert (answer.body, answer.is_complete) == (BEGINNING, False)
    assert sum(len(worker.arrivals) for worker in workers) == 1


# Guards against a stream that never ends as its worker was lost between its last event and the end.
async def test_a_stream_of_which_nothing_is_left_ends_as_complete(caller, workers):
    async def break_off_at_the_end(worker, arrival, responder):
        if arrival.headers.get(b"Last-Event-Id") is not None:
            return False
        worker.events += 1
        await worker.stream(arrival, responder, upto=5)
        worker.events -= 1
        return True

    set_script(workers, break_off_at_the_end)
    answer = await caller.ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        configuration = make_configuration(version=4)
        for route in configuration["routes"]:
            route["resumable"] = route["name"] == "chat"
        running.store.put("config", "main", configuration)
        await running.wait_until(
            lambda: all(e.gateway.configuration_version == 4 for e in running.entries)
        )
        yield running


# Guards against a turn that is kept with an error's text, or without its rest.
@pytest.mark.parametrize(
    ("name", "answers"),
    itertools.product(
        ["500 signed length", "503 not run chunks", "paragraph", "nothing until close"], [1, 100]
    ),
)
async def test_a_turn_is_kept_whole_or_not_at_all(deployment, name, answers):
    set_script(deployment.workers[:2], break_off_then(name, answers))
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert (answer.body, answer.is_complete) == (
        (WHOLE, True) if answers == 1 else (BEGINNING, False)
    )
    set_script(deployment.workers[:2], None)
    again = await ask_turn(deployment.callers[1], b"more", "t2", Previous_Turn="t1")
    assert again.status == (200 if answers == 1 else 404)
    assert [a.body for a in deployment.arrivals("t2")] == (
        [b"hello " + join_events(4) + b"more"] if answers == 1 else []
    )
