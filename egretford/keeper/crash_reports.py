"""Answers entries that exchange their observations of crashed workers through a keeper."""

from __future__ import annotations

from egretford.keeper.messages import (
    CrashList,
    CrashPosition,
    CrashReports,
    ReportCrashes,
    ShareCrashes,
)
from egretford.policy.crashes import CrashTable


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
