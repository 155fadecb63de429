"""What many entries' calls at a worker are believed to be, between its reports.

An entry hears of each worker only when its own call there ends, which is seldom where entries
are many. An old report says little of that worker, but reports of all workers together still
tell how busy they are, so a belief goes from what was reported to their mean.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define

# Calls take some hundred milliseconds: after this long about a third of a worker's are the same.
LOAD_MEMORY_SECONDS = 2.0


@define
class LoadReport:
    """Calls of other entries in a worker, as last reported; `at` in monotonic seconds."""

    calls: int = 0
    at: float | None = None

    def weigh(self, now: float) -> float:
        """Return how much the report still says, from 1 down to 0."""
        return 0.0 if self.at is None else math.exp((self.at - now) / LOAD_MEMORY_SECONDS)


def estimate_loads(reports: Iterable[LoadReport], now: float) -> list[float]:
    """Return the calls of other entries that each worker is believed to have."""
    weighed = [(report.weigh(now), report.calls) for report in reports]
    total = sum(weight for weight, _ in weighed)
    mean = sum(weight * calls for weight, calls in weighed) / total if total else 0.0
    return [weight * calls + (1.0 - weight) * mean for weight, calls in weighed]
