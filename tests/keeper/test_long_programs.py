"""Chains of long programs: a turn lasts as long as the newest turn after it, at all its keepers."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest
from attrs import Factory, define

from egretford.errors import EgretfordError
from egretford.keeper.records import RETENTION_MARGIN_SECONDS
from tests.faults.virtual import run_virtual
from tests.keeper.simulated_storage import replace_durable_writes
from tests.keeper.simulation import CATCH_UP_SECONDS, Machine, World
from tests.keeper.turn_load import make_request

RETENTION_SECONDS = 15.0
ROUTE = SimpleNamespace(keeps_turns=True, retention=RETENTION_SECONDS)
# What a turn without successors is deleted after.
LIFE_SECONDS = RETENTION_SECONDS + RETENTION_MARGIN_SECONDS
PROGRAMS = 6
TRY_TIMEOUT_SECONDS = 3.0
# A caller tries a turn again after so many seconds.
RETRY_SECONDS = 0.3
SEEDS = (0, 3, 4)
# Machines at the start and tolerated losses.
SIZES = [(3, 1), (3, 1), (4, 1), (5, 1), (7, 2)]
DOMAINS = ["a1", "b1", "a2", "b2"]


@define(eq=False)
class LongProgram:
    """A program whose turns follow each other; `turns` has the ids of those that were kept."""

    world: World
    name: str
    rng: random.Random
    pauses: tuple[float, ...] = (0.3, 0.3, 1.0, 3.0)
    turns: list[str] = Factory(list)
    tries: int = 0

    async def try_turn(self, entry: Machine) -> str | None:
        """Send the next turn once; returns why it was not kept, or None."""
        self.tries += 1
        previous = self.turns[-1] if self.turns else None
        request = make_request(f"{self.name}-{self.tries}", self.name, previous, budget=False)
        try:
            async with asyncio.timeout(TRY_TIMEOUT_SECONDS):
                admission = await entry.process.turns.admit(request, ROUTE, 1)
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
                await admission.keep(b"answer", 1)
        except (EgretfordError, TimeoutError) as error:
            return repr(error)
        self.turns.append(request.id)
        return None

    async def run(self) -> None:
        while True:
            if await self.try_turn(self.rng.choice(self.world.entries)) is not None:
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(self.rng.choice(self.pauses))


@define(eq=False)
class Scenario:
    """Some programs that last as long as the run, and keepers that are restarted in turn."""

    world: World
    rng: random.Random
    programs: list[LongProgram]

    async def restart_keepers(self, seconds: float) -> None:
        end = self.world.now + seconds
        while self.world.now < end:
            machine = self.rng.choice(self.world.keepers)
            self.world.kill(machine, has_power=True)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            await self.world.start(machine)
            await asyncio.sleep(CATCH_UP_SECONDS + self.rng.choice([0.0, 2.0, 10.0]))

    async def lose_disk(self, machine: Machine) -> None:
        self.world.kill(machine, has_power=False)
        self.world.replace_disk(machine)
        await asyncio.sleep(1.0)
        await self.world.start(machine)
        await asyncio.sleep(CATCH_UP_SECONDS)

    def find_thin_turns(self) -> dict[str, list[str]]:
        """Return the turns of the programs that too few keepers hold, with these."""
        copies = {t: self.world.list_copies(t) for p in self.programs for t in p.turns}
        return {t: names for t, names in copies.items() if len(names) <= self.world.tolerated}

    async def try_next_turns(self) -> list[str]:
        """Send the next turn of each program to each entry; returns why any was not kept."""
        tries = [(program, entry) for program in self.programs for entry in self.world.entries]
        return [error for p, entry in tries if (error := await p.try_turn(entry)) is not None]


def run_scenario(seed: int, act) -> Scenario:
    """Run programs from before to after what `act` does to them."""
    rng = random.Random(seed)

    async def run() -> Scenario:
        size, tolerated = rng.choice(SIZES)
        world = World(random.Random(seed), tolerated)
        for number in range(1, size + 1):
            await world.add_keeper(f"k{number}", DOMAINS[number % len(DOMAINS)])
        for number, domain in enumerate(["a1", "b1"]):
            await world.add_entry(f"e{number}", domain)
        await asyncio.sleep(CATCH_UP_SECONDS)
        programs = [LongProgram(world, f"p{n}", random.Random(n)) for n in range(PROGRAMS)]
        scenario = Scenario(world, rng, programs)
        tasks = [asyncio.ensure_future(program.run()) for program in programs]
        try:
            await act(scenario)
        finally:
            for task in tasks:
                task.cancel()
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert scenario.find_thin_turns() == {}
        assert await scenario.try_next_turns() == []
        return scenario

    with replace_durable_writes():
        return run_virtual(run())


# Guards against long programs that lose turns in their middle: each keeper has gaps from when it
# was down, and turns between two gaps expire at all keepers though the program goes on.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_long_program_survives_planned_restarts(seed):
    async def act(scenario):
        await scenario.restart_keepers(2 * LIFE_SECONDS)
        await asyncio.sleep(1.5 * LIFE_SECONDS)

    run_scenario(seed, act)


# Guards against a long program that ends with one lost disk: only one of its keepers had renewed a
# turn, and the other copy had expired.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_long_program_survives_restarts_and_a_lost_disk(seed):
    async def act(scenario):
        await scenario.restart_keepers(LIFE_SECONDS)
        await asyncio.sleep(2 * LIFE_SECONDS)
        await scenario.lose_disk(scenario.rng.choice(scenario.world.keepers))
        assert scenario.find_thin_turns() == {}
        await scenario.lose_disk(scenario.rng.choice(scenario.world.keepers))

    run_scenario(seed, act)


# Guards against a program that cannot go on after a pause that is allowed: what a keeper had
# learnt before the pause must last through it.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_program_goes_on_after_a_pause_of_its_retention(seed):
    async def act(scenario):
        for program in scenario.programs:
            program.pauses = (0.3, 1.0, RETENTION_SECONDS - 1.0)
        await scenario.restart_keepers(3 * LIFE_SECONDS)

    run_scenario(seed, act)
