"""Limits on the memory and CPU time of an idle entry."""

import asyncio

import psutil
import pytest

from tests.processes.deployment import Deployment

MEMORY_LIMIT_BYTES = 64e6
# Share of one CPU core.
CORE_LIMIT = 0.033
MEASURED_SECONDS = 10.0


@pytest.fixture
def deployment(tmp_path):
    running = Deployment.start(tmp_path, entries=2)
    yield running
    running.close()


async def test_idle_entry_stays_within_its_bounds(deployment):
    processes = [psutil.Process(item["pid"]) for item in deployment.started["entries"]]
    await asyncio.sleep(2.0)
    before = [sum(process.cpu_times()[:2]) for process in processes]
    await asyncio.sleep(MEASURED_SECONDS)
    for process, used in zip(processes, before, strict=True):
        share = (sum(process.cpu_times()[:2]) - used) / MEASURED_SECONDS
        assert process.memory_info().rss < MEMORY_LIMIT_BYTES
        assert share < CORE_LIMIT
