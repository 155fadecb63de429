"""A turn of a long program is lost with one disk, as only one copy of it is renewed."""

from __future__ import annotations

import asyncio
import os
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
# Seconds for which a keeper is down while the program begins, and between turns of the program.
DOWN_SECONDS = 2.8
TURN_SECONDS = 2.0
# The disk is lost this long after the first turn, in seconds: turns are kept for 60 s.
DISK_LOST_AFTER_SECONDS = 83.0
TRIES = 6


class Program:
    """A program whose turns follow each other."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._number = 0
        self.last: str | None = None
        self.last_whole_at = 0.0
        self.expected = b""

    async def send_turn(self, entry: str) -> bool:
        """Send the next turn; returns whether a worker began to run it."""
        body = b"input %d\n" % self._number
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
        request_id, answer = await self._deployment.ask(entry, CHAT, body, **fields)
        if answer is not None and answer.status == 200 and answer.is_complete:
            self._number += 1
            self.last, self.last_whole_at = request_id, time.monotonic()
        return bool(self._deployment.list_runs(request_id))


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
    """Let a program last; lose one disk; check that the next turn reaches a worker."""
    deployment.workers += [
        WorkerStandin("m-1", "models", "cascadia-a", engine=True),
        WorkerStandin("m-2", "models", "cascadia-b", engine=True),
    ]
    await deployment.start(make_configuration(), KEEPERS, ENTRIES)
    program = Program(deployment)
    names = list(ENTRIES)
    # The program begins while a keeper of its region is down.
    if TROUBLE:
        deployment.kill("storage-2")
    down_at = time.monotonic()
    while program.last is None:
        await program.send_turn("edge-1")
        if time.monotonic() - down_at > DOWN_SECONDS:
            break
    began_at = time.monotonic()
    await asyncio.sleep(max(0.0, down_at + DOWN_SECONDS - began_at))
    if TROUBLE:
        deployment.restart("storage-2")
    await asyncio.sleep(CATCH_UP_SECONDS)
    # It goes on, turn by turn, for longer than a turn without successors is kept.
    number = 0
    while time.monotonic() < began_at + DISK_LOST_AFTER_SECONDS:
        number += 1
        await program.send_turn(names[number % len(names)])
        await asyncio.sleep(TURN_SECONDS)
    if TROUBLE:
        deployment.lose_disk("storage-1")
        await asyncio.sleep(1.0)
        deployment.restart("storage-1")
    await asyncio.sleep(CATCH_UP_SECONDS + CONTACT_SECONDS)
    # The machine is back for longer than it counts as lost, and all machines are in touch again.
    reached = False
    for number in range(TRIES):
        reached = await program.send_turn(names[number % len(names)])
        if reached:
            break
        await asyncio.sleep(0.3)
    age = time.monotonic() - program.last_whole_at
    first = await send_first_turns(deployment, 10)
    deployment.record.write(
        f"the next turn reached {'a' if reached else 'no'} worker; the turn before was answered "
        f"whole {age:.1f} s ago; {first} of 10 first turns reached a worker"
    )
    return not reached and age < 60.0 and first >= 9


def main() -> None:
    """Run the case."""
    run_case(Path(__file__).parent, ZONES, play, "record-lost-disk.txt")
