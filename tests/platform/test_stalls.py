"""Processes that stand still, and workers that fall silent, for about a second: nothing is lost."""

from __future__ import annotations

import asyncio

import pytest

from egretford.keeper.messages import Reserve
from egretford.keeper.service import KeeperService
from egretford.policy.attempts import IDLE_TIMEOUT_SECONDS
from tests.platform.deployment import run_deployment
from tests.platform.standins import make_event
from tests.servers import stand_still

COMPLETE_BODY = b"".join(make_event(number) for number in range(1, 5))


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


def script_streams(deployment, pause) -> None:
    """Let workers call `pause` after the second event of a stream."""

    async def stream(worker, arrival, responder):
        first = int(arrival.headers.get_text(b"Last-Event-Id") or 0) + 1
        responder.start_stream(200, worker.sign(arrival.request_id))
        for number in range(first, worker.events + 1):
            await responder.write(make_event(number))
            await asyncio.sleep(0.05)
            if number == 2:
                await pause()
        responder.finish_stream()
        return True

    for worker in deployment.workers:
        worker.script = stream


# Guards against streams that run twice: the entry stood still, and took that for silence of the
# worker, whose next event had arrived.
async def test_a_stall_of_the_entry_is_no_silence_of_a_worker(deployment):
    async def stall():
        stand_still(IDLE_TIMEOUT_SECONDS + 0.4)

    script_streams(deployment, stall)
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete and answer.body == COMPLETE_BODY
    assert len(deployment.arrivals("p1")) == 1


# Guards against streams that run twice: a sound worker was silent for a second.
async def test_a_stream_waits_for_a_worker_that_is_silent_for_a_second(deployment):
    script_streams(deployment, lambda: asyncio.sleep(1.1))
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    assert answer.is_complete and answer.body == COMPLETE_BODY
    assert len(deployment.arrivals("p1")) == 1


# Guards against refused turns, and against sound keepers that count as unavailable: the entry stood
# still while they replied.
async def test_a_stall_while_keepers_reply_refuses_no_turn(deployment, monkeypatch):
    answer, stalled = KeeperService.answer, []

    async def stall_once(service, message):
        if isinstance(message, Reserve) and not stalled:
            stalled.append(message)
            stand_still(1.5)
        return await answer(service, message)

    monkeypatch.setattr(KeeperService, "answer", stall_once)
    fields = {"Program_Id": "p", "Token_Budget": "1000", "Token_Usage": "10,50"}
    turn = await deployment.callers[0].ask("/chat/1", body=b"x", request_id="t1", **fields)
    assert stalled and turn.status == 200 and turn.is_complete
