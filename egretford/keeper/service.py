"""Answers entries and other keepers from the records, under the newest view known."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from egretford.clock import Clock
from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.log import DiskError, write_file_durably
from egretford.keeper.messages import (
    AdoptView,
    CrashList,
    FetchTurns,
    Keep,
    KeeperReply,
    KeeperRequest,
    Kept,
    ListRecords,
    NotReady,
    OutdatedView,
    ProgramCharges,
    RecordPage,
    Reserve,
    Reserved,
    ShareCrashes,
    Turn,
    TurnPage,
    UnknownView,
)
from egretford.keeper.records import Records
from egretford.metrics import Metrics
from egretford.policy.copies import must_hold
from egretford.policy.crashes import CrashTable
from egretford.policy.groups import Completion, GroupCache, GroupMemory, list_counted
from egretford.policy.views import MemberState, View

VIEW_FILE = "view"
# Keepers do not know organisations; their histograms differ by the kind of request.
ALL_ASKERS = "all"
# How long a reservation waits for charges that are being copied; entries wait a second.
COVER_SECONDS = 0.5


class KeeperService:
    """One keeper's answers.

    A view is on disk before anything is answered under it, so that a restart cannot bring
    an older one back.
    """

    def __init__(
        self,
        folder: Path,
        disk: str,
        tolerated_losses: int,
        records: Records,
        clock: Clock,
        metrics: Metrics,
        log: Any,
    ) -> None:
        self._path = folder / VIEW_FILE
        self._disk = disk
        self._tolerated = tolerated_losses
        self._groups = GroupCache(tolerated_losses)
        self.memory = GroupMemory(disk, self._groups)
        self._completed = asyncio.Event()
        self._records = records
        self._clock = clock
        self._metrics = metrics
        self._crashes = CrashTable()
        self._log = log
        self._adopting = asyncio.Lock()
        self.view = View()
        self.on_adopted: Callable[[], None] | None = None
        self.ready = False
        # By asking keeper: the view and the position up to which it has looked through this one.
        self.copied_by: dict[str, tuple[int, int]] = {}

    def load_view(self, completion: Completion) -> None:
        """Take the view and the completion that this disk last had."""
        try:
            self.view = decode_bytes(self._path.read_bytes(), View)
        except FileNotFoundError:
            return
        except Exception as error:
            self._log.error("the view on disk cannot be read; the store has it", error=repr(error))
        else:
            self.memory.restore(completion, self.view)

    async def adopt(self, view: View) -> None:
        """Take a newer view; raises DiskError."""
        async with self._adopting:
            if view.number <= self.view.number:
                return
            try:
                await asyncio.to_thread(write_file_durably, self._path, encode_bytes(view))
            except OSError as error:
                raise DiskError(repr(error)) from error
            known = {member.disk for member in self.view.members}
            self.view = view
            self.memory.adopt(view)
            if view.find(self._disk) is None:
                self.ready = False
            self._log.info(
                "adopted a view",
                view=view.number,
                members=[member.name for member in view.members],
                new=[member.name for member in view.members if member.disk not in known],
                ready=self.ready,
                complete=self.memory.is_complete,
            )
            if self.on_adopted is not None:
                self.on_adopted()

    def note_copied(self, uncopied: set[str]) -> bool:
        """Note from which other members not all is copied; returns whether that is enough."""
        if not self.memory.complete(self.view, uncopied):
            return False
        self._completed.set()
        self._completed = asyncio.Event()
        self._log.info(
            "holds all charges of its programs",
            view=self.view.number,
            generation=self.view.generation,
            without=sorted(uncopied),
        )
        return True

    async def _wait_covered(self, program: str) -> bool:
        """Wait a little until all charges of a program are copied; returns whether they are."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COVER_SECONDS):
                while not self.memory.covers(program):
                    await self._completed.wait()
        return self.memory.covers(program)

    async def answer(self, message: KeeperRequest) -> KeeperReply:
        """Answer one request."""
        started = self._clock.monotonic()
        reply = await self._choose_answer(message)
        kind = type(message).__name__
        self._metrics.count(f"{kind}.{type(reply).__name__}")
        seconds = self._clock.monotonic() - started
        self._metrics.record_seconds("request", ALL_ASKERS, kind, seconds)
        return reply

    async def _choose_answer(self, message: KeeperRequest) -> KeeperReply:
        if isinstance(message, AdoptView):
            await self.adopt(message.view)
            return Kept()
        if message.view < self.view.number:
            return OutdatedView(self.view)
        if message.view > self.view.number:
            return UnknownView()
        match message:
            case ListRecords():
                return self._list(message)
            case FetchTurns():
                return TurnPage(tuple(self._records.find_turns(message.ids)), self._disk)
            case ShareCrashes():
                now = self._clock.monotonic()
                self._crashes.learn(message.seen, now)
                return CrashList(self._crashes.list_recent(now))
            case Keep(charge=None):
                # A synced copy is one, whatever else this keeper still lacks.
                return await self._keep(message) if self._counts else NotReady("does not count")
            case Reserve(charge=None) if self._has_chain(message.previous):
                return await self._reserve(message)
            case _ if not self.ready:
                return NotReady("copying records from other keepers")
            case Reserve():
                return await self._reserve(message)
            case Keep():
                return await self._keep(message)

    @property
    def _counts(self) -> bool:
        mine = self.view.find(self._disk)
        return mine is not None and mine.state is MemberState.ACTIVE

    def _has_chain(self, turn_id: str) -> bool:
        """Whether a turn is held with all that it continues; turns never change."""
        _, missing = self._records.read_chain(turn_id)
        return missing is None

    async def _reserve(self, message: Reserve) -> KeeperReply:
        charge = message.charge
        if charge is not None:
            if not await self._wait_covered(charge.program):
                return NotReady("copying charges from other keepers")
            await self._records.write([charge])
            if message.view < self.view.number:
                return OutdatedView(self.view)
        chain, missing = (), None
        if message.previous is not None:
            chain, missing = self._records.read_chain(message.previous)
            if missing is None:
                self._records.renew_chain(chain)
        charges = None
        if charge is not None:
            held = self._records.list_charges(charge.program)
            charges = ProgramCharges.pack(charge.program, held)
        return Reserved(charges, chain if message.with_chain else (), missing)

    async def _keep(self, message: Keep) -> KeeperReply:
        records = [record for record in (message.charge, message.turn) if record is not None]
        await self._records.write(records)
        if message.view < self.view.number:
            return OutdatedView(self.view)
        return Kept()

    def _list(self, message: ListRecords) -> RecordPage:
        """List what the asker is to hold under the view, and did not have to before."""
        known = message.lifetime == self._records.lifetime
        position = message.position if known else 0
        scanned = message.scanned if known else 0
        self.copied_by[message.asker] = (message.view, scanned)
        view, groups = self.view, self._groups
        counted = list_counted(view, message.asker)

        def is_charge_wanted(program: str, at: int) -> bool:
            if message.asker not in groups.find(counted, program):
                return False
            return at > position or message.asker not in groups.find(message.former, program)

        def is_turn_wanted(turn: Turn) -> bool:
            return must_hold(view, message.asker_name, turn.id, turn.copies, self._tolerated)

        found = self._records.list_after(scanned, is_charge_wanted, is_turn_wanted)
        charges = [ProgramCharges.pack(*item) for item in found.charges.items()]
        return RecordPage(
            self._records.lifetime,
            found.position,
            tuple(charges),
            tuple(found.turns),
            found.more,
            self.ready,
            self._disk,
        )

    def is_copied_by(self, disk: str, view_number: int, position: int) -> bool:
        """Whether a keeper has this one's records up to a position, asked under a view."""
        number, copied = self.copied_by.get(disk, (0, -1))
        return number >= view_number and copied >= position
