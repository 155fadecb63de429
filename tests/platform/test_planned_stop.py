"""A planned stop of an entry: every request is answered, or refused as not run, in time."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from attrs import evolve

from egretford.entry import daemon
from egretford.http.client import ClientConnection
from egretford.http.messages import encode_head
from egretford.instance import DeploymentBounds
from tests.platform.deployment import run_deployment

GRACE_SECONDS = 3.0


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        entry = running.entries[0]
        bounds = DeploymentBounds(stop_grace=GRACE_SECONDS)
        entry.reload(evolve(entry._settings, bounds=bounds))
        yield running


def make_slow(deployment, seconds: float) -> None:
    async def wait(worker, arrival, responder):
        await asyncio.sleep(seconds)
        return False

    for worker in deployment.workers:
        worker.script = wait


async def stop(deployment) -> None:
    """Stop the first entry as its process does after SIGTERM."""
    entry = deployment.entries[0]
    async with asyncio.timeout(GRACE_SECONDS):
        await entry.drain()
        await entry.close()


async def ask(deployment, path, connection=None, **options):
    caller = deployment.callers[0]
    if connection is None:
        connection = await ClientConnection.open(caller.address, 1.0)
    try:
        return await caller.ask(path, connection=connection, **options)
    finally:
        connection.close()


# Guards against a request that is taken near the end of the grace period and cut off with it.
@pytest.mark.parametrize("path", ["/book/1", "/chat/1", "/ping/1"])
async def test_a_request_that_could_outlast_the_grace_period_is_refused_as_not_run(
    deployment, path
):
    make_slow(deployment, 1.5)
    stopping = asyncio.create_task(stop(deployment))
    await asyncio.sleep(1.2)
    answer = await ask(deployment, path, request_id="late")
    assert answer.status == 503
    assert answer.headers.get(b"Connection") == b"close"
    assert float(answer.headers.get_text(b"Retry-After")) < 0.2
    assert not deployment.arrivals("late")
    await stopping


# Guards against refusals of requests that are sure to end in time.
async def test_a_request_that_ends_within_the_grace_period_is_served(deployment):
    make_slow(deployment, 0.3)
    stopping = asyncio.create_task(stop(deployment))
    await asyncio.sleep(1.4)
    answer = await ask(deployment, "/book/1", request_id="short", deadline_ms=800)
    assert answer.status == 200
    await stopping


# Guards against requests on kept connections, sent one after the other as fast as possible, that
# are cut off without an answer while a stop is under way.
async def test_no_request_on_kept_connections_is_cut_off_under_load(deployment):
    make_slow(deployment, 0.02)
    outcomes: list[int] = []
    address = deployment.callers[0].address

    async def send_requests(number: int) -> None:
        for count in range(1_000):
            try:
                connection = await ClientConnection.open(address, 0.3)
            except Exception:
                return
            for turn in range(5):
                request_id = f"k{number}-{count}-{turn}"
                try:
                    answer = await deployment.callers[0].ask(
                        "/book/1", connection=connection, request_id=request_id
                    )
                except Exception:
                    # A request that crosses the close was not passed on.
                    assert not deployment.arrivals(request_id)
                    break
                assert answer.is_complete
                outcomes.append(answer.status)
                if answer.headers.get(b"Connection") == b"close":
                    break
            connection.close()

    senders = [asyncio.create_task(send_requests(number)) for number in range(8)]
    await asyncio.sleep(0.3)
    await stop(deployment)
    await asyncio.gather(*senders)
    assert set(outcomes) <= {200, 503} and outcomes.count(200) > 50


def make_request(path: str, request_id: str, deadline_ms: int = 500, body: bytes = b"") -> bytes:
    fields = [
        (b"Host", b"farm.example"),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", b"%d" % deadline_ms),
        (b"Content-Length", b"%d" % len(body)),
    ]
    return encode_head(b"POST %s HTTP/1.1" % path.encode(), fields) + body


@asynccontextmanager
async def connect(deployment):
    """Connect to the first entry; yields functions that send bytes and read all that follow."""
    host, _, port = deployment.callers[0].address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield writer.write, lambda: asyncio.wait_for(reader.read(), 2 * GRACE_SECONDS)
    finally:
        writer.close()


# Guards against requests that are read whole behind another one and then closed without an answer.
@pytest.mark.parametrize("path", ["/book/1", "/ping/1", "/chat/1"])
async def test_requests_sent_ahead_are_all_answered(deployment, path):
    make_slow(deployment, 0.2)
    stopping = asyncio.create_task(stop(deployment))
    await asyncio.sleep(0.1)
    ids = ["a1", "a2", "a3"]
    async with connect(deployment) as (send, read):
        send(b"".join(make_request(path, request_id, 1_500) for request_id in ids))
        received = await read()
    assert received.count(b"HTTP/1.1 200 OK") == len(ids)
    assert received.count(b"Connection: close") == 1
    assert [len(deployment.arrivals(request_id)) for request_id in ids] == [1, 1, 1]
    await stopping


# Guards against requests that were taken before the stop and are cut off with no answer at its end.
@pytest.mark.parametrize("path", ["/book/1", "/ping/1", "/plan/1", "/chat/1"])
async def test_a_request_that_outlasts_the_grace_period_gets_an_answer(deployment, path):
    make_slow(deployment, 10)
    asking = asyncio.create_task(ask(deployment, path, request_id="long"))
    await deployment.wait_until(lambda: deployment.arrivals("long"))
    await stop(deployment)
    assert (await asking).status in (502, 504)


# Guards against a request that a closing entry takes and cuts off, as its listener is still open.
async def test_an_entry_that_closes_takes_no_request(deployment):
    await deployment.entries[0].drain()
    with pytest.raises(ConnectionError):
        async with connect(deployment):
            pass


# Guards against a large answer that is cut off while its caller reads it at the end of the grace.
async def test_an_answer_that_is_being_sent_is_not_cut_off(deployment, monkeypatch):
    body = b"x" * 8_000_000

    async def send_large(worker, arrival, responder):
        responder.send_response(200, worker.sign(arrival.request_id), body)
        return True

    for worker in deployment.workers[2:]:
        worker.script = send_large
    monkeypatch.setattr(daemon, "ANSWER_RESERVE_SECONDS", 0.6)
    stopping = asyncio.create_task(stop(deployment))
    await asyncio.sleep(1.3)
    async with connect(deployment) as (send, read):
        send(make_request("/book/1", "large", 800))
        # The answer waits in buffers by now; the caller reads on when only the reserve is left.
        await asyncio.sleep(GRACE_SECONDS - daemon.EXIT_RESERVE_SECONDS + 0.05 - 1.3)
        assert len(await read()) > len(body)
    await stopping


# Guards against requests that are taken with the last time left and then cut off, and against calls
# that ran and are refused: callers go on until the listener is gone.
@pytest.mark.parametrize("path", ["/book/1", "/ping/1", "/tell/1", "/plan/1", "/chat/1"])
async def test_every_request_is_answered_until_the_listener_is_gone(deployment, path):
    make_slow(deployment, 0.2)
    deadlines = [250, 450, 700, 1_000, 3_000]
    statuses = []

    async def send_requests(number: int) -> None:
        for count in range(1_000):
            request_id = f"e{number}-{count}"
            received = b""
            try:
                async with connect(deployment) as (send, read):
                    send(make_request(path, request_id, deadlines[number % len(deadlines)]))
                    received = await read()
            except ConnectionRefusedError:
                return
            except ConnectionError:
                pass
            sent = deployment.arrivals(request_id)
            # A request that crosses the close was not passed on; a stream may run out of time.
            assert received or not sent
            assert not (sent and received[9:12] == b"503")
            statuses.append(received[9:12])
            await asyncio.sleep(0.02)

    senders = [asyncio.create_task(send_requests(number)) for number in range(10)]
    await asyncio.sleep(0.2)
    await stop(deployment)
    await asyncio.gather(*senders)
    assert set(statuses) <= {b"200", b"503", b"504", b"502", b""}
    assert statuses.count(b"200") >= 3


# Guards against a request that is cut off because its body was late: it is refused or answered.
@pytest.mark.parametrize(("rest_after", "status"), [(0.5, b"200"), (2.1, b"503")])
async def test_a_request_whose_body_is_being_read_is_answered(deployment, rest_after, status):
    async with connect(deployment) as (send, read):
        data = make_request("/book/1", "slow", 500, b"x" * 100)
        send(data[:-50])
        stopping = asyncio.create_task(stop(deployment))
        await asyncio.sleep(rest_after)
        send(data[-50:])
        assert (await read())[9:12] == status
    assert len(deployment.arrivals("slow")) == (status == b"200")
    await stopping


# Guards against a turn that looks whole without being kept, as the keepers were slow at the end.
async def test_a_turn_that_is_kept_too_late_is_visibly_broken_off(deployment):
    deployment.entries[0]._turns.keep = lambda turn: asyncio.sleep(10)
    stopping = asyncio.create_task(stop(deployment))
    await asyncio.sleep(1.4)
    async with connect(deployment) as (send, read):
        send(make_request("/chat/1", "t1", 800))
        received = await read()
    assert received.startswith(b"HTTP/1.1 5") or not received.endswith(b"0\r\n\r\n")
    await stopping
