"""Keepers that leave while the keeper that must take over their turns is down."""

from __future__ import annotations

import pytest
from attrs import evolve

from egretford.policy.turn_replicas import must_store_turn
from egretford.policy.views import MemberState
from tests.platform.deployment import run_deployment
from tests.platform.test_serving import ask_turn


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


# Guards against an evacuation that completes while a turn has only one copy left.
async def test_an_evacuated_keeper_leaves_as_many_copies_as_before(deployment):
    await deployment.start_keeper("keeper-4", "south-a")
    await deployment.wait_until(lambda: deployment.view_size() == 4)
    caller, store = deployment.callers[0], deployment.store
    assert (await ask_turn(caller, b"hello ", "t1")).is_complete
    leaving, other = [n for n, k in deployment.keepers.items() if k._records.has_turn("t1")]
    view = deployment.keepers[other]._service.view
    view = evolve(
        view,
        members=tuple(
            evolve(m, state=MemberState.LEAVING) if m.name == leaving else m for m in view.members
        ),
    )
    (successor,) = [
        n
        for n in deployment.keepers
        if n not in (leaving, other) and must_store_turn(view, n, "t1", (leaving, other), 1)
    ]
    await deployment.stop_keeper(successor)
    store.put("retirements", leaving, {"duration_s": 8})
    await deployment.wait_until(
        lambda: (store.objects["retirements", leaving]["status"] or {}).get("phase") == "completed",
        seconds=8.0,
    )
    remaining = [k for n, k in deployment.keepers.items() if n != leaving]
    holders = [k._settings.name for k in remaining if k._records.has_turn("t1")]
    assert len(holders) == 2, holders
