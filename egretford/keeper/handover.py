"""Handover of a leaving keeper's turns: counts their copies elsewhere and adds missing ones."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import Factory, define

from egretford.errors import EgretfordError
from egretford.keeper.copying import REQUEST_TIMEOUT_SECONDS
from egretford.keeper.messages import AdoptView, Keep, Kept, OutdatedView, Turn, UnknownView
from egretford.keeper.records import Records
from egretford.keeper.service import KeeperService
from egretford.peer.interface import Peers
from egretford.policy.turn_replicas import list_turn_keepers
from egretford.policy.views import Member

# Turns that one step sends to other keepers, and how many of them at once. A turn has some tens of
# kilobytes, so a step moves a few megabytes.
MAX_TURNS_PER_STEP = 256
MAX_CONCURRENT_SENDS = 8
# Turns that are checked before other tasks of the keeper get to run.
TURNS_PER_SLICE = 200


@define
class _Assignment:
    turn: Turn
    member: Member


@define
class TurnHandover:
    """Tracks, for one keeper that leaves, which of its turns still have too few other copies.

    A member has a copy if it copied all records of this keeper and must store the turn, or if it
    confirmed the turn. `_confirmed` has the disks of the latter by turn id, `_open` the turns
    that had too few copies among `_members` when last checked.
    """

    _service: KeeperService
    _records: Records
    _peers: Peers
    _tolerated_losses: int
    _log: Any
    _confirmed: dict[str, set[str]] = Factory(dict)
    _open: list[str] = Factory(list)
    _members: tuple[Member, ...] = ()

    async def find_open(self, copied: set[str]) -> list[str]:
        """Return the ids of the turns with too few copies on active members.

        `copied` has the disks of the members that copied all records of this keeper.
        """
        view = self._service.view
        if view.members != self._members:
            self._open, self._members = self._records.list_turn_ids(), view.members
        still_open = []
        for number, turn_id in enumerate(self._open, 1):
            turn = self._records.find_turn(turn_id)
            if turn is not None and self._count_missing(turn, copied) > 0:
                still_open.append(turn_id)
            if number % TURNS_PER_SLICE == 0:
                await asyncio.sleep(0)
        if view.members == self._members:
            self._open = still_open
        return still_open

    @property
    def _targets(self) -> list[Member]:
        view = self._service.view
        return [member for member in view.active if member.disk not in view.lost_disks]

    def _list_holders(self, turn: Turn, copied: set[str]) -> set[str]:
        """Return the disks of the active members that are sure to have the turn."""
        view, confirmed = self._service.view, self._confirmed.get(turn.id, set())
        names = list_turn_keepers(view, turn.id, turn.copies, self._tolerated_losses)
        return {
            member.disk
            for member in self._targets
            if member.disk in confirmed or (member.disk in copied and member.name in names)
        }

    def _count_missing(self, turn: Turn, copied: set[str]) -> int:
        return self._tolerated_losses + 1 - len(self._list_holders(turn, copied))

    async def send_open(self, copied: set[str], responsive: set[str]) -> None:
        """Send some of the turns with too few copies to `responsive` members, given by disk.

        Members that copied everything come first, since the others are slow.
        """
        assignments: list[_Assignment] = []
        for turn_id in self._open:
            if len(assignments) >= MAX_TURNS_PER_STEP:
                break
            turn = self._records.find_turn(turn_id)
            if turn is not None:
                assignments += self._assign(turn, copied, responsive)
        limit = asyncio.Semaphore(MAX_CONCURRENT_SENDS)
        failed: set[str] = set()

        async def send(assignment: _Assignment) -> bool:
            async with limit:
                disk = assignment.member.disk
                if disk in failed:
                    return False
                is_stored = await self._send_turn(assignment)
                if not is_stored:
                    # Waiting for each turn of a silent member would hold up all others.
                    failed.add(disk)
                return is_stored

        stored = await asyncio.gather(*(send(assignment) for assignment in assignments))
        self._log.info(
            "sent turns with too few copies to other keepers",
            turns=len(self._open),
            sent=len(assignments),
            stored=sum(stored),
            to=sorted({assignment.member.name for assignment in assignments}),
        )

    def _assign(self, turn: Turn, copied: set[str], responsive: set[str]) -> list[_Assignment]:
        holders = self._list_holders(turn, copied)
        candidates = [
            member
            for member in self._targets
            if member.disk in responsive and member.disk not in holders
        ]
        candidates.sort(key=lambda member: member.disk not in copied)
        missing = self._count_missing(turn, copied)
        return [_Assignment(turn, member) for member in candidates[:missing]]

    async def _send_turn(self, assignment: _Assignment) -> bool:
        """Send one turn to one member; returns whether that has synced it."""
        turn, member = assignment.turn, assignment.member
        view = self._service.view
        try:
            message = Keep(None, turn, view=view.number)
            reply = await self._peers.ask(member.address, message, REQUEST_TIMEOUT_SECONDS)
            match reply:
                case Kept():
                    self._confirmed.setdefault(turn.id, set()).add(member.disk)
                    return True
                case OutdatedView():
                    await self._service.adopt(reply.view)
                case UnknownView():
                    await self._peers.ask(member.address, AdoptView(view), REQUEST_TIMEOUT_SECONDS)
        except EgretfordError as error:
            self._log.info(
                "could not hand a turn over", turn=turn.id, keeper=member.name, error=str(error)
            )
            return False
        self._log.info(
            "a keeper did not take a turn over",
            turn=turn.id,
            keeper=member.name,
            reply=type(reply).__name__,
        )
        return False
