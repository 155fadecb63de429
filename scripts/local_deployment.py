"""Runs a complete deployment on this machine, with stand-ins and entries as processes."""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from attrs import evolve

from egretford.codec import to_json
from egretford.models import Pool, PoolKind, Tables
from egretford.tables import read_json, read_tables

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
HOST = "127.0.0.1"
# Below the ephemeral ports of outgoing connections, which start at 32768 on Linux, and above the
# ports of common services.
PORTS = range(15_000, 32_000)
# Parts of the range, so that processes that run at once rarely choose the same port.
PORT_SHARES = 4
_returned_ports: set[int] = set()
READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0


def main() -> int:
    """Parse the command line and run `up` or `down`."""
    parser = argparse.ArgumentParser(prog="scripts/local", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    up = commands.add_parser("up", help="start a deployment")
    up.add_argument("--entries", type=int, default=3)
    up.add_argument("--state", type=Path, required=True)
    up.add_argument("--deployment", choices=("fernhollow", "sialkot"), default="fernhollow")
    down = commands.add_parser("down", help="stop a deployment that `up` started")
    down.add_argument("--state", type=Path, required=True)
    options = parser.parse_args()
    if options.command == "up":
        return start_deployment(options.state, options.entries, options.deployment)
    return stop_deployment(options.state)


def find_ports(count: int) -> list[int]:
    """Return free ports outside the ephemeral range, none twice until all were returned.

    Processes bind them later, and again after a restart. By then, a port chosen by the system
    could be the local port of an outgoing connection. Processes that run at once choose from
    different parts of the range, unless there are many.
    """
    own = PORTS[os.getpid() % PORT_SHARES :: PORT_SHARES]
    found: list[int] = []
    while len(found) < count:
        left = [port for port in own if port not in _returned_ports]
        if not left:
            _returned_ports.clear()
            continue
        port = random.SystemRandom().choice(left)
        _returned_ports.add(port)
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as item:
        try:
            item.bind((HOST, port))
        except OSError:
            return False
    return True


def start_deployment(state: Path, entries: int, deployment: str) -> int:
    """Start the stand-ins, apply the tables, start the entries and write `local.json`."""
    state.mkdir(parents=True, exist_ok=True)
    if (state / "local.json").exists():
        print(f"{state}/local.json exists; run 'scripts/local down --state {state}' first")
        return 1
    started: dict[str, Any] = {"platform": {}, "entries": [], "engines": [], "services": []}
    try:
        _start_all(state, entries, deployment, started)
    finally:
        (state / "local.json").write_text(json.dumps(started, indent=2) + "\n")
    count = 1 + sum(len(started[name]) for name in ("entries", "engines", "services"))
    print(f"{count} processes are up; see {state}/local.json")
    return 0


def _start_all(state: Path, entries: int, deployment: str, started: dict[str, Any]) -> None:
    tables = read_tables(EXAMPLES / deployment / "tables.json")
    workers = sum(len(pool.workers) for pool in tables.pools)
    ports = iter(find_ports(1 + workers + 2 * entries))
    started["platform"] = _start_standin(state, "platform", "platform", next(ports))
    pools = [_start_pool(state, pool, ports, started) for pool in tables.pools]
    tables_path = state / "tables.json"
    tables_path.write_text(json.dumps(to_json(Tables(tables.routes, pools)), indent=2))
    wait_ready(started["platform"], "/healthz")
    _apply(tables_path, started["platform"]["url"])
    for index in range(entries):
        started["entries"].append(
            _start_entry(state, deployment, started["platform"]["url"], index, ports)
        )
    for group in ("engines", "services"):
        for item in started[group]:
            wait_ready(item, "/healthz")
    for item in started["entries"]:
        wait_ready(item, "/readyz")


def _start_pool(state: Path, pool: Pool, ports: Any, started: dict[str, Any]) -> Pool:
    kind = "engine" if pool.kind is PoolKind.ENGINE else "service"
    workers = []
    for worker in pool.workers:
        options = ["--slots", str(pool.slots), "--fencing", pool.fencing.value]
        item = _start_standin(state, kind, worker.name, next(ports), *options)
        item.update(name=worker.name, pool=pool.name, failure_domain=worker.failure_domain)
        started[f"{kind}s"].append(item)
        workers.append(evolve(worker, address=item["url"]))
    return evolve(pool, workers=workers)


def _start_standin(state: Path, kind: str, name: str, port: int, *options: str) -> dict[str, Any]:
    command = ["standin", kind, "--port", str(port), "--log-level", "WARNING", *options]
    return {"pid": _spawn(state, name, command), "url": f"http://{HOST}:{port}"}


def _start_entry(
    state: Path, deployment: str, platform: str, index: int, ports: Any
) -> dict[str, Any]:
    settings = read_json(EXAMPLES / deployment / "entry.json")
    domains = list(settings["regions"])
    domain = domains[index % len(domains)]
    http, peer = next(ports), next(ports)
    name = f"{domain}-entry-{index // len(domains) + 1}"
    settings.update(
        instance=name,
        failure_domain=domain,
        region=settings["regions"][domain],
        http={"host": HOST, "port": http},
        peer={"host": HOST, "port": peer},
        platform={"url": platform},
    )
    path = state / f"{name}.json"
    path.write_text(json.dumps(settings, indent=2))
    url = f"http://{HOST}:{http}"
    pid = spawn_entry(state, path)
    return {"pid": pid, "url": url, "failure_domain": domain, "settings": str(path)}


def spawn_entry(state: Path, settings: Path) -> int:
    """Start an entry with a settings file and return its process id."""
    return _spawn(state, settings.stem, ["entry", "--settings", str(settings)])


def _spawn(state: Path, name: str, arguments: list[str]) -> int:
    command = [sys.executable, "-m", "egretford.cli.main", *arguments]
    with (state / f"{name}.log").open("ab") as log:
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )
    return process.pid


def _apply(tables: Path, platform: str) -> None:
    command = [sys.executable, "-m", "egretford.cli.main", "apply", str(tables)]
    subprocess.run([*command, "--platform", platform], check=True, stdout=subprocess.DEVNULL)


def wait_ready(item: dict[str, Any], path: str) -> None:
    """Wait until a process answers requests for a path; raises SystemExit on timeout or exit."""
    url = item["url"] + path
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline and _is_alive(item["pid"]):
        try:
            with urllib.request.urlopen(url, timeout=1):
                return
        except (urllib.error.URLError, OSError):
            time.sleep(0.05)
    raise SystemExit(f"{url} did not become ready; see the logs in the state folder")


def stop_deployment(state: Path) -> int:
    """Stop the processes listed in `local.json`, and no others: entries first, then stand-ins."""
    path = state / "local.json"
    if not path.exists():
        print(f"no {path}; nothing to end")
        return 0
    started = json.loads(path.read_text())
    groups = [started["entries"], started["engines"] + started["services"]]
    groups.append([started["platform"]] if started["platform"] else [])
    for group in groups:
        stop_processes([item["pid"] for item in group])
    path.unlink()
    return 0


def stop_processes(pids: list[int]) -> None:
    """Terminate those of the processes that belong to this project; kills them after a timeout."""
    own_pids = [pid for pid in pids if _belongs_to_project(pid)]
    for pid in own_pids:
        _send_signal(pid, signal.SIGCONT)
        _send_signal(pid, signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
    while any(_belongs_to_project(pid) for pid in own_pids) and time.monotonic() < deadline:
        time.sleep(0.05)
    for pid in own_pids:
        if _belongs_to_project(pid):
            _send_signal(pid, signal.SIGKILL)


def _is_alive(pid: int) -> bool:
    """Return whether the process exists and is not a zombie."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return False
    return state != "Z"


def _belongs_to_project(pid: int) -> bool:
    """Return whether the process still exists and belongs to this project.

    A new process has no command line for a moment after it is started.
    """
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    return b"egretford" in command and _is_alive(pid)


def _send_signal(pid: int, signal_number: int) -> None:
    try:
        os.kill(pid, signal_number)
    except ProcessLookupError:
        return


if __name__ == "__main__":
    sys.exit(main())
