"""Measures the latency and processor time that an entry adds to a request.

The entry, keepers, workers and callers run in one process on the loopback address, so only the
differences between rows are meaningful. The rows are a call sent directly to a worker, the same
call through an entry, a turn sent directly to a worker, and a turn through an entry, which also
reserves its budget and stores the turn at the keepers.
"""

from __future__ import annotations

import asyncio
import logging
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import structlog

from tests.platform.deployment import run_deployment
from tests.platform.standins import Caller

REQUESTS = 400
WARM_UP_REQUESTS = 40


async def measure(ask: Callable[[int], Awaitable[None]]) -> tuple[float, float, float]:
    """Return the p50 and p99 latency and the processor time of a request, in milliseconds."""
    for number in range(WARM_UP_REQUESTS):
        await ask(-1 - number)
    times = []
    processor_seconds = time.process_time()
    for number in range(REQUESTS):
        started = time.perf_counter()
        await ask(number)
        times.append(time.perf_counter() - started)
    processor_seconds = time.process_time() - processor_seconds
    times.sort()
    percentiles = (times[len(times) // 2], times[len(times) * 99 // 100])
    return (*(value * 1_000 for value in percentiles), processor_seconds / REQUESTS * 1_000)


async def main() -> None:
    """Print one row for each kind of request."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
    with tempfile.TemporaryDirectory() as folder:
        async with run_deployment(Path(folder), entries=1) as deployment:
            entry = deployment.callers[0]
            service = Caller(deployment.worker("b-1").address)
            engine = Caller(deployment.worker("m-1").address)

            def make_call(caller: Caller, name: str):
                async def ask(number: int) -> None:
                    answer = await caller.ask("/ping/1", method="GET", request_id=f"{name}{number}")
                    assert answer.status == 200

                return ask

            def make_turn(caller: Caller, name: str):
                async def ask(number: int) -> None:
                    answer = await caller.ask(
                        "/chat/1",
                        body=b"x" * 1_700,
                        request_id=f"{name}{number}",
                        Program_Id=f"{name}{number}",
                        Session_Id="s",
                        Token_Budget="1000",
                        Token_Usage="100,50",
                    )
                    assert answer.is_complete

                return ask

            print(f"{'ms':34}{'p50':>8}{'p99':>8}{'processor':>11}")
            for title, ask in (
                ("a call, straight to the worker", make_call(service, "d")),
                ("a call, through the entry", make_call(entry, "e")),
                ("a turn, straight to the worker", make_turn(engine, "f")),
                ("a turn, through entry and keepers", make_turn(entry, "g")),
            ):
                row = await measure(ask)
                print(f"{title:34}{row[0]:8.2f}{row[1]:8.2f}{row[2]:11.2f}")


if __name__ == "__main__":
    asyncio.run(main())
