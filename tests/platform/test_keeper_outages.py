"""Turns whose keepers stop while a worker runs them."""

from __future__ import annotations

import asyncio

import pytest

from egretford.keeper.messages import ReportCrashes
from egretford.keeper.service import KeeperService
from egretford.policy.crashes import Crash
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


# Guards against turns that are refused at an entry that reaches no quorum of keepers, though others
# would serve them: it must leave the rotation, and return without a request that tries it out.
async def test_an_entry_that_reaches_too_few_keepers_is_not_ready(deployment):
    entry = deployment.entries[0]
    names = list(deployment.keepers)[:2]
    for name in names:
        await deployment.stop_keeper(name)
    answer = await ask_turn(deployment.callers[0], b"x", "t1")
    assert answer.status == 503
    assert not entry.is_ready
    for name in names:
        await deployment.start_keeper(name)
    await deployment.wait_until(lambda: entry.is_ready, seconds=4.0)
    await deployment.wait_until(lambda: deployment.count_ready() == 3)
    assert (await ask_turn(deployment.callers[0], b"x", "t2")).status == 200


# Guards against crashes that other entries never learn of, sent while no keeper answered.
async def test_crashes_that_no_keeper_received_are_sent_again(deployment):
    first, second = deployment.entries
    names = list(deployment.keepers)
    for name in names:
        await deployment.stop_keeper(name)
    for worker in ("w1", "w2", "w3"):
        first._crashes.add(Crash("fingerprint", worker))
    await asyncio.sleep(1.5)
    for name in names:
        await deployment.start_keeper(name)
    await deployment.wait_until(lambda: second._crashes.blocks("fingerprint"), seconds=8.0)


def block_everywhere(deployment):
    """Let the first entry see three crashes; returns once both entries block the request."""
    for worker in ("w1", "w2", "w3"):
        deployment.entries[0]._crashes.add(Crash("fingerprint", worker))
    return deployment.wait_until(
        lambda: all(entry._crashes.blocks("fingerprint") for entry in deployment.entries)
    )


# Guards against requests that crash workers again and again: keepers that were restarted in turn
# know nothing of the crashes before, and neither does an entry that starts after that.
async def test_a_new_entry_learns_of_crashes_from_before_all_keepers_were_restarted(deployment):
    await block_everywhere(deployment)
    for name in list(deployment.keepers):
        await deployment.stop_keeper(name)
        await deployment.start_keeper(name)
        await deployment.wait_until(lambda: deployment.count_ready() == 3)
        await asyncio.sleep(1.5)
    started = await deployment.start_entry("entry-3", "south-a")
    await deployment.wait_until(lambda: started._crashes.blocks("fingerprint"), seconds=4.0)


# Guards against requests that stay blocked at other entries once a worker has run one.
async def test_a_success_at_one_entry_ends_the_block_at_all(deployment):
    await block_everywhere(deployment)
    first, second = deployment.entries
    first._crashes.record_success("fingerprint")
    await deployment.wait_until(lambda: not second._crashes.blocks("fingerprint"), seconds=4.0)
    await asyncio.sleep(2.5)
    assert not any(entry._crashes.blocks("fingerprint") for entry in deployment.entries)


# Guards against an upgrade during which crashes are not shared: keepers of the version before
# refuse the newer request.
async def test_crashes_are_shared_through_keepers_of_an_earlier_version(deployment, monkeypatch):
    answer = KeeperService.answer

    async def refuse_newer(service, message):
        if isinstance(message, ReportCrashes):
            raise TypeError("unknown message")
        return await answer(service, message)

    monkeypatch.setattr(KeeperService, "answer", refuse_newer)
    await block_everywhere(deployment)
