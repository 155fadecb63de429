"""Tests each guarantee to callers with its mechanism disabled and enabled.

The checker must report violations if the mechanism is disabled, and none if it is enabled.
"""

import asyncio
import random

import pytest
from attrs import evolve

from egretford.controllers import gateway, instance, janitor
from egretford.controllers.records import RecordWriter
from egretford.errors import Verdict
from egretford.filters.chain import CallJob
from egretford.filters.claims import ClaimFilter
from egretford.models import CallKind, CallRequest, TablesMessage
from egretford.policy.budget import Account
from egretford.policy.configuration import Configuration
from egretford.policy.placement import WorkerState
from egretford.policy.program import Program, Start, WaitForPredecessor
from tests.faults import scenario
from tests.faults.caller import Caller, Ledger
from tests.faults.checks import find_violations
from tests.faults.scenario import BUDGET, build_tables, run_scenario, start_host, write_tables
from tests.faults.virtual import run_virtual
from tests.faults.world import FakeWorker, Trigger, World


def run_without_and_with(monkeypatch, run, target, name, replacement):
    """Run with `target.name` replaced, then unchanged; return both lists of violations."""
    with monkeypatch.context() as patch:
        patch.setattr(target, name, replacement)
        when_disabled = run()
    return when_disabled, run()


def run_with(*triggers, variant="serve", seed=1):
    return find_violations(run_scenario(seed, [evolve(t) for t in triggers], variant))


async def start_world():
    world = World(random.Random(1))
    tables = build_tables()
    for pool in tables.pools:
        for worker in pool.workers:
            world.workers[worker.name] = FakeWorker(worker.name)
    write_tables(world, tables)
    for index in range(2):
        await start_host(world, index)
    await asyncio.sleep(2.0)
    return world


def test_calls_run_in_the_order_they_were_made(monkeypatch):
    async def send_second_call_first():
        world = await start_world()
        caller = Caller(world, Ledger())
        program = await caller.open(BUDGET)
        second = asyncio.ensure_future(_send_second_call(caller, program.id))
        await asyncio.sleep(0.5)
        await asyncio.gather(program.call(CallKind.MODEL, "first"), second, return_exceptions=True)
        texts = [text for _, text in world.dispatches]
        return [] if texts == ["first", "second"] else [f"ran as {texts}"]

    def start_at_once(self, request, now):
        decision = decide(self, request, now)
        return Start() if isinstance(decision, WaitForPredecessor) else decision

    decide = Program.decide_call
    when_disabled, when_enabled = run_without_and_with(
        monkeypatch,
        lambda: run_virtual(send_second_call_first()),
        Program,
        "decide_call",
        start_at_once,
    )
    assert when_disabled
    assert not when_enabled


async def _send_second_call(caller, program):
    request = CallRequest(2, CallKind.MODEL, [{"role": "user", "content": "second"}], 4)

    async def send_to(entry):
        return [progress async for progress in entry.run_call(program, request)]

    return await caller.send(send_to)


def test_history_is_not_lost(monkeypatch):
    async def answer_before_it_is_durable(self, program, records):
        for record in records:
            self._table.apply(record)

    when_disabled, when_enabled = run_without_and_with(
        monkeypatch,
        lambda: run_with(variant="takeover"),
        RecordWriter,
        "settle",
        answer_before_it_is_durable,
    )
    assert any("lost" in violation for violation in when_disabled)
    assert not when_enabled


def test_budget_is_not_overspent(monkeypatch):
    small_budget = evolve(BUDGET, tokens=60)
    monkeypatch.setattr(scenario, "BUDGET", small_budget)
    monkeypatch.setattr("tests.faults.checks.BUDGET", small_budget)
    when_disabled, when_enabled = run_without_and_with(
        monkeypatch, run_with, Account, "find_exhausted", lambda self, tokens, calls: None
    )
    assert any("spent" in violation for violation in when_disabled)
    assert not when_enabled


def test_no_memory_stays_held(monkeypatch):
    async def skip(self, program):
        return None

    when_disabled, when_enabled = run_without_and_with(
        monkeypatch, run_with, janitor.JanitorController, "_release", skip
    )
    assert any("still holds" in violation for violation in when_disabled)
    assert not when_enabled


def test_answers_are_whole_when_owners_change(monkeypatch):
    kill_owner = Trigger("settle.append", "after", "kill")
    losses = [Trigger("forward.step", "after", "silent", nth=n) for n in range(2, 8)]

    def run():
        return [found for loss in losses for found in run_with(loss, kill_owner)]

    when_disabled, when_enabled = run_without_and_with(
        monkeypatch,
        run,
        gateway,
        "_complete_text",
        lambda request, received, progress: progress,
    )
    assert any("streamed text" in violation for violation in when_disabled)
    assert not when_enabled


def test_not_run_means_not_run(monkeypatch):
    lost_reply = Trigger("dispatch.tool", "after", "silent", nth=3)
    when_disabled, when_enabled = run_without_and_with(
        monkeypatch,
        lambda: run_with(lost_reply),
        CallJob,
        "verdict",
        property(lambda self: Verdict.NOT_RUN),
    )
    assert any("told not_run" in violation for violation in when_disabled)
    assert not when_enabled


def test_non_repeatable_calls_run_at_most_once(monkeypatch):
    async def dispatch_unclaimed(self, job, proceed):
        return await proceed(job)

    kills = [Trigger("dispatch.tool", "after", "kill", nth=n) for n in (3, 4, 5)]

    def run():
        return [violation for kill in kills for violation in run_with(kill)]

    when_disabled, when_enabled = run_without_and_with(
        monkeypatch, run, ClaimFilter, "handle", dispatch_unclaimed
    )
    assert any("took effect 2 times" in violation for violation in when_disabled)
    assert not when_enabled


def test_leaving_upstream_gets_no_new_work(monkeypatch):
    monkeypatch.setattr(scenario, "run_program", _run_ten_programs)
    leaving = Trigger("dispatch.model", "after", "worker_leaving")
    when_disabled, when_enabled = run_without_and_with(
        monkeypatch,
        lambda: run_with(leaving),
        WorkerState,
        "is_usable",
        lambda self, now: True,
    )
    assert any("began to leave" in violation for violation in when_disabled)
    assert not when_enabled


async def _run_ten_programs(caller):
    for turn in range(10):
        program = await caller.open(BUDGET)
        await program.call(CallKind.MODEL, f"turn {turn}")
        await program.end()
        await asyncio.sleep(1.0)


def test_graceful_shutdown_cuts_off_nothing(monkeypatch):
    async def leave_at_once(self, is_quiet):
        self.draining = True

    when_disabled, when_enabled = run_without_and_with(
        monkeypatch,
        lambda: run_with(variant="rolling"),
        instance.Instance,
        "drain",
        leave_at_once,
    )
    assert any("graceful shutdown" in violation for violation in when_disabled)
    assert not when_enabled


@pytest.mark.parametrize("mechanism", ["on", "off"])
def test_configuration_never_reverts(monkeypatch, mechanism):
    def apply_any(self, revision, raw):
        self.revision = revision
        return True

    if mechanism == "off":
        monkeypatch.setattr(Configuration, "apply_if_newer", apply_any)
        monkeypatch.setattr(
            "egretford.controllers.configuration.ConfigurationController.offer", _offer_unchecked
        )

    async def relay_an_old_revision():
        world = await start_world()
        host = next(iter(world.hosts.values()))
        old = host.instance.configuration.export()
        write_tables(world, build_tables())
        await world.store.notify()
        await asyncio.sleep(3.0)
        host.instance.configuration.offer(TablesMessage(old.revision, old.raw))
        return host.revisions

    revisions = run_virtual(relay_an_old_revision())
    assert (revisions == sorted(revisions)) is (mechanism == "on")


def _offer_unchecked(self, message):
    self.current.apply_if_newer(message.revision, {})
    for listener in self._listeners:
        listener()
