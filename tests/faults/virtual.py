"""An event loop with virtual time: sleeping takes no real time and runs are reproducible."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the loop's virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("scenario deadlocked: no timer or callback is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now


class VirtualClock:
    def now(self) -> datetime:
        return EPOCH + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and cancel the tasks that remain."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        remaining_tasks = asyncio.all_tasks(loop)
        for task in remaining_tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*remaining_tasks, return_exceptions=True))
        loop.close()
