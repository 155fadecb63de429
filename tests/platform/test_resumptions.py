"""Streams that callers resume with the event id alone, beside changes of weights and versions."""

from __future__ import annotations

import asyncio

import pytest

from egretford.entry import gateway, origins
from tests.platform.deployment import make_configuration, run_deployment
from tests.platform.standins import WorkerStandin
from tests.platform.test_software_versions import (
    REST,
    add_worker,
    begin_stream,
    find_worker,
    resume,
    send_two_events,
    set_version,
)

ATTEMPTS = 12


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


async def add_drafts(deployment, weight: int, version: int = 4) -> None:
    """Add a worker of another upstream, and give it `weight` of 100 requests for plans."""
    if not any(worker.upstream == "drafts" for worker in deployment.workers):
        worker = WorkerStandin("d-1", "drafts", "north-a", engine=True)
        await worker.start()
        deployment.workers.append(worker)
        await set_version(deployment, worker, "v1", upstream="drafts")
    configuration = make_configuration(version)
    (models,) = [s for s in configuration["services"] if s["name"] == "models"]
    configuration["services"].append(models | {"name": "drafts"})
    (route,) = [r for r in configuration["routes"] if r["name"] == "plan"]
    del route["backend"]
    route["traffic_split"] = [
        {"backend": "models", "weight": 100 - weight},
        {"backend": "drafts", "weight": weight},
    ]
    deployment.store.put("config", "main", configuration)
    await deployment.wait_until(
        lambda: all(e.gateway.configuration_version == version for e in deployment.entries)
    )


def break_streams(deployment) -> None:
    for worker in deployment.workers:
        worker.script = send_two_events if worker.engine else None


# Guards against events of two services in one stream: its attempts fall to different upstreams.
async def test_a_stream_is_resumed_at_the_upstream_where_it_began(deployment):
    await add_drafts(deployment, 50)
    break_streams(deployment)
    upstreams = set()
    for number in range(ATTEMPTS):
        first, second = deployment.callers[number % 2], deployment.callers[1 - number % 2]
        began_at = await begin_stream(deployment, first, f"p{number}")
        answer = await resume(second, f"q{number}", f"p{number}")
        assert (answer.status, answer.body) == (200, REST)
        assert find_worker(deployment, f"q{number}").upstream == began_at.upstream
        upstreams.add(began_at.upstream)
    assert upstreams == {"models", "drafts"}


# Guards against the same where the weights change between two attempts, also for a session.
@pytest.mark.parametrize("fields", [{}, {"Session_Id": "s1"}])
async def test_a_stream_is_resumed_where_it_began_though_weights_have_changed(deployment, fields):
    await add_drafts(deployment, 1)
    break_streams(deployment)
    first, second = deployment.callers
    for number in range(4):
        await add_drafts(deployment, 1, version=10 + 2 * number)
        name = f"p{number}"
        answer = await first.ask(
            "/plan/1", body=name.encode(), request_id=name, deadline_ms=300, **fields
        )
        assert not answer.is_complete
        await add_drafts(deployment, 99, version=11 + 2 * number)
        answer = await second.ask(
            "/plan/1", body=name.encode(), request_id=f"q{number}", Last_Event_Id="2", **fields
        )
        assert (answer.status, answer.body) == (200, REST)
        began, *_ = deployment.arrivals(name)
        assert find_worker(deployment, f"q{number}").upstream == (
            deployment.worker(began.worker).upstream
        )


# Guards against a stream that goes on at an upstream that its route no longer names.
async def test_a_stream_is_not_resumed_at_an_upstream_that_lost_its_route(deployment):
    await add_drafts(deployment, 99)
    break_streams(deployment)
    number = 0
    while (await begin_stream(deployment, deployment.callers[0], f"p{number}")).id != "d-1":
        number += 1
    deployment.store.put("config", "main", make_configuration(5))
    await deployment.wait_until(
        lambda: all(e.gateway.configuration_version == 5 for e in deployment.entries)
    )
    answer = await resume(deployment.callers[1], "q", f"p{number}")
    assert answer.status == 503 and not deployment.arrivals("q")


# Guards against a stream that is refused because workers of an earlier version were there once.
async def test_a_stream_is_resumed_after_all_workers_were_replaced(deployment):
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    await asyncio.sleep(6.0)
    break_streams(deployment)
    for number, caller in enumerate(deployment.callers):
        await begin_stream(deployment, caller, f"p{number}")
        answer = await resume(deployment.callers[1 - number], f"q{number}", f"p{number}")
        assert (answer.status, answer.body) == (200, REST)


# Guards against the same where no keeper has a record of the stream.
async def test_a_stream_without_a_record_is_resumed_after_all_workers_were_replaced(deployment):
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    await asyncio.sleep(8.0)
    answer = await resume(deployment.callers[0], "q1", "unknown")
    assert (answer.status, answer.body) == (200, REST)


# Guards against pieces of two versions: no keeper has a record, and one version has just left.
async def test_a_stream_without_a_record_is_not_resumed_right_after_a_release(deployment):
    await asyncio.sleep(4.0)
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    answer = await resume(deployment.callers[0], "q1", "unknown")
    assert answer.status == 503 and not deployment.arrivals("q1")


# Guards against pieces of two versions: two attempts at streams of equal content run at once at
# different versions, and nothing tells which of them the caller resumes.
async def test_one_of_two_equal_streams_at_two_versions_is_not_resumed(deployment):
    first, second = deployment.callers
    break_streams(deployment)
    await set_version(deployment, deployment.worker("m-2"), "v2")
    versions: set[str] = set()
    number = 0
    while len(versions) < 2:
        worker = await begin_stream(deployment, first, f"p{number}", body=b"same")
        versions.add(worker.version)
        number += 1
    for caller in (first, second):
        answer = await caller.ask("/plan/1", body=b"same", request_id="q", Last_Event_Id="2")
        assert answer.status == 503 and not deployment.arrivals("q")


async def test_equal_streams_of_one_version_are_resumed(deployment):
    break_streams(deployment)
    for number in range(3):
        await begin_stream(deployment, deployment.callers[0], f"p{number}", body=b"same")
    await add_worker(deployment, "m-3", "north-b", "v2")
    for number, caller in enumerate(deployment.callers):
        answer = await caller.ask(
            "/plan/1", body=b"same", request_id=f"q{number}", Last_Event_Id="2"
        )
        assert (answer.status, answer.body) == (200, REST)
        assert find_worker(deployment, f"q{number}").version == "v1"


# Guards against a stream that is refused for an attempt with equal content that is long over.
async def test_an_attempt_that_is_over_does_not_keep_a_later_one_from_being_resumed(deployment):
    first, second = deployment.callers
    break_streams(deployment)
    await begin_stream(deployment, first, "p1", body=b"same")
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    await asyncio.sleep(6.0)
    await begin_stream(deployment, first, "p2", body=b"same")
    answer = await second.ask("/plan/1", body=b"same", request_id="q", Last_Event_Id="2")
    assert (answer.status, answer.body) == (200, REST)


# Guards against pieces of two versions: a stream that may be taken for an earlier one of equal
# content begins while it cannot be recorded.
async def test_a_stream_beside_two_versions_does_not_begin_without_a_record(deployment):
    await set_version(deployment, deployment.worker("m-2"), "v2")
    for name in ("keeper-1", "keeper-2"):
        await deployment.stop_keeper(name)
    for number in range(2):
        answer = await deployment.callers[0].ask(
            "/plan/1", body=b"x", request_id=f"p{number}", deadline_ms=2_000
        )
        assert answer.status in (502, 503) and not answer.body.startswith(b"id:")


# Guards against a stream that fails though only one version and one upstream are there.
async def test_a_stream_beside_one_version_begins_without_a_record(deployment):
    # An entry that has just started does not know that there is only one.
    await deployment.wait_until_streams_are_known()
    for name in ("keeper-1", "keeper-2"):
        await deployment.stop_keeper(name)
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete


# Guards against events of two upstreams: an entry of the last build, which splits streams by the
# id of the attempt and records them under it, began the stream.
async def test_a_stream_begun_by_an_entry_of_the_last_build_has_one_upstream(
    deployment, monkeypatch
):
    await add_drafts(deployment, 50)
    await asyncio.sleep(7.5)
    break_streams(deployment)
    began_at = {}
    with monkeypatch.context() as last_build:
        last_build.setattr(gateway, "get_split_key", lambda request, route: request.id)
        last_build.setattr(origins, "get_split_key", lambda request, route: request.id)
        last_build.setattr(origins, "make_stream_key", lambda request: request.id)
        for number in range(8):
            body = f"content {number}".encode()
            worker = await begin_stream(deployment, deployment.callers[0], f"p{number}", body)
            began_at[number] = worker.upstream
    joined = []
    for number, upstream in began_at.items():
        body = f"content {number}".encode()
        answer = await deployment.callers[1].ask(
            "/plan/1", body=body, request_id=f"q{number}", Last_Event_Id="2"
        )
        if answer.status == 200:
            went_on_at = find_worker(deployment, f"q{number}").upstream
            if went_on_at != upstream:
                joined.append((number, upstream, went_on_at))
    assert not joined


# Guards against a stream that goes on at an upstream that the weights in force exclude.
async def test_a_stream_is_not_resumed_at_an_upstream_without_weight(deployment):
    await add_drafts(deployment, 99)
    break_streams(deployment)
    number = 0
    while (await begin_stream(deployment, deployment.callers[0], f"p{number}")).id != "d-1":
        number += 1
    await add_drafts(deployment, 0, version=5)
    answer = await resume(deployment.callers[1], "q", f"p{number}")
    assert answer.status == 503 and not deployment.arrivals("q")


# Guards against events of two versions: a caller is refused for longer than it was expected to ask.
async def test_a_stream_is_not_resumed_at_another_version_once_its_record_is_old(deployment):
    break_streams(deployment)
    assert (await begin_stream(deployment, deployment.callers[0], "p1")).version == "v1"
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    statuses = []
    for number in range(12):
        answer = await resume(deployment.callers[1], f"q{number}", "p1")
        statuses.append(answer.status)
        await asyncio.sleep(0.7)
    assert set(statuses) == {503}


# Guards against a stream that is refused for an attempt of equal content of which its caller never
# got an event.
async def test_an_attempt_without_an_event_keeps_no_later_one_from_being_resumed(deployment):
    async def break_off(worker, arrival, responder):
        responder.abort()
        return True

    first, second = deployment.callers
    for worker in deployment.workers[:2]:
        worker.script = break_off
    answer = await first.ask("/plan/1", body=b"same", request_id="p1")
    assert answer.status == 502 and deployment.arrivals("p1")
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    break_streams(deployment)
    await begin_stream(deployment, first, "p2", body=b"same")
    answer = await second.ask("/plan/1", body=b"same", request_id="q", Last_Event_Id="2")
    assert (answer.status, answer.body) == (200, REST)


# Guards against pieces of two upstreams: no keeper has a record, and the weights have just changed.
async def test_a_stream_without_a_record_is_not_resumed_right_after_weights_changed(deployment):
    await add_drafts(deployment, 100)
    await asyncio.sleep(4.5)
    await add_drafts(deployment, 0, version=5)
    answer = await resume(deployment.callers[0], "q1", "unknown")
    assert answer.status == 503 and not deployment.arrivals("q1")
