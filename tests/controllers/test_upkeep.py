"""Cleanup of stored objects and engine memory, and local scheduling, in virtual time."""

import asyncio
import random

from attrs import evolve

from egretford.models import CallKind, CallRequest, OpenRequest, Urgency, incarnation_of
from tests.faults.caller import Caller, Ledger
from tests.faults.scenario import BUDGET, build_tables, start_host, write_tables
from tests.faults.virtual import run_virtual
from tests.faults.world import FakeWorker, World

PROGRAMS = 40


async def open_world(hosts):
    world = World(random.Random(1))
    for pool in build_tables().pools:
        for worker in pool.workers:
            world.workers[worker.name] = FakeWorker(worker.name)
    write_tables(world, build_tables())
    for index in range(hosts):
        await start_host(world, index)
    await asyncio.sleep(2.0)
    return world


def count_journal(world):
    return sum(key.startswith("journal/") for key in world.store.objects)


def test_store_stays_bounded_over_a_long_run():
    async def run():
        world = await open_world(2)
        caller = Caller(world, Ledger())
        sizes = []
        for _ in range(PROGRAMS):
            program = await caller.open(BUDGET)
            await program.call(CallKind.MODEL, "turn")
            child = await caller.open(BUDGET, parent=program.id)
            await child.call(CallKind.TOOL, "book")
            await program.end()
            sizes.append(count_journal(world))
            await asyncio.sleep(5.0)
        await asyncio.sleep(90.0)
        openings = sum(key.startswith("openings/") for key in world.store.objects)
        return sizes, count_journal(world), openings

    sizes, remaining, openings = run_virtual(run())
    assert max(sizes[PROGRAMS // 2 :]) <= 2 * max(sizes[: PROGRAMS // 2])
    assert remaining <= 2
    assert openings == 0


def test_nothing_is_left_of_a_process_that_was_replaced():
    async def run():
        world = await open_world(2)
        caller = Caller(world, Ledger())
        program = await caller.open(BUDGET)
        await program.call(CallKind.MODEL, "turn")
        former = incarnation_of(program.id)
        owner = next(h for h in world.hosts.values() if h.instance.node.incarnation == former)
        owner.dead.set()
        await program.call(CallKind.MODEL, "served by the successor")
        await program.end()
        during = [key for key in world.store.objects if former in key]
        await asyncio.sleep(150.0)
        return during, [key for key in world.store.objects if former in key]

    during, after = run_virtual(run())
    assert during
    assert after == []


def test_abandoned_program_ends_and_its_memory_is_freed():
    async def run():
        world = await open_world(2)
        caller = Caller(world, Ledger())
        program = await caller.open(evolve(BUDGET, seconds=10.0))
        await program.call(CallKind.MODEL, "and then nothing")
        held = set().union(*(worker.memory for worker in world.workers.values()))
        await asyncio.sleep(30.0)
        held_later = set().union(*(worker.memory for worker in world.workers.values()))
        return program.id in held, program.id in held_later

    assert run_virtual(run()) == (True, False)


def test_owner_schedules_locally_while_the_home_does_not_answer():
    async def run():
        world = await open_world(2)
        hosts = list(world.hosts.values())
        homes = [h.instance.scheduling.find_home("agents") for h in hosts]
        owner = next(h for h, home in zip(hosts, homes, strict=True) if home is not None)
        program = await owner.instance.gateway.open(_build_opening(), None)
        other = next(h for h in hosts if h is not owner)
        other.frozen_until = world.now() + 60.0
        started = world.now()
        request = CallRequest(1, CallKind.MODEL, [{"role": "user", "content": "hello"}], 8)
        steps = owner.instance.gateway.run_call(program.program, request)
        outcomes = [step.outcome async for step in steps]
        assert outcomes[-1].answer is not None
        return world.now() - started

    assert run_virtual(run()) < 6.0


def _build_opening():
    return OpenRequest("agents", "tenant", Urgency.INTERACTIVE, BUDGET)
