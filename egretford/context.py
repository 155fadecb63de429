"""Dependencies shared by all components of an entry: settings, clock, RNG, metrics, logs."""

from __future__ import annotations

import random
from typing import Any

from attrs import define

from egretford.clock import Clock, SystemClock
from egretford.logs import make_logger
from egretford.metrics import Metrics, NullStatsClient
from egretford.settings import Settings


@define
class Context:
    """Passed to each component explicitly instead of being global, so tests can replace it."""

    settings: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics

    def make_logger(self, part: str) -> Any:
        """Return a logger for one component, with the instance's name on each line."""
        return make_logger(part, instance=self.settings.instance)


def build_context(settings: Settings) -> Context:
    """Create a daemon's context, with a statsd client if the settings have a statsd address."""
    stats = NullStatsClient()
    if settings.statsd is not None:
        from statsd import StatsClient

        stats = StatsClient(settings.statsd.host, settings.statsd.port, prefix="egretford")
    metrics = Metrics(stats, settings.limits.metric_series)
    return Context(settings, SystemClock(), random.Random(), metrics)
