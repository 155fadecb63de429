"""Notices that this keeper stood still, so that it does not take the others for unresponsive."""

from __future__ import annotations

from typing import Any

from egretford.clock import Clock
from egretford.controllers.loops import TaskGroup
from egretford.keeper.copying import RecordCopier

CHECK_INTERVAL_SECONDS = 0.25
# A check that is later than this shows that the process stood still, in seconds.
STALL_SECONDS = 0.5


class StallWatch:
    """Gives the other keepers more time for replies, by the time that this process stood still."""

    def __init__(self, copier: RecordCopier, clock: Clock, log: Any) -> None:
        self._copier = copier
        self._clock = clock
        self._log = log
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to check."""
        self._tasks.spawn(self._watch())

    async def close(self) -> None:
        """Stop checking."""
        await self._tasks.close()

    async def _watch(self) -> None:
        while True:
            due = self._clock.monotonic() + CHECK_INTERVAL_SECONDS
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)
            late_seconds = self._clock.monotonic() - due
            if late_seconds > STALL_SECONDS:
                self._log.warning("this process stood still", seconds=round(late_seconds, 2))
                self._copier.extend_reply_time(late_seconds)
