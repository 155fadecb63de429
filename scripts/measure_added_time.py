"""Measures what an entry adds to a request: time, and processor time.

Entry, keepers, workers and callers run in one process on the loopback address, so that only
the differences between rows mean something: a call straight to a worker, the same call through
an entry, a turn straight to a worker, and a turn that is reserved and kept as well.
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
WARM_UP = 40


async def measure(ask: Callable[[int], Awaitable[None]]) -> tuple[float, float, float]:
    """Return p50, p99 and processor time of a request, in milliseconds."""
    for number in range(WARM_UP):
        await ask(-1 - number)
    times = []
    used = time.process_time()
    for number in range(REQUESTS):
        started = time.perf_counter()
        await ask(number)
        times.append(time.perf_counter() - started)
    used = time.process_time() - used
    times.sort()
    percentiles = (times[len(times) // 2], times[len(times) * 99 // 100])
    return (*(value * 1_000 for value in percentiles), used / REQUESTS * 1_000)


async def main() -> None:
    """Print a row a kind of request."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
    with tempfile.TemporaryDirectory() as folder:
        async with run_deployment(Path(folder), entries=1) as deployment:
            entry = deployment.callers[0]
            service = Caller(deployment.worker("b-1").address)
            engine = Caller(deployment.worker("m-1").address)

            def call(caller: Caller, name: str):
                async def ask(number: int) -> None:
                    answer = await caller.ask("/ping/1", method="GET", request_id=f"{name}{number}")
                    assert answer.status == 200

                return ask

            def turn(caller: Caller, name: str):
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
                    assert answer.whole

                return ask

            print(f"{'ms':34}{'p50':>8}{'p99':>8}{'processor':>11}")
            for title, ask in (
                ("a call, straight to the worker", call(service, "d")),
                ("a call, through the entry", call(entry, "e")),
                ("a turn, straight to the worker", turn(engine, "f")),
                ("a turn, through entry and keepers", turn(entry, "g")),
            ):
                row = await measure(ask)
                print(f"{title:34}{row[0]:8.2f}{row[1]:8.2f}{row[2]:11.2f}")


if __name__ == "__main__":
    asyncio.run(main())
