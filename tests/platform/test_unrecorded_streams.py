"""Streams that begin without a record, as no quorum of keepers answers."""

from __future__ import annotations

import asyncio

import pytest

from egretford.policy.streams import RecentRoutes
from tests.platform.deployment import make_configuration, run_deployment
from tests.platform.test_resumptions import add_drafts, break_streams
from tests.platform.test_software_versions import begin_stream, resume, set_version


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
    await asyncio.sleep(4.5)
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
