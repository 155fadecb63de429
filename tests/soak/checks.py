"""The promises, checked from what callers got and what workers ran."""

from __future__ import annotations

import re
from collections import defaultdict

from tests.platform.standins import Arrival
from tests.soak.load import (
    DEADLINE_SECONDS,
    EVENT_TOKENS,
    PROMISES,
    TURN_TOKENS,
    Attempt,
    Load,
    whole_stream,
)
from tests.soak.processes import CORE

EVENT = re.compile(rb"id: (\d+)\n")


def check_all(load: Load) -> list[str]:
    """Return what broke; empty if every promise was kept."""
    arrivals = collect_arrivals(load)
    checks = (
        check_runs_at_most_once,
        check_promised_refusals,
        check_bodies,
        check_answers,
        check_budgets,
        check_known_turns,
        check_ended_answers,
    )
    return [problem for check in checks for problem in check(load, arrivals)]


def collect_arrivals(load: Load) -> dict[str, list[Arrival]]:
    """Return what workers got, by request."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for worker in load.cluster.workers:
        for arrival in worker.arrivals:
            arrivals[arrival.request_id].append(arrival)
    return arrivals


def count_owed(load: Load) -> int:
    """Return how many requests were owed their whole answer."""
    arrivals = collect_arrivals(load)
    return sum(is_owed(load, attempt, arrivals[attempt.id]) for attempt in load.attempts)


def check_runs_at_most_once(load: Load, arrivals: dict[str, list[Arrival]]):
    """Only calls that may be repeated reach workers more than once."""
    for attempt in load.attempts:
        runs = len(arrivals[attempt.id])
        if runs > 1 and attempt.kind in ("chat", "book"):
            yield f"TWICE: {attempt.kind} {attempt.id} ran {runs} times"


def check_promised_refusals(load: Load, arrivals: dict[str, list[Arrival]]):
    """What is refused with a promise has not run."""
    for attempt in load.attempts:
        may_repeat = attempt.kind in ("ping", "plan")
        if attempt.status in PROMISES and arrivals[attempt.id] and not may_repeat:
            yield f"REFUSED: {attempt.kind} {attempt.id} got {attempt.status} and ran"


def check_bodies(load: Load, arrivals: dict[str, list[Arrival]]):
    """Workers get what callers sent; turns with their whole history before."""
    for attempt in load.attempts:
        for arrival in arrivals[attempt.id]:
            if arrival.body != attempt.expected_body:
                yield (
                    f"UNASKED: {attempt.kind} {attempt.id} after {attempt.previous}: "
                    f"{arrival.body!r} instead of {attempt.expected_body!r}"
                )


def check_answers(load: Load, arrivals: dict[str, list[Arrival]]):
    """Answers belong to their requests; streams are in order and complete if they end so."""
    for attempt in load.attempts:
        answer = attempt.answer
        if answer is None or answer.status != 200:
            continue
        if answer.headers.get_text(b"Request-Id") != attempt.id:
            yield f"MIXED: {attempt.id} got the answer of another request"
        if attempt.kind in ("ping", "book"):
            if answer.whole and answer.body != b"done " + attempt.id.encode():
                yield f"MIXED: {attempt.id} got {answer.body!r}"
        elif answer.whole and answer.body != whole_stream():
            yield f"ORDER: {attempt.id} ended as complete with {answer.body!r}"
        elif not whole_stream().startswith(answer.body):
            yield f"ORDER: {attempt.id} got {answer.body!r}"


def check_budgets(load: Load, arrivals: dict[str, list[Arrival]]):
    """The tokens handed out in all turns of a program stay within its budget and one turn."""
    spent: dict[str, int] = defaultdict(int)
    for attempt in load.attempts:
        if attempt.kind == "chat" and attempt.status == 200:
            spent[attempt.program] += EVENT_TOKENS * len(EVENT.findall(attempt.answer.body))
    for chain in load.chains:
        if spent[chain.program] > chain.budget + TURN_TOKENS:
            yield f"BUDGET: {chain.program} got {spent[chain.program]} of {chain.budget}"


def check_known_turns(load: Load, arrivals: dict[str, list[Arrival]]):
    """A turn that was acknowledged is never called unknown."""
    for attempt in load.attempts:
        if attempt.status == 404:
            yield f"LOST: {attempt.id} was told that turn {attempt.previous} does not exist"


def check_ended_answers(load: Load, arrivals: dict[str, list[Arrival]]):
    """What a sound worker has ended well reaches its caller whole, before its time is up."""
    for attempt in load.attempts:
        whole = attempt.answer is not None and attempt.answer.whole
        took = attempt.ended_at - attempt.sent_at
        if not whole and took < DEADLINE_SECONDS and is_owed(load, attempt, arrivals[attempt.id]):
            yield (
                f"LOST: {attempt.kind} {attempt.id} at {attempt.entry} was closed after "
                f"{took:.3f} s, at {attempt.ended_at:.3f}, though its worker ended it well"
            )


def is_owed(load: Load, attempt: Attempt, arrivals: list[Arrival]) -> bool:
    """Whether a worker ended an answer well, with nothing near that excuses its loss.

    Whatever is planned, and a slow disk, is no excuse; an unplanned disruption of the entry,
    the worker, the keepers or the store is one for a while.
    """
    for arrival in arrivals:
        targets = {attempt.entry, arrival.worker, CORE}
        excused = any(
            disruption.excuses(targets, attempt.sent_at, attempt.ended_at)
            for disruption in load.cluster.disruptions
        )
        if arrival.ended_well and not excused:
            return True
    return False


def has_worker_failed(load: Load, attempt: Attempt) -> bool:
    """Whether a request has run and no worker ended it well."""
    arrivals = collect_arrivals(load)[attempt.id]
    return bool(arrivals) and not any(arrival.ended_well for arrival in arrivals)


def check_kept_turns(load: Load, lasting: dict[str, int | None]) -> list[str]:
    """After all faults, each program's newest turn can be continued."""
    return [
        f"LOST: the turn {turn} cannot be continued: {status}"
        for turn, status in lasting.items()
        if status != 200
    ]
