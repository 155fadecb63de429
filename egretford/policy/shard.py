"""A scheduler shard: the queue of one pool, and grants of its workers' slots."""

from __future__ import annotations

from attrs import Factory, define, evolve, frozen

from egretford.models import Pool
from egretford.policy.placement import Placement, PlacementRequest, WorkerState
from egretford.policy.queue import CallQueue, Waiting

DEFAULT_QUEUE_BOUND = 1_000


@frozen
class Grant:
    """A call may run on a worker."""

    ticket: str
    worker: str
    granted_at: float


@frozen
class Expired:
    """A call's deadline passed, or cannot be met, before it got a worker."""

    ticket: str


@define
class Shard:
    """Soft state: rebuilt from load reports and new requests after a move."""

    placement: Placement
    queue: CallQueue = Factory(CallQueue)
    workers: dict[str, WorkerState] = Factory(dict)
    grants: dict[str, Grant] = Factory(dict)
    service_seconds: float = 0.0

    def set_pool(self, pool: Pool) -> None:
        """Take the pool's workers; unknown ones go, known ones keep their state."""
        known = self.workers
        self.workers = {}
        for worker in pool.workers:
            state = known.get(worker.name) or WorkerState(worker, pool.slots)
            state.worker, state.slots = worker, pool.slots
            self.workers[worker.name] = state

    def offer(self, call: Waiting, bound: int = DEFAULT_QUEUE_BOUND) -> bool:
        """Queue a call; False when the queue is at its bound."""
        if len(self.queue) >= bound:
            return False
        self.queue.push(call)
        return True

    def cancel(self, ticket: str) -> None:
        """Drop a waiting call."""
        self.queue.cancel(ticket)

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Grant slots to the first calls while there are any."""
        results: list[Grant | Expired] = []
        while (call := self.queue.peek()) is not None:
            if now >= call.deadline:
                self.queue.pop()
                results.append(Expired(call.ticket))
                continue
            free = [s for s in self.workers.values() if s.is_usable(now) and s.has_slot]
            if not free:
                break
            state = self.placement.choose(free, call.placement)
            if state is None:
                state = self.placement.choose(free, _without_exclusions(call))
            self.queue.pop()
            results.append(self._grant(call, state, now))
        return results

    def _grant(self, call: Waiting, state: WorkerState, now: float) -> Grant:
        grant = Grant(call.ticket, state.worker.name, now)
        state.granted += 1
        self.grants[call.ticket] = grant
        return grant

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Give a slot back; a failed call makes its worker avoided for a while."""
        grant = self.grants.pop(ticket, None)
        if grant is None or grant.worker not in self.workers:
            return
        state = self.workers[grant.worker]
        state.granted = max(0, state.granted - 1)
        if failed:
            state.avoid(now)
        else:
            state.note_service(now - grant.granted_at)

    def note_load(self, worker: str, in_worker: int, leaving: bool, granted_then: int) -> None:
        """Take a lagging load report."""
        state = self.workers.get(worker)
        if state is not None:
            state.leaving = leaving
            state.note_report(in_worker, granted_then)


def _without_exclusions(call: Waiting) -> PlacementRequest:
    return evolve(call.placement, excluded=frozenset())
