"""The event loop of the daemons, which asks the system for events less often than asyncio's own.

asyncio polls its sockets before each round of callbacks. A response takes a chain of several
rounds, as each awaited future starts the next one, so that most polls find nothing; as a system
call, each costs more than the callbacks of its round.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

# Rounds of callbacks, and seconds, after which sockets are polled though callbacks are waiting.
MAX_SKIPPED_POLLS = 50
MAX_POLL_DELAY_SECONDS = 0.001


class SparingSelector(selectors.DefaultSelector):
    """Polls when no callback is waiting, and otherwise now and then."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0
        self._polled_at = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events of the registered sockets; none where asyncio would not wait for them.

        `timeout` is in seconds.
        """
        if timeout is not None and timeout <= 0.0 and self._may_skip():
            self._skipped += 1
            return []
        events = super().select(timeout)
        self._skipped, self._polled_at = 0, time.monotonic()
        return events

    def _may_skip(self) -> bool:
        is_recent = time.monotonic() - self._polled_at < MAX_POLL_DELAY_SECONDS
        return is_recent and self._skipped < MAX_SKIPPED_POLLS


def make_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(SparingSelector())


def run(main: Coroutine[Any, Any, Any]) -> None:
    """Run a daemon's main coroutine until it ends."""
    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(main)
