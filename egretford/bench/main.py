"""The bench as a command: runs all scenarios and writes docs/BENCH.md; see `make bench`."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path

from egretford.bench.decisions import measure_decisions
from egretford.bench.deployments import FERNHOLLOW, SIALKOT
from egretford.bench.policies import BASELINES
from egretford.bench.programs import SHAPES
from egretford.bench.report import render_page
from egretford.bench.scenarios import Outcome, Scenario, run_scenario
from egretford.bench.simulation import FAULTS
from egretford.codec import to_json

LOADS = (0.5, 0.8, 0.95, 1.2)
POLICIES = (*BASELINES, "shard")
HORIZON_SECONDS = 300.0
FAULT_HORIZON_SECONDS = 120.0


def list_scenarios(seeds: list[int], faults: list[str], scale: float) -> list[Scenario]:
    """Return all combinations; every policy runs with the same seeds.

    `scale` is a factor on the simulated seconds.
    """
    deployments = (FERNHOLLOW, SIALKOT)
    horizons = {
        fault: scale * (HORIZON_SECONDS if fault == "none" else FAULT_HORIZON_SECONDS)
        for fault in faults
    }
    return [
        Scenario(deployment, policy, shape, load, fault, seed, horizons[fault])
        for deployment, shape, load, fault, seed, policy in product(
            deployments, SHAPES, LOADS, faults, seeds, POLICIES
        )
    ]


def main() -> int:
    """Run the bench, print its page and write the requested files."""
    parser = argparse.ArgumentParser(prog="make bench", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=list(FAULTS))
    parser.add_argument("--scale", type=float, default=1.0, help="of the modelled time")
    parser.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    parser.add_argument("--write", type=Path, help="write the page to this file")
    parser.add_argument("--raw", type=Path, help="write all outcomes as JSON lines")
    options = parser.parse_args()
    scenarios = list_scenarios(options.seeds, options.faults, options.scale)
    outcomes = _run_scenarios(scenarios, options.workers)
    page = render_page(outcomes, measure_decisions())
    print(page)
    if options.write:
        options.write.write_text(page + "\n")
    if options.raw:
        lines = (json.dumps(to_json(outcome)) for outcome in outcomes)
        options.raw.write_text("\n".join(lines) + "\n")
    return 0


def _run_scenarios(scenarios: list[Scenario], workers: int) -> list[Outcome]:
    started = time.monotonic()
    outcomes = []
    with ProcessPoolExecutor(workers) as pool:
        for outcome in pool.map(run_scenario, scenarios, chunksize=2):
            outcomes.append(outcome)
            if len(outcomes) % 50 == 0:
                seconds = time.monotonic() - started
                print(f"{len(outcomes)}/{len(scenarios)} in {seconds:.0f} s", file=sys.stderr)
    return outcomes


if __name__ == "__main__":
    sys.exit(main())
