"""Joins, leaves and drops keepers, by conditional updates of one object in the store."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Protocol

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import StoreUnavailableError, VersionConflictError
from egretford.keeper.copying import Copying, Source
from egretford.keeper.records import Records
from egretford.keeper.service import KeeperService
from egretford.policy.views import (
    Member,
    MemberState,
    View,
    activate_member,
    add_member,
    drop_member,
    forget_dropped,
    mark_leaving,
    remove_member,
)

STEP_SECONDS = 0.25
# A new disk waits this long for members that it cannot reach before it counts itself complete
# without them; deployments give a new keeper 4.8 s or more until it must be complete.
MISSING_SOURCE_SECONDS = 3.0
# A member that was silent for this long is dropped where enough others are left; most
# interruptions are shorter.
DROP_SECONDS = 5.0
# What only a dropped member held is past its retention after this long.
DROPPED_MEMORY = timedelta(seconds=180)
# An evacuation waits this long for members that do not copy, if enough others did.
STRAGGLER_SECONDS = 2.0


class ViewStore(Protocol):
    """Where the newest view is agreed on.

    Both methods raise StoreUnavailableError; a replacement may then have taken effect.
    """

    async def read(self) -> tuple[View, int | None]:
        """Return the newest view and its revision, or an empty one if there is none yet."""

    async def replace(self, view: View, revision: int | None) -> None:
        """Replace the view that has `revision`; raises VersionConflictError."""


class Evacuations(Protocol):
    """Requests of the operator to empty an instance."""

    async def note_running(self, instance: str) -> None:
        """Tell that the instance is being emptied; raises StoreUnavailableError."""

    async def note_done(self, instance: str) -> None:
        """Tell that the instance may be removed; raises StoreUnavailableError."""

    @property
    def is_known(self) -> bool:
        """Whether the requests have been read."""

    def find(self, instance: str) -> str | None:
        """Return the state of a request for an instance: '', 'running', 'done', or None."""


class ReadyMarker(Protocol):
    """Whether the disk holds all that it is to hold; survives restarts."""

    def is_set(self) -> bool:
        """Whether it was set since it was last cleared."""

    async def set(self) -> None:
        """Set it; raises DiskError."""

    async def clear(self) -> None:
        """Clear it; raises DiskError."""


class Membership:
    """Keeps this keeper in the view, and the view fit to serve."""

    def __init__(
        self,
        me: Member,
        service: KeeperService,
        records: Records,
        copying: Copying,
        views: ViewStore,
        evacuations: Evacuations,
        marker: ReadyMarker,
        tolerated_losses: int,
        clock: Clock,
        log: Any,
    ) -> None:
        self._me = me
        self._service = service
        self._records = records
        self._copying = copying
        self._views = views
        self._evacuations = evacuations
        self._marker = marker
        self._tolerated = tolerated_losses
        self._clock = clock
        self._log = log
        self._tasks = TaskGroup()
        self._target_view: int | None = None
        self._read_store = False
        self._leaving_since: float | None = None
        self._leaving_position = 0
        self._dropped_seen: dict[str, float] = {}
        self.evacuated = False

    async def start(self) -> None:
        """Begin; a keeper whose disk was complete in the view that it last saw serves at once."""
        mine = self._service.view.find(self._me.disk)
        self._service.ready = mine is not None and self._marker.is_set()
        self._tasks.spawn(run_every(self._clock, STEP_SECONDS, self.step, self._log))

    async def close(self) -> None:
        """Stop changing views."""
        await self._tasks.close()

    async def step(self) -> None:
        """Do what the newest view asks for."""
        self._copying.follow_view()
        self._copying.note_copied()
        try:
            await self._step_view()
        except VersionConflictError:
            # Another keeper changed the view; the next step starts from its outcome.
            self._read_store = False
        except StoreUnavailableError as error:
            self._log.info("the view cannot be changed now", error=str(error))

    async def _step_view(self) -> None:
        state = self._evacuations.find(self._me.name)
        if state == "done":
            self.evacuated = True
        if self.evacuated:
            return
        if not self._read_store:
            await self._learn_from_store()
            self._read_store = True
        mine = self._service.view.find(self._me.disk)
        match mine.state if mine is not None else None:
            case None:
                # An instance that was emptied stays out, also after a restart.
                if state is not None:
                    await self._finish_evacuation()
                elif self._evacuations.is_known:
                    await self._join()
            case MemberState.JOINING:
                await self._activate()
            case MemberState.ACTIVE if not self._service.ready:
                await self._finish_joining()
            case MemberState.ACTIVE if state is None:
                await self._drop_silent()
                await self._forget_dropped()
            case _:
                await self._leave()

    async def _learn_from_store(self) -> None:
        view, _ = await self._views.read()
        await self._service.adopt(view)

    async def _replace(self, change: Any) -> View:
        """Change the newest view of the store, and adopt the outcome."""
        view, revision = await self._views.read()
        changed = change(view)
        await self._views.replace(changed, revision)
        await self._service.adopt(changed)
        return changed

    # Joining

    async def _join(self) -> None:
        await self._marker.clear()
        view = await self._replace(lambda view: add_member(view, self._me))
        self._target_view = view.number
        self._log.info("joined the view", view=view.number, members=len(view.members))
        if view.active == view.members:
            # Without other members nothing can have been kept: a quorum needs several.
            await self._set_ready([])

    async def _activate(self) -> None:
        """Count from now on, if all that others hold under this view is copied."""
        view = self._service.view
        if self._target_view is None:
            self._target_view = view.number
        missing = self._list_uncopied()
        replaced = any(m.name == self._me.name and m.disk != self._me.disk for m in view.members)
        lost = len(missing) + (1 if replaced else 0)
        if not all(self._is_given_up(source) for source in missing):
            return
        if lost > self._tolerated or not view.active:
            return
        unreachable = frozenset(source.member.disk for source in missing)
        view = await self._replace(lambda view: activate_member(view, self._me.disk, unreachable))
        self._target_view = view.number
        self._log.info(
            "counts from now on",
            view=view.number,
            without=[source.member.name for source in missing],
        )

    async def _finish_joining(self) -> None:
        """Answer once all is copied that was written before others knew of this view."""
        if self._target_view is None:
            self._target_view = self._service.view.number
        missing = self._list_uncopied()
        given_up = all(self._is_given_up(source) for source in missing)
        if given_up and len(missing) <= self._tolerated:
            await self._set_ready(missing)

    def _list_uncopied(self) -> list[Source]:
        sources = self._copying.sources.values()
        return [
            source
            for source in sources
            if source.member.name != self._me.name
            and source.member.state is not MemberState.JOINING
            and source.copied_view < self._target_view
        ]

    async def _set_ready(self, missing: list[Source]) -> None:
        await self._marker.set()
        self._service.ready = True
        self._log.info(
            "ready: all records are copied",
            view=self._service.view.number,
            without=[source.member.name for source in missing],
        )

    def _is_given_up(self, source: Source) -> bool:
        """Whether no more is waited for a source; a lost disk never comes back."""
        return source.replaced or self._is_silent(source, MISSING_SOURCE_SECONDS)

    def _is_silent(self, source: Source, seconds: float) -> bool:
        return self._clock.monotonic() - source.heard_at >= seconds

    # Leaving

    async def _leave(self) -> None:
        mine = self._service.view.find(self._me.disk)
        if mine.state is not MemberState.LEAVING:
            await self._evacuations.note_running(self._me.name)
            view = await self._replace(lambda view: mark_leaving(view, self._me.disk))
            self._target_view = view.number
            self._begin_leaving()
            self._log.info("leaving: others copy what is held here", view=view.number)
            return
        if self._leaving_since is None:
            self._target_view = self._service.view.number
            self._begin_leaving()
        active = self._service.view.active
        copied = [
            member
            for member in active
            if self._service.is_copied_by(member.disk, self._target_view, self._leaving_position)
        ]
        waited = self._clock.monotonic() - self._leaving_since
        enough = len(copied) > self._tolerated and waited >= STRAGGLER_SECONDS
        if len(copied) == len(active) or enough:
            # Out of the view first: a restart in between must find that it may not serve.
            await self._replace(lambda view: remove_member(view, self._me.disk))
            await self._finish_evacuation()
            self._log.info(
                "left: others hold all records",
                copied_by=[member.name for member in copied],
                after_s=round(waited, 2),
            )

    async def _finish_evacuation(self) -> None:
        await self._evacuations.note_done(self._me.name)
        self.evacuated = True

    def _begin_leaving(self) -> None:
        """Note what is held now; nothing new is written here by entries any more."""
        self._leaving_since = self._clock.monotonic()
        self._leaving_position = self._records.position

    # Dropping

    async def _drop_silent(self) -> None:
        sources = self._copying.sources.values()
        silent = [s for s in sources if self._is_silent(s, DROP_SECONDS)]
        heard = [s for s in sources if not self._is_silent(s, DROP_SECONDS) and s.ready]
        silent = [s for s in silent if s.member.state is not MemberState.JOINING]
        if not silent or len(heard) + 1 < 2 * self._tolerated + 1:
            return
        if any(s.member.name < self._me.name for s in heard):
            return
        # What was kept under the view must be copied before a quorum may do without the member.
        if any(s.copied_view < self._service.view.number for s in heard):
            return
        dropped = silent[0].member
        view = await self._replace(
            lambda view: drop_member(view, dropped.disk) if view.find(dropped.disk) else view
        )
        self._log.warning("dropped a silent keeper", keeper=dropped.name, view=view.number)

    async def _forget_dropped(self) -> None:
        now = self._clock.monotonic()
        for disk in self._service.view.dropped:
            seen = self._dropped_seen.setdefault(disk, now)
            if now - seen > DROPPED_MEMORY.total_seconds():
                await self._replace(lambda view, disk=disk: forget_dropped(view, disk))
                return
