"""Checks the scheduler's guarantees against callers' answers and workers' requests."""

from __future__ import annotations

import re
from collections import defaultdict

from tests.platform.standins import Arrival
from tests.soak.load import (
    DEADLINE_SECONDS,
    EVENT_TOKENS,
    NOT_RUN_STATUSES,
    TURN_TOKENS,
    Attempt,
    Load,
    make_complete_stream,
)
from tests.soak.processes import CORE

EVENT_ID = re.compile(rb"id: (\d+)\n")


def check_all(load: Load) -> list[str]:
    """Return a description of each violated guarantee; empty if there is none."""
    arrivals = collect_arrivals(load)
    checks = (
        check_runs_at_most_once,
        check_promised_refusals,
        check_bodies,
        check_answers,
        check_budgets,
        check_known_turns,
        check_completed_answers,
    )
    return [problem for check in checks for problem in check(load, arrivals)]


def collect_arrivals(load: Load) -> dict[str, list[Arrival]]:
    """Return the requests that reached workers, grouped by request id."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for worker in load.cluster.workers:
        for arrival in worker.arrivals:
            arrivals[arrival.request_id].append(arrival)
    return arrivals


def count_required_answers(load: Load) -> int:
    """Return the number of requests that must have received their complete answer."""
    arrivals = collect_arrivals(load)
    return sum(is_answer_required(load, attempt, arrivals[attempt.id]) for attempt in load.attempts)


def check_runs_at_most_once(load: Load, arrivals: dict[str, list[Arrival]]):
    """Requests that are not repeatable reach workers at most once."""
    for attempt in load.attempts:
        runs = len(arrivals[attempt.id])
        if runs > 1 and attempt.kind in ("chat", "book"):
            yield f"TWICE: {attempt.kind} {attempt.id} ran {runs} times"


def check_promised_refusals(load: Load, arrivals: dict[str, list[Arrival]]):
    """A request refused with a status that means "not run" has not reached a worker."""
    for attempt in load.attempts:
        may_repeat = attempt.kind in ("ping", "plan")
        if attempt.status in NOT_RUN_STATUSES and arrivals[attempt.id] and not may_repeat:
            yield f"REFUSED: {attempt.kind} {attempt.id} got {attempt.status} and ran"


def check_bodies(load: Load, arrivals: dict[str, list[Arrival]]):
    """Workers receive the bodies that callers sent; turns start with their full history."""
    for attempt in load.attempts:
        for arrival in arrivals[attempt.id]:
            if arrival.body != attempt.expected_body:
                yield (
                    f"UNASKED: {attempt.kind} {attempt.id} after {attempt.previous}: "
                    f"{arrival.body!r} instead of {attempt.expected_body!r}"
                )


def check_answers(load: Load, arrivals: dict[str, list[Arrival]]):
    """Answers match their requests; streams are in order, and whole if they end as complete."""
    for attempt in load.attempts:
        answer = attempt.answer
        if answer is None or answer.status != 200:
            continue
        if answer.headers.get_text(b"Request-Id") != attempt.id:
            yield f"MIXED: {attempt.id} got the answer of another request"
        if attempt.kind in ("ping", "book"):
            if answer.is_complete and answer.body != b"done " + attempt.id.encode():
                yield f"MIXED: {attempt.id} got {answer.body!r}"
        elif answer.is_complete and answer.body != make_complete_stream():
            yield f"ORDER: {attempt.id} ended as complete with {answer.body!r}"
        elif not make_complete_stream().startswith(answer.body):
            yield f"ORDER: {attempt.id} got {answer.body!r}"


def check_budgets(load: Load, arrivals: dict[str, list[Arrival]]):
    """A program's turns deliver at most its budget plus the tokens of one turn."""
    spent: dict[str, int] = defaultdict(int)
    for attempt in load.attempts:
        if attempt.kind == "chat" and attempt.status == 200:
            spent[attempt.program] += EVENT_TOKENS * len(EVENT_ID.findall(attempt.answer.body))
    for chain in load.chains:
        if spent[chain.program] > chain.budget + TURN_TOKENS:
            yield f"BUDGET: {chain.program} got {spent[chain.program]} of {chain.budget}"


def check_known_turns(load: Load, arrivals: dict[str, list[Arrival]]):
    """A turn that was acknowledged to the caller is never reported as unknown."""
    for attempt in load.attempts:
        if attempt.status == 404:
            yield f"LOST: {attempt.id} got 404 for turn {attempt.previous}, which was acknowledged"


def check_completed_answers(load: Load, arrivals: dict[str, list[Arrival]]):
    """An answer that a worker completed reaches its caller whole, within the deadline."""
    for attempt in load.attempts:
        whole = attempt.answer is not None and attempt.answer.is_complete
        took = attempt.ended_at - attempt.sent_at
        if (
            not whole
            and took < DEADLINE_SECONDS
            and is_answer_required(load, attempt, arrivals[attempt.id])
        ):
            yield (
                f"LOST: {attempt.kind} {attempt.id} at {attempt.entry} was closed after "
                f"{took:.3f} s, at {attempt.ended_at:.3f}, though its worker completed it"
            )


def is_answer_required(load: Load, attempt: Attempt, arrivals: list[Arrival]) -> bool:
    """Return whether a worker completed the answer and no nearby disruption explains its loss.

    Unplanned disruptions of the entry, the worker, the keepers or the store exempt requests
    for a limited time. Planned work and slow disks never do.
    """
    for arrival in arrivals:
        targets = {attempt.entry, arrival.worker, CORE}
        exempted = any(
            disruption.exempts(targets, attempt.sent_at, attempt.ended_at)
            for disruption in load.cluster.disruptions
        )
        if arrival.completed and not exempted:
            return True
    return False


def has_worker_failed(load: Load, attempt: Attempt) -> bool:
    """Return whether a request reached a worker but no worker completed its answer."""
    arrivals = collect_arrivals(load)[attempt.id]
    return bool(arrivals) and not any(arrival.completed for arrival in arrivals)


def check_continued_turns(load: Load, statuses: dict[str, int | None]) -> list[str]:
    """Once all faults have ended, the newest turn of each program can be continued."""
    return [
        f"LOST: the turn {turn} cannot be continued: {status}"
        for turn, status in statuses.items()
        if status != 200
    ]
