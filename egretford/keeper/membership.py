"""Keeper membership: joining, leaving and dropping by compare-and-set of the view in the store."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Protocol

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.errors import StoreUnavailableError, VersionConflictError
from egretford.keeper.copying import RecordCopier, Source
from egretford.keeper.handover import TurnHandover
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

STEP_INTERVAL_SECONDS = 0.25
# A keeper with a new disk waits this long for unreachable members before it goes on without them;
# deployments allow a new keeper 4.8 s or more until it must be complete.
SOURCE_TIMEOUT_SECONDS = 3.0
# A member that has not replied for this long is dropped if enough other members remain; most
# interruptions are shorter.
DROP_TIMEOUT_SECONDS = 5.0
# Records that only a dropped member held are past their retention after this time, so its disk no
# longer needs to be listed in the view.
DROPPED_RETENTION = timedelta(seconds=180)
# An evacuation waits this long for slow members to copy the records; then the keeper that leaves
# sends those turns that still have too few copies to members that do reply.
STRAGGLER_TIMEOUT_SECONDS = 2.0


class ViewStore(Protocol):
    """Compare-and-set storage of the newest view.

    Both methods raise StoreUnavailableError; a replacement may have taken effect even so.
    """

    async def read(self) -> tuple[View, int | None]:
        """Return the newest view and its revision; an empty view and None if none is stored."""

    async def replace(self, view: View, revision: int | None) -> None:
        """Replace the view if its revision is still `revision`, else raise VersionConflictError."""


class Evacuations(Protocol):
    """Operator requests to evacuate an instance: others copy its records and it leaves the view."""

    async def mark_running(self, instance: str) -> None:
        """Report that the evacuation has started; raises StoreUnavailableError."""

    async def mark_done(self, instance: str) -> None:
        """Report that the instance can be removed; raises StoreUnavailableError."""

    @property
    def is_loaded(self) -> bool:
        """Whether the requests have been read from the store at least once."""

    def find(self, instance: str) -> str | None:
        """Return the state of an instance's request ('', 'running' or 'done'), None without one."""


class ReadyMarker(Protocol):
    """A persistent flag: the disk holds all charges that this keeper must hold."""

    def is_set(self) -> bool:
        """Whether the flag is set, also after a restart."""

    async def set(self) -> None:
        """Set the flag durably; raises DiskError."""

    async def clear(self) -> None:
        """Clear the flag durably; raises DiskError."""


class Membership:
    """Moves this keeper through joining, active and leaving, and drops unresponsive members.

    A keeper counts once it has copied the charges of others, which quorums need. The turns, which
    take longer, are copied meanwhile; it leaves only after that.
    `evacuated` is true once the keeper has left the view for good.
    """

    def __init__(
        self,
        member: Member,
        service: KeeperService,
        records: Records,
        copier: RecordCopier,
        views: ViewStore,
        evacuations: Evacuations,
        ready_marker: ReadyMarker,
        handover: TurnHandover,
        tolerated_losses: int,
        clock: Clock,
        log: Any,
    ) -> None:
        self._member = member
        self._service = service
        self._records = records
        self._copier = copier
        self._views = views
        self._evacuations = evacuations
        self._ready_marker = ready_marker
        self._tolerated_losses = tolerated_losses
        self._clock = clock
        self._log = log
        self._tasks = TaskGroup()
        self._target_view: int | None = None
        self._view_loaded = False
        self._leaving_started_at: float | None = None
        self._leaving_position = 0
        self._handover = handover
        self._dropped_first_seen: dict[str, float] = {}
        self.evacuated = False

    async def start(self) -> None:
        """Start the control loop.

        A keeper that is a member of its last known view with a complete disk serves at once.
        """
        own_member = self._service.view.find(self._member.disk)
        self._service.ready = own_member is not None and self._ready_marker.is_set()
        self._tasks.spawn(run_every(self._clock, STEP_INTERVAL_SECONDS, self.step, self._log))

    async def close(self) -> None:
        """Stop the control loop."""
        await self._tasks.close()

    async def step(self) -> None:
        """Follow the newest view, then make the next membership change that it calls for."""
        self._copier.update_sources()
        self._copier.update_completion()
        try:
            await self._step_view()
        except VersionConflictError:
            # Another keeper changed the view first; the next step reads it again.
            self._view_loaded = False
        except StoreUnavailableError as error:
            self._log.info("could not update the view; retrying", error=str(error))

    async def _step_view(self) -> None:
        self._update_turns()
        state = self._evacuations.find(self._member.name)
        if state == "done":
            self.evacuated = True
        if self.evacuated:
            return
        if not self._view_loaded:
            await self._load_view()
            self._view_loaded = True
        own_member = self._service.view.find(self._member.disk)
        match own_member.state if own_member is not None else None:
            case None:
                # An evacuated instance does not rejoin, even after a restart, unless it was dropped
                # before others had copied it.
                was_dropped = self._member.disk in self._service.view.dropped
                if state is not None and not was_dropped:
                    await self._finish_evacuation()
                elif self._evacuations.is_loaded:
                    await self._join()
            case MemberState.JOINING:
                await self._activate()
            case MemberState.ACTIVE if not self._service.ready:
                await self._finish_joining()
            case MemberState.ACTIVE if state is None or not self._service.has_all_turns:
                await self._drop_unresponsive()
                await self._forget_dropped()
            case _:
                await self._leave()

    async def _load_view(self) -> None:
        view, _ = await self._views.read()
        await self._service.adopt(view)

    async def _update_view(self, update: Any) -> View:
        """Apply `update` to the newest view in the store and adopt the result."""
        view, revision = await self._views.read()
        updated = update(view)
        await self._views.replace(updated, revision)
        await self._service.adopt(updated)
        return updated

    # Joining

    async def _join(self) -> None:
        await self._ready_marker.clear()
        view = await self._update_view(lambda view: add_member(view, self._member))
        self._target_view = view.number
        self._log.info("joined the view", view=view.number, members=len(view.members))
        if view.active == view.members:
            # Without other members there are no records to copy: a quorum needs several members.
            await self._set_ready([])

    async def _activate(self) -> None:
        """Become active once the charges that other members hold under this view are copied."""
        view = self._service.view
        if self._target_view is None:
            self._target_view = view.number
        missing = self._list_uncopied()
        is_replacing_disk = any(
            m.name == self._member.name and m.disk != self._member.disk for m in view.members
        )
        lost_count = len(missing) + (1 if is_replacing_disk else 0)
        if not all(self._is_unavailable(source) for source in missing):
            return
        if lost_count > self._tolerated_losses or not view.active:
            return
        unreachable = frozenset(source.member.disk for source in missing)
        view = await self._update_view(
            lambda view: activate_member(view, self._member.disk, unreachable)
        )
        self._target_view = view.number
        self._log.info(
            "became an active member",
            view=view.number,
            without=[source.member.name for source in missing],
        )

    async def _finish_joining(self) -> None:
        """Become ready once all charges written before others adopted this view are copied."""
        if self._target_view is None:
            self._target_view = self._service.view.number
        missing = self._list_uncopied()
        all_unavailable = all(self._is_unavailable(source) for source in missing)
        if all_unavailable and len(missing) <= self._tolerated_losses:
            await self._set_ready(missing)

    def _list_uncopied(self) -> list[Source]:
        sources = self._copier.sources.values()
        return [
            source
            for source in sources
            if source.member.name != self._member.name
            and source.member.state is not MemberState.JOINING
            and source.charges_view < self._target_view
        ]

    async def _set_ready(self, missing: list[Source]) -> None:
        await self._ready_marker.set()
        self._service.ready = True
        self._log.info(
            "ready: all charges are copied",
            view=self._service.view.number,
            without=[source.member.name for source in missing],
        )

    def _update_turns(self) -> None:
        """Note once all turns are copied, for the first time since this keeper counts."""
        if self._service.has_all_turns or not self._service.ready:
            return
        if self._target_view is None:
            self._target_view = self._service.view.number
        if any(
            source.copied_view < self._target_view and not self._is_unavailable(source)
            for source in self._copier.sources.values()
            if source.member.state is not MemberState.JOINING
        ):
            return
        self._service.has_all_turns = True
        self._log.info("all turns are copied", view=self._service.view.number)

    def _is_unavailable(self, source: Source) -> bool:
        """Whether to stop waiting for a source: its disk was replaced or it does not reply."""
        return source.replaced or self._is_unresponsive(source, SOURCE_TIMEOUT_SECONDS)

    def _is_unresponsive(self, source: Source, seconds: float) -> bool:
        return self._clock.monotonic() - source.last_reply_at >= seconds

    # Leaving

    async def _leave(self) -> None:
        own_member = self._service.view.find(self._member.disk)
        if own_member.state is not MemberState.LEAVING:
            await self._evacuations.mark_running(self._member.name)
            view = await self._update_view(lambda view: mark_leaving(view, self._member.disk))
            self._start_leaving()
            self._log.info("leaving: other keepers copy the records", view=view.number)
            return
        if self._leaving_started_at is None:
            self._start_leaving()
        # What a member must store follows from the members, so copies under an older view than
        # the newest do not count.
        view = self._service.view
        active = view.active
        copied = [
            member
            for member in active
            if self._service.is_copied_by(member.disk, view.number, self._leaving_position)
        ]
        elapsed = self._clock.monotonic() - self._leaving_started_at
        is_overdue = elapsed >= STRAGGLER_TIMEOUT_SECONDS
        enough_copied = len(copied) > self._tolerated_losses
        copied_disks = {member.disk for member in copied}
        open_turns = await self._handover.find_open(copied_disks)
        if open_turns and is_overdue:
            await self._handover.send_open(copied_disks, self._list_responsive())
            open_turns = await self._handover.find_open(copied_disks)
        if not open_turns and enough_copied and (len(copied) == len(active) or is_overdue):
            # Leave the view first: after a restart in between, this keeper must not serve again.
            await self._update_view(lambda newest: self._remove_from(newest, view.number))
            await self._finish_evacuation()
            self._log.info(
                "left: other keepers hold all records",
                copied_by=[member.name for member in copied],
                not_copied_by=[member.name for member in active if member not in copied],
                after_s=round(elapsed, 2),
            )

    def _remove_from(self, newest: View, counted: int) -> View:
        """Return the view without this member; raises VersionConflictError if it has changed.

        `counted` is the number of the view under which copies were counted.
        """
        if newest.number != counted:
            raise VersionConflictError("the view changed after copies were counted")
        return remove_member(newest, self._member.disk)

    def _list_responsive(self) -> set[str]:
        """Return the disks of the members that have replied lately."""
        return {
            source.member.disk
            for source in self._copier.sources.values()
            if not self._is_unresponsive(source, STRAGGLER_TIMEOUT_SECONDS)
        }

    async def _finish_evacuation(self) -> None:
        await self._evacuations.mark_done(self._member.name)
        self.evacuated = True

    def _start_leaving(self) -> None:
        """Record the current position; entries write no new records to a leaving member."""
        self._leaving_started_at = self._clock.monotonic()
        self._leaving_position = self._records.position

    # Dropping

    async def _drop_unresponsive(self) -> None:
        sources = self._copier.sources.values()
        unresponsive = [s for s in sources if self._is_unresponsive(s, DROP_TIMEOUT_SECONDS)]
        responsive = [
            s for s in sources if not self._is_unresponsive(s, DROP_TIMEOUT_SECONDS) and s.ready
        ]
        unresponsive = [s for s in unresponsive if s.member.state is not MemberState.JOINING]
        if not unresponsive or len(responsive) + 1 < 2 * self._tolerated_losses + 1:
            return
        # Only the first of the responsive members, by name, makes the change.
        if any(s.member.name < self._member.name for s in responsive):
            return
        # Charges written under this view must be copied before a quorum can exclude the member.
        if any(s.charges_view < self._service.view.number for s in responsive):
            return
        dropped = unresponsive[0].member
        view = await self._update_view(
            lambda view: drop_member(view, dropped.disk) if view.find(dropped.disk) else view
        )
        self._log.warning("dropped an unresponsive keeper", keeper=dropped.name, view=view.number)

    async def _forget_dropped(self) -> None:
        now, dropped = self._clock.monotonic(), self._service.view.dropped
        self._dropped_first_seen = {d: self._dropped_first_seen.get(d, now) for d in dropped}
        for disk, first_seen in self._dropped_first_seen.items():
            if now - first_seen > DROPPED_RETENTION.total_seconds():
                await self._update_view(lambda view, disk=disk: forget_dropped(view, disk))
                return
