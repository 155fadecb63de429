"""Estimates the cost, in seconds, of running a call on each worker; the cheapest gets it."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import Factory, define, frozen

from egretford.models import Worker

# Default prefill speed of a worker.
PREFILL_TOKENS_PER_SECOND = 20_000.0
BYTES_PER_TOKEN = 4
# Expected service time of a worker on which no call has finished yet.
INITIAL_SERVICE_SECONDS = 1.0
# Weight of the newest call in the moving average of service times.
SERVICE_SMOOTHING = 0.05
# A worker gets no calls for this long after a failure.
COOLDOWN_SECONDS = 2.0
# Extra wait in proportion to the busy slots: this share of the service time when all are busy.
OCCUPANCY_WEIGHT = 0.1
# Cost of a program's move away from its cached tokens, in calls that its prefill delays.
MIGRATION_WEIGHT = 2.0


@define
class WorkerState:
    """State of one worker as a scheduler knows it; times in monotonic seconds.

    `granted` counts the scheduler's own calls on the worker, `foreign_calls` estimates those of
    other schedulers. `held` maps programs to their tokens in the worker's cache, and
    `held_tokens` is the sum.
    """

    worker: Worker
    slots: int
    granted: int = 0
    foreign_calls: float = 0
    service_seconds: float = INITIAL_SERVICE_SECONDS
    leaving: bool = False
    cooldown_until: float = 0.0
    cache_tokens: int = 0
    held: dict[str, int] = Factory(dict)
    held_tokens: int = 0

    @property
    def running(self) -> float:
        """Estimated calls on the worker: own grants, and those of others from its reports."""
        return self.granted + self.foreign_calls

    def is_usable(self, now: float) -> bool:
        """Whether the worker may get new calls."""
        return not self.leaving and now >= self.cooldown_until

    @property
    def has_slot(self) -> bool:
        """Whether one more call would run without queueing."""
        return self.running < self.slots

    def record_report(self, reported_calls: int, granted_then: int) -> None:
        """Apply a load report: calls beyond the own grants of that time belong to others."""
        self.foreign_calls = max(0, reported_calls - granted_then)

    def record_service_time(self, seconds: float) -> None:
        """Update the average service time with that of a finished call."""
        self.service_seconds += SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def record_cached(self, program: str, tokens: int) -> None:
        """Record how many tokens of a program are cached here; zero removes the program."""
        self.held_tokens += tokens - self.held.pop(program, 0)
        if tokens:
            self.held[program] = tokens

    def estimate_evictions(self, program: str, tokens: int) -> int:
        """Return how many cached tokens of others a program of `tokens` would evict."""
        if not self.cache_tokens or program in self.held:
            return 0
        needed = self.held_tokens + tokens
        return min(tokens, max(0, needed - self.cache_tokens))

    def start_cooldown(self, now: float) -> None:
        """Exclude the worker for `COOLDOWN_SECONDS` after a failure."""
        self.cooldown_until = now + COOLDOWN_SECONDS


@frozen
class Link:
    """Bandwidth and latency of the link between regions, as available to one call."""

    bits_per_second: float = 15_000_000.0
    one_way_seconds: float = 0.012


@frozen
class PlacementRequest:
    """The properties of a call that affect its placement.

    `cached` maps worker names to the prompt tokens that they have in cache.
    """

    program: str
    prompt_tokens: int
    cached: Mapping[str, int]
    region: str
    cache_weight: float = 1.0
    excluded: frozenset[str] = frozenset()


@frozen
class Placement:
    """Estimates the costs of calls on the workers of one pool."""

    regions: Mapping[str, str]
    link: Link = Link()
    prefill_tokens_per_second: float = PREFILL_TOKENS_PER_SECOND

    def region_of(self, worker: Worker) -> str:
        """Return the region of a worker's failure domain."""
        return self.regions.get(worker.failure_domain, worker.failure_domain)

    def estimate_cost(self, state: WorkerState, request: PlacementRequest, ahead: int = 0) -> float:
        """Return the expected cost in seconds of a call on a worker, behind `ahead` others."""
        cost = self.estimate_wait(state, ahead)
        uncached = request.prompt_tokens - self._count_cached(state, request)
        # A prefill delays every call in the worker's batch. A program that moves also leaves
        # cached tokens behind, which evict those of other programs.
        delayed_calls = request.cache_weight + min(state.running, state.slots)
        if request.cached and state.worker.name not in request.cached:
            delayed_calls += MIGRATION_WEIGHT
        evicted = state.estimate_evictions(request.program, request.prompt_tokens)
        cost += delayed_calls * (uncached + evicted) / self.prefill_tokens_per_second
        if self.region_of(state.worker) != request.region:
            cost += self._estimate_transfer(request.prompt_tokens)
        return cost

    def _count_cached(self, state: WorkerState, request: PlacementRequest) -> int:
        return min(request.prompt_tokens, request.cached.get(state.worker.name, 0))

    def estimate_wait(self, state: WorkerState, ahead: int) -> float:
        """Return the expected wait in seconds for a slot, queued behind `ahead` others."""
        occupancy = state.running / state.slots
        excess = max(0, state.running + ahead - state.slots + 1)
        return state.service_seconds * (OCCUPANCY_WEIGHT * occupancy + excess / state.slots)

    def _estimate_transfer(self, tokens: int) -> float:
        bits = 8 * BYTES_PER_TOKEN * tokens
        return 2 * self.link.one_way_seconds + bits / self.link.bits_per_second
