"""Starts the daemons, entry and keeper, that run on the user's platform."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
from pathlib import Path
from typing import Any, Protocol

from attrs import evolve

from egretford import event_loop
from egretford.cli.exits import ExitStatus
from egretford.clock import SystemClock
from egretford.errors import InputError
from egretford.exposition import MetricsHandler
from egretford.http.limits import SMALL_CAPACITY, RequestLimits
from egretford.http.server import HttpServer
from egretford.instance import InstanceSettings
from egretford.logs import make_logger, writer
from egretford.metrics import Metrics
from egretford.platform.settings import find_settings_path, read_instance_settings

# New objects, less freed ones, after which the garbage collector looks for cycles; the default is
# 700. Requests leave few cycles, and keepers hold many records, which it would visit over and over.
COLLECTOR_THRESHOLD = 5_000


class Daemon(Protocol):
    """Interface of the daemons of all roles."""

    async def start(self) -> None:
        """Start servers and background tasks."""

    def reload(self, settings: InstanceSettings) -> None:
        """Apply settings that were reloaded on SIGHUP."""

    async def drain(self) -> None:
        """Finish requests in flight before the daemon is closed."""

    async def close(self) -> None:
        """Close servers and connections."""


def run_platform_daemon(role: str, metrics_port: int, advertised: str = "") -> int:
    """Run a role with the platform's settings file until SIGTERM or SIGINT."""
    path = find_settings_path()
    event_loop.run(_serve(role, path, metrics_port, advertised))
    writer.write_out()
    return ExitStatus.OK


async def _serve(role: str, path: Path, metrics_port: int, advertised: str) -> None:
    settings = evolve(read_instance_settings(path), advertised_address=advertised)
    log = make_logger("daemon", instance=settings.name)
    clock, metrics = SystemClock(), Metrics()
    daemon = _build_daemon(role, settings, clock, metrics)
    handler = MetricsHandler(metrics)
    metrics_server = HttpServer(handler.handle, RequestLimits(), clock, log, SMALL_CAPACITY)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, daemon, path, log)
    loop.set_exception_handler(lambda _, context: _log_unhandled_error(context, log))
    await daemon.start()
    gc.freeze()
    gc.set_threshold(COLLECTOR_THRESHOLD)
    if metrics_port:
        await metrics_server.start(f"{settings.ip}:{metrics_port}")
    await stop_requested.wait()
    await daemon.drain()
    await daemon.close()
    await metrics_server.close()


def _reload(daemon: Daemon, path: Path, log: Any) -> None:
    try:
        settings = read_instance_settings(path)
    except InputError as error:
        log.error("could not reload settings; keeping the previous ones", error=str(error))
        return
    log.info("reloaded settings")
    daemon.reload(settings)


def _log_unhandled_error(context: dict[str, Any], log: Any) -> None:
    log.error(
        "unhandled error in the event loop",
        what=context.get("message"),
        error=repr(context.get("exception")),
    )


def _build_daemon(
    role: str, settings: InstanceSettings, clock: SystemClock, metrics: Metrics
) -> Daemon:
    if role == "keeper":
        from egretford.keeper.daemon import KeeperDaemon

        return KeeperDaemon(settings, clock, metrics)
    from egretford.entry.daemon import EntryDaemon

    return EntryDaemon(settings, clock, random.Random(), metrics)
