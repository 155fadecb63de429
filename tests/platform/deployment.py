"""A complete deployment in one event loop: keepers, entries and stand-ins of the platform."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from pathlib import Path

from egretford.clock import SystemClock
from egretford.entry.daemon import EntryDaemon
from egretford.instance import DeploymentBounds, InstanceSettings
from egretford.keeper.daemon import KeeperDaemon
from egretford.metrics import Metrics
from scripts.local_deployment import find_ports
from tests.platform.standins import Caller, StoreStandin, WorkerStandin

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
BOUNDS = DeploymentBounds(stop_grace=8.0)


def find_free_port() -> int:
    (port,) = find_ports(1)
    return port


def make_settings(name: str, zone: str, store: str, **changes) -> InstanceSettings:
    values = dict(
        name=name,
        ip="127.0.0.1",
        failure_domain=zone,
        region=ZONES[zone],
        regions=ZONES,
        peer_port=find_free_port(),
        store_address=store,
        bounds=BOUNDS,
        tolerated_losses=1,
        first_start=True,
    )
    return InstanceSettings(**(values | changes))


def make_configuration(version: int = 3, **limits) -> dict:
    def route(name, prefix, kind, upstream, **more):
        return {
            "name": name,
            "hostname": "farm.example",
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 300,
            "priority": 1,
            "backend": upstream,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("chat", "/chat/", "streaming", "models", attempts=1, retain=True, retention_s=60),
            route("plan", "/plan/", "streaming", "models", attempts=1, resumable=True),
            route("tell", "/tell/", "streaming", "models", attempts=1),
            route("ping", "/ping/", "safe", "booking", attempts=3),
            route("book", "/book/", "unsafe", "booking", attempts=1),
        ],
        "services": [
            {
                "name": "models",
                "health_path": "/healthz",
                "max_connections": 160,
                "engine": {"slots": 8, "kv_capacity": 400_000, "tokens_per_event": 10},
            },
            {"name": "booking", "health_path": "/healthz", "max_connections": 110},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        | limits,
    }


class Deployment:
    """Three keepers, `entries` entries (two by default), and two workers of each upstream."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.workers = [
            WorkerStandin("m-1", "models", "north-a", engine=True),
            WorkerStandin("m-2", "models", "north-b", engine=True),
            WorkerStandin("b-1", "booking", "north-a", engine=False),
            WorkerStandin("b-2", "booking", "north-b", engine=False),
        ]
        self.keepers: dict[str, KeeperDaemon] = {}
        self.keeper_settings: dict[str, InstanceSettings] = {}
        self.entries: list[EntryDaemon] = []
        self.callers: list[Caller] = []

    async def start(self, entries: int = 2) -> None:
        await self.store.start()
        self.store.put("config", "main", make_configuration())
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.id, worker.describe())
        for number, zone in enumerate(ZONES, 1):
            await self.start_keeper(f"keeper-{number}", zone)
        for number in range(entries):
            await self.start_entry(f"entry-{number + 1}", list(ZONES)[number])
        await self.wait_until(lambda: all(entry.is_ready for entry in self.entries))
        await self.wait_until(lambda: self.view_size() == 3 and self.count_ready() == 3)

    def view_size(self) -> int:
        found = self.store.objects.get(("keeper-views", "current"))
        members = found["spec"]["members"] if found else []
        return sum(member["state"] == "active" for member in members)

    def count_ready(self) -> int:
        return sum(keeper.is_ready for keeper in self.keepers.values())

    async def start_keeper(self, name: str, zone: str | None = None) -> KeeperDaemon:
        if name not in self.keeper_settings:
            self.keeper_settings[name] = make_settings(
                name, zone, self.store.address, data_folder=str(self.folder / name)
            )
        keeper = KeeperDaemon(self.keeper_settings[name], SystemClock(), Metrics())
        await keeper.start()
        self.keepers[name] = keeper
        return keeper

    async def stop_keeper(self, name: str) -> None:
        await self.keepers.pop(name).close()

    async def start_entry(self, name: str, zone: str) -> EntryDaemon:
        settings = make_settings(
            name,
            zone,
            self.store.address,
            callers_address=f"127.0.0.1:{find_free_port()}",
            readiness_address=f"127.0.0.1:{find_free_port()}",
        )
        entry = EntryDaemon(settings, SystemClock(), random.Random(5), Metrics())
        await entry.start()
        self.entries.append(entry)
        self.callers.append(Caller(settings.callers_address))
        return entry

    async def restart_all(self) -> None:
        """End all entries and keepers, and start them again on their disks."""
        count = len(self.entries)
        for entry in self.entries:
            await entry.close()
        self.entries.clear()
        self.callers.clear()
        for name in list(self.keepers):
            await self.stop_keeper(name)
        for name in self.keeper_settings:
            await self.start_keeper(name)
        for number in range(count):
            await self.start_entry(f"entry-{number + 1}", list(ZONES)[number])
        await self.wait_until(lambda: all(entry.is_ready for entry in self.entries))

    async def wait_until(self, condition, seconds: float = 10.0) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_until_streams_are_known(self) -> None:
        """Wait until entries know of all streams that may be resumed, also without a record.

        They count from when they learnt which keepers are active, up to a second after these.
        """
        await self.wait_until(
            lambda: all(len(entry._keepers.view.active) == 3 for entry in self.entries)
        )
        await asyncio.sleep(4.5)

    def arrivals(self, request_id: str):
        return [a for w in self.workers for a in w.arrivals if a.request_id == request_id]

    def worker(self, worker_id: str) -> WorkerStandin:
        return next(worker for worker in self.workers if worker.id == worker_id)

    async def close(self) -> None:
        for entry in self.entries:
            await entry.close()
        for keeper in self.keepers.values():
            await keeper.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()


@asynccontextmanager
async def run_deployment(folder: Path, entries: int = 2):
    deployment = Deployment(folder)
    try:
        await deployment.start(entries)
        yield deployment
    finally:
        await deployment.close()
