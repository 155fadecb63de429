"""Injectable clock: components never read the system time directly, so tests can fake it."""

from __future__ import annotations

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time, and of delays."""

    def now(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary reference point; never decreases."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""


class SystemClock:
    """Clock backed by the operating system and the asyncio event loop."""

    def now(self) -> datetime:
        """Return the system time as an aware datetime in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the system's monotonic time, in seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task with `asyncio.sleep`."""
        await asyncio.sleep(seconds)
