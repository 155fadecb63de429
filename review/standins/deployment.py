"""Starts the programs of the deploy file as separate processes on loopback addresses.

Store and workers are the project's own stand-ins (`tests/platform/standins.py`) in the process of
the script. Each machine has a loopback address of its own, as on the platform, so ports are the
same on all machines.
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from egretford.http.client import ClientConnection
from egretford.http.messages import encode_head
from tests.platform.standins import Answer, StoreStandin, WorkerStandin, read_answer

ROOT = Path(__file__).resolve().parents[2]
HOST = "farm.example"
INTERNAL_PORTS = (7380, 7395)
FRONT_PORT, READY_PORT, METRICS_PORT = 8149, 8141, 9464
# The bounds of the small site files.
BOUNDS = """
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
"""
CONTACT_SECONDS = 4.0
CATCH_UP_SECONDS = 4.8
# Exit codes of a case.
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not be run, for example because the deployment did not start."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w")

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Machine:
    """One machine with one process; `process` is None while it is down."""

    name: str
    role: str
    zone: str
    ip: str
    folder: Path
    run: list[str]
    process: subprocess.Popen | None = None

    @property
    def data_folder(self) -> Path:
        """The folder that stands for the disk."""
        return self.folder / "data"

    def write_settings(self, zones: dict[str, str], store: str, *, bootstrap: bool) -> None:
        """Write the settings file, with the fields of `DEPLOY.md`."""
        is_keeper = self.role == "keeper"
        serves = "storage" if is_keeper else "edge"
        lines = [
            f'node_name = "{self.name}"',
            f'role = "{self.role}"',
            f'machine_class = "{serves}"',
            f'serves = ["{serves}"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            f'region = "{zones[self.zone]}"',
            f"internal_ports = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]",
            "seed_nodes = []",
            f"bootstrap = {str(bootstrap).lower()}",
            f"counts_as_loss = {str(is_keeper).lower()}",
            'discovery = "platform"',
            'entry_mode = "virtual_ip"',
            "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","cost","recover","agent","stream","engine",'
            '"platform"]',
        ]
        if is_keeper:
            lines.append(f'data_dir = "{self.data_folder}"')
        lines += ["[zones]", *(f'{zone} = "{region}"' for zone, region in zones.items())]
        lines.append("[listen]")
        if not is_keeper:
            lines.append(f'front = "{self.ip}:{FRONT_PORT}"')
            lines.append(f'ready = "{self.ip}:{READY_PORT}"')
        lines += ["[limits]", "memory_mb = 170", "disk_mb = 490"]
        lines += ["[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0"]
        lines += ["[bounds]", BOUNDS]
        lines += ["[provider]", f'address = "{store}"', 'form = "objects"']
        lines += ["writes_per_s = 400", "reads_per_s = 2000", "history_s = 20"]
        lines += ["value_bytes = 1048576", "ttl_min_ms = 1000"]
        (self.folder / "node.toml").write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["EGRETFORD_BOOT"] = str(self.folder / "node.toml")
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}"
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                self.run,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """End the process by SIGKILL, and wait for its end."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def lose_disk(self) -> None:
        """Empty the data folder, while the process is down."""
        shutil.rmtree(self.data_folder)


@dataclass
class Deployment:
    """Machines, the store, workers, and the record of one run."""

    folder: Path
    record: Record
    zones: dict[str, str]
    store: StoreStandin = field(default_factory=StoreStandin)
    workers: list[WorkerStandin] = field(default_factory=list)
    machines: dict[str, Machine] = field(default_factory=dict)
    # The address of the store by machine, where it is not that of the stand-in itself.
    store_addresses: dict[str, str] = field(default_factory=dict)
    network: str = ""
    sent: int = 0

    def __post_init__(self) -> None:
        self.network = find_network()
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._runs = {name: role["run"].split() for name, role in roles.items()}

    # Starting

    async def start(self, configuration: dict, keepers: dict[str, str], entries: dict[str, str]):
        """Start store, workers, keepers and entries (zone by name); wait until all are in use."""
        await self.store.start()
        self.store.put("config", "main", configuration)
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.id, worker.describe())
        for name, zone in keepers.items():
            self.add_machine(name, "keeper", zone).start()
        for name, zone in entries.items():
            self.add_machine(name, "entry", zone).start()
        await self.wait_until(lambda: self.count_active() == len(keepers), "all keepers active")
        for name in entries:
            await self.wait_ready(name)
        # One more round of copies between the keepers, as before any traffic on the platform.
        await asyncio.sleep(1.0)

    def add_machine(self, name: str, role: str, zone: str, *, bootstrap: bool = True) -> Machine:
        """Add a machine with an empty disk, without starting it."""
        folder = self.folder / name
        folder.mkdir()
        ip = f"{self.network}.{len(self.machines) + 1}"
        machine = Machine(name, role, zone, ip, folder, self._runs[role])
        machine.write_settings(self.zones, self._find_store(name), bootstrap=bootstrap)
        self.machines[name] = machine
        return machine

    def _find_store(self, name: str) -> str:
        return self.store_addresses.get(name, self.store.address)

    def count_active(self) -> int:
        """Return how many keepers count, as stored at the platform."""
        found = self.store.objects.get(("keeper-views", "current"))
        members = found["spec"]["members"] if found else []
        return sum(member["state"] == "active" for member in members)

    async def wait_until(self, condition: Callable[[], bool], what: str, seconds: float = 20.0):
        """Wait for a condition; raises CannotRunError."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Ask a machine for its readiness, as the platform does each second."""
        address = f"{self.machines[name].ip}:{READY_PORT}"
        try:
            connection = await ClientConnection.open(address, 1.0)
        except Exception:
            return False
        try:
            connection.send(encode_head(b"GET /v1/readyz HTTP/1.1", [(b"Host", address.encode())]))
            return (await read_answer(connection)).status == 200
        except Exception:
            return False
        finally:
            connection.close()

    async def wait_ready(self, name: str, seconds: float = 20.0) -> None:
        """Wait until an entry says that it is ready; raises CannotRunError."""
        deadline = time.monotonic() + seconds
        while not await self.is_ready(name):
            if time.monotonic() > deadline:
                raise CannotRunError(f"{name} is not ready within {seconds} s")
            await asyncio.sleep(0.1)

    # Disruptions

    def kill(self, name: str) -> None:
        """Kill the process of a machine."""
        self.machines[name].kill()
        self.record.write(f"DISRUPTION {name} is killed")

    def restart(self, name: str) -> None:
        """Start the process of a machine again."""
        self.machines[name].start()
        self.record.write(f"DISRUPTION {name} is started again")

    def lose_disk(self, name: str) -> None:
        """Kill the process of a machine and empty its disk."""
        self.kill(name)
        machine = self.machines[name]
        machine.lose_disk()
        machine.write_settings(self.zones, self._find_store(name), bootstrap=False)
        self.record.write(f"DISRUPTION {name} has lost its disk")

    # Requests

    async def ask(
        self, entry: str, path: str, body: bytes, *, method: str = "POST", **fields: str
    ) -> tuple[str, Answer | None]:
        """Send one consumer attempt on a new channel; returns its id and its answer, if any."""
        self.sent += 1
        request_id = f"{self.sent:06x}{random.getrandbits(32):08x}"
        names = {key.replace("_", "-"): value for key, value in fields.items()}
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "3000"} | names
        headers["Content-Length"] = str(len(body))
        head = encode_head(
            f"{method} {path} HTTP/1.1".encode(),
            [(k.encode(), v.encode()) for k, v in headers.items()],
        )
        about = " ".join(f"{key}={value}" for key, value in names.items())
        self.record.write(f"sent {request_id} to {entry}: {method} {path} {body[:40]!r} {about}")
        answer = None
        try:
            address = f"{self.machines[entry].ip}:{FRONT_PORT}"
            connection = await ClientConnection.open(address, 1.0)
            try:
                connection.send(head + body)
                answer = await asyncio.wait_for(read_answer(connection), 5.0)
            finally:
                connection.close()
        except Exception as error:
            self.record.write(f"answered {request_id}: no answer, {error!r}")
            return request_id, None
        how = "whole" if answer.is_complete else "cut off"
        self.record.write(f"answered {request_id}: {answer.status}, {how}, {answer.body[:80]!r}")
        return request_id, answer

    def list_runs(self, request_id: str) -> list[str]:
        """Return the workers that began to run a request."""
        return [w.id for w in self.workers for a in w.arrivals if a.request_id == request_id]

    # Ending

    async def close(self) -> None:
        """End all processes and stand-ins, and record what ran."""
        for machine in self.machines.values():
            machine.kill()
        for worker in self.workers:
            for arrival in worker.arrivals:
                how = "to its end" if arrival.completed else "without an end"
                self.record.write(f"run {arrival.request_id} by {worker.id} {how}")
            await worker.close()
        await self.store.close()


def find_network() -> str:
    """Return the first three parts of loopback addresses on which the fixed ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 13):
                for port in (INTERNAL_PORTS[0], FRONT_PORT, READY_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free loopback addresses")


def run_case(
    folder: Path,
    zones: dict[str, str],
    play: Callable[[Deployment], Awaitable[bool]],
    record_name: str = "record.txt",
) -> None:
    """Run one case and exit: 1 if `play` returns True (the rule was broken), 0 if it was kept."""
    record = Record(folder / record_name)
    # SIGTERM ends the case like an error, so that all processes are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def run() -> bool:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            deployment = Deployment(Path(temporary), record, zones)
            try:
                return await play(deployment)
            finally:
                await deployment.close()
                logs = os.environ.get("KEEP_LOGS")
                if logs:
                    shutil.copytree(temporary, logs, dirs_exist_ok=True)

    status = COULD_NOT_RUN
    try:
        status = BROKEN if asyncio.run(run()) else HELD
        record.write("the rule was broken" if status == BROKEN else "the rule was kept")
    except CannotRunError as error:
        record.write(f"the case could not run: {error}")
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
    finally:
        record.close()
    sys.exit(status)
