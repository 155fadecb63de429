"""Answers entries that exchange their observations of crashed workers through a keeper.

The keeper stores what it knows of crashes, as a request that is blocked must stay so after all
processes were ended at once.
"""

from __future__ import annotations

from datetime import datetime
from typing import Any, Protocol

from attrs import evolve, frozen

from egretford.clock import Clock
from egretford.keeper.log import DiskError
from egretford.keeper.messages import (
    CrashList,
    CrashPosition,
    CrashReports,
    ReportCrashes,
    ShareCrashes,
)
from egretford.policy.crashes import Clearance, CrashReport, CrashTable


def exchange_crashes(
    table: CrashTable, lifetime: str, message: ShareCrashes | ReportCrashes, now: float
) -> CrashList | CrashReports:
    """Record what an entry reports, and return what it does not know yet.

    `lifetime` is that of the keeper's process, `now` in monotonic seconds. Entries of earlier
    versions get all that is known; the oldest send and take crashes without their ages.
    """
    match message:
        case ShareCrashes():
            table.merge(message.seen, now)
            return CrashList(table.list_recent(now))
        case ReportCrashes(seen=CrashPosition(lifetime=seen, position=position)) if (
            seen == lifetime
        ):
            reports = table.list_reports(now, position)
            clearances = table.list_clearances(now, position)
            table.merge_reports(message.reports, message.clearances, now)
            return CrashReports(reports, clearances, CrashPosition(lifetime, table.position))
        case ReportCrashes():
            table.merge_reports(message.reports, message.clearances, now)
            position = CrashPosition(lifetime, table.position) if message.seen else None
            return CrashReports(table.list_reports(now), table.list_clearances(now), position)


@frozen
class StoredCrashes:
    """What was known of crashes at `saved_at`, with the ages of that time."""

    saved_at: datetime | None = None
    reports: tuple[CrashReport, ...] = ()
    clearances: tuple[Clearance, ...] = ()


class CrashStore(Protocol):
    """Durable storage of the newest crashes."""

    def load(self) -> StoredCrashes:
        """Return the stored crashes, none if there are none that can be read."""

    async def store(self, crashes: StoredCrashes) -> None:
        """Replace the stored crashes durably; raises DiskError."""


class CrashArchive:
    """Stores a crash table whenever it has changed, and restores it after a restart."""

    def __init__(self, table: CrashTable, store: CrashStore, clock: Clock, log: Any) -> None:
        self._table = table
        self._store = store
        self._clock = clock
        self._log = log
        self._saved_position = 0

    def load(self) -> None:
        """Add the stored crashes to the table; the time since they were stored adds to their age.

        After a step of the system's time they may count as older or younger than they are.
        """
        stored = self._store.load()
        if stored.saved_at is None:
            return
        elapsed = max(0.0, (self._clock.now() - stored.saved_at).total_seconds())
        self._table.merge_reports(
            [evolve(report, age=report.age + elapsed) for report in stored.reports],
            [evolve(clearance, age=clearance.age + elapsed) for clearance in stored.clearances],
            self._clock.monotonic(),
        )
        self._saved_position = self._table.position
        self._log.info("loaded crashes from disk", crashes=len(stored.reports))

    async def save(self) -> None:
        """Store the table if it has changed; a failure is logged, and the next call retries."""
        position, now = self._table.position, self._clock.monotonic()
        if position == self._saved_position:
            return
        crashes = StoredCrashes(
            self._clock.now(), self._table.list_reports(now), self._table.list_clearances(now)
        )
        try:
            await self._store.store(crashes)
        except DiskError as error:
            self._log.warning("could not store the crashes", error=str(error))
        else:
            self._saved_position = position
