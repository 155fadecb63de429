"""The real programs as separate processes, behind proxies, with stand-ins around them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
from pathlib import Path

from attrs import Factory, define, frozen

from egretford.platform.agreements import VIEW_KIND, VIEW_NAME
from tests.platform.deployment import ZONES, find_free_port, make_configuration
from tests.platform.standins import StoreStandin, WorkerStandin
from tests.soak.proxy import Mode, Proxy
from tests.soak.slow_disk import SYNC_FILE

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
node_name = "{name}"
role = "{role}"
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
internal_ports = [{peer_port}, {peer_port}]
bootstrap = true
data_dir = "{data}"
heartbeat_ms = 1200
[zones]
{zones}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[fault_tolerance]
machines = {tolerated}
[bounds]
grace_s = 6
[provider]
address = "{store}"
"""
STOP_SECONDS = 8.0
UNLIMITED = resource.RLIM_INFINITY
# What disturbs the keepers or the store disturbs all requests.
CORE = "core"
# Requests sent this long after an unplanned disruption are not owed an answer yet.
CONTACT_SECONDS = 4.0


@frozen
class Disruption:
    """An unplanned fault of one entry, one worker, or the core, in seconds of the loop."""

    target: str
    began: float
    ended: float

    def excuses(self, targets: set[str], sent_at: float, ended_at: float) -> bool:
        """Whether a request that met these targets came too close to it."""
        near = self.began <= ended_at and sent_at <= self.ended + CONTACT_SECONDS
        return near and self.target in targets


@define(eq=False)
class Node:
    """One process of ours, and the proxy that others reach it through."""

    name: str
    role: str
    folder: Path
    listens: str
    proxy: Proxy
    zone: str
    ready: str = ""
    process: subprocess.Popen | None = None

    def start(self) -> None:
        module = "tests.soak.slow_disk" if self.role == "keeper" else "egretford.cli.main"
        command = [sys.executable, "-m", module, self.role]
        if self.role == "keeper":
            command += ["--advertise", self.proxy.address]
        environment = {**os.environ, "EGRETFORD_BOOT": str(self.folder / "node.toml")}
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        if self.running:
            self.process.send_signal(number)

    async def stop(self, number: int = signal.SIGTERM) -> None:
        """Send a signal, and wait; who does not end in time is killed."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        for _ in range(int(STOP_SECONDS / 0.05)):
            if not self.running:
                return
            await asyncio.sleep(0.05)
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    @property
    def data(self) -> Path:
        return self.folder / "data"

    def wipe(self) -> None:
        """Lose the disk of a process that is down."""
        shutil.rmtree(self.data, ignore_errors=True)

    def tear(self, rng: random.Random) -> None:
        """Leave bytes of writes that were never synced at the end of the newest file."""
        for newest in sorted((self.data / "records").glob("*.log"))[-1:]:
            with newest.open("ab") as file:
                file.write(rng.randbytes(rng.randint(1, 200)))

    def refuse_writes(self, refused: bool) -> None:
        """Have the system refuse all writes of the process to files, as a failing disk does."""
        if self.running:
            limit = 0 if refused else UNLIMITED
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, UNLIMITED))

    def slow_syncs(self, seconds: float | None) -> None:
        """Have each sync of a keeper wait this long from now on; None ends that."""
        path = self.folder / SYNC_FILE
        if seconds is None:
            path.unlink(missing_ok=True)
            return
        draft = path.with_suffix(".new")
        draft.write_text(str(seconds))
        draft.replace(path)


@define
class Cluster:
    """Store, workers, keepers and entries; only the last two are processes of ours."""

    folder: Path
    keeper_count: int = 3
    entry_count: int = 3
    tolerated: int = 1
    store: StoreStandin = Factory(StoreStandin)
    store_proxy: Proxy | None = None
    workers: list[WorkerStandin] = Factory(list)
    worker_proxies: dict[str, Proxy] = Factory(dict)
    keepers: list[Node] = Factory(list)
    entries: list[Node] = Factory(list)
    gone: list[Node] = Factory(list)
    keepers_added: int = 0
    disruptions: list[Disruption] = Factory(list)
    version: int = 3

    async def start(self) -> None:
        await self.store.start()
        self.store.put("config", "main", make_configuration(self.version))
        self.store_proxy = Proxy(self.store.address)
        await self.store_proxy.start()
        zones = list(ZONES)
        for number in range(6):
            upstream = "models" if number < 3 else "booking"
            await self.add_worker(f"{upstream}-{number}", upstream, zones[number % 3])
        for number in range(self.keeper_count):
            self.keepers.append(await self._make_node("keeper", number, zones[number % 3]))
        for number in range(self.entry_count):
            self.entries.append(await self._make_node("entry", number, zones[number % 3]))
        for node in (*self.keepers, *self.entries):
            node.start()

    async def add_worker(self, name: str, upstream: str, zone: str) -> None:
        worker = WorkerStandin(name, upstream, zone, engine=upstream == "models")
        await worker.start()
        proxy = Proxy(worker.address)
        await proxy.start()
        self.workers.append(worker)
        self.worker_proxies[name] = proxy
        self.store.put("servers", name, {**worker.describe(), "address": proxy.address})

    async def remove_worker(self, worker: WorkerStandin, *, crash: bool) -> None:
        """Have a worker leave: announced, or with its connections reset."""
        if not crash:
            described = {
                **worker.describe("draining"),
                "address": self.worker_proxies[worker.id].address,
            }
            self.store.put("servers", worker.id, described)
            await asyncio.sleep(2.5)
        self.store.remove("servers", worker.id)
        if not crash:
            await asyncio.sleep(1.5)
        await worker.close()
        self.worker_proxies[worker.id].reset()

    def retire_keeper(self, node: Node, mode: Mode) -> None:
        """Have a keeper go for good; `mode` is what becomes of calls of its address."""
        self.keepers.remove(node)
        self.gone.append(node)
        node.send_signal(signal.SIGKILL)
        node.process.wait()
        node.proxy.mode = mode

    async def add_keeper(self, zone: str) -> Node:
        """Start an empty keeper with a name, an address and a disk of its own."""
        self.keepers_added += 1
        number = self.keeper_count + self.keepers_added - 1
        node = await self._make_node("keeper", number, zone)
        self.keepers.append(node)
        node.start()
        return node

    def counts(self, node: Node) -> bool:
        """Whether a keeper counts in the newest view."""
        view = self.store.objects[VIEW_KIND, VIEW_NAME]["spec"]
        return any(m["name"] == node.name and m["state"] == "active" for m in view["members"])

    async def _make_node(self, role: str, number: int, zone: str) -> Node:
        name = f"{role}-{number + 1}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        front, ready, peer_port = find_free_port(), find_free_port(), find_free_port()
        listens = f"127.0.0.1:{front if role == 'entry' else peer_port}"
        proxy = Proxy(listens)
        await proxy.start()
        text = SETTINGS.format(
            name=name,
            role=role,
            zone=zone,
            region=ZONES[zone],
            zones="\n".join(f'{z} = "{r}"' for z, r in ZONES.items()),
            peer_port=peer_port,
            data=folder / "data",
            front=front,
            ready=ready,
            tolerated=self.tolerated,
            store=self.store_proxy.address,
        )
        (folder / "node.toml").write_text(text)
        return Node(name, role, folder, listens, proxy, zone, ready=f"127.0.0.1:{ready}")

    async def close(self) -> None:
        for node in (*self.entries, *self.keepers, *self.gone):
            node.refuse_writes(False)
            await node.stop(signal.SIGKILL)
            await node.proxy.close()
        for proxy in (self.store_proxy, *self.worker_proxies.values()):
            await proxy.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
