"""The policies that the bench compares: the real shard and four baselines."""

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
    """Decides where and when calls run."""

    def submit(self, call: Waiting, now: float) -> bool:
        """Take a call; False refuses it."""

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Start calls, or give up on them."""

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Note the end of a call."""

    def report(self, worker: str, in_worker: int, leaving: bool, now: float) -> None:
        """Take a lagging load report."""

    def note_cached(self, program: str, worker: str, tokens: int) -> None:
        """Learn from usage where a program's cache is; nowhere when `tokens` is 0."""


@define
class ShardPolicy:
    """The scheduler shard as entries run it."""

    shard: Shard
    bound: int = 1_000
    recheck: bool = False

    @staticmethod
    def build(
        workers: list[Worker], profile: EngineProfile, regions: dict[str, str]
    ) -> ShardPolicy:
        """Build a shard over one pool."""
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
        """Queue a call."""
        return self.shard.offer(call, now, self.bound)

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Grant slots; after a load report, of all workers, as entries do now and then."""
        everywhere, self.recheck = self.recheck, False
        return self.shard.dispatch(now, everywhere=everywhere)

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Give a slot back."""
        self.shard.finish(ticket, now, failed=failed)

    def report(self, worker: str, in_worker: int, leaving: bool, now: float) -> None:
        """Take a report; there are no others' calls here."""
        self.shard.note_load(worker, 0, leaving, 0)
        self.recheck = True

    def note_cached(self, program: str, worker: str, tokens: int) -> None:
        """Learn where a program's cache is."""
        if tokens:
            self.shard.note_cached(program, worker, tokens)
        else:
            self.shard.forget_program(program)


@define
class Immediate:
    """Base of baselines that send each call on at once, to the engine's own queue."""

    workers: dict[str, WorkerState]
    pending: list[Waiting] = Factory(list)
    running: dict[str, str] = Factory(dict)
    reported: dict[str, int] = Factory(dict)

    def submit(self, call: Waiting, now: float) -> bool:
        """Take every call."""
        self.pending.append(call)
        return True

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Send all pending calls on."""
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
        """Return a worker's name."""
        raise NotImplementedError

    def finish(self, ticket: str, now: float, *, failed: bool = False) -> None:
        """Count the call out."""
        worker = self.running.pop(ticket, None)
        if worker is not None:
            self.workers[worker].granted -= 1
            if failed:
                self.workers[worker].avoid(now)

    def report(self, worker: str, in_worker: int, leaving: bool, now: float) -> None:
        """Keep the lagging figure."""
        self.reported[worker] = in_worker
        self.workers[worker].leaving = leaving

    def note_cached(self, program: str, worker: str, tokens: int) -> None:
        """Baselines do not look at caches."""


@define
class RoundRobin(Immediate):
    """Each worker in turn."""

    turn: int = 0

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the next worker."""
        self.turn += 1
        return usable[self.turn % len(usable)].worker.name


@define
class LeastLoaded(Immediate):
    """The worker that runs the fewest calls of this scheduler."""

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the least loaded worker."""
        return min(usable, key=lambda s: (s.granted, s.worker.name)).worker.name


@define
class StickyHash(Immediate):
    """The program's worker by rendezvous hash."""

    def choose(self, call: Waiting, usable: list[WorkerState]) -> str:
        """Return the program's worker."""
        return rank_by_hash(call.tree, [s.worker.name for s in usable])[0]


@define
class FirstCome(Immediate):
    """One queue in order of arrival; a free slot takes the first call."""

    waiting: deque[Waiting] = Factory(deque)

    def dispatch(self, now: float) -> list[Grant | Expired]:
        """Grant free slots in order of arrival."""
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
        """Return the least loaded worker."""
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
    """Build a policy by name; `shard` is the real one."""
    if name == "shard":
        return ShardPolicy.build(workers, profile, regions)
    return BASELINES[name]({w.name: WorkerState(w, profile.slots) for w in workers})
