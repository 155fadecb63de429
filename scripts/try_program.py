"""Runs one Fernhollow program on a local deployment and prints its calls; see `make try`."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import aiohttp
from local_deployment import start_deployment, stop_deployment

from egretford.cli.caller import Caller, CallerProgram, ProgramFailedError
from egretford.cli.requests import fetch_json

ENTRIES = 3
OPENING = {
    "route": "agent-models",
    "tenant": "family-walks",
    "class": "interactive",
    "budget": {"tokens": 20_000, "calls": 10, "seconds": 120},
}


def main() -> int:
    """Start a deployment, run the program and stop the deployment."""
    with tempfile.TemporaryDirectory(prefix="egretford-try-") as folder:
        state = Path(folder)
        try:
            if start_deployment(state, ENTRIES, "fernhollow"):
                return 1
            return asyncio.run(_try_program(json.loads((state / "local.json").read_text())))
        finally:
            stop_deployment(state)


async def _try_program(deployment: dict) -> int:
    entries = [item["url"] for item in deployment["entries"]]
    async with aiohttp.ClientSession() as session:
        try:
            program = await Caller(session, entries).open(OPENING, "try")
            print(f"opened program {program.id} at {entries[0]}")
            await _run_calls(session, program, entries)
        except ProgramFailedError as failure:
            print(f"failed: {failure}")
            return 1
    return await _check_effects(program, deployment)


async def _run_calls(
    session: aiohttp.ClientSession, program: CallerProgram, entries: list[str]
) -> None:
    await _run_call(program, {"kind": "model", "max_tokens": 24}, "Plan a walk on Saturday.")
    print("  pause of a tool that the caller runs itself")
    await asyncio.sleep(0.2)
    # The next calls go to other entries, which forward them to the program's owner.
    program.caller = Caller(session, entries[1:] + entries[:1])
    booking = {"kind": "tool", "service": "booking-app"}
    await _run_call(program, booking, "book slot 10:30 with two alpacas")
    program.caller = Caller(session, entries[2:] + entries[:2])
    await _run_call(program, {"kind": "model", "max_tokens": 16}, "Confirm the booking.")
    view = await program.caller.send("DELETE", f"/v1/programs/{program.id}")
    print(f"ended; spent {view['spent']['tokens']} tokens in {view['spent']['calls']} calls")


async def _run_call(program: CallerProgram, body: dict, text: str) -> None:
    result = await program.call({**body, "messages": [{"role": "user", "content": text}]})
    print(f"  call {program.last_call} ({body['kind']}): {text}")
    print(f"    -> {json.dumps(result.answer['content'])}")
    print(f"    usage {result.usage}, digest {program.digest}")


async def _check_effects(program: CallerProgram, deployment: dict) -> int:
    counts = []
    for service in deployment["services"]:
        rows = await fetch_json(f"{service['url']}/effects")
        counts += [row["count"] for row in rows if row["key"].startswith(program.id)]
    print(f"the booking took effect {sum(counts)} time(s)")
    return 0 if counts == [1] else 1


if __name__ == "__main__":
    sys.exit(main())
