"""Turns whose keepers stop while a worker runs them."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform.deployment import run_deployment
from tests.platform.test_serving import ask_turn


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


async def ask_while_keepers_stop(deployment, deadline_ms=3000):
    """Start a turn, and stop two of the three keepers before its worker responds.

    Returns the task that waits for the response, once both keepers have stopped.
    """
    stopped = asyncio.Event()

    async def stop_keepers(worker, arrival, responder):
        if not stopped.is_set():
            await deployment.stop_keeper("keeper-1")
            await deployment.stop_keeper("keeper-2")
            stopped.set()
        return False

    for worker in deployment.workers[:2]:
        worker.script = stop_keepers
    response_task = asyncio.create_task(
        ask_turn(deployment.callers[0], b"hello ", "t1", deadline_ms=deadline_ms)
    )
    await stopped.wait()
    return response_task


# Guards against a response that is cut off because keepers are unavailable for a short time.
async def test_a_turn_is_answered_whole_once_a_keeper_is_back(deployment):
    response_task = await ask_while_keepers_stop(deployment)
    await asyncio.sleep(0.8)
    assert not response_task.done()
    await deployment.start_keeper("keeper-1")
    assert (await response_task).is_complete
    answer = await ask_turn(deployment.callers[1], b"x", "t2", Previous_Turn="t1")
    assert answer.status == 200


# Guards against a turn that is acknowledged though too few keepers have stored it.
async def test_a_turn_that_cannot_be_kept_never_looks_complete(deployment):
    response_task = await ask_while_keepers_stop(deployment, deadline_ms=1500)
    assert not (await response_task).is_complete


# Guards against charging the wait for keepers to the worker: it then seems busy and slow, is
# avoided, and programs finish late.
async def test_a_turn_that_waits_for_keepers_does_not_count_at_its_worker(deployment):
    response_task = await ask_while_keepers_stop(deployment)
    entry = deployment.entries[0]
    await asyncio.sleep(0.5)
    usable = entry.workers.list_usable("models")
    assert not response_task.done()
    assert [tracked.state.granted for tracked in usable] == [0, 0]
    assert all(tracked.state.service_seconds < 0.4 for tracked in usable)
    await deployment.start_keeper("keeper-1")
    await response_task
    assert all(tracked.state.service_seconds < 0.4 for tracked in usable)
