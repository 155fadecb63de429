"""Runs a fixed sample of the fault matrix; `make matrix` runs all of it."""

import pytest

from tests.faults.matrix import Cell, describe_failure, draw_pair, list_cells, run_cell
from tests.faults.world import Trigger

SINGLE_FAULT_STRIDE = 12
PAIR_COUNT = 40
REGRESSION_CELLS = (
    # A duplicate dispatch that reached the upstream after the release left memory allocated.
    Cell(238, "serve", (Trigger("dispatch.model", "before", "duplicate"),)),
    # A call with unknown outcome never ended when its settle record met a sealed journal.
    draw_pair(1317),
    # A dispatched call was reported as "not run" after its program had moved to another owner.
    draw_pair(1354),
    # A stream continued with the answer of a new owner and lost part of its text.
    draw_pair(1386),
    # An end was confirmed before its record was durable.
    draw_pair(1735),
    # Cancelling the cleanup also cancelled the journal's last append, and the drain failed.
    draw_pair(2902),
    # A repeated call was told that its answer is in the store while the record was in flight.
    Cell(
        1185,
        "serve",
        (
            Trigger("segment.delete", "before", "freeze", 4),
            Trigger("members.list", "before", "cut_one_way"),
        ),
    ),
    # The write of an orders lease took effect but its answer was lost, so that the holder did
    # not know that it had the lease.
    Cell(856, "takeover", (Trigger("seal", "before", "store_lost"),)),
    # A frozen owner dispatched with a slot granted before the worker began to leave.
    draw_pair(1611),
    # An entry with outdated state took over an incarnation that another had already taken over.
    draw_pair(2877),
)


@pytest.mark.parametrize("variant", ["serve", "takeover", "rolling"])
def test_programs_finish_without_further_faults(variant):
    result = run_cell(Cell(1, variant, ()))
    assert (result.finished, result.refused, result.violations) == (2, 0, ())


@pytest.mark.parametrize("cell", list_cells()[::SINGLE_FAULT_STRIDE], ids=lambda c: str(c.seed))
def test_single_fault_breaks_no_promise(cell):
    result = run_cell(cell)
    assert not result.violations, describe_failure(result)


@pytest.mark.parametrize("seed", range(1_000, 1_000 + PAIR_COUNT))
def test_pair_of_faults_breaks_no_promise(seed):
    result = run_cell(draw_pair(seed))
    assert not result.violations, describe_failure(result)


@pytest.mark.parametrize("cell", REGRESSION_CELLS, ids=lambda c: str(c.seed))
def test_mended_cell_stays_mended(cell):
    result = run_cell(cell)
    assert not result.violations, describe_failure(result)
