"""Replication between keepers: pulls missing records from each other member of the view.

Charges come with the list of records, turns are fetched apart: their texts may take much longer on
a slow link than a keeper may stay away from quorums, which need no turns.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from itertools import islice
from typing import Any, Protocol

from attrs import Factory, define

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, wait_for_event
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
from egretford.policy.groups import Completion, list_active_after_join
from egretford.policy.views import Member, MemberState, View

# Pause between two polls of a keeper; also bounds how soon an unresponsive one is detected.
COPY_INTERVAL_SECONDS = 0.5
# Long enough for a page that queues behind other traffic on the link between regions.
REQUEST_TIMEOUT_SECONDS = 2.0
# A turn that was requested this long ago is requested from another keeper as well. A batch from
# another region takes up to some hundred milliseconds.
STALLED_FETCH_SECONDS = 0.5
# Least pause while waiting for fetches of other sources.
LEAST_FETCH_WAIT_SECONDS = 0.01
# A reply has room for at most about a hundred turns; further ids would have to be sent again.
MAX_FETCH_IDS = 100
# Turns of a source that are looked up before each batch, as others may have sent them.
FETCHED_CHECK_TURNS = 5 * MAX_FETCH_IDS


@define
class Source:
    """The state of copying from one other keeper; `last_reply_at` in monotonic seconds.

    Charges up to `position` were copied while the disks in `former` were active. A change of
    members starts a new scan of all records; `scanned` is its position, `members` the members it
    started with, and `is_scanned` whether it has reached the end. `missing_turns` has the ids of
    the turns that were listed but not fetched yet, oldest first; `listed` is set with each page
    while there are any.
    `charges_view` and `copied_generation` are the newest under which all charges were copied,
    `copied_view` the newest under which all turns were, too, and `completed_generation` the newest
    that the source had completed before its charges were copied.
    `replaced` is set once the instance replies with a different disk: this disk is lost for good.
    """

    member: Member
    last_reply_at: float
    lifetime: str = ""
    position: int = 0
    former: tuple[str, ...] = ()
    scanned: int = 0
    members: tuple[Member, ...] = ()
    is_scanned: bool = False
    missing_turns: dict[str, None] = Factory(dict)
    listed: asyncio.Event = Factory(asyncio.Event)
    charges_view: int = 0
    copied_view: int = 0
    copied_generation: int = 0
    completed_generation: int = 0
    ready: bool = False
    replaced: bool = False

    def start_scan(self, members: tuple[Member, ...]) -> None:
        """Start to list all records again, as `members` must hold them."""
        self.scanned, self.members, self.is_scanned = 0, members, False
        self.missing_turns.clear()

    def remove_missing(self, turn_ids: Iterable[str]) -> None:
        """Take turns off those that are still to be fetched."""
        for turn_id in turn_ids:
            self.missing_turns.pop(turn_id, None)
        self.update_copied_view()

    def update_copied_view(self) -> None:
        """Count all records as copied once the scan has ended and no turn is missing."""
        if self.is_scanned and not self.missing_turns:
            self.copied_view = self.charges_view


class PendingFetches:
    """The turns that are being fetched, so that none is fetched from several sources at once.

    After STALLED_FETCH_SECONDS a turn may be claimed again, as the first source may be silent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._claimed_at: dict[str, float] = {}
        self._changed = asyncio.Event()

    def claim(self, turn_ids: Iterable[str], limit: int) -> tuple[str, ...]:
        """Claim up to `limit` of the turns that nobody else is fetching, and return these."""
        now = self._clock.monotonic()
        free = (
            turn_id
            for turn_id in turn_ids
            if now - self._claimed_at.get(turn_id, -math.inf) >= STALLED_FETCH_SECONDS
        )
        claimed = tuple(islice(free, limit))
        self._claimed_at.update(dict.fromkeys(claimed, now))
        return claimed

    def release(self, turn_ids: tuple[str, ...]) -> None:
        """End a fetch; also one that another source has taken over, whose copy may be redundant."""
        for turn_id in turn_ids:
            self._claimed_at.pop(turn_id, None)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Return once a fetch has ended or has stalled."""
        oldest = min(self._claimed_at.values(), default=-math.inf)
        seconds = oldest + STALLED_FETCH_SECONDS - self._clock.monotonic()
        await wait_for_event(self._changed, self._clock, max(seconds, LEAST_FETCH_WAIT_SECONDS))


class CompletionStore(Protocol):
    """Durable storage of the newest completion."""

    async def store(self, completion: Completion) -> None:
        """Replace the stored completion durably; raises DiskError."""


class RecordCopier:
    """Pulls records from the other keepers: one loop for each lists them, one fetches its turns.

    A keeper also gets the records that it missed while it was down in this way.
    """

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
        self._copy_tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._wakeup = asyncio.Event()
        self._fetches = PendingFetches(clock)
        self.sources: dict[str, Source] = {}

    async def start(self) -> None:
        """Start copying from the members of the current view."""
        self.update_sources()
        self._tasks.spawn(self._run_rounds())

    async def close(self) -> None:
        """Cancel all copy loops."""
        await self._tasks.close()

    def handle_new_view(self) -> None:
        """Update the sources and poll them at once; called when a view was adopted."""
        self.update_sources()
        self.wake()

    def update_sources(self) -> None:
        """Start a copy loop for each new member of the view, and end those of members that left.

        A request to a member that left must not block copies from the others until it times out.
        """
        members = {m.disk: m for m in self._service.view.members if m.disk != self._disk}
        for disk in set(self.sources) - set(members):
            del self.sources[disk]
            for task in self._copy_tasks.pop(disk):
                if task is not asyncio.current_task():
                    task.cancel()
        for disk, member in members.items():
            existing = self.sources.get(disk)
            if existing is not None:
                existing.member = member
            else:
                source = self.sources[disk] = Source(member, self._clock.monotonic())
                loops = (self._list_from(source), self._fetch_from(source))
                self._copy_tasks[disk] = [self._tasks.spawn(loop) for loop in loops]

    def extend_reply_time(self, seconds: float) -> None:
        """Give all other keepers more time to reply, as this one did not read their replies."""
        now = self._clock.monotonic()
        for source in self.sources.values():
            source.last_reply_at = min(now, source.last_reply_at + seconds)

    def _is_current(self, source: Source) -> bool:
        return self.sources.get(source.member.disk) is source

    def _log_failure(self, source: Source, error: EgretfordError) -> None:
        self._log.info(
            "could not copy from a keeper",
            keeper=source.member.name,
            silent_s=round(self._clock.monotonic() - source.last_reply_at, 2),
            error=str(error),
        )

    # Listing records, with the charges

    async def _run_rounds(self) -> None:
        """Poll all keepers at once, as one wake of the process costs more than the requests."""
        while True:
            await self._clock.sleep(COPY_INTERVAL_SECONDS)
            self.wake()

    async def _list_from(self, source: Source) -> None:
        while self._is_current(source):
            try:
                while await self._copy_page(source):
                    pass
            except EgretfordError as error:
                self._log_failure(source, error)
            await self._wakeup.wait()

    def wake(self) -> None:
        """Wake all listing loops from their pause between polls."""
        self._wakeup.set()
        self._wakeup = asyncio.Event()

    async def _copy_page(self, source: Source) -> bool:
        """Request one page and store its charges; returns whether to request another at once."""
        view = self._service.view
        if source.members != view.members:
            # Which member must hold which record has changed: scan all records again.
            source.start_scan(view.members)
        message = ListRecords(
            self._disk,
            self._name,
            source.lifetime,
            source.position,
            source.scanned,
            source.former,
            missing_turns=len(source.missing_turns),
            view=view.number,
        )
        reply = await self._request(source, message)
        match reply:
            case OutdatedView():
                await self._service.adopt(reply.view)
                return self._is_current(source)
            case UnknownView():
                await self._request(source, AdoptView(view))
                return True
            case RecordPage() if not source.replaced:
                scanned_before = source.scanned
                await self._store_page(source, reply, view)
                return reply.more or self._reports_progress(source, scanned_before)
        return False

    async def _request(self, source: Source, message: KeeperRequest) -> KeeperReply:
        reply = await self._peers.ask(source.member.address, message, REQUEST_TIMEOUT_SECONDS)
        if isinstance(reply, RecordPage | TurnPage):
            replaced = reply.disk != source.member.disk
            if replaced and not source.replaced:
                self._log.warning("a keeper's disk was replaced", keeper=source.member.name)
            source.replaced = replaced
        # A reply from a replacement disk does not show that the requested disk is alive.
        if not source.replaced:
            source.last_reply_at = self._clock.monotonic()
        return reply

    def _reports_progress(self, source: Source, scanned_before: int) -> bool:
        """Whether to list at once again: so a leaving member learns that all is copied."""
        is_leaving = source.member.state is MemberState.LEAVING
        return is_leaving and not source.missing_turns and source.scanned > scanned_before

    async def _store_page(self, source: Source, page: RecordPage, view: View) -> None:
        """Write a page's charges, and note which of its turns are to be fetched."""
        await self._records.write([c for charges in page.charges for c in charges.unpack()])
        self._update_source(source, page, view)

    def _update_source(self, source: Source, page: RecordPage, view: View) -> None:
        if source.lifetime != page.lifetime:
            source.lifetime, source.position, source.former = page.lifetime, 0, ()
            source.start_scan(source.members)
        missing = [turn_id for turn_id in page.turns if not self._records.has_turn(turn_id)]
        source.missing_turns.update(dict.fromkeys(missing))
        if source.missing_turns:
            source.listed.set()
        source.ready = page.ready
        source.scanned, source.is_scanned = page.position, not page.more
        if source.scanned >= source.position:
            source.position = source.scanned
            source.former = list_active_after_join(view, self._disk)
        if not page.more:
            source.charges_view = max(source.charges_view, view.number)
            source.completed_generation = page.completed
            if source.copied_generation < view.generation:
                source.copied_generation = view.generation
                self.update_completion()
        source.update_copied_view()

    # Fetching turns

    def fetch_turns(self, disk: str, turn_ids: Iterable[str]) -> None:
        """Fetch turns that this keeper must hold from the member with `disk`, which has them."""
        source = self.sources.get(disk)
        if source is not None:
            source.missing_turns.update(dict.fromkeys(turn_ids))
            source.listed.set()

    async def _fetch_from(self, source: Source) -> None:
        while self._is_current(source):
            try:
                while await self._fetch_batch(source):
                    pass
            except EgretfordError as error:
                self._log_failure(source, error)
            if source.missing_turns:
                await wait_for_event(source.listed, self._clock, COPY_INTERVAL_SECONDS)
            else:
                await source.listed.wait()
            source.listed.clear()

    async def _fetch_batch(self, source: Source) -> bool:
        """Fetch and write some of a source's missing turns; returns whether to go on at once."""
        next_turns = islice(source.missing_turns, FETCHED_CHECK_TURNS)
        source.remove_missing([t for t in next_turns if self._records.has_turn(t)])
        # The charges come first: a keeper does not count without them.
        if not source.missing_turns or not source.is_scanned or source.replaced:
            return False
        wanted = (t for t in source.missing_turns if not self._records.has_turn(t))
        batch = self._fetches.claim(wanted, MAX_FETCH_IDS)
        if not batch:
            await self._fetches.wait_for_change()
            return True
        try:
            message = FetchTurns(batch, view=self._service.view.number)
            reply = await self._request(source, message)
            if not isinstance(reply, TurnPage) or source.replaced:
                # The list of records is requested again, under a newer view if there is one.
                self.wake()
                return False
            await self._records.write(list(reply.turns), is_copy=True)
        finally:
            self._fetches.release(batch)
        # Without a turn in the reply, those requested have expired at the source.
        source.remove_missing([turn.id for turn in reply.turns] or batch)
        if not source.missing_turns and source.member.state is MemberState.LEAVING:
            # A leaving member sees in the next request that all its records are copied.
            self.wake()
        return True

    # Completions

    def update_completion(self) -> None:
        """Complete and persist the view's generation if enough members are copied under it."""
        view = self._service.view
        uncopied = {
            disk
            for disk, source in self.sources.items()
            if source.member.state is not MemberState.JOINING
            and source.copied_generation < view.generation
        }
        complete = frozenset(
            disk
            for disk, source in self.sources.items()
            if source.member.state is MemberState.ACTIVE
            and source.copied_generation == source.completed_generation == view.generation
        )
        if self._service.update_completion(uncopied, complete):
            self._tasks.spawn(self._store_completion())

    async def _store_completion(self) -> None:
        try:
            await self._completions.store(self._service.coverage.completion)
        except DiskError as error:
            # Without the file, a restart copies all records again.
            self._log.warning("could not write the completion file", error=str(error))
