"""A burst of programs arrives through many entries, each with few load reports of the workers."""

from __future__ import annotations

import random

import pytest

from egretford.entry.choice import choose_worker
from tests.load.simulation import PLACEMENT, Simulation

BASE_PROGRAMS, BURST_PROGRAMS = 50.0, 115.0


def arrival_rate(at: float) -> float:
    return BURST_PROGRAMS if 4.0 < at < 8.0 else BASE_PROGRAMS


def choose(request, tracked_workers, now):
    return choose_worker(request, tracked_workers, PLACEMENT, "north")[0]


def choose_without_reports(request, tracked_workers, now):
    for tracked in tracked_workers:
        tracked.state.foreign_calls = 0
    return choose(request, tracked_workers, now)


def choose_randomly(rng):
    return lambda request, tracked_workers, now: rng.choice(tracked_workers)


@pytest.fixture(scope="module")
def outcomes():
    choosers = {
        "with reports": choose,
        "without reports": choose_without_reports,
        "random": choose_randomly(random.Random(1)),
    }
    return {name: Simulation(chooser).run(arrival_rate, 12.0) for name, chooser in choosers.items()}


def test_load_reports_shorten_the_mean_wait(outcomes):
    waits = {name: sum(o.waits) / len(o.waits) for name, o in outcomes.items()}
    assert waits["with reports"] < 0.75 * waits["without reports"], waits
    assert waits["with reports"] < 0.5 * waits["random"], waits


def test_load_reports_shorten_the_99th_percentile_of_waits(outcomes):
    assert outcomes["with reports"].percentile(0.99) < outcomes["without reports"].percentile(0.99)


def test_load_reports_hardly_increase_prefill(outcomes):
    prefilled = {name: o.prefilled_tokens / o.turns for name, o in outcomes.items()}
    assert prefilled["with reports"] < 1.05 * prefilled["without reports"], prefilled
    assert prefilled["with reports"] < 0.5 * prefilled["random"], prefilled
