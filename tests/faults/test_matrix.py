"""A fixed sample of the fault matrix; `make matrix` runs all of it."""

import pytest

from tests.faults.matrix import Cell, describe_red, draw_pair, judge, list_cells
from tests.faults.world import Trigger

SINGLES_STRIDE = 12
PAIRS = 40
MENDED = (
    # An upstream's late copy of a dispatch left memory behind the release.
    Cell(238, "serve", (Trigger("dispatch.model", "before", "duplicate"),)),
    # A call in doubt whose settling met a sealed journal never ended its run.
    draw_pair(1317),
    # A call that had been dispatched was told "not run" after its owner moved.
    draw_pair(1354),
    # A stream went on with another owner's answer, and its text was cut.
    draw_pair(1386),
    # An end was confirmed before its record was durable.
    draw_pair(1735),
    # A cancelled cleaning took the journal's last append with it, and the drain died.
    draw_pair(2902),
    # A repeat was told that an answer is in the store while its record was in flight.
    Cell(
        1185,
        "serve",
        (
            Trigger("segment.delete", "before", "freeze", 4),
            Trigger("members.list", "before", "cut_one_way"),
        ),
    ),
    # An orders lease was written without an answer, and its holder did not know it.
    Cell(856, "takeover", (Trigger("seal", "before", "store_lost"),)),
    # A frozen owner dispatched on a grant from before the worker began to leave.
    draw_pair(1611),
    # A stale entry took over an incarnation that another had taken over before.
    draw_pair(2877),
)


@pytest.mark.parametrize("variant", ["serve", "takeover", "rolling"])
def test_programs_finish_without_further_faults(variant):
    verdict = judge(Cell(1, variant, ()))
    assert (verdict.finished, verdict.refused, verdict.violations) == (2, 0, ())


@pytest.mark.parametrize("cell", list_cells()[::SINGLES_STRIDE], ids=lambda c: str(c.seed))
def test_single_fault_breaks_no_promise(cell):
    verdict = judge(cell)
    assert not verdict.violations, describe_red(verdict)


@pytest.mark.parametrize("seed", range(1_000, 1_000 + PAIRS))
def test_pair_of_faults_breaks_no_promise(seed):
    verdict = judge(draw_pair(seed))
    assert not verdict.violations, describe_red(verdict)


@pytest.mark.parametrize("cell", MENDED, ids=lambda c: str(c.seed))
def test_mended_cell_stays_mended(cell):
    verdict = judge(cell)
    assert not verdict.violations, describe_red(verdict)
