"""The load command: runs programs against entries and verifies their results."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from itertools import cycle

import aiohttp
from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram

from egretford.cli.caller import Caller, CallerProgram, ProgramFailedError
from egretford.cli.requests import EntryUnreachableError, fetch_json
from egretford.cli.workload import Step, Template, Workload

PROGRESS_SECONDS = 1.0
HIGHEST_MICROSECONDS = 3_600_000_000


@define
class Tally:
    """Results collected while the load runs.

    `calls` counts calls by outcome: "ran", or the verdict and kind of the error.
    """

    completed: int = 0
    refused: int = 0
    failed: int = 0
    calls: Counter[str] = Factory(Counter)
    wasted_tokens: int = 0
    prompt_tokens: int = 0
    latency: HdrHistogram = Factory(lambda: HdrHistogram(1, HIGHEST_MICROSECONDS, 3))
    faults: list[str] = Factory(list)
    expected_effects: set[str] = Factory(set)
    refused_effects: set[str] = Factory(set)
    cut_off: list[str] = Factory(list)


@frozen
class LoadReport:
    """Report printed by `egretford load`.

    `seconds` is the duration of the load; `latency` is that of completed programs, in seconds.
    Programs that failed without an error reply from an entry are `broken`. Of tool effects,
    `doubled_effects` ran more than once, `lost_effects` are missing although the call
    succeeded, and `false_not_run` exist although the call was reported as not run.
    """

    programs: int
    whole: int
    refused_honestly: int
    broken: int
    verdicts: dict[str, int]
    latency: dict[str, float]
    prompt_tokens: int
    wasted_tokens: int
    effects: int
    doubled_effects: list[str]
    lost_effects: list[str]
    false_not_run: list[str]
    cut_off: list[str]
    faults: list[str]
    seconds: float

    @property
    def is_successful(self) -> bool:
        """Whether every program completed or got an error reply, and all effects are correct."""
        wrong = self.doubled_effects or self.lost_effects or self.false_not_run
        return not self.broken and not wrong


async def run_load(
    workload: Workload,
    *,
    entries: list[str],
    services: list[str],
    programs: int,
    concurrency: int,
    seed: int,
    show_progress: bool,
) -> LoadReport:
    """Run programs, chosen at random by weight, with `concurrency` of them at a time."""
    tally = Tally()
    rng = random.Random(seed)
    jobs = [_choose_program(workload, rng) for _ in range(programs)]
    started = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        progress = asyncio.create_task(_show_progress(tally, programs, show_progress))
        await _run_jobs(session, jobs, entries, concurrency, tally, seed)
        progress.cancel()
    effects = await _read_effects(services)
    return _build_report(tally, programs, effects, bool(services), time.monotonic() - started)


def _choose_program(workload: Workload, rng: random.Random) -> tuple[Template, str]:
    weights = [template.weight for template in workload.programs]
    template = rng.choices(workload.programs, weights)[0]
    return template, rng.choice(template.tenants)


async def _run_jobs(
    session: aiohttp.ClientSession,
    jobs: list[tuple[Template, str]],
    entries: list[str],
    concurrency: int,
    tally: Tally,
    seed: int,
) -> None:
    queue = iter(enumerate(jobs))
    offsets = cycle(range(len(entries)))

    async def run_queued() -> None:
        for index, (template, tenant) in queue:
            start = next(offsets)
            caller = Caller(session, entries[start:] + entries[:start])
            await _run_program(caller, template, tenant, tally, f"load-{seed}-{index}")

    await asyncio.gather(*(run_queued() for _ in range(concurrency)))


async def _run_program(
    caller: Caller, template: Template, tenant: str, tally: Tally, key: str
) -> None:
    started = time.monotonic()
    opening = {
        "route": template.route,
        "tenant": tenant,
        "class": template.urgency.value,
        "budget": template.budget,
    }
    program = None
    try:
        program = await caller.open(opening, f"{key}-{time.time_ns()}")
        await _run_steps(program, template.steps, opening, tally)
        await program.end()
        tally.completed += 1
        tally.latency.record_value(max(1, int((time.monotonic() - started) * 1_000_000)))
    except ProgramFailedError as failure:
        _record_failure(tally, template, failure)
        if program is not None:
            await program.abandon()
    finally:
        tally.cut_off.extend(caller.cut_off)


def _record_failure(tally: Tally, template: Template, failure: ProgramFailedError) -> None:
    tally.calls[f"{failure.verdict}:{failure.kind}"] += 1
    if failure.is_error_reply:
        tally.refused += 1
    else:
        tally.failed += 1
    if len(tally.faults) < 20:
        tally.faults.append(f"{template.name}: {failure}")


async def _run_steps(
    program: CallerProgram, steps: list[Step], opening: dict, tally: Tally
) -> None:
    for step in steps:
        if step.pause is not None:
            await asyncio.sleep(step.pause)
        elif step.agents:
            await asyncio.gather(
                *(_run_agent(program, agent, opening, tally) for agent in step.agents)
            )
        else:
            await _run_call(program, step, tally)


async def _run_agent(parent: CallerProgram, steps: list[Step], opening: dict, tally: Tally) -> None:
    child = await parent.open_child(opening)
    await _run_steps(child, steps, opening, tally)
    await child.end()


async def _run_call(program: CallerProgram, step: Step, tally: Tally) -> None:
    effect = f"{program.id}/{program.last_call + 1}"
    body = _build_call(step)
    try:
        outcome = await program.call(body)
    except ProgramFailedError as failure:
        if step.tool is not None and failure.verdict == "not_run":
            tally.refused_effects.add(effect)
        raise
    tally.calls["ran"] += 1
    if step.tool is not None and not step.repeatable:
        tally.expected_effects.add(effect)
    tally.prompt_tokens += outcome.usage["prompt"]
    tally.wasted_tokens += outcome.wasted_tokens


def _build_call(step: Step) -> dict:
    if step.tool is not None:
        return {
            "kind": "tool",
            "service": step.service,
            "repeatable": step.repeatable,
            "messages": [{"role": "user", "content": step.tool}],
        }
    return {
        "kind": "model",
        "max_tokens": step.max_tokens,
        "messages": [{"role": "user", "content": step.model}],
    }


async def _show_progress(tally: Tally, programs: int, is_shown: bool) -> None:
    while is_shown:
        done = tally.completed + tally.refused + tally.failed
        print(f"\r{done}/{programs} programs", end="", file=sys.stderr, flush=True)
        await asyncio.sleep(PROGRESS_SECONDS)


async def _read_effects(services: list[str]) -> Counter[str]:
    effects: Counter[str] = Counter()
    for url in services:
        try:
            rows = await fetch_json(f"{url}/effects")
        except EntryUnreachableError:
            continue
        for row in rows:
            effects[row["key"]] += row["count"]
    return effects


def _build_report(
    tally: Tally, programs: int, effects: Counter[str], effects_checked: bool, seconds: float
) -> LoadReport:
    own_effects = {key: count for key, count in effects.items() if key in tally.expected_effects}
    percentiles = {
        f"p{p}": tally.latency.get_value_at_percentile(p) / 1_000_000 for p in (50, 95, 99)
    }
    return LoadReport(
        programs=programs,
        whole=tally.completed,
        refused_honestly=tally.refused,
        broken=tally.failed,
        verdicts=dict(tally.calls),
        latency=percentiles,
        prompt_tokens=tally.prompt_tokens,
        wasted_tokens=tally.wasted_tokens,
        effects=len(own_effects),
        doubled_effects=sorted(key for key, count in effects.items() if count > 1),
        lost_effects=sorted(tally.expected_effects - set(effects)) if effects_checked else [],
        false_not_run=sorted(tally.refused_effects & set(effects)),
        cut_off=tally.cut_off,
        faults=tally.faults,
        seconds=round(seconds, 3),
    )
