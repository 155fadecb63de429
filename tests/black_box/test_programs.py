"""The programs of the black-box soak against each other: the caller finds what a worker breaks."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from scripts.local_deployment import find_ports
from tests.platform.sites import HOST, ExpiringStore, make_configuration

FOLDER = Path(__file__).parent
SITE = "fernhollow"
SECONDS = 4


@asynccontextmanager
async def run_worker(folder: Path, troubles: str) -> AsyncIterator[tuple]:
    """Start an engine that registers itself; yields its process and address (IP:PORT)."""
    store, address = ExpiringStore(), f"127.0.0.1:{find_ports(1)[0]}"
    await store.start()
    with (folder / "worker.log").open("wb") as log:
        worker = await asyncio.create_subprocess_exec(
            *(sys.executable, "worker.py", "--id", "i-1", "--service", "agent-models", "--engine"),
            *("--address", address, "--zone", "cascadia-a", "--version", "v1", "--seed", "3"),
            *("--store", store.address, "--troubles", troubles, "--drain-ms", "100"),
            *("--record", str(folder / "w.record")),
            cwd=FOLDER,
            stderr=log,
        )
    try:
        async with asyncio.timeout(20):
            while not store.heard:
                await asyncio.sleep(0.05)
        yield worker, address
    finally:
        if worker.returncode is None:
            worker.kill()
            await worker.wait()
        await store.close()


async def play(folder: Path, troubles: str) -> tuple[int, str]:
    """Let a caller ask one engine directly; returns its exit status and output."""
    routes = folder / "routes.json"
    document = make_configuration(SITE, 3, 0)
    # A worker by itself keeps no turns.
    document["routes"] = [route for route in document["routes"] if route.get("resumable")]
    routes.write_text(json.dumps(document))
    async with run_worker(folder, troubles) as (_, address):
        caller = await asyncio.create_subprocess_exec(
            *(sys.executable, "caller.py", "--fronts", address, "--host", HOST, "--seed", "3"),
            *("--routes", str(routes), "--seconds", str(SECONDS), "--programs", "4"),
            *("--record", str(folder / "c.record")),
            cwd=FOLDER,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await caller.communicate()
    return caller.returncode, output.decode()


# Guards against a soak that takes the end of a sound worker with open connections for a fault.
async def test_a_worker_that_leaves_closes_its_connections_without_an_error(tmp_path):
    async with run_worker(tmp_path, "forms=0") as (worker, address):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: worker\r\n\r\n")
        assert await reader.readuntil(b"\r\n\r\n")
        worker.terminate()
        assert await asyncio.wait_for(worker.wait(), 20) == 0
        writer.close()
    assert (tmp_path / "worker.log").read_text() == ""


# Guards against a soak that overlooks what breaks the order of a stream.
@pytest.mark.parametrize(
    ("trouble", "tag"),
    [
        ("text", "text"),
        ("skip", "missing"),
        ("later", "missing"),
        ("truncate", "short"),
        ("surplus", "text"),
        ("late", "other-id"),
    ],
)
async def test_a_caller_finds_what_a_worker_breaks(trouble, tag, tmp_path):
    status, output = await play(tmp_path, f"{trouble}=0.5")
    assert status == 1
    assert any(line.split()[2:3] == [tag] for line in output.splitlines()), output


# Guards against a soak that finds faults in sound responses of unusual forms.
async def test_a_caller_finds_nothing_in_sound_responses(tmp_path):
    status, output = await play(tmp_path, "forms=0.6,preempted=0.1,unframed=0.1")
    assert status == 0, output
