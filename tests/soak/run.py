"""One run of the soak by its seed.

python -m tests.soak.run --seed 7 --seconds 20 [--large] [--keep FOLDER]
python -m tests.soak.run --seeds 50 --seconds 20     # fresh seeds, a row each
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
from pathlib import Path

from attrs import Factory, define

from egretford.http.client import BrokenResponseError, ClientConnection, ConnectError, read_whole
from egretford.http.messages import encode_head
from tests.soak.checks import check_all, check_kept_turns, count_owed, has_worker_failed
from tests.soak.faults import Faults
from tests.soak.load import RETENTION_SECONDS, Load
from tests.soak.processes import Cluster

READY_SECONDS = 20.0
# What deployments allow between the end of a fault and service as usual.
RECOVERY_SECONDS = 12.0
PROGRAMS = 8
# Workers fail one run in thirty; past the deadline a turn is asked again only after that.
MAX_WORKER_FAILURES = 3


@define
class Report:
    """What one run did and found."""

    seed: int
    problems: list[str] = Factory(list)
    attempts: int = 0
    served: int = 0
    owed: int = 0
    continued: int = 0
    injected: Counter = Factory(Counter)

    def __str__(self) -> str:
        verdict = "ok" if not self.problems else f"{len(self.problems)} PROBLEMS"
        return (
            f"seed {self.seed}: {verdict}; {self.served} of {self.attempts} requests served, "
            f"{self.owed} owed their whole answer, "
            f"{self.continued} chains continued after {sum(self.injected.values())} faults"
        )


async def play(seed: int, seconds: float, folder: Path, *, large: bool = False) -> Report:
    """Run one soak; returns its report."""
    rng = random.Random(seed)
    sizes = {"keeper_count": 7, "entry_count": 12, "tolerated": 2} if large else {}
    cluster = Cluster(folder, **sizes)
    report = Report(seed)
    await cluster.start()
    try:
        await wait_ready(cluster)
        load = Load(cluster, random.Random(rng.random()))
        load.start(PROGRAMS * (4 if large else 1))
        faults = Faults(cluster, load, random.Random(rng.random()), random.Random(rng.random()))
        await faults.run(seconds)
        report.injected = faults.injected
        ended_at = asyncio.get_running_loop().time()
        lasting = await continue_chains(load, ended_at + RECOVERY_SECONDS)
        await load.end()
        # Late runs of what was refused would show until now.
        await asyncio.sleep(1.0)
        report.problems = faults.problems + check_all(load) + check_kept_turns(load, lasting)
        report.attempts = len(load.attempts)
        report.served = sum(attempt.served for attempt in load.attempts)
        report.owed = count_owed(load)
        report.continued = len(lasting)
    finally:
        await cluster.close()
    return report


async def wait_ready(cluster: Cluster) -> None:
    """Wait until every entry says it is ready."""
    deadline = time.monotonic() + READY_SECONDS
    for node in cluster.entries:
        while not await ask_ready(node.ready):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{node.name} did not become ready; see {node.folder}/log")
            await asyncio.sleep(0.1)


async def ask_ready(address: str) -> bool:
    """Whether an entry says that it is ready."""
    try:
        connection = await ClientConnection.open(address, 1.0)
    except ConnectError:
        return False
    try:
        connection.send(encode_head(b"GET /v1/readyz HTTP/1.1", [(b"Host", b"ready")]))
        async with asyncio.timeout(1.0):
            head, _ = await read_whole(connection, 1_000)
        return head.status == 200
    except (BrokenResponseError, TimeoutError):
        return False
    finally:
        connection.close()


async def continue_chains(load: Load, deadline: float) -> dict[str, int | None]:
    """Go on from the newest turn of each program that may still be asked for.

    Returns by turn the status of the last try; tries end at the deadline, but for those that a
    worker broke off.
    """
    loop = asyncio.get_running_loop()
    now = loop.time()
    # Those that ran out of tokens would be refused rightly.
    chains = [
        chain
        for chain in load.chains
        if chain.last is not None
        and now - chain.finished_at < RETENTION_SECONDS - RECOVERY_SECONDS
        and chain.budget >= 1_000
    ]
    lasting: dict[str, int | None] = {}
    for chain in chains:
        turn, status, failures = chain.last, None, 0
        while status not in (200, 402, 404):
            attempt = await load.ask(chain, "chat")
            status = 200 if attempt.served or chain.last != turn else attempt.status
            if loop.time() > deadline:
                failures += 1
                if failures > MAX_WORKER_FAILURES or not has_worker_failed(load, attempt):
                    break
            if status != 200:
                await asyncio.sleep(0.1)
        # Broken turns count at their most, so that a budget may well be spent.
        lasting[turn] = 200 if status == 402 else status
    return lasting


def run_seed(seed: int, seconds: float, *, large: bool, keep: Path | None = None) -> Report:
    """Run one seed in a folder of its own, which stays if something broke."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep))
    report = asyncio.run(play(seed, seconds, folder, large=large))
    if report.problems:
        print(f"logs: {folder}", file=sys.stderr)
    else:
        shutil.rmtree(folder)
    return report


def main() -> int:
    """Run the seeds asked for; returns 1 if any of them broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="one seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many fresh seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults, a seed")
    parser.add_argument("--large", action="store_true", help="7 keepers, 12 entries")
    parser.add_argument("--keep", type=Path, help="where the folders of broken seeds stay")
    options = parser.parse_args()
    fresh = random.SystemRandom()
    seeds = [options.seed] if options.seed is not None else []
    seeds = seeds or [fresh.randrange(1_000_000) for _ in range(options.seeds)]
    broken = 0
    totals: Counter = Counter()
    for seed in seeds:
        report = run_seed(seed, options.seconds, large=options.large, keep=options.keep)
        totals.update(report.injected)
        print(report, flush=True)
        for problem in report.problems[:10]:
            print("   ", problem, flush=True)
        broken += bool(report.problems)
    print(f"{len(seeds)} seeds, {broken} broken; faults: {dict(sorted(totals.items()))}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
