"""Timeouts for replies of other processes, which a stall of this process does not use up.

A process that was stopped, or got no processor time, finds its timers expired when it goes on,
though the replies may have arrived long before. It must not take that for silence of its peers.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Any

# A timer that is later than this shows that the process stood still, in seconds. Other tasks of
# a busy event loop delay timers by some tens of milliseconds.
STALL_SECONDS = 0.1


class ReplyTimeout:
    """An asynchronous context manager that raises TimeoutError after `seconds`; None sets no limit.

    Replies that are ready when the time is over are handled first. Time in which this process stood
    still is added, as replies to it may have been delayed as well, but at most `seconds` in all.
    """

    def __init__(self, seconds: float | None) -> None:
        self._seconds = None if seconds is None else max(0.0, seconds)
        self._extension_left = self._seconds
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._task: asyncio.Task[Any] | None = None
        self._earlier_cancellations = 0
        self._is_expired = False

    async def __aenter__(self) -> ReplyTimeout:
        if self._seconds is not None:
            self._loop = asyncio.get_running_loop()
            self._task = asyncio.current_task(self._loop)
            self._earlier_cancellations = self._task.cancelling()
            self._start_timer(self._seconds)
        return self

    def _start_timer(self, seconds: float) -> None:
        self._due = self._loop.time() + seconds
        self._timer = self._loop.call_at(self._due, self._check)

    def _check(self) -> None:
        late_seconds = self._loop.time() - self._due
        if late_seconds > STALL_SECONDS and self._extension_left:
            extension = min(late_seconds, self._extension_left)
            self._extension_left -= extension
            self._start_timer(extension)
        else:
            # Takes effect after the tasks whose replies have arrived.
            self._timer = self._loop.call_at(self._loop.time(), self._expire)

    def _expire(self) -> None:
        self._is_expired = True
        self._task.cancel()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
        if self._is_expired:
            is_own = self._task.uncancel() <= self._earlier_cancellations
            if is_own and kind is asyncio.CancelledError:
                raise TimeoutError from error
        return None
