"""Answers entries and other keepers from the records, under the newest view known."""

from __future__ import annotations

import asyncio
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
    RecordPage,
    Reserve,
    Reserved,
    ShareCrashes,
    TurnPage,
    UnknownView,
)
from egretford.keeper.records import Records
from egretford.metrics import Metrics
from egretford.policy.copies import must_hold
from egretford.policy.crashes import CrashTable
from egretford.policy.views import View

VIEW_FILE = "view"
# Keepers do not know organisations; their histograms differ by the kind of request.
ALL_ASKERS = "all"


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
        self._records = records
        self._clock = clock
        self._metrics = metrics
        self._crashes = CrashTable()
        self._log = log
        self._adopting = asyncio.Lock()
        self.view = View()
        self.ready = False
        # By asking keeper: the view and the position up to which it holds its turns of this one.
        self.copied_by: dict[str, tuple[int, int]] = {}

    def load_view(self) -> None:
        """Take the view that this disk last saw."""
        try:
            self.view = decode_bytes(self._path.read_bytes(), View)
        except FileNotFoundError:
            return
        except Exception as error:
            self._log.error("the view on disk cannot be read; the store has it", error=repr(error))

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
            if view.find(self._disk) is None:
                self.ready = False
            self._log.info(
                "adopted a view",
                view=view.number,
                members=[member.name for member in view.members],
                new=[member.name for member in view.members if member.disk not in known],
                ready=self.ready,
            )

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
                return TurnPage(tuple(self._records.find_turns(message.ids)))
            case ShareCrashes():
                now = self._clock.monotonic()
                self._crashes.learn(message.seen, now)
                return CrashList(self._crashes.list_recent(now))
            case _ if not self.ready:
                return NotReady("copying records from other keepers")
            case Reserve():
                return await self._reserve(message)
            case Keep():
                return await self._keep(message)

    async def _reserve(self, message: Reserve) -> KeeperReply:
        charge = message.charge
        if charge is not None:
            await self._records.write([charge])
            if message.view < self.view.number:
                return OutdatedView(self.view)
        chain, missing = (), None
        if message.previous is not None:
            chain, missing = self._records.read_chain(message.previous)
            if missing is None:
                self._records.renew_chain(chain)
        charges = self._records.list_charges(charge.program) if charge is not None else ()
        return Reserved(charges, chain if message.with_chain else (), missing)

    async def _keep(self, message: Keep) -> KeeperReply:
        records = [record for record in (message.charge, message.turn) if record is not None]
        await self._records.write(records)
        if message.view < self.view.number:
            return OutdatedView(self.view)
        return Kept()

    def _list(self, message: ListRecords) -> RecordPage:
        known = message.lifetime == self._records.lifetime
        position, turns_after = (message.position, message.turns_after) if known else (0, 0)
        self.copied_by[message.asker] = (message.view, turns_after)
        charges, turns, last, more = self._records.list_after(
            position,
            turns_after,
            lambda turn: must_hold(
                self.view, message.asker_name, turn.id, turn.copies, self._tolerated
            ),
        )
        return RecordPage(
            self._records.lifetime,
            last,
            tuple(charges),
            tuple(turns),
            more,
            self.ready,
        )

    def is_copied_by(self, disk: str, view_number: int, position: int) -> bool:
        """Whether a keeper has this one's records up to a position, asked under a view."""
        number, copied = self.copied_by.get(disk, (0, -1))
        return number >= view_number and copied >= position
