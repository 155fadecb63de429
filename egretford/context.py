"""What every part of an entry is given: settings, clock, random source, logs, metrics."""

from __future__ import annotations

import random
from typing import Any

from attrs import define

from egretford.clock import Clock, SystemClock
from egretford.logs import make_logger
from egretford.metrics import Metrics, NoStats
from egretford.settings import Settings


@define
class Context:
    """Passed to each part and never global, so that tests replace any of it."""

    settings: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics

    def make_logger(self, part: str) -> Any:
        """Return a logger for one part of this instance."""
        return make_logger(part, instance=self.settings.instance)


def build_context(settings: Settings) -> Context:
    """Build the context of a daemon."""
    stats = NoStats()
    if settings.statsd is not None:
        from statsd import StatsClient

        stats = StatsClient(settings.statsd.host, settings.statsd.port, prefix="egretford")
    metrics = Metrics(stats, settings.limits.metric_series)
    return Context(settings, SystemClock(), random.Random(), metrics)
