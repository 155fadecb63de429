"""Simulation of engines behind many entries, in simulated time, for tests of placement.

Workers are chosen by the production code; each entry has its own estimate of the load and cache
of every worker. Engines run up to `slots` turns at once, prefill the prompt parts that they have
not cached, and queue further turns in order of arrival.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from attrs import Factory, define

from egretford.entry.models import CallerRequest, PromptPart, Worker, WorkerLoad
from egretford.entry.workers import TrackedWorker, update_foreign_loads
from egretford.http.messages import Headers, HttpRequest
from egretford.policy.placement import Placement, WorkerState
from egretford.policy.prefixes import PrefixCache

HTTP = HttpRequest(b"POST", b"/", Headers(), b"", True, 0.0)
PREFILL_TOKENS_PER_SECOND = 247_000.0
PLACEMENT = Placement({"n1": "north"}, prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND)
SHARED_TOKENS, TURN_TOKENS, SHARED_PARTS = 12_600, 1_680, 8
CACHE_TOKENS = 234_000
TOKEN_SECONDS = 0.000_8
MEAN_OUTPUT_TOKENS = 200
# Share of turns that arrive at a randomly chosen entry instead of the program's last one.
ENTRY_CHANGE_SHARE = 0.2


@define
class Engine:
    """One worker: the number of running turns, the queue and the cached prompt parts."""

    slots: int
    running: int = 0
    waiting: deque = Factory(deque)
    cache: PrefixCache = Factory(lambda: PrefixCache(CACHE_TOKENS))


@define
class Program:
    """A chain of turns; `entry` is the index of the entry where the next one arrives."""

    name: str
    shared: str
    turns_left: int
    entry: int
    parts: list[PromptPart] = Factory(list)


@define
class Outcome:
    """Queueing times of all turns in seconds, and prompt tokens that were not cached."""

    waits: list[float] = Factory(list)
    prefilled_tokens: int = 0
    turns: int = 0

    def percentile(self, share: float) -> float:
        """Return a quantile of the queueing times; `share` is between 0 and 1."""
        return sorted(self.waits)[int(share * (len(self.waits) - 1))]


Chooser = Callable[[CallerRequest, list[TrackedWorker], float], TrackedWorker]


class Simulation:
    """Entries, engines and programs; `choose` selects the worker of a turn."""

    def __init__(
        self, choose: Chooser, entries: int = 33, engines: int = 11, slots: int = 8, seed: int = 5
    ) -> None:
        self.choose = choose
        self.entries = entries
        self.engines = engines
        self.slots = slots
        self.now = 0.0
        self.outcome = Outcome()
        self.rng = random.Random(seed)
        self.workers = [Engine(slots) for _ in range(engines)]
        self.tracked_workers = [self._make_tracked_workers() for _ in range(entries)]
        self.events: list = []
        self.counter = itertools.count()

    def _make_tracked_workers(self) -> list[TrackedWorker]:
        workers_of_entry = []
        for number in range(self.engines):
            worker = Worker(f"w{number}", "m", "10.0.0.1:80", "n1", self.slots, False)
            state = WorkerState(worker, self.slots, service_seconds=0.15)
            workers_of_entry.append(TrackedWorker(worker, state, PrefixCache(CACHE_TOKENS)))
        return workers_of_entry

    def run(self, programs_per_second: Callable[[float], float], seconds: float) -> Outcome:
        """Start programs at a time-dependent rate for `seconds` and run all until they finish."""
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(programs_per_second(at))
            shared = f"shared-{min(int(self.rng.paretovariate(0.7)), SHARED_PARTS)}"
            program = Program(
                f"p{next(self.counter)}",
                shared,
                self.rng.randint(2, 8),
                self.rng.randrange(self.entries),
                [PromptPart(shared, SHARED_TOKENS)],
            )
            self._schedule(at, self._send, program)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.outcome

    def _schedule(self, at: float, action: Callable, *arguments: object) -> None:
        heapq.heappush(self.events, (at, next(self.counter), action, arguments))

    def _send(self, program: Program) -> None:
        if self.rng.random() < ENTRY_CHANGE_SHARE:
            program.entry = self.rng.randrange(self.entries)
        program.parts.append(PromptPart(f"{program.name}-{len(program.parts)}", TURN_TOKENS))
        request = CallerRequest(
            id=f"{program.name}-{len(program.parts)}",
            host="",
            path="",
            http=HTTP,
            program=program.name,
            prompt=tuple(program.parts),
            prompt_tokens=sum(part.tokens for part in program.parts),
        )
        tracked_workers = self.tracked_workers[program.entry]
        update_foreign_loads(tracked_workers, self.now)
        tracked = self.choose(request, tracked_workers, self.now)
        tracked.state.granted += 1
        tracked.cache.record_prompt(request.prompt)
        engine = self.workers[tracked_workers.index(tracked)]
        engine.waiting.append((self.now, program, request, tracked))
        self._admit(engine)

    def _admit(self, engine: Engine) -> None:
        while engine.waiting and engine.running < engine.slots:
            arrived, program, request, tracked = engine.waiting.popleft()
            engine.running += 1
            uncached = request.prompt_tokens - engine.cache.count_cached(request.prompt)
            engine.cache.record_prompt(request.prompt)
            self.outcome.prefilled_tokens += uncached
            self.outcome.turns += 1
            self.outcome.waits.append(self.now - arrived)
            output = self.rng.expovariate(1 / MEAN_OUTPUT_TOKENS)
            # Prefill slows down with the number of running turns, which share the engine.
            seconds = uncached / PREFILL_TOKENS_PER_SECOND * (1 + engine.running / engine.slots)
            seconds += output * TOKEN_SECONDS
            self._schedule(self.now + seconds, self._finish, engine, program, tracked, seconds)

    def _finish(
        self, engine: Engine, program: Program, tracked: TrackedWorker, seconds: float
    ) -> None:
        engine.running -= 1
        self._admit(engine)
        tracked.state.granted -= 1
        tracked.record_load(WorkerLoad(engine.running, len(engine.waiting), engine.slots), self.now)
        tracked.record_success(seconds)
        program.turns_left -= 1
        if program.turns_left:
            self._schedule(self.now + 0.1, self._send, program)
