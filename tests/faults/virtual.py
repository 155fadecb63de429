"""An event loop whose time is virtual: sleeping costs nothing and runs repeat exactly."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Moves the loop's time forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("nothing is scheduled: the scenario is deadlocked")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class VirtualClock:
    def now(self) -> datetime:
        return EPOCH + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a virtual loop and cancel what it leaves behind."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        leftover = asyncio.all_tasks(loop)
        for task in leftover:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*leftover, return_exceptions=True))
        loop.close()
