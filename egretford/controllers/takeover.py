"""Takeover of programs whose owner is gone: seal its journal, copy, settle, serve."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import evolve

from egretford.codec import decode_bytes, encode_bytes
from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.journal import (
    JOURNAL_PREFIX,
    JournalWriter,
    segment_key,
    segment_number,
)
from egretford.controllers.loops import TaskGroup, run_every
from egretford.controllers.members import MEMBER_PREFIX, MembersController
from egretford.controllers.owner import Owner
from egretford.errors import ObjectMissingError, StoreUnavailableError, VersionConflictError
from egretford.models import Member, incarnation_of
from egretford.platform.objects import Platform, StoredObject
from egretford.policy.records import Batch
from egretford.policy.segments import pack_records
from egretford.policy.takeover import Inheritance

CHECK_SECONDS = 0.5
RETRY_SECONDS = 0.2
SWEEP_SECONDS = 10.0
SEAL_TRIES = 50


async def seal_journal(platform: Platform, incarnation: str, successor: str) -> list[Batch]:
    """Seal a journal and return its batches; from then on its owner's appends fail.

    Raises StoreUnavailableError; trying again is safe.
    """
    for _ in range(SEAL_TRIES):
        items = await platform.list(f"{JOURNAL_PREFIX}/{incarnation}/")
        batches = [decode_bytes(item.value, Batch) for item in items]
        if batches and batches[-1].sealed_by is not None:
            return batches
        number = segment_number(items[-1].key) + 1 if items else 1
        seal = Batch(f"seal-{successor}", [], sealed_by=successor)
        try:
            await platform.create(segment_key(incarnation, number), encode_bytes(seal))
        except VersionConflictError:
            continue
        return [*batches, seal]
    raise StoreUnavailableError(f"journal {incarnation} grows faster than it can be sealed")


class TakeoverController:
    """Tries takeovers that membership suggests, or that a leaving peer asks for."""

    def __init__(
        self,
        context: Context,
        platform: Platform,
        members: MembersController,
        owner: Owner,
        journal: JournalWriter,
        configuration: ConfigurationController,
    ) -> None:
        self.active: set[str] = set()
        self.programs_taken = 0
        self._context = context
        self._platform = platform
        self._members = members
        self._owner = owner
        self._journal = journal
        self._configuration = configuration
        self._log = context.make_logger("takeover")
        self._lock = asyncio.Lock()
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start checking for lapsed leases."""
        clock = self._context.clock
        self._tasks.spawn(run_every(clock, CHECK_SECONDS, self._check_leases, self._log))
        self._tasks.spawn(run_every(clock, SWEEP_SECONDS, self._sweep, self._log))

    async def close(self) -> None:
        """Stop."""
        await self._tasks.close()

    async def _check_leases(self) -> None:
        if not self._members.is_listing_fresh or self._journal.sealed.is_set():
            return
        now = self._context.clock.monotonic()
        membership = self._members.membership
        for sighting in membership.list_takeovers(now) + membership.list_unfinished():
            await self.take_over(sighting.member.incarnation)

    async def take_over(self, incarnation: str) -> int:
        """Take over one incarnation and those it had adopted; returns how many programs.

        Raises StoreUnavailableError; a later try goes on where this one stopped.
        """
        async with self._lock:
            self.active.add(incarnation)
            try:
                return await self._take_over(incarnation)
            finally:
                self.active.discard(incarnation)

    async def _take_over(self, incarnation: str) -> int:
        heirs = await self._claim_members(incarnation)
        if incarnation not in heirs:
            return 0
        started = self._context.clock.monotonic()
        inheritance = Inheritance()
        for name in heirs:
            batches = await seal_journal(self._platform, name, self._members.me.incarnation)
            inheritance.add_journal(batches, name)
        inheritance.settle(self._list_workers)
        await self._copy(inheritance)
        for name in heirs:
            await self._mark_copied(name)
            await self._delete_segments(name)
        taken = len(inheritance.table.programs)
        self.programs_taken += taken
        seconds = self._context.clock.monotonic() - started
        self._log.info(
            "took over", incarnation=incarnation, programs=taken, seconds=round(seconds, 3)
        )
        return taken

    async def _claim_members(self, incarnation: str) -> list[str]:
        """Become owner of the incarnation and of all it owned; oldest adoptions first.

        Claims nothing when another entry has taken the incarnation over: its programs then
        are in that entry's journal, and only a takeover of that entry brings them here.
        """
        items = await self._platform.list(MEMBER_PREFIX)
        found = [(item, decode_bytes(item.value, Member)) for item in items]
        owners = {member.incarnation: member.owner for _, member in found}
        if owners.get(incarnation) not in (incarnation, self._members.me.incarnation):
            return []
        claimed = []
        for item, member in sorted(found, key=lambda pair: pair[1].incarnation != incarnation):
            if incarnation not in (member.owner, member.incarnation):
                continue
            if await self._claim_member(item, member):
                claimed.append(member.incarnation)
            elif member.incarnation == incarnation:
                return []
        return sorted(claimed, key=lambda name: name == incarnation)

    async def _claim_member(self, item: StoredObject, member: Member) -> bool:
        me = self._members.me.incarnation
        if member.owner == me:
            return member.state != "copied"
        changed = evolve(member, owner=me, state="adopted")
        try:
            await self._platform.update(item.key, encode_bytes(changed), item.version)
        except (VersionConflictError, ObjectMissingError):
            return False
        return True

    def _list_workers(self, route_name: str) -> list[str]:
        tables = self._configuration.current
        route = tables.find_route(route_name)
        pool = tables.find_pool(route.pool) if route else None
        return [worker.name for worker in pool.workers] if pool else []

    async def _copy(self, inheritance: Inheritance) -> None:
        """Make inherited programs durable in the own journal, then serve them."""
        programs = list(inheritance.table.programs.values())
        records = [record for program in programs for record in program.snapshot()]
        for chunk in pack_records(records):
            last = self._journal.append(chunk, inheritance.table.root_of)
            while self._journal.pending_bytes > self._context.settings.journal.pending_bytes // 2:
                await self._context.clock.sleep(RETRY_SECONDS)
        if records:
            await asyncio.shield(last)
        for record in records:
            self._owner.table.apply(record)
        for program in programs:
            self._owner.table.programs[program.id].dispatched = program.dispatched

    async def _mark_copied(self, incarnation: str) -> None:
        key = MEMBER_PREFIX + incarnation
        try:
            stored = await self._platform.get(key)
            member = evolve(decode_bytes(stored.value, Member), state="copied")
            await self._platform.update(key, encode_bytes(member), stored.version)
        except (VersionConflictError, ObjectMissingError):
            return

    async def _delete_segments(self, incarnation: str) -> None:
        """Delete all but the seal, which keeps a paused former owner out."""
        items = await self._platform.list(f"{JOURNAL_PREFIX}/{incarnation}/")
        for item in items[:-1]:
            try:
                await self._platform.delete(item.key)
            except ObjectMissingError:
                continue

    async def _sweep(self) -> None:
        """Delete what is left of former incarnations that own no program any more."""
        if self._journal.sealed.is_set():
            return
        kept = {incarnation_of(program) for program in self._owner.table.programs}
        membership = self._members.membership
        for member in membership.list_replaced(self._members.now()):
            if member.incarnation not in kept:
                await self._delete_former(member.incarnation)

    async def _delete_former(self, incarnation: str) -> None:
        """Delete a seal and its member object; the process that wrote there is gone."""
        for item in await self._platform.list(f"{JOURNAL_PREFIX}/{incarnation}/"):
            with contextlib.suppress(ObjectMissingError):
                await self._platform.delete(item.key)
        with contextlib.suppress(ObjectMissingError):
            await self._platform.delete(MEMBER_PREFIX + incarnation)
