"""Generates docs/CAPACITY_OWN_INTERFACE.md from docs/slopes.json and docs/measurements.json.

`make capacity` runs it after the two measuring scripts, so that every figure of the page is
computed from measurements.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from attrs import frozen

from egretford.settings import JournalSettings, LimitSettings

DOCS = Path(__file__).resolve().parent.parent / "docs"
DAEMONS = 380
DOMAINS = 16
REGIONS = 6
WORKERS = 1_500
POOLS = 31
CALLS_PER_SECOND = 11_000
TOKENS_PER_SECOND = 4_100_000
PROGRAMS = 450_000
HISTORY_TOKENS = 210_000
TURNS = 210
CHANGES_PER_DAY = 3_300
REPLACED_PER_DAY = 728
CORE_LIMIT = 0.033
MEMORY_LIMIT_MB = 64.0
BYTES_PER_SECOND_LIMIT = 30_000.0
STORE_WRITES_PER_SECOND = 500.0
STORE_READS_PER_SECOND = 2_000.0
BYTES_PER_TOKEN = 4
SECONDS_PER_DAY = 86_400
BASE64_FACTOR = 4 / 3
RENEWAL_SECONDS = 2.0
WATCH_SECONDS = 10.0
PROGRAM_SECONDS = 300.0
ENTRIES = ("2", "8")


@frozen
class Row:
    """A table row: one load at the target size, its current and planned cost, and its limit."""

    role: str
    load: str
    current: float
    limit: float
    unit: str
    mechanism: str
    planned: float | None = None

    def render(self) -> str:
        """Return the Markdown table row, stating whether the current cost is within the limit."""
        fits = "fits" if self.current <= self.limit else "**does not fit**"
        planned = "-" if self.planned is None else f"{self.planned:,.2f}"
        return (
            f"| {self.role} | {self.load} | {self.current:,.2f} | {self.limit:,.2f} | {self.unit} "
            f"| {fits} | {self.mechanism} | {planned} |"
        )


def main() -> int:
    """Write the page and print it."""
    slopes = json.loads((DOCS / "slopes.json").read_text())
    measured = json.loads((DOCS / "measurements.json").read_text())
    page = "\n\n".join(_render(slopes, measured))
    (DOCS / "CAPACITY_OWN_INTERFACE.md").write_text(page + "\n")
    print(page)
    return 0


def _render(slopes: dict[str, Any], measured: dict[str, Any]) -> list[str]:
    rows = [
        *_derive_membership(slopes),
        *_derive_journal(slopes, measured),
        *_derive_scheduling(slopes, measured),
        *_derive_configuration(slopes),
        *_derive_memory(slopes, measured),
    ]
    head = [
        "| role | load | today's way | bound | unit | | mechanism at that size | with it |",
        "|---" * 8 + "|",
    ]
    worst = max(rows, key=lambda row: row.current / row.limit)
    return [
        "# Capacity of the own interface",
        "Written by `make capacity` from `docs/slopes.json` and `docs/measurements.json`; both "
        "were measured on one machine with small stand-ins, so the page extrapolates. The size "
        f"is the users': {DAEMONS} daemons, {WORKERS:,} workers, {CALLS_PER_SECOND:,} requests "
        f"and {TOKENS_PER_SECOND:,} tokens a second, {PROGRAMS:,} programs under way, "
        f"{DOMAINS} failure domains in {REGIONS} regions. For control a daemon may spend "
        f"{CORE_LIMIT:.1%} of a core, {MEMORY_LIMIT_MB:.0f} MB and "
        f"{BYTES_PER_SECOND_LIMIT / 1e3:.0f} KB/s; the store takes about "
        f"{STORE_WRITES_PER_SECOND:.0f} writes and {STORE_READS_PER_SECOND:,.0f} reads a second.",
        "None of the mechanisms marked below as carrying a load that does not fit is built yet; "
        "`with it` is worked out from the same slopes.",
        "\n".join(head + [row.render() for row in rows]),
        f"First to break: {worst.role}, {worst.load}, at {worst.current / worst.limit:.0f} times "
        "its bound.",
        "## Measured",
        _render_measured(slopes, measured),
    ]


def _derive_membership(slopes: dict[str, Any]) -> list[Row]:
    ping_cpu = slopes["ping_cpu_us"] * 1e-6
    ping_bytes = slopes["ping_wire_bytes"]
    per_domain = DAEMONS / DOMAINS
    # Pings a second: to each peer in the domain every 2 s, and to one peer in each other domain.
    planned_pings = (per_domain - 1) / 2 + (DOMAINS - 1) / per_domain
    listing = DAEMONS * (slopes["member_object_bytes"] * BASE64_FACTOR + 80)
    return [
        Row(
            "membership",
            "heartbeats, each peer every second",
            (DAEMONS - 1) * ping_cpu,
            CORE_LIMIT,
            "core",
            "heartbeats within the failure domain every 2 s, delegates between domains",
            planned_pings * ping_cpu,
        ),
        Row(
            "membership",
            "heartbeats",
            (DAEMONS - 1) * ping_bytes,
            BYTES_PER_SECOND_LIMIT,
            "bytes/s",
            "the same",
            planned_pings * ping_bytes,
        ),
        Row(
            "membership",
            "listing of members",
            listing / RENEWAL_SECONDS,
            BYTES_PER_SECOND_LIMIT,
            "bytes/s",
            "one watcher a failure domain, changes relayed to its peers",
            REPLACED_PER_DAY * 3 * slopes["member_object_bytes"] / SECONDS_PER_DAY,
        ),
        Row(
            "membership",
            "lease scan, twice a second",
            2 * DAEMONS * slopes["member_scan_us"] * 1e-6,
            CORE_LIMIT,
            "core",
            "none needed",
        ),
        Row(
            "store",
            "lease renewals",
            DAEMONS / RENEWAL_SECONDS,
            STORE_WRITES_PER_SECOND / 4,
            "writes/s",
            "one lease object a failure domain, written by its delegate",
            DOMAINS / RENEWAL_SECONDS,
        ),
        Row(
            "store",
            "listings, instance lists and watches",
            DAEMONS * (1 / RENEWAL_SECONDS + 1.0 + 2 / WATCH_SECONDS),
            STORE_READS_PER_SECOND / 2,
            "reads/s",
            "two watchers a failure domain",
            2 * DOMAINS * (1 / RENEWAL_SECONDS + 1.0 + 2 / WATCH_SECONDS),
        ),
    ]


def _derive_journal(slopes: dict[str, Any], measured: dict[str, Any]) -> list[Row]:
    settings = JournalSettings()
    max_writes = settings.writes_per_second
    calls = CALLS_PER_SECOND / DAEMONS
    turn_bytes = HISTORY_TOKENS / TURNS * BYTES_PER_TOKEN
    call_bytes = slopes["settle_record_bytes"] + turn_bytes
    writer_bytes = CALLS_PER_SECOND / DOMAINS * call_bytes
    per_call = max(m["appends_per_second"] / m["calls_per_second"] for m in _list_loads(measured))
    return [
        Row(
            "owner",
            f"journal appends and deletes, {min(max_writes, calls * per_call):.0f} "
            "a second and entry",
            2 * DAEMONS * min(max_writes, calls * per_call),
            STORE_WRITES_PER_SECOND / 2,
            "writes/s",
            "one journal writer a failure domain, segments of up to 900 kB",
            2 * DOMAINS * max(8.0, writer_bytes / 900_000),
        ),
        Row(
            "owner",
            "journal bytes (data, not control)",
            calls * call_bytes,
            BYTES_PER_SECOND_LIMIT,
            "bytes/s",
            "history by reference: bodies once, on the disks under the data folder; "
            "the journal keeps digests",
            calls * slopes["settle_record_bytes"],
        ),
        Row(
            "owner",
            "encoding of records",
            calls * slopes["settle_encode_us"] * 1e-6,
            CORE_LIMIT,
            "core",
            "none needed",
        ),
        Row(
            "store",
            f"keyed openings, programs of {PROGRAM_SECONDS:.0f} s",
            PROGRAMS / PROGRAM_SECONDS,
            STORE_WRITES_PER_SECOND / 4,
            "writes/s",
            "keys join the journal batch of the domain's writer, looked up by hash",
            0.0,
        ),
    ]


def _derive_scheduling(slopes: dict[str, Any], measured: dict[str, Any]) -> list[Row]:
    read_cpu = _estimate_load_read_seconds(measured)
    home_reads = WORKERS * REGIONS / DAEMONS
    return [
        Row(
            "home of shards",
            "load reads, each region's home reads every worker of its pools",
            home_reads * read_cpu,
            CORE_LIMIT,
            "core",
            "a home a pool and failure domain reads its own workers every second",
            WORKERS / DAEMONS * read_cpu,
        ),
        Row(
            "home of shards",
            "slots acquired and given back (data path)",
            2 * CALLS_PER_SECOND / DAEMONS * slopes["ping_cpu_us"] * 1e-6,
            CORE_LIMIT,
            "core",
            "grants in batches between the entries of a domain, one message each 5 ms",
            200 / 10 * slopes["ping_cpu_us"] * 1e-6,
        ),
    ]


def _estimate_load_read_seconds(measured: dict[str, Any]) -> float:
    """Return the core seconds of one load read, estimated from idle entries.

    Each region reads every worker once a second, regardless of the number of entries. The rest
    of an idle entry's processor time is assumed not to depend on workers.
    """
    few, many = (measured[name]["idle"]["cpu_share"] for name in ENTRIES)
    few_entries, many_entries = map(int, ENTRIES)
    reads_few, reads_many = 9 / few_entries, 9 * 2 / many_entries
    if reads_few == reads_many:
        return few / reads_few
    return max(0.0002, (few - many) / (reads_few - reads_many))


def _derive_configuration(slopes: dict[str, Any]) -> list[Row]:
    change_interval = SECONDS_PER_DAY / CHANGES_PER_DAY
    table_bytes = WORKERS * slopes["worker_row_bytes"]
    return [
        Row(
            "configuration",
            f"a change of tables every {change_interval:.0f} s",
            table_bytes * BASE64_FACTOR / change_interval,
            BYTES_PER_SECOND_LIMIT,
            "bytes/s",
            "relay within the failure domain; rows as objects once the tables pass 300 kB",
            table_bytes / change_interval,
        ),
        Row(
            "configuration",
            "taking a new revision",
            WORKERS * slopes["worker_row_parse_us"] * 1e-6 / change_interval,
            CORE_LIMIT,
            "core",
            "none needed",
        ),
    ]


def _derive_memory(slopes: dict[str, Any], measured: dict[str, Any]) -> list[Row]:
    programs = PROGRAMS / DAEMONS
    resident = measured["8"]["idle"]["resident_mb"]
    series = LimitSettings().metric_series
    state = (
        programs * (slopes["program_bytes"] + TURNS / 2 * slopes["call_bytes"])
        + DAEMONS * slopes["member_bytes"]
        + WORKERS * REGIONS / DAEMONS * slopes["worker_bytes"]
        + series * slopes["histogram_bytes"]
    ) / 1e6
    planned_state = (
        programs * slopes["program_bytes"]
        + DAEMONS * slopes["member_bytes"]
        + 50 * slopes["histogram_bytes"]
    ) / 1e6
    history = programs * HISTORY_TOKENS / 2 * BYTES_PER_TOKEN / 1e6
    return [
        Row(
            "daemon",
            "memory for control",
            resident + state,
            MEMORY_LIMIT_MB,
            "MB",
            "call records of settled turns by reference; 50 histogram series; fewer imports",
            resident + planned_state,
        ),
        Row(
            "owner",
            "history in memory, half of the longest (data, not control)",
            history,
            MEMORY_LIMIT_MB,
            "MB",
            "only the digest and the last turns in memory, the rest on the data disks",
            history / TURNS,
        ),
    ]


def _list_loads(measured: dict[str, Any]) -> list[dict[str, Any]]:
    return [load for name in ENTRIES for load in measured[name]["journal"]]


def _render_measured(slopes: dict[str, Any], measured: dict[str, Any]) -> str:
    lines = ["| figure | " + " | ".join(f"{n} entries" for n in ENTRIES) + " |", "|---" * 3 + "|"]
    for label, read in _FIGURES:
        values = (read(measured[name]) for name in ENTRIES)
        lines.append(f"| {label} | " + " | ".join(f"{value:,.3f}" for value in values) + " |")
    lines += ["", "| slope | value |", "|---|---|"]
    lines += [f"| {name} | {value:,.2f} |" for name, value in slopes.items() if name != "import_mb"]
    lines += ["", "| import, alone | MB resident |", "|---|---|"]
    lines += [f"| {name} | {value:.1f} |" for name, value in slopes["import_mb"].items()]
    return "\n".join(lines)


def _make_latency_ratio(kind: str, percentile: str) -> Any:
    return lambda m: m["latency"][kind][percentile] / m["latency"]["direct"][percentile]


_FIGURES = (
    ("idle entry, share of a core", lambda m: m["idle"]["cpu_share"]),
    ("idle entry, MB resident", lambda m: m["idle"]["resident_mb"]),
    ("idle entry, store reads/s", lambda m: m["idle"]["store_reads_per_second"]),
    ("idle entry, store writes/s", lambda m: m["idle"]["store_writes_per_second"]),
    ("call at its owner over direct, p50 ratio", _make_latency_ratio("local", "p50_ms")),
    ("call at its owner over direct, p99 ratio", _make_latency_ratio("local", "p99_ms")),
    ("forwarded call over direct, p50 ratio", _make_latency_ratio("forwarded", "p50_ms")),
    ("forwarded call over direct, p99 ratio", _make_latency_ratio("forwarded", "p99_ms")),
    ("direct call, p50 ms", lambda m: m["latency"]["direct"]["p50_ms"]),
    ("call at its owner, p50 ms", lambda m: m["latency"]["local"]["p50_ms"]),
    ("journal appends a call, light load", lambda m: _per_call(m["journal"][0])),
    ("journal appends a call, heavy load", lambda m: _per_call(m["journal"][-1])),
    ("calls/s, heavy load", lambda m: m["journal"][-1]["calls_per_second"]),
    ("journal bytes a call", lambda m: m["journal"][-1]["bytes_per_call"]),
    ("entry processor ms a call, heavy load", lambda m: m["journal"][-1]["entry_cpu_ms_per_call"]),
    ("configuration in force, p50 s", lambda m: m["configuration"]["p50_s"]),
    ("configuration in force, max s", lambda m: m["configuration"]["max_s"]),
    ("kill of an owner to its first served call, s", lambda m: m["takeover"]["to_first_call_s"]),
)


def _per_call(load: dict[str, Any]) -> float:
    return load["appends_per_second"] / load["calls_per_second"]


if __name__ == "__main__":
    sys.exit(main())
