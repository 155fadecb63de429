"""Workers that write an earlier refusal once more: it says nothing about the present request."""

from __future__ import annotations

import pytest

from tests.entry.test_forwarding import entry, list_worker  # noqa: F401
from tests.platform.standins import WorkerStandin, make_event

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"


def repeat_refusal(fields: bytes):
    """Return a script that writes a refusal before the response, on every request but the first."""

    async def script(worker, arrival, responder):
        if len(worker.arrivals) > 1:
            responder._connection.write(REFUSAL + fields + b"\r\n")
        return False

    return script


@pytest.fixture
async def faulty():
    worker = WorkerStandin("faulty", "any", "north-a", engine=False)
    await worker.start()
    yield worker
    await worker.close()


# Guards against a running call that is reported as not run, or that runs at a second worker,
# because of a refusal that names no request or another one.
@pytest.mark.parametrize(
    "fields",
    [b"", b"Request-Id:\r\n", b"Request-Id: r1\r\n"],
    ids=["no id", "empty id", "id of an earlier request"],
)
@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
async def test_an_earlier_refusal_on_a_kept_connection_is_not_taken_for_the_answer(
    entry, faulty, path, fields  # noqa: F811
):
    upstream = "models" if path.startswith("/chat") else "booking"
    faulty.engine = entry.good.engine = upstream == "models"
    faulty.script = repeat_refusal(fields)
    list_worker(entry, faulty, "faulty", upstream)
    assert (await entry.caller.ask(path, request_id="r1")).status == 200
    list_worker(entry, entry.good, "good", upstream)
    for tracked in entry.workers.list_usable(upstream):
        # Makes the faulty worker the first choice.
        tracked.state.granted += 3 * (tracked.worker.id == "good")
    answer = await entry.caller.ask(path, request_id="r2")
    assert answer.status == 200
    assert answer.body == b"done r2" or answer.body.endswith(make_event(faulty.events))
    assert len(faulty.arrivals) == 2 and not entry.good.arrivals


# Guards against a retry of a refused request on the connection of the refusal, where the worker
# may write the same refusal again, with the same id.
async def test_a_refused_request_is_sent_again_on_another_connection(entry, faulty):  # noqa: F811
    connections = []

    async def refuse_twice(worker, arrival, responder):
        connections.append(responder._connection)
        if len(worker.arrivals) <= 2:
            refusal = REFUSAL + b"Request-Id: %s\r\n\r\n" % arrival.request_id.encode()
            responder._connection.write(refusal * len(worker.arrivals))
            responder.finished = True
            return True
        return False

    faulty.script = refuse_twice
    list_worker(entry, faulty, "faulty", "booking")
    for _ in range(2):
        assert (await entry.caller.ask("/book/1", request_id="r1")).status == 503
    assert (await entry.caller.ask("/book/1", request_id="r1")).status == 200
    assert len(set(connections)) == 3
