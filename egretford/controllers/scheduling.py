"""Grants of worker slots in one entry, over the policy's shards."""

from __future__ import annotations

import asyncio

from attrs import define, frozen

from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import ErrorKind, StoreUnavailableError, UpstreamError
from egretford.filters.chain import CallJob, Completed
from egretford.models import CallKind, Pool, Worker
from egretford.platform.objects import Platform
from egretford.policy.placement import Link, Placement, PlacementRequest
from egretford.policy.program import Program
from egretford.policy.queue import Waiting
from egretford.policy.shard import Expired, Grant, Shard
from egretford.upstream.interface import LoadReport, Upstream

LEAVING_POLL_SECONDS = 1.0
DISPATCH_PAUSE_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0


@frozen
class Warm:
    """Tokens of a program that a worker has cached, as its last usage showed."""

    worker: str
    tokens: int


@define
class Ticket:
    """A call that waits for its grant."""

    job: CallJob
    granted: asyncio.Future[Worker]


class SchedulingController:
    """Queues calls by pool and grants slots; learns load and leaving workers."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        upstream: Upstream,
        configuration: ConfigurationController,
    ) -> None:
        self.shards: dict[str, Shard] = {}
        self.boots: dict[str, str] = {}
        self._context = context
        self._platform = platform
        self._upstream = upstream
        self._configuration = configuration
        self._clock = context.clock
        self._log = context.make_logger("scheduler")
        self._tickets: dict[str, Ticket] = {}
        self._warm: dict[str, Warm] = {}
        self._attained: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._tasks = TaskGroup()
        configuration.add_listener(self.apply_tables)

    async def start(self) -> None:
        """Start learning load."""
        self.apply_tables()
        interval = self._context.settings.upstream.load_interval
        self._tasks.spawn(run_every(self._clock, interval, self._read_loads, self._log))
        self._tasks.spawn(
            run_every(self._clock, LEAVING_POLL_SECONDS, self._read_leaving, self._log)
        )
        self._tasks.spawn(
            run_every(self._clock, DISPATCH_PAUSE_SECONDS, self._dispatch_all, self._log)
        )

    async def close(self) -> None:
        """Stop."""
        await self._tasks.close()

    def apply_tables(self) -> None:
        """Take the pools in force."""
        pools = {pool.name: pool for pool in self._configuration.current.tables.pools}
        for name in set(self.shards) - set(pools):
            del self.shards[name]
        for name, pool in pools.items():
            if name not in self.shards:
                self.shards[name] = Shard(self._build_placement())
            self.shards[name].set_pool(pool)

    def _build_placement(self) -> Placement:
        link = self._context.settings.link
        return Placement(
            self._context.settings.regions, Link(link.bits_per_second, link.one_way_seconds)
        )

    async def acquire(self, job: CallJob, ticket: str) -> Worker:
        """Wait for a slot until the call's deadline."""
        shard = self.shards[job.pool.name]
        waiting = self._describe(job, ticket)
        if not shard.offer(waiting, waiting.arrived, job.route.limits.queued):
            raise job.refuse(
                ErrorKind.OVERLOADED,
                f"{len(shard)} calls wait for pool {job.pool.name} already",
                RETRY_AFTER_SECONDS,
            )
        future: asyncio.Future[Worker] = asyncio.get_running_loop().create_future()
        self._tickets[ticket] = Ticket(job, future)
        self._dispatch(job.pool.name)
        try:
            return await future
        except asyncio.CancelledError:
            shard.cancel(ticket)
            shard.finish(ticket, self._clock.monotonic())
            raise
        finally:
            self._tickets.pop(ticket, None)

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
        """Return when a program's tree was opened, in this process's monotonic time."""
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
        shard = self.shards.get(job.pool.name)
        if shard is None:
            return
        now = self._clock.monotonic()
        grant = shard.grants.get(ticket)
        if grant is not None:
            tree = job.program.root
            self._attained[tree] = self._attained.get(tree, 0.0) + now - grant.granted_at
        shard.finish(ticket, now, failed=failed)
        if completed is not None and completed.usage.prompt:
            tokens = completed.usage.prompt + completed.usage.completion
            self._warm[job.program.id] = Warm(completed.worker, tokens)
            shard.note_cached(job.program.id, completed.worker, tokens)
        self._dispatch(job.pool.name)

    def forget_program(self, program: str) -> None:
        """Drop what is remembered of an ended program."""
        self._warm.pop(program, None)
        self._attained.pop(program, None)
        for shard in self.shards.values():
            shard.forget_program(program)

    async def _dispatch_all(self) -> None:
        for name in list(self.shards):
            self._dispatch(name, everywhere=True)

    def _dispatch(self, pool: str, *, everywhere: bool = False) -> None:
        shard = self.shards.get(pool)
        if shard is None:
            return
        for result in shard.dispatch(self._clock.monotonic(), everywhere=everywhere):
            ticket = self._tickets.get(result.ticket)
            match result:
                case Grant():
                    self._hand_over(shard, ticket, result)
                case Expired():
                    self._expire(ticket)

    def _hand_over(self, shard: Shard, ticket: Ticket | None, grant: Grant) -> None:
        if ticket is None or ticket.granted.done():
            shard.finish(grant.ticket, self._clock.monotonic())
            return
        ticket.granted.set_result(shard.workers[grant.worker].worker)

    def _expire(self, ticket: Ticket | None) -> None:
        if ticket is not None and not ticket.granted.done():
            ticket.granted.set_exception(
                ticket.job.refuse(
                    ErrorKind.TIMEOUT,
                    "no worker was free within the call's time",
                    RETRY_AFTER_SECONDS,
                )
            )

    async def _read_loads(self) -> None:
        pools = list(self._configuration.current.tables.pools)
        await asyncio.gather(
            *(self._read_load(pool, worker) for pool in pools for worker in pool.workers)
        )

    async def _read_load(self, pool: Pool, worker: Worker) -> None:
        shard = self.shards.get(pool.name)
        if shard is None or worker.name not in shard.workers:
            return
        state = shard.workers[worker.name]
        granted_then = state.granted
        try:
            report = await self._upstream.read_load(worker)
        except UpstreamError:
            state.avoid(self._clock.monotonic())
            return
        self._note_report(shard, worker, report, max(granted_then, state.granted))

    def _note_report(self, shard: Shard, worker: Worker, report: LoadReport, granted: int) -> None:
        self.boots[worker.name] = report.boot
        leaving = report.leaving or worker.address in self._leaving
        shard.note_load(worker.name, report.running + report.waiting, leaving, granted)

    async def _read_leaving(self) -> None:
        try:
            self._leaving = await self._platform.list_leaving()
        except StoreUnavailableError:
            return
        for shard in self.shards.values():
            for state in shard.workers.values():
                state.leaving = state.leaving or state.worker.address in self._leaving
