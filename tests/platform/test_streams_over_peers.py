"""Streams of isolated entries whose helping entry ends, or stops, in mid stream."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from egretford.http.client import BodyEnd, BodyPart, BrokenResponseError
from egretford.http.messages import encode_head, encode_status_line
from tests.platform.standins import join_events, make_event
from tests.platform.test_event_order import keep_turns_of_plans, set_script
from tests.platform.test_isolated_entries import (  # noqa: F401
    COMPLETE_BODY,
    begin,
    deployment,
    end_tunnels,
    find_carrier,
)


class HeldStream:
    """A script whose first run pauses within the event that follows `events` of them.

    Its response ends with its connection without `is_framed`, the others without `framed_rest`.
    """

    def __init__(self, is_framed: bool, framed_rest: bool, events: int) -> None:
        self.is_framed = is_framed
        self.framed_rest = framed_rest
        self.events = events
        self.resume = asyncio.Event()
        self.firsts: list[int] = []

    async def __call__(self, worker, arrival, responder):
        first = int(arrival.headers.get_text(b"Last-Event-Id") or 0) + 1
        is_first_run = not self.firsts
        is_framed = self.is_framed if is_first_run else self.framed_rest
        self.firsts.append(first)
        headers = worker.sign(arrival.request_id)
        data = b"".join(map(make_event, range(first, 5)))
        begun = b"".join(map(make_event, range(first, self.events + 1)))
        part = len(begun) + (4 if self.events < 4 else 0)
        pieces = [data[:part], data[part:]] if is_first_run else [data]
        connection = responder._connection
        if is_framed:
            responder.start_stream(200, headers)
        else:
            connection.write(encode_head(encode_status_line(200), headers))
        for number, piece in enumerate(pieces):
            if number:
                await self.resume.wait()
            if piece and is_framed:
                await responder.write(piece)
            elif piece:
                connection.write(piece)
        if is_framed:
            responder.finish_stream()
        else:
            responder.finished = connection.close_after_response = True
        return True


async def read_rest(connection) -> tuple[bytes, bool]:
    """Return what follows, and whether the response was complete."""
    received = b""
    with contextlib.suppress(BrokenResponseError):
        async with asyncio.timeout(4):
            while not isinstance(part := await connection.read(), BodyEnd):
                if isinstance(part, BodyPart):
                    received += part.data
            return received, True
    return received, False


async def end_as_killed(entry) -> None:
    end_tunnels(entry)


async def stop(entry) -> None:
    await entry.close()


# Guards against a stream with events missing or twice, or that ends early as complete, where the
# entry in the middle ends; and against what is kept of it.
@pytest.mark.parametrize("end", [end_as_killed, stop])
@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize("framed_rest", [True, False])
@pytest.mark.parametrize("events", [2, 4])
async def test_a_stream_whose_peer_ends_goes_on_over_another_one(
    deployment,  # noqa: F811
    end,
    is_framed,
    framed_rest,
    events,
):
    await keep_turns_of_plans(deployment)
    script = HeldStream(is_framed, framed_rest, events)
    set_script(deployment, script)
    deployment.links[0].cut("refused")
    connection = await begin(deployment.callers[0], "/plan/1", "p1")
    received = b""
    async with asyncio.timeout(3):
        while received.count(b"\n\n") < events:
            part = await connection.read()
            received += part.data if isinstance(part, BodyPart) else b""
    await end(find_carrier(deployment))
    rest, is_complete = await read_rest(connection)
    connection.close()
    received += rest
    assert COMPLETE_BODY.startswith(received)
    assert is_complete == framed_rest
    assert not is_complete or received == COMPLETE_BODY
    assert script.firsts[:2] == [1, events + 1]
    set_script(deployment, None)
    caller = deployment.callers[0]
    answer = await caller.ask("/plan/1", body=b"y", request_id="p2", Previous_Turn="p1")
    assert answer.status == (200 if is_complete else 404)
    for arrival in deployment.arrivals("p2"):
        assert arrival.body == b"x" + join_events(4) + b"y"
