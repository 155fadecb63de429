"""Turns and streams that are asked for again while their first run goes on, or after it."""

from __future__ import annotations

import asyncio

import pytest

from egretford.keeper.messages import Keep
from tests.platform.deployment import run_deployment
from tests.platform.standins import make_event
from tests.platform.test_event_order import set_script
from tests.platform.test_isolated_entries import begin, read_events
from tests.platform.test_serving import ask_turn


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


def make_text(request_id: str, number: int) -> bytes:
    return b"%s word %d" % (request_id.encode(), number)


def join_texts(request_id: str) -> bytes:
    return b"".join(make_text(request_id, number) + b"\n" for number in range(1, 5))


class NamedStreams:
    """A script whose events name their request; runs in `held` pause after event 2."""

    def __init__(self) -> None:
        self.held: set[str] = set()
        self.released = asyncio.Event()
        self.cancelled: set[str] = set()

    async def __call__(self, worker, arrival, responder):
        name = arrival.request_id
        responder.start_stream(200, worker.sign(name))
        for number in range(1, 5):
            if number == 3 and name in self.held:
                try:
                    await self.released.wait()
                except asyncio.CancelledError:
                    self.cancelled.add(name)
                    raise
            text = make_text(name, number)
            await responder.write(b"id: %d\ndata: %b\n\n" % (number, text))
        responder.finish_stream()
        return True


async def read_history(deployment, previous: str, request_id: str) -> bytes | None:
    """Return what a worker gets for a turn after `previous`, None if it is refused."""
    answer = await ask_turn(deployment.callers[1], b"more", request_id, Previous_Turn=previous)
    arrivals = deployment.arrivals(request_id)
    assert (answer.status == 200) == bool(arrivals)
    return arrivals[0].body if arrivals else None


# Guards against a turn that goes on from another run of the same content than the one it names.
@pytest.mark.parametrize("entry", [0, 1])
async def test_each_run_of_a_repeated_turn_is_kept_under_its_own_id(deployment, entry):
    script = NamedStreams()
    script.held.add("t1")
    set_script(deployment, script)
    first = asyncio.create_task(ask_turn(deployment.callers[0], b"hello ", "t1"))
    await deployment.wait_until(lambda: deployment.arrivals("t1"))
    assert (await ask_turn(deployment.callers[entry], b"hello ", "t2")).is_complete
    assert await read_history(deployment, "t1", "n0") is None
    script.released.set()
    assert (await first).is_complete
    for name in ("t1", "t2"):
        history = await read_history(deployment, name, f"n-{name}")
        assert history == b"hello " + join_texts(name) + b"more"


# Guards against a worker that goes on for a turn whose caller has left, and against its piece that
# is kept.
async def test_a_turn_whose_caller_left_is_not_kept(deployment):
    script = NamedStreams()
    script.held.add("t1")
    set_script(deployment, script)
    first = asyncio.create_task(ask_turn(deployment.callers[0], b"hello ", "t1"))
    await deployment.wait_until(lambda: deployment.arrivals("t1"))
    await asyncio.sleep(0.1)
    first.cancel()
    await deployment.wait_until(lambda: script.cancelled == {"t1"}, 0.5)
    assert (await ask_turn(deployment.callers[1], b"hello ", "t2")).is_complete
    assert await read_history(deployment, "t1", "n1") is None
    assert await read_history(deployment, "t2", "n2") == b"hello " + join_texts("t2") + b"more"


# Guards against a turn in part, or another run's, where keepers have a turn whose caller does not.
@pytest.mark.parametrize("stored_by", ["one keeper", "enough keepers"])
async def test_a_turn_that_was_kept_but_not_ended_is_continued_whole(deployment, stored_by):
    set_script(deployment, NamedStreams())
    gateway = deployment.entries[0].gateway
    keep = gateway._turns.keep

    async def keep_and_fail(turn):
        if stored_by == "one keeper":
            keepers = gateway._turns._keepers
            member = keepers.rank_copies(turn.program)[0]
            await keepers.send_request(member, Keep(None, turn))
        else:
            await keep(turn)
        raise TimeoutError

    gateway._turns.keep = keep_and_fail
    answer = await ask_turn(deployment.callers[0], b"hello ", "t1")
    assert not answer.is_complete
    gateway._turns.keep = keep
    again = await ask_turn(deployment.callers[0], b"hello ", "t2")
    assert again.is_complete
    assert await read_history(deployment, "t2", "n2") == b"hello " + join_texts("t2") + b"more"
    history = await read_history(deployment, "t1", "n1")
    assert history in (None, b"hello " + join_texts("t1") + b"more")


# Guards against pieces of two runs where a caller resumes elsewhere while its first entry still
# sends, over a connection that stays open.
@pytest.mark.parametrize("first_goes_on", [True, False])
@pytest.mark.parametrize("entry", [0, 1])
async def test_a_stream_is_resumed_while_its_first_run_goes_on(deployment, entry, first_goes_on):
    released, cancelled = asyncio.Event(), asyncio.Event()

    async def script(worker, arrival, responder):
        if arrival.request_id != "p1":
            return False
        responder.start_stream(200, worker.sign(arrival.request_id))
        await responder.write(make_event(1) + make_event(2))
        try:
            await released.wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise
        await responder.write(make_event(3) + make_event(4))
        responder.finish_stream()
        return True

    set_script(deployment, script)
    connection = await begin(deployment.callers[0], "/plan/1", "p1")
    assert await read_events(connection, 2) == make_event(1) + make_event(2)
    answer = await deployment.callers[entry].ask(
        "/plan/1", body=b"x", request_id="p2", Last_Event_Id="2"
    )
    assert (answer.body, answer.is_complete) == (make_event(3) + make_event(4), True)
    assert not cancelled.is_set()
    if first_goes_on:
        released.set()
        assert await read_events(connection, 2) == make_event(3) + make_event(4)
        connection.close()
        return
    connection.close()
    await asyncio.wait_for(cancelled.wait(), 0.5)
    assert len(deployment.arrivals("p1")) == len(deployment.arrivals("p2")) == 1
