"""Breaks down what a benchmark day lost, from the bench's report and the entries' logs."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime

from attrs import Factory, define, frozen

from egretford.cli.explain import LogLine
from egretford.platform.report import DayReport, Window

# Smaller losses are not shown, since the bench's figures vary by more between runs.
MIN_SHOWN_LOSS = 0.002
MAX_SHOWN_WINDOWS = 5
PERCENTILES = (50, 90, 99)
_ADDRESS_OR_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)*(:[0-9]+)?")


@frozen
class RequestTimes:
    """Times of one answered request, in seconds: until a worker was first chosen, and after."""

    admission_seconds: float
    execution_seconds: float
    offers: int
    is_stream: bool


@define
class LogStatistics:
    """Times of answered requests, and counts of refusals, broken-off answers and lost attempts."""

    times: list[RequestTimes] = Factory(list)
    refusals: Counter[str] = Factory(Counter)
    broken_off: Counter[str] = Factory(Counter)
    lost_attempts: Counter[str] = Factory(Counter)


def read_statistics(lines: Iterable[LogLine]) -> LogStatistics:
    """Collect request times and failure counts, by cause, from the lines of entries' logs."""
    statistics = LogStatistics()
    chosen_times: dict[tuple[str, str], float] = {}
    for line in lines:
        request = (line.instance, line.fields.get("request", ""))
        match line.event:
            case "forwarding: chose a worker":
                chosen_times.setdefault(request, _read_seconds(line))
            case "forwarding: an attempt was lost":
                statistics.lost_attempts[_normalise_reason(line.fields.get("reason", ""))] += 1
            case "gateway: refused":
                statistics.refusals[_format_cause(line)] += 1
            case "gateway: broke off an answer":
                statistics.broken_off[_format_cause(line)] += 1
            case "gateway: answered" if request in chosen_times:
                statistics.times.append(_build_times(line, chosen_times.pop(request)))
    return statistics


def _format_cause(line: LogLine) -> str:
    return f"{line.fields.get('kind')}: {_normalise_reason(line.fields.get('reason', ''))}"


def _build_times(line: LogLine, chosen_at: float) -> RequestTimes:
    total = float(line.fields["ms"]) / 1_000
    execution = _read_seconds(line) - chosen_at
    return RequestTimes(
        max(0.0, total - execution),
        execution,
        int(line.fields["offers"]),
        line.fields["events"] != "0",
    )


def _read_seconds(line: LogLine) -> float:
    return datetime.fromisoformat(line.time).timestamp()


def _normalise_reason(reason: str) -> str:
    """Replace addresses and numbers by "N", so that similar reasons are counted together."""
    return _ADDRESS_OR_NUMBER.sub("N", reason)[:70]


def render_breakdown(report: DayReport, statistics: LogStatistics) -> str:
    """Return the report's losses, largest first, and the log statistics as text."""
    lines = [
        f"worth {report.worth:.3f}; rules broken: {report.violations or 'none'}",
        "",
        "Losses:",
    ]
    losses = sorted(report.losses, key=lambda row: row.lost, reverse=True)
    lines += [
        f"  {row.lost:7.3f}  {row.name} ({row.amount:,.3f})"
        for row in losses
        if row.lost >= MIN_SHOWN_LOSS
    ]
    lines += ["", "Worst windows, with their disruptions:"]
    worst = sorted(report.windows, key=lambda w: (1.0 - w.share) * w.expected, reverse=True)
    for window in worst[:MAX_SHOWN_WINDOWS]:
        lines.append(_render_window(window))
        lines += [
            f"           {d.start:.1f} to {d.end:.1f} s  {d.kind}: {d.what[:60]}"
            for d in report.disruptions
            if d.start <= window.start + 2.0 and d.end >= window.start
        ]
    return "\n".join(lines + _render_logs(statistics))


def _render_window(window: Window) -> str:
    return (
        f"  {window.start:5.0f} s  {window.share:.2f} of {window.expected} programs; "
        f"{window.late} late, {window.refused} refused, {window.failed} failed"
    )


def _render_logs(statistics: LogStatistics) -> list[str]:
    lines = []
    for name, is_stream in (("streams", True), ("calls", False)):
        times = [t for t in statistics.times if t.is_stream is is_stream]
        if times:
            lines += ["", f"Times of {len(times)} answered {name}, in ms (p50, p90, p99):"]
            lines.append(
                f"  until a worker was chosen  {_render_times(t.admission_seconds for t in times)}"
            )
            lines.append(
                f"  from then to the end       {_render_times(t.execution_seconds for t in times)}"
            )
            lines.append(f"  attempted more than once   {sum(t.offers > 1 for t in times)}")
    for title, counter in (
        ("Refused requests by cause:", statistics.refusals),
        ("Answers broken off by cause:", statistics.broken_off),
        ("Lost attempts by cause:", statistics.lost_attempts),
    ):
        if counter:
            lines += ["", title, *(f"  {n:6}  {cause}" for cause, n in counter.most_common(8))]
    return lines


def _render_times(seconds: Iterable[float]) -> str:
    ordered = sorted(seconds)
    shown = (ordered[min(len(ordered) - 1, len(ordered) * p // 100)] for p in PERCENTILES)
    return "  ".join(f"{value * 1_000:6.0f}" for value in shown)
