"""Workers that ran a request and cannot be reached: others run it only if these have ended."""

from __future__ import annotations

import asyncio

import pytest

from egretford.http.client import (
    ConnectError,
    ConnectionRefusedByPeerError,
    TargetUnreachableError,
)
from tests.platform.deployment import run_deployment
from tests.platform.standins import make_event

COMPLETE_BODY = b"".join(make_event(number) for number in range(1, 5))


@pytest.fixture
async def deployment(tmp_path):
    async with run_deployment(tmp_path) as running:
        yield running


async def ask_plan(deployment, monkeypatch, error: ConnectError):
    """Send a stream whose first worker breaks it off; connections to it fail from then on.

    Returns the answer, and the workers that ran the stream.
    """
    workers, broken = deployment.entries[0].workers, []
    connect = workers.connect

    async def fail_or_connect(tracked, max_idle):
        if tracked.worker.id in broken:
            await asyncio.sleep(0.1)
            raise error
        return await connect(tracked, max_idle)

    async def break_off(worker, arrival, responder):
        if broken:
            return False
        broken.append(worker.id)
        await worker.stream(arrival, responder, upto=2)
        return True

    monkeypatch.setattr(workers, "connect", fail_or_connect)
    for worker in deployment.workers:
        worker.script = break_off
    answer = await deployment.callers[0].ask("/plan/1", body=b"x", request_id="p1")
    return answer, {arrival.worker for arrival in deployment.arrivals("p1")}


# Guards against streams that run on more workers than their route allows: a connection that takes
# too long, as on a busy machine, was taken for the end of the worker, which went on.
async def test_a_late_connection_is_no_proof_that_a_worker_has_ended(deployment, monkeypatch):
    answer, ran_on = await ask_plan(deployment, monkeypatch, ConnectError("timeout"))
    assert len(ran_on) == 1 and not answer.is_complete


# Guards against streams that are lost although their worker has ended for certain.
@pytest.mark.parametrize("error", [ConnectionRefusedByPeerError, TargetUnreachableError])
async def test_a_stream_goes_on_elsewhere_once_its_worker_has_ended(deployment, monkeypatch, error):
    answer, ran_on = await ask_plan(deployment, monkeypatch, error("gone"))
    assert len(ran_on) == 2 and answer.is_complete and answer.body == COMPLETE_BODY


# Guards against a refused connection that passes for a late one.
async def test_a_port_without_a_listener_refuses(deployment):
    worker = deployment.worker("b-1")
    await worker.close()
    tracked = deployment.entries[0].workers._workers["b-1"]
    with pytest.raises(ConnectionRefusedByPeerError):
        await deployment.entries[0].workers.connect(tracked, 0.0)
