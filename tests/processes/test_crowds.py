"""Crowds of clients outside the limits: an entry lives, stays within its memory and answers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from attrs import Factory, define

from tests.platform.deployment import ZONES, find_free_port, make_configuration
from tests.platform.standins import Caller, StoreStandin, WorkerStandin
from tests.soak.processes import ROOT, SETTINGS

# Memory of the smallest machine of an entry, in kilobytes.
MEMORY_KB = 128_000
# Descriptors of the process in the tests on descriptors.
DESCRIPTORS = 256
MIB = 1_048_576
POST = b"POST /ping/1 HTTP/1.1\r\nHost: farm.example\r\nRequest-Id: c\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNKS = CHUNKED + (b"10000\r\n" + b"x" * 65_536 + b"\r\n") * 63
SMALL_CHUNKS = CHUNKED + b"8\r\n12345678\r\n" * 300_000
SHORT_BODY = POST + b"Content-Length: 4194304\r\n\r\n" + b"x" * (4 * MIB - 304)
HEAD = b"GET /ping/1 HTTP/1.1\r\nHost: farm.example\r\n"
GET_LARGE = HEAD.replace(b"/1", b"/large", 1) + b"Request-Id: c\r\n\r\n"
AHEAD = POST + b"Content-Length: 60000\r\n\r\n" + b"x" * 60_000
# What each client of a crowd sends before it stays open, and how many there are.
CROWDS = {
    "large chunks": (LARGE_CHUNKS, 60),
    "small chunks": (SMALL_CHUNKS, 60),
    "short body": (SHORT_BODY, 60),
    "header fields": (HEAD + b"a:b\r\n" * 200_000, 300),
    "a long field": (HEAD + b"a: " + b"x" * MIB, 100),
    "empty lines": (b"\r\n" * 500_000, 100),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 200_000, 100),
    "requests ahead": (HEAD + b"\r\n" + AHEAD * 60, 100),
}


@define
class EntryProcess:
    """A real entry with a stand-in of the store and one worker; `limits` go into its settings."""

    folder: Path
    limits: dict
    descriptors: int | None = None
    store: StoreStandin = Factory(StoreStandin)
    worker: WorkerStandin = Factory(
        lambda: WorkerStandin("b-1", "booking", "north-a", engine=False)
    )
    address: str = ""
    process: subprocess.Popen | None = None

    async def start(self) -> None:
        await self.store.start()
        await self.worker.start()
        self.store.put("config", "main", make_configuration(**self.limits))
        self.store.put("servers", self.worker.id, self.worker.describe())
        front, ready, peer_port = (find_free_port() for _ in range(3))
        self.address = f"127.0.0.1:{front}"
        path = self.folder / "node.toml"
        path.write_text(
            SETTINGS.format(
                **{"name": "entry-1", "role": "entry", "zone": "north-a", "region": "north"},
                zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
                **{"peer_port": peer_port, "front": front, "ready": ready, "tolerated": 1},
                **{"data": self.folder / "data", "store": self.store.address},
            )
        )
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220
                [sys.executable, "-m", "egretford.cli.main", "entry"],
                **{"cwd": ROOT, "env": {**os.environ, "EGRETFORD_BOOT": str(path)}},
                **{"stdout": log, "stderr": log, "preexec_fn": self._limit_descriptors},
            )
        async with asyncio.timeout(30):
            while not await self.is_answering():
                await asyncio.sleep(0.1)

    def _limit_descriptors(self) -> None:
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    async def is_answering(self) -> bool:
        with contextlib.suppress(Exception):
            answer = await Caller(self.address).ask("/ping/1", method="GET", deadline_ms=3000)
            return answer.status == 200
        return False

    async def require_answer(self) -> None:
        """Check that an ordinary request is answered; it may be sent again, as callers do."""
        async with asyncio.timeout(60):
            while not await self.is_answering():
                assert self.process.poll() is None
                await asyncio.sleep(0.2)

    @property
    def peak_kb(self) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1])

    @property
    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def close(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        await self.worker.close()
        await self.store.close()


@contextlib.asynccontextmanager
async def run_entry(folder: Path, descriptors: int | None = None, **limits):
    entry = EntryProcess(folder, limits, descriptors)
    try:
        await entry.start()
        yield entry
    finally:
        await entry.close()


@define
class Crowd:
    """Clients that each send the same and stay open.

    With `returns`, a closed one comes back; without `reads`, they leave their responses unread.
    """

    address: str
    data: bytes
    returns: bool = False
    reads: bool = True
    sent: int = 0
    _tasks: list[asyncio.Task] = Factory(list)

    async def join(self, size: int) -> None:
        """Start the clients; returns once each has sent all, or was closed before."""
        self._tasks = [asyncio.create_task(self._stay()) for _ in range(size)]
        async with asyncio.timeout(120):
            while self.sent < size and not all(task.done() for task in self._tasks):
                await asyncio.sleep(0.05)

    async def _connect(self):
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if not self.reads:
            # Else the kernel takes a response that nobody reads.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock)

    async def _stay(self) -> None:
        is_first = True
        while is_first or self.returns:
            writer = None
            with contextlib.suppress(OSError):
                reader, writer = await self._connect()
                writer.write(self.data)
                with contextlib.suppress(OSError):
                    await writer.drain()
            self.sent += is_first
            is_first = False
            if writer is not None and not self.reads:
                await asyncio.sleep(600)
            if writer is not None:
                with contextlib.suppress(OSError):
                    while await reader.read(65_536):
                        pass
                writer.transport.abort()
            await asyncio.sleep(0.05)

    async def leave(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@define
class StalledCrowd(Crowd):
    """Clients that each read the beginning of a response, and nothing after that.

    Up to `at_once` ask at a time.
    """

    reads: bool = False
    at_once: int = 1
    _asking: asyncio.Semaphore = Factory(lambda self: asyncio.Semaphore(self.at_once), True)

    async def _stay(self) -> None:
        while True:
            writer = None
            with contextlib.suppress(OSError):
                async with self._asking:
                    reader, writer = await self._connect()
                    writer.write(self.data)
                    is_answered = await reader.read(12) == b"HTTP/1.1 200"
                if is_answered:
                    self.sent += 1
                    await asyncio.sleep(600)
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def run_crowd(address: str, data: bytes, size: int, kind: type[Crowd] = Crowd, **more):
    crowd = kind(address, data, **more)
    try:
        await crowd.join(size)
        yield crowd
    finally:
        await crowd.leave()


# Guards against a process that runs out of memory as the requests of many clients add up.
@pytest.mark.parametrize("name", CROWDS)
async def test_a_crowd_ends_no_process(tmp_path, name):
    data, size = CROWDS[name]
    async with run_entry(tmp_path) as entry, run_crowd(entry.address, data, size):
        await entry.require_answer()
        assert entry.process.poll() is None
        assert entry.peak_kb < MEMORY_KB


# Guards against a process without descriptors for ordinary callers and workers, while clients that
# say nothing, or stop in a head, hold them all.
@pytest.mark.parametrize("data", [b"", HEAD], ids=["silent", "in a head"])
async def test_a_crowd_leaves_descriptors(tmp_path, data):
    # Clients that are closed by a timeout would let others in.
    limits = {"header_timeout_ms": 120_000, "idle_timeout_ms": 120_000}
    async with (
        run_entry(tmp_path, DESCRIPTORS, **limits) as entry,
        run_crowd(entry.address, data, 2 * DESCRIPTORS),
    ):
        await entry.require_answer()
        assert entry.process.poll() is None
        assert entry.open_descriptors < DESCRIPTORS


def answer_large(size: int):
    async def answer(worker, arrival, responder) -> bool:
        if arrival.http.path != b"/ping/large":
            return False
        responder.send_response(200, worker.sign(arrival.request_id), b"x" * size)
        return True

    return answer


# Guards against a burst of connections that has all descriptors before any of them is closed.
async def test_a_crowd_that_comes_at_once_leaves_descriptors(tmp_path):
    async with (
        run_entry(tmp_path, DESCRIPTORS) as entry,
        run_crowd(entry.address, HEAD, 2 * DESCRIPTORS),
    ):
        await entry.require_answer()
        assert "Too many open files" not in (tmp_path / "log").read_text()


# Guards against a process that runs out of memory for responses that many clients do not read.
@pytest.mark.parametrize(("size", "clients"), [(7 * MIB, 60), (300_000, 1_000)])
async def test_a_crowd_that_reads_nothing_ends_no_process(tmp_path, size, clients):
    async with run_entry(tmp_path) as entry:
        entry.worker.script = answer_large(size)
        async with run_crowd(entry.address, GET_LARGE, clients, reads=False):
            # By then each has its response, or was closed.
            await asyncio.sleep(10)
            await entry.require_answer()
            assert entry.process.poll() is None
            assert entry.peak_kb < MEMORY_KB


# Guards against a process whose connections and memory are all held by clients that stop reading.
@pytest.mark.parametrize("at_once", [1, DESCRIPTORS // 2])
async def test_a_crowd_that_stops_reading_ends_no_process(tmp_path, at_once):
    size = DESCRIPTORS // 2
    async with run_entry(tmp_path, DESCRIPTORS) as entry:
        entry.worker.script = answer_large(7 * MIB)
        crowd = {"kind": StalledCrowd, "at_once": at_once}
        async with run_crowd(entry.address, GET_LARGE, size, **crowd):
            await entry.require_answer()
            assert entry.process.poll() is None
            assert entry.open_descriptors < DESCRIPTORS
            assert entry.peak_kb < MEMORY_KB


# Guards against a limit on the sum that refuses a single request inside the limits.
async def test_one_request_of_full_size_is_served(tmp_path):
    async with run_entry(tmp_path) as entry:
        answer = await Caller(entry.address).ask("/ping/1", body=b"x" * 4 * MIB)
        assert answer.status == 200
        assert entry.peak_kb < MEMORY_KB
