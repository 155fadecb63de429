"""Runs real keepers and entries as processes behind proxies, with stand-ins for the rest."""

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

from egretford.platform.documents import CONFIGURATION_KIND, CONFIGURATION_NAME
from egretford.platform.stored_state import VIEW_KIND, VIEW_NAME
from tests.platform.deployment import ZONES, find_free_port, make_configuration
from tests.platform.standins import StoreStandin, WorkerStandin
from tests.soak.proxy import Mode, Proxy
from tests.soak.slow_disk import SYNC_DELAY_FILE

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
STOP_TIMEOUT_SECONDS = 8.0
UNLIMITED = resource.RLIM_INFINITY
# A second upstream of engines, which has its own name in events; streams are split with it.
OTHER_ENGINES = "drafts"
# The weights of the second upstream for streams that may be resumed, of 100. Most streams stay at
# the first, whose workers have most of the faults; so do all at first.
OTHER_WEIGHTS = (0, 10, 30, 50)
FIRST_VERSION = 3
# Target of disruptions of the keepers or the store, which may affect any request.
CORE = "core"
# Requests sent within this many seconds after an unplanned disruption may fail.
RECOVERY_GRACE_SECONDS = 4.0


@frozen
class Disruption:
    """An unplanned fault of an entry, a worker or the core; times are those of the event loop."""

    target: str
    started: float
    ended: float

    def exempts(self, targets: set[str], sent_at: float, ended_at: float) -> bool:
        """Return whether a request to these targets was close enough in time to be affected."""
        near = self.started <= ended_at and sent_at <= self.ended + RECOVERY_GRACE_SECONDS
        return near and self.target in targets


@define(eq=False)
class Kill:
    """A planned end of a worker's process: at a piece of a response, after a part of the piece.

    `struck` is set once the process was killed.
    """

    worker: WorkerStandin
    number: int
    part: float
    struck: asyncio.Event = Factory(asyncio.Event)


@define(eq=False)
class Node:
    """A keeper or entry process and the proxy through which others reach it."""

    name: str
    role: str
    folder: Path
    listen_address: str
    proxy: Proxy
    zone: str
    ready_address: str = ""
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

    def send_signal(self, signal_number: int) -> None:
        if self.running:
            self.process.send_signal(signal_number)

    async def stop(self, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal and wait for the process to exit; kills it after a timeout."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        for _ in range(int(STOP_TIMEOUT_SECONDS / 0.05)):
            if not self.running:
                return
            await asyncio.sleep(0.05)
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    @property
    def data_folder(self) -> Path:
        return self.folder / "data"

    def delete_data(self) -> None:
        """Delete the data of a stopped process, as if its disk were lost."""
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def append_torn_write(self, rng: random.Random) -> None:
        """Append random bytes to the newest record file, like a write that was never synced."""
        for newest in sorted((self.data_folder / "records").glob("*.log"))[-1:]:
            with newest.open("ab") as file:
                file.write(rng.randbytes(rng.randint(1, 200)))

    def refuse_writes(self, refused: bool) -> None:
        """Make all file writes of the process fail, as on a failing disk, or end that."""
        if self.running:
            limit = 0 if refused else UNLIMITED
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, UNLIMITED))

    def set_sync_delay(self, seconds: float | None) -> None:
        """Delay each disk sync of a keeper by some seconds from now on; None removes the delay."""
        path = self.folder / SYNC_DELAY_FILE
        if seconds is None:
            path.unlink(missing_ok=True)
            return
        temporary_path = path.with_suffix(".new")
        temporary_path.write_text(str(seconds))
        temporary_path.replace(path)


@define
class Cluster:
    """Store, workers, keepers and entries; the first two are stand-ins in this process."""

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
    retired_keepers: list[Node] = Factory(list)
    keepers_added: int = 0
    disruptions: list[Disruption] = Factory(list)
    # Times of the crashes that each request caused, by its body.
    crashes: dict[bytes, list[float]] = Factory(dict)
    ended_workers: set[WorkerStandin] = Factory(set)
    _tasks: set[asyncio.Task] = Factory(set)
    _silent: dict[str, asyncio.Event] = Factory(dict)
    _kills: list[Kill] = Factory(list)
    version: int = FIRST_VERSION

    async def start(self) -> None:
        await self.store.start()
        self.put_configuration()
        self.store_proxy = Proxy(self.store.address)
        await self.store_proxy.start()
        zones = list(ZONES)
        for number in range(6):
            upstream = "models" if number < 3 else "booking"
            await self.add_worker(f"{upstream}-{number}", upstream, zones[number % 3])
        for number in range(2):
            await self.add_worker(f"{OTHER_ENGINES}-{number}", OTHER_ENGINES, zones[number])
        for number in range(self.keeper_count):
            self.keepers.append(await self._make_node("keeper", number, zones[number % 3]))
        for number in range(self.entry_count):
            self.entries.append(await self._make_node("entry", number, zones[number % 3]))
        for node in (*self.keepers, *self.entries):
            node.start()

    def put_configuration(self) -> None:
        """Store a configuration of the present version, which decides the weights of streams."""
        document = make_configuration(self.version)
        (models,) = [s for s in document["services"] if s["name"] == "models"]
        document["services"].append({**models, "name": OTHER_ENGINES})
        (route,) = [r for r in document["routes"] if r["name"] == "plan"]
        weight = random.Random(f"weights {self.version}").choice(OTHER_WEIGHTS)
        if self.version == FIRST_VERSION:
            weight = 0
        del route["backend"]
        route["traffic_split"] = [
            {"backend": "models", "weight": 100 - weight},
            {"backend": OTHER_ENGINES, "weight": weight},
        ]
        self.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, document)

    async def add_worker(self, name: str, upstream: str, zone: str) -> None:
        worker = WorkerStandin(name, upstream, zone, engine=upstream != "booking")
        await worker.start()
        proxy = Proxy(worker.address)
        await proxy.start()
        self.workers.append(worker)
        self.worker_proxies[name] = proxy
        self.store.put("servers", name, {**worker.describe(), "address": proxy.address})

    async def remove_worker(self, worker: WorkerStandin, *, crash: bool) -> None:
        """Remove a worker, after draining it unless `crash` is set; then reset its connections."""
        if not crash:
            description = {
                **worker.describe("draining"),
                "address": self.worker_proxies[worker.id].address,
            }
            self.store.put("servers", worker.id, description)
            await asyncio.sleep(2.5)
        self.store.remove("servers", worker.id)
        if not crash:
            await asyncio.sleep(1.5)
        await worker.close()
        self.worker_proxies[worker.id].reset()

    def crash_worker(self, worker: WorkerStandin, body: bytes) -> None:
        """End a worker's process for a request; a second later another one has its id."""
        if worker not in self.ended_workers:
            self.crashes.setdefault(body, []).append(asyncio.get_running_loop().time())
            task = asyncio.create_task(self.restart_worker(worker, worker.version, delay=1.0))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def restart_worker(
        self, worker: WorkerStandin, version: str, delay: float, lag: float = 0.0
    ) -> None:
        """Restart a worker under its id with a version that the list shows `lag` s later."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.ended_workers.add(worker)
        await self._replace_process(worker, version, delay, lag)
        self.disruptions.append(Disruption(worker.id, started, loop.time()))

    async def _replace_process(
        self, worker: WorkerStandin, version: str, delay: float, lag: float
    ) -> None:
        proxy = self.worker_proxies[worker.id]
        proxy.mode = Mode.REFUSE
        proxy.reset()
        await worker.close()
        await asyncio.sleep(delay)
        new = await self._start_process(worker, version)
        proxy.target, proxy.mode = new.address, Mode.PASS
        await asyncio.sleep(lag)
        self._list_process(new)

    async def _start_process(self, worker: WorkerStandin, version: str) -> WorkerStandin:
        new = WorkerStandin(worker.id, worker.upstream, worker.zone, engine=worker.engine)
        new.version, new.born = version, worker.born + 1
        await new.start()
        new.script = worker.script
        self.workers.append(new)
        return new

    def _list_process(self, worker: WorkerStandin) -> None:
        # A request may have crashed the new process meanwhile.
        if ("servers", worker.id) in self.store.objects and worker not in self.ended_workers:
            address = self.worker_proxies[worker.id].address
            self.store.put("servers", worker.id, {**worker.describe(), "address": address})

    async def kill_worker(
        self, kill: Kill, timeout: float, version: str, delay: float, lag: float
    ) -> bool:
        """Kill a worker as planned, or after `timeout` s, and start another one at its address.

        The list shows the new process `lag` s later. Returns False if the worker ended by itself.
        """
        loop = asyncio.get_running_loop()
        worker, proxy = kill.worker, self.worker_proxies[kill.worker.id]
        self._kills.append(kill)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(kill.struck.wait(), timeout)
        if kill in self._kills:
            self._kills.remove(kill)
        if not kill.struck.is_set() and not self.strike(worker, kill):
            return False
        started = loop.time()
        await worker.close()
        await asyncio.sleep(delay)
        new = await self._start_process(worker, version)
        proxy.target = new.address
        await proxy.restart()
        await asyncio.sleep(lag)
        self._list_process(new)
        self.disruptions.append(Disruption(worker.id, started, loop.time()))
        return True

    def take_kill(self, worker: WorkerStandin, number: int) -> Kill | None:
        """Return the kill that is planned for a piece of a worker's response, once."""
        for kill in self._kills:
            if kill.worker is worker and kill.number == number:
                self._kills.remove(kill)
                return kill
        return None

    def strike(self, worker: WorkerStandin, kill: Kill) -> bool:
        """Kill a worker's process, unless it has ended."""
        if worker in self.ended_workers:
            return False
        self.ended_workers.add(worker)
        self.worker_proxies[worker.id].kill()
        kill.struck.set()
        return True

    async def silence_worker(self, worker_id: str, seconds: float) -> None:
        """Let a worker neither answer nor go on for some seconds; nothing is lost."""
        event = self._silent[worker_id] = asyncio.Event()
        await asyncio.sleep(seconds)
        event.set()

    async def wait_while_silent(self, worker_id: str) -> None:
        """Return once a worker is not silent."""
        if worker_id in self._silent:
            await self._silent[worker_id].wait()

    def retire_keeper(self, node: Node, mode: Mode) -> None:
        """Remove a keeper permanently; its proxy handles later connections as `mode` says."""
        self.keepers.remove(node)
        self.retired_keepers.append(node)
        node.send_signal(signal.SIGKILL)
        node.process.wait()
        node.proxy.mode = mode

    async def add_keeper(self, zone: str) -> Node:
        """Start an empty keeper with its own name, address and data folder."""
        self.keepers_added += 1
        number = self.keeper_count + self.keepers_added - 1
        node = await self._make_node("keeper", number, zone)
        self.keepers.append(node)
        node.start()
        return node

    def is_active_member(self, node: Node) -> bool:
        """Return whether a keeper is an active member of the newest view."""
        view = self.store.objects[VIEW_KIND, VIEW_NAME]["spec"]
        return any(m["name"] == node.name and m["state"] == "active" for m in view["members"])

    async def _make_node(self, role: str, number: int, zone: str) -> Node:
        name = f"{role}-{number + 1}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        front, ready, peer_port = find_free_port(), find_free_port(), find_free_port()
        listen_address = f"127.0.0.1:{front if role == 'entry' else peer_port}"
        proxy = Proxy(listen_address)
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
        return Node(
            name, role, folder, listen_address, proxy, zone, ready_address=f"127.0.0.1:{ready}"
        )

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in (*self.entries, *self.keepers, *self.retired_keepers):
            node.refuse_writes(False)
            await node.stop(signal.SIGKILL)
            await node.proxy.close()
        for proxy in (self.store_proxy, *self.worker_proxies.values()):
            await proxy.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
