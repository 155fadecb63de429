"""Policies that the bench compares: the production shard and four baselines."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from attrs import Factory, define

from egretford.models import Pool, PoolKind, Worker
from egretford.policy.membership import rank_by_hash
from egretford.policy.placement import Placement, WorkerState
from egretford.policy.queue import Waiting
from egretford.policy.shard import Expired, Grant, Shard
from egretford.standin.batching import EngineProfile


class Policy(Protocol):
    """Decides on which worker and when each call runs; `now` is in simulated seconds."""

    def submit(self, call: Waiting, now: float) -> bool:
        """Accept a call; return False to refuse it."""

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Return the calls to start, and those whose deadline passed or cannot be met."""

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Free the slot of a call that completed or failed."""

    def report(self, worker: str, in_worker: int, leaving: bool, now: float) -> None:
        """Process a worker's load report, which is outdated by the reporting lag.

        `in_worker` is the number of calls running and queued in the worker.
        """

    def record_cached(self, program: str, worker: str, tokens: int) -> None:
        """Record which worker has a program's prompt cached; none if `tokens` is 0."""


@define
class ShardPolicy:
    """Adapter of the scheduler shard, called as an entry calls it."""

    shard: Shard
    queue_bound: int = 1_000
    dispatch_all: bool = False

    @staticmethod
    def build(
        workers: list[Worker], profile: EngineProfile, regions: dict[str, str]
    ) -> ShardPolicy:
        """Return a policy with one pool of all workers."""
        shard = Shard(Placement(regions))
        pool = Pool(
            "pool",
            PoolKind.ENGINE,
            workers,
            slots=profile.slots,
            cache_tokens=profile.cache_tokens,
        )
        shard.set_pool(pool)
        return ShardPolicy(shard)

    def submit(self, call: Waiting, now: float) -> bool:
        """Queue a call; False if the queue is full or its deadline cannot be met."""
        return self.shard.offer(call, now, self.queue_bound)

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Grant free slots; after a load report, check all workers.

        Entries also check all workers from time to time.
        """
        all_workers, self.dispatch_all = self.dispatch_all, False
        return self.shard.dispatch(now, everywhere=all_workers)

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Release the call's slot in the shard."""
        self.shard.finish(ticket, now, failed=failed)

    def report(self, worker: str, in_worker: int, leaving: bool, now: float) -> None:
        """Record whether the worker is leaving.

        The reported load is passed as 0: no other scheduler sends calls in the bench.
        """
        self.shard.record_load(worker, 0, leaving, 0)
        self.dispatch_all = True

    def record_cached(self, program: str, worker: str, tokens: int) -> None:
        """Update the shard's record of the program's cache, or drop it for 0 tokens."""
        if tokens:
            self.shard.record_cached(program, worker, tokens)
        else:
            self.shard.forget_program(program)


@define
class ImmediateDispatch:
    """Base of the baselines that dispatch each call at once, into the engine's queue."""

    workers: dict[str, WorkerState]
    pending: list[Waiting] = Factory(list)
    running: dict[str, str] = Factory(dict)
    reported: dict[str, int] = Factory(dict)

    def submit(self, call: Waiting, now: float) -> bool:
        """Accept every call."""
        self.pending.append(call)
        return True

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Dispatch all pending calls; to any worker if none is usable."""
        grants = []
        for call in self.pending:
            usable = [s for s in self.workers.values() if s.is_usable(now)]
            worker = self.choose(call, usable or list(self.workers.values()))
            self.running[call.ticket] = worker
            self.workers[worker].granted += 1
            grants.append(Grant(call.ticket, worker, now))
        self.pending.clear()
        return grants

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the name of the worker that runs the call."""
        raise NotImplementedError

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Decrement the worker's load; a worker that failed is avoided for a while."""
        worker = self.running.pop(ticket, None)
        if worker is not None:
            self.workers[worker].granted -= 1
            if failed:
                self.workers[worker].start_cooldown(now)

    def report(self, worker: str, in_worker: int, leaving: bool, now: float) -> None:
        """Store the reported load and whether the worker is leaving."""
        self.reported[worker] = in_worker
        self.workers[worker].leaving = leaving

    def record_cached(self, program: str, worker: str, tokens: int) -> None:
        """Ignore caches; the baselines do not use them."""


@define
class RoundRobin(ImmediateDispatch):
    """Cycles through the usable workers."""

    turn: int = 0

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the next usable worker in order."""
        self.turn += 1
        return usable[self.turn % len(usable)].worker.name


@define
class LeastLoaded(ImmediateDispatch):
    """Sends a call to the worker with the fewest unfinished calls of this scheduler."""

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the least loaded worker; ties go to the first name."""
        return min(usable, key=lambda s: (s.granted, s.worker.name)).worker.name


@define
class StickyHash(ImmediateDispatch):
    """Sends all calls of a program tree to one worker, chosen by rendezvous hashing."""

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the highest ranked usable worker of the program tree."""
        return rank_by_hash(call.tree, [s.worker.name for s in usable])[0]


@define
class FirstCome(ImmediateDispatch):
    """Global FIFO queue; a call is dispatched only to a worker with a free slot."""

    waiting: deque[Waiting] = Factory(deque)

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Dispatch queued calls in order of arrival while a slot is free."""
        self.waiting.extend(self.pending)
        self.pending.clear()
        grants = []
        while self.waiting:
            free = [s for s in self.workers.values() if s.is_usable(now) and s.has_slot]
            if not free:
                break
            call = self.waiting.popleft()
            worker = self.choose(call, free)
            self.running[call.ticket] = worker
            self.workers[worker].granted += 1
            grants.append(Grant(call.ticket, worker, now))
        return grants

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the least loaded worker; ties go to the first name."""
        return min(usable, key=lambda s: (s.granted, s.worker.name)).worker.name


BASELINES = {
    "round-robin": RoundRobin,
    "least-loaded": LeastLoaded,
    "sticky-hash": StickyHash,
    "first-come": FirstCome,
}


def build_policy(
    name: str, workers: list[Worker], profile: EngineProfile, regions: dict[str, str]
) -> Policy:
    """Return a policy by name: `shard` or one of `BASELINES`."""
    if name == "shard":
        return ShardPolicy.build(workers, profile, regions)
    return BASELINES[name]({w.name: WorkerState(w, profile.slots) for w in workers})
