"""Quarantine of request contents that crashed their upstreams."""

from __future__ import annotations

from datetime import datetime
from typing import Protocol

from egretford.clock import Clock
from egretford.errors import ErrorKind, UpstreamLostError
from egretford.filters.chain import CallJob, Completed, Proceed
from egretford.policy.retry import CrashRecord


class CrashCounter(Protocol):
    """Crash counts by request content, shared between entries."""

    def find_block(self, fingerprint: str, now: datetime) -> CrashRecord | None:
        """Return the record that quarantines a request content at `now`, if any."""

    async def count_crash(self, fingerprint: str, now: datetime) -> CrashRecord:
        """Count a crash for all entries; returns the updated record."""


class QuarantineFilter:
    """Counts crashes by request content and refuses a content after its second crash."""

    def __init__(self, crashes: CrashCounter, clock: Clock) -> None:
        self._crashes = crashes
        self._clock = clock

    async def handle(self, job: CallJob, proceed: Proceed) -> Completed:
        """Check before each attempt and count a crash after it; raises QUARANTINED."""
        block = self._crashes.find_block(job.content, self._clock.now())
        if block is not None:
            raise job.build_error(
                ErrorKind.QUARANTINED,
                f"this request crashed its upstream {block.crashes} times; "
                "it is refused for a while, change it before sending it again",
            )
        try:
            return await proceed(job)
        except UpstreamLostError as error:
            if error.crashed:
                await self._crashes.count_crash(job.content, self._clock.now())
            raise
