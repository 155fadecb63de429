"""Starting of the daemons that run on the users' platform."""

from __future__ import annotations

import asyncio
import random
import signal

from egretford.cli.exits import ExitStatus
from egretford.clock import SystemClock
from egretford.errors import InputError, Problem
from egretford.instance import InstanceSettings
from egretford.logs import configure_logs
from egretford.metrics import Metrics
from egretford.platform.settings import find_settings_path, read_instance_settings


def run_platform_daemon(role: str) -> int:
    """Run one role from the platform's settings file until SIGTERM."""
    configure_logs()
    settings = read_instance_settings(find_settings_path())
    asyncio.run(_serve(role, settings))
    return ExitStatus.OK


async def _serve(role: str, settings: InstanceSettings) -> None:
    daemon = _build(role, settings)
    loop = asyncio.get_running_loop()
    leaving = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leaving.set)
    await daemon.start()
    await leaving.wait()
    await daemon.drain()
    await daemon.close()


def _build(role: str, settings: InstanceSettings):
    context = (settings, SystemClock(), random.Random(), Metrics())
    match role:
        case "entry":
            from egretford.entry.daemon import EntryDaemon

            return EntryDaemon(*context)
        case "keeper":
            from egretford.keeper.daemon import KeeperDaemon

            return KeeperDaemon(*context)
        case _:
            raise InputError([Problem("role", f"is {role!r}", "give entry or keeper")])
