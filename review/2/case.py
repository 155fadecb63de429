"""A program loses its first turns after two keepers were restarted in turn, twice."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from review.standins.configuration import make_configuration
from review.standins.deployment import (
    CATCH_UP_SECONDS,
    CONTACT_SECONDS,
    Deployment,
    run_case,
)
from tests.platform.standins import WorkerStandin

# With TROUBLE=0 in the environment, all is done without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"cascadia-a": "cascadia", "cascadia-b": "cascadia", "inland-a": "inland"}
KEEPERS = {"storage-1": "cascadia-a", "storage-2": "cascadia-b", "storage-3": "inland-a"}
ENTRIES = {"edge-1": "cascadia-a", "edge-2": "cascadia-b"}
CHAT = "/chat/2f"
# How long turns are kept, in seconds.
RETENTION_SECONDS = 45.0
# The machines that are stopped and started again, in this order, and for how long they are down.
RESTARTED = ("storage-1", "storage-2", "storage-1", "storage-2")
DOWN_SECONDS = 2.0
# The pause between the turns of the program, in seconds.
TURN_SECONDS = 0.3
# The program goes on for so long after the last restart unless it stops before, in seconds.
REST_SECONDS = 60.0
TRIES = 6


class Program:
    """A program whose turns follow each other."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._number = 0
        self._sent = 0
        self.last: str | None = None
        self.last_whole_at = 0.0

    async def send_turn(self) -> bool:
        """Send the next turn, to the entries in turn; returns whether a worker began to run it."""
        fields = {
            "Model": "m",
            "Program_Id": "3fa81c",
            "Session_Id": "77d20b",
            "Finish_Ms": "200000",
            "Token_Budget": "1000000",
            "Token_Usage": "1460,320",
            "Prompt_Prefix": "5c1e07a2:800,e4402b7d:660",
        }
        if self.last is not None:
            fields["Previous_Turn"] = self.last
        self._sent += 1
        entry = list(ENTRIES)[self._sent % len(ENTRIES)]
        body = b"input %d\n" % self._number
        request_id, answer = await self._deployment.ask(entry, CHAT, body, **fields)
        if answer is not None and answer.status == 200 and answer.is_complete:
            self._number += 1
            self.last, self.last_whole_at = request_id, time.monotonic()
        return bool(self._deployment.list_runs(request_id))

    async def run(self, seconds: float) -> None:
        """Send turns for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self.send_turn()
            await asyncio.sleep(TURN_SECONDS)


async def stop(deployment: Deployment, name: str) -> None:
    """Stop a process as the platform does, by SIGTERM."""
    machine = deployment.machines[name]
    deployment.record.write(f"PLANNED {name} gets SIGTERM")
    machine.process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(machine.process.wait)
    machine.process = None
    deployment.record.write(f"PLANNED {name} has stopped")


async def send_first_turns(deployment: Deployment, count: int) -> int:
    """Send first turns of other programs; returns how many reached a worker."""
    reached = 0
    for number in range(count):
        fields = {"Program_Id": f"f{number}", "Token_Budget": "100000", "Token_Usage": "1460,320"}
        entry = list(ENTRIES)[number % len(ENTRIES)]
        request_id, _ = await deployment.ask(entry, CHAT, b"new %d" % number, **fields)
        reached += bool(deployment.list_runs(request_id))
    return reached


async def play(deployment: Deployment) -> bool:
    """Run a program while keepers are restarted, and later; check that its turns reach a worker."""
    deployment.workers += [
        WorkerStandin("m-1", "models", "cascadia-a", engine=True),
        WorkerStandin("m-2", "models", "cascadia-b", engine=True),
    ]
    configuration = make_configuration(retention_s=RETENTION_SECONDS)
    await deployment.start(configuration, KEEPERS, ENTRIES)
    program = Program(deployment)
    await program.run(1.0)
    for name in RESTARTED:
        if TROUBLE:
            await stop(deployment, name)
        await program.run(DOWN_SECONDS)
        if TROUBLE:
            deployment.restart(name)
        await program.run(CATCH_UP_SECONDS)
    # Nothing is disturbed from here on.
    calm_at = time.monotonic()
    failed = 0
    while failed < TRIES and time.monotonic() < calm_at + REST_SECONDS:
        reached = await program.send_turn()
        failed = 0 if reached else failed + 1
        await asyncio.sleep(TURN_SECONDS)
    age = time.monotonic() - program.last_whole_at
    first = await send_first_turns(deployment, 10)
    deployment.record.write(
        f"{time.monotonic() - calm_at:.1f} s after the last restart: {failed} tries reached "
        f"no worker; the turn before was answered whole {age:.1f} s ago; "
        f"{first} of 10 first turns reached a worker"
    )
    in_touch = time.monotonic() - calm_at > CONTACT_SECONDS
    return failed >= TRIES and in_touch and age < RETENTION_SECONDS and first >= 9


def main() -> None:
    """Run the case."""
    run_case(Path(__file__).parent, ZONES, play)
