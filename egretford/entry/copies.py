"""Writes a turn to the keepers that are to hold it, before its answer ends."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import Factory, define, evolve, frozen

from egretford.clock import Clock
from egretford.entry.keepers import KeeperGroup, describe_outcome
from egretford.keeper.messages import Keep, KeeperReply, Kept, OutdatedView, Turn
from egretford.policy.views import Member

# A keeper that has not kept a turn after this long is helped out by the next one; a slow disk
# takes some tens of milliseconds, another region as many.
COPY_SECONDS = 0.25
# A keeper that refused a turn is asked again under another view, as one refuses that does not
# count, or after this long, as a disk that failed once may take the next write.
REFUSAL_PAUSE_SECONDS = 0.5
# How often the keepers that answer are looked through while none is left to ask.
SHORTAGE_PAUSE_SECONDS = 0.1


@frozen
class _Request:
    """A turn on its way to a keeper; `at` in monotonic seconds."""

    member: Member
    at: float


@frozen
class _Refusal:
    """A keeper's refusal under a view; `until` in monotonic seconds."""

    view: int
    until: float


@define
class TurnCopies:
    """The copies of one turn, by the disks that hold them.

    A keeper that refuses or is slow may still take the turn while the caller waits, so it is
    asked again, and its late answer counts.
    """

    turn: Turn
    _keepers: KeeperGroup
    _clock: Clock
    _log: Any
    _kept: dict[str, Member] = Factory(dict)
    _asked: dict[asyncio.Task[KeeperReply], _Request] = Factory(dict)
    _refusals: dict[str, _Refusal] = Factory(dict)
    _reasons: set[tuple[str, str]] = Factory(set)

    async def write(self) -> None:
        """Write the turn until enough keepers hold it; the caller bounds the time."""
        started = self._clock.monotonic()
        try:
            while len(self.holders) < self._keepers.copies:
                self._ask_more()
                await self._wait_for_answer()
        except asyncio.CancelledError:
            self._log_outcome("gave up keeping a turn", started)
            raise
        if self._reasons:
            self._log_outcome("kept a turn after some keepers had not", started)

    def _log_outcome(self, event: str, started: float) -> None:
        self._log.info(
            event,
            request=self.turn.id,
            kept_by=self.holders,
            view=self._keepers.view.number,
            ms=round((self._clock.monotonic() - started) * 1_000, 1),
        )

    @property
    def holders(self) -> list[str]:
        """The names of the keepers that have the turn, and whose disk was not lost since."""
        view = self._keepers.view
        counted = [member for member in view.holders if member.disk not in view.replaced]
        return sorted(member.name for member in counted if member.disk in self._kept)

    def _ask_more(self) -> None:
        """Ask as many keepers as are lacking, but for those that may soon answer."""
        now = self._clock.monotonic()
        awaited = [r.member for r in self._asked.values() if now - r.at < COPY_SECONDS]
        lacking = self._keepers.copies - len(self.holders) - len(awaited)
        if lacking <= 0:
            return
        chosen = self._list_candidates(now)[:lacking]
        if len(chosen) < lacking:
            self._keepers.note_shortage()
        names = {*self.holders, *(member.name for member in [*awaited, *chosen])}
        message = Keep(None, evolve(self.turn, copies=tuple(sorted(names))))
        for member in chosen:
            self._asked[self._keepers.start_asking(member, message)] = _Request(member, now)

    def _list_candidates(self, now: float) -> list[Member]:
        view = self._keepers.view
        asked = {request.member.disk for request in self._asked.values()}
        refused = {
            disk
            for disk, refusal in self._refusals.items()
            if refusal.view == view.number and now < refusal.until
        }
        excluded = asked | refused | view.replaced | set(self._kept)
        ranked = self._keepers.rank_copies(self.turn.program)
        return [member for member in ranked if member.disk not in excluded]

    async def _wait_for_answer(self) -> None:
        """Wait for an answer, but no longer than until others may be asked."""
        if not self._asked:
            await self._clock.sleep(SHORTAGE_PAUSE_SECONDS)
            return
        now = self._clock.monotonic()
        slow_in = [r.at + COPY_SECONDS - now for r in self._asked.values()]
        timeout = min((s for s in slow_in if s > 0), default=SHORTAGE_PAUSE_SECONDS)
        done, _ = await asyncio.wait(
            self._asked, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            self._take_answer(task, self._asked.pop(task).member)
        now = self._clock.monotonic()
        for task, request in self._asked.items():
            if now - request.at >= COPY_SECONDS:
                self._note_reason(request.member, describe_outcome(task))

    def _take_answer(self, task: asyncio.Task[KeeperReply], member: Member) -> None:
        reply = None if task.cancelled() or task.exception() else task.result()
        match reply:
            case Kept():
                self._kept[member.disk] = member
                return
            case OutdatedView():
                # Asked again at once, under the view that came with the answer.
                pass
            case _:
                until = self._clock.monotonic() + REFUSAL_PAUSE_SECONDS
                self._refusals[member.disk] = _Refusal(self._keepers.view.number, until)
        self._note_reason(member, describe_outcome(task))

    def _note_reason(self, member: Member, reason: str) -> None:
        """Log why a keeper has not kept the turn, once a reason."""
        if (member.name, reason) in self._reasons:
            return
        self._reasons.add((member.name, reason))
        self._log.info(
            "a keeper did not keep a turn",
            request=self.turn.id,
            keeper=member.name,
            reason=reason,
            kept_by=self.holders,
            view=self._keepers.view.number,
        )
