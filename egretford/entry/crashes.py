"""Shares records of worker crashes among entries through the keepers; nothing is persisted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import evolve, frozen

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperClient
from egretford.errors import EgretfordError, PeerUnreachableError, RequestError
from egretford.keeper.messages import CrashList, CrashReports, ReportCrashes, ShareCrashes
from egretford.policy.crashes import Crash, CrashReport, CrashTable
from egretford.policy.views import Member

# Interval of the exchange with the keepers, in seconds.
SHARE_INTERVAL_SECONDS = 1.0
# Time in which a process that broke a connection ends, if it does, in seconds.
CHECK_DELAY_SECONDS = 0.3
# A keeper that refused the present request gets the earlier one for so many seconds.
REFUSAL_BACKOFF_SECONDS = 10.0


@frozen
class _Loss:
    """A request that was lost with a process; times in monotonic seconds."""

    crash: Crash
    opened_at: float
    lost_at: float


class SharedCrashes:
    """This entry's crash table, merged with those of other entries about once a second."""

    def __init__(self, keepers: KeeperClient, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log
        self._table = CrashTable()
        # Fingerprints with observations that no keeper has.
        self._unsent: set[str] = set()
        # Disks of keepers that may lack something that is known here.
        self._behind: set[str] = set()
        # By disk of a keeper of an earlier version, until when it gets the earlier request.
        self._refused_until: dict[str, float] = {}
        self._has_asked_all = False
        # By the name of a process, the losses that wait for its check.
        self._unchecked: dict[str, list[_Loss]] = {}
        self._is_started = False
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to exchange crashes in the background."""
        self._is_started = True
        self._tasks.spawn(run_every(self._clock, SHARE_INTERVAL_SECONDS, self._share, self._log))

    async def close(self) -> None:
        """Stop the exchange; crashes that were not sent yet are lost to other entries."""
        await self._tasks.close()

    def add(self, crash: Crash) -> None:
        """Record a crash that this entry observed; it is sent at the next exchange if new."""
        if self._table.add(crash, self._clock.monotonic()):
            self._unsent.add(crash.fingerprint)

    def check(
        self, crash: Crash, opened_at: float, is_running: Callable[[], Awaitable[bool]]
    ) -> None:
        """Record a crash unless the worker turns out to be running; does not wait for that.

        `opened_at` is when the connection to the worker was opened, in monotonic seconds.
        """
        loss = _Loss(crash, opened_at, self._clock.monotonic())
        losses = self._unchecked.setdefault(crash.worker, [])
        losses.append(loss)
        if len(losses) == 1:
            self._tasks.spawn(self._check(crash.worker, is_running))

    async def _check(self, worker: str, is_running: Callable[[], Awaitable[bool]]) -> None:
        """Ask once for all requests that a process lost at about the same time."""
        try:
            await self._clock.sleep(CHECK_DELAY_SECONDS)
            is_alive = await is_running()
        finally:
            losses = self._unchecked.pop(worker)
        if is_alive:
            self._log.info("a worker lost an answer, but has not crashed", worker=worker)
            return
        # Others may know of an earlier crash under the same name.
        await self._share_now()
        for loss in losses:
            name = self._table.tell_apart(worker, loss.opened_at)
            crash, now = evolve(loss.crash, worker=name), self._clock.monotonic()
            self._log.info("a worker crashed", worker=name, fingerprint=crash.fingerprint)
            if self._table.add(crash, now, now - loss.lost_at):
                self._unsent.add(crash.fingerprint)
        await self._share_now()

    async def _share_now(self) -> None:
        if self._is_started:
            await self._share()

    def record_success(self, fingerprint: str) -> None:
        """Clear the crashes of a fingerprint after a worker completed such a request."""
        if self._table.record_success(fingerprint, self._clock.monotonic()):
            self._unsent.add(fingerprint)

    def blocks(self, fingerprint: str) -> bool:
        """Whether requests with this fingerprint are quarantined."""
        return self._table.blocks(fingerprint, self._clock.monotonic())

    async def _share(self) -> None:
        """Send new observations to all keepers, or only fetch those of others from the nearest.

        The first exchange is with all keepers, as the nearest may have been restarted. A keeper
        that lacks what is known here, or could not be told, gets all of it later. What no keeper
        received is sent again.
        """
        unsent, self._unsent = self._unsent, set()
        active = {member.disk for member in self._keepers.view.active}
        available = self._keepers.list_available()
        if unsent or not self._has_asked_all:
            targets = available
            self._behind |= active
        else:
            probed = self._keepers.list_probed()
            targets = [m for m in available if m in probed or m.disk in self._behind]
        self._behind &= active
        requests = [self._exchange(member) for member in targets]
        outcomes = await asyncio.gather(*requests, return_exceptions=True)
        if any(outcome is None for outcome in outcomes):
            self._has_asked_all = True
        else:
            self._unsent |= unsent
        for error in outcomes:
            # The keeper client logs the errors of requests.
            if isinstance(error, Exception) and not isinstance(error, EgretfordError):
                raise error

    async def _exchange(self, member: Member) -> None:
        """Send what a keeper may lack, and record what it knows; raises EgretfordError."""
        known = self._list_known()
        is_behind = member.disk in self._behind
        reply = await self._ask(member, known if is_behind else ReportCrashes((), ()))
        now = self._clock.monotonic()
        self._unsent |= self._table.merge_reports(reply.reports, reply.clearances, now)
        if _lacks(reply, known):
            self._behind.add(member.disk)
        else:
            self._behind.discard(member.disk)

    def _list_known(self) -> ReportCrashes:
        now = self._clock.monotonic()
        return ReportCrashes(self._table.list_reports(now), self._table.list_clearances(now))

    async def _ask(self, member: Member, message: ReportCrashes) -> CrashReports:
        # A keeper of an earlier version knows neither ages nor successes.
        earlier = ShareCrashes(tuple(report.crash for report in message.reports))
        now = self._clock.monotonic()
        try:
            is_earlier = now < self._refused_until.get(member.disk, 0.0)
            reply = await self._keepers.send_request(member, earlier if is_earlier else message)
        except RequestError:
            self._refused_until[member.disk] = now + REFUSAL_BACKOFF_SECONDS
            reply = await self._keepers.send_request(member, earlier)
        if isinstance(reply, CrashList):
            return CrashReports(tuple(CrashReport(crash, 0.0) for crash in reply.crashes), ())
        if not isinstance(reply, CrashReports):
            raise PeerUnreachableError(f"{member.name}: {type(reply).__name__}")
        return reply


def _lacks(reply: CrashReports, known: ReportCrashes) -> bool:
    """Whether a keeper's reply lacks anything that was known here before."""
    cleared = {clearance.fingerprint for clearance in reply.clearances}
    crashes = {report.crash for report in reply.reports}
    return any(c.fingerprint not in cleared for c in known.clearances) or any(
        report.crash not in crashes and report.crash.fingerprint not in cleared
        for report in known.reports
    )
