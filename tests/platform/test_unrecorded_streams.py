"""Streams that begin without a record, as no quorum of keepers answers."""

from __future__ import annotations

import asyncio

import pytest

from egretford.errors import PeerUnreachableError
from egretford.policy.streams import RecentRoutes
from tests.platform.deployment import make_configuration, run_deployment
from tests.platform.test_resumptions import add_drafts, break_streams
from tests.platform.test_software_versions import REST, begin_stream, resume, set_version


class FrozenRoutes(RecentRoutes):
    """The routes of an entry that learns of no change."""

    def replace(self, index, now):
        pass


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


# Guards against events of two versions: a stream began without a record beside one version, and
# then one of equal content with a record beside the next version, at the same entry.
async def test_an_unrecorded_stream_is_not_taken_for_a_recorded_one(deployment):
    await deployment.wait_until_streams_are_known()
    break_streams(deployment)
    caller = deployment.callers[0]
    for name in list(deployment.keepers):
        await deployment.stop_keeper(name)
    assert (await begin_stream(deployment, caller, "p1", b"same")).version == "v1"
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    for name in deployment.keeper_settings:
        await deployment.start_keeper(name)
    for number in range(20):
        answer = await caller.ask("/plan/1", body=b"same", request_id=f"b{number}", deadline_ms=400)
        if answer.body.startswith(b"id: 1"):
            break
        await asyncio.sleep(0.05)
    assert answer.body.startswith(b"id: 1")
    answer = await caller.ask("/plan/1", body=b"same", request_id="q1", Last_Event_Id="2")
    assert answer.status == 503 and not deployment.arrivals("q1")


# Guards against events of two upstreams: without a quorum, an entry that has not learnt of a change
# of weights for long takes what it knows for all that there is.
async def test_an_entry_that_is_out_of_touch_resumes_no_stream_without_a_record(
    deployment, monkeypatch
):
    await add_drafts(deployment, 0)
    gateway_2 = deployment.entries[1].gateway
    monkeypatch.setattr(gateway_2, "_routes", FrozenRoutes(gateway_2._routes.current))
    frozen = gateway_2.configuration_version
    break_streams(deployment)
    configuration = make_configuration(9)
    (models,) = [s for s in configuration["services"] if s["name"] == "models"]
    configuration["services"].append(models | {"name": "drafts"})
    (route,) = [r for r in configuration["routes"] if r["name"] == "plan"]
    route["backend"] = "drafts"
    deployment.store.put("config", "main", configuration)
    await deployment.wait_until(lambda: deployment.entries[0].gateway.configuration_version == 9)
    await asyncio.sleep(7.0)
    assert deployment.entries[1].gateway.configuration_version == frozen
    for name in ("keeper-1", "keeper-2"):
        await deployment.stop_keeper(name)
    first, second = deployment.callers
    assert (await begin_stream(deployment, first, "p1")).upstream == "drafts"
    answer = await resume(second, "q1", "p1")
    assert answer.status == 503 and not deployment.arrivals("q1")


# Guards against events of two versions: the stream that began without a record is resumed at
# another entry, which knows only of the one that was recorded since.
async def test_an_unrecorded_stream_is_not_resumed_at_another_entry(deployment):
    await deployment.wait_until_streams_are_known()
    break_streams(deployment)
    first, second = deployment.callers
    for name in list(deployment.keepers):
        await deployment.stop_keeper(name)
    assert (await begin_stream(deployment, first, "p1", b"same")).version == "v1"
    for worker in deployment.workers[:2]:
        await set_version(deployment, worker, "v2")
    for name in deployment.keeper_settings:
        await deployment.start_keeper(name)
    for number in range(20):
        answer = await second.ask("/plan/1", body=b"same", request_id=f"b{number}", deadline_ms=400)
        if answer.body.startswith(b"id: 1"):
            break
        await asyncio.sleep(0.05)
    assert answer.body.startswith(b"id: 1")
    answer = await second.ask("/plan/1", body=b"same", request_id="q1", Last_Event_Id="2")
    assert answer.status == 503 and not deployment.arrivals("q1")


# Guards against the same where keepers are there for other entries, and against a worker that runs
# a stream of which its caller cannot get an event.
async def test_an_entry_that_is_cut_off_from_keepers_begins_no_stream_without_a_record(
    deployment, monkeypatch
):
    await deployment.wait_until_streams_are_known()
    first, second = deployment.callers

    async def ask(address, message, seconds):
        raise PeerUnreachableError(address)

    monkeypatch.setattr(deployment.entries[0]._peers, "ask", ask)
    answer = await first.ask("/plan/1", body=b"x", request_id="p1")
    assert answer.status in (502, 503)
    answer = await first.ask("/plan/1", body=b"x", request_id="p2")
    assert answer.status == 503 and answer.headers.get(b"Retry-After") is not None
    assert not deployment.arrivals("p2")
    answer = await second.ask("/plan/1", body=b"x", request_id="p3")
    assert answer.is_complete and answer.status == 200


# Guards against streams that are not resumed after one keeper was down, as the others were there.
async def test_streams_are_resumed_by_the_record_after_one_keeper_was_down(deployment):
    await set_version(deployment, deployment.worker("m-2"), "v2")
    break_streams(deployment)
    await deployment.stop_keeper("keeper-1")
    await deployment.start_keeper("keeper-1")
    await deployment.wait_until(lambda: deployment.count_ready() == 3)
    first, second = deployment.callers
    for number in range(4):
        began_at = await begin_stream(deployment, first, f"p{number}")
        answer = await resume(second, f"q{number}", f"p{number}")
        assert (answer.status, answer.body) == (200, REST)
        (arrival,) = deployment.arrivals(f"q{number}")
        assert deployment.worker(arrival.worker).version == began_at.version
