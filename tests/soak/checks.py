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
    extract_data_lines,
    read_events,
)
from tests.soak.processes import CORE
from tests.soak.workers import (
    EVENTS_PER_STREAM,
    ORIGINS,
    join_stream_events,
    make_complete_stream,
)

ROUTE_ATTEMPTS = {"chat": 1, "plan": 1, "book": 1, "ping": 3, "crash": 3}
DEADLINE_SLACK_SECONDS = 0.5
CRASHES_TO_BLOCK = 3
MAX_CRASH_RETRIES = 3
# Time after a crash until all entries know of it.
CRASH_SETTLE_SECONDS = 4.0
COMPLETE_STREAMS = [make_complete_stream(origin) for origin in ORIGINS]
EVENT_ID = re.compile(rb"id: (\d+)\n")


def check_all(load: Load) -> list[str]:
    """Return a description of each violated guarantee; empty if there is none."""
    arrivals = collect_arrivals(load)
    checks = (
        check_runs_at_most_once,
        check_promised_refusals,
        check_bodies,
        check_broken_turns,
        check_answers,
        check_budgets,
        check_known_turns,
        check_completed_answers,
        check_workers_per_attempt,
        check_time_left,
        check_crashing_requests,
        check_resumed_streams,
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
        if attempt.broken is not None:
            # These have a check of their own.
            continue
        for arrival in arrivals[attempt.id]:
            if arrival.body != attempt.expected_body:
                yield (
                    f"UNASKED: {attempt.kind} {attempt.id} after {attempt.previous}: "
                    f"{arrival.body!r} instead of {attempt.expected_body!r}"
                )


def check_broken_turns(load: Load, arrivals: dict[str, list[Arrival]]):
    """A turn that broke off is kept whole or not at all: the next one has all of its events."""
    for attempt in load.attempts:
        if attempt.broken is None:
            continue
        answer = attempt.broken.answer
        received = answer.body if answer is not None else b""
        histories = [
            attempt.broken.expected_body + extract_data_lines(stream)
            for stream in COMPLETE_STREAMS
            if stream.startswith(received)
        ]
        for arrival in arrivals[attempt.id]:
            if arrival.body not in [history + attempt.expected_body for history in histories]:
                yield f"ORDER: {attempt.id} went on from {attempt.previous} with {arrival.body!r}"


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
        elif attempt.kind in ("plan", "crash"):
            # These have checks of their own.
            continue
        elif answer.is_complete and answer.body not in COMPLETE_STREAMS:
            yield f"ORDER: {attempt.id} ended as complete with {answer.body!r}"
        elif not any(stream.startswith(answer.body) for stream in COMPLETE_STREAMS):
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
        if attempt.status == 404 and attempt.broken is None:
            yield f"LOST: {attempt.id} got 404 for turn {attempt.previous}, which was acknowledged"


def check_completed_answers(load: Load, arrivals: dict[str, list[Arrival]]):
    """An answer that a worker completed reaches its caller whole, within the deadline."""
    for attempt in load.attempts:
        whole = attempt.answer is not None and attempt.answer.is_complete
        took = attempt.ended_at - attempt.sent_at
        if (
            not whole
            and not attempt.gave_up
            and took < DEADLINE_SECONDS
            and is_answer_required(load, attempt, arrivals[attempt.id])
        ):
            yield (
                f"LOST: {attempt.kind} {attempt.id} at {attempt.entry} was closed after "
                f"{took:.3f} s, at {attempt.ended_at:.3f}, though its worker completed it"
            )


def find_disturbed_workers(load: Load, attempt: Attempt, arrivals: list[Arrival]) -> set[str]:
    """Return the workers of a request that ended, or were cut off or delayed, near it in time."""
    return {
        arrival.worker
        for arrival in arrivals
        if any(
            d.exempts({arrival.worker}, attempt.sent_at, attempt.ended_at)
            for d in load.cluster.disruptions
        )
    }


def check_workers_per_attempt(load: Load, arrivals: dict[str, list[Arrival]]):
    """A request runs on no more workers than its route allows, save those that failed meanwhile."""
    for attempt in load.attempts:
        reached = {arrival.worker for arrival in arrivals[attempt.id]}
        failed = find_disturbed_workers(load, attempt, arrivals[attempt.id])
        if len(reached - failed) > ROUTE_ATTEMPTS[attempt.kind]:
            yield f"BUDGET: {attempt.kind} {attempt.id} at {attempt.entry} ran on {sorted(reached)}"


def check_time_left(load: Load, arrivals: dict[str, list[Arrival]]):
    """Workers are told of no more time than the caller has left.

    What a cut held up arrives with the time that was left when it was sent.
    """
    for attempt in load.attempts:
        held_up = find_disturbed_workers(load, attempt, arrivals[attempt.id])
        ends = sorted(
            (arrival.http.received_at, int(arrival.headers.get_text(b"Deadline-Ms") or 10**9))
            for arrival in arrivals[attempt.id]
            if arrival.worker not in held_up
        )
        if any(ms > (DEADLINE_SECONDS + DEADLINE_SLACK_SECONDS) * 1_000 for _, ms in ends):
            yield f"BUDGET: {attempt.kind} {attempt.id} was passed on with too much time: {ends}"
        for at, ms in ends[1:]:
            first_end = ends[0][0] + ends[0][1] / 1_000
            is_late = at > ends[0][0] + DEADLINE_SLACK_SECONDS
            if is_late and at + ms / 1_000 > first_end + DEADLINE_SLACK_SECONDS:
                yield f"BUDGET: {attempt.kind} {attempt.id} got more time when sent again: {ends}"


def check_crashing_requests(load: Load, arrivals: dict[str, list[Arrival]]):
    """A request that has crashed three workers reaches workers in few more retries."""
    for body, crashed_at in load.cluster.crashes.items():
        if len(crashed_at) < CRASHES_TO_BLOCK:
            continue
        blocked_at = sorted(crashed_at)[CRASHES_TO_BLOCK - 1] + CRASH_SETTLE_SECONDS
        retries = [
            attempt
            for attempt in load.attempts
            if attempt.kind == "crash"
            and attempt.expected_body == body
            and attempt.sent_at > blocked_at
            and arrivals[attempt.id]
            and not any(
                d.exempts({attempt.entry, CORE}, attempt.sent_at, attempt.ended_at)
                for d in load.cluster.disruptions
            )
        ]
        if len(retries) > MAX_CRASH_RETRIES:
            times = [round(attempt.sent_at - blocked_at, 2) for attempt in retries]
            yield f"BUDGET: {body!r} reached workers in {len(retries)} more retries: {times}"


def check_resumed_streams(load: Load, arrivals: dict[str, list[Arrival]]):
    """The events of a stream and of what goes on from it are in order, and of one origin."""
    streams: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in load.attempts:
        if attempt.kind == "plan":
            streams[attempt.resumes or attempt.id].append(attempt)
    for stream_id, attempts in streams.items():
        events: list[tuple[int, str]] = []
        for attempt in attempts:
            received = read_events(attempt)
            if received and received[0][0] != attempt.resume_after + 1:
                yield f"ORDER: {attempt.id} begins with {received} after {attempt.resume_after}"
            sent = join_stream_events(received)
            if attempt.served and attempt.answer.body != sent:
                yield f"ORDER: {attempt.id} ended as complete with {attempt.answer.body!r}"
            last = received[-1][0] if received else attempt.resume_after
            if attempt.served and last != EVENTS_PER_STREAM:
                yield f"ORDER: {attempt.id} ended as complete with {attempt.answer.body!r}"
            events += received
        if [number for number, _ in events] != list(range(1, len(events) + 1)):
            yield f"ORDER: {stream_id} has {events} in {[a.id for a in attempts]}"
        if len({origin for _, origin in events}) > 1:
            yield f"ORDER: {stream_id} is joined from origins: {events}"


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
