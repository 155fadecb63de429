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
# A keeper that refused a turn is asked again after this long, as one that copies from others
# is ready within about a second.
REFUSAL_PAUSE_SECONDS = 0.1


@frozen
class _Request:
    """A turn on its way to a keeper; `at` in monotonic seconds."""

    member: Member
    at: float


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
    _refused_until: dict[str, float] = Factory(dict)
    _reasons: dict[str, str] = Factory(dict)

    async def write(self) -> None:
        """Write the turn until enough keepers hold it; the caller bounds the time."""
        started = self._clock.monotonic()
        while len(self.holders) < self._keepers.copies:
            self._ask_more()
            await self._wait_for_answer()
        if self._reasons:
            self._log.info(
                "kept a turn after some keepers had not",
                request=self.turn.id,
                kept_by=self.holders,
                ms=round((self._clock.monotonic() - started) * 1_000, 1),
            )

    @property
    def holders(self) -> list[str]:
        """The names of the keepers that have the turn and were not dropped since."""
        members = self._keepers.view.holders
        return sorted(member.name for member in members if member.disk in self._kept)

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
        busy = {request.member.disk for request in self._asked.values()}
        return [
            member
            for member in self._keepers.rank_copies(self.turn.program)
            if member.disk not in busy
            and member.disk not in self._kept
            and self._refused_until.get(member.disk, 0.0) <= now
        ]

    async def _wait_for_answer(self) -> None:
        """Wait for an answer, but no longer than until others may be asked."""
        if not self._asked:
            await self._clock.sleep(REFUSAL_PAUSE_SECONDS)
            return
        now = self._clock.monotonic()
        late = [r.at + COPY_SECONDS - now for r in self._asked.values()]
        again = [until - now for until in self._refused_until.values()]
        timeout = min((s for s in [*late, *again] if s > 0), default=REFUSAL_PAUSE_SECONDS)
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
                self._refused_until[member.disk] = self._clock.monotonic() + REFUSAL_PAUSE_SECONDS
        self._note_reason(member, describe_outcome(task))

    def _note_reason(self, member: Member, reason: str) -> None:
        """Log why a keeper has not kept the turn, once a reason."""
        if self._reasons.get(member.name) == reason:
            return
        self._reasons[member.name] = reason
        self._log.info(
            "a keeper did not keep a turn",
            request=self.turn.id,
            keeper=member.name,
            reason=reason,
            kept_by=self.holders,
            view=self._keepers.view.number,
        )
