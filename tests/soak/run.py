"""Runs the soak test, with load and faults drawn from a seed.

python -m tests.soak.run --seed 7 --seconds 20 [--large | --grown] [--keep FOLDER]
python -m tests.soak.run --seeds 50 --seconds 20     # random seeds, one output line each
"""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from enum import StrEnum
from pathlib import Path

from attrs import Factory, define

from egretford.http.bodies import read_response
from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError
from egretford.http.messages import encode_head
from tests.soak.checks import (
    check_all,
    check_continued_turns,
    count_required_answers,
    has_worker_failed,
)
from tests.soak.faults import Faults
from tests.soak.load import RETENTION_SECONDS, Load
from tests.soak.processes import Cluster

READY_TIMEOUT_SECONDS = 20.0
# Seconds that a deployment may take from the end of a fault until all requests are served again.
RECOVERY_SECONDS = 12.0
# Workers break off about one answer in thirty. After the deadline, a turn is retried only if its
# worker failed, up to this many times.
MAX_WORKER_FAILURES = 3


@define
class Report:
    """Counts and problems of one run."""

    seed: int
    problems: list[str] = Factory(list)
    attempts: int = 0
    served: int = 0
    required_answers: int = 0
    continued: int = 0
    injected: Counter = Factory(Counter)

    def __str__(self) -> str:
        verdict = "ok" if not self.problems else f"{len(self.problems)} PROBLEMS"
        return (
            f"seed {self.seed}: {verdict}; {self.served} of {self.attempts} requests served, "
            f"{self.required_answers} owed their whole answer, "
            f"{self.continued} chains continued after {sum(self.injected.values())} faults"
        )


class Size(StrEnum):
    """How many processes a run has."""

    SMALL = "small"
    LARGE = "large"
    GROWN = "grown"


CLUSTER_SIZES = {
    Size.SMALL: {},
    Size.LARGE: {"keeper_count": 7, "entry_count": 12, "tolerated": 2},
    Size.GROWN: {"keeper_count": 9, "entry_count": 50, "tolerated": 2},
}
# Programs that run at once.
PROGRAMS = {Size.SMALL: 8, Size.LARGE: 32, Size.GROWN: 60}


async def run_soak(seed: int, seconds: float, folder: Path, *, size: Size = Size.SMALL) -> Report:
    """Run the soak test for one seed and return its report."""
    rng = random.Random(seed)
    cluster = Cluster(folder, **CLUSTER_SIZES[size])
    report = Report(seed)
    await cluster.start()
    try:
        await wait_ready(cluster)
        load = Load(cluster, random.Random(rng.random()), random.Random(f"callers {seed}"))
        load.start(PROGRAMS[size])
        generators = [random.Random(rng.random()) for _ in range(3)]
        own = [random.Random(f"{name} {seed}") for name in ("kills", "others")]
        faults = Faults(cluster, load, *generators, *own)
        await faults.run(seconds)
        report.injected = faults.injected
        ended_at = asyncio.get_running_loop().time()
        statuses = await continue_chains(load, ended_at + RECOVERY_SECONDS)
        await load.stop()
        # Leaves time for refused requests to reach a worker late, which the checks would report.
        await asyncio.sleep(1.0)
        report.problems = faults.problems + check_all(load) + check_continued_turns(load, statuses)
        report.attempts = len(load.attempts)
        report.served = sum(attempt.served for attempt in load.attempts)
        report.required_answers = count_required_answers(load)
        report.continued = len(statuses)
    finally:
        await cluster.close()
    return report


async def wait_ready(cluster: Cluster) -> None:
    """Wait until every entry reports that it is ready."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    for node in cluster.entries:
        while not await is_entry_ready(node.ready_address):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{node.name} did not become ready; see {node.folder}/log")
            await asyncio.sleep(0.1)


async def is_entry_ready(address: str) -> bool:
    """Return whether an entry reports that it is ready."""
    try:
        connection = await ClientConnection.open(address, 1.0)
    except ConnectError:
        return False
    try:
        connection.send(encode_head(b"GET /v1/readyz HTTP/1.1", [(b"Host", b"ready")]))
        async with asyncio.timeout(1.0):
            head, _ = await read_response(connection, 1_000)
        return head.status == 200
    except (BrokenResponseError, TimeoutError):
        return False
    finally:
        connection.close()


async def continue_chains(load: Load, deadline: float) -> dict[str, int | None]:
    """Continue the newest turn of each program whose turns are still within retention.

    Returns the status of the last attempt by turn. Retries stop at the deadline, except after
    an answer that a worker broke off.
    """
    loop = asyncio.get_running_loop()
    now = loop.time()
    # Programs with smaller budgets may have run out of tokens and would be refused correctly.
    chains = [
        chain
        for chain in load.chains
        if chain.last_turn is not None
        and now - chain.served_at < RETENTION_SECONDS - RECOVERY_SECONDS
        and chain.budget >= 1_000
    ]
    statuses: dict[str, int | None] = {}
    for chain in chains:
        if loop.time() - chain.served_at > RETENTION_SECONDS:
            # The chains before took so long that the turn need not be kept any more.
            continue
        turn, status, failures = chain.last_turn, None, 0
        while status not in (200, 402, 404):
            attempt = await load.send_request(chain, "chat")
            status = 200 if attempt.served or chain.last_turn != turn else attempt.status
            if loop.time() > deadline:
                failures += 1
                if failures > MAX_WORKER_FAILURES or not has_worker_failed(load, attempt):
                    break
            if status != 200:
                await asyncio.sleep(0.1)
        # Broken turns are charged at their maximum, so 402 (budget exhausted) is acceptable.
        statuses[turn] = 200 if status == 402 else status
    return statuses


def run_seed(
    seed: int, seconds: float, *, size: Size = Size.SMALL, parent_folder: Path | None = None
) -> Report:
    """Run one seed in a temporary folder, which is kept if a problem was found."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=parent_folder))
    report = asyncio.run(run_soak(seed, seconds, folder, size=size))
    if report.problems:
        print(f"logs: {folder}", file=sys.stderr)
    else:
        shutil.rmtree(folder)
    return report


def main() -> int:
    """Run the requested seeds; returns 1 if a problem was found in any of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="run this seed only")
    parser.add_argument("--seeds", type=int, default=1, help="number of random seeds to run")
    parser.add_argument("--seconds", type=float, default=20.0, help="seconds of faults per seed")
    parser.add_argument("--large", action="store_true", help="run 7 keepers and 12 entries")
    parser.add_argument("--grown", action="store_true", help="run 9 keepers and 50 entries")
    parser.add_argument("--keep", type=Path, help="parent folder of the logs of broken seeds")
    options = parser.parse_args()
    system_random = random.SystemRandom()
    seeds = [options.seed] if options.seed is not None else []
    seeds = seeds or [system_random.randrange(1_000_000) for _ in range(options.seeds)]
    failed = 0
    totals: Counter = Counter()
    for seed in seeds:
        size = Size.GROWN if options.grown else Size.LARGE if options.large else Size.SMALL
        report = run_seed(seed, options.seconds, size=size, parent_folder=options.keep)
        totals.update(report.injected)
        print(report, flush=True)
        for problem in report.problems[:10]:
            print("   ", problem, flush=True)
        failed += bool(report.problems)
    print(f"{len(seeds)} seeds, {failed} broken; faults: {dict(sorted(totals.items()))}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
