"""Periodic upkeep of an owner: expiry, engine memory, retention and journal compaction."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from egretford.context import Context
from egretford.controllers.configuration import ConfigurationController
from egretford.controllers.journal import JournalWriter
from egretford.controllers.loops import TaskGroup, run_every
from egretford.controllers.openings import OpeningController
from egretford.controllers.owner import Owner
from egretford.errors import JournalFullError, JournalSealedError, UpstreamError
from egretford.models import Worker
from egretford.policy.program import Program
from egretford.policy.records import MemoryReleased
from egretford.policy.segments import pack_records
from egretford.upstream.interface import Upstream

UPKEEP_SECONDS = 0.5
MAX_CONCURRENT_RELEASES = 32
MAX_DELETES_PER_ROUND = 8
# Delay of the second release, which frees memory of requests that arrived after the first.
SECOND_RELEASE_DELAY_SECONDS = 5.0


class JanitorController:
    """Ends expired programs and frees the resources of ended ones."""

    def __init__(
        self,
        context: Context,
        upstream: Upstream,
        owner: Owner,
        journal: JournalWriter,
        configuration: ConfigurationController,
        on_dropped: Callable[[Program], None],
    ) -> None:
        self._context = context
        self._upstream = upstream
        self._owner = owner
        self._journal = journal
        self._configuration = configuration
        self._on_dropped = on_dropped
        self._log = context.make_logger("janitor")
        self._first_released_at: dict[tuple[str, str], float] = {}
        self._tasks = TaskGroup()
        owner.on_ended = self._schedule_release

    async def start(self) -> None:
        """Start the periodic upkeep."""
        self._tasks.spawn(
            run_every(self._context.clock, UPKEEP_SECONDS, self._run_upkeep, self._log)
        )
        self._tasks.spawn(
            run_every(self._context.clock, UPKEEP_SECONDS, self._compact_journal, self._log)
        )

    async def close(self) -> None:
        """Stop; memory not released yet stays recorded in the journal, for a successor."""
        await self._tasks.close()

    async def _run_upkeep(self) -> None:
        if self._journal.sealed.is_set():
            return
        for program in self._owner.list_expired():
            await self._owner.end(program, "its budget of seconds is spent")
        self._owner.drop_old_requests()
        await self._release_ended()
        self._drop_past_retention()

    def _schedule_release(self, program: Program) -> None:
        self._tasks.spawn(self._release(program))

    async def _release_ended(self) -> None:
        ended = [p for p in self._owner.table.programs.values() if self._is_release_due(p)]
        for start in range(0, len(ended), MAX_CONCURRENT_RELEASES):
            chunk = ended[start : start + MAX_CONCURRENT_RELEASES]
            await asyncio.gather(*(self._release(program) for program in chunk))

    def _is_release_due(self, program: Program) -> bool:
        if program.ended is None or not program.unreleased:
            return False
        due = self._context.clock.monotonic() - SECOND_RELEASE_DELAY_SECONDS
        firsts = [self._first_released_at.get((program.id, name)) for name in program.unreleased]
        return any(first is None or first <= due for first in firsts)

    async def _release(self, program: Program) -> None:
        """Free an ended program's memory on each worker, unless one of its calls is running."""
        if program.running is not None:
            return
        for name in sorted(program.unreleased):
            worker = self._find_worker(name)
            if worker is None:
                self._confirm_release(program, name)
                continue
            try:
                await self._upstream.release(worker, program.id)
            except UpstreamError:
                continue
            self._record_release(program, name)

    def _record_release(self, program: Program, worker: str) -> None:
        """Record a release; confirms it if the first was SECOND_RELEASE_DELAY_SECONDS ago."""
        now = self._context.clock.monotonic()
        first = self._first_released_at.setdefault((program.id, worker), now)
        if now - first >= SECOND_RELEASE_DELAY_SECONDS:
            del self._first_released_at[(program.id, worker)]
            self._confirm_release(program, worker)

    def _confirm_release(self, program: Program, worker: str) -> None:
        if program.running is None and not self._journal.sealed.is_set():
            self._owner.record_writer.apply_now([MemoryReleased(program.id, worker)])

    def schedule_key_deletion(self, openings: OpeningController, key: str) -> None:
        """Delete the idempotency key of a dropped program in the background."""
        self._tasks.spawn(openings.forget(key))

    def _find_worker(self, name: str) -> Worker | None:
        for pool in self._configuration.current.tables.pools:
            for worker in pool.workers:
                if worker.name == name:
                    return worker
        return None

    def _drop_past_retention(self) -> None:
        retention = timedelta(seconds=self._context.settings.limits.retention_seconds)
        limit = self._context.clock.now() - retention
        table = self._owner.table
        for program in list(table.programs.values()):
            if program.account.parent is None and self._is_past_retention(program, limit):
                for member in table.tree_of(program.id):
                    self._on_dropped(member)
                table.forget_tree(program.id)
                self._journal.segment_index.forget(program.id)

    def _is_past_retention(self, root: Program, limit: datetime) -> bool:
        tree = self._owner.table.tree_of(root.id)
        return all(
            p.ended is not None and p.ended.ended_at < limit and not p.unreleased for p in tree
        )

    async def _compact_journal(self) -> None:
        """Rewrite the trees that prevent deletion of the oldest segments; delete unneeded ones."""
        if self._journal.sealed.is_set() or self._journal.failing:
            return
        for root in self._journal.segment_index.list_for_compaction():
            if root in self._owner.table.programs:
                await self._rewrite_tree(root)
        await self._journal.delete_garbage(MAX_DELETES_PER_ROUND)

    async def _rewrite_tree(self, root: str) -> None:
        tree = self._owner.table.tree_of(root)
        records = [record for member in tree for record in member.snapshot()]
        try:
            done = [self._journal.append(chunk) for chunk in pack_records(records)]
            numbers = await asyncio.gather(*done)
        except (JournalFullError, JournalSealedError):
            return
        self._journal.segment_index.move(root, min(numbers))
