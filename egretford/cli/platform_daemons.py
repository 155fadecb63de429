"""Starting of the daemons that run on the users' platform."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path
from typing import Any, Protocol

from attrs import evolve

from egretford.cli.exits import ExitStatus
from egretford.clock import SystemClock
from egretford.errors import InputError
from egretford.exposition import MetricsHandler
from egretford.http.limits import RequestLimits
from egretford.http.server import HttpServer
from egretford.instance import InstanceSettings
from egretford.logs import make_logger, writer
from egretford.metrics import Metrics
from egretford.platform.settings import find_settings_path, read_instance_settings


class Daemon(Protocol):
    """A role's process."""

    async def start(self) -> None:
        """Begin to serve."""

    def reload(self, settings: InstanceSettings) -> None:
        """Take changed settings."""

    async def drain(self) -> None:
        """Finish what is under way."""

    async def close(self) -> None:
        """Stop."""


def run_platform_daemon(role: str, metrics_port: int, advertised: str = "") -> int:
    """Run one role from the platform's settings file until SIGTERM."""
    path = find_settings_path()
    asyncio.run(_serve(role, path, metrics_port, advertised))
    writer.write_out()
    return ExitStatus.OK


async def _serve(role: str, path: Path, metrics_port: int, advertised: str) -> None:
    settings = evolve(read_instance_settings(path), advertised_address=advertised)
    log = make_logger("daemon", instance=settings.name)
    clock, metrics = SystemClock(), Metrics()
    daemon = _build(role, settings, clock, metrics)
    page = HttpServer(MetricsHandler(metrics).handle, RequestLimits(), clock, log)
    loop = asyncio.get_running_loop()
    leaving = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leaving.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, daemon, path, log)
    loop.set_exception_handler(lambda _, context: _report_stray_error(context, log))
    await daemon.start()
    if metrics_port:
        await page.start(f"{settings.ip}:{metrics_port}")
    await leaving.wait()
    await daemon.drain()
    await daemon.close()
    await page.close()


def _reload(daemon: Daemon, path: Path, log: Any) -> None:
    try:
        settings = read_instance_settings(path)
    except InputError as error:
        log.error("the settings cannot be read; the former ones stay", error=str(error))
        return
    log.info("read the settings again")
    daemon.reload(settings)


def _report_stray_error(context: dict[str, Any], log: Any) -> None:
    log.error(
        "an error was caught by nobody",
        what=context.get("message"),
        error=repr(context.get("exception")),
    )


def _build(role: str, settings: InstanceSettings, clock: SystemClock, metrics: Metrics) -> Daemon:
    if role == "keeper":
        from egretford.keeper.daemon import KeeperDaemon

        return KeeperDaemon(settings, clock, metrics)
    from egretford.entry.daemon import EntryDaemon

    return EntryDaemon(settings, clock, random.Random(), metrics)
