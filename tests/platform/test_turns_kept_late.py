"""Turns whose keepers go away while their worker runs them."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.deployment import run_deployment
from tests.platform.test_serving import ask_turn


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


async def ask_while_keepers_go(deployment, deadline_ms=3000):
    """Begin a turn; two of three keepers stop before its worker answers."""
    gone = asyncio.Event()

    async def stop_keepers(worker, arrival, responder):
        if not gone.is_set():
            await deployment.stop_keeper("keeper-1")
            await deployment.stop_keeper("keeper-2")
            gone.set()
        return False

    for worker in deployment.workers[:2]:
        worker.script = stop_keepers
    asking = asyncio.create_task(
        ask_turn(deployment.callers[0], b"hello ", "t1", deadline_ms=deadline_ms)
    )
    await gone.wait()
    return asking


# Guards against answers closed in their middle while keepers are away for a moment (LOST).
async def test_a_turn_is_answered_whole_once_a_keeper_is_back(deployment):
    asking = await ask_while_keepers_go(deployment)
    await asyncio.sleep(0.8)
    assert not asking.done()
    await deployment.start_keeper("keeper-1")
    assert (await asking).whole
    answer = await ask_turn(deployment.callers[1], b"x", "t2", Previous_Turn="t1")
    assert answer.status == 200


# Guards against turns called kept by fewer keepers than must hold them (LOST).
async def test_a_turn_that_cannot_be_kept_never_looks_complete(deployment):
    asking = await ask_while_keepers_go(deployment, deadline_ms=1500)
    assert not (await asking).whole


# Guards against workers believed to be busy, and slow, while only keepers are (late programs).
async def test_a_turn_that_waits_for_keepers_does_not_count_at_its_worker(deployment):
    asking = await ask_while_keepers_go(deployment)
    entry = deployment.entries[0]
    await asyncio.sleep(0.5)
    usable = entry.workers.list_usable("models")
    assert not asking.done()
    assert [tracked.state.granted for tracked in usable] == [0, 0]
    assert all(tracked.state.service_seconds < 0.4 for tracked in usable)
    await deployment.start_keeper("keeper-1")
    await asking
    assert all(tracked.state.service_seconds < 0.4 for tracked in usable)
