"""Background tasks and periodic loops of controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from egretford.clock import Clock

FAILURE_PAUSE_SECONDS = 0.5
# A task inside a library call may not react to cancellation; close() stops waiting for it.
CLOSE_TIMEOUT_SECONDS = 2.0


class TaskGroup:
    """Background tasks of one controller, cancelled together on close."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task until it ends or the group closes."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def __len__(self) -> int:
        return len(self._tasks)

    async def close(self) -> None:
        """Cancel all tasks and wait for them, at most CLOSE_TIMEOUT_SECONDS."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_SECONDS)


async def wait_for_event(event: asyncio.Event, clock: Clock, seconds: float) -> None:
    """Return once the event is set, after `seconds` at the latest."""
    sleep_task = asyncio.ensure_future(clock.sleep(seconds))
    event_task = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({sleep_task, event_task}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleep_task.cancel()
        event_task.cancel()


async def run_every(
    clock: Clock, seconds: float, action: Callable[[], Awaitable[None]], log: Any
) -> None:
    """Run an action every `seconds`; an error is logged and does not end the loop.

    After an error the pause is longer by FAILURE_PAUSE_SECONDS.
    """
    while True:
        try:
            await action()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log.warning("periodic task failed; retrying", error=repr(error))
            await clock.sleep(FAILURE_PAUSE_SECONDS)
        await clock.sleep(seconds)
