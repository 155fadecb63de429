"""Failures of real processes: SIGKILL, SIGSTOP, SIGTERM and store outages."""

import asyncio
import signal

import pytest

from egretford.cli.load import run_load
from egretford.cli.workload import read_workload
from tests.processes.deployment import ROOT, Deployment

FREEZE_SECONDS = 13.0


@pytest.fixture
def deployment(tmp_path):
    running = Deployment.start(tmp_path)
    yield running
    running.close()


async def _retry_call(deployment, program, number, entry, send_call):
    """Retry a call while its owner is unreachable or not ready, at most 30 times, 1 s apart."""
    for _ in range(30):
        answer = await send_call(program, number, entry)
        if answer.body.get("error", {}).get("kind") not in ("owner_unreachable", "not_ready"):
            return answer
        await asyncio.sleep(1.0)
    return answer


async def _kill_during_booking(deployment, program, fault):
    """Kill the owner 1 s after it was sent a booking, while its service has a fault."""
    await deployment.set_service_faults(kind=fault, count=1)
    booking = asyncio.create_task(deployment.book(program, 1, entry=0))
    await asyncio.sleep(1.0)
    deployment.kill_entry(0)
    await asyncio.gather(booking, return_exceptions=True)


async def test_owner_killed_after_claim_leaves_the_call_in_doubt(deployment):
    program = await deployment.open(entry=0)
    await _kill_during_booking(deployment, program, "hang")
    answer = await _retry_call(deployment, program, 1, 1, deployment.book)
    assert (answer.body["verdict"], answer.body["error"]["kind"]) == (
        "may_have_run",
        "outcome_unknown",
    )
    assert await deployment.count_effects(program) == {}
    later = await deployment.call(program, 2, "go on", entry=2)
    assert later.status == 200


async def test_owner_killed_after_effect_does_not_repeat_it(deployment):
    program = await deployment.open(entry=0)
    await _kill_during_booking(deployment, program, "slow_reply")
    answer = await _retry_call(deployment, program, 1, 1, deployment.book)
    assert answer.body["verdict"] == "may_have_run"
    assert await deployment.count_effects(program) == {"1": 1}


async def test_frozen_owner_is_taken_over_and_comes_back_as_another(deployment):
    program = await deployment.open(entry=0)
    first = await deployment.call(program, 1, "before the freeze")
    status = f"{deployment.entries[0]}/v1/status"
    before = (await deployment.send("GET", status)).body["incarnation"]
    deployment.signal_entry(0, signal.SIGSTOP)
    answer = await _retry_call(
        deployment, program, 2, 1, _call_with_text(deployment, "during the freeze")
    )
    assert answer.status == 200
    await asyncio.sleep(FREEZE_SECONDS - 8.0)
    deployment.signal_entry(0, signal.SIGCONT)
    await asyncio.sleep(4.0)
    after = (await deployment.send("GET", status)).body["incarnation"]
    stored = await deployment.send("GET", f"{deployment.entries[0]}/v1/programs/{program}/calls/1")
    assert after != before
    assert stored.body["answer"] == first.body["answer"]
    assert (await deployment.call(program, 3, "after the thaw", entry=0)).status == 200


def _call_with_text(deployment, text):
    async def call(program, number, entry):
        return await deployment.call(program, number, text, entry)

    return call


async def test_store_outage_with_a_kill_loses_nothing_silently(deployment):
    program = await deployment.open(entry=0)
    await deployment.call(program, 1, "kept in the store")
    platform = deployment.started["platform"]["url"]
    await deployment.set_fault(platform, kind="down", seconds=6)
    second = await deployment.call(program, 2, "during the outage")
    booking = await deployment.book(program, 3, timeout_seconds=2)
    assert (second.status, second.body["durability"]) == (200, "memory")
    assert (booking.status, booking.body["verdict"]) == (503, "not_run")
    deployment.kill_entry(0)
    digest = second.body["digest"]

    async def resend_with_digest(program, number, entry):
        return await deployment.call(program, number, "three", entry, digest=digest)

    answer = await _retry_call(deployment, program, 2, 1, resend_with_digest)
    assert (answer.status, answer.body["error"]["kind"]) == (409, "digest_mismatch")
    assert answer.body["error"]["last_shared_call"] == 0
    assert await deployment.count_effects(program) == {}


async def test_rolling_replacement_under_load_cuts_nothing_off(deployment):
    workload = read_workload(ROOT / "examples" / "fernhollow" / "workload.json")
    load = asyncio.create_task(
        run_load(
            workload,
            entries=deployment.entries,
            services=deployment.services,
            programs=60,
            concurrency=6,
            seed=7,
            show_progress=False,
        )
    )
    for index in range(len(deployment.entries)):
        await asyncio.sleep(1.0)
        await deployment.replace_entry(index)
    report = await load
    assert report.is_successful, report
    assert (report.whole, report.refused_honestly) == (60, 0), report.faults
    assert not report.cut_off, report
