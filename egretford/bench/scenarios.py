"""Scenarios of the bench and their results."""

from __future__ import annotations

import random
from typing import Any

from attrs import frozen

from egretford.bench.deployments import Deployment
from egretford.bench.policies import build_policy
from egretford.bench.programs import BenchProgram, Shape, draw_programs
from egretford.bench.simulation import WARM_UP_SHARE, Simulation
from egretford.models import Urgency
from egretford.standin.batching import EngineProfile


@frozen
class Scenario:
    """Parameters of one run; `load` is relative to capacity, `seconds` is simulated time."""

    deployment: Deployment
    policy: str
    shape: Shape
    load: float
    fault: str
    seed: int
    seconds: float


@frozen
class Outcome:
    """Results of one run.

    `p50` to `urgent_p95` are latencies of whole programs in seconds. `goodput` is the
    served demand as a share of capacity, and `fairness` is Jain's index over tenants.
    """

    scenario: Scenario
    p50: float
    p95: float
    p99: float
    urgent_p95: float
    finished: int
    refused: int
    late_refusals: int
    wasted_tokens: int
    moved_tokens: int
    prompt_tokens: int
    link_bytes: int
    goodput: float
    fairness: float


def run_scenario(scenario: Scenario) -> Outcome:
    """Run one scenario; every policy gets the same programs for the same seed."""
    rng = random.Random(scenario.seed)
    deployment = scenario.deployment
    workers = deployment.list_workers()
    regions = list(dict.fromkeys(deployment.regions.values()))
    programs = list(
        draw_programs(rng, scenario.shape, scenario.load, len(workers), scenario.seconds, regions)
    )
    profile = EngineProfile()
    policy = build_policy(scenario.policy, workers, profile, deployment.regions)
    simulation = Simulation(policy, deployment, rng, profile)
    simulation.run(programs, scenario.fault, scenario.seconds)
    return _summarise(scenario, simulation, programs)


def _summarise(scenario: Scenario, simulation: Simulation, programs: list[BenchProgram]) -> Outcome:
    finished = [p for p in programs if p.finished_at is not None]
    latencies = sorted(p.finished_at - p.arrives_at for p in finished)
    urgent = sorted(p.finished_at - p.arrives_at for p in finished if p.urgency is Urgency.URGENT)
    totals = simulation.totals
    measured_seconds = scenario.seconds * (1 - WARM_UP_SHARE)
    capacity = measured_seconds * len(scenario.deployment.list_workers())
    return Outcome(
        scenario,
        _percentile(latencies, 50),
        _percentile(latencies, 95),
        _percentile(latencies, 99),
        _percentile(urgent, 95),
        len(finished),
        sum(1 for p in programs if p.refused),
        totals.late_refused,
        totals.wasted_tokens,
        totals.moved_tokens,
        totals.prompt_tokens,
        totals.link_bytes,
        totals.served_seconds / capacity,
        _measure_fairness(finished),
    )


def _percentile(ordered: list[float], percent: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def _measure_fairness(finished: list[BenchProgram]) -> float:
    """Return Jain's fairness index over the tenants' mean slowdowns; 1 is perfectly fair.

    The slowdown is relative to the pauses of a program plus 0.5 s per turn.
    """
    by_tenant: dict[str, list[float]] = {}
    for program in finished:
        ideal_seconds = sum(t.pause for t in program.turns) + 0.5 * len(program.turns)
        slowdown = (program.finished_at - program.arrives_at) / max(0.1, ideal_seconds)
        by_tenant.setdefault(program.tenant, []).append(slowdown)
    means = [sum(values) / len(values) for values in by_tenant.values()]
    squares: Any = sum(mean * mean for mean in means)
    return sum(means) ** 2 / (len(means) * squares) if means else 1.0
