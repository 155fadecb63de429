"""Estimates of load decay from a worker's last report to the mean of all workers."""

from __future__ import annotations

import pytest

from egretford.policy.loads import LOAD_DECAY_SECONDS, LoadReport, estimate_loads


def test_a_fresh_report_is_used_as_it_is_and_an_unknown_worker_gets_the_mean():
    fresh, unknown = estimate_loads([LoadReport(6, 10.0), LoadReport()], 10.0)
    assert fresh == unknown == 6


def test_an_old_report_counts_less_than_fresh_ones_of_others():
    now = 10.0 + 4 * LOAD_DECAY_SECONDS
    old, fresh = estimate_loads([LoadReport(12, 10.0), LoadReport(2, now)], now)
    assert fresh == 2 and old == pytest.approx(2, abs=0.5)


def test_estimates_are_zero_before_the_first_report():
    assert estimate_loads([LoadReport(), LoadReport()], 3.0) == [0.0, 0.0]
