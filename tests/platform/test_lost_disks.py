"""Keepers whose disk was lost and that restart with an empty one."""

from __future__ import annotations

import asyncio
import shutil
from functools import partial

import pytest

from tests.platform.deployment import make_settings, run_deployment
from tests.platform.test_serving import ask_turn


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


# Guards against a 404 for a turn that still exists on a keeper that is down: the other holder
# loses its disk meanwhile, and a new keeper drops the one that is down from the view.
async def test_one_disk_lost_while_a_keeper_is_down_makes_no_turn_unknown(deployment):
    caller = deployment.callers[0]
    assert (await ask_turn(caller, b"hello ", "t1")).is_complete
    holders = [n for n, k in deployment.keepers.items() if k._records.has_turn("t1")]
    assert len(holders) == 2
    down, emptied = holders
    await deployment.stop_keeper(down)
    await deployment.stop_keeper(emptied)
    shutil.rmtree(deployment.folder / emptied)
    await deployment.start_keeper(emptied)
    await deployment.start_keeper("keeper-4", "south-a")
    statuses = []
    for number in range(60):
        answer = await ask_turn(caller, b"x", f"n{number}", Previous_Turn="t1", Program_Id="p2")
        statuses.append(answer.status)
        if answer.status == 404:
            break
        await asyncio.sleep(0.2)
    view = deployment.store.objects["keeper-views", "current"]["spec"]
    assert 404 not in statuses, f"after {len(statuses)} tries, {view}"
    # Turns are available again once that keeper is back.
    await deployment.start_keeper(down)
    await deployment.wait_until(lambda: deployment.count_ready() == 4, seconds=5.0)
    answer = await ask_turn(caller, b"x", "m1", Previous_Turn="t1", Program_Id="p2")
    assert answer.status == 200


# Guards against refused turns: as many disks are lost at once as are tolerated, and keepers must
# not wait for copies from a disk that cannot come back, nor for each other's.
async def test_lost_disks_are_not_waited_for(tmp_path, monkeypatch):
    monkeypatch.setattr("egretford.keeper.membership.SOURCE_TIMEOUT_SECONDS", 60.0)
    monkeypatch.setattr(
        "tests.platform.deployment.make_settings", partial(make_settings, tolerated_losses=2)
    )
    async with run_deployment(tmp_path) as deployment:
        await deployment.start_keeper("keeper-4", "north-a")
        await deployment.start_keeper("keeper-5", "south-a")
        await deployment.wait_until(lambda: deployment.view_size() == deployment.count_ready() == 5)
        assert (await ask_turn(deployment.callers[0], b"hello ", "t1")).is_complete
        for name in ("keeper-1", "keeper-2"):
            await deployment.stop_keeper(name)
            shutil.rmtree(deployment.folder / name)
        for name in ("keeper-1", "keeper-2"):
            await deployment.start_keeper(name)
        await deployment.start_keeper("keeper-6", "north-b")
        await deployment.wait_until(lambda: deployment.view_size() == deployment.count_ready() == 6)
        answer = await ask_turn(deployment.callers[1], b"x", "t2", Previous_Turn="t1")
        assert answer.status == 200
        answer = await ask_turn(deployment.callers[1], b"x", "t3", Previous_Turn="none")
        assert answer.status == 404
