"""Slots for the calls of this entry's programs, from the home of each pool.

The home is one live entry of the region, by rendezvous hashing; it holds the queue of a
pool, since engines know no priorities. When it is silent the owner decides alone for a
while, on its own shard: together they then over-admit, by what load reports lag behind.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, frozen

from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.loops import TaskGroup, run_every
from egretford.controllers.slots import SlotTable, shift_call
from egretford.errors import (
    ErrorKind,
    PeerUnreachableError,
    RequestError,
    StoreUnavailableError,
    UpstreamError,
    Verdict,
)
from egretford.filters.chain import CallJob, Completed
from egretford.models import CallKind, Member, Pool, Worker
from egretford.peer.interface import Peers
from egretford.peer.messages import AcquireSlot, FinishSlot, SlotFinished, SlotProgress
from egretford.platform.objects import Platform
from egretford.policy.placement import Link, Placement, PlacementRequest
from egretford.policy.program import Program
from egretford.policy.queue import Waiting
from egretford.policy.shard import Shard
from egretford.upstream.interface import Upstream

LEAVING_POLL_SECONDS = 1.0
DISPATCH_PAUSE_SECONDS = 0.25
SLOT_WAIT_SECONDS = 2.0
SLOT_GRACE_SECONDS = 0.5
FINISH_SECONDS = 1.0
FINISH_TRIES = 3
ALONE_SECONDS = 5.0


@frozen
class Warm:
    """Tokens of a program that a worker has cached, as its last usage showed."""

    worker: str
    tokens: int


@define
class Held:
    """A slot that a call of this entry holds; `home` is empty for the own shard."""

    home: str
    granted_at: float


class SchedulingController:
    """Acquires slots, and is home of some pools itself."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        upstream: Upstream,
        peers: Peers,
        configuration: ConfigurationController,
    ) -> None:
        link = context.settings.link
        placement = Placement(
            context.settings.regions, Link(link.bits_per_second, link.one_way_seconds)
        )
        self.slots = SlotTable(context.clock, placement)
        self.find_home: Callable[[str], Member | None] = lambda pool: None
        self._context = context
        self._platform = platform
        self._upstream = upstream
        self._peers = peers
        self._configuration = configuration
        self._clock = context.clock
        self._log = context.make_logger("scheduler")
        self._held: dict[str, Held] = {}
        self._alone_until: dict[str, float] = {}
        self._warm: dict[str, Warm] = {}
        self._attained: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._tasks = TaskGroup()
        configuration.add_listener(self.apply_tables)

    async def start(self) -> None:
        """Start learning load and handing out slots."""
        self.apply_tables()
        interval = self._context.settings.upstream.load_interval
        for seconds, action in (
            (interval, self._read_loads),
            (LEAVING_POLL_SECONDS, self._read_leaving),
            (DISPATCH_PAUSE_SECONDS, self._dispatch_all),
        ):
            self._tasks.spawn(run_every(self._clock, seconds, action, self._log))

    async def close(self) -> None:
        """Stop."""
        await self._tasks.close()

    def apply_tables(self) -> None:
        """Take the pools in force."""
        self.slots.set_pools(self._configuration.current.tables.pools)

    # -- for the owner of calls ---------------------------------------------------------

    async def acquire(self, job: CallJob, ticket: str) -> Worker:
        """Wait for a slot until the call's deadline."""
        call = self._describe(job, ticket)
        try:
            while True:
                home = self._choose_home(job.pool.name)
                worker = await self._ask_home(job, call, home)
                if worker is not None:
                    address = home.address if home else ""
                    self._held[ticket] = Held(address, self._clock.monotonic())
                    return worker
                if self._clock.monotonic() >= job.deadline:
                    raise job.refuse(ErrorKind.TIMEOUT, "no worker was free in the call's time")
        except (asyncio.CancelledError, RequestError):
            self._give_back(home, FinishSlot(job.pool.name, ticket, job.program.id))
            raise

    def _choose_home(self, pool: str) -> Member | None:
        """Return the pool's home; None for this entry itself, or while the home is silent."""
        if self._clock.monotonic() < self._alone_until.get(pool, 0.0):
            return None
        return self.find_home(pool)

    async def _ask_home(self, job: CallJob, call: Waiting, home: Member | None) -> Worker | None:
        bound = job.route.limits.queued
        pool = job.pool.name
        try:
            if home is None:
                name = await self.slots.acquire(pool, call, bound, SLOT_WAIT_SECONDS)
            else:
                relative = shift_call(call, -self._clock.monotonic())
                message = AcquireSlot(pool, relative, bound, SLOT_WAIT_SECONDS)
                seconds = SLOT_WAIT_SECONDS + SLOT_GRACE_SECONDS
                name = (await self._peers.ask(home.address, message, seconds)).worker
        except PeerUnreachableError:
            self._log.warning("the home of a pool is silent; deciding alone", pool=pool)
            self._alone_until[pool] = self._clock.monotonic() + ALONE_SECONDS
            return None
        except RequestError as error:
            if job.verdict is not Verdict.NOT_RUN:
                raise job.refuse(error.kind, error.message, error.retry_after_seconds) from error
            raise
        return next((w for w in job.pool.workers if w.name == name), None)

    def _describe(self, job: CallJob, ticket: str) -> Waiting:
        program = job.program
        warm = self._warm.get(program.id)
        model = job.request.kind is CallKind.MODEL
        placement = PlacementRequest(
            program=program.id,
            prompt_tokens=job.prompt_bound // 4 if model else 0,
            cached={warm.worker: warm.tokens} if warm and model else {},
            region=self._context.settings.region,
            cache_weight=job.route.cache_weight,
            excluded=frozenset(job.excluded),
        )
        return Waiting(
            ticket=ticket,
            tree=program.root,
            tenant=program.opened.tenant,
            urgency=program.opened.urgency,
            opened=self._opened_at(program),
            attained=self._attained.get(program.root, 0.0),
            arrived=self._clock.monotonic(),
            deadline=job.deadline,
            placement=placement,
        )

    def _opened_at(self, program: Program) -> float:
        """Return when a program was opened, in this process's monotonic time."""
        age = (self._clock.now() - program.opened.opened_at).total_seconds()
        return self._clock.monotonic() - age

    def finish(
        self,
        job: CallJob,
        ticket: str,
        *,
        failed: bool = False,
        completed: Completed | None = None,
    ) -> None:
        """Give a slot back and learn from the attempt."""
        held = self._held.pop(ticket, None)
        if held is None:
            return
        tree = job.program.root
        served = self._clock.monotonic() - held.granted_at
        self._attained[tree] = self._attained.get(tree, 0.0) + served
        tokens = 0
        if completed is not None and completed.usage.prompt:
            tokens = completed.usage.prompt + completed.usage.completion
            self._warm[job.program.id] = Warm(completed.worker, tokens)
        worker = job.worker.name if job.worker else ""
        message = FinishSlot(job.pool.name, ticket, job.program.id, failed, worker, tokens)
        self._give_back(held.home, message)

    def _give_back(self, home: Member | str | None, message: FinishSlot) -> None:
        address = home.address if isinstance(home, Member) else home
        if address:
            self._tasks.spawn(self._send_finish(address, message))
        else:
            self._finish_here(message)

    async def _send_finish(self, address: str, message: FinishSlot) -> None:
        for _ in range(FINISH_TRIES):
            try:
                await self._peers.ask(address, message, FINISH_SECONDS)
                return
            except (PeerUnreachableError, RequestError):
                continue

    def forget_program(self, program: str) -> None:
        """Drop what is remembered of an ended program."""
        self._warm.pop(program, None)
        self._attained.pop(program, None)
        self.slots.forget_program(program)

    # -- as home of pools -----------------------------------------------------------------

    async def answer_peer(self, message: AcquireSlot | FinishSlot) -> SlotProgress | SlotFinished:
        """Answer an owner elsewhere; raises RequestError."""
        match message:
            case AcquireSlot():
                call = shift_call(message.call, self._clock.monotonic())
                worker = await self.slots.acquire(
                    message.pool, call, message.queue_bound, message.wait_seconds
                )
                return SlotProgress(worker)
            case FinishSlot():
                self._finish_here(message)
                return SlotFinished()

    def _finish_here(self, message: FinishSlot) -> None:
        self.slots.finish(
            message.pool,
            message.ticket,
            message.program,
            message.failed,
            message.worker,
            message.tokens,
        )

    async def _dispatch_all(self) -> None:
        self.slots.drop_forgotten()
        for name in list(self.slots.shards):
            self.slots.dispatch(name, everywhere=True)

    def _is_home(self, pool: str) -> bool:
        alone = self._clock.monotonic() < self._alone_until.get(pool, 0.0)
        return alone or self.find_home(pool) is None

    async def _read_loads(self) -> None:
        pools = [p for p in self._configuration.current.tables.pools if self._is_home(p.name)]
        await asyncio.gather(
            *(self._read_load(pool, worker) for pool in pools for worker in pool.workers)
        )

    async def _read_load(self, pool: Pool, worker: Worker) -> None:
        shard: Shard | None = self.slots.shards.get(pool.name)
        if shard is None or worker.name not in shard.workers:
            return
        state = shard.workers[worker.name]
        granted_then = state.granted
        try:
            report = await self._upstream.read_load(worker)
        except UpstreamError:
            state.avoid(self._clock.monotonic())
            return
        leaving = report.leaving or worker.address in self._leaving
        granted = max(granted_then, state.granted)
        shard.note_load(worker.name, report.running + report.waiting, leaving, granted)

    async def _read_leaving(self) -> None:
        try:
            self._leaving = await self._platform.list_leaving()
        except StoreUnavailableError:
            return
        for shard in self.slots.shards.values():
            for state in shard.workers.values():
                state.leaving = state.leaving or state.worker.address in self._leaving
