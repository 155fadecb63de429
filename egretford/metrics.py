"""Counters, gauges and latency histograms; statsd outside, HDR histograms inside."""

from __future__ import annotations

from typing import Protocol

from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
OTHER_SERIES = "other"
PERCENTILES = (50, 95, 99)


class StatsClient(Protocol):
    """The part of a statsd client that is used."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a time in milliseconds."""


class NoStats:
    """Discards everything; used where no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard."""


@frozen
class HistogramRow:
    """One histogram as operators see it; times in seconds."""

    name: str
    tenant: str
    urgency: str
    count: int
    percentiles: dict[str, float]
    maximum: float


@define
class Metrics:
    """Metrics of one process; at most `max_series` tenants have series of their own."""

    stats: StatsClient = Factory(NoStats)
    max_series: int = 200
    histograms: dict[tuple[str, str, str], HdrHistogram] = Factory(dict)
    counters: dict[str, int] = Factory(dict)
    gauges: dict[str, float] = Factory(dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount
        self.stats.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        self.stats.gauge(name, value)

    def record_seconds(self, name: str, tenant: str, urgency: str, seconds: float) -> None:
        """Record a duration for a tenant and class."""
        histogram = self._find_histogram(name, tenant, urgency)
        microseconds = int(seconds * 1_000_000)
        histogram.record_value(min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS))
        self.stats.timing(f"{name}.{urgency}", seconds * 1_000)

    def _find_histogram(self, name: str, tenant: str, urgency: str) -> HdrHistogram:
        key = (name, tenant, urgency)
        if key not in self.histograms and len(self.histograms) >= self.max_series:
            key = (name, OTHER_SERIES, urgency)
        if key not in self.histograms:
            self.histograms[key] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return self.histograms[key]

    def list_histograms(self) -> list[HistogramRow]:
        """Return all histograms, sorted by name, tenant and class."""
        return [_summarise(key, self.histograms[key]) for key in sorted(self.histograms)]


def _summarise(key: tuple[str, str, str], histogram: HdrHistogram) -> HistogramRow:
    name, tenant, urgency = key
    percentiles = {
        f"p{percent}": histogram.get_value_at_percentile(percent) / 1_000_000
        for percent in PERCENTILES
    }
    return HistogramRow(
        name,
        tenant,
        urgency,
        histogram.get_total_count(),
        percentiles,
        histogram.get_max_value() / 1_000_000,
    )
