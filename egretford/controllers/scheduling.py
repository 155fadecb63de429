"""Acquires slots for the calls of this entry's programs from the home of each pool.

The home is one live entry of the region, chosen by rendezvous hashing. It queues the calls
of a pool, since engines do not support priorities. If the home does not answer, the owner
schedules on its own shard for a while. The two may then admit too many calls, by as much as
the load reports lag behind.
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

LEAVING_INTERVAL_SECONDS = 1.0
DISPATCH_INTERVAL_SECONDS = 0.25
SLOT_WAIT_SECONDS = 2.0
# Added to the timeout of a request that the home may answer only after SLOT_WAIT_SECONDS.
SLOT_GRACE_SECONDS = 0.5
FINISH_TIMEOUT_SECONDS = 1.0
MAX_FINISH_ATTEMPTS = 3
# How long an owner uses its own shard after the home of a pool did not answer.
LOCAL_FALLBACK_SECONDS = 5.0


@frozen
class CacheLocation:
    """The worker that caches a program, and the tokens in its cache as of the last usage."""

    worker: str
    tokens: int


@define
class HeldSlot:
    """A slot held by a call of this entry.

    `home` is the address of the entry that granted it, empty for this entry's own shard;
    `granted_at` is in monotonic seconds.
    """

    home: str
    granted_at: float


class SchedulingController:
    """Acquires slots for own calls, and grants slots of the pools this entry is home of."""

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
        self._held_slots: dict[str, HeldSlot] = {}
        self._local_until: dict[str, float] = {}
        self._cache_locations: dict[str, CacheLocation] = {}
        self._attained_service: dict[str, float] = {}
        self._leaving_addresses: set[str] = set()
        self._tasks = TaskGroup()
        configuration.add_listener(self.apply_tables)

    async def start(self) -> None:
        """Start polling worker load and granting slots."""
        self.apply_tables()
        interval = self._context.settings.upstream.load_interval
        for seconds, action in (
            (interval, self._read_loads),
            (LEAVING_INTERVAL_SECONDS, self._read_leaving),
            (DISPATCH_INTERVAL_SECONDS, self._dispatch_all),
        ):
            self._tasks.spawn(run_every(self._clock, seconds, action, self._log))

    async def close(self) -> None:
        """Stop polling and granting."""
        await self._tasks.close()

    def apply_tables(self) -> None:
        """Update the shards from the current tables."""
        self.slots.set_pools(self._configuration.current.tables.pools)

    # -- slots for calls owned by this entry -----------------------------------------------

    async def acquire(self, job: CallJob, ticket: str) -> Worker:
        """Wait for a slot until the call's deadline; raises RequestError."""
        call = self._build_waiting_call(job, ticket)
        try:
            while True:
                home = self._choose_home(job.pool.name)
                worker = await self._request_slot(job, call, home)
                if worker is not None:
                    address = home.address if home else ""
                    self._held_slots[ticket] = HeldSlot(address, self._clock.monotonic())
                    return worker
                if self._clock.monotonic() >= job.deadline:
                    raise job.build_error(
                        ErrorKind.TIMEOUT, "no worker was free in the call's time"
                    )
        except (asyncio.CancelledError, RequestError):
            self._release_slot(home, FinishSlot(job.pool.name, ticket, job.program.id))
            raise

    def _choose_home(self, pool: str) -> Member | None:
        """Return the pool's home; None if it is this entry, or did not answer recently."""
        if self._clock.monotonic() < self._local_until.get(pool, 0.0):
            return None
        return self.find_home(pool)

    async def _request_slot(
        self, job: CallJob, call: Waiting, home: Member | None
    ) -> Worker | None:
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
            self._log.warning("home of the pool does not answer; scheduling locally", pool=pool)
            self._local_until[pool] = self._clock.monotonic() + LOCAL_FALLBACK_SECONDS
            return None
        except RequestError as error:
            if job.verdict is not Verdict.NOT_RUN:
                raise job.build_error(
                    error.kind, error.message, error.retry_after_seconds
                ) from error
            raise
        return next((w for w in job.pool.workers if w.name == name), None)

    def _build_waiting_call(self, job: CallJob, ticket: str) -> Waiting:
        program = job.program
        cache_location = self._cache_locations.get(program.id)
        model = job.request.kind is CallKind.MODEL
        placement = PlacementRequest(
            program=program.id,
            prompt_tokens=job.prompt_bound // 4 if model else 0,
            cached=(
                {cache_location.worker: cache_location.tokens} if cache_location and model else {}
            ),
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
            attained=self._attained_service.get(program.root, 0.0),
            arrived=self._clock.monotonic(),
            deadline=job.deadline,
            placement=placement,
        )

    def _opened_at(self, program: Program) -> float:
        """Convert a program's opening time to this process's monotonic clock."""
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
        """Release a slot and record the service time and the cached tokens."""
        held = self._held_slots.pop(ticket, None)
        if held is None:
            return
        tree = job.program.root
        served = self._clock.monotonic() - held.granted_at
        self._attained_service[tree] = self._attained_service.get(tree, 0.0) + served
        tokens = 0
        if completed is not None and completed.usage.prompt:
            tokens = completed.usage.prompt + completed.usage.completion
            self._cache_locations[job.program.id] = CacheLocation(completed.worker, tokens)
        worker = job.worker.name if job.worker else ""
        message = FinishSlot(job.pool.name, ticket, job.program.id, failed, worker, tokens)
        self._release_slot(held.home, message)

    def _release_slot(self, home: Member | str | None, message: FinishSlot) -> None:
        address = home.address if isinstance(home, Member) else home
        if address:
            self._tasks.spawn(self._send_finish(address, message))
        else:
            self._finish_locally(message)

    async def _send_finish(self, address: str, message: FinishSlot) -> None:
        for _ in range(MAX_FINISH_ATTEMPTS):
            try:
                await self._peers.ask(address, message, FINISH_TIMEOUT_SECONDS)
                return
            except (PeerUnreachableError, RequestError):
                continue

    def forget_program(self, program: str) -> None:
        """Drop the scheduling state of an ended program."""
        self._cache_locations.pop(program, None)
        self._attained_service.pop(program, None)
        self.slots.forget_program(program)

    # -- slots of pools whose home is this entry -------------------------------------------

    async def answer_peer(self, message: AcquireSlot | FinishSlot) -> SlotProgress | SlotFinished:
        """Handle a slot request from the owner of a call; raises RequestError."""
        match message:
            case AcquireSlot():
                call = shift_call(message.call, self._clock.monotonic())
                worker = await self.slots.acquire(
                    message.pool, call, message.queue_bound, message.wait_seconds
                )
                return SlotProgress(worker)
            case FinishSlot():
                self._finish_locally(message)
                return SlotFinished()

    def _finish_locally(self, message: FinishSlot) -> None:
        self.slots.finish(
            message.pool,
            message.ticket,
            message.program,
            message.failed,
            message.worker,
            message.tokens,
        )

    async def _dispatch_all(self) -> None:
        self.slots.drop_abandoned()
        for name in list(self.slots.shards):
            self.slots.dispatch(name, everywhere=True)

    def _schedules_locally(self, pool: str) -> bool:
        is_local = self._clock.monotonic() < self._local_until.get(pool, 0.0)
        return is_local or self.find_home(pool) is None

    async def _read_loads(self) -> None:
        pools = [
            p for p in self._configuration.current.tables.pools if self._schedules_locally(p.name)
        ]
        await asyncio.gather(
            *(self._read_load(pool, worker) for pool in pools for worker in pool.workers)
        )

    async def _read_load(self, pool: Pool, worker: Worker) -> None:
        shard: Shard | None = self.slots.shards.get(pool.name)
        if shard is None or worker.name not in shard.workers:
            return
        state = shard.workers[worker.name]
        granted_before = state.granted
        try:
            report = await self._upstream.read_load(worker)
        except UpstreamError:
            state.start_cooldown(self._clock.monotonic())
            return
        leaving = report.leaving or worker.address in self._leaving_addresses
        granted = max(granted_before, state.granted)
        shard.record_load(worker.name, report.running + report.waiting, leaving, granted)

    async def _read_leaving(self) -> None:
        try:
            self._leaving_addresses = await self._platform.list_leaving()
        except StoreUnavailableError:
            return
        for shard in self.slots.shards.values():
            for state in shard.workers.values():
                state.leaving = state.leaving or state.worker.address in self._leaving_addresses
