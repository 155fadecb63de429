"""Writes a turn to the required number of keepers before the end of its answer is sent."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import Factory, define, evolve, frozen

from egretford.clock import Clock
from egretford.entry.keepers import KeeperClient, describe_outcome
from egretford.keeper.messages import Keep, KeeperReply, Kept, OutdatedView, Turn
from egretford.policy.views import Member

# Seconds without a reply after which a further keeper is sent the turn as well. A slow disk
# takes some tens of milliseconds, and so does a keeper in another region.
HEDGE_DELAY_SECONDS = 0.25
# Seconds before a keeper that refused a turn is tried again, since a disk that failed once may
# take the next write. A newer view ends the backoff: the refusal may have been due to the view,
# in which the keeper was not active.
REFUSAL_BACKOFF_SECONDS = 0.5
# Interval, in seconds, at which candidates are listed again while there is none left to try.
SHORTAGE_POLL_SECONDS = 0.1


@frozen
class _SentRequest:
    """A request that a keeper has not answered yet; `sent_at` in monotonic seconds."""

    member: Member
    sent_at: float


@frozen
class _Refusal:
    """A keeper's refusal; it is skipped until `until` (monotonic seconds) or a newer view."""

    view: int
    until: float


@define
class TurnCopies:
    """Replicates one turn and tracks its copies by disk.

    A keeper that refuses or is slow may still store the turn while the caller waits, so it is
    retried after a refusal, and late replies count.
    """

    turn: Turn
    _keepers: KeeperClient
    _clock: Clock
    _log: Any
    _confirmed: dict[str, Member] = Factory(dict)
    _pending: dict[asyncio.Task[KeeperReply], _SentRequest] = Factory(dict)
    _refusals: dict[str, _Refusal] = Factory(dict)
    _logged_reasons: set[tuple[str, str]] = Factory(set)

    async def write(self) -> list[str]:
        """Return the names of its keepers once enough of them hold the turn.

        It has no timeout, so callers must set one.
        """
        started = self._clock.monotonic()
        try:
            while len(self.holders) < self._keepers.copies:
                self._send_requests()
                await self._wait_for_reply()
        except asyncio.CancelledError:
            self._log_outcome("cancelled before enough keepers stored a turn", started)
            raise
        if self._logged_reasons:
            self._log_outcome("stored a turn after refusals or slow replies", started)
        return self.holders

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
        """The names of the keepers that stored the turn and have not lost their disk since."""
        view = self._keepers.view
        eligible = [member for member in view.holders if member.disk not in view.lost_disks]
        return sorted(member.name for member in eligible if member.disk in self._confirmed)

    def _send_requests(self) -> None:
        """Send the turn to as many more keepers as copies are missing.

        Requests that are younger than the hedge delay are counted as if they had succeeded.
        """
        now = self._clock.monotonic()
        in_flight = [
            r.member for r in self._pending.values() if now - r.sent_at < HEDGE_DELAY_SECONDS
        ]
        missing = self._keepers.copies - len(self.holders) - len(in_flight)
        if missing <= 0:
            return
        chosen = self._list_candidates(now)[:missing]
        if len(chosen) < missing:
            self._keepers.request_view_refresh()
        names = {*self.holders, *(member.name for member in [*in_flight, *chosen])}
        message = Keep(None, evolve(self.turn, copies=tuple(sorted(names))))
        for member in chosen:
            self._pending[self._keepers.start_request(member, message)] = _SentRequest(member, now)

    def _list_candidates(self, now: float) -> list[Member]:
        view = self._keepers.view
        pending_disks = {request.member.disk for request in self._pending.values()}
        refused = {
            disk
            for disk, refusal in self._refusals.items()
            if refusal.view == view.number and now < refusal.until
        }
        excluded = pending_disks | refused | view.lost_disks | set(self._confirmed)
        ranked = self._keepers.rank_copies(self.turn.program)
        return [member for member in ranked if member.disk not in excluded]

    async def _wait_for_reply(self) -> None:
        """Wait for a reply, until the next hedge delay runs out at the latest."""
        if not self._pending:
            await self._clock.sleep(SHORTAGE_POLL_SECONDS)
            return
        now = self._clock.monotonic()
        hedge_delays = [r.sent_at + HEDGE_DELAY_SECONDS - now for r in self._pending.values()]
        timeout = min((s for s in hedge_delays if s > 0), default=SHORTAGE_POLL_SECONDS)
        done, _ = await asyncio.wait(
            self._pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            self._handle_reply(task, self._pending.pop(task).member)
        now = self._clock.monotonic()
        for task, request in self._pending.items():
            if now - request.sent_at >= HEDGE_DELAY_SECONDS:
                self._log_reason(request.member, describe_outcome(task))

    def _handle_reply(self, task: asyncio.Task[KeeperReply], member: Member) -> None:
        reply = None if task.cancelled() or task.exception() else task.result()
        match reply:
            case Kept():
                self._confirmed[member.disk] = member
                return
            case OutdatedView():
                # No backoff: the reply's view was adopted, and the keeper is retried under it.
                pass
            case _:
                until = self._clock.monotonic() + REFUSAL_BACKOFF_SECONDS
                self._refusals[member.disk] = _Refusal(self._keepers.view.number, until)
        self._log_reason(member, describe_outcome(task))

    def _log_reason(self, member: Member, reason: str) -> None:
        """Log why a keeper has not stored the turn, once per keeper and reason."""
        if (member.name, reason) in self._logged_reasons:
            return
        self._logged_reasons.add((member.name, reason))
        self._log.info(
            "a keeper did not store a turn",
            request=self.turn.id,
            keeper=member.name,
            reason=reason,
            kept_by=self.holders,
            view=self._keepers.view.number,
        )
