"""Where a day's worth went: by the bench's report, and by the logs of entries."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime

from attrs import Factory, define, frozen

from egretford.cli.explain import LogLine
from egretford.platform.report import DayReport, Window

# Rows that took less are left out: the bench's figures differ by more from run to run.
LEAST_LOSS = 0.002
WORST_WINDOWS = 5
PERCENTILES = (50, 90, 99)
_VARYING = re.compile(r"[0-9]+(\.[0-9]+)*(:[0-9]+)?")


@frozen
class TurnTimes:
    """One answered request: seconds until its first worker was chosen, and from then on."""

    admission: float
    work: float
    offers: int
    is_stream: bool


@define
class LogAccount:
    """What the logs tell of requests."""

    times: list[TurnTimes] = Factory(list)
    refusals: Counter[str] = Factory(Counter)
    broken_off: Counter[str] = Factory(Counter)
    lost_attempts: Counter[str] = Factory(Counter)


def read_account(lines: Iterable[LogLine]) -> LogAccount:
    """Collect the account of some log lines."""
    account = LogAccount()
    chosen: dict[tuple[str, str], float] = {}
    for line in lines:
        request = (line.instance, line.fields.get("request", ""))
        match line.event:
            case "forwarding: chose a worker":
                chosen.setdefault(request, _read_seconds(line))
            case "forwarding: an attempt was lost":
                account.lost_attempts[_shorten(line.fields.get("reason", ""))] += 1
            case "gateway: refused":
                account.refusals[_read_cause(line)] += 1
            case "gateway: broke off an answer":
                account.broken_off[_read_cause(line)] += 1
            case "gateway: answered" if request in chosen:
                account.times.append(_measure(line, chosen.pop(request)))
    return account


def _read_cause(line: LogLine) -> str:
    return f"{line.fields.get('kind')}: {_shorten(line.fields.get('reason', ''))}"


def _measure(line: LogLine, chosen_at: float) -> TurnTimes:
    whole = float(line.fields["ms"]) / 1_000
    work = _read_seconds(line) - chosen_at
    return TurnTimes(
        max(0.0, whole - work), work, int(line.fields["offers"]), line.fields["events"] != "0"
    )


def _read_seconds(line: LogLine) -> float:
    return datetime.fromisoformat(line.time).timestamp()


def _shorten(reason: str) -> str:
    """Return a reason without addresses and numbers, so that like ones count together."""
    return _VARYING.sub("N", reason)[:70]


def render_account(report: DayReport, account: LogAccount) -> str:
    """Return both accounts as text, the largest loss first."""
    lines = [f"worth {report.worth:.3f}; rules broken: {report.broken or 'none'}", "", "Lost by:"]
    losses = sorted(report.losses, key=lambda row: row.lost, reverse=True)
    lines += [
        f"  {row.lost:7.3f}  {row.name} ({row.amount:,.3f})"
        for row in losses
        if row.lost >= LEAST_LOSS
    ]
    lines += ["", "Worst spans, with what went on:"]
    worst = sorted(report.windows, key=lambda w: (1.0 - w.share) * w.owed, reverse=True)
    for window in worst[:WORST_WINDOWS]:
        lines.append(_render_window(window))
        lines += [
            f"           {d.start:.1f} to {d.end:.1f} s  {d.kind}: {d.what[:60]}"
            for d in report.disruptions
            if d.start <= window.start + 2.0 and d.end >= window.start
        ]
    return "\n".join(lines + _render_logs(account))


def _render_window(window: Window) -> str:
    return (
        f"  {window.start:5.0f} s  {window.share:.2f} of {window.owed} programs; "
        f"{window.late} late, {window.refused} refused, {window.failed} failed"
    )


def _render_logs(account: LogAccount) -> list[str]:
    lines = []
    for name, is_stream in (("streams", True), ("calls", False)):
        times = [t for t in account.times if t.is_stream is is_stream]
        if times:
            lines += ["", f"Times of {len(times)} answered {name}, ms at p50, p90, p99:"]
            lines.append(
                f"  until a worker was chosen  {_render_times(t.admission for t in times)}"
            )
            lines.append(f"  from then to the end       {_render_times(t.work for t in times)}")
            lines.append(f"  offered more than once     {sum(t.offers > 1 for t in times)}")
    for title, counter in (
        ("Refused by:", account.refusals),
        ("Answers broken off by:", account.broken_off),
        ("Attempts lost by:", account.lost_attempts),
    ):
        if counter:
            lines += ["", title, *(f"  {n:6}  {cause}" for cause, n in counter.most_common(8))]
    return lines


def _render_times(seconds: Iterable[float]) -> str:
    ordered = sorted(seconds)
    shown = (ordered[min(len(ordered) - 1, len(ordered) * p // 100)] for p in PERCENTILES)
    return "  ".join(f"{value * 1_000:6.0f}" for value in shown)
