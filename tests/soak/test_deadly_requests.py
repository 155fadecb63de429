"""Real workers that a request ends, behind real entries and keepers."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random

import pytest

from tests.platform.sites import HOST, SITES
from tests.platform.standins import Caller
from tests.platform.test_crashing_requests import open_from
from tests.soak.black_box import PROGRAMS, Run, is_ready
from tests.soak.processes import ROOT

DEADLY = "deadly"
# Time after a crash within which all entries know of it, in seconds.
KNOWN_SECONDS = 5.0
# Tries of the request that may reach a worker from then on.
LATE_TRIES = 3


class DeadlyRun(Run):
    """Three entries, three keepers and six workers, which are started again once they ended."""

    def _add_worker(self, service: str, zone: str, version: int) -> None:
        super()._add_worker(service, zone, version)
        worker = self.programs["worker"][-1]
        worker.process.kill()
        worker.process.wait()
        worker.words += ["--deadly", DEADLY]
        worker.start()

    async def start(self) -> list[str]:
        zones, (engines, plain), *_ = SITES[self.options.site]
        places = list(zones)
        await self.store.start()
        self._begin(self.store.expire())
        self._configure(0)
        for number, service in enumerate([engines] * 3 + [plain] * 3):
            self._add_worker(service, places[number % 3], 1)
        for number in range(3):
            self._add_node("keeper", number, places[number])
        fronts = [self._add_node("entry", number, places[number]) for number in range(3)]
        async with asyncio.timeout(30):
            while len(self.store.heard) < self.added:
                await asyncio.sleep(0.1)
            for address in self.ready:
                while not await asyncio.to_thread(is_ready, address):
                    await asyncio.sleep(0.1)
        self._begin(self._restart_workers())
        return fronts

    async def _restart_workers(self) -> None:
        while True:
            for worker in self.programs["worker"]:
                if worker.process.poll() is not None:
                    worker.start()
            await asyncio.sleep(0.2)

    def count_runs(self) -> int:
        """Return how often a worker has begun to run the deadly request."""
        return sum(worker.starts - 2 for worker in self.programs["worker"])


@contextlib.asynccontextmanager
async def run_site(site: str, folder):
    options = argparse.Namespace(
        **{"site": site, "seed": 1, "troubles": "forms=0", "build": ROOT},
        **{"programs_folder": PROGRAMS, "entries": 3, "load": 0},
    )
    run = DeadlyRun(options, folder, random.Random(site))
    try:
        yield run, await run.start()
    finally:
        await run._close()


async def ask(front: str, path: str, number: int) -> int:
    """Send the request as of another program, from one of three addresses; returns the status."""
    with contextlib.suppress(Exception):
        connection = await open_from(front, f"127.0.0.{2 + number % 3}")
        answer = await Caller(front).ask(
            path,
            connection=connection,
            body=b"a prompt",
            host=HOST,
            request_id=f"{number:016x}",
            deadline_ms=1500,
            Program_Id=f"p{number}",
            Session_Id=f"p{number}",
            Token_Usage="100,4",
            Prompt_Prefix=f"{number:x}:100",
            Model="m",
        )
        connection.close()
        return answer.status
    return 0


# Guards against a request that ends one worker process after the other, however often, over
# whichever entry and in whichever program it comes again.
@pytest.mark.parametrize("kind", [0, 1, 2, 3], ids=["kept", "resumable", "safe", "unsafe"])
async def test_a_request_that_ends_real_workers_is_stopped(tmp_path, kind):
    site = "fernhollow"
    path = f"/{SITES[site][2][kind]}"
    async with run_site(site, tmp_path) as (run, fronts):
        number = 0
        async with asyncio.timeout(40):
            while run.count_runs() < 3:
                number += 1
                await ask(fronts[number % 3], f"{path}/{DEADLY}", number)
        await asyncio.sleep(KNOWN_SECONDS)
        runs = run.count_runs()
        for _ in range(12):
            number += 1
            await ask(fronts[number % 3], f"{path}/{DEADLY}", number)
            await asyncio.sleep(0.3)
        assert run.count_runs() - runs <= LATE_TRIES
        for front in fronts:
            number += 1
            assert await ask(front, f"{path}/sound", number) == 200
