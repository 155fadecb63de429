"""The clock that every part is given, so that tests can replace it."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Wall time, monotonic time and sleeping."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never steps back."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""


class SystemClock:
    """The machine's own clock."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the machine's monotonic time, in seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task on the event loop."""
        await asyncio.sleep(seconds)
