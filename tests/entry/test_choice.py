"""Worker selection by many entries that do not share their state."""

from __future__ import annotations

from collections import Counter

from egretford.entry.choice import choose_worker
from egretford.entry.models import CallerRequest, PromptPart, Worker
from egretford.entry.workers import TrackedWorker
from egretford.http.messages import Headers, HttpRequest
from egretford.policy.placement import Placement, WorkerState
from egretford.policy.prefixes import PrefixCache

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}
PLACEMENT = Placement(REGIONS, prefill_tokens_per_second=247_000.0)
HTTP = HttpRequest(b"POST", b"/", Headers(), b"", True, 0.0)


def make_workers(zones):
    found = []
    for number, zone in enumerate(zones):
        worker = Worker(f"w{number}", "m", "10.0.0.1:80", zone, 8, False)
        state = WorkerState(worker, 8, service_seconds=0.15)
        found.append(TrackedWorker(worker, state, PrefixCache(200_000)))
    return found


def make_turn(program, parts=2):
    prompt = tuple(PromptPart(f"{program}-{n}" if n else "shared", 1_000) for n in range(parts))
    return CallerRequest(
        id=f"{program}-{parts}",
        host="",
        path="",
        http=HTTP,
        program=program,
        prompt=prompt,
        prompt_tokens=1_000 * parts,
    )


def test_many_entries_without_knowledge_spread_first_turns():
    """66 entries with 12 workers per region choose for one first turn each.

    At least 11 workers must get a turn, and none more than 2.5 times the mean.
    """
    chosen = Counter()
    for entry in range(66):
        workers = make_workers(["n1", "n2"] * 6)
        tracked, _ = choose_worker(make_turn(f"p{entry}"), workers, PLACEMENT, "north")
        chosen[tracked.worker.id] += 1
    assert len(chosen) >= 11
    assert max(chosen.values()) <= 2.5 * 66 / 12


def test_a_program_finds_its_worker_through_an_entry_that_never_saw_it():
    first, _ = choose_worker(make_turn("p"), make_workers(["n1", "n2"] * 6), PLACEMENT, "north")
    again, _ = choose_worker(
        make_turn("p", parts=4), make_workers(["n1", "n2"] * 6), PLACEMENT, "north"
    )
    assert again.worker.id == first.worker.id


def test_a_known_cached_prompt_takes_precedence_over_the_hash():
    workers = make_workers(["n1"] * 6)
    turn = make_turn("p", parts=4)
    home, _ = choose_worker(turn, workers, PLACEMENT, "north")
    other = next(t for t in workers if t is not home)
    other.cache.record_prompt(turn.prompt)
    assert choose_worker(turn, workers, PLACEMENT, "north")[0] is other


def test_an_idle_worker_is_preferred_and_another_region_only_if_its_cost_is_lower():
    workers = make_workers(["n1", "n2", "s1"])
    for tracked in workers[:1]:
        tracked.state.granted = 12
    chosen = {
        choose_worker(make_turn(f"p{n}"), workers, PLACEMENT, "north")[0].worker.id
        for n in range(20)
    }
    assert chosen == {"w1"}
    workers[1].state.granted = 40
    workers[0].state.granted = 40
    assert choose_worker(make_turn("p"), workers, PLACEMENT, "north")[0].worker.id == "w2"
