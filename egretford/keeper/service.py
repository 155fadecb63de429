"""The request handler of a keeper: serves entries and other keepers under its current view."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from attrs import define

from egretford.clock import Clock
from egretford.codec import decode_bytes, encode_bytes
from egretford.keeper.crash_reports import exchange_crashes
from egretford.keeper.log import DiskError, write_file_durably
from egretford.keeper.messages import (
    MAX_LISTED_ATTEMPTS,
    AdoptView,
    AnnounceEntry,
    EntryList,
    FetchTurns,
    FindAttempts,
    FoundAttempts,
    Keep,
    KeeperReply,
    KeeperRequest,
    Kept,
    ListRecords,
    ListRenewals,
    NotReady,
    OutdatedView,
    ProgramCharges,
    RecordPage,
    RenewalPage,
    ReportCrashes,
    Reserve,
    Reserved,
    ShareCrashes,
    Turn,
    TurnPage,
    UnknownView,
)
from egretford.keeper.records import Records
from egretford.metrics import Metrics
from egretford.policy.crashes import CrashTable
from egretford.policy.detours import EntryRegistry
from egretford.policy.groups import (
    Completion,
    GroupCache,
    GroupCoverage,
    list_active_after_join,
    only_completes_groups,
)
from egretford.policy.turn_replicas import (
    is_same_region,
    list_near_successors,
    must_store_turn,
)
from egretford.policy.views import Member, MemberState, View

VIEW_FILE = "view"
# Label of the request histograms: keepers do not see organisations, only the kind of request.
ALL_ORGANISATIONS = "all"
# A reservation waits this long for charges that are still being copied; shorter than the entries'
# request timeout of 1 s.
COVERAGE_TIMEOUT_SECONDS = 0.5
# Least interval, in seconds, between log lines about requests refused for the same reason.
REFUSAL_LOG_INTERVAL_SECONDS = 1.0
# A member that has not asked for records for this long is taken for lost: others in the region take
# copies of its turns. Members ask twice a second, and a busy link between regions delays them.
SILENT_COPIER_SECONDS = 1.5
# The same holds for a member that has yet to fetch this many turns; fewer take it about a second.
LAGGING_TURNS = 100


@define
class Copier:
    """Another keeper as it copies from this one; `asked_at` in monotonic seconds.

    `missing_turns` is how many listed turns it has yet to fetch. Its scan lists the turns of the
    instances in `behind` to it, so that it takes copies of these.
    """

    asked_at: float
    missing_turns: int = 0
    behind: frozenset[str] = frozenset()


class KeeperService:
    """Handles the requests to one keeper.

    A view is written to disk before any request is answered under it, so that a restart cannot
    return to an older view.
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
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self._regions = regions or {}
        self._path = folder / VIEW_FILE
        self._disk = disk
        self._tolerated_losses = tolerated_losses
        self._groups = GroupCache(tolerated_losses)
        self.coverage = GroupCoverage(disk, self._groups)
        self._completion_changed = asyncio.Event()
        self._records = records
        self._clock = clock
        self._metrics = metrics
        self.crashes = CrashTable()
        self._entries = EntryRegistry()
        self._log = log
        self._refusal_log_due: dict[str, float] = {}
        self._uncopied: set[str] = set()
        self._adopt_lock = asyncio.Lock()
        self.view = View()
        self.on_view_adopted: Callable[[], None] | None = None
        # The last restart or change of members after which the quorums of some groups may have
        # another member instead of one that was down, in monotonic seconds.
        self._changed_at: float | None = None
        # Whether all charges are copied that this keeper must hold, and whether all turns are, too.
        self.ready = False
        self.has_all_turns = False
        # By disk of the copying keeper: the number of its view, and the position in this keeper's
        # records up to which it has copied them.
        self.copy_progress: dict[str, tuple[int, int]] = {}
        self._copiers: dict[str, Copier] = {}

    def load_view(self, completion: Completion) -> None:
        """Restore the view from disk, and with it `completion`, as read from the same disk."""
        try:
            self.view = decode_bytes(self._path.read_bytes(), View)
        except FileNotFoundError:
            return
        except Exception as error:
            self._log.error("could not read the view on disk; using the store", error=repr(error))
        else:
            self.coverage.restore(completion, self.view)
        self._changed_at = self._clock.monotonic()

    async def adopt(self, view: View) -> None:
        """Switch to `view` if it is newer than the current one; raises DiskError."""
        async with self._adopt_lock:
            if view.number <= self.view.number:
                return
            try:
                await asyncio.to_thread(write_file_durably, self._path, encode_bytes(view))
            except OSError as error:
                raise DiskError(repr(error)) from error
            members = {member.disk for member in view.members}
            self._copiers = {d: copier for d, copier in self._copiers.items() if d in members}
            known_disks = {member.disk for member in self.view.members}
            if not only_completes_groups(self.view, view, self._tolerated_losses):
                self._changed_at = self._clock.monotonic()
            self.view = view
            self.coverage.adopt(view)
            if view.find(self._disk) is None:
                self.ready = self.has_all_turns = False
            self._log.info(
                "adopted a view",
                view=view.number,
                members=[member.name for member in view.members],
                new=[member.name for member in view.members if member.disk not in known_disks],
                ready=self.ready,
                complete=self.coverage.is_complete,
            )
            if self.on_view_adopted is not None:
                self.on_view_adopted()

    def update_completion(self, uncopied: set[str], complete: frozenset[str] = frozenset()) -> bool:
        """Complete the current generation if enough is copied; returns whether it did.

        `uncopied` contains the disks of the members from which records are still missing, and
        `complete` those of members that had all their charges before they were copied.
        """
        self._uncopied = uncopied
        if not self.coverage.record_copied(self.view, uncopied, complete):
            return False
        self._completion_changed.set()
        self._completion_changed = asyncio.Event()
        self._log.info(
            "copied all charges of its programs",
            view=self.view.number,
            generation=self.view.generation,
            without=sorted(uncopied),
        )
        return True

    async def _wait_until_covered(self, program: str) -> bool:
        """Wait until all charges of a program are copied; returns False on timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(COVERAGE_TIMEOUT_SECONDS):
                while not self.coverage.has_all_charges(program):
                    await self._completion_changed.wait()
        return self.coverage.has_all_charges(program)

    async def answer(self, message: KeeperRequest) -> KeeperReply:
        """Handle one request, and record its outcome and its latency."""
        started = self._clock.monotonic()
        reply = await self._dispatch(message)
        kind = type(message).__name__
        self._metrics.count(f"{kind}.{type(reply).__name__}")
        seconds = self._clock.monotonic() - started
        self._metrics.record_seconds("request", ALL_ORGANISATIONS, kind, seconds)
        return reply

    async def _dispatch(self, message: KeeperRequest) -> KeeperReply:
        if isinstance(message, AdoptView):
            await self.adopt(message.view)
            return Kept()
        if message.view < self.view.number:
            return OutdatedView(self.view)
        if message.view > self.view.number:
            return UnknownView()
        match message:
            case ListRecords():
                return self._list_records(message)
            case ListRenewals():
                return self._list_renewals(message)
            case FetchTurns():
                return TurnPage(tuple(self._records.find_turns(message.ids)), self._disk)
            case ShareCrashes() | ReportCrashes():
                now = self._clock.monotonic()
                return exchange_crashes(self.crashes, self._records.lifetime, message, now)
            case AnnounceEntry():
                now = self._clock.monotonic()
                self._entries.add(message.entry, now)
                return EntryList(tuple(self._entries.list_seen(now)) if message.with_list else ())
            case Keep(charge=None):
                # A turn that is synced here counts as a copy even while other records are missing.
                return await self._keep(message) if self._is_active else NotReady("does not count")
            case Reserve(charge=None) if self._has_chain(message.previous):
                return await self._reserve(message)
            case _ if not self.ready:
                return self._refuse(message, "copying records from other keepers")
            case Reserve(charge=None) if self._may_lack(message.previous):
                # Part of a chain is of use, since others may have the rest; its end must be here.
                return self._refuse(message, "copying turns from other keepers")
            case Reserve():
                return await self._reserve(message)
            case FindAttempts():
                return await self._find_attempts(message)
            case Keep():
                return await self._keep(message)

    def _refuse(self, message: Reserve | Keep | FindAttempts, reason: str) -> NotReady:
        """Log the state that a refusal follows from, at a limited rate, and return the reply."""
        now = self._clock.monotonic()
        if self._refusal_log_due.get(reason, 0.0) > now:
            return NotReady(reason)
        self._refusal_log_due[reason] = now + REFUSAL_LOG_INTERVAL_SECONDS
        member = self.view.find(self._disk)
        previous = message.previous if isinstance(message, Reserve) else None
        turns, missing = self._records.read_chain(previous) if previous is not None else ((), None)
        self._log.info(
            "refused a request",
            kind=type(message).__name__,
            reason=reason,
            program=_get_program(message),
            previous=previous,
            chain=len(turns),
            missing=missing,
            state=member.state.value if member is not None else None,
            view=self.view.number,
            generation=self.view.generation,
            completed=self.coverage.completion.generation,
            all_generations=self.coverage.has_all_generations,
            uncopied=sorted(self._uncopied),
            removed=sorted(self.coverage.find_removed(self.view)),
        )
        return NotReady(reason)

    @property
    def _is_active(self) -> bool:
        own_member = self.view.find(self._disk)
        return own_member is not None and own_member.state is MemberState.ACTIVE

    def _has_chain(self, turn_id: str) -> bool:
        """Whether a turn and all its predecessors are held; turns are immutable."""
        _, missing = self._records.read_chain(turn_id)
        return missing is None

    def _may_lack(self, turn_id: str) -> bool:
        """Whether a turn is not held, though this keeper may have to hold it."""
        return not self.has_all_turns and not self._records.has_turn(turn_id)

    async def _reserve(self, message: Reserve) -> KeeperReply:
        charge = message.charge
        if charge is not None:
            if not await self._wait_until_covered(charge.program):
                return self._refuse(message, "copying charges from other keepers")
            await self._records.write([charge])
            if message.view < self.view.number:
                return OutdatedView(self.view)
        chain, missing = (), None
        if message.previous is not None:
            chain, missing = self._records.read_chain(message.previous)
            self._records.renew_chain(message.previous)
        charges = None
        if charge is not None:
            held = self._records.list_charges(charge.program)
            charges = ProgramCharges.pack(charge.program, held)
        return Reserved(charges, chain if message.with_chain else (), missing)

    async def _find_attempts(self, message: FindAttempts) -> KeeperReply:
        if not await self._wait_until_covered(message.program):
            return self._refuse(message, "copying charges from other keepers")
        if message.view < self.view.number:
            return OutdatedView(self.view)
        charges, ages, more = self._records.list_attempts(message.program, message.seconds)
        if not self._was_there(message.seconds):
            # Entries of the last build count on what they know of workers beside these.
            most = MAX_LISTED_ATTEMPTS - 1
            charges, ages, more = charges[:most], ages[:most], True
        return FoundAttempts(ProgramCharges.pack(message.program, charges), tuple(ages), more)

    def _was_there(self, seconds: float) -> bool:
        """Whether this keeper was up and in the same groups for the last `seconds`.

        Otherwise streams may have begun without a record in this time, as too many members of
        their group were down: of each quorum, one then was down or has learnt of its change since.
        """
        now = self._clock.monotonic()
        return self._changed_at is None or now - self._changed_at > seconds

    async def _keep(self, message: Keep) -> KeeperReply:
        records = [record for record in (message.charge, message.turn) if record is not None]
        await self._records.write(records)
        if message.view < self.view.number:
            return OutdatedView(self.view)
        return Kept()

    def _list_records(self, message: ListRecords) -> RecordPage:
        """List the records that the requesting keeper must hold and has not copied yet.

        Charges up to `position` are left out if it already had to hold them when the disks in
        `former` were active.
        """
        same_lifetime = message.lifetime == self._records.lifetime
        position = message.position if same_lifetime else 0
        scanned = message.scanned if same_lifetime else 0
        if not message.missing_turns:
            self.copy_progress[message.asker] = (message.view, scanned)
        copier = self._find_copier(message.asker)
        copier.asked_at, copier.missing_turns = self._clock.monotonic(), message.missing_turns
        behind = self._list_behind(message.asker)
        if behind - copier.behind:
            # The asker is to take copies of turns that were not listed to it before.
            scanned = 0
        copier.behind = behind
        groups = self._groups
        active_disks = list_active_after_join(self.view, message.asker)

        def is_charge_wanted(program: str, charge_position: int) -> bool:
            if message.asker not in groups.find(active_disks, program):
                return False
            return charge_position > position or message.asker not in groups.find(
                message.former, program
            )

        is_turn_wanted = self._make_turn_filter(message.asker_name, behind)
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
            self.coverage.completion.generation,
        )

    def _list_renewals(self, message: ListRenewals) -> RenewalPage:
        """List the renewals that the requesting keeper does not know and must."""
        same_lifetime = message.lifetime == self._records.lifetime
        is_wanted = self._make_turn_filter(message.asker_name, self._list_behind(message.asker))
        return self._records.list_renewals(message.position if same_lifetime else 0, is_wanted)

    def _make_turn_filter(self, name: str, behind: frozenset[str]) -> Callable[[Turn], bool]:
        """Return whether the keeper of instance `name` must store a turn that this one holds."""
        view, tolerated = self.view, self._tolerated_losses
        own_member = view.find(self._disk)

        def is_wanted(turn: Turn) -> bool:
            if must_store_turn(view, name, turn.id, turn.copies, tolerated):
                return True
            return bool(behind) and name in list_near_successors(
                view, own_member, turn.id, turn.copies, behind, tolerated, self._regions
            )

        return is_wanted

    def _find_copier(self, disk: str) -> Copier:
        """Return what is known of a keeper that copies from this one, since now at the latest."""
        return self._copiers.setdefault(disk, Copier(self._clock.monotonic()))

    def _list_behind(self, asker: str) -> frozenset[str]:
        """Return the names of the instances whose turns the asker has to take copies of.

        Only active members of this keeper's region take any.
        """
        view = self.view
        own_member, asking = view.find(self._disk), view.find(asker)
        if own_member is None or asking is None or asking.state is not MemberState.ACTIVE:
            return frozenset()
        if not is_same_region(asking, own_member, self._regions):
            return frozenset()
        others = (m for m in view.active if m.disk not in (self._disk, asker))
        return frozenset(member.name for member in others if self._is_behind(member))

    def _is_behind(self, member: Member) -> bool:
        copier = self._find_copier(member.disk)
        silent_seconds = self._clock.monotonic() - copier.asked_at
        return (
            member.disk in self.view.lost_disks
            or silent_seconds >= SILENT_COPIER_SECONDS
            or copier.missing_turns >= LAGGING_TURNS
        )

    def is_copied_by(self, disk: str, view_number: int, position: int) -> bool:
        """Whether a keeper has copied this one's records up to `position` under a view.

        A later view than `view_number` counts as well.
        """
        number, copied = self.copy_progress.get(disk, (0, -1))
        return number >= view_number and copied >= position


def _get_program(message: Reserve | Keep | FindAttempts) -> str | None:
    if isinstance(message, FindAttempts):
        return message.program
    return message.charge.program if message.charge is not None else None
