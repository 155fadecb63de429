"""Starts the project's daemons as separate processes, each on a loopback address of its own."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from review.standins2.client import HOST
from review.standins2.store import Store
from review.standins2.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"cascadia-a": "cascadia", "cascadia-b": "cascadia", "inland-a": "inland"}
FRONT, READY, PEERS = 8149, 8141, 7380
CHECK_SECONDS = 0.1
MOST_CHECKS = 400
STORE_PORT, WORKER_PORT = 8142, 8080
SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internal_ports = [{peers}, {last}]
bootstrap = {bootstrap}
counts_as_loss = {counts}
{data}
discovery = "platform"
entry_mode = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
cascadia-a = "cascadia"
cascadia-b = "cascadia"
inland-a = "inland"
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 150
max_fds = 4100
link_mbps = 1000.0
disk_mb = 490
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4.8
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
downgrade_slack_ms = 250
max_skew_ms = 6000
recovery_s = 12
pass_ms = 250
again_s = 0
finish_s = 10
settle_ms = 1000
[provider]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


async def wait_until(condition) -> None:
    """Wait until a condition holds; raises TimeoutError."""
    for _ in range(MOST_CHECKS):
        if condition():
            return
        await asyncio.sleep(CHECK_SECONDS)
    raise TimeoutError


class Recorder:
    """Appends what was sent, answered and run to a file, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def __call__(self, event: str, **fields) -> None:
        """Append one event."""
        row = {"t": round(time.monotonic() - self._started, 3), "event": event, **fields}
        self._file.write(json.dumps(row) + "\n")
        self._file.flush()


class Node:
    """An entry or a keeper: its settings, its process and its log."""

    def __init__(self, name: str, role: str, zone: str, ip: str, folder: Path, store: str) -> None:
        self.name, self.role, self.zone, self.ip = name, role, zone, ip
        self.folder = folder / name
        self.folder.mkdir()
        self.store = store
        self.data = self.folder / "data"
        self.process: subprocess.Popen | None = None
        self.starts = 0

    @property
    def front(self) -> str:
        """Return the address for consumers."""
        return f"{self.ip}:{FRONT}"

    @property
    def ready(self) -> str:
        """Return the address for readiness checks."""
        return f"{self.ip}:{READY}"

    def _write_settings(self) -> Path:
        is_entry = self.role == "entry"
        listen = f'front = "{self.front}"\nready = "{self.ready}"' if is_entry else ""
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            machine_class="edge" if is_entry else "storage",
            ip=self.ip,
            zone=self.zone,
            region=ZONES[self.zone],
            peers=PEERS,
            last=PEERS + 15,
            bootstrap="true" if self.starts == 0 else "false",
            counts="false" if is_entry else "true",
            data="" if is_entry else f'data_dir = "{self.data}"',
            listen=listen,
            store=self.store,
        )
        path = self.folder / "node.toml"
        path.write_text(text)
        return path

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        path = self._write_settings()
        self.starts += 1
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"][self.role]["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        passed = [name for name in ("PATH", "HOME", "LANG") if name in os.environ]
        environment = {name: os.environ[name] for name in passed}
        environment["EGRETFORD_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        if self.role == "keeper":
            self.data.mkdir(exist_ok=True)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        await self.stop(signal.SIGKILL)

    async def stop(self, number: int) -> None:
        """Send a signal and wait for the end of the process."""
        self.signal(number)
        await asyncio.to_thread(self.process.wait)

    def stop_now(self) -> None:
        """Kill the process, at the end of the case."""
        if self.is_running:
            self.process.kill()
            self.process.wait()


class Deployment:
    """A small deployment: store, workers, keepers and entries."""

    def __init__(self, folder: Path, record: Recorder) -> None:
        self.folder, self.record = folder, record
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.workers: dict[str, Worker] = {}
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.version = 3

    def configuration(self) -> dict:
        """Return the configuration in force."""

        def route(name, kind, service, **more) -> dict:
            row = {"name": f"r-{name}", "hostname": HOST, "path_prefix": f"/{name}/"}
            row |= {"route_type": kind, "timeout_ms": 3000, "target_latency_ms": 300}
            row |= {"priority": 1, "backend": service, "attempts": 1}
            return row | more

        stream = {"session_affinity": True, "gap_aim_ms": 300}
        chat = stream | {"retain": True, "retention_s": 60.0, "resumable": False}
        plan = stream | {"retain": False, "resumable": True}
        engine = {"slots": 12, "kv_capacity": 418135, "tokens_per_event": 32}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        return {
            "version": self.version,
            "routes": [
                route("chat", "streaming", "models", **chat),
                route("plan", "streaming", "models", **plan),
                route("tell", "streaming", "models", **stream),
                route("ping", "safe", "booking", attempts=3, timeout_ms=1000),
                route("book", "unsafe", "booking", timeout_ms=1500),
            ],
            "services": [
                {"name": "models", "health_path": "/healthz", "max_connections": 160}
                | {"protocol": "h1", "tls": False, "engine": engine},
                {"name": "booking", "health_path": "/healthz", "max_connections": 110}
                | {"protocol": "h1", "tls": False},
            ],
            "limits": limits,
        }

    async def start(self, entries: int = 3, keepers: int = 3) -> None:
        """Start everything and wait until all entries are ready; raises TimeoutError."""
        # Connections of stand-ins are cancelled at any moment.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await self.store.start(f"{self.net}.1", STORE_PORT)
        self.store.put("config", "main", self.configuration())
        for worker in self.workers.values():
            await worker.start()
            self.store.put("servers", worker.name, worker.describe())
        zones = list(ZONES)
        for number in range(keepers):
            self.add_node(f"storage-{number + 1}", "keeper", zones[number % 3], 100 + number)
        for number in range(entries):
            self.add_node(f"edge-{number + 1}", "entry", zones[number % 3], 10 + number)
        async with asyncio.timeout(30):
            await self.wait_for_keepers(keepers)
            for node in self.entries:
                await self.wait_ready(node)
        await asyncio.sleep(1.0)

    def add_node(self, name: str, role: str, zone: str, number: int) -> Node:
        """Start an entry or keeper."""
        node = Node(name, role, zone, f"{self.net}.{number}", self.folder, self.store.address)
        self.nodes[name] = node
        node.start()
        return node

    def add_worker(self, name: str, service: str, zone: str, number: int, **more) -> Worker:
        """Add a worker, which `start` starts."""
        ip = f"{self.net}.{number}"
        worker = Worker(name, service, zone, ip, WORKER_PORT, self.record, **more)
        self.workers[name] = worker
        return worker

    @property
    def entries(self) -> list[Node]:
        """Return the entries."""
        return [node for node in self.nodes.values() if node.role == "entry"]

    @property
    def keepers(self) -> list[Node]:
        """Return the keepers."""
        return [node for node in self.nodes.values() if node.role == "keeper"]

    def list_active(self) -> list[str]:
        """Return the names of the active members of the view."""
        view = self.store.get("keeper-views", "current")
        members = view["spec"]["members"] if view else []
        return [member["name"] for member in members if member["state"] == "active"]

    async def wait_for_keepers(self, count: int) -> None:
        """Wait until so many keepers are active."""
        await wait_until(lambda: len(self.list_active()) >= count)

    async def wait_ready(self, node: Node) -> None:
        """Wait until an entry is ready."""
        for _ in range(MOST_CHECKS):
            if await self.is_ready(node):
                return
            await asyncio.sleep(CHECK_SECONDS)
        raise TimeoutError

    async def is_ready(self, node: Node) -> bool:
        """Whether an entry says that it is ready."""
        ip, port = node.ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes.values():
            node.stop_now()
        for worker in self.workers.values():
            worker.on_crash = lambda worker: None
            worker.crash()
        await self.store.close()
