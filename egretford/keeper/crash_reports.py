"""Answers entries that exchange their observations of crashed workers through a keeper."""

from __future__ import annotations

from egretford.keeper.messages import CrashList, CrashReports, ReportCrashes, ShareCrashes
from egretford.policy.crashes import CrashTable


def exchange_crashes(
    table: CrashTable, message: ShareCrashes | ReportCrashes, now: float
) -> CrashList | CrashReports:
    """Record what an entry reports, and return all that is known; `now` in monotonic seconds.

    Entries of earlier versions send and take crashes without their ages.
    """
    match message:
        case ShareCrashes():
            table.merge(message.seen, now)
            return CrashList(table.list_recent(now))
        case ReportCrashes():
            table.merge_reports(message.reports, message.clearances, now)
            return CrashReports(table.list_reports(now), table.list_clearances(now))
