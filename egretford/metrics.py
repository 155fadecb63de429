"""Counters, gauges and latency histograms, kept in memory and also sent to statsd."""

from __future__ import annotations

from typing import Protocol

from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram

# Durations outside this range, 1 microsecond to 1 hour, are recorded as its nearest bound.
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
OTHER_SERIES = "other"
PERCENTILES = (50, 95, 99)


class StatsClient(Protocol):
    """Methods of `statsd.StatsClient` that egretford uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add `count` to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge to `value`."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullStatsClient:
    """Statsd client that discards all values; used if no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard the increment."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard the gauge's value."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard the duration."""


@frozen
class HistogramRow:
    """Summary of one histogram; durations in seconds, keys of `percentiles` like "p95"."""

    name: str
    tenant: str
    urgency: str
    count: int
    percentiles: dict[str, float]
    maximum: float


@define
class Metrics:
    """Metrics of one process.

    Once `max_series` histograms exist, tenants that do not have one yet share the histogram of
    the tenant OTHER_SERIES.
    """

    stats: StatsClient = Factory(NullStatsClient)
    max_series: int = 200
    histograms: dict[tuple[str, str, str], HdrHistogram] = Factory(dict)
    counters: dict[str, int] = Factory(dict)
    gauges: dict[str, float] = Factory(dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount
        self.stats.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge, for example a queue length, to its current value."""
        self.gauges[name] = value
        self.stats.gauge(name, value)

    def record_seconds(self, name: str, tenant: str, urgency: str, seconds: float) -> None:
        """Record a duration in the histogram of a tenant and urgency class."""
        histogram = self._get_histogram(name, tenant, urgency)
        microseconds = int(seconds * 1_000_000)
        histogram.record_value(min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS))
        self.stats.timing(f"{name}.{urgency}", seconds * 1_000)

    def _get_histogram(self, name: str, tenant: str, urgency: str) -> HdrHistogram:
        key = (name, tenant, urgency)
        if key not in self.histograms and len(self.histograms) >= self.max_series:
            key = (name, OTHER_SERIES, urgency)
        if key not in self.histograms:
            self.histograms[key] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return self.histograms[key]

    def list_histograms(self) -> list[HistogramRow]:
        """Return a summary of each histogram, sorted by name, tenant and urgency class."""
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
