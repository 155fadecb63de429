"""Copies from each other keeper what this one lacks."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from attrs import define

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup
from egretford.errors import EgretfordError
from egretford.keeper.log import DiskError
from egretford.keeper.messages import (
    AdoptView,
    FetchTurns,
    KeeperReply,
    KeeperRequest,
    ListRecords,
    OutdatedView,
    RecordPage,
    TurnPage,
    UnknownView,
)
from egretford.keeper.records import Records
from egretford.keeper.service import KeeperService
from egretford.peer.interface import Peers
from egretford.policy.groups import Completion, list_counted
from egretford.policy.views import Member, MemberState, View

# How often each other keeper is asked; also how soon a silent one is noticed.
COPY_SECONDS = 0.5
# A page may wait behind other traffic of the link between regions.
ASK_SECONDS = 2.0
# A page of turns holds at most some hundred; more ids would only be sent again.
MAX_FETCH_IDS = 100


@define
class Source:
    """What is known of one other keeper; `heard_at` in monotonic seconds.

    Records up to `position` were copied while `former` were the active disks. After a change
    of members they are looked through again; `scanned` tells how far, for `members`.
    `copied_view` and `copied_generation` are the newest under which all were copied.
    `replaced` tells that its machine answers with another disk: this one will not come back.
    """

    member: Member
    heard_at: float
    lifetime: str = ""
    position: int = 0
    former: tuple[str, ...] = ()
    scanned: int = 0
    members: tuple[Member, ...] = ()
    copied_view: int = 0
    copied_generation: int = 0
    ready: bool = False
    replaced: bool = False


class CompletionStore(Protocol):
    """Where the newest completion survives a restart."""

    async def store(self, completion: Completion) -> None:
        """Write a completion; raises DiskError."""


class Copying:
    """One loop a keeper; what a keeper missed while it was down comes the same way."""

    def __init__(
        self,
        name: str,
        disk: str,
        service: KeeperService,
        records: Records,
        peers: Peers,
        completions: CompletionStore,
        clock: Clock,
        log: Any,
    ) -> None:
        self._completions = completions
        self._name = name
        self._disk = disk
        self._service = service
        self._records = records
        self._peers = peers
        self._clock = clock
        self._log = log
        self._tasks = TaskGroup()
        self._hurried = asyncio.Event()
        self._fetching = asyncio.Lock()
        self.sources: dict[str, Source] = {}

    async def start(self) -> None:
        """Begin with the members of the view."""
        self.follow_view()

    async def close(self) -> None:
        """Stop copying."""
        await self._tasks.close()

    def take_view(self) -> None:
        """Follow a view that was just adopted, without waiting for the next round."""
        self.follow_view()
        self.hurry()

    def follow_view(self) -> None:
        """Copy from the members of the newest view, and from no others."""
        members = {m.disk: m for m in self._service.view.members if m.disk != self._disk}
        for disk in set(self.sources) - set(members):
            del self.sources[disk]
        for disk, member in members.items():
            known = self.sources.get(disk)
            if known is not None:
                known.member = member
            else:
                self.sources[disk] = Source(member, self._clock.monotonic())
                self._tasks.spawn(self._follow(disk))

    async def _follow(self, disk: str) -> None:
        while (source := self.sources.get(disk)) is not None:
            try:
                while await self._copy_page(source):
                    pass
            except EgretfordError as error:
                self._log.info(
                    "could not copy from a keeper",
                    keeper=source.member.name,
                    silent_s=round(self._clock.monotonic() - source.heard_at, 2),
                    error=str(error),
                )
            await self._wait()

    async def _wait(self) -> None:
        hurried = self._hurried
        sleeping = asyncio.ensure_future(self._clock.sleep(COPY_SECONDS))
        hurrying = asyncio.ensure_future(hurried.wait())
        try:
            await asyncio.wait({sleeping, hurrying}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleeping.cancel()
            hurrying.cancel()

    def hurry(self) -> None:
        """Copy again at once, as after a change of the view."""
        self._hurried.set()
        self._hurried = asyncio.Event()

    async def _copy_page(self, source: Source) -> bool:
        """Copy one page; returns whether more follows."""
        view = self._service.view
        if source.members != view.members:
            # Others are to hold other records: look through all of them again.
            source.scanned, source.members = 0, view.members
        message = ListRecords(
            self._disk,
            self._name,
            source.lifetime,
            source.position,
            source.scanned,
            source.former,
            view=view.number,
        )
        reply = await self._ask(source, message)
        match reply:
            case OutdatedView():
                await self._service.adopt(reply.view)
                return self.sources.get(source.member.disk) is source
            case UnknownView():
                await self._ask(source, AdoptView(view))
                return True
            case RecordPage() if not source.replaced:
                before = source.scanned
                if not await self._take(source, reply, view):
                    return True
                # One that is emptied learns by the next request that all of it is copied.
                waits = source.member.state is MemberState.LEAVING
                return reply.more or (waits and source.scanned > before)
        return False

    async def _ask(self, source: Source, message: KeeperRequest) -> KeeperReply:
        reply = await self._peers.ask(source.member.address, message, ASK_SECONDS)
        if isinstance(reply, RecordPage | TurnPage):
            replaced = reply.disk != source.member.disk
            if replaced and not source.replaced:
                self._log.warning("a keeper has another disk", keeper=source.member.name)
            source.replaced = replaced
        # What answers with another disk tells nothing of the one that was asked.
        if not source.replaced:
            source.heard_at = self._clock.monotonic()
        return reply

    async def _take(self, source: Source, page: RecordPage, view: View) -> bool:
        """Write a page's records; False if the view or the disk changed before all had come."""
        # One source at a time, so that no turn comes twice over a narrow link.
        async with self._fetching:
            missing = [turn_id for turn_id in page.turns if not self._records.holds(turn_id)]
            while missing:
                asked = tuple(missing[:MAX_FETCH_IDS])
                message = FetchTurns(asked, view=self._service.view.number)
                reply = await self._ask(source, message)
                if not isinstance(reply, TurnPage) or source.replaced:
                    # The page is asked for again, under a newer view if there is one.
                    return False
                await self._records.write(list(reply.turns))
                # What does not come although nothing else does has expired there.
                missing = [t for t in missing if not self._records.holds(t)]
                if not reply.turns:
                    missing = [t for t in missing if t not in asked]
        await self._records.write([c for charges in page.charges for c in charges.unpack()])
        self._note_page(source, page, view)
        return True

    def _note_page(self, source: Source, page: RecordPage, view: View) -> None:
        if source.lifetime != page.lifetime:
            source.lifetime, source.position, source.former = page.lifetime, 0, ()
        source.ready = page.ready
        source.scanned = page.position
        if source.scanned >= source.position:
            source.position = source.scanned
            source.former = list_counted(view, self._disk)
        if not page.more:
            source.copied_view = max(source.copied_view, view.number)
            if source.copied_generation < view.generation:
                source.copied_generation = view.generation
                self.note_copied()

    def note_copied(self) -> None:
        """Tell the service, and the disk, if enough is copied under the newest view."""
        view = self._service.view
        uncopied = {
            disk
            for disk, source in self.sources.items()
            if source.member.state is not MemberState.JOINING
            and source.copied_generation < view.generation
        }
        if self._service.note_copied(uncopied):
            self._tasks.spawn(self._store_completion())

    async def _store_completion(self) -> None:
        try:
            await self._completions.store(self._service.memory.completion)
        except DiskError as error:
            # After a restart it will be copied once more.
            self._log.warning("the completion could not be written", error=str(error))
