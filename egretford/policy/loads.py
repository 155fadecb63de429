"""Estimates the calls of other entries on each worker, between its load reports.

An entry gets a report only when one of its own calls on the worker ends, which is rare if there
are many entries. An old report says little about its worker, but the reports of all workers still
show how busy they are on average. The estimate therefore decays from the reported value to the
mean of all workers.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define

# Time constant in seconds by which the weight of a report decays. Calls take some hundred
# milliseconds; after this long about a third of those on a worker are still the same.
LOAD_DECAY_SECONDS = 2.0


@define
class LoadReport:
    """Calls of other entries on a worker as last reported; `at` in monotonic seconds."""

    calls: int = 0
    at: float | None = None

    def weight_at(self, now: float) -> float:
        """Return the weight of the report at `now`: 1 when new, 0 when old or missing."""
        return 0.0 if self.at is None else math.exp((self.at - now) / LOAD_DECAY_SECONDS)


def estimate_loads(reports: Iterable[LoadReport], now: float) -> list[float]:
    """Return the estimated calls of other entries on each worker, in the order of `reports`."""
    weighed = [(report.weight_at(now), report.calls) for report in reports]
    total = sum(weight for weight, _ in weighed)
    mean = sum(weight * calls for weight, calls in weighed) / total if total else 0.0
    return [weight * calls + (1.0 - weight) * mean for weight, calls in weighed]
