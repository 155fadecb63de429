"""Workers that close connections after a response, or announce a short idle time, by chance."""

from __future__ import annotations

import asyncio

import pytest

from egretford.http.messages import Headers
from tests.platform.deployment import run_deployment
from tests.platform.standins import join_events, make_event
from tests.platform.test_event_order import set_script
from tests.platform.test_serving import ask_turn

WHOLE = b"".join(map(make_event, range(1, 5)))
FIELDS = {
    "close": (b"Connection", b"close"),
    "one second": (b"Keep-Alive", b"timeout=1"),
    "no time": (b"Keep-Alive", b"timeout=0"),
}


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


def add_field(field: tuple[bytes, bytes], every: int, delay: float | None):
    """Return a script that adds a field to each `every`th response, and closes `delay` s later."""
    served = []
    newest: dict[object, object] = {}

    def close_if_idle(connection, arrival) -> None:
        if newest[connection] is arrival:
            connection._transport.close()

    async def script(worker, arrival, responder):
        served.append(arrival)
        newest[responder._connection] = arrival
        if len(served) % every:
            return False
        headers = Headers([*worker.sign(arrival.request_id), field])
        if worker.engine:
            responder.start_stream(200, headers)
            for number in range(1, 5):
                await responder.write(make_event(number))
            responder.finish_stream()
        else:
            responder.send_response(200, headers, b"done " + arrival.request_id.encode())
        if delay is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, close_if_idle, responder._connection, arrival)
        return True

    return script


# Guards against answers that are lost, mixed up or run twice where a worker that is not leaving
# closes its connection after a response.
@pytest.mark.parametrize("name", FIELDS)
@pytest.mark.parametrize("delay", [0.0, 0.005, None])
async def test_requests_that_follow_at_once_are_served(deployment, name, delay):
    if name == "one second" and delay is not None:
        delay = 1.0
    set_script(deployment, add_field(FIELDS[name], 3, delay))

    async def ask_all(caller, mark: str) -> None:
        previous = {}
        for number in range(12):
            tag = f"{mark}-{number}"
            answer = await caller.ask("/book/1", body=b"x", request_id=f"b{tag}")
            assert (answer.status, answer.body) == (200, f"done b{tag}".encode())
            answer = await caller.ask("/ping/1", method="GET", request_id=f"s{tag}")
            assert (answer.status, answer.body) == (200, f"done s{tag}".encode())
            answer = await caller.ask("/plan/1", body=tag.encode(), request_id=f"p{tag}")
            assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
            fields = {"Program_Id": mark, "Token_Budget": "100000"} | previous
            answer = await ask_turn(caller, b"x", f"t{tag}", **fields)
            assert (answer.status, answer.body, answer.is_complete) == (200, WHOLE, True)
            previous = {"Previous_Turn": f"t{tag}"}
            for kind in "bpt":
                assert len(deployment.arrivals(kind + tag)) == 1
        assert deployment.arrivals(f"t{tag}")[0].body == (b"x" + join_events(4)) * 11 + b"x"

    async with asyncio.timeout(30):
        await asyncio.gather(*(ask_all(c, f"c{n}") for n, c in enumerate(deployment.callers * 2)))


# Guards against streams that are refused, as a worker closes the connection after its report.
async def test_a_stream_is_served_where_reports_end_their_connection(deployment):
    for worker in deployment.workers:
        worker.report_fields = [FIELDS["close"]]
    for number in range(4):
        answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id=f"p{number}")
        assert (answer.status, answer.is_complete) == (200, True)


# Guards against a copy of a report's response that passes for the response to a request.
async def test_a_report_that_comes_twice_is_no_answer(deployment):
    async def wait_for_copy(worker, arrival, responder):
        await asyncio.sleep(0.1)
        return False

    for worker in deployment.workers:
        worker.script, worker.doubled_report = wait_for_copy, 400
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.status, answer.body) == (200, WHOLE)
