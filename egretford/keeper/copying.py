"""Copies from each other keeper what this one lacks."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup
from egretford.errors import EgretfordError
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
from egretford.policy.views import Member, MemberState

# How often each other keeper is asked; also how soon a silent one is noticed.
COPY_SECONDS = 0.5
# A page may wait behind other traffic of the link between regions.
ASK_SECONDS = 2.0
# A page of turns holds at most some hundred; more ids would only be sent again.
MAX_FETCH_IDS = 100


@define
class Source:
    """What is known of one other keeper; `heard_at` in monotonic seconds.

    `position` and `turns_after` tell how far its charges and its turns were copied,
    `copied_view` is the newest view under which all were, and `scanned` holds the members by
    which its turns were looked through last.
    """

    member: Member
    heard_at: float
    lifetime: str = ""
    position: int = 0
    turns_after: int = 0
    copied_view: int = 0
    scanned: tuple[Member, ...] = ()
    ready: bool = False


class Copying:
    """One loop a keeper; what a keeper missed while it was down comes the same way."""

    def __init__(
        self,
        name: str,
        disk: str,
        service: KeeperService,
        records: Records,
        peers: Peers,
        clock: Clock,
        log: Any,
    ) -> None:
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
        if source.scanned != view.members:
            # Other members are to hold other turns: look through all of them again.
            source.turns_after, source.scanned = 0, view.members
        message = ListRecords(
            self._disk,
            self._name,
            source.lifetime,
            source.position,
            source.turns_after,
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
            case RecordPage():
                before = source.turns_after
                if not await self._take(source, reply):
                    return True
                source.ready = reply.ready
                if not reply.more and source.copied_view < view.number:
                    source.copied_view = view.number
                # One that is emptied learns by the next request that all of it is copied.
                waits = source.member.state is MemberState.LEAVING
                return reply.more or (waits and source.turns_after > before)
        return False

    async def _ask(self, source: Source, message: KeeperRequest) -> KeeperReply:
        reply = await self._peers.ask(source.member.address, message, ASK_SECONDS)
        source.heard_at = self._clock.monotonic()
        return reply

    async def _take(self, source: Source, page: RecordPage) -> bool:
        """Write a page's records; False if the view changed before its turns were fetched."""
        # One source at a time, so that no turn comes twice over a narrow link.
        async with self._fetching:
            missing = [turn_id for turn_id in page.turns if not self._records.holds(turn_id)]
            while missing:
                asked = tuple(missing[:MAX_FETCH_IDS])
                message = FetchTurns(asked, view=self._service.view.number)
                reply = await self._ask(source, message)
                if not isinstance(reply, TurnPage):
                    # The page is asked for again under the newer view.
                    return False
                await self._records.write(list(reply.turns))
                # What does not come although nothing else does has expired there.
                missing = [t for t in missing if not self._records.holds(t)]
                if not reply.turns:
                    missing = [t for t in missing if t not in asked]
        await self._records.write(list(page.charges))
        if source.lifetime != page.lifetime:
            source.lifetime, source.position = page.lifetime, 0
        source.position = max(source.position, page.position)
        source.turns_after = page.position
        return True
