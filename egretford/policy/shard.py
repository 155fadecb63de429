"""A scheduler shard: each call queues at the worker with the lowest expected cost.

Each worker has its own queue, since a busy worker with a warm cache is often worth waiting for.
A worker with a free slot takes the first call of its own queue. If that is empty, it takes one
from another worker's queue that is now cheaper to run here.
"""

from __future__ import annotations

import random

from attrs import Factory, define, evolve, frozen

from egretford.models import Pool, Urgency
from egretford.policy.placement import Placement, PlacementRequest, WorkerState
from egretford.policy.queue import CallQueue, Waiting

# Calls that may wait in one shard.
DEFAULT_QUEUE_BOUND = 1_000
# Workers whose costs or queues are compared for one decision.
MAX_COMPARED_WORKERS = 32


@frozen
class Grant:
    """Permission for a call to run on a worker; `granted_at` in monotonic seconds."""

    ticket: str
    worker: str
    granted_at: float


@frozen
class Expired:
    """A call was removed from its queue because its deadline had passed."""

    ticket: str


@define
class Shard:
    """The waiting and running calls of one pool.

    All state is soft: it is rebuilt from load reports and new requests after the shard moves.
    `worker_by_ticket` maps each waiting call to the worker that it queues at, or to "" if it is
    unassigned. `cache_locations` maps each program to the worker that caches it. `changed` lists
    the workers that the next dispatch looks at, `backlogged` those that may have waiting calls.
    """

    placement: Placement
    rng: random.Random = Factory(lambda: random.Random(0))
    workers: dict[str, WorkerState] = Factory(dict)
    queues: dict[str, CallQueue] = Factory(dict)
    unassigned: CallQueue = Factory(CallQueue)
    worker_by_ticket: dict[str, str] = Factory(dict)
    grants: dict[str, Grant] = Factory(dict)
    cache_locations: dict[str, str] = Factory(dict)
    worker_names: list[str] = Factory(list)
    changed: set[str] = Factory(set)
    backlogged: set[str] = Factory(set)

    def __len__(self) -> int:
        return len(self.worker_by_ticket)

    def set_pool(self, pool: Pool) -> None:
        """Replace the pool's workers; those that stay keep their state.

        Calls that queued at a removed worker are no longer assigned to any.
        """
        known, queues = self.workers, self.queues
        self.worker_names = [worker.name for worker in pool.workers]
        self.changed = set(self.worker_names)
        self.backlogged.intersection_update(self.worker_names)
        self.workers, self.queues = {}, {}
        for worker in pool.workers:
            state = known.get(worker.name) or WorkerState(worker, pool.slots)
            state.worker, state.slots = worker, pool.slots
            state.cache_tokens = pool.cache_tokens
            self.workers[worker.name] = state
            self.queues[worker.name] = queues.pop(worker.name, None) or CallQueue()
        for leftover in queues.values():
            for call in list(leftover):
                self._enqueue(call, None)

    def offer(self, call: Waiting, now: float, bound: int = DEFAULT_QUEUE_BOUND) -> bool:
        """Queue a call at the worker with the lowest expected cost.

        Returns False if `bound` calls are waiting, or if the call would probably wait past its
        deadline.
        """
        if len(self.worker_by_ticket) >= bound:
            return False
        state = self._choose(call, now)
        if state is not None and now + self._estimate_wait(state, call) >= call.deadline:
            return False
        self._enqueue(call, state)
        return True

    def _estimate_wait(self, state: WorkerState, call: Waiting) -> float:
        ahead = 0 if call.urgency is Urgency.URGENT else len(self.queues[state.worker.name])
        return self.placement.estimate_wait(state, ahead)

    def _enqueue(self, call: Waiting, state: WorkerState | None) -> None:
        name = state.worker.name if state else ""
        queue = self.queues[name] if state else self.unassigned
        queue.push(call)
        self.worker_by_ticket[call.ticket] = name
        if state:
            self.changed.add(name)
            self.backlogged.add(name)

    def _choose(self, call: Waiting, now: float) -> WorkerState | None:
        usable = self._list_candidates(call, now)
        request = call.placement
        if all(s.worker.name in request.excluded for s in usable):
            request = evolve(request, excluded=frozenset())
        urgent = call.urgency is Urgency.URGENT
        allowed = [s for s in usable if s.worker.name not in request.excluded]
        return min(allowed, key=lambda s: self._estimate(s, request, urgent), default=None)

    def _list_candidates(self, call: Waiting, now: float) -> list[WorkerState]:
        """Return the usable workers; of a large pool a random sample plus the warm ones."""
        names = self.worker_names
        if len(names) > MAX_COMPARED_WORKERS:
            names = self.rng.sample(names, MAX_COMPARED_WORKERS)
            names += [name for name in call.placement.cached if name in self.workers]
        return [state for state in map(self.workers.__getitem__, names) if state.is_usable(now)]

    def _estimate(self, state: WorkerState, request: PlacementRequest, urgent: bool) -> float:
        ahead = 0 if urgent else len(self.queues[state.worker.name])
        return self.placement.estimate_cost(state, request, ahead)

    def cancel(self, ticket: str) -> None:
        """Remove a waiting call; an unknown ticket is ignored."""
        name = self.worker_by_ticket.pop(ticket, None)
        if name is not None:
            (self.queues.get(name) or self.unassigned).cancel(ticket)

    def list_waiting(self) -> list[Waiting]:
        """Return all waiting calls."""
        queues = [*self.queues.values(), self.unassigned]
        return [call for queue in queues for call in queue]

    def dispatch(self, now: float, *, everywhere: bool = False) -> list[Grant | Expired]:
        """Grant the free slots of the workers that changed, or of all with `everywhere`.

        A worker whose cooldown has run out is found only with `everywhere`.
        """
        results: list[Grant | Expired] = []
        names = list(self.worker_names) if everywhere else sorted(self.changed)
        self.changed.clear()
        if everywhere or len(self.unassigned):
            self._reassign_stranded(now)
        states = [self.workers[name] for name in names if name in self.workers]
        free = [state for state in states if state.is_usable(now) and state.has_slot]
        for state in free:
            self._fill_slots(state, now, results)
        for state in free:
            while state.has_slot and (name := self._find_steal_source(state)) is not None:
                self._grant_first(name, state, now, results)
        return results

    def _reassign_stranded(self, now: float) -> None:
        """Assign calls to another worker if theirs has been removed or is not usable."""
        if not any(state.is_usable(now) for state in self.workers.values()):
            return
        stranded = [self.unassigned]
        for name in sorted(self.backlogged):
            if not self.workers[name].is_usable(now):
                stranded.append(self.queues[name])
        for queue in stranded:
            while (call := queue.pop()) is not None:
                self._enqueue(call, self._choose(call, now))

    def _fill_slots(self, state: WorkerState, now: float, results: list[Grant | Expired]) -> None:
        name = state.worker.name
        while state.has_slot and len(self.queues[name]):
            self._grant_first(name, state, now, results)

    def _find_steal_source(self, state: WorkerState) -> str | None:
        """Return a worker whose first waiting call would be cheaper on this one, or None."""
        for name in sorted(self.backlogged)[:MAX_COMPARED_WORKERS]:
            call = self.queues[name].peek()
            if call is None:
                self.backlogged.discard(name)
                continue
            if name == state.worker.name or state.worker.name in call.placement.excluded:
                continue
            cost_there = self._estimate(self.workers[name], call.placement, False)
            if self.placement.estimate_cost(state, call.placement, 0) < cost_there:
                return name
        return None

    def _grant_first(
        self, queue_name: str, state: WorkerState, now: float, results: list[Grant | Expired]
    ) -> None:
        call = self.queues[queue_name].pop()
        self.worker_by_ticket.pop(call.ticket, None)
        if now >= call.deadline:
            results.append(Expired(call.ticket))
            return
        grant = Grant(call.ticket, state.worker.name, now)
        state.granted += 1
        self.grants[call.ticket] = grant
        results.append(grant)

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Release the slot of a call; a failed call starts the cooldown of its worker."""
        grant = self.grants.pop(ticket, None)
        if grant is None or grant.worker not in self.workers:
            return
        state = self.workers[grant.worker]
        self.changed.add(grant.worker)
        state.granted = max(0, state.granted - 1)
        if failed:
            state.start_cooldown(now)
        else:
            state.record_service_time(now - grant.granted_at)

    def record_cached(self, program: str, worker: str, tokens: int) -> None:
        """Record that a program's cache is now on this worker only."""
        self.forget_program(program)
        state = self.workers.get(worker)
        if state is not None:
            state.record_cached(program, tokens)
            self.cache_locations[program] = worker

    def forget_program(self, program: str) -> None:
        """Record that no worker caches a program any more."""
        state = self.workers.get(self.cache_locations.pop(program, ""))
        if state is not None:
            state.record_cached(program, 0)

    def record_load(
        self, worker: str, reported_calls: int, leaving: bool, granted_then: int
    ) -> None:
        """Apply a load report, which describes the past.

        `granted_then` is the largest number of own grants while the report was read.
        """
        state = self.workers.get(worker)
        if state is not None:
            self.changed.add(worker)
            state.leaving = leaving
            state.record_report(reported_calls, granted_then)
