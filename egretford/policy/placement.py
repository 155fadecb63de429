"""Where a call runs: the worker with the least expected cost, in seconds."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import Factory, define, frozen

from egretford.models import Worker

PREFILL_TOKENS_PER_SECOND = 20_000.0
BYTES_PER_TOKEN = 4
FIRST_SERVICE_SECONDS = 1.0
SERVICE_SMOOTHING = 0.05
AVOID_SECONDS = 2.0
CROWDING_SHARE = 0.1
MOVE_WEIGHT = 2.0


@define
class WorkerState:
    """What a scheduler knows of one worker; times in monotonic seconds."""

    worker: Worker
    slots: int
    granted: int = 0
    foreign: float = 0
    service_seconds: float = FIRST_SERVICE_SECONDS
    leaving: bool = False
    avoid_until: float = 0.0
    cache_tokens: int = 0
    held: dict[str, int] = Factory(dict)
    held_tokens: int = 0

    @property
    def running(self) -> float:
        """Calls believed to be in the worker: own grants, and others' by its reports."""
        return self.granted + self.foreign

    def is_usable(self, now: float) -> bool:
        """Whether the worker may get new calls."""
        return not self.leaving and now >= self.avoid_until

    @property
    def has_slot(self) -> bool:
        """Whether one more call would run at once."""
        return self.running < self.slots

    def note_report(self, in_worker: int, granted_then: int) -> None:
        """Take a load report: what is beyond the own grants of that time is others'."""
        self.foreign = max(0, in_worker - granted_then)

    def note_service(self, seconds: float) -> None:
        """Learn from a finished call."""
        self.service_seconds += SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def note_held(self, program: str, tokens: int) -> None:
        """Note how much cache a program has here; zero when it has none any more."""
        self.held_tokens += tokens - self.held.pop(program, 0)
        if tokens:
            self.held[program] = tokens

    def measure_overflow(self, program: str, tokens: int) -> int:
        """Return how many tokens of others a program of `tokens` would push out."""
        if not self.cache_tokens or program in self.held:
            return 0
        wanted = self.held_tokens + tokens
        return min(tokens, max(0, wanted - self.cache_tokens))

    def avoid(self, now: float) -> None:
        """Send nothing here for a while after a failure."""
        self.avoid_until = now + AVOID_SECONDS


@frozen
class Link:
    """The link between regions as one call sees it."""

    bits_per_second: float = 15_000_000.0
    one_way_seconds: float = 0.012


@frozen
class PlacementRequest:
    """What placement needs to know of a call; `cached` maps worker names to tokens."""

    program: str
    prompt_tokens: int
    cached: Mapping[str, int]
    region: str
    cache_weight: float = 1.0
    excluded: frozenset[str] = frozenset()


@frozen
class Placement:
    """Costs of placements for one pool."""

    regions: Mapping[str, str]
    link: Link = Link()
    prefill_tokens_per_second: float = PREFILL_TOKENS_PER_SECOND

    def region_of(self, worker: Worker) -> str:
        """Return the region of a worker's failure domain."""
        return self.regions.get(worker.failure_domain, worker.failure_domain)

    def estimate_cost(self, state: WorkerState, request: PlacementRequest, ahead: int = 0) -> float:
        """Return the expected cost of a call on a worker, in seconds, behind `ahead` others."""
        cost = self.estimate_wait(state, ahead)
        uncached = request.prompt_tokens - self._count_cached(state, request)
        # A prefill holds up every call in the worker's batch, and a program that moves
        # leaves tokens behind that push out others'.
        delayed = request.cache_weight + min(state.running, state.slots)
        if request.cached and state.worker.name not in request.cached:
            delayed += MOVE_WEIGHT
        evicted = state.measure_overflow(request.program, request.prompt_tokens)
        cost += delayed * (uncached + evicted) / self.prefill_tokens_per_second
        if self.region_of(state.worker) != request.region:
            cost += self._estimate_transfer(request.prompt_tokens)
        return cost

    def _count_cached(self, state: WorkerState, request: PlacementRequest) -> int:
        return min(request.prompt_tokens, request.cached.get(state.worker.name, 0))

    def estimate_wait(self, state: WorkerState, ahead: int) -> float:
        """Return the expected wait for a slot, in seconds, behind `ahead` others."""
        share = state.running / state.slots
        over = max(0, state.running + ahead - state.slots + 1)
        return state.service_seconds * (CROWDING_SHARE * share + over / state.slots)

    def _estimate_transfer(self, tokens: int) -> float:
        bits = 8 * BYTES_PER_TOKEN * tokens
        return 2 * self.link.one_way_seconds + bits / self.link.bits_per_second
