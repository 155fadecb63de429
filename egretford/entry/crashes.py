"""Shares records of worker crashes among entries through the keepers; nothing is persisted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import IntEnum
from typing import Any

from attrs import Factory, define, evolve, frozen

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup, run_every
from egretford.entry.keepers import KeeperClient
from egretford.errors import EgretfordError, PeerUnreachableError, RequestError
from egretford.keeper.messages import (
    CrashList,
    CrashPosition,
    CrashReports,
    ReportCrashes,
    ShareCrashes,
)
from egretford.policy.crashes import Crash, CrashReport, CrashTable
from egretford.policy.views import Member

# Interval of the exchange with the keepers, in seconds.
SHARE_INTERVAL_SECONDS = 1.0
# Time in which a process that broke a connection ends, if it does, in seconds.
CHECK_DELAY_SECONDS = 0.3
# A keeper that refused a form of the request gets the one before for so many seconds.
REFUSAL_BACKOFF_SECONDS = 10.0


class _Form(IntEnum):
    """The forms of the request, by version of the keeper: what a reply has."""

    WITHOUT_AGES = 0
    ALL = 1
    NEWS = 2


@frozen
class _Loss:
    """A request that was lost with a process; times in monotonic seconds."""

    crash: Crash
    opened_at: float
    lost_at: float


@define
class _Keeper:
    """What a keeper is known to know, and how it is asked.

    `unsent` has the fingerprints with observations of this entry that it has not got; with
    `lacks_others` it lacks some of others as well, so that it gets all that is known.
    """

    seen: CrashPosition = Factory(CrashPosition)
    unsent: set[str] = Factory(set)
    lacks_others: bool = True
    form: _Form = _Form.NEWS
    form_until: float = 0.0

    @property
    def lacks_any(self) -> bool:
        """Whether there is something to send to it."""
        return self.lacks_others or bool(self.unsent)


class SharedCrashes:
    """This entry's crash table, merged with those of other entries about once a second."""

    def __init__(self, keepers: KeeperClient, clock: Clock, log: Any) -> None:
        self._keepers = keepers
        self._clock = clock
        self._log = log
        self._table = CrashTable()
        # By disk.
        self._known_keepers: dict[str, _Keeper] = {}
        # By the name of a process, the losses that wait for its check.
        self._unchecked: dict[str, list[_Loss]] = {}
        self._is_started = False
        self._sharing = asyncio.Lock()
        self._next_share: asyncio.Task[None] | None = None
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to exchange crashes in the background."""
        self._is_started = True
        self._tasks.spawn(
            run_every(self._clock, SHARE_INTERVAL_SECONDS, self._share_now, self._log)
        )

    async def close(self) -> None:
        """Stop the exchange; crashes that were not sent yet are lost to other entries."""
        await self._tasks.close()

    def add(self, crash: Crash) -> None:
        """Record a crash that this entry observed; it is sent at the next exchange if new."""
        if self._table.add(crash, self._clock.monotonic()):
            self._queue(crash.fingerprint)

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
                self._queue(crash.fingerprint)
        await self._share_now()

    def _queue(self, fingerprint: str) -> None:
        """Have the observations of a fingerprint sent to all keepers."""
        for keeper in self._known_keepers.values():
            keeper.unsent.add(fingerprint)

    async def _share_now(self) -> None:
        """Exchange once the exchange that runs has ended; all who wait for that share one."""
        if not self._is_started:
            return
        if self._next_share is None:
            self._next_share = self._tasks.spawn(self._share_next())
        await asyncio.shield(self._next_share)

    async def _share_next(self) -> None:
        async with self._sharing:
            self._next_share = None
            await self._share()

    def record_success(self, fingerprint: str) -> None:
        """Clear the crashes of a fingerprint after a worker completed such a request."""
        if self._table.record_success(fingerprint, self._clock.monotonic()):
            self._queue(fingerprint)

    def blocks(self, fingerprint: str) -> bool:
        """Whether requests with this fingerprint are quarantined."""
        return self._table.blocks(fingerprint, self._clock.monotonic())

    async def _share(self) -> None:
        """Send new observations to all keepers, or only fetch those of others from the nearest.

        The first exchange with each sends all that is known, as it may have been restarted. What
        a keeper did not receive is sent again.
        """
        active = {member.disk for member in self._keepers.view.active}
        self._known_keepers = {disk: self._known_keepers.get(disk) or _Keeper() for disk in active}
        probed = self._keepers.list_probed()
        requests = [
            self._exchange(member, keeper)
            for member in self._keepers.list_available()
            if (keeper := self._known_keepers[member.disk]).lacks_any or member in probed
        ]
        outcomes = await asyncio.gather(*requests, return_exceptions=True)
        for error in outcomes:
            # The keeper client logs the errors of requests.
            if isinstance(error, Exception) and not isinstance(error, EgretfordError):
                raise error

    async def _exchange(self, member: Member, keeper: _Keeper) -> None:
        """Send what a keeper lacks, and record what it knows; raises EgretfordError."""
        known = self._list_known()
        message = known
        # What is observed from now on is for the next exchange.
        sent, keeper.unsent = keeper.unsent, set()
        if not keeper.lacks_others:
            message = ReportCrashes(
                tuple(report for report in known.reports if report.crash.fingerprint in sent),
                tuple(item for item in known.clearances if item.fingerprint in sent),
            )
        try:
            reply = await self._ask(member, keeper, message)
        except BaseException:
            keeper.unsent |= sent
            raise
        if reply.position is None or reply.position.lifetime != keeper.seen.lifetime:
            # All that it knows, also without a position.
            keeper.lacks_others = _lacks(reply, known)
        else:
            keeper.lacks_others = False
        keeper.seen = reply.position or CrashPosition()
        now = self._clock.monotonic()
        for fingerprint in self._table.merge_reports(reply.reports, reply.clearances, now):
            self._queue(fingerprint)

    def _list_known(self) -> ReportCrashes:
        now = self._clock.monotonic()
        return ReportCrashes(self._table.list_reports(now), self._table.list_clearances(now))

    async def _ask(self, member: Member, keeper: _Keeper, message: ReportCrashes) -> CrashReports:
        """Ask a keeper in the newest form that it knows."""
        now = self._clock.monotonic()
        if now >= keeper.form_until:
            keeper.form = _Form.NEWS
        while True:
            try:
                request = _encode_form(message, keeper)
                reply = await self._keepers.send_request(member, request)
                break
            except RequestError:
                if keeper.form is _Form.WITHOUT_AGES:
                    raise
                keeper.form = _Form(keeper.form - 1)
                keeper.form_until = now + REFUSAL_BACKOFF_SECONDS
        if isinstance(reply, CrashList):
            return CrashReports(tuple(CrashReport(crash, 0.0) for crash in reply.crashes), ())
        if not isinstance(reply, CrashReports):
            raise PeerUnreachableError(f"{member.name}: {type(reply).__name__}")
        return reply


def _encode_form(message: ReportCrashes, keeper: _Keeper) -> ReportCrashes | ShareCrashes:
    match keeper.form:
        case _Form.NEWS:
            return evolve(message, seen=keeper.seen)
        case _Form.ALL:
            return message
        case _Form.WITHOUT_AGES:
            return ShareCrashes(tuple(report.crash for report in message.reports))


def _lacks(reply: CrashReports, known: ReportCrashes) -> bool:
    """Whether a keeper's reply lacks anything that was known here before."""
    cleared = {clearance.fingerprint for clearance in reply.clearances}
    crashes = {report.crash for report in reply.reports}
    return any(c.fingerprint not in cleared for c in known.clearances) or any(
        report.crash not in crashes and report.crash.fingerprint not in cleared
        for report in known.reports
    )
