"""A model of engines behind many entries, in modelled time, for tests of placement.

Entries are real: each chooses by its own beliefs. Engines run `slots` turns at once, prefill
what their memory lacks, and queue the rest in order of arrival.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from attrs import Factory, define

from egretford.entry.models import CallerRequest, PromptPart, Worker, WorkerLoad
from egretford.entry.workers import TrackedWorker, believe_loads
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
# Turns come through another entry of the region now and then.
MOVING_SHARE = 0.2


@define
class Engine:
    """One worker: who runs, who waits, and which parts it keeps."""

    slots: int
    running: int = 0
    waiting: deque = Factory(deque)
    cache: PrefixCache = Factory(lambda: PrefixCache(CACHE_TOKENS))


@define
class Program:
    """A chain of turns; `entry` is where the next one arrives."""

    name: str
    shared: str
    turns_left: int
    entry: int
    parts: list[PromptPart] = Factory(list)


@define
class Outcome:
    """Waits of all turns in seconds, and prompt tokens read though some engine kept them."""

    waits: list[float] = Factory(list)
    tokens_read: int = 0
    turns: int = 0

    def percentile(self, share: float) -> float:
        """Return a percentile of the waits."""
        return sorted(self.waits)[int(share * (len(self.waits) - 1))]


Chooser = Callable[[CallerRequest, list[TrackedWorker], float], TrackedWorker]


class Simulation:
    """Entries, engines and programs; `choose` is the decision under test."""

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
        self.beliefs = [self._make_beliefs() for _ in range(entries)]
        self.events: list = []
        self.numbers = itertools.count()

    def _make_beliefs(self) -> list[TrackedWorker]:
        found = []
        for number in range(self.engines):
            worker = Worker(f"w{number}", "m", "10.0.0.1:80", "n1", self.slots, False)
            state = WorkerState(worker, self.slots, service_seconds=0.15)
            found.append(TrackedWorker(worker, state, PrefixCache(CACHE_TOKENS)))
        return found

    def play(self, programs_per_second: Callable[[float], float], seconds: float) -> Outcome:
        """Let programs arrive at a rate that depends on the time."""
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(programs_per_second(at))
            shared = f"shared-{min(int(self.rng.paretovariate(0.7)), SHARED_PARTS)}"
            program = Program(
                f"p{next(self.numbers)}",
                shared,
                self.rng.randint(2, 8),
                self.rng.randrange(self.entries),
                [PromptPart(shared, SHARED_TOKENS)],
            )
            self._push(at, self._send, program)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.outcome

    def _push(self, at: float, action: Callable, *arguments: object) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), action, arguments))

    def _send(self, program: Program) -> None:
        if self.rng.random() < MOVING_SHARE:
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
        beliefs = self.beliefs[program.entry]
        believe_loads(beliefs, self.now)
        tracked = self.choose(request, beliefs, self.now)
        tracked.state.granted += 1
        tracked.cache.note_prompt(request.prompt)
        engine = self.workers[beliefs.index(tracked)]
        engine.waiting.append((self.now, program, request, tracked))
        self._admit(engine)

    def _admit(self, engine: Engine) -> None:
        while engine.waiting and engine.running < engine.slots:
            arrived, program, request, tracked = engine.waiting.popleft()
            engine.running += 1
            uncached = request.prompt_tokens - engine.cache.count_cached(request.prompt)
            engine.cache.note_prompt(request.prompt)
            self.outcome.tokens_read += uncached
            self.outcome.turns += 1
            self.outcome.waits.append(self.now - arrived)
            output = self.rng.expovariate(1 / MEAN_OUTPUT_TOKENS)
            # Prefills of the batch hold each other up.
            seconds = uncached / PREFILL_TOKENS_PER_SECOND * (1 + engine.running / engine.slots)
            seconds += output * TOKEN_SECONDS
            self._push(self.now + seconds, self._finish, engine, program, tracked, seconds)

    def _finish(
        self, engine: Engine, program: Program, tracked: TrackedWorker, seconds: float
    ) -> None:
        engine.running -= 1
        self._admit(engine)
        tracked.state.granted -= 1
        tracked.note_load(WorkerLoad(engine.running, len(engine.waiting), engine.slots), self.now)
        tracked.note_success(seconds)
        program.turns_left -= 1
        if program.turns_left:
            self._push(self.now + 0.1, self._send, program)
