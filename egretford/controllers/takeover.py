"""Takeover of programs whose owner is gone.

Seals the owner's journal, replays it, settles open calls, copies the programs to this
entry's journal and serves them.
"""

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
from egretford.policy.takeover import SealedPrograms

LEASE_CHECK_SECONDS = 0.5
PENDING_CHECK_SECONDS = 0.2
REPLACED_CHECK_SECONDS = 10.0
# The owner may append a segment between each listing and the attempt to seal.
MAX_SEAL_ATTEMPTS = 50


async def seal_journal(platform: Platform, incarnation: str, successor: str) -> list[Batch]:
    """Seal a journal and return its batches; later appends by its owner fail.

    Raises StoreUnavailableError; retrying is safe.
    """
    for _ in range(MAX_SEAL_ATTEMPTS):
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
    """Takes over incarnations whose lease has expired, or whose leaving entry asks for it."""

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
        self.programs_taken_over = 0
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
        """Start checking for expired leases and deleting replaced incarnations."""
        clock = self._context.clock
        self._tasks.spawn(run_every(clock, LEASE_CHECK_SECONDS, self._check_leases, self._log))
        self._tasks.spawn(
            run_every(clock, REPLACED_CHECK_SECONDS, self._delete_replaced, self._log)
        )

    async def close(self) -> None:
        """Stop; an unfinished takeover is resumed by a later one."""
        await self._tasks.close()

    async def _check_leases(self) -> None:
        if not self._members.is_listing_fresh or self._journal.sealed.is_set():
            return
        now = self._context.clock.monotonic()
        membership = self._members.membership
        for known_member in membership.list_takeovers(now) + membership.list_unfinished():
            await self.take_over(known_member.member.incarnation)

    async def take_over(self, incarnation: str) -> int:
        """Take over an incarnation and those it had adopted; returns the number of programs.

        Raises StoreUnavailableError; a retry continues where this attempt stopped.
        """
        async with self._lock:
            self.active.add(incarnation)
            try:
                return await self._take_over(incarnation)
            finally:
                self.active.discard(incarnation)

    async def _take_over(self, incarnation: str) -> int:
        claimed = await self._claim_members(incarnation)
        if incarnation not in claimed:
            return 0
        started = self._context.clock.monotonic()
        sealed_programs = SealedPrograms()
        for name in claimed:
            batches = await seal_journal(self._platform, name, self._members.me.incarnation)
            sealed_programs.add_journal(batches, name)
        sealed_programs.settle(self._list_workers)
        await self._copy(sealed_programs)
        for name in claimed:
            await self._mark_copied(name)
            await self._delete_segments(name)
        program_count = len(sealed_programs.table.programs)
        self.programs_taken_over += program_count
        seconds = self._context.clock.monotonic() - started
        self._log.info(
            "took over an incarnation",
            incarnation=incarnation,
            programs=program_count,
            seconds=round(seconds, 3),
        )
        return program_count

    async def _claim_members(self, incarnation: str) -> list[str]:
        """Claim an incarnation and all that it owned; returns those claimed, itself last.

        Returns an empty list if another entry has already taken over the incarnation: its
        programs are then in that entry's journal and move only with that entry.
        """
        items = await self._platform.list(MEMBER_PREFIX)
        members = [(item, decode_bytes(item.value, Member)) for item in items]
        owners = {member.incarnation: member.owner for _, member in members}
        if owners.get(incarnation) not in (incarnation, self._members.me.incarnation):
            return []
        claimed = []
        for item, member in sorted(members, key=lambda pair: pair[1].incarnation != incarnation):
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

    async def _copy(self, sealed_programs: SealedPrograms) -> None:
        """Copy the programs to this entry's journal, then serve them once they are durable."""
        programs = list(sealed_programs.table.programs.values())
        records = [record for program in programs for record in program.snapshot()]
        for chunk in pack_records(records):
            last = self._journal.append(chunk, sealed_programs.table.root_of)
            while self._journal.pending_bytes > self._context.settings.journal.pending_bytes // 2:
                await self._context.clock.sleep(PENDING_CHECK_SECONDS)
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
        """Delete all segments but the seal, which makes appends of a paused former owner fail."""
        items = await self._platform.list(f"{JOURNAL_PREFIX}/{incarnation}/")
        for item in items[:-1]:
            try:
                await self._platform.delete(item.key)
            except ObjectMissingError:
                continue

    async def _delete_replaced(self) -> None:
        """Delete replaced incarnations, except those whose programs are still held here."""
        if self._journal.sealed.is_set():
            return
        in_use = {incarnation_of(program) for program in self._owner.table.programs}
        membership = self._members.membership
        for member in membership.list_replaced(self._members.now()):
            if member.incarnation not in in_use:
                await self._delete_incarnation(member.incarnation)

    async def _delete_incarnation(self, incarnation: str) -> None:
        """Delete an incarnation's seal and member object; its process must be gone."""
        for item in await self._platform.list(f"{JOURNAL_PREFIX}/{incarnation}/"):
            with contextlib.suppress(ObjectMissingError):
                await self._platform.delete(item.key)
        with contextlib.suppress(ObjectMissingError):
            await self._platform.delete(MEMBER_PREFIX + incarnation)
