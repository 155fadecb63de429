"""Upkeep of an owner's state: expiry, release of engine memory, forgetting, cleaning."""

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
RELEASES_AT_ONCE = 32
DELETES_PER_ROUND = 8
RELEASE_AGAIN_SECONDS = 5.0


class JanitorController:
    """Ends what has expired and frees what ended programs hold."""

    def __init__(
        self,
        context: Context,
        upstream: Upstream,
        owner: Owner,
        journal: JournalWriter,
        configuration: ConfigurationController,
        on_forgotten: Callable[[Program], None],
    ) -> None:
        self._context = context
        self._upstream = upstream
        self._owner = owner
        self._journal = journal
        self._configuration = configuration
        self._on_forgotten = on_forgotten
        self._log = context.make_logger("janitor")
        self._first_releases: dict[tuple[str, str], float] = {}
        self._tasks = TaskGroup()
        owner.on_ended = self._release_soon

    async def start(self) -> None:
        """Start the rounds."""
        self._tasks.spawn(run_every(self._context.clock, UPKEEP_SECONDS, self._tidy, self._log))
        self._tasks.spawn(run_every(self._context.clock, UPKEEP_SECONDS, self._clean, self._log))

    async def close(self) -> None:
        """Stop; unreleased memory stays in the journal as an obligation."""
        await self._tasks.close()

    async def _tidy(self) -> None:
        if self._journal.sealed.is_set():
            return
        for program in self._owner.list_expired():
            await self._owner.end(program, "its budget of seconds is spent")
        self._owner.drop_old_sendings()
        await self._release_ended()
        self._forget_old()

    def _release_soon(self, program: Program) -> None:
        self._tasks.spawn(self._release(program))

    async def _release_ended(self) -> None:
        ended = [p for p in self._owner.table.programs.values() if self._is_due(p)]
        for start in range(0, len(ended), RELEASES_AT_ONCE):
            chunk = ended[start : start + RELEASES_AT_ONCE]
            await asyncio.gather(*(self._release(program) for program in chunk))

    def _is_due(self, program: Program) -> bool:
        if program.ended is None or not program.unreleased:
            return False
        due = self._context.clock.monotonic() - RELEASE_AGAIN_SECONDS
        firsts = [self._first_releases.get((program.id, name)) for name in program.unreleased]
        return any(first is None or first <= due for first in firsts)

    async def _release(self, program: Program) -> None:
        """Free an ended program's memory on each worker, once no call of it runs."""
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
            self._note_release(program, name)

    def _note_release(self, program: Program, worker: str) -> None:
        """Count a release; a second one, some time later, frees what came late."""
        now = self._context.clock.monotonic()
        first = self._first_releases.setdefault((program.id, worker), now)
        if now - first >= RELEASE_AGAIN_SECONDS:
            del self._first_releases[(program.id, worker)]
            self._confirm_release(program, worker)

    def _confirm_release(self, program: Program, worker: str) -> None:
        if program.running is None and not self._journal.sealed.is_set():
            self._owner.keeper.note([MemoryReleased(program.id, worker)])

    def forget_key_soon(self, openings: OpeningController, key: str) -> None:
        """Delete a forgotten program's opening in the background."""
        self._tasks.spawn(openings.forget(key))

    def _find_worker(self, name: str) -> Worker | None:
        for pool in self._configuration.current.tables.pools:
            for worker in pool.workers:
                if worker.name == name:
                    return worker
        return None

    def _forget_old(self) -> None:
        retention = timedelta(seconds=self._context.settings.limits.retention_seconds)
        limit = self._context.clock.now() - retention
        table = self._owner.table
        for program in list(table.programs.values()):
            if program.account.parent is None and self._is_forgettable(program, limit):
                for member in table.tree_of(program.id):
                    self._on_forgotten(member)
                table.forget_tree(program.id)
                self._journal.ledger.forget(program.id)

    def _is_forgettable(self, root: Program, limit: datetime) -> bool:
        tree = self._owner.table.tree_of(root.id)
        return all(
            p.ended is not None and p.ended.ended_at < limit and not p.unreleased for p in tree
        )

    async def _clean(self) -> None:
        """Append the trees that hold up the oldest segments again; delete what is free."""
        if self._journal.sealed.is_set() or self._journal.failing:
            return
        for root in self._journal.ledger.list_for_cleaning():
            if root in self._owner.table.programs:
                await self._append_again(root)
        await self._journal.delete_garbage(DELETES_PER_ROUND)

    async def _append_again(self, root: str) -> None:
        tree = self._owner.table.tree_of(root)
        records = [record for member in tree for record in member.snapshot()]
        try:
            done = [self._journal.append(chunk) for chunk in pack_records(records)]
            numbers = await asyncio.gather(*done)
        except (JournalFullError, JournalSealedError):
            return
        self._journal.ledger.move(root, min(numbers))
