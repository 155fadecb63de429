"""Measures the cost to an entry of each additional program, worker, member, tenant or message.

Writes docs/slopes.json, from which scripts/derive_capacity.py generates
docs/CAPACITY_OWN_INTERFACE.md.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import structlog

from egretford.codec import encode_bytes, to_json
from egretford.metrics import Metrics
from egretford.models import (
    Budget,
    CallKind,
    Member,
    Pool,
    PoolKind,
    Route,
    Tables,
    Urgency,
    Usage,
    Worker,
)
from egretford.peer.messages import Ping, Pong, Request
from egretford.peer.sockets import PeerClient, PeerServer
from egretford.policy.configuration import merge_tables
from egretford.policy.membership import LeaseTimes, Membership
from egretford.policy.placement import WorkerState
from egretford.policy.program import ProgramTable
from egretford.policy.records import Batch, CallSettled, ProgramOpened, Verdict
from egretford.policy.segments import measure_record

OUTPUT = Path(__file__).resolve().parent.parent / "docs" / "slopes.json"
PINGS = 2_000
PAGE_BYTES = 4_096
NOW = datetime(2026, 1, 1, tzinfo=UTC)
IMPORTS = (
    "blacksheep",
    "uvicorn",
    "aiohttp",
    "pynng",
    "cattrs.preconf.msgpack",
    "structlog",
    "statsd",
    "hdrh.histogram",
    "json5",
    "egretford.daemon",
    "typer",
)


def main() -> int:
    """Measure all costs and write them to the output file."""
    slopes = {
        "program_bytes": _measure_memory(lambda n: _build_programs(n, 0, 0), 2_000),
        "call_bytes": _measure_call_memory(0),
        "history_bytes_per_byte": (_measure_call_memory(4_000) - _measure_call_memory(0)) / 4_000,
        "member_bytes": _measure_memory(_build_members, 400),
        "worker_bytes": _measure_memory(_build_workers, 1_500),
        "histogram_bytes": _measure_memory(_build_histograms, 200),
        "ping_cpu_us": asyncio.run(_measure_pings()),
        "ping_wire_bytes": _measure_ping_bytes(),
        "member_object_bytes": len(encode_bytes(_build_member(0))),
        "member_scan_us": _measure_member_scan(),
        "settle_record_bytes": measure_record(_build_settled("p", 1, 0)),
        "settle_encode_us": _measure_encoding(),
        "worker_row_bytes": _measure_worker_row(),
        "worker_row_parse_us": _measure_table_parse(),
        "import_mb": {name: _measure_import(name) for name in IMPORTS},
    }
    OUTPUT.write_text(json.dumps(slopes, indent=2) + "\n")
    print(json.dumps(slopes, indent=2))
    return 0


def _measure_memory(build: Callable[[int], Any], count: int) -> float:
    """Return the bytes per item of the object that `build(count)` returns."""
    build(2)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build(count)
    size_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return size_bytes / count


def _build_programs(count: int, calls: int, size: int) -> ProgramTable:
    table = ProgramTable()
    for number in range(count):
        program = f"{number:016x}-{number}"
        budget = Budget(10_000, 100, 100.0)
        opened = ProgramOpened(
            program, f"route-{number}", f"tenant-{number}", Urgency.BATCH, budget, None, NOW, 512
        )
        table.apply(opened)
        for call in range(1, calls + 1):
            table.apply(_build_settled(program, call, size))
    return table


def _build_settled(program: str, call: int, size: int) -> CallSettled:
    return CallSettled(
        program=program,
        call=call,
        kind=CallKind.MODEL,
        fingerprint=f"{call:032x}",
        messages=[{"role": "user", "content": f"{call}" + "x" * size}],
        answer={"role": "assistant", "content": f"{call}"},
        verdict=Verdict.RAN,
        usage=Usage(100 + call, 100, 100),
        charged_tokens=1_000 + call,
        worker="agent-models-1",
    )


def _measure_call_memory(size: int) -> float:
    with_calls = _measure_memory(lambda n: _build_programs(n, 10, size), 500)
    without = _measure_memory(lambda n: _build_programs(n, 0, 0), 500)
    return (with_calls - without) / 10


def _build_member(number: int) -> Member:
    name = f"{number:016x}"
    address = f"tcp://127.0.0.1:{number + 1}"
    return Member(name, name, address, f"domain-{number % 16}", "region", f"entry-{number}", NOW)


def _build_members(count: int) -> Membership:
    membership = Membership(_build_member(count), LeaseTimes())
    for number in range(count):
        membership.record_heartbeat(_build_member(number), 0.0)
    return membership


def _measure_member_scan() -> float:
    """Return the microseconds per member of one check of all leases."""
    membership = _build_members(380)
    started = time.process_time()
    for _ in range(20):
        membership.list_takeovers(1.0)
        membership.list_live(1.0)
    return (time.process_time() - started) / 20 / 380 * 1e6


def _build_workers(count: int) -> list[WorkerState]:
    return [WorkerState(Worker(f"worker-{n}", f"http://{n}", "domain"), 8) for n in range(count)]


def _build_histograms(count: int) -> Metrics:
    metrics = Metrics(max_series=count)
    for number in range(count):
        metrics.record_seconds("call", f"tenant-{number}", "urgent", random.random())
    return metrics


async def _measure_pings() -> float:
    """Return the processor time of one exchange in microseconds, for both sides together."""
    member = _build_member(0)

    async def answer(message: Ping) -> Pong:
        return Pong(message.member, message.revision)

    server = PeerServer("tcp://127.0.0.1:0", answer, structlog.get_logger())
    await server.start()
    client = PeerClient()
    try:
        started = 0.0
        for number in range(PINGS + 100):
            if number == 100:
                started = time.process_time()
            await client.ask(server.address, Ping(member, 1), 5.0)
        return (time.process_time() - started) / PINGS * 1e6
    finally:
        await client.close()
        await server.close()


def _measure_ping_bytes() -> int:
    """Return the bytes of a ping and its answer, including TCP/IP and socket framing."""
    framing = 2 * (8 + 4 + 40) + 40
    ping = encode_bytes(Ping(_build_member(0), 1), Request)
    return 2 * len(ping) + framing


def _measure_encoding() -> float:
    batch = Batch("b", [_build_settled("p", n, 400) for n in range(50)])
    started = time.process_time()
    for _ in range(40):
        encode_bytes(batch)
    return (time.process_time() - started) / 40 / 50 * 1e6


def _build_tables(workers: int) -> Tables:
    rows = [Worker(f"worker-{n}", f"http://10.0.0.1:{n}", f"d-{n % 16}") for n in range(workers)]
    return Tables([Route("route", "pool")], [Pool("pool", PoolKind.ENGINE, rows)])


def _measure_worker_row() -> float:
    return len(json.dumps(to_json(_build_tables(1_500)))) / 1_500


def _measure_table_parse() -> float:
    """Return the microseconds per worker row that merging a new revision of the tables takes."""
    raw = to_json(_build_tables(1_500))
    started = time.process_time()
    merge_tables(raw, Tables())
    return (time.process_time() - started) / 1_500 * 1e6


def _measure_import(name: str) -> float:
    """Return the resident megabytes that one import adds to a new interpreter."""
    return round(_measure_resident(f"import {name}") - _measure_resident("pass"), 1)


def _measure_resident(statement: str) -> float:
    code = f"{statement}\nprint(open('/proc/self/statm').read().split()[1])"
    command = [sys.executable, "-c", code]
    pages = int(subprocess.run(command, check=True, capture_output=True, text=True).stdout)
    return pages * PAGE_BYTES / 1e6


if __name__ == "__main__":
    sys.exit(main())
