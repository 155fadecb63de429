"""Measures running entries: latency, journal, idle cost, configuration changes and takeover.

Writes docs/measurements.json. The figures come from one run on one machine, so only ratios are
comparable.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import psutil
from local_deployment import start_deployment, stop_deployment

from egretford.cli.caller import Caller
from egretford.cli.load import run_load
from egretford.cli.store import apply_tables
from egretford.cli.workload import read_workload

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "docs" / "measurements.json"
IDLE_SECONDS = 10.0
LATENCY_CALLS = 200
MAX_TOKENS = 2
LOADS = (4, 16, 48)
CONFIG_CHANGES = 20
POLL_SECONDS = 0.005
OPENING = {
    "route": "agent-models",
    "tenant": "bench",
    "class": "interactive",
    "budget": {"tokens": 2_000_000, "calls": 2_000, "seconds": 600},
}


def main() -> int:
    """Measure deployments of 2 and 8 entries and write the results."""
    results = {str(count): _measure_deployment(count) for count in (2, 8)}
    OUTPUT.write_text(json.dumps(results, indent=2) + "\n")
    print(json.dumps(results, indent=2))
    return 0


def _measure_deployment(entries: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="egretford-measure-") as folder:
        state = Path(folder)
        try:
            start_deployment(state, entries, "fernhollow")
            deployment = json.loads((state / "local.json").read_text())
            return asyncio.run(_measure(deployment))
        finally:
            stop_deployment(state)


async def _measure(deployment: dict[str, Any]) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=60)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await asyncio.sleep(5.0)
        return {
            "idle": await _measure_idle(session, deployment),
            "latency": await _measure_latency(session, deployment),
            "journal": [await _measure_journal(session, deployment, n) for n in LOADS],
            "configuration": await _measure_configuration(session, deployment),
            "takeover": await _measure_takeover(session, deployment),
        }


async def _get_json(session: aiohttp.ClientSession, url: str) -> Any:
    async with session.get(url) as response:
        return await response.json()


def _list_processes(deployment: dict[str, Any]) -> list[psutil.Process]:
    return [psutil.Process(item["pid"]) for item in deployment["entries"]]


async def _measure_idle(
    session: aiohttp.ClientSession, deployment: dict[str, Any]
) -> dict[str, Any]:
    platform = deployment["platform"]["url"]
    processes = _list_processes(deployment)
    before, cpu_before = await _get_json(session, f"{platform}/counters"), _sum_cpu(processes)
    await asyncio.sleep(IDLE_SECONDS)
    after, cpu_after = await _get_json(session, f"{platform}/counters"), _sum_cpu(processes)
    per_entry = len(processes) * IDLE_SECONDS
    resident = [process.memory_info().rss / 1e6 for process in processes]
    return {
        "cpu_share": (cpu_after - cpu_before) / per_entry,
        "resident_mb": statistics.mean(resident),
        "store_reads_per_second": (after["reads"] - before["reads"]) / per_entry,
        "store_writes_per_second": (after["writes"] - before["writes"]) / per_entry,
    }


def _sum_cpu(processes: list[psutil.Process]) -> float:
    return sum(sum(process.cpu_times()[:2]) for process in processes)


async def _measure_latency(
    session: aiohttp.ClientSession, deployment: dict[str, Any]
) -> dict[str, Any]:
    entries = [item["url"] for item in deployment["entries"]]
    engine = deployment["engines"][0]["url"]
    local = await Caller(session, entries[:1]).open(OPENING, "latency-local")
    forwarded = await Caller(session, entries[:1]).open(OPENING, "latency-forwarded")
    forwarded.caller = Caller(session, entries[1:2])
    times: dict[str, list[float]] = {"direct": [], "local": [], "forwarded": []}
    for number in range(LATENCY_CALLS):
        text = f"message {number}"
        times["direct"].append(await _measure_seconds(_call_engine(session, engine, text)))
        times["local"].append(await _measure_seconds(_call_program(local, text)))
        times["forwarded"].append(await _measure_seconds(_call_program(forwarded, text)))
    return {name: _summarise(values) for name, values in times.items()}


async def _measure_seconds(awaitable: Any) -> float:
    started = time.perf_counter()
    await awaitable
    return time.perf_counter() - started


async def _call_engine(session: aiohttp.ClientSession, engine: str, text: str) -> None:
    body = {
        "messages": [{"role": "user", "content": text}],
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    async with session.post(f"{engine}/v1/chat/completions", json=body) as response:
        await response.read()


async def _call_program(program: Any, text: str) -> None:
    body = {
        "kind": "model",
        "max_tokens": MAX_TOKENS,
        "messages": [{"role": "user", "content": text}],
    }
    await program.call(body)


def _summarise(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50_ms": 1e3 * ordered[len(ordered) // 2],
        "p99_ms": 1e3 * ordered[int(len(ordered) * 0.99)],
    }


async def _measure_journal(
    session: aiohttp.ClientSession, deployment: dict[str, Any], concurrency: int
) -> dict[str, Any]:
    platform = deployment["platform"]["url"]
    entries = [item["url"] for item in deployment["entries"]]
    processes = _list_processes(deployment)
    before = await _get_json(session, f"{platform}/counters")
    written_before, cpu_before = await _sum_written(session, entries), _sum_cpu(processes)
    report = await run_load(
        read_workload(ROOT / "examples" / "fernhollow" / "workload.json"),
        entries=entries,
        services=[],
        programs=concurrency * 4,
        concurrency=concurrency,
        seed=concurrency,
        show_progress=False,
    )
    after = await _get_json(session, f"{platform}/counters")
    written_after, cpu_after = await _sum_written(session, entries), _sum_cpu(processes)
    calls = report.verdicts["ran"]
    appends = written_after[0] - written_before[0]
    return {
        "concurrency": concurrency,
        "whole": report.whole,
        "programs": report.programs,
        "calls_per_second": calls / report.seconds,
        "appends_per_second": appends / report.seconds,
        "store_writes_per_second": (after["writes"] - before["writes"]) / report.seconds,
        "bytes_per_call": (written_after[1] - written_before[1]) / calls,
        "entry_cpu_ms_per_call": 1e3 * (cpu_after - cpu_before) / calls,
        "segments_in_store": after["objects"],
    }


async def _sum_written(session: aiohttp.ClientSession, entries: list[str]) -> tuple[int, int]:
    journals = [(await _get_json(session, f"{url}/v1/status"))["journal"] for url in entries]
    return sum(j["appends"] for j in journals), sum(j["bytes_written"] for j in journals)


async def _measure_configuration(
    session: aiohttp.ClientSession, deployment: dict[str, Any]
) -> dict[str, float]:
    platform = deployment["platform"]["url"]
    entries = [item["url"] for item in deployment["entries"]]
    times = []
    for _ in range(CONFIG_CHANGES):
        revision = await apply_tables(platform, lambda tables: tables, None)
        started = time.perf_counter()
        times += await asyncio.gather(
            *(_wait_for_revision(session, url, revision, started) for url in entries)
        )
    return {"p50_s": statistics.median(times), "max_s": max(times)}


async def _wait_for_revision(
    session: aiohttp.ClientSession, url: str, revision: int, started: float
) -> float:
    while True:
        status = await _get_json(session, f"{url}/v1/status")
        if status["configuration"]["revision"] >= revision:
            return time.perf_counter() - started
        await asyncio.sleep(POLL_SECONDS)


async def _measure_takeover(
    session: aiohttp.ClientSession, deployment: dict[str, Any]
) -> dict[str, float]:
    """Kill the first entry and measure the time until a call of one of its programs is served."""
    entries = [item["url"] for item in deployment["entries"]]
    program = await Caller(session, entries[:1]).open(OPENING, "takeover")
    await _call_program(program, "before")
    os.kill(deployment["entries"][0]["pid"], signal.SIGKILL)
    program.caller = Caller(session, entries[1:])
    return {"to_first_call_s": await _measure_seconds(_call_program(program, "after"))}


if __name__ == "__main__":
    sys.exit(main())
