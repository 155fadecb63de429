"""Streams continue only at workers of the software version that began them."""

from __future__ import annotations

import asyncio

import pytest

from egretford.http.client import BodyPart, ClientConnection
from egretford.http.messages import Headers, encode_head
from tests.platform.deployment import run_deployment
from tests.platform.standins import WorkerStandin, make_event


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        await set_version(running, running.worker("m-2"), "v2")
        yield running


async def set_version(deployment, worker, version, born=2000, upstream="models"):
    """Let a worker be a new process of another version, and wait until all entries know it."""
    worker.version, worker.born = version, born
    await list_worker(deployment, worker, upstream)


async def list_worker(deployment, worker, upstream="models"):
    deployment.store.put("servers", worker.id, worker.describe())
    await deployment.wait_until(
        lambda: all(
            any(
                t.worker.id == worker.id and t.worker.software_version == worker.version
                for t in entry.workers.list_usable(upstream)
            )
            for entry in deployment.entries
        )
    )


async def add_worker(deployment, worker_id, zone, version):
    worker = WorkerStandin(worker_id, "models", zone, engine=True)
    await worker.start()
    deployment.workers.append(worker)
    await set_version(deployment, worker, version)
    return worker


async def send_two_events(worker, arrival, responder):
    """Send two events of a new stream and no more until the caller is gone."""
    if arrival.headers.get(b"Last-Event-Id") is not None:
        return False
    responder.start_stream(200, worker.sign(arrival.request_id))
    await responder.write(make_event(1) + make_event(2))
    await asyncio.sleep(1.0)
    return True


async def begin_stream(deployment, caller, request_id, body=None):
    """Read two events of a new stream, break off, and return the worker that sent them.

    By default, the body is the request's id, so that streams differ.
    """
    body = request_id.encode() if body is None else body
    connection = await ClientConnection.open(caller.address, 1.0)
    fields = [
        (b"Host", b"farm.example"),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", b"3000"),
        (b"Content-Length", b"%d" % len(body)),
    ]
    connection.send(encode_head(b"POST /plan/1 HTTP/1.1", fields) + body)
    received = b""
    async with asyncio.timeout(3):
        while received.count(b"\n\n") < 2:
            part = await connection.read()
            if isinstance(part, BodyPart):
                received += part.data
    connection.close()
    # Other workers may have refused it before.
    return deployment.worker(deployment.arrivals(request_id)[-1].worker)


async def resume(caller, request_id, resumed="p1"):
    """Resume the stream of which the first attempt had the id `resumed`."""
    return await caller.ask(
        "/plan/1", body=resumed.encode(), request_id=request_id, Last_Event_Id="2"
    )


REST = make_event(3) + make_event(4)


# Guards against a stream that a caller resumes at another entry, which continues it at a worker
# of another software version.
async def test_a_stream_resumed_at_another_entry_stays_at_its_version(deployment):
    for worker in deployment.workers[:2]:
        worker.script = send_two_events
    for number in range(8):
        began_at = await begin_stream(deployment, deployment.callers[number % 2], f"p{number}")
        other = deployment.callers[1 - number % 2]
        answer = await resume(other, f"q{number}", resumed=f"p{number}")
        assert (answer.status, answer.body) == (200, REST)
        (arrival,) = deployment.arrivals(f"q{number}")
        assert deployment.worker(arrival.worker).version == began_at.version


# Guards against a response that its entry continues at a worker of another software version.
async def test_a_response_whose_worker_crashes_continues_at_its_version(deployment):
    async def crash(worker, arrival, responder):
        await worker.stream(arrival, responder, upto=3)
        await worker.close()
        return True

    versions = {"m-1": "v1", "m-2": "v2", "m-3": "v1", "m-4": "v2"}
    await add_worker(deployment, "m-3", "north-b", "v1")
    await add_worker(deployment, "m-4", "north-b", "v2")
    for name in ("m-1", "m-2"):
        deployment.worker(name).script = crash
    for number in range(8):
        answer = await deployment.callers[number % 2].ask(
            "/plan/1", body=b"x", request_id=f"p{number}"
        )
        assert answer.is_complete and answer.body == make_event(1) + make_event(2) + REST
        arrivals = deployment.arrivals(f"p{number}")
        assert len({versions[arrival.worker] for arrival in arrivals}) == 1


def find_worker(deployment, request_id):
    (arrival,) = deployment.arrivals(request_id)
    return deployment.worker(arrival.worker)


async def begin_at_version(deployment, caller, version):
    """Begin streams until one is at a worker of the version; return its id and its worker."""
    for worker in deployment.workers:
        if worker.engine:
            worker.script = send_two_events
    for number in range(20):
        worker = await begin_stream(deployment, caller, f"first{number}")
        if worker.version == version:
            return f"first{number}", worker
    raise AssertionError(f"no stream began at {version}")


# Guards against a stream that cannot be resumed, or only at another version, once the entry that
# served it is gone.
async def test_a_stream_is_resumed_at_its_version_after_its_entry_is_gone(deployment):
    await add_worker(deployment, "m-3", "north-b", "v2")
    began, worker = await begin_at_version(deployment, deployment.callers[0], "v2")
    await deployment.entries.pop(0).close()
    for number in range(4):
        answer = await resume(deployment.callers[1], f"q{number}", began)
        assert (answer.status, answer.body) == (200, REST)
        assert find_worker(deployment, f"q{number}").version == worker.version


# Guards against a stream that is resumed while a keeper that recorded its version is gone.
async def test_a_stream_is_resumed_at_its_version_with_one_keeper_down(deployment):
    began, worker = await begin_at_version(deployment, deployment.callers[0], "v2")
    await deployment.stop_keeper("keeper-1")
    answer = await resume(deployment.callers[1], "q1", began)
    assert (answer.status, answer.body) == (200, REST)
    assert find_worker(deployment, "q1").version == worker.version


# Guards against a stream that is resumed at another version, or held, because no worker of its
# version is left.
async def test_a_stream_is_refused_at_once_if_no_worker_of_its_version_is_left(deployment):
    began, worker = await begin_at_version(deployment, deployment.callers[0], "v2")
    deployment.store.remove("servers", worker.id)
    await deployment.wait_until(
        lambda: all(len(e.workers.list_usable("models")) == 1 for e in deployment.entries)
    )
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await resume(deployment.callers[1], "q1", began)
    assert answer.status == 503 and answer.headers.get(b"Retry-After") is not None
    assert not deployment.arrivals("q1") and loop.time() - started < 0.3


# Guards against a stream that goes on at the id of its worker, which has started again with
# another version.
async def test_a_stream_is_not_resumed_at_its_worker_restarted_with_another_version(deployment):
    began, worker = await begin_at_version(deployment, deployment.callers[0], "v2")
    await set_version(deployment, worker, "v1", born=3000)
    answer = await resume(deployment.callers[1], "q1", began)
    assert answer.status == 503 and not deployment.arrivals("q1")


# Guards against a stream that goes on at a worker of which the list still says what it was before
# it started again.
async def test_a_stream_is_not_resumed_where_the_worker_list_is_outdated(deployment):
    began, worker = await begin_at_version(deployment, deployment.callers[0], "v2")
    worker.version, worker.born = "v1", 3000
    answer = await resume(deployment.callers[1], "q1", began)
    assert answer.status == 503 and not deployment.arrivals("q1")
    await add_worker(deployment, "m-3", "north-b", "v2")
    answer = await resume(deployment.callers[1], "q2", began)
    assert (answer.status, answer.body) == (200, REST)
    assert find_worker(deployment, "q2").id == "m-3"


# Guards against a stream that begins after a crash at a process whose version is not the recorded
# one.
async def test_a_stream_does_not_begin_at_a_failed_worker_before_its_process_is_known(deployment):
    entry = deployment.entries[0]
    worker = deployment.worker("m-2")
    (tracked,) = [t for t in entry.workers.list_usable("models") if t.worker.id == "m-2"]
    tracked.failures = 1
    worker.version, worker.born = "v1", 3000
    for number in range(4):
        answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id=f"p{number}")
        assert answer.is_complete and find_worker(deployment, f"p{number}").id == "m-1"


# Guards against a stream joined from two versions: it begins at a worker that was restarted with
# another version before the list says so, and that never failed at this entry.
async def test_a_stream_does_not_begin_on_a_new_connection_to_an_unknown_process(deployment):
    entry = deployment.entries[0]
    worker = deployment.worker("m-2")
    (tracked,) = [t for t in entry.workers.list_usable("models") if t.worker.id == "m-2"]
    worker.version, worker.born = "v1", 3000
    tracked.close_idle()
    for number in range(4):
        tracked.failures, tracked.state.cooldown_until = 0, 0.0
        answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id=f"p{number}")
        assert answer.is_complete and find_worker(deployment, f"p{number}").id == "m-1"


async def set_silent_restart(deployment):
    """Let m-2 be a process of v1 that the list calls v2 and that does not say so."""
    worker = deployment.worker("m-2")
    worker.version, worker.born, worker.report_delay = "v1", 3000, 1.0
    deployment.store.remove("servers", "m-1")
    await deployment.wait_until(
        lambda: all(len(e.workers.list_usable("models")) == 1 for e in deployment.entries)
    )
    return worker


# Guards against a stream joined from two versions: its first worker did not say which process it
# is, and was not the one in the list. The caller resumes it.
async def test_a_stream_that_began_at_an_unknown_process_is_not_resumed(deployment):
    worker = await set_silent_restart(deployment)
    worker.script = send_two_events
    await begin_stream(deployment, deployment.callers[0], "p1")
    await add_worker(deployment, "m-3", "north-b", "v2")
    for number, caller in enumerate(deployment.callers):
        answer = await resume(caller, f"q{number}", "p1")
        assert answer.status == 503 and not deployment.arrivals(f"q{number}")


# Guards against the same where the entry goes on, and against a response that is held until its
# deadline because no worker may continue it.
async def test_a_stream_that_began_at_an_unknown_process_is_broken_off_with_it(deployment):
    worker = await set_silent_restart(deployment)

    async def break_off(worker, arrival, responder):
        await add_worker(deployment, "m-3", "north-b", "v2")
        await worker.stream(arrival, responder, upto=3)
        return True

    worker.script = break_off
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert (answer.body, answer.is_complete) == (make_event(1) + make_event(2), False)
    assert loop.time() - started < 1.5
    assert {arrival.worker for arrival in deployment.arrivals("p1")} == {"m-2"}


# Guards against a stream that goes on at any version because its first attempt is not known.
@pytest.mark.parametrize("fields", [{"Resumes": "unknown"}, {}])
async def test_a_resumption_of_an_unknown_stream_is_refused_beside_two_versions(deployment, fields):
    answer = await deployment.callers[0].ask(
        "/plan/1", body=b"x", request_id="q1", Last_Event_Id="2", **fields
    )
    assert answer.status == 503 and answer.headers.get(b"Retry-After") is not None
    assert not deployment.arrivals("q1")


async def wait_until_streams_are_younger(deployment):
    """Wait until the entries know the worker list for longer than any stream lasts."""
    await deployment.wait_until(
        lambda: all(entry.workers.measure_known_seconds() > 4.0 for entry in deployment.entries)
    )


# Guards against pieces of two versions in a stream: the entry that resumes it started after the
# last worker of the version that began it was replaced, and takes the one that it knows.
async def test_an_entry_that_has_just_started_does_not_guess_where_a_stream_began(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        for worker in deployment.workers[:2]:
            await set_version(deployment, worker, "v2")
        await deployment.start_entry("entry-3", "south-a")
        await deployment.wait_until(lambda: deployment.entries[-1].is_ready)
        answer = await resume(deployment.callers[-1], "q1", "unknown")
        assert answer.status == 503 and answer.headers.get(b"Retry-After") is not None
        assert not deployment.arrivals("q1")


# Guards against a stream that is refused although it can only have begun at the one version.
async def test_a_resumption_of_an_unknown_stream_goes_on_at_the_only_version(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        await wait_until_streams_are_younger(deployment)
        answer = await resume(deployment.callers[0], "q1", "unknown")
        assert (answer.status, answer.body) == (200, REST)


# Guards against attempts at one stream that go on at several versions when they run together.
async def test_attempts_to_resume_a_stream_together_go_on_at_its_version(deployment):
    await add_worker(deployment, "m-3", "north-b", "v2")
    began, _ = await begin_at_version(deployment, deployment.callers[0], "v2")
    names = [f"q{number}" for number in range(6)]
    answers = await asyncio.gather(
        *(resume(deployment.callers[n % 2], name, began) for n, name in enumerate(names))
    )
    assert all((answer.status, answer.body) == (200, REST) for answer in answers)
    assert {find_worker(deployment, name).version for name in names} == {"v2"}


# Guards against a record that names the worker that refused the stream, not the one that began it.
async def test_a_stream_that_a_worker_refused_is_resumed_where_it_began(deployment):
    async def refuse(worker, arrival, responder):
        responder.send_response(503, Headers([(b"Not-Executed", b"1")]), b"")
        return True

    v1, v2 = deployment.worker("m-1"), deployment.worker("m-2")
    v1.script, v2.script = refuse, send_two_events
    began = ""
    while len(deployment.arrivals(began)) != 2:
        began += "p"
        await begin_stream(deployment, deployment.callers[0], began)
    v1.script = None
    answer = await resume(deployment.callers[1], "q1", began)
    assert (answer.status, answer.body) == (200, REST)
    assert find_worker(deployment, "q1") is v2


# Guards against a response that runs at more workers than its route allows because the one that
# runs it does not report its state.
async def test_a_worker_that_does_not_report_its_state_still_counts_as_running(deployment):
    async def break_off(worker, arrival, responder):
        await worker.stream(arrival, responder, upto=3)
        return True

    await add_worker(deployment, "m-3", "north-b", "v1")
    for worker in deployment.workers:
        worker.script = break_off
        worker.report_delay = 1.0
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert not answer.is_complete
    assert len({arrival.worker for arrival in deployment.arrivals("p1")}) == 1


# Guards against attempts at an unknown stream that go on at the version that each entry knows.
async def test_an_assumed_version_is_recorded_for_later_attempts(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        first, second = deployment.worker("m-1"), deployment.worker("m-2")
        await wait_until_streams_are_younger(deployment)
        assert (await resume(deployment.callers[0], "q1", "unknown")).status == 200
        await set_version(deployment, second, "v2")
        for number in range(4):
            answer = await resume(deployment.callers[1], f"q2{number}", "unknown")
            assert answer.status == 200 and find_worker(deployment, f"q2{number}") is first
